//! Segments of prompts that are larger than one engine.
//!
//! A segment is an attempt that is reserved like a run, prefilled on [`run::Call::Hold`], and then
//! held: its memory stays in use until it is cancelled, its deadline passes, or its stream stays
//! closed for too long. The segment on the engine that generates the response also reserves
//! memory for the final run.

use std::time::Duration;

use super::Action;
use super::LEAVING_GRACE;
use super::Ledger;
use super::PAUSED;
use super::Phase;
use super::Record;
use super::Stream;
use super::return_after;
use crate::wire::id;
use crate::wire::outcome::Cause;
use crate::wire::run;

/// Role of an attempt in a prompt that is larger than one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// None, or a final run with a reservation of its own.
    Run,
    /// The final run, in memory that a segment reserved for it.
    Final,
    /// A segment of the prompt.
    Segment {
        /// Tokens reserved for the final run. Invariant: included in the record's cost; 0 once the
        /// final run has taken them.
        final_tokens: u64,
        /// Whether the engine holds it.
        held: bool,
    },
}

impl Role {
    /// The role of an offer's work.
    pub fn of(work: &run::Work) -> Self {
        match work {
            run::Work::Segment { room, .. } => Self::Segment {
                final_tokens: *room,
                held: false,
            },
            run::Work::Prompt { .. } | run::Work::Http { .. } => Self::Run,
        }
    }

    pub fn is_segment(self) -> bool {
        matches!(self, Self::Segment { .. })
    }
}

impl Record {
    /// Whether it is a segment that is held.
    pub(super) fn is_held(&self) -> bool {
        matches!(self.role, Role::Segment { held: true, .. })
    }

    /// Whether it takes a slot: a held segment does so only while it reserves the final run's.
    pub(super) fn takes_slot(&self) -> bool {
        !matches!(
            self.role,
            Role::Segment {
                final_tokens: 0,
                held: true
            }
        )
    }

    /// Whether it is a segment whose prefill was not requested yet, because segments before it
    /// are still being prefilled on other engines.
    pub(super) fn awaits_hold(&self) -> bool {
        self.role.is_segment() && matches!(self.phase, Phase::ReceivingBody | Phase::Reserved)
    }

    /// The action that stops it.
    pub(super) fn stop_action(&self, attempt: id::Attempt) -> Action {
        if self.role.is_segment() {
            Action::Release(attempt)
        } else {
            Action::Stop(attempt.to_string())
        }
    }
}

impl Ledger {
    /// Starts the prefill of a reserved segment.
    pub(super) fn hold(
        &mut self,
        now: Duration,
        stream: Stream,
        attempt: id::Attempt,
        context: Vec<run::Context>,
        out: &mut Vec<Action>,
    ) {
        let is_late = self
            .leaving_since
            .is_some_and(|since| now >= since + LEAVING_GRACE);
        let pause_left = self.pause_left(now);
        let Some(record) = self.records.get_mut(&attempt) else {
            let reply = match self.tombstones.outcome(attempt) {
                Some(ran) => self.tombstone_reply(attempt, ran),
                None => run::Reply::Unknown(attempt),
            };
            return out.push(Action::Reply(stream, reply));
        };
        if record.phase != Phase::Reserved || !record.role.is_segment() {
            return;
        }
        if is_late {
            let reply = self.withdraw(attempt, Cause::Leaving, "left before its start", out);
            return out.push(Action::Reply(stream, reply));
        }
        if pause_left.is_some() {
            let reply = self.withdraw(attempt, Cause::Busy, PAUSED, out);
            return out.push(Action::Reply(stream, return_after(reply, pause_left)));
        }
        record.phase = Phase::Running;
        record.stream = Some(stream);
        out.push(Action::Hold(attempt, context));
        out.push(Action::Reply(stream, run::Reply::Started(attempt)));
        out.push(Action::Attach(stream, attempt, 0));
    }

    /// The engine holds a segment.
    pub(super) fn held(&mut self, attempt: id::Attempt) {
        self.unreachable_since = None;
        if let Some(record) = self.records.get_mut(&attempt) {
            record.prefilled = true;
            if let Role::Segment { held, .. } = &mut record.role {
                *held = true;
            }
        }
    }

    /// Moves the tokens that a segment of the same request reserved for its final run to that run,
    /// if they suffice. The run was admitted with its segment, so it is accepted even in a drain
    /// or with all slots taken.
    pub(super) fn take_final_tokens(&mut self, now: Duration, offer: &run::Offer) -> Option<u64> {
        let run::Work::Prompt { context, .. } = &offer.work else {
            return None;
        };
        if context.is_empty() || offer.remaining_ms == 0 || (offer.start && !offer.repeatable) {
            return None;
        }
        let backend = self.present(now)?;
        let cost = backend.capacity.cost(&offer.work);
        let request = offer.attempt.request;
        for (attempt, record) in &mut self.records {
            if attempt.request != request || record.phase != Phase::Running {
                continue;
            }
            if let Role::Segment {
                final_tokens,
                held: true,
            } = &mut record.role
                && *final_tokens >= cost
            {
                let tokens = std::mem::take(final_tokens);
                record.cost = record.cost.saturating_sub(tokens);
                return Some(tokens);
            }
        }
        None
    }
}
