//! One member of a gang: its attempt, and when to ask after it.

use std::ops::Range;
use std::time::Duration;

use crate::entry::request;
use crate::wire::id;
use crate::wire::run;

/// How long a member may take to reserve; its part of the prompt is sent in that time.
pub const RESERVE_TIMEOUT: Duration = Duration::from_secs(10);

/// A member that says nothing for this long is asked.
pub const SILENCE: Duration = Duration::from_secs(5);

/// First pause before a member that lost contact is asked again; it doubles with each.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// How long contact to a member may be lost. Less than the sidecar's resume grace.
pub const GRACE: Duration = Duration::from_millis(1_500);

/// How far a member is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// It was offered its segment.
    Offered,
    /// Its memory is reserved.
    Reserved,
    /// Its segment is being prefilled.
    Filling,
    /// It holds its segment.
    Held(run::Context),
}

/// One member.
#[derive(Clone, Debug)]
pub struct Member {
    /// Where.
    pub target: request::Target,
    /// Its attempt.
    pub attempt: id::Attempt,
    /// Its part of the prompt.
    pub segment: Range<usize>,
    /// Estimated tokens of it.
    pub tokens: u64,
    /// Tokens that it keeps for the final run.
    pub final_tokens: u64,
    /// How far it is.
    pub step: Step,
    /// Since when contact is lost.
    lost: Option<Duration>,
    /// When it is asked, or given up if it has not reserved by then.
    due: Option<Duration>,
    /// Questions since the last reply.
    asked: u32,
}

impl Member {
    /// A member that was just offered its segment.
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
            lost: None,
            due: Some(now + RESERVE_TIMEOUT),
            asked: 0,
        }
    }

    /// A step was made, or a reply came: there is contact.
    pub fn heard(&mut self, now: Duration) {
        self.lost = None;
        self.asked = 0;
        self.due = match self.step {
            Step::Offered => self.due,
            // A question would withdraw it.
            Step::Reserved => None,
            Step::Filling | Step::Held(_) => Some(now + SILENCE),
        };
    }

    /// Its stream is gone: ask after a pause. `false`: its sidecar has withdrawn it by that.
    pub fn lose(&mut self, now: Duration) -> bool {
        if matches!(self.step, Step::Offered | Step::Reserved) {
            return false;
        }
        self.lost.get_or_insert(now);
        self.due = Some(now + FIRST_PAUSE * 2u32.saturating_pow(self.asked.min(5)));
        true
    }

    /// It was asked; the answer is due within the grace.
    pub fn ask(&mut self, now: Duration) {
        self.asked += 1;
        self.lost.get_or_insert(now);
        self.due = Some(now + GRACE);
    }

    /// Whether something is due.
    pub fn is_due(&self, now: Duration) -> bool {
        self.due.is_some_and(|due| due <= now)
    }

    /// Whether it is given up: it did not reserve in time, or contact is lost for too long.
    pub fn is_gone(&self, now: Duration) -> bool {
        match self.step {
            Step::Offered => self.is_due(now),
            _ => self.lost.is_some_and(|since| since + GRACE <= now),
        }
    }

    /// When time brings something.
    pub fn wake(&self) -> Option<Duration> {
        let stale = self.lost.map(|since| since + GRACE);
        stale.into_iter().chain(self.due).min()
    }
}
