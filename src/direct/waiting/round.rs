//! The tries of a lane of waiting requests.

use std::time::Duration;

use super::item::Ticket;

/// Time after which a lane is tried without any event: a report may be lost, and a read may end
/// sooner than predicted.
pub(super) const FALLBACK: Duration = Duration::from_millis(100);

/// Where something changed that may give a waiting request a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// In what another process told; rounds for it keep a distance.
    Elsewhere,
    /// At this entry; a round at once.
    Here,
}

/// The tries of one lane.
#[derive(Clone, Debug, Default)]
pub(super) struct Round {
    /// The request that is being tried.
    pub(super) trying: Option<Ticket>,
    /// What changed since its try began.
    pub(super) missed: Option<Source>,
    /// When the last round began.
    pub(super) began: Duration,
    /// When the next one is due, besides [`FALLBACK`].
    pub(super) due: Option<Duration>,
    /// Requests that were placed.
    pub(super) placed: u32,
}

impl Round {
    /// When the next round is due. `None`: a request is being tried.
    pub(super) fn due_at(&self) -> Option<Duration> {
        let fallback = self.began + FALLBACK;
        let due = self.due.map_or(fallback, |due| due.min(fallback));
        self.trying.is_none().then_some(due)
    }

    /// Makes the next round due at `due` at the latest.
    pub(super) fn plan(&mut self, due: Duration) {
        self.due = Some(self.due.map_or(due, |known| known.min(due)));
    }
}

/// Outcome of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No place. It goes first, so those behind it wait too.
    Blocks,
    /// No place until this time, for a reason that need not concern those behind it.
    Passes(Duration),
}

/// Result of [`Waiting::enqueue`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Enqueued {
    /// It waits. `rejected` no longer do, since the queue was full.
    Waits {
        ticket: Ticket,
        /// How many of its lane go before it.
        ahead: usize,
        rejected: Vec<Ticket>,
    },
    /// The queue is full, and its rejection loses least.
    Rejected,
}

/// What waits in one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    pub requests: usize,
    pub bytes: usize,
    /// How long the oldest has waited since it arrived.
    pub oldest: Duration,
}
