//! A piece of work of the engine, and where it stands.

use tokio::sync::watch;

/// What a piece of work is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A run that answers.
    Run,
    /// A segment that is held once prefilled.
    Segment {
        /// Attempt id that it belongs to.
        owner: String,
    },
}

/// Work to admit.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Attempt id, or the segment's handle.
    pub id: String,
    /// What it is.
    pub kind: Kind,
    /// Hash of the prompt, context included.
    pub hash: u64,
    /// Hashes of the prompt's blocks.
    pub blocks: Vec<u64>,
    /// Tokens to prefill: the prompt's and those delivered.
    pub tokens: u64,
    /// Tokens of the context that stands before the prompt, held elsewhere.
    pub before: u64,
    /// Tokens of the answer that are already given.
    pub delivered: u64,
    /// Length of the whole answer; 0 for a segment.
    pub max_tokens: u64,
    /// Higher goes first.
    pub priority: u8,
    /// When it is dropped.
    pub deadline: u64,
    /// Whether it kills the engine.
    pub poison: bool,
}

impl Ask {
    /// KV memory that it needs, in tokens.
    pub(super) fn memory(&self) -> u64 {
        self.tokens + self.max_tokens.saturating_sub(self.delivered)
    }
}

/// Why work is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The id was seen before.
    Duplicate,
    /// The queue is full.
    Busy,
    /// It does not fit into the memory that is free.
    Memory,
}

/// Where a piece of work stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Waits for a place in the batch.
    Queued,
    /// Has a place; its prompt is being prefilled.
    Prefill,
    /// Its answer is being generated.
    Decode,
    /// A segment that is ready.
    Held,
    /// Over.
    Done(End),
}

/// How work ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer is there.
    Length,
    /// It was cancelled.
    Cancelled,
    /// Its deadline passed.
    Deadline,
}

/// What a stream follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Where it stands.
    pub state: State,
    /// Number of answer tokens there are, delivered ones included.
    pub length: u64,
    /// Prompt tokens that were cached, known from the prefill's start.
    pub cached: u64,
}

/// A piece of work.
#[derive(Debug)]
pub struct Work {
    /// What was asked.
    pub ask: Ask,
    /// Tokens prefilled, cached ones included; at most `ask.tokens`.
    pub(super) prefilled: u64,
    pub(super) progress: watch::Sender<Progress>,
}

impl Work {
    /// Where it stands.
    pub fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Memory that it holds now, in tokens.
    pub fn memory(&self) -> u64 {
        match self.progress().state {
            State::Done(_) => 0,
            _ => self.ask.memory(),
        }
    }

    /// Follows its progress.
    pub fn watch(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Runs whose prefill has begun.
    pub runs_started: u64,
    /// Runs with a whole answer.
    pub runs_finished: u64,
    /// Runs and segments cancelled.
    pub cancelled: u64,
    /// Runs and segments dropped at their deadline.
    pub expired: u64,
    /// Work refused as a duplicate.
    pub duplicates: u64,
    /// Prompt tokens prefilled, without those cached.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Answer tokens generated.
    pub output_tokens: u64,
}

/// Whether the engine lives on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Health {
    /// It does.
    Alive,
    /// A poisonous prompt has begun.
    Dead,
}
