//! Slots and KV memory of a backend server, and the share reserved for short work.

use crate::wire::member;
use crate::wire::outcome::Cause;
use crate::wire::run;

/// 1/`MARGIN` of a prompt's estimated tokens is added, as the estimate may be low.
const MARGIN: u64 = 50;

/// 1/`SHORT_SLOTS` of the slots, rounded up, is reserved for short work.
const SHORT_SLOTS: u32 = 8;

/// 1/`SHORT_MEMORY` of the memory is reserved for short work.
const SHORT_MEMORY: u64 = 16;

/// Tokens to reserve for a segment: its own with a margin, plus `final_tokens` for the final run.
pub fn segment_cost(tokens: u64, final_tokens: u64) -> u64 {
    tokens
        .saturating_add(tokens / MARGIN)
        .saturating_add(final_tokens)
}

/// Largest segment, in tokens, that fits into `memory` beside `final_tokens`.
pub fn max_segment(memory: u64, final_tokens: u64) -> u64 {
    let rest = memory.saturating_sub(final_tokens);
    (u128::from(rest) * u128::from(MARGIN) / u128::from(MARGIN + 1)) as u64
}

/// The part of an engine's memory that long work may use.
pub fn long_memory(memory: u64) -> u64 {
    memory - memory / SHORT_MEMORY
}

/// What a backend server can run and store at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Concurrent runs.
    pub slots: u32,
    /// KV memory in tokens. 0 for a plain service, whose memory is not accounted for.
    pub memory: u64,
}

impl Capacity {
    /// Tokens to reserve: for a prompt its whole context, with a margin if that still fits.
    pub fn cost(&self, work: &run::Work) -> u64 {
        let (prompt_tokens, max_tokens) = match work {
            run::Work::Http { .. } => return 0,
            run::Work::Segment {
                prompt_tokens,
                room,
                ..
            } => return segment_cost(*prompt_tokens, *room),
            run::Work::Prompt {
                prompt_tokens,
                max_tokens,
                ..
            } => (prompt_tokens, max_tokens),
        };
        let exact = prompt_tokens.saturating_add(u64::from(*max_tokens));
        let with_margin = exact.saturating_add(prompt_tokens / MARGIN);
        if with_margin <= self.memory {
            with_margin
        } else {
            exact
        }
    }

    /// Whether another attempt with `cost` fits beside `load`. Only short work may use the
    /// reserved share. The error is the cause of the rejection.
    pub fn admit(&self, load: &member::Load, class: run::Class, cost: u64) -> Result<(), Cause> {
        let (slots, memory) = self.limits(class);
        if load.running + load.reserved >= slots {
            return Err(Cause::Busy);
        }
        if cost > self.memory {
            return Err(Cause::Memory);
        }
        let idle = load.used_tokens == 0;
        if !idle && load.used_tokens.saturating_add(cost) > memory {
            return Err(Cause::Memory);
        }
        Ok(())
    }

    /// Slots and memory that a class may use.
    fn limits(&self, class: run::Class) -> (u32, u64) {
        if class == run::Class::Short {
            return (self.slots, self.memory);
        }
        // A single slot cannot be split.
        let short_slots = if self.slots < 2 {
            0
        } else {
            self.slots.div_ceil(SHORT_SLOTS)
        };
        (
            self.slots - short_slots,
            self.memory - self.memory / SHORT_MEMORY,
        )
    }
}
