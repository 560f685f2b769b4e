//! What time brings.

use std::time::Duration;

use super::Action;
use super::FROZEN_WAIT;
use super::HELD_LIST_PERIOD;
use super::LIST_PERIOD;
use super::Ledger;
use super::Phase;
use super::RESUME_GRACE;
use super::RETRY_PAUSE;
use super::Record;
use crate::wire::id;
use crate::wire::outcome::Cause;

/// What is due on an attempt.
enum Due {
    /// Its reservation is past its time limit.
    Withdraw,
    /// Its run is past its time limit.
    Expire,
    /// Its entry stayed silent.
    Abandon,
    /// Its backend server is frozen, and it may run elsewhere.
    Move,
    /// The quorum had its time to hear of the crash.
    Fail,
    /// Try again to stop it.
    Stop,
    /// Try again to take up its stream.
    Resume,
}

impl Record {
    fn due(&self, now: Duration, is_frozen: bool) -> Option<Due> {
        match self.phase {
            Phase::Filling | Phase::Reserved => (now >= self.deadline).then_some(Due::Withdraw),
            Phase::Missing(until) | Phase::Failing(until) => (now >= until).then_some(Due::Fail),
            Phase::Stopping(at) => (now >= at).then_some(Due::Stop),
            Phase::Running if now >= self.deadline => Some(Due::Expire),
            Phase::Running if self.is_abandoned(now) => Some(Due::Abandon),
            Phase::Running if is_frozen && self.repeatable => Some(Due::Move),
            Phase::Running => self
                .resume
                .is_some_and(|at| now >= at)
                .then_some(Due::Resume),
        }
    }

    /// What may not be repeated goes on to its end, so that a query can still learn how it went.
    fn is_abandoned(&self, now: Duration) -> bool {
        self.repeatable && self.silent.is_some_and(|since| now >= since + RESUME_GRACE)
    }
}

impl Ledger {
    pub(super) fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.cut.retain(|(until, _)| *until > now);
        let is_frozen = self.backend.is_some() && now >= self.valid + FROZEN_WAIT;
        let due: Vec<(id::Attempt, Due)> = self
            .records
            .iter()
            .filter_map(|(attempt, record)| Some((*attempt, record.due(now, is_frozen)?)))
            .collect();
        for (attempt, due) in due {
            self.act(now, attempt, due, out);
        }
        self.forget(now, out);
        if now >= self.list_due && self.backend.is_some() && !self.is_plain() {
            let holds = self.records.values().any(Record::is_held);
            self.list_due = now + if holds { HELD_LIST_PERIOD } else { LIST_PERIOD };
            out.push(Action::List);
        }
    }

    fn act(&mut self, now: Duration, attempt: id::Attempt, due: Due, out: &mut Vec<Action>) {
        match due {
            Due::Withdraw => {
                let stream = self.records.get(&attempt).and_then(|record| record.stream);
                let reply = self.withdraw(attempt, Cause::Deadline, "not started in time", out);
                out.extend(stream.map(|stream| Action::Reply(stream, reply)));
            }
            Due::Expire => self.stop(now, attempt, Cause::Deadline, "past its time limit", out),
            Due::Abandon => self.stop(now, attempt, Cause::Cancelled, "its entry is silent", out),
            Due::Move => {
                let message = "the backend server does not answer";
                self.stop(now, attempt, Cause::ServerError, message, out);
            }
            Due::Fail => self.lost(now, attempt, out),
            Due::Stop => {
                if let Some(record) = self.records.get_mut(&attempt) {
                    record.phase = Phase::Stopping(now + RETRY_PAUSE);
                    out.push(record.halt(attempt));
                }
            }
            Due::Resume => {
                if let Some(record) = self.records.get_mut(&attempt) {
                    record.resume = None;
                }
                out.push(Action::Resume(attempt, 0));
            }
        }
    }

    /// Drops answers that were kept long enough. Their fate stays in the tombstone.
    fn forget(&mut self, now: Duration, out: &mut Vec<Action>) {
        let past: Vec<id::Attempt> = self
            .kept
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in past {
            self.kept.remove(&attempt);
            out.push(Action::Discard(attempt));
        }
    }
}
