//! Calls that a request makes: to control for its claim and the outcome of its run, to the router
//! for a placement, and to sidecars to run or cancel an attempt.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::Drive;
use super::stream;
use crate::entry::gang as entry_gang;
use crate::entry::job;
use crate::entry::request;
use crate::wire::agree;
use crate::wire::id;
use crate::wire::outcome;
use crate::wire::run;

/// Timeout for proposing the outcome of a claimed run to control.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

impl Drive {
    pub(super) fn claim(&mut self) {
        let Some(key) = self.submission.key.clone() else {
            self.event(request::Event::ClaimResult(agree::Verdict::Claimed));
            return;
        };
        let command = agree::Command::Claim {
            workspace: self.submission.workspace.clone(),
            key,
            request: self.submission.request,
            fingerprint: self.fingerprint,
            ttl_ms: self.node.conf().policy.claim_ttl_ms,
        };
        let time_left = self.deadline.saturating_sub(self.node.now());
        let node = Arc::clone(&self.node);
        self.claim_result = Some(Box::pin(
            async move { node.propose(command, time_left).await },
        ));
    }

    pub(super) fn settle(&self, ran: outcome::Ran) {
        let Some(key) = self.submission.key.clone() else {
            return;
        };
        let status = match ran {
            outcome::Ran::Ran => 200,
            outcome::Ran::NotRun => outcome::Cause::Busy.status(),
            outcome::Ran::MayHaveRun => outcome::Cause::ServerLost.status(),
        };
        let command = agree::Command::Settle {
            workspace: self.submission.workspace.clone(),
            key,
            request: self.submission.request,
            ran,
            status,
        };
        let node = Arc::clone(&self.node);
        tokio::spawn(async move { node.propose(command, SETTLE_TIMEOUT).await });
    }

    pub(super) fn request_placement(&mut self, retry: bool, avoid: Vec<String>) {
        let (model, max_tokens) = match &self.submission.work {
            run::Work::Prompt {
                model, max_tokens, ..
            } => (Some(model.clone()), *max_tokens),
            run::Work::Http { .. } | run::Work::Segment { .. } => (None, 0),
        };
        let job = job::Job {
            request: self.submission.request,
            workspace: self.submission.workspace.clone(),
            service: self.submission.service.clone(),
            model,
            fingerprint: self.fingerprint,
            body_len: self.submission.body.len() as u64,
            max_tokens,
            deadline: self.deadline,
            blocks: self.blocks.clone(),
            retry,
            avoid,
        };
        self.decision = self.core.place(job);
        if self.decision.is_none() && self.gang.is_some() {
            self.gang_event(entry_gang::Event::Planned(entry_gang::plan::Plan::Wait));
        } else if self.decision.is_none() {
            let failure = outcome::Failure::not_run(
                outcome::Cause::Busy,
                Some(super::super::BUSY_RETRY_MS),
                "the entry's queue is full",
            );
            self.event(request::Event::Unplaced(failure));
        }
    }

    pub(super) fn offer(
        &mut self,
        target: &request::Target,
        attempt: id::Attempt,
        start: bool,
        delivered_tokens: Vec<String>,
    ) {
        let Some(placement) = self.placement.clone() else {
            return;
        };
        let mut work = self.submission.work.clone();
        let mut body = self.submission.body.clone();
        if let run::Work::Prompt {
            prompt_tokens,
            delivered,
            context,
            ..
        } = &mut work
        {
            *prompt_tokens = placement.prompt_tokens;
            *delivered = delivered_tokens;
            if let Some((segments, tail)) = self.final_run() {
                *context = segments;
                body = body.slice(tail..);
            }
        }
        if start {
            self.mark_started();
        }
        let offer = run::Offer {
            class: placement.class,
            repeatable: self.submission.repeatable,
            start,
            ..self.build_offer(target, attempt, placement.priority, work, body.len())
        };
        self.current = Some((attempt, false));
        self.open(target, attempt, run::Call::Offer(Box::new(offer)), body);
    }

    /// An offer that is started later, of work that is safe to repeat.
    pub(super) fn build_offer(
        &self,
        target: &request::Target,
        attempt: id::Attempt,
        priority: u8,
        work: run::Work,
        body_len: usize,
    ) -> run::Offer {
        let time_left = self.deadline.saturating_sub(self.node.now());
        run::Offer {
            attempt,
            entry: self.node.incarnation(),
            sidecar: target.sidecar,
            service: self.submission.service.clone(),
            workspace: self.submission.workspace.clone(),
            fingerprint: self.fingerprint,
            suspect: self.is_suspect(),
            class: run::Class::Long,
            priority,
            remaining_ms: time_left.as_millis() as u64,
            repeatable: true,
            start: false,
            body_len: body_len as u64,
            work,
        }
    }

    /// Whether the current view lists the request as a suspect in the death of a backend server.
    fn is_suspect(&self) -> bool {
        let view = self.node.view();
        let mut suspects = view.suspects.iter();
        suspects.any(|suspect| suspect.fingerprint == self.fingerprint)
    }

    pub(super) fn cancel(&mut self, target: &request::Target, attempt: id::Attempt) {
        if let Some(stream) = self.stream(attempt) {
            stream.call(run::Call::Cancel(attempt));
            return;
        }
        let call = run::Call::Cancel(attempt);
        self.open(target, attempt, call, Bytes::new());
    }

    pub(super) fn open(
        &mut self,
        target: &request::Target,
        attempt: id::Attempt,
        first: run::Call,
        body: Bytes,
    ) {
        let stream = stream::Stream::open(&self.node, target, attempt, first, body);
        self.streams.push(stream);
    }
}
