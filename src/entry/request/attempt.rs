//! The attempt in progress: its progress, and when to query the sidecar about it.

use std::time::Duration;

use super::Target;
use crate::wire::id;

/// How long an offer, a start or a query may go without a reply before the sidecar is queried.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Slowest link rate that the reply timeout of an offer with a body allows for.
const MIN_BODY_BYTES_PER_MS: u64 = 4_000;

/// How long a started attempt may be silent before the sidecar is queried.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(5_000);

/// First back-off before a query to a sidecar whose stream was lost; it doubles with each query.
pub const FIRST_BACKOFF: Duration = Duration::from_millis(50);

/// Longest back-off before such a query.
pub const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// How long contact may be lost before a repeatable request is retried on another server.
pub const CONTACT_GRACE: Duration = Duration::from_millis(1_500);

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// Offered without a start: it cannot run.
    Offered,
    /// The start was sent or came with the offer: it may run.
    StartSent,
    /// The sidecar reported that it started.
    Started,
}

/// The attempt in progress.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub target: Target,
    pub id: id::Attempt,
    pub step: Step,
    /// When contact was lost.
    lost_since: Option<Duration>,
    /// When to query the sidecar.
    query_at: Option<Duration>,
    /// Queries since the last reply.
    queries: u32,
}

impl Attempt {
    /// An attempt that was just offered. Its body of `body_len` bytes is sent before a reply.
    pub fn new(now: Duration, target: Target, id: id::Attempt, start: bool, body_len: u64) -> Self {
        let body = Duration::from_millis(body_len / MIN_BODY_BYTES_PER_MS);
        Self {
            target,
            id,
            step: if start {
                Step::StartSent
            } else {
                Step::Offered
            },
            lost_since: None,
            query_at: Some(now + REPLY_TIMEOUT + body),
            queries: 0,
        }
    }

    /// The start was sent; a reply is due.
    pub fn start(&mut self, now: Duration) {
        self.step = Step::StartSent;
        self.query_at = Some(now + REPLY_TIMEOUT);
    }

    /// A reply arrived, so there is contact.
    pub fn on_reply(&mut self, now: Duration) {
        self.lost_since = None;
        self.queries = 0;
        if self.step == Step::Started {
            self.query_at = Some(now + SILENCE_TIMEOUT);
        }
    }

    /// Its stream was lost: the next query is due after a back-off.
    pub fn on_stream_lost(&mut self, now: Duration) {
        self.lost_since.get_or_insert(now);
        let backoff = FIRST_BACKOFF * 2u32.saturating_pow(self.queries.min(10));
        self.query_at = Some(now + backoff.min(MAX_BACKOFF));
    }

    /// A part of the response is missing: a query is due at once, unless one is unanswered or
    /// backing off.
    pub fn on_gap(&mut self, now: Duration) {
        let is_backing_off = self.queries > 0 && self.query_at.is_some_and(|at| at > now);
        if !is_backing_off {
            self.query_at = Some(now);
        }
    }

    /// A query was sent; the next is due if no reply arrives in time.
    pub fn on_query(&mut self, now: Duration) {
        self.queries += 1;
        self.lost_since.get_or_insert(now);
        self.query_at = Some(now + REPLY_TIMEOUT);
    }

    /// Whether a query is due.
    pub fn is_due(&self, now: Duration) -> bool {
        self.query_at.is_some_and(|at| at <= now)
    }

    /// Whether contact has been lost for at least [`CONTACT_GRACE`].
    pub fn is_unreachable(&self, now: Duration) -> bool {
        self.lost_since
            .is_some_and(|since| since + CONTACT_GRACE <= now)
    }

    /// When the next query is due.
    pub fn query_at(&self) -> Option<Duration> {
        self.query_at
    }

    /// When it becomes unreachable, if contact is lost.
    pub fn unreachable_at(&self) -> Option<Duration> {
        self.lost_since.map(|since| since + CONTACT_GRACE)
    }
}
