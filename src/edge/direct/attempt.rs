//! One attempt of a request at one backend server, with the helper servers that read segments of
//! its prompt.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::response;
use http_body_util::Full;
use tokio::sync::Notify;
use tokio::time;

use super::Direct;
use super::choose::Assignment;
use super::context::Context;
use super::dialect;
use super::outbound;
use super::pending;
use super::pool;
use super::progress;
use super::reserve;
use super::silence;
use super::stream;
use super::suspicion;
use crate::direct::catalog;
use crate::direct::deadline;
use crate::direct::register;
use crate::direct::retry;
use crate::direct::suspect;
use crate::edge::event::Event;
use crate::log_event;

/// Largest response that is not a stream of events. It is buffered until it is complete.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Whether a request that must not be repeated may use an idle connection. The server may have
/// closed it already, and then it is not known whether the request ran.
const REUSE_FOR_UNSAFE: bool = false;

/// Objectives after which a call counts as unanswered. One that is only late comes back within two.
const UNANSWERED_OBJECTIVES: u32 = 2;

/// Pause between two checks whether the response comes before this process exits.
const EXIT_POLL: Duration = Duration::from_millis(100);

/// A complete response that is not a stream of events.
pub struct Complete {
    /// Status and headers.
    pub head: response::Parts,
    /// The complete body.
    pub body: Bytes,
}

/// A response that can be passed on to the caller.
pub enum Response {
    /// A complete response.
    Complete(Complete),
    /// A stream, with its first events.
    Stream {
        /// Status and headers.
        head: Box<response::Parts>,
        /// The events that came first.
        first: stream::Chunk,
        /// Reads the remaining events.
        reader: Box<stream::Reader>,
    },
}

/// An attempt whose request is being sent.
struct Sent {
    attempt: pending::Attempt,
    timeouts: deadline::Silence,
    /// Notified when the head of the response was received.
    head_received: Arc<Notify>,
}

/// A failed attempt, with what can be passed on if no other follows.
pub struct Failure {
    /// Why the attempt failed.
    pub cause: retry::Failure,
    /// The error response of the server.
    pub response: Option<Complete>,
}

/// How the part of an attempt ended that follows its sending.
pub struct Answered {
    /// The response, or why there is none.
    pub outcome: Result<Response, Failure>,
    /// Whether it may have run.
    pub ran: bool,
}

impl Answered {
    fn ran(outcome: Result<Response, Failure>) -> Self {
        Self { outcome, ran: true }
    }

    fn not_run(failure: retry::Failure) -> Self {
        Self {
            outcome: Err(failure.into()),
            ran: false,
        }
    }
}

/// What the response to a request must be.
struct Expected {
    /// Id of the request.
    id: String,
    /// Whether it is a stream of events if it is a success.
    is_stream: bool,
}

impl From<retry::Failure> for Failure {
    fn from(cause: retry::Failure) -> Self {
        Self {
            cause,
            response: None,
        }
    }
}

impl Direct {
    /// Makes one attempt. `after`: the id of the last event passed on, if the stream is resumed.
    pub async fn attempt(
        self: &Arc<Self>,
        context: &mut Context,
        after: Option<&str>,
    ) -> pending::Outcome {
        if self.is_suspect(&context.fingerprint, &context.request.parts) {
            return pending::Outcome::Failed(retry::Failure::Suspect.into());
        }
        let assignment = match self.choose_in_turn(context).await {
            Ok(assignment) => assignment,
            Err(cause) => {
                context.history.tried += 1;
                return pending::Outcome::Failed(cause.into());
            }
        };
        let server = assignment.server.clone();
        context.history.tried += 1;
        let cancelled = self.cancelled_by_exit(context, assignment.first_ms, after);
        let outcome = tokio::select! {
            biased;
            outcome = self.attempt_at(context, assignment, after) => outcome,
            () = cancelled => pending::Outcome::Failed(retry::Failure::Ending.into()),
        };
        let cause = match &outcome {
            pending::Outcome::Answered(_) => {
                self.record_success(&server.life);
                return outcome;
            }
            pending::Outcome::Failed(failure) => &failure.cause,
            pending::Outcome::Left(cause, _) => {
                context.open_at.push(server.life.clone());
                cause
            }
        };
        self.record_failure(context, &server, cause);
        context.failed_servers.push(match cause {
            retry::Failure::Unreserved(helper) => helper.clone(),
            _ => server.life,
        });
        outcome
    }

    /// Notes that a server gave a correct response.
    pub(super) fn record_success(&self, server: &register::Instance) {
        let now = self.node.now();
        self.state().healths.record_response(now, server, true);
    }

    /// Resolves once a request would not be answered before this process exits, if it may be
    /// repeated and nothing was passed on yet. The caller then has time to repeat it at another
    /// entry.
    fn cancelled_by_exit(
        &self,
        context: &Context,
        first_ms: f64,
        after: Option<&str>,
    ) -> impl Future<Output = ()> + use<> {
        let is_sized = context.engine.is_some() && context.request.size.is_some();
        let may_repeat = is_sized && context.route.repeatable() && after.is_none();
        let first = Instant::now() + deadline::millis(first_ms).min(context.time_left());
        // The prompt is being read already. The mean cancels the request only if a cut is more
        // likely than an answer.
        let writing = context.mean_write_time(&self.state().writing);
        let lifetime = context.lifetime.clone();
        async move {
            if !may_repeat {
                return std::future::pending().await;
            }
            lifetime.stopping().await;
            loop {
                let first = first.saturating_duration_since(Instant::now());
                if lifetime
                    .remaining()
                    .is_some_and(|left| left < first + writing)
                {
                    return;
                }
                time::sleep(EXIT_POLL).await;
            }
        }
    }

    async fn attempt_at(
        self: &Arc<Self>,
        context: &mut Context,
        assignment: Assignment,
        after: Option<&str>,
    ) -> pending::Outcome {
        match self.send(context, assignment, after).await {
            Ok(sent) => self.await_response(context, sent).await,
            Err(cause) => pending::Outcome::Failed(cause.into()),
        }
    }

    /// Reserves memory, connects, and starts to send the request.
    async fn send(
        self: &Arc<Self>,
        context: &mut Context,
        assignment: Assignment,
        after: Option<&str>,
    ) -> Result<Sent, retry::Failure> {
        let server = assignment.server.clone();
        let progress = context.progress.clone();
        progress.reach_at(progress::Stage::Reserving, &server.life);
        let memory = self.reserve(context, &assignment).await?;
        progress.reach(progress::Stage::Connecting);
        let target = outbound::Target::new(&server.life, server.addr);
        let message = outbound::Message::Request {
            id: &context.request.id,
            helpers: &assignment.helpers,
        };
        if self.check(target, message).is_err() {
            return Err(retry::Failure::Withdrawn);
        }
        let may_reuse = context.route.repeatable() || REUSE_FOR_UNSAFE;
        let conn = self.pool.conn(&server.life, server.addr, may_reuse).await;
        let conn = conn.map_err(|_| retry::Failure::Unsent)?;
        // This process may not have run for a while.
        if context.is_past_deadline() {
            return Err(retry::Failure::Late);
        }
        let request = self.build_request(context, &assignment, memory.as_ref(), after);
        if !self.may_run(context) {
            return Err(retry::Failure::Suspect);
        }
        let answer = context.rest(&self.state().writing);
        let timeouts = silence_timeouts(context, assignment.first_ms, answer);
        progress.reach(progress::Stage::Sent);
        // It may run from now on, also if this attempt is dropped.
        context.history.ran += 1;
        let expected = Expected {
            id: context.request.id.clone(),
            is_stream: context.route.kind == catalog::Kind::Stream,
        };
        let head_received = Arc::new(Notify::new());
        let answer = Arc::clone(self).answer(
            expected,
            assignment,
            (conn, memory),
            request,
            Arc::clone(&head_received),
        );
        let attempt = pending::Attempt {
            server,
            answering: Box::pin(answer),
        };
        Ok(Sent {
            attempt,
            timeouts,
            head_received,
        })
    }

    /// Waits for the response until the request leaves its server.
    async fn await_response(&self, context: &mut Context, sent: Sent) -> pending::Outcome {
        let Sent {
            mut attempt,
            timeouts,
            head_received,
        } = sent;
        let unanswered = time::sleep(unanswered_after(context));
        tokio::pin!(unanswered);
        // One that may be repeated leaves its server instead.
        let mut is_answered = !context.is_call() || context.route.repeatable();
        loop {
            let answered = tokio::select! {
                biased;
                answered = &mut attempt.answering => answered,
                // The server works at it: the timeouts begin anew.
                () = head_received.notified() => {
                    is_answered = true;
                    continue;
                }
                () = &mut unanswered, if !is_answered => {
                    is_answered = true;
                    if !self.is_overloaded(&attempt.server) {
                        self.pause_server_everywhere(&attempt.server.life, "a call has no answer");
                    }
                    continue;
                }
                cause = self.left(context, &attempt.server, timeouts) => {
                    return pending::Outcome::Left(cause, attempt);
                }
            };
            context.history.ran -= u32::from(!answered.ran);
            return match answered.outcome {
                Ok(response) => pending::Outcome::Answered(response),
                Err(failure) => pending::Outcome::Failed(failure),
            };
        }
    }

    /// Reserves the memory that the prompt needs at its helper servers.
    async fn reserve(
        self: &Arc<Self>,
        context: &Context,
        assignment: &Assignment,
    ) -> Result<Option<reserve::Reservation>, retry::Failure> {
        let wanted = assignment.helpers.iter().zip(&assignment.reserved_tokens);
        let wanted = wanted.filter(|(_, tokens)| **tokens > 0);
        let wanted: Vec<reserve::Wanted> = wanted
            .map(|(server, tokens)| reserve::Wanted {
                server: server.clone(),
                tokens: *tokens,
            })
            .collect();
        if wanted.is_empty() {
            return Ok(None);
        }
        let name = format!("{}-{}", context.request.id, context.history.tried);
        let memory = reserve::Reservation::take(
            self,
            &name,
            wanted,
            &assignment.server,
            context.time_left(),
        )
        .await;
        // Another request may have taken the memory meanwhile.
        memory.map(Some).map_err(retry::Failure::Unreserved)
    }

    fn build_request(
        &self,
        context: &Context,
        assignment: &Assignment,
        memory: Option<&reserve::Reservation>,
        after: Option<&str>,
    ) -> http::Request<Full<Bytes>> {
        let helpers: Vec<dialect::Helper> = assignment
            .helpers
            .iter()
            .map(|helper| dialect::Helper {
                addr: helper.addr,
                ticket: memory
                    .and_then(|memory| memory.ticket(helper.addr))
                    .map(str::to_owned),
            })
            .collect();
        let attempt = dialect::Attempt {
            id: &context.request.id,
            server: &assignment.server,
            time_left: context.time_left(),
            workspace: context.workspace.as_deref(),
            priority: context.priority,
            helpers: &helpers,
            last_event_id: after.or(context.request.last_event_id.as_deref()),
        };
        let mut request = http::Request::new(Full::new(context.body.clone()));
        *request.method_mut() = context.head.method.clone();
        *request.uri_mut() = origin_form(&context.head.uri);
        *request.headers_mut() = self.dialect.attempt_headers(&context.head, &attempt);
        request
    }

    /// Sends a request and reads its response: all of it, or of a stream the first events.
    async fn answer(
        self: Arc<Self>,
        expected: Expected,
        assignment: Assignment,
        resources: (pool::Conn, Option<reserve::Reservation>),
        request: http::Request<Full<Bytes>>,
        head_received: Arc<Notify>,
    ) -> Answered {
        let (mut conn, memory) = resources;
        let server = &assignment.server;
        let target = outbound::Target::new(&server.life, server.addr);
        let message = outbound::Message::Request {
            id: &expected.id,
            helpers: &assignment.helpers,
        };
        let received = self
            .send_to_server(&mut conn, target, message, request)
            .await;
        let outbound::Received { head, body, answer } = match received {
            Ok(received) => received,
            Err(outbound::Failure::Withheld) => {
                return Answered::not_run(retry::Failure::Withdrawn);
            }
            Err(outbound::Failure::Conn(pool::Failure::Unsent(_))) => {
                return Answered::not_run(retry::Failure::Unsent);
            }
            Err(outbound::Failure::Conn(pool::Failure::Sent(_))) => {
                return Answered::ran(Err(retry::Failure::Broken.into()));
            }
        };
        head_received.notify_one();
        if answer.not_run || answer.displaced {
            if answer.displaced && answer.at_fault.is_none() {
                self.server_displaced(&server.life);
            }
            return Answered::not_run(retry::Failure::NotRun {
                at_fault: answer.at_fault,
                displaced: answer.displaced,
            });
        }
        let is_other = answer.id.as_deref().is_some_and(|id| id != expected.id);
        let success = head.status.is_success();
        if is_other || answer.encoded || (success && !answer.sealed) {
            return Answered::ran(Err(retry::Failure::Broken.into()));
        }
        let reader = stream::Reader::new(&self, assignment, (conn, memory), body, &answer);
        Answered::ran(read_response(reader, head, expected.is_stream && success).await)
    }

    /// Resolves once a request should leave its server, with the reason: it answers nothing at all,
    /// or it answers probes and another server would answer this request sooner. One retry has been
    /// taken from the budget then.
    pub(super) async fn left(
        &self,
        context: &Context,
        server: &register::Record,
        timeouts: deadline::Silence,
    ) -> retry::Failure {
        let begun = silence::Silence::start();
        let silent = async {
            let mut silence = begun;
            loop {
                let quiet = timeouts.probe_after;
                self.until_unresponsive(server, quiet, &mut silence.probed)
                    .await;
                match self.may_move(context, &server.life, silence) {
                    Ok(()) => return,
                    Err(retry::Denial::Budget) => {}
                    // No later attempt is allowed either.
                    Err(_) => return std::future::pending().await,
                }
            }
        };
        let slow = async {
            loop {
                time::sleep(timeouts.move_after).await;
                if self.has_better_server(context, &server.life)
                    && self.may_move(context, &server.life, begun).is_ok()
                {
                    return;
                }
            }
        };
        tokio::select! {
            () = silent => retry::Failure::Silent,
            () = slow => retry::Failure::Slow,
        }
    }

    /// Logs and counts a failed attempt, and updates the health of the servers at fault.
    pub(super) fn record_failure(
        self: &Arc<Self>,
        context: &Context,
        server: &register::Record,
        cause: &retry::Failure,
    ) {
        let now = self.node.now();
        self.counts
            .attempt_failed(&context.service, cause_name(cause));
        if self.log_limiter.allow(Event::AttemptEnded, now) {
            let stage = context.progress.lock().stage.name();
            log_event!(self.node.log(), Event::AttemptEnded, "request" => &context.request.id,
                "server" => &server.life, "stage" => stage, "end" => format!("{cause:?}"), "ran" => context.history.ran,
                "tried" => context.history.tried, "left_ms" => context.time_left().as_millis() as u64);
        }
        if retry::suspects_server(&context.route, cause) {
            self.pause_server_everywhere(&server.life, "a call broke off that may not be repeated");
        }
        if suspect::may_have_crashed(cause) {
            self.check_after_disconnect(suspicion::Run::new(context), server.clone());
        }
        match cause {
            retry::Failure::Unsent => self.pause_server(&server.life, "no connection"),
            retry::Failure::Silent => {
                self.pause_server(&server.life, "silent");
                self.watch_silence(suspicion::Run::new(context), server);
            }
            retry::Failure::Slow if context.is_call() && !self.is_overloaded(server) => {
                self.pause_server_everywhere(&server.life, "a call has no answer");
            }
            retry::Failure::Slow | retry::Failure::Failed => {
                self.state()
                    .healths
                    .record_response(now, &server.life, false);
            }
            retry::Failure::NotRun {
                at_fault,
                displaced,
            } => {
                self.pause_helper(server, at_fault.as_deref());
                if at_fault.is_none() && !displaced {
                    self.state().healths.record_rejection(now, &server.life);
                }
            }
            retry::Failure::Broken
            | retry::Failure::Away(_)
            | retry::Failure::Limited(_)
            | retry::Failure::Paused(_)
            | retry::Failure::Withdrawn
            | retry::Failure::Unreserved(_)
            | retry::Failure::Excluded
            | retry::Failure::Suspect
            | retry::Failure::Late
            | retry::Failure::Ending => {}
        }
    }
}

/// Time after which a call without any answer makes all entries avoid its server. A server may hang
/// while its reports are good, and each further call to it would be lost too.
fn unanswered_after(context: &Context) -> Duration {
    context.route.objective * UNANSWERED_OBJECTIVES
}

/// How long the server may be silent before an attempt probes it or leaves it.
fn silence_timeouts(context: &Context, first_ms: f64, answer: deadline::Rest) -> deadline::Silence {
    let alone = context.engine.zip(context.request.size);
    let alone_ms = alone.map_or(0.0, |(engine, size)| engine.read_ms(size.prompt, 1));
    let can_move =
        context.route.repeatable() && context.history.ran + 1 < context.route.max_servers.max(1);
    deadline::Silence::new(&context.route, can_move, (first_ms, alone_ms), answer)
}

/// Reads a response: all of it, or the first events of a stream.
async fn read_response(
    mut reader: stream::Reader,
    head: response::Parts,
    is_stream: bool,
) -> Result<Response, Failure> {
    if is_stream {
        return match reader.next().await {
            stream::Next::Chunk(first) => Ok(Response::Stream {
                head: Box::new(head),
                first,
                reader: Box::new(reader),
            }),
            stream::Next::End => {
                let body = Bytes::new();
                Ok(Response::Complete(Complete { head, body }))
            }
            stream::Next::Lost(cause) => Err(cause.into()),
        };
    }
    let collected = reader.collect(MAX_RESPONSE_BYTES).await;
    let body = collected.ok_or(retry::Failure::Broken)?;
    let complete = Complete { head, body };
    if complete.head.status.is_server_error() {
        let cause = retry::Failure::Failed;
        let response = Some(complete);
        return Err(Failure { cause, response });
    }
    Ok(Response::Complete(complete))
}

fn cause_name(cause: &retry::Failure) -> &'static str {
    match cause {
        retry::Failure::Away(_) => "away",
        retry::Failure::Limited(_) => "limited",
        retry::Failure::Paused(_) => "paused",
        retry::Failure::Unsent => "unsent",
        retry::Failure::Withdrawn => "withdrawn",
        retry::Failure::Unreserved(_) => "unreserved",
        retry::Failure::Excluded => "excluded",
        retry::Failure::NotRun { .. } => "not_run",
        retry::Failure::Broken => "broken",
        retry::Failure::Silent => "silent",
        retry::Failure::Slow => "slow",
        retry::Failure::Failed => "failed",
        retry::Failure::Suspect => "suspect",
        retry::Failure::Late => "late",
        retry::Failure::Ending => "ending",
    }
}

/// Path and query only, as a request line to an origin server has them.
fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| http::Uri::from_static("/"))
}
