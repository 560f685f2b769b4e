//! What the backend server says and does.

use std::mem;
use std::time::Duration;

use super::Action;
use super::Backend;
use super::DEATH_WAIT;
use super::Ledger;
use super::Listed;
use super::Phase;
use super::REPORT_TIMEOUT;
use super::Segment;
use super::failed;
use super::parse;
use crate::wire::id;
use crate::wire::outcome::Cause;
use crate::wire::outcome::Ran;
use crate::wire::run;

/// How long the fingerprint of a run that was lost counts for a crash that shows later.
const CUT_COUNTS: Duration = Duration::from_secs(10);

impl Ledger {
    pub(super) fn announced(&mut self, now: Duration, backend: Backend, out: &mut Vec<Action>) {
        let old = self.backend.as_ref().map(|backend| backend.incarnation);
        if old.is_some_and(|old| backend.incarnation < old) {
            // A late word of a life that is over.
            return;
        }
        let was_leaving = self.leaving();
        let is_new = old != Some(backend.incarnation);
        if is_new {
            if let Some(old) = old {
                self.died(now, old, out);
            }
            self.orphans.clear();
            self.ended.clear();
        }
        self.valid = now + backend.ttl;
        self.backend = Some(backend);
        self.refused = None;
        if is_new || self.leaving() != was_leaving {
            out.push(Action::Announce);
        }
        if is_new && !self.is_plain() {
            out.push(Action::List);
        }
    }

    /// A life of the backend server is over, with all that ran in it.
    fn died(&mut self, now: Duration, engine: id::Incarnation, out: &mut Vec<Action>) {
        if self.dead.is_some_and(|dead| dead >= engine) {
            return;
        }
        self.dead = Some(engine);
        let mut running: Vec<id::Fingerprint> = self
            .cut
            .drain(..)
            .map(|(_, fingerprint)| fingerprint)
            .collect();
        let mut stopped = Vec::new();
        for (attempt, record) in &mut self.records {
            match record.phase {
                Phase::Filling | Phase::Reserved => {}
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

    /// The quorum knows of the crash, or has had its time: the final words go out.
    pub(super) fn reported(&mut self, now: Duration, out: &mut Vec<Action>) {
        let due: Vec<id::Attempt> = self
            .records
            .iter()
            .filter(|(_, record)| matches!(record.phase, Phase::Failing(_)))
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in due {
            self.lost(now, attempt, out);
        }
    }

    /// The final word on a run that the backend server lost.
    pub(super) fn lost(&mut self, now: Duration, attempt: id::Attempt, out: &mut Vec<Action>) {
        if let Some(record) = self.records.get(&attempt)
            && !matches!(record.phase, Phase::Failing(_))
        {
            // Whether the backend server died is not known yet.
            let until = now + CUT_COUNTS;
            self.cut
                .extend(record.fingerprint.map(|fingerprint| (until, fingerprint)));
        }
        if self.finish(now, attempt, Ran::MayHaveRun).is_some() {
            let message = "the backend server was lost while it ran";
            out.push(Action::End(failed(
                attempt,
                Cause::ServerLost,
                Ran::MayHaveRun,
                message,
            )));
        }
    }

    /// The backend server lives, and does not know these runs: a fault of its own, no death.
    fn missing(&mut self, now: Duration, out: &mut Vec<Action>) {
        let missing: Vec<id::Attempt> = self
            .records
            .iter()
            .filter(|(_, record)| matches!(record.phase, Phase::Missing(_)))
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in missing {
            self.finish(now, attempt, Ran::MayHaveRun);
            let message = "the backend server does not know the run";
            let reply = failed(attempt, Cause::ServerError, Ran::MayHaveRun, message);
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
            Phase::Filling | Phase::Reserved => {}
            Phase::Running | Phase::Missing(_) | Phase::Failing(_) | Phase::Stopping(_) => {
                self.finish(now, attempt, Ran::NotRun);
                let message = "the backend server did not take it";
                out.push(Action::End(failed(attempt, cause, Ran::NotRun, message)));
            }
        }
    }

    pub(super) fn ended(&mut self, now: Duration, reply: run::Reply, out: &mut Vec<Action>) {
        let attempt = reply.attempt();
        self.refused = None;
        let ran = match &reply {
            run::Reply::Done { .. } => Ran::Ran,
            _ => Ran::MayHaveRun,
        };
        let Some(record) = self.records.get(&attempt) else {
            return;
        };
        if matches!(record.phase, Phase::Filling | Phase::Reserved) {
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

    pub(super) fn cut(&mut self, now: Duration, attempt: id::Attempt, out: &mut Vec<Action>) {
        let is_plain = self.is_plain();
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        match record.phase {
            Phase::Running if is_plain => self.lost(now, attempt, out),
            // The engine's answer cannot be had again; what it holds is freed.
            Phase::Running if record.role.is_segment() => {
                let message = "contact to the engine was lost during the prefill of a segment";
                self.stop(now, attempt, Cause::ServerError, message, out);
            }
            // At the next tick.
            Phase::Running => record.resume = Some(now),
            // A cut call of a plain service cannot be stopped further.
            Phase::Stopping(_) if is_plain => {
                self.finish(now, attempt, Ran::MayHaveRun);
            }
            Phase::Filling
            | Phase::Reserved
            | Phase::Missing(_)
            | Phase::Failing(_)
            | Phase::Stopping(_) => {}
        }
    }

    pub(super) fn vanished(&mut self, now: Duration, attempt: id::Attempt, out: &mut Vec<Action>) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        if record.phase == Phase::Running {
            // Lost by a new life of the engine, which its list tells, or by this one.
            record.phase = Phase::Missing(now + REPORT_TIMEOUT);
            out.push(Action::List);
        }
    }

    pub(super) fn stopped(&mut self, now: Duration, run: &str) {
        self.orphans.remove(run);
        self.refused = None;
        let Some(attempt) = parse(run) else {
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
        if self.refused.is_none() {
            out.push(Action::Announce);
        }
        // Whether it is dead shows when it is asked again.
        self.list_due = self.list_due.min(now + super::RETRY_PAUSE);
        let since = *self.refused.get_or_insert(now);
        if now < since + DEATH_WAIT {
            return;
        }
        if let Some(backend) = &self.backend {
            let engine = backend.incarnation;
            self.died(now, engine, out);
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
        self.refused = None;
        if incarnation < current {
            return;
        }
        if incarnation > current {
            self.died(now, current, out);
        } else {
            self.missing(now, out);
        }
        let old = mem::take(&mut self.orphans);
        self.ended.clear();
        for listed in runs {
            let attempt = parse(&listed.id);
            if attempt.is_some_and(|attempt| self.records.contains_key(&attempt)) {
                continue;
            }
            if !listed.live {
                self.ended.insert(listed.id.clone());
                continue;
            }
            let since = old.get(&listed.id).map_or(now, |(since, _)| *since);
            let is_over = attempt.is_some_and(|attempt| self.tombstones.outcome(attempt).is_some());
            if is_over || now >= since + super::ORPHAN_GRACE {
                out.push(Action::Stop(listed.id.clone()));
            }
            self.orphans
                .insert(listed.id.clone(), (since, listed.memory));
        }
        for segment in segments {
            let owner = parse(&segment.owner);
            if owner.is_some_and(|owner| self.records.contains_key(&owner)) {
                continue;
            }
            let key = format!("segment {}", segment.handle);
            let since = old.get(&key).map_or(now, |(since, _)| *since);
            let is_over = owner.is_some_and(|owner| self.tombstones.outcome(owner).is_some());
            if is_over || now >= since + super::ORPHAN_GRACE {
                out.push(Action::FreeSegment(segment.handle.clone()));
            }
            self.orphans.insert(key, (since, segment.tokens));
        }
        self.listed = true;
        for asked in mem::take(&mut self.asked) {
            self.take_over(now, asked, out);
        }
    }
}
