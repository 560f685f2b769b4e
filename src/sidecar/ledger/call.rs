//! Calls of entries.

use std::time::Duration;

use super::Action;
use super::LEAVING_GRACE;
use super::Ledger;
use super::MAX_TIME_LIMIT;
use super::PAUSED;
use super::Phase;
use super::Query;
use super::Record;
use super::Stream;
use super::failure_reply;
use super::return_after;
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
        if offer.sidecar != self.incarnation {
            // Needs no tombstone: offers to another incarnation are always rejected.
            let reply = self.rejection(attempt, Cause::NoServer, "another life of the sidecar");
            return out.push(Action::Reply(stream, reply));
        }
        if self.records.contains_key(&attempt) || self.kept_responses.contains_key(&attempt) {
            // A duplicate: the first offer counts.
            return;
        }
        if let Some(ran) = self.tombstones.outcome(attempt) {
            let reply = self.tombstone_reply(attempt, ran);
            return out.push(Action::Reply(stream, reply));
        }
        if !self.has_capacity() {
            // Without a tombstone, a late copy of an offer that starts by itself might still run,
            // so "not run" cannot be promised and no reply is sent. An offer that needs a start
            // call can be rejected: its entry will not send the call.
            if !offer.start {
                let reply = self.rejection(attempt, Cause::Busy, "too many attempts of late");
                out.push(Action::Reply(stream, reply));
            }
            return;
        }
        let final_tokens = self.take_final_tokens(now, offer);
        let admitted = final_tokens.map_or_else(|| self.admit(now, offer), Ok);
        match admitted {
            Ok(cost) => {
                let mut record = Self::record(now, stream, offer, cost);
                if final_tokens.is_some() {
                    record.role = segment::Role::Final;
                }
                self.records.insert(attempt, record);
                if offer.body_len == 0 {
                    self.body_received(now, attempt, out);
                }
            }
            Err((cause, message)) => {
                self.tombstones.insert(attempt, Ran::NotRun);
                out.push(Action::Discard(attempt));
                let reply = self.rejection(attempt, cause, message);
                let reply = return_after(reply, self.pause_left(now));
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
        if self.pause_left(now).is_some() {
            return Err((Cause::Busy, PAUSED));
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
        let own = Some(offer.fingerprint);
        let mut records = self.records.values();
        if offer.suspect && records.any(|record| record.suspect && record.fingerprint != own) {
            return Err((Cause::Busy, "another suspect is on the backend server"));
        }
        let cost = backend.capacity.cost(&offer.work);
        match backend.capacity.admit(&self.load(), offer.class, cost) {
            Ok(()) => Ok(cost),
            Err(cause) => Err((cause, "no room on the backend server")),
        }
    }

    fn record(now: Duration, stream: Stream, offer: &run::Offer, cost: u64) -> Record {
        let limit = Duration::from_millis(offer.remaining_ms).min(MAX_TIME_LIMIT);
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
            first_token: first,
            cost,
            deadline: now + limit,
            phase: Phase::ReceivingBody,
            stream: Some(stream),
            detached_at: None,
            resume_at: None,
            prefilled: false,
            role: segment::Role::of(&offer.work),
        }
    }

    pub(super) fn body_received(
        &mut self,
        now: Duration,
        attempt: id::Attempt,
        out: &mut Vec<Action>,
    ) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        if record.phase != Phase::ReceivingBody {
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
        let is_late = self
            .leaving_since
            .is_some_and(|since| now >= since + LEAVING_GRACE);
        let pause_left = self.pause_left(now);
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        if record.phase != Phase::Reserved || record.role.is_segment() {
            return;
        }
        if pause_left.is_some() {
            let stream = record.stream;
            let reply = self.withdraw(attempt, Cause::Busy, PAUSED, out);
            let reply = return_after(reply, pause_left);
            out.extend(stream.map(|stream| Action::Reply(stream, reply)));
            return;
        }
        // A run in capacity that a segment reserved was admitted with that segment.
        if is_late && record.role != segment::Role::Final {
            let stream = record.stream;
            let reply = self.withdraw(attempt, Cause::Leaving, "left before its start", out);
            out.extend(stream.map(|stream| Action::Reply(stream, reply)));
            return;
        }
        record.phase = Phase::Running;
        out.push(Action::Run(attempt));
        if let Some(stream) = record.stream {
            out.push(Action::Reply(stream, run::Reply::Started(attempt)));
            out.push(Action::Attach(stream, attempt, record.first_token));
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
                let query = Query {
                    stream,
                    attempt,
                    offset,
                };
                self.query(now, query, sidecar, out);
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
        if self.records.contains_key(&attempt) || self.kept_responses.contains_key(&attempt) {
            return self.start(now, attempt, out);
        }
        let reply = match self.tombstones.outcome(attempt) {
            Some(ran) => self.tombstone_reply(attempt, ran),
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
            if self.kept_responses.contains_key(&attempt) {
                return;
            }
            // A late offer of it must not run. An earlier incarnation may have run it.
            if self.has_capacity() {
                self.tombstones.insert(attempt, Ran::MayHaveRun);
            }
            if self.orphans.contains_key(&attempt.to_string()) {
                out.push(Action::Stop(attempt.to_string()));
            }
            return;
        };
        match record.phase {
            Phase::ReceivingBody | Phase::Reserved => {
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

    /// Cancels a reservation that was not started.
    pub(super) fn withdraw(
        &mut self,
        attempt: id::Attempt,
        cause: Cause,
        message: &str,
        out: &mut Vec<Action>,
    ) -> run::Reply {
        self.remove(attempt, Ran::NotRun);
        out.push(Action::Discard(attempt));
        self.rejection(attempt, cause, message)
    }

    /// Stops a run. The final reply is sent at once; its reservation is freed when the backend
    /// server confirms the stop.
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
            // The backend server that ran it is dead: nothing is left to stop.
            self.finish(now, attempt, Ran::MayHaveRun);
            let reply = failure_reply(attempt, cause, Ran::MayHaveRun, message);
            return out.push(Action::End(reply));
        }
        record.phase = Phase::Stopping(now + super::RETRY_DELAY);
        record.stream = None;
        let stop = record.stop_action(attempt);
        out.push(Action::End(failure_reply(
            attempt,
            cause,
            Ran::MayHaveRun,
            message,
        )));
        out.push(stop);
    }

    fn query(
        &mut self,
        now: Duration,
        query: Query,
        sidecar: id::Incarnation,
        out: &mut Vec<Action>,
    ) {
        let Query {
            stream,
            attempt,
            offset,
        } = query;
        if let Some(record) = self.records.get_mut(&attempt) {
            match record.phase {
                Phase::ReceivingBody | Phase::Reserved => {
                    let reply =
                        self.withdraw(attempt, Cause::Tombstoned, "withdrawn by a query", out);
                    out.push(Action::Reply(stream, reply));
                }
                Phase::Running | Phase::Missing(_) | Phase::Failing(_) => {
                    record.stream = Some(stream);
                    record.detached_at = None;
                    out.push(Action::Reply(stream, run::Reply::Started(attempt)));
                    out.push(Action::Attach(stream, attempt, offset));
                }
                Phase::Stopping(_) => {
                    let cause = Cause::Cancelled;
                    let reply =
                        failure_reply(attempt, cause, Ran::MayHaveRun, "it is being stopped");
                    out.push(Action::Reply(stream, reply));
                }
            }
            return;
        }
        if self.kept_responses.contains_key(&attempt) {
            return out.push(Action::Attach(stream, attempt, offset));
        }
        if let Some(ran) = self.tombstones.outcome(attempt) {
            let reply = self.tombstone_reply(attempt, ran);
            return out.push(Action::Reply(stream, reply));
        }
        if sidecar == self.incarnation {
            let has_capacity = self.has_capacity();
            let reply = if has_capacity {
                self.tombstones.insert(attempt, Ran::NotRun);
                self.rejection(attempt, Cause::Tombstoned, "never offered, and now never")
            } else {
                run::Reply::Unknown(attempt)
            };
            return out.push(Action::Reply(stream, reply));
        }
        self.query_engine(now, query, out);
    }

    /// A query for an attempt of an earlier incarnation: the engine may still have its run.
    fn query_engine(&mut self, now: Duration, query: Query, out: &mut Vec<Action>) {
        if self.is_plain() {
            return out.push(Action::Reply(
                query.stream,
                run::Reply::Unknown(query.attempt),
            ));
        }
        if !self.has_list {
            self.pending_queries.push(query);
            return out.push(Action::List);
        }
        self.take_over(now, query, out);
    }

    /// Takes over a run of an earlier incarnation of the sidecar, if the engine still has it.
    pub(super) fn take_over(&mut self, now: Duration, query: Query, out: &mut Vec<Action>) {
        let run = query.attempt.to_string();
        let orphan = self.orphans.remove(&run).map(|(_, memory)| memory);
        let ended = self.ended_orphans.remove(&run).then_some(0);
        let Some(memory) = orphan.or(ended) else {
            let reply = run::Reply::Unknown(query.attempt);
            return out.push(Action::Reply(query.stream, reply));
        };
        let record = Record {
            fingerprint: None,
            suspect: false,
            class: run::Class::Long,
            priority: 0,
            // Not known, so it is not cancelled when its stream closes. The engine enforces the
            // deadline.
            repeatable: false,
            start: false,
            prompt_tokens: 0,
            first_token: query.offset,
            cost: memory,
            deadline: now + MAX_TIME_LIMIT,
            phase: Phase::Running,
            stream: Some(query.stream),
            detached_at: None,
            resume_at: None,
            prefilled: true,
            role: segment::Role::Run,
        };
        self.records.insert(query.attempt, record);
        out.push(Action::Resume(query.attempt, query.offset));
        let started = run::Reply::Started(query.attempt);
        out.push(Action::Reply(query.stream, started));
        out.push(Action::Attach(query.stream, query.attempt, query.offset));
    }

    /// The reply to a call for an attempt that has a tombstone.
    pub(super) fn tombstone_reply(&self, attempt: id::Attempt, ran: Ran) -> run::Reply {
        match ran {
            Ran::NotRun => {
                self.rejection(attempt, Cause::Tombstoned, "refused or withdrawn before")
            }
            Ran::Ran | Ran::MayHaveRun => failure_reply(
                attempt,
                Cause::ServerLost,
                ran,
                "it is over and its answer is no longer kept",
            ),
        }
    }

    pub(super) fn closed(&mut self, now: Duration, stream: Stream, out: &mut Vec<Action>) {
        self.pending_queries.retain(|query| query.stream != stream);
        let attached: Vec<id::Attempt> = self
            .records
            .iter()
            .filter(|(_, record)| record.stream == Some(stream))
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in attached {
            let Some(record) = self.records.get_mut(&attempt) else {
                continue;
            };
            record.stream = None;
            record.detached_at = Some(now);
            if matches!(record.phase, Phase::ReceivingBody | Phase::Reserved) {
                self.remove(attempt, Ran::NotRun);
                out.push(Action::Discard(attempt));
            }
        }
    }
}
