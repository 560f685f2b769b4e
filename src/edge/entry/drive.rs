//! Drives one request: carries out the actions of its state machine and feeds it events.

use std::collections::VecDeque;
use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time;

use super::super::node;
use super::Part;
use super::Submission;
use super::core;
use super::count;
use super::stream;
use super::suspect;
use crate::entry::gang as entry_gang;
use crate::entry::job;
use crate::entry::prefix;
use crate::entry::request;
use crate::entry::router;
use crate::wire::agree;
use crate::wire::id;
use crate::wire::outcome;
use crate::wire::run;

mod calls;
mod gang;

/// Time after the deadline at which the driver ends the request if the state machine did not.
const DEADLINE_GRACE: Duration = Duration::from_millis(250);

/// How long after the deadline the end of a response may wait for a caller that does not read.
const SLOW_CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// Bodies of at least this size are hashed on a blocking thread.
const LARGE_BODY_BYTES: usize = 64 << 10;

type Proposal = Pin<Box<dyn Future<Output = agree::Verdict> + Send>>;

/// A request in progress.
pub struct Drive {
    node: Arc<node::Node>,
    core: core::Handle,
    count: Arc<count::Count>,
    /// When the request was received.
    accepted: Duration,
    submission: Submission,
    fingerprint: id::Fingerprint,
    blocks: Vec<u64>,
    deadline: Duration,
    request: request::Request,
    actions: VecDeque<request::Action>,
    parts: VecDeque<Part>,
    streams: Vec<stream::Stream>,
    decision: Option<oneshot::Receiver<core::Decision>>,
    claim_result: Option<Proposal>,
    placement: Option<job::Placement>,
    /// The current attempt, and whether its first output has arrived.
    current: Option<(id::Attempt, bool)>,
    usage: Option<run::Usage>,
    /// Set while the prompt is served by several engines.
    gang: Option<gang::State>,
    /// Whether the first part of the response was queued for the caller.
    response_started: bool,
    ended: bool,
}

enum Input {
    Wake,
    Disconnected,
    ShuttingDown,
    PartSent,
    Reply(usize, Option<run::Reply>),
    Decision(core::Decision),
    ClaimResult(agree::Verdict),
}

impl Drive {
    /// Prepares a request. Its time limit counts from `accepted`.
    pub async fn new(
        node: Arc<node::Node>,
        core: core::Handle,
        count: Arc<count::Count>,
        accepted: Duration,
        submission: Submission,
    ) -> Self {
        let (fingerprint, blocks) = digest(&submission).await;
        let deadline = accepted + submission.limit;
        let policy = &node.conf().policy;
        let profile = request::Profile {
            request: submission.request,
            workspace: submission.workspace.clone(),
            fingerprint,
            plain: matches!(submission.work, run::Work::Http { .. }),
            body_len: submission.body.len() as u64,
            repeatable: submission.repeatable,
            key: submission.key.clone(),
            deadline,
            claim_ttl: Duration::from_millis(policy.claim_ttl_ms),
        };
        let (request, actions) = request::Request::new(node.now(), profile);
        Self {
            node,
            core,
            count,
            accepted,
            submission,
            fingerprint,
            blocks,
            deadline,
            request,
            actions: actions.into(),
            parts: VecDeque::new(),
            streams: Vec::new(),
            decision: None,
            claim_result: None,
            placement: None,
            current: None,
            usage: None,
            gang: None,
            response_started: false,
            ended: false,
        }
    }

    /// Runs the request to its final response.
    pub async fn run(mut self, tx: mpsc::Sender<Part>) {
        let mut disconnected = false;
        let mut timer = pin!(time::sleep(Duration::ZERO));
        let lifetime = self.node.lifetime().clone();
        let mut expiry = pin!(lifetime.expired());
        loop {
            while let Some(action) = self.actions.pop_front() {
                self.perform(action).await;
            }
            while let Some(part) = self.parts.pop_front() {
                match tx.try_send(part) {
                    Ok(()) => {}
                    Err(mpsc::error::TrySendError::Full(part)) => {
                        self.parts.push_front(part);
                        break;
                    }
                    Err(mpsc::error::TrySendError::Closed(_)) => self.parts.clear(),
                }
            }
            if self.ended && self.parts.is_empty() {
                break;
            }
            let wake = self.wake();
            let time_left = wake.saturating_sub(self.node.now());
            let at = time::Instant::now() + time_left.max(Duration::from_millis(1));
            if timer.deadline().max(at) - timer.deadline().min(at) > Duration::from_millis(1) {
                timer.as_mut().reset(at);
            }
            let input = self
                .input(timer.as_mut(), expiry.as_mut(), &tx, disconnected)
                .await;
            if matches!(input, Input::Wake) && self.ended {
                break;
            }
            disconnected |= matches!(input, Input::Disconnected);
            self.handle(input).await;
        }
        self.close().await;
    }

    fn wake(&self) -> Duration {
        if self.ended {
            return self.deadline + SLOW_CALLER_TIMEOUT;
        }
        let wake = self.request.wake().min(self.deadline + DEADLINE_GRACE);
        self.gang_wake().map_or(wake, |gang| wake.min(gang))
    }

    async fn input(
        &mut self,
        timer: Pin<&mut time::Sleep>,
        expiry: Pin<&mut impl Future<Output = ()>>,
        tx: &mpsc::Sender<Part>,
        disconnected: bool,
    ) -> Input {
        let blocked = !self.parts.is_empty();
        let reading = !blocked && !self.ended;
        tokio::select! {
            biased;
            () = timer => Input::Wake,
            () = tx.closed(), if !disconnected => Input::Disconnected,
            () = expiry, if !self.ended => Input::ShuttingDown,
            permit = tx.reserve(), if blocked => {
                if let (Ok(permit), Some(part)) = (permit, self.parts.pop_front()) {
                    permit.send(part);
                }
                Input::PartSent
            }
            (index, reply) = next_reply(&mut self.streams), if reading =>
                Input::Reply(index, reply),
            decision = await_decision(&mut self.decision), if !self.ended =>
                Input::Decision(decision),
            claim_result = await_claim_result(&mut self.claim_result), if !self.ended =>
                Input::ClaimResult(claim_result),
        }
    }

    async fn handle(&mut self, input: Input) {
        match input {
            Input::PartSent => {}
            Input::Wake if self.node.now() >= self.deadline + DEADLINE_GRACE => {
                self.event(request::Event::Tick);
                if !self.ended && self.actions.is_empty() {
                    let failure = outcome::Failure::may_have_run(
                        outcome::Cause::Deadline,
                        "the time limit has passed",
                    );
                    self.actions.push_back(request::Action::Fail(failure));
                }
            }
            Input::Wake => {
                self.event(request::Event::Tick);
                self.gang_event(entry_gang::Event::Tick);
            }
            Input::Disconnected => {
                self.parts.clear();
                self.event(request::Event::Disconnected);
            }
            Input::ShuttingDown => self.event(request::Event::ShuttingDown),
            Input::Reply(index, reply) => self.reply(index, reply).await,
            Input::Decision(Ok(mut placement)) => {
                if let Some(plan) = placement.gang.take() {
                    return self.apply_plan(placement, plan);
                }
                // The prompt now fits on a single engine.
                self.gang = None;
                let target = placement.target.clone();
                self.placement = Some(placement);
                self.event(request::Event::Chosen(target));
            }
            Input::Decision(Err(failure)) => self.event(request::Event::Unplaced(failure)),
            Input::ClaimResult(verdict) => self.event(request::Event::ClaimResult(verdict)),
        }
    }

    fn event(&mut self, event: request::Event) {
        if !self.ended {
            let actions = self.request.step(self.node.now(), event);
            self.actions.extend(actions);
        }
    }

    async fn reply(&mut self, index: usize, reply: Option<run::Reply>) {
        let attempt = self.streams[index].attempt();
        if entry_gang::Gang::is_segment(attempt) {
            return self.segment_reply(index, reply);
        }
        let Some(reply) = reply else {
            self.streams.swap_remove(index);
            self.send_feedback(attempt, job::Feedback::Lost).await;
            self.event(request::Event::Lost(attempt));
            return;
        };
        let is_final = match &reply {
            run::Reply::Chunk { .. } | run::Reply::Head { .. } => {
                self.send_feedback(attempt, job::Feedback::FirstOutput)
                    .await;
                false
            }
            run::Reply::Refused { failure, load, .. } => {
                self.send_feedback(attempt, job::Feedback::Refused(failure.cause, *load))
                    .await;
                true
            }
            run::Reply::Failed { failure, .. } => {
                self.send_feedback(attempt, job::Feedback::Failed(failure.cause))
                    .await;
                self.propagate_suspect(attempt, failure.cause).await;
                true
            }
            run::Reply::Done { usage, .. } => {
                self.usage = Some(*usage);
                true
            }
            run::Reply::Reserved(_)
            | run::Reply::Started(_)
            | run::Reply::Held { .. }
            | run::Reply::Unknown(_) => false,
        };
        if is_final && reply.attempt() == attempt {
            self.streams.swap_remove(index);
        }
        self.event(request::Event::Reply(reply));
    }

    /// If an engine died under the request, makes its suspects known before anything else happens.
    async fn propagate_suspect(&mut self, attempt: id::Attempt, cause: outcome::Cause) {
        let prompt = matches!(self.submission.work, run::Work::Prompt { .. });
        let is_current = self.current.is_some_and(|(current, _)| current == attempt);
        if cause != outcome::Cause::ServerLost || !prompt || !is_current {
            return;
        }
        if let Some(placement) = &self.placement {
            let server = placement.target.server.clone();
            let time_left = self.deadline.saturating_sub(self.node.now());
            suspect::propagate(&self.node, self.fingerprint, &server, time_left).await;
        }
    }

    /// Sends the router feedback on the current attempt.
    async fn send_feedback(&mut self, attempt: id::Attempt, feedback: job::Feedback) {
        let Some((current, has_output)) = &mut self.current else {
            return;
        };
        if *current != attempt || (*has_output && feedback == job::Feedback::FirstOutput) {
            return;
        }
        *has_output |= feedback == job::Feedback::FirstOutput;
        let event = router::Event::Feedback(self.submission.request, feedback);
        self.core.send(event).await;
    }

    async fn perform(&mut self, action: request::Action) {
        match action {
            request::Action::Claim => self.claim(),
            request::Action::Settle(ran) => self.settle(ran),
            request::Action::Choose { retry, avoid } => {
                if !self.restart_gang(&avoid) {
                    self.request_placement(retry, avoid);
                }
            }
            request::Action::Offer {
                target,
                attempt,
                start,
                delivered,
            } => self.offer(&target, attempt, start, delivered),
            request::Action::Start(attempt) => {
                self.mark_started();
                if let Some(stream) = self.stream(attempt) {
                    stream.call(run::Call::Start(attempt));
                }
            }
            request::Action::Cancel(target, attempt) => self.cancel(&target, attempt),
            request::Action::Query {
                target,
                attempt,
                offset,
            } => {
                self.streams.retain(|stream| stream.attempt() != attempt);
                let sidecar = target.sidecar;
                let call = run::Call::Query {
                    attempt,
                    offset,
                    sidecar,
                };
                self.open(&target, attempt, call, Bytes::new());
            }
            request::Action::Head { status, headers } => {
                self.start_response();
                self.parts.push_back(Part::Head { status, headers });
            }
            request::Action::Tokens(tokens) => {
                self.start_response();
                self.parts.push_back(Part::Tokens(tokens));
            }
            request::Action::Bytes(bytes) => self.parts.push_back(Part::Bytes(bytes)),
            request::Action::Done { end, usage } => {
                self.usage = Some(usage);
                self.count.done(self.class(), self.age());
                self.finish(Part::Done { end, usage });
            }
            request::Action::Fail(failure) => {
                self.usage = None;
                self.count.failed(&failure);
                self.finish(Part::Failed(failure));
            }
        }
    }

    /// Records the time to the first part of the response.
    fn start_response(&mut self) {
        if self.response_started {
            return;
        }
        self.response_started = true;
        let workspace = &self.submission.workspace;
        self.count
            .first_output(&self.node.conf(), workspace, self.class(), self.age());
    }

    fn class(&self) -> run::Class {
        let placement = self.placement.as_ref();
        placement.map_or(run::Class::Short, |placement| placement.class)
    }

    /// Time since the request was received.
    fn age(&self) -> Duration {
        self.node.now().saturating_sub(self.accepted)
    }

    fn finish(&mut self, part: Part) {
        self.parts.push_back(part);
        self.ended = true;
        self.release_gang();
    }

    fn stream(&mut self, attempt: id::Attempt) -> Option<&mut stream::Stream> {
        self.streams
            .iter_mut()
            .find(|stream| stream.attempt() == attempt)
    }

    async fn close(mut self) {
        self.release_gang();
        for stream in self.streams {
            stream.release();
        }
        let event = router::Event::Close(self.submission.request, self.usage);
        self.core.send(event).await;
    }
}

/// The next reply on any stream, with the stream's index.
async fn next_reply(streams: &mut [stream::Stream]) -> (usize, Option<run::Reply>) {
    poll_fn(|cx| {
        for (index, stream) in streams.iter_mut().enumerate() {
            if let Poll::Ready(reply) = pin!(stream.recv()).poll(cx) {
                return Poll::Ready((index, reply));
            }
        }
        Poll::Pending
    })
    .await
}

/// The router's decision. Never ready while no placement is requested.
async fn await_decision(
    decision: &mut Option<oneshot::Receiver<core::Decision>>,
) -> core::Decision {
    let Some(rx) = decision else {
        return std::future::pending().await;
    };
    let answer = rx.await;
    *decision = None;
    answer.unwrap_or_else(|_| {
        Err(outcome::Failure::not_run(
            outcome::Cause::Internal,
            Some(super::BUSY_RETRY_MS),
            "the router has gone",
        ))
    })
}

/// Control's answer to a claim. Never ready while no claim is proposed.
async fn await_claim_result(claim_result: &mut Option<Proposal>) -> agree::Verdict {
    let Some(proposal) = claim_result else {
        return std::future::pending().await;
    };
    let verdict = proposal.await;
    *claim_result = None;
    verdict
}

/// Fingerprint of a submission, and the hashes of its prompt's blocks.
async fn digest(submission: &Submission) -> (id::Fingerprint, Vec<u64>) {
    let workspace = submission.workspace.clone();
    let body = submission.body.clone();
    let (subject, prompt) = match &submission.work {
        run::Work::Prompt { model, .. } => (model.clone(), true),
        run::Work::Http { .. } | run::Work::Segment { .. } => (submission.service.clone(), false),
    };
    let work = move || {
        let fingerprint = id::Fingerprint::of(&workspace, &subject, &body);
        let blocks = if prompt {
            prefix::blocks(&body)
        } else {
            Vec::new()
        };
        (fingerprint, blocks)
    };
    if submission.body.len() < LARGE_BODY_BYTES {
        return work();
    }
    match tokio::task::spawn_blocking(work).await {
        Ok(digest) => digest,
        Err(err) => std::panic::resume_unwind(err.into_panic()),
    }
}
