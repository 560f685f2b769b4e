//! One member of a gang: its attempt, and when to query it.

use std::ops::Range;
use std::time::Duration;

use crate::entry::request;
use crate::wire::id;
use crate::wire::run;

/// How long a member may take to reserve. The time includes sending it its segment.
pub const RESERVE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a member may be silent before it is queried.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// First back-off before a query to a member whose stream was lost; it doubles with each query.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);

/// How long contact to a member may be lost. Must be less than the sidecar's resume grace.
pub const CONTACT_GRACE: Duration = Duration::from_millis(1_500);

/// Progress of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// It was offered its segment.
    Offered,
    /// Its memory is reserved.
    Reserved,
    /// Its segment is being prefilled.
    Prefilling,
    /// It holds its segment.
    Held(run::Context),
}

/// A member of a gang.
#[derive(Clone, Debug)]
pub struct Member {
    pub target: request::Target,
    pub attempt: id::Attempt,
    /// Bytes of the prompt that form its segment.
    pub segment: Range<usize>,
    /// Estimated tokens of the segment.
    pub tokens: u64,
    /// Tokens of memory that it reserves for the final run.
    pub final_tokens: u64,
    pub step: Step,
    /// When contact was lost.
    lost_since: Option<Duration>,
    /// When it is queried; before it has reserved, when it times out.
    due_at: Option<Duration>,
    /// Queries since the last reply.
    queries: u32,
}

impl Member {
    /// A member that was just offered a segment.
    pub fn new(
        now: Duration,
        target: request::Target,
        attempt: id::Attempt,
        segment: Range<usize>,
        tokens: u64,
        final_tokens: u64,
    ) -> Self {
        Self {
            target,
            attempt,
            segment,
            tokens,
            final_tokens,
            step: Step::Offered,
            lost_since: None,
            due_at: Some(now + RESERVE_TIMEOUT),
            queries: 0,
        }
    }

    /// A reply arrived or the next step was taken, so there is contact.
    pub fn on_reply(&mut self, now: Duration) {
        self.lost_since = None;
        self.queries = 0;
        self.due_at = match self.step {
            Step::Offered => self.due_at,
            // A query would withdraw the reservation.
            Step::Reserved => None,
            Step::Prefilling | Step::Held(_) => Some(now + SILENCE_TIMEOUT),
        };
    }

    /// Its stream was lost: a query is due after a back-off. `false`: it has no segment yet, so the
    /// loss makes its sidecar withdraw the reservation.
    pub fn on_stream_lost(&mut self, now: Duration) -> bool {
        if matches!(self.step, Step::Offered | Step::Reserved) {
            return false;
        }
        self.lost_since.get_or_insert(now);
        self.due_at = Some(now + FIRST_BACKOFF * 2u32.saturating_pow(self.queries.min(5)));
        true
    }

    /// A query was sent; the reply is due within [`CONTACT_GRACE`].
    pub fn on_query(&mut self, now: Duration) {
        self.queries += 1;
        self.lost_since.get_or_insert(now);
        self.due_at = Some(now + CONTACT_GRACE);
    }

    /// Whether a query or the timeout is due.
    pub fn is_due(&self, now: Duration) -> bool {
        self.due_at.is_some_and(|at| at <= now)
    }

    /// Whether it did not reserve in time, or contact has been lost for too long.
    pub fn is_lost(&self, now: Duration) -> bool {
        match self.step {
            Step::Offered => self.is_due(now),
            _ => self
                .lost_since
                .is_some_and(|since| since + CONTACT_GRACE <= now),
        }
    }

    /// When a query or a timeout is due next.
    pub fn wake(&self) -> Option<Duration> {
        let lost_at = self.lost_since.map(|since| since + CONTACT_GRACE);
        lost_at.into_iter().chain(self.due_at).min()
    }
}
