//! Timeouts and periodic work.

use std::time::Duration;

use super::Action;
use super::FROZEN_TIMEOUT;
use super::HELD_LIST_PERIOD;
use super::LIST_PERIOD;
use super::Ledger;
use super::Phase;
use super::RESUME_GRACE;
use super::RETRY_DELAY;
use super::Record;
use crate::wire::id;
use crate::wire::outcome::Cause;

/// Action due on an attempt.
enum Due {
    /// Its reservation is past its time limit.
    Withdraw,
    /// Its run is past its time limit.
    Expire,
    /// It had no stream for [`RESUME_GRACE`].
    Abandon,
    /// Its backend server is frozen, and the run is repeatable on another one.
    FailOver,
    /// The time to wait for the list or for the quorum is over.
    Fail,
    /// Try again to stop it.
    Stop,
    /// Try again to reopen its stream.
    Resume,
}

impl Record {
    fn due(&self, now: Duration, is_frozen: bool) -> Option<Due> {
        match self.phase {
            Phase::ReceivingBody | Phase::Reserved => {
                (now >= self.deadline).then_some(Due::Withdraw)
            }
            Phase::Missing(until) | Phase::Failing(until) => (now >= until).then_some(Due::Fail),
            Phase::Stopping(at) => (now >= at).then_some(Due::Stop),
            Phase::Running if now >= self.deadline => Some(Due::Expire),
            Phase::Running if self.is_abandoned(now) => Some(Due::Abandon),
            Phase::Running if is_frozen && self.repeatable => Some(Due::FailOver),
            Phase::Running => self
                .resume_at
                .is_some_and(|at| now >= at)
                .then_some(Due::Resume),
        }
    }

    /// A run that is not repeatable goes on to its end, so that a query can still learn its
    /// outcome.
    fn is_abandoned(&self, now: Duration) -> bool {
        self.repeatable
            && self
                .detached_at
                .is_some_and(|since| now >= since + RESUME_GRACE)
    }
}

impl Ledger {
    pub(super) fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.lost_runs.retain(|(until, _)| *until > now);
        let is_frozen = self.backend.is_some() && now >= self.valid_until + FROZEN_TIMEOUT;
        let due: Vec<(id::Attempt, Due)> = self
            .records
            .iter()
            .filter_map(|(attempt, record)| Some((*attempt, record.due(now, is_frozen)?)))
            .collect();
        for (attempt, due) in due {
            self.apply_due(now, attempt, due, out);
        }
        self.discard_expired(now, out);
        if now >= self.list_due && self.backend.is_some() && !self.is_plain() {
            let has_held = self.records.values().any(Record::is_held);
            self.list_due = now
                + if has_held {
                    HELD_LIST_PERIOD
                } else {
                    LIST_PERIOD
                };
            out.push(Action::List);
        }
    }

    fn apply_due(&mut self, now: Duration, attempt: id::Attempt, due: Due, out: &mut Vec<Action>) {
        match due {
            Due::Withdraw => {
                let stream = self.records.get(&attempt).and_then(|record| record.stream);
                let reply = self.withdraw(attempt, Cause::Deadline, "not started in time", out);
                out.extend(stream.map(|stream| Action::Reply(stream, reply)));
            }
            Due::Expire => self.stop(now, attempt, Cause::Deadline, "past its time limit", out),
            Due::Abandon => self.stop(now, attempt, Cause::Cancelled, "its entry is silent", out),
            Due::FailOver => {
                let message = "the backend server does not answer";
                self.stop(now, attempt, Cause::ServerError, message, out);
            }
            Due::Fail => self.fail_lost(now, attempt, out),
            Due::Stop => {
                if let Some(record) = self.records.get_mut(&attempt) {
                    record.phase = Phase::Stopping(now + RETRY_DELAY);
                    out.push(record.stop_action(attempt));
                }
            }
            Due::Resume => {
                if let Some(record) = self.records.get_mut(&attempt) {
                    record.resume_at = None;
                }
                out.push(Action::Resume(attempt, 0));
            }
        }
    }

    /// Drops expired responses. The outcome stays in the tombstone.
    fn discard_expired(&mut self, now: Duration, out: &mut Vec<Action>) {
        let expired: Vec<id::Attempt> = self
            .kept_responses
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in expired {
            self.kept_responses.remove(&attempt);
            out.push(Action::Discard(attempt));
        }
    }
}
