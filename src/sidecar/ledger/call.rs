//! What entries call.

use std::time::Duration;

use super::Action;
use super::Asked;
use super::LEAVING_GRACE;
use super::Ledger;
use super::MAX_LIMIT;
use super::Phase;
use super::Record;
use super::Stream;
use super::failed;
use super::segment;
use crate::wire::id;
use crate::wire::outcome::Cause;
use crate::wire::outcome::Ran;
use crate::wire::run;

impl Ledger {
    pub(super) fn offer(
        &mut self,
        now: Duration,
        stream: Stream,
        offer: &run::Offer,
        out: &mut Vec<Action>,
    ) {
        let attempt = offer.attempt;
        if offer.sidecar != self.life {
            // Nothing to remember: an offer to another life is refused whenever it comes.
            let reply = self.refusal(attempt, Cause::NoServer, "another life of the sidecar");
            return out.push(Action::Reply(stream, reply));
        }
        if self.records.contains_key(&attempt) || self.kept.contains_key(&attempt) {
            // Sent twice: the first one counts.
            return;
        }
        if let Some(ran) = self.tombstones.outcome(attempt) {
            let reply = self.buried(attempt, ran);
            return out.push(Action::Reply(stream, reply));
        }
        if !self.has_capacity() {
            // Without a tombstone a late copy of a folded offer might still run, so nothing is
            // said of it; one that waits for its start never gets it.
            if !offer.start {
                let reply = self.refusal(attempt, Cause::Busy, "too many attempts of late");
                out.push(Action::Reply(stream, reply));
            }
            return;
        }
        let covered = self.cover(now, offer);
        let admitted = covered.map_or_else(|| self.admit(now, offer), Ok);
        match admitted {
            Ok(cost) => {
                let mut record = Self::record(now, stream, offer, cost);
                if covered.is_some() {
                    record.role = segment::Role::Covered;
                }
                self.records.insert(attempt, record);
                if offer.body_len == 0 {
                    self.filled(now, attempt, out);
                }
            }
            Err((cause, message)) => {
                self.tombstones.insert(attempt, Ran::NotRun);
                out.push(Action::Discard(attempt));
                let reply = self.refusal(attempt, cause, message);
                out.push(Action::Reply(stream, reply));
            }
        }
    }

    fn admit(&self, now: Duration, offer: &run::Offer) -> Result<u64, (Cause, &'static str)> {
        if self.draining {
            return Err((Cause::Draining, "the sidecar drains"));
        }
        let Some(backend) = self.present(now) else {
            return Err((Cause::NoServer, "the backend server is not present"));
        };
        if backend.leaving {
            return Err((Cause::Leaving, "the backend server is leaving"));
        }
        if offer.remaining_ms == 0 {
            return Err((Cause::Deadline, "the time limit has passed"));
        }
        if offer.start && !offer.repeatable {
            return Err((
                Cause::BadRequest,
                "a folded start of what may not be repeated",
            ));
        }
        if let run::Work::Prompt { model, .. } | run::Work::Segment { model, .. } = &offer.work
            && !backend.models.contains(model)
        {
            return Err((Cause::NoServer, "the model is not loaded"));
        }
        let other = Some(offer.fingerprint);
        let mut records = self.records.values();
        if offer.suspect && records.any(|it| it.suspect && it.fingerprint != other) {
            return Err((Cause::Busy, "another suspect is on the backend server"));
        }
        let cost = backend.capacity.cost(&offer.work);
        match backend.capacity.admit(&self.load(), offer.class, cost) {
            Ok(()) => Ok(cost),
            Err(cause) => Err((cause, "no room on the backend server")),
        }
    }

    fn record(now: Duration, stream: Stream, offer: &run::Offer, cost: u64) -> Record {
        let limit = Duration::from_millis(offer.remaining_ms).min(MAX_LIMIT);
        let (prompt_tokens, first) = match &offer.work {
            run::Work::Prompt {
                prompt_tokens,
                delivered,
                ..
            } => (*prompt_tokens, delivered.len() as u64),
            run::Work::Segment { prompt_tokens, .. } => (*prompt_tokens, 0),
            run::Work::Http { .. } => (0, 0),
        };
        Record {
            fingerprint: Some(offer.fingerprint),
            suspect: offer.suspect,
            class: offer.class,
            priority: offer.priority,
            repeatable: offer.repeatable,
            start: offer.start,
            prompt_tokens,
            first,
            cost,
            deadline: now + limit,
            phase: Phase::Filling,
            stream: Some(stream),
            silent: None,
            resume: None,
            begun: false,
            role: segment::Role::of(&offer.work),
        }
    }

    pub(super) fn filled(&mut self, now: Duration, attempt: id::Attempt, out: &mut Vec<Action>) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        if record.phase != Phase::Filling {
            return;
        }
        record.phase = Phase::Reserved;
        if record.start {
            self.start(now, attempt, out);
        } else if let Some(stream) = record.stream {
            out.push(Action::Reply(stream, run::Reply::Reserved(attempt)));
        }
    }

    fn start(&mut self, now: Duration, attempt: id::Attempt, out: &mut Vec<Action>) {
        let is_late = self.left.is_some_and(|left| now >= left + LEAVING_GRACE);
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        if record.phase != Phase::Reserved || record.role.is_segment() {
            return;
        }
        // What a segment covers was in progress before.
        if is_late && record.role != segment::Role::Covered {
            let stream = record.stream;
            let reply = self.withdraw(attempt, Cause::Leaving, "left before its start", out);
            out.extend(stream.map(|stream| Action::Reply(stream, reply)));
            return;
        }
        record.phase = Phase::Running;
        out.push(Action::Run(attempt));
        if let Some(stream) = record.stream {
            out.push(Action::Reply(stream, run::Reply::Started(attempt)));
            out.push(Action::Attach(stream, attempt, record.first));
        }
    }

    pub(super) fn call(
        &mut self,
        now: Duration,
        stream: Stream,
        call: run::Call,
        out: &mut Vec<Action>,
    ) {
        match call {
            run::Call::Offer(_) | run::Call::Body(_) => {}
            run::Call::Start(attempt) => self.start_call(now, stream, attempt, out),
            run::Call::Cancel(attempt) => self.cancel(now, stream, attempt, out),
            run::Call::Hold { attempt, context } => {
                self.hold(now, stream, attempt, context, out);
            }
            run::Call::Query {
                attempt,
                offset,
                sidecar,
            } => {
                let asked = Asked {
                    stream,
                    attempt,
                    offset,
                };
                self.query(now, asked, sidecar, out);
            }
        }
    }

    fn start_call(
        &mut self,
        now: Duration,
        stream: Stream,
        attempt: id::Attempt,
        out: &mut Vec<Action>,
    ) {
        if self.records.contains_key(&attempt) || self.kept.contains_key(&attempt) {
            return self.start(now, attempt, out);
        }
        let reply = match self.tombstones.outcome(attempt) {
            Some(ran) => self.buried(attempt, ran),
            None => run::Reply::Unknown(attempt),
        };
        out.push(Action::Reply(stream, reply));
    }

    fn cancel(
        &mut self,
        now: Duration,
        stream: Stream,
        attempt: id::Attempt,
        out: &mut Vec<Action>,
    ) {
        let Some(record) = self.records.get(&attempt) else {
            if self.kept.contains_key(&attempt) {
                return;
            }
            // A late offer of it must not run. Of an earlier life nothing is known.
            if self.has_capacity() {
                self.tombstones.insert(attempt, Ran::MayHaveRun);
            }
            if self.orphans.contains_key(&attempt.to_string()) {
                out.push(Action::Stop(attempt.to_string()));
            }
            return;
        };
        match record.phase {
            Phase::Filling | Phase::Reserved => {
                let reply =
                    self.withdraw(attempt, Cause::Cancelled, "withdrawn before its start", out);
                out.push(Action::Reply(stream, reply));
            }
            Phase::Running | Phase::Missing(_) | Phase::Failing(_) => {
                self.stop(now, attempt, Cause::Cancelled, "cancelled", out);
            }
            Phase::Stopping(_) => {}
        }
    }

    /// Takes back a reservation that was not started.
    pub(super) fn withdraw(
        &mut self,
        attempt: id::Attempt,
        cause: Cause,
        message: &str,
        out: &mut Vec<Action>,
    ) -> run::Reply {
        self.bury(attempt, Ran::NotRun);
        out.push(Action::Discard(attempt));
        self.refusal(attempt, cause, message)
    }

    /// Stops a run: the final word at once, its room free when the backend server says so.
    pub(super) fn stop(
        &mut self,
        now: Duration,
        attempt: id::Attempt,
        cause: Cause,
        message: &str,
        out: &mut Vec<Action>,
    ) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        if matches!(record.phase, Phase::Failing(_)) {
            // The life of the backend server that it ran in is over: nothing is left to stop.
            self.finish(now, attempt, Ran::MayHaveRun);
            let reply = failed(attempt, cause, Ran::MayHaveRun, message);
            return out.push(Action::End(reply));
        }
        record.phase = Phase::Stopping(now + super::RETRY_PAUSE);
        record.stream = None;
        let halt = record.halt(attempt);
        out.push(Action::End(failed(
            attempt,
            cause,
            Ran::MayHaveRun,
            message,
        )));
        out.push(halt);
    }

    fn query(&mut self, now: Duration, asked: Asked, life: id::Incarnation, out: &mut Vec<Action>) {
        let Asked {
            stream,
            attempt,
            offset,
        } = asked;
        if let Some(record) = self.records.get_mut(&attempt) {
            match record.phase {
                Phase::Filling | Phase::Reserved => {
                    let reply =
                        self.withdraw(attempt, Cause::Tombstoned, "withdrawn by a query", out);
                    out.push(Action::Reply(stream, reply));
                }
                Phase::Running | Phase::Missing(_) | Phase::Failing(_) => {
                    record.stream = Some(stream);
                    record.silent = None;
                    out.push(Action::Reply(stream, run::Reply::Started(attempt)));
                    out.push(Action::Attach(stream, attempt, offset));
                }
                Phase::Stopping(_) => {
                    let cause = Cause::Cancelled;
                    let reply = failed(attempt, cause, Ran::MayHaveRun, "it is being stopped");
                    out.push(Action::Reply(stream, reply));
                }
            }
            return;
        }
        if self.kept.contains_key(&attempt) {
            return out.push(Action::Attach(stream, attempt, offset));
        }
        if let Some(ran) = self.tombstones.outcome(attempt) {
            let reply = self.buried(attempt, ran);
            return out.push(Action::Reply(stream, reply));
        }
        if life == self.life {
            let has_capacity = self.has_capacity();
            let reply = if has_capacity {
                self.tombstones.insert(attempt, Ran::NotRun);
                self.refusal(attempt, Cause::Tombstoned, "never offered, and now never")
            } else {
                run::Reply::Unknown(attempt)
            };
            return out.push(Action::Reply(stream, reply));
        }
        self.ask_engine(now, asked, out);
    }

    /// A query of an attempt of an earlier life: the engine may still have it.
    fn ask_engine(&mut self, now: Duration, asked: Asked, out: &mut Vec<Action>) {
        if self.is_plain() {
            return out.push(Action::Reply(
                asked.stream,
                run::Reply::Unknown(asked.attempt),
            ));
        }
        if !self.listed {
            self.asked.push(asked);
            return out.push(Action::List);
        }
        self.take_over(now, asked, out);
    }

    /// Takes over a run of an earlier life of the sidecar, if the engine still has it.
    pub(super) fn take_over(&mut self, now: Duration, asked: Asked, out: &mut Vec<Action>) {
        let run = asked.attempt.to_string();
        let orphan = self.orphans.remove(&run).map(|(_, memory)| memory);
        let ended = self.ended.remove(&run).then_some(0);
        let Some(memory) = orphan.or(ended) else {
            let reply = run::Reply::Unknown(asked.attempt);
            return out.push(Action::Reply(asked.stream, reply));
        };
        let record = Record {
            fingerprint: None,
            suspect: false,
            class: run::Class::Long,
            priority: 0,
            // Whether it may be cancelled with its entry silent is not known: its deadline stands
            // in the engine.
            repeatable: false,
            start: false,
            prompt_tokens: 0,
            first: asked.offset,
            cost: memory,
            deadline: now + MAX_LIMIT,
            phase: Phase::Running,
            stream: Some(asked.stream),
            silent: None,
            resume: None,
            begun: true,
            role: segment::Role::Run,
        };
        self.records.insert(asked.attempt, record);
        out.push(Action::Resume(asked.attempt, asked.offset));
        let started = run::Reply::Started(asked.attempt);
        out.push(Action::Reply(asked.stream, started));
        out.push(Action::Attach(asked.stream, asked.attempt, asked.offset));
    }

    /// The answer to whoever speaks of an attempt that is over.
    pub(super) fn buried(&self, attempt: id::Attempt, ran: Ran) -> run::Reply {
        match ran {
            Ran::NotRun => self.refusal(attempt, Cause::Tombstoned, "refused or withdrawn before"),
            Ran::Ran | Ran::MayHaveRun => failed(
                attempt,
                Cause::ServerLost,
                ran,
                "it is over and its answer is no longer kept",
            ),
        }
    }

    pub(super) fn closed(&mut self, now: Duration, stream: Stream, out: &mut Vec<Action>) {
        self.asked.retain(|asked| asked.stream != stream);
        let mine: Vec<id::Attempt> = self
            .records
            .iter()
            .filter(|(_, record)| record.stream == Some(stream))
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in mine {
            let Some(record) = self.records.get_mut(&attempt) else {
                continue;
            };
            record.stream = None;
            record.silent = Some(now);
            if matches!(record.phase, Phase::Filling | Phase::Reserved) {
                self.bury(attempt, Ran::NotRun);
                out.push(Action::Discard(attempt));
            }
        }
    }
}
