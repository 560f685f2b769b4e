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
use super::alarm;
use super::core;
use super::count;
use super::stream;
use crate::entry::gang as members;
use crate::entry::job;
use crate::entry::prefix;
use crate::entry::request;
use crate::entry::router;
use crate::wire::agree;
use crate::wire::id;
use crate::wire::outcome;
use crate::wire::run;

mod ask;
mod gang;

/// How long after the time limit the driver answers itself if the state machine did not.
const BACKSTOP: Duration = Duration::from_millis(250);

/// How long a caller that does not read may keep the end of its answer waiting.
const SLOW_CALLER: Duration = Duration::from_secs(30);

/// Bodies from this size on are hashed on a thread of their own.
const LARGE_BODY: usize = 64 << 10;

type Verdict = Pin<Box<dyn Future<Output = agree::Verdict> + Send>>;

/// One request on its way.
pub struct Drive {
    node: Arc<node::Node>,
    core: core::Handle,
    count: Arc<count::Count>,
    /// When it was received.
    accepted: Duration,
    submission: Submission,
    fingerprint: id::Fingerprint,
    blocks: Vec<u64>,
    deadline: Duration,
    request: request::Request,
    actions: VecDeque<request::Action>,
    parts: VecDeque<Part>,
    streams: Vec<stream::Stream>,
    choice: Option<oneshot::Receiver<core::Choice>>,
    verdict: Option<Verdict>,
    place: Option<job::Placement>,
    /// The attempt whose first token is awaited or came, and whether it came.
    current: Option<(id::Attempt, bool)>,
    usage: Option<run::Usage>,
    /// If its prompt is larger than one engine.
    gang: Option<gang::Driven>,
    /// Whether the first part of the answer was passed on.
    begun: bool,
    ended: bool,
}

enum Input {
    Wake,
    Gone,
    Ending,
    Sent,
    Reply(usize, Option<run::Reply>),
    Choice(core::Choice),
    Verdict(agree::Verdict),
}

impl Drive {
    /// Prepares a request; its time limit counts from `accepted`.
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
            choice: None,
            verdict: None,
            place: None,
            current: None,
            usage: None,
            gang: None,
            begun: false,
            ended: false,
        }
    }

    /// Runs it to its final answer.
    pub async fn run(mut self, tx: mpsc::Sender<Part>) {
        let mut gone = false;
        let mut timer = pin!(time::sleep(Duration::ZERO));
        let lifetime = self.node.lifetime().clone();
        let mut over = pin!(lifetime.expired());
        loop {
            while let Some(action) = self.actions.pop_front() {
                self.act(action).await;
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
            let left = wake.saturating_sub(self.node.now());
            let at = time::Instant::now() + left.max(Duration::from_millis(1));
            if timer.deadline().max(at) - timer.deadline().min(at) > Duration::from_millis(1) {
                timer.as_mut().reset(at);
            }
            let input = self.input(timer.as_mut(), over.as_mut(), &tx, gone).await;
            if matches!(input, Input::Wake) && self.ended {
                break;
            }
            gone |= matches!(input, Input::Gone);
            self.take(input).await;
        }
        self.close().await;
    }

    fn wake(&self) -> Duration {
        if self.ended {
            return self.deadline + SLOW_CALLER;
        }
        let wake = self.request.wake().min(self.deadline + BACKSTOP);
        self.gang_wake().map_or(wake, |gang| wake.min(gang))
    }

    async fn input(
        &mut self,
        timer: Pin<&mut time::Sleep>,
        over: Pin<&mut impl Future<Output = ()>>,
        tx: &mpsc::Sender<Part>,
        gone: bool,
    ) -> Input {
        let blocked = !self.parts.is_empty();
        let reading = !blocked && !self.ended;
        tokio::select! {
            biased;
            () = timer => Input::Wake,
            () = tx.closed(), if !gone => Input::Gone,
            () = over, if !self.ended => Input::Ending,
            permit = tx.reserve(), if blocked => {
                if let (Ok(permit), Some(part)) = (permit, self.parts.pop_front()) {
                    permit.send(part);
                }
                Input::Sent
            }
            (index, reply) = next(&mut self.streams), if reading => Input::Reply(index, reply),
            choice = wait(&mut self.choice), if !self.ended => Input::Choice(choice),
            verdict = vote(&mut self.verdict), if !self.ended => Input::Verdict(verdict),
        }
    }

    async fn take(&mut self, input: Input) {
        match input {
            Input::Sent => {}
            Input::Wake if self.node.now() >= self.deadline + BACKSTOP => {
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
                self.gang_event(members::Event::Tick);
            }
            Input::Gone => {
                self.parts.clear();
                self.event(request::Event::Disconnected);
            }
            Input::Ending => self.event(request::Event::ShuttingDown),
            Input::Reply(index, reply) => self.reply(index, reply).await,
            Input::Choice(Ok(mut place)) => {
                if let Some(plan) = place.gang.take() {
                    return self.planned(place, plan);
                }
                // It fits on one engine after all.
                self.gang = None;
                let target = place.target.clone();
                self.place = Some(place);
                self.event(request::Event::Chosen(target));
            }
            Input::Choice(Err(failure)) => self.event(request::Event::Unplaced(failure)),
            Input::Verdict(verdict) => self.event(request::Event::ClaimResult(verdict)),
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
        if members::Gang::is_segment(attempt) {
            return self.segment_reply(index, reply);
        }
        let Some(reply) = reply else {
            self.streams.swap_remove(index);
            self.note(attempt, job::Feedback::Lost).await;
            self.event(request::Event::Lost(attempt));
            return;
        };
        let ends = match &reply {
            run::Reply::Chunk { .. } | run::Reply::Head { .. } => {
                self.note(attempt, job::Feedback::FirstOutput).await;
                false
            }
            run::Reply::Refused { failure, load, .. } => {
                self.note(attempt, job::Feedback::Refused(failure.cause, *load))
                    .await;
                true
            }
            run::Reply::Failed { failure, .. } => {
                self.note(attempt, job::Feedback::Failed(failure.cause))
                    .await;
                self.alarm(attempt, failure.cause).await;
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
        if ends && reply.attempt() == attempt {
            self.streams.swap_remove(index);
        }
        self.event(request::Event::Reply(reply));
    }

    /// After the death of an engine: has the suspects known before anything follows.
    async fn alarm(&mut self, attempt: id::Attempt, cause: outcome::Cause) {
        let prompt = matches!(self.submission.work, run::Work::Prompt { .. });
        let is_current = self.current.is_some_and(|(current, _)| current == attempt);
        if cause != outcome::Cause::ServerLost || !prompt || !is_current {
            return;
        }
        if let Some(place) = &self.place {
            let server = place.target.server.clone();
            let left = self.deadline.saturating_sub(self.node.now());
            alarm::raise(&self.node, self.fingerprint, &server, left).await;
        }
    }

    /// Tells the router what became of the current attempt.
    async fn note(&mut self, attempt: id::Attempt, note: job::Feedback) {
        let Some((current, first)) = &mut self.current else {
            return;
        };
        if *current != attempt || (*first && note == job::Feedback::FirstOutput) {
            return;
        }
        *first |= note == job::Feedback::FirstOutput;
        let event = router::Event::Feedback(self.submission.request, note);
        self.core.tell(event).await;
    }

    async fn act(&mut self, action: request::Action) {
        match action {
            request::Action::Claim => self.claim(),
            request::Action::Settle(ran) => self.settle(ran),
            request::Action::Choose { retry, avoid } => {
                if !self.gang_again(&avoid) {
                    self.choose(retry, avoid);
                }
            }
            request::Action::Offer {
                target,
                attempt,
                start,
                delivered,
            } => self.offer(&target, attempt, start, delivered),
            request::Action::Start(attempt) => {
                self.sent();
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
                self.begin();
                self.parts.push_back(Part::Head { status, headers });
            }
            request::Action::Tokens(tokens) => {
                self.begin();
                self.parts.push_back(Part::Tokens(tokens));
            }
            request::Action::Bytes(bytes) => self.parts.push_back(Part::Bytes(bytes)),
            request::Action::Done { end, usage } => {
                self.usage = Some(usage);
                self.count.done(self.class(), self.age());
                self.end(Part::Done { end, usage });
            }
            request::Action::Fail(failure) => {
                self.usage = None;
                self.count.failed(&failure);
                self.end(Part::Failed(failure));
            }
        }
    }

    /// Notes the first part of the answer.
    fn begin(&mut self) {
        if self.begun {
            return;
        }
        self.begun = true;
        let workspace = &self.submission.workspace;
        self.count
            .first(&self.node.conf(), workspace, self.class(), self.age());
    }

    fn class(&self) -> run::Class {
        let place = self.place.as_ref();
        place.map_or(run::Class::Short, |place| place.class)
    }

    /// Time since its receipt.
    fn age(&self) -> Duration {
        self.node.now().saturating_sub(self.accepted)
    }

    fn end(&mut self, part: Part) {
        self.parts.push_back(part);
        self.ended = true;
        self.disband();
    }

    fn stream(&mut self, attempt: id::Attempt) -> Option<&mut stream::Stream> {
        self.streams
            .iter_mut()
            .find(|stream| stream.attempt() == attempt)
    }

    async fn close(mut self) {
        self.disband();
        for stream in self.streams {
            stream.release();
        }
        let event = router::Event::Close(self.submission.request, self.usage);
        self.core.tell(event).await;
    }
}

/// The next reply on any stream, with the stream's place.
async fn next(streams: &mut [stream::Stream]) -> (usize, Option<run::Reply>) {
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

/// The router's choice; never ready while none is asked for.
async fn wait(choice: &mut Option<oneshot::Receiver<core::Choice>>) -> core::Choice {
    let Some(rx) = choice else {
        return std::future::pending().await;
    };
    let answer = rx.await;
    *choice = None;
    answer.unwrap_or_else(|_| {
        Err(outcome::Failure::not_run(
            outcome::Cause::Internal,
            Some(super::BUSY_RETRY_MS),
            "the router has gone",
        ))
    })
}

/// Control's verdict; never ready while none is asked for.
async fn vote(verdict: &mut Option<Verdict>) -> agree::Verdict {
    let Some(asked) = verdict else {
        return std::future::pending().await;
    };
    let answer = asked.await;
    *verdict = None;
    answer
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
    if submission.body.len() < LARGE_BODY {
        return work();
    }
    match tokio::task::spawn_blocking(work).await {
        Ok(digest) => digest,
        Err(err) => std::panic::resume_unwind(err.into_panic()),
    }
}
