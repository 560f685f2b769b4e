//! Events of the backend server.

use std::mem;
use std::time::Duration;

use super::Action;
use super::Backend;
use super::Ledger;
use super::Listed;
use super::Phase;
use super::REPORT_TIMEOUT;
use super::Segment;
use super::UNREACHABLE_TIMEOUT;
use super::failure_reply;
use super::parse_run;
use super::return_after;
use crate::wire::id;
use crate::wire::outcome::Cause;
use crate::wire::outcome::Ran;
use crate::wire::run;

/// How long after the loss of a run its fingerprint is included in the report of a crash.
const LOST_RUN_WINDOW: Duration = Duration::from_secs(10);

impl Ledger {
    pub(super) fn announced(&mut self, now: Duration, backend: Backend, out: &mut Vec<Action>) {
        let old = self.backend.as_ref().map(|backend| backend.incarnation);
        if old.is_some_and(|old| backend.incarnation < old) {
            // A late announcement of an earlier incarnation.
            return;
        }
        let was_leaving = self.leaving();
        let is_new = old != Some(backend.incarnation);
        if is_new {
            if let Some(old) = old {
                self.server_died(now, old, out);
            }
            self.orphans.clear();
            self.ended_orphans.clear();
            self.paused_until = Duration::ZERO;
        }
        self.valid_until = now + backend.ttl;
        self.backend = Some(backend);
        self.unreachable_since = None;
        if is_new || self.leaving() != was_leaving {
            out.push(Action::Announce);
        }
        if is_new && !self.is_plain() {
            out.push(Action::List);
        }
    }

    /// Handles the death of an incarnation of the backend server: its runs are lost.
    fn server_died(&mut self, now: Duration, engine: id::Incarnation, out: &mut Vec<Action>) {
        if self.last_dead.is_some_and(|dead| dead >= engine) {
            return;
        }
        self.last_dead = Some(engine);
        let mut running: Vec<id::Fingerprint> = self
            .lost_runs
            .drain(..)
            .map(|(_, fingerprint)| fingerprint)
            .collect();
        let mut stopped = Vec::new();
        for (attempt, record) in &mut self.records {
            match record.phase {
                Phase::ReceivingBody | Phase::Reserved => {}
                Phase::Running | Phase::Missing(_) | Phase::Failing(_) => {
                    if !record.is_held() {
                        running.extend(record.fingerprint);
                    }
                    record.phase = Phase::Failing(now + REPORT_TIMEOUT);
                }
                Phase::Stopping(_) => {
                    running.extend(record.fingerprint);
                    stopped.push(*attempt);
                }
            }
        }
        for attempt in stopped {
            self.finish(now, attempt, Ran::MayHaveRun);
        }
        running.sort_unstable();
        running.dedup();
        if !running.is_empty() {
            out.push(Action::Crash { engine, running });
        }
        out.push(Action::Announce);
    }

    /// Sends the final replies that waited for the quorum to record the crash.
    pub(super) fn crash_reported(&mut self, now: Duration, out: &mut Vec<Action>) {
        let due: Vec<id::Attempt> = self
            .records
            .iter()
            .filter(|(_, record)| matches!(record.phase, Phase::Failing(_)))
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in due {
            self.fail_lost(now, attempt, out);
        }
    }

    /// Fails a run that the backend server lost.
    pub(super) fn fail_lost(&mut self, now: Duration, attempt: id::Attempt, out: &mut Vec<Action>) {
        if let Some(record) = self.records.get(&attempt)
            && !matches!(record.phase, Phase::Failing(_))
        {
            // Whether the backend server died is not known yet.
            let until = now + LOST_RUN_WINDOW;
            self.lost_runs
                .extend(record.fingerprint.map(|fingerprint| (until, fingerprint)));
        }
        if self.finish(now, attempt, Ran::MayHaveRun).is_some() {
            let message = "the backend server was lost while it ran";
            out.push(Action::End(failure_reply(
                attempt,
                Cause::ServerLost,
                Ran::MayHaveRun,
                message,
            )));
        }
    }

    /// Fails runs that a live backend server does not know: an error of its own, not a crash.
    fn fail_missing(&mut self, now: Duration, out: &mut Vec<Action>) {
        let missing: Vec<id::Attempt> = self
            .records
            .iter()
            .filter(|(_, record)| matches!(record.phase, Phase::Missing(_)))
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in missing {
            self.finish(now, attempt, Ran::MayHaveRun);
            let message = "the backend server does not know the run";
            let reply = failure_reply(attempt, Cause::ServerError, Ran::MayHaveRun, message);
            out.push(Action::End(reply));
        }
    }

    pub(super) fn rejected(
        &mut self,
        now: Duration,
        attempt: id::Attempt,
        cause: Cause,
        out: &mut Vec<Action>,
    ) {
        let Some(record) = self.records.get(&attempt) else {
            return;
        };
        match record.phase {
            Phase::ReceivingBody | Phase::Reserved => {}
            Phase::Running | Phase::Missing(_) | Phase::Failing(_) | Phase::Stopping(_) => {
                self.finish(now, attempt, Ran::NotRun);
                let message = "the backend server did not take it";
                let reply = failure_reply(attempt, cause, Ran::NotRun, message);
                out.push(Action::End(return_after(reply, self.pause_left(now))));
            }
        }
    }

    pub(super) fn ended(&mut self, now: Duration, reply: run::Reply, out: &mut Vec<Action>) {
        let attempt = reply.attempt();
        self.unreachable_since = None;
        let ran = match &reply {
            run::Reply::Done { .. } => Ran::Ran,
            _ => Ran::MayHaveRun,
        };
        let Some(record) = self.records.get(&attempt) else {
            return;
        };
        if matches!(record.phase, Phase::ReceivingBody | Phase::Reserved) {
            return;
        }
        let Some(record) = self.finish(now, attempt, ran) else {
            return;
        };
        if let Some(fingerprint) = record.fingerprint
            && ran == Ran::Ran
        {
            out.push(Action::ClearSuspect(fingerprint));
        }
        out.push(Action::End(reply));
    }

    pub(super) fn disconnected(
        &mut self,
        now: Duration,
        attempt: id::Attempt,
        out: &mut Vec<Action>,
    ) {
        let is_plain = self.is_plain();
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        match record.phase {
            Phase::Running if is_plain => self.fail_lost(now, attempt, out),
            // The reply to a prefill cannot be resumed, so the engine's memory is freed.
            Phase::Running if record.role.is_segment() => {
                let message = "contact to the engine was lost during the prefill of a segment";
                self.stop(now, attempt, Cause::ServerError, message, out);
            }
            // Resumed at the next tick.
            Phase::Running => record.resume_at = Some(now),
            // Closing the connection is all that stops a call to a plain service.
            Phase::Stopping(_) if is_plain => {
                self.finish(now, attempt, Ran::MayHaveRun);
            }
            Phase::ReceivingBody
            | Phase::Reserved
            | Phase::Missing(_)
            | Phase::Failing(_)
            | Phase::Stopping(_) => {}
        }
    }

    pub(super) fn not_found(&mut self, now: Duration, attempt: id::Attempt, out: &mut Vec<Action>) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        if record.phase == Phase::Running {
            // The list tells whether the engine restarted or lost the run by itself.
            record.phase = Phase::Missing(now + REPORT_TIMEOUT);
            out.push(Action::List);
        }
    }

    pub(super) fn stopped(&mut self, now: Duration, run: &str) {
        self.orphans.remove(run);
        self.unreachable_since = None;
        let Some(attempt) = parse_run(run) else {
            return;
        };
        let stopping = self
            .records
            .get(&attempt)
            .is_some_and(|record| matches!(record.phase, Phase::Stopping(_)));
        if stopping {
            self.finish(now, attempt, Ran::MayHaveRun);
        }
    }

    pub(super) fn unreachable(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.unreachable_since.is_none() {
            out.push(Action::Announce);
        }
        // The next read of the list shows whether it is dead.
        self.list_due = self.list_due.min(now + super::RETRY_DELAY);
        let since = *self.unreachable_since.get_or_insert(now);
        if now < since + UNREACHABLE_TIMEOUT {
            return;
        }
        if let Some(backend) = &self.backend {
            let engine = backend.incarnation;
            self.server_died(now, engine, out);
        }
    }

    pub(super) fn list(
        &mut self,
        now: Duration,
        incarnation: id::Incarnation,
        runs: &[Listed],
        segments: &[Segment],
        out: &mut Vec<Action>,
    ) {
        let Some(current) = self.backend.as_ref().map(|backend| backend.incarnation) else {
            return;
        };
        self.unreachable_since = None;
        if incarnation < current {
            return;
        }
        if incarnation > current {
            self.server_died(now, current, out);
        } else {
            self.fail_missing(now, out);
        }
        let old = mem::take(&mut self.orphans);
        self.ended_orphans.clear();
        for listed in runs {
            let attempt = parse_run(&listed.id);
            if attempt.is_some_and(|attempt| self.records.contains_key(&attempt)) {
                continue;
            }
            if !listed.live {
                self.ended_orphans.insert(listed.id.clone());
                continue;
            }
            let since = old.get(&listed.id).map_or(now, |(since, _)| *since);
            let is_tombstoned =
                attempt.is_some_and(|attempt| self.tombstones.outcome(attempt).is_some());
            if is_tombstoned || now >= since + super::ORPHAN_GRACE {
                out.push(Action::Stop(listed.id.clone()));
            }
            self.orphans
                .insert(listed.id.clone(), (since, listed.memory));
        }
        for segment in segments {
            let owner = parse_run(&segment.owner);
            if owner.is_some_and(|owner| self.records.contains_key(&owner)) {
                continue;
            }
            let key = format!("segment {}", segment.handle);
            let since = old.get(&key).map_or(now, |(since, _)| *since);
            let is_tombstoned = owner.is_some_and(|owner| self.tombstones.outcome(owner).is_some());
            if is_tombstoned || now >= since + super::ORPHAN_GRACE {
                out.push(Action::FreeSegment(segment.handle.clone()));
            }
            self.orphans.insert(key, (since, segment.tokens));
        }
        self.has_list = true;
        for query in mem::take(&mut self.pending_queries) {
            self.take_over(now, query, out);
        }
    }
}
