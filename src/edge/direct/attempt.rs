//! One attempt of a request at one backend server, with the helper servers that read segments of
//! its prompt.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::response;
use http_body_util::Full;
use hyper::body;
use tokio::time;

use super::Direct;
use super::choose::Assignment;
use super::context::Context;
use super::dialect;
use super::pool;
use super::progress;
use super::reserve;
use super::silence;
use super::stream;
use crate::direct::catalog;
use crate::direct::deadline;
use crate::direct::quota;
use crate::direct::register;
use crate::direct::retry;
use crate::direct::tally;
use crate::edge::event::Event;
use crate::log_event;

/// Largest response that is not a stream of events. It is buffered until it is complete.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Whether a request that must not be repeated may use an idle connection. The server may have
/// closed it already, and then it is not known whether the request ran.
const REUSE_FOR_UNSAFE: bool = false;

/// Pause between two checks whether the response comes before this process exits.
const EXIT_POLL: Duration = Duration::from_millis(100);

/// Why a sent request was abandoned: its server answers nothing at all, or answers probes but not
/// this request.
const SILENT: &str = "silent";
const HUNG: &str = "hung";

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

/// A failed attempt, with what can be passed on if no other follows.
pub struct Failure {
    /// Why the attempt failed.
    pub cause: retry::Failure,
    /// The error response of the server.
    pub response: Option<Complete>,
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
    ) -> Result<Response, Failure> {
        let assignment = match self.choose_in_turn(context).await {
            Ok(assignment) => assignment,
            Err(cause) => {
                context.history.tried += 1;
                return Err(cause.into());
            }
        };
        let server = assignment.server.clone();
        context.history.tried += 1;
        let cancelled = self.cancelled_by_exit(context, assignment.first_ms, after);
        let outcome = tokio::select! {
            biased;
            outcome = self.attempt_at(context, assignment, after) => outcome,
            () = cancelled => Err(context.end_with_process().into()),
        };
        if let Err(failure) = &outcome {
            self.record_failure(context, &server, &failure.cause);
            context.failed_servers.push(server.life);
        } else {
            let now = self.node.now();
            self.state()
                .healths
                .record_response(now, &server.life, true);
        }
        outcome
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
    ) -> Result<Response, Failure> {
        let server = assignment.server.clone();
        let progress = context.progress.clone();
        progress.reach_at(progress::Stage::Reserving, &server.life);
        let memory = self.reserve(context, &assignment).await?;
        progress.reach(progress::Stage::Connecting);
        let may_reuse = context.route.repeatable() || REUSE_FOR_UNSAFE;
        let conn = self.pool.conn(&server.life, server.addr, may_reuse).await;
        let mut conn = conn.map_err(|_| retry::Failure::Unsent)?;
        let request = self.build_request(context, &assignment, memory.as_ref(), after);
        if !self.may_send(&assignment) {
            return Err(retry::Failure::Withdrawn.into());
        }
        let timeouts = silence_timeouts(context, assignment.first_ms);
        progress.reach(progress::Stage::Sent);
        let sent_at = self.record_sent(&server.life, tally::Kind::Request);
        let sent = {
            let sending = conn.send(request);
            tokio::pin!(sending);
            tokio::select! {
                sent = &mut sending => sent,
                why = self.abandoned(context, &server, timeouts) => match why {
                    Some(why) => Err(pool::Failure::Sent(why.to_owned())),
                    None => sending.await,
                },
            }
        };
        let response = match sent {
            Ok(response) => response,
            Err(pool::Failure::Unsent(_)) => return Err(retry::Failure::Unsent.into()),
            Err(pool::Failure::Sent(why)) => {
                context.history.ran += 1;
                return Err(cause_of_loss(&why).into());
            }
        };
        let (head, body) = response.into_parts();
        let answer = self.dialect.response(&head);
        // If another instance answers, its limit is not that of the expected server.
        if !answer.displaced {
            let source = if answer.sealed {
                quota::Source::Run
            } else {
                quota::Source::Other
            };
            self.observe_limit(&server.life, sent_at, &head.headers, source);
        }
        self.read_response(context, assignment, (conn, memory), head, body, timeouts)
            .await
    }

    /// Whether no zone of its servers was evacuated since they were chosen.
    fn may_send(&self, assignment: &Assignment) -> bool {
        let state = self.state();
        let evacuated = state.register.evacuated();
        let mut servers = std::iter::once(&assignment.server).chain(&assignment.helpers);
        servers.all(|server| !evacuated.contains(&server.zone))
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
        let memory = reserve::Reservation::take(self, &name, wanted).await;
        // Another request may have taken the memory meanwhile. Nothing was sent in that case.
        memory.map(Some).ok_or(retry::Failure::NotRun {
            at_fault: None,
            displaced: false,
        })
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

    async fn read_response(
        self: &Arc<Self>,
        context: &mut Context,
        assignment: Assignment,
        resources: (pool::Conn, Option<reserve::Reservation>),
        head: response::Parts,
        body: body::Incoming,
        timeouts: deadline::Silence,
    ) -> Result<Response, Failure> {
        let answer = self.dialect.response(&head);
        if answer.not_run || answer.displaced {
            if answer.displaced && answer.at_fault.is_none() {
                self.server_displaced(&assignment.server.life);
            }
            return Err(retry::Failure::NotRun {
                at_fault: answer.at_fault,
                displaced: answer.displaced,
            }
            .into());
        }
        context.history.ran += 1;
        let is_other = answer
            .id
            .as_deref()
            .is_some_and(|id| id != context.request.id);
        let success = head.status.is_success();
        if is_other || answer.encoded || (success && !answer.sealed) {
            return Err(retry::Failure::Broken.into());
        }
        let is_stream = context.route.kind == catalog::Kind::Stream && success;
        let mut reader = stream::Reader::new(self, assignment, resources, body, &answer);
        if !is_stream {
            let collected = reader
                .collect(MAX_RESPONSE_BYTES, context.time_left())
                .await;
            let body = collected.ok_or(retry::Failure::Broken)?;
            let complete = Complete { head, body };
            return if complete.head.status.is_server_error() {
                let cause = retry::Failure::Failed;
                let response = Some(complete);
                Err(Failure { cause, response })
            } else {
                Ok(Response::Complete(complete))
            };
        }
        let next = loop {
            let server = reader.server.life.clone();
            let may_leave = |silence| self.may_move(context, context.history, &server, silence);
            let got = time::timeout(
                timeouts.move_after,
                reader.next(timeouts.probe_after, may_leave),
            )
            .await;
            match got {
                Ok(next) => break next,
                Err(_) if self.should_move(context, &server, reader.silence()) => {
                    return Err(retry::Failure::Slow.into());
                }
                Err(_) => {}
            }
        };
        match next {
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
        }
    }

    /// Resolves once a sent request should be abandoned, with the reason. `None`: it must keep
    /// waiting at its server.
    async fn abandoned(
        &self,
        context: &Context,
        server: &register::Record,
        timeouts: deadline::Silence,
    ) -> Option<&'static str> {
        let mut silence = silence::Silence::start();
        let hung = async {
            loop {
                time::sleep(timeouts.move_after).await;
                if self.has_better_server(context, &server.life) {
                    return;
                }
            }
        };
        let why = tokio::select! {
            () = self.until_unresponsive(server, timeouts.probe_after, &mut silence.probed) => SILENT,
            () = hung => HUNG,
        };
        // The request was sent, so this attempt may have run.
        let mut history = context.history;
        history.ran += 1;
        self.may_move(context, history, &server.life, silence)
            .then_some(why)
    }

    /// Logs and counts a failed attempt, and updates the health of the servers at fault.
    fn record_failure(
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
            self.pause_server_everywhere(&server.life);
        }
        match cause {
            retry::Failure::Unsent => self.pause_server(&server.life, "no connection"),
            retry::Failure::Silent => {
                self.pause_server(&server.life, "silent");
                self.server_died(context.fingerprint, &server.life);
            }
            retry::Failure::Broken => {
                self.check_after_disconnect(context.fingerprint, server.clone());
            }
            retry::Failure::Slow | retry::Failure::Failed => {
                self.state()
                    .healths
                    .record_response(now, &server.life, false);
            }
            retry::Failure::NotRun { at_fault, .. } => {
                self.pause_helper(server, at_fault.as_deref());
            }
            retry::Failure::Away
            | retry::Failure::Limited(_)
            | retry::Failure::Withdrawn
            | retry::Failure::Excluded
            | retry::Failure::Late
            | retry::Failure::Ending => {}
        }
    }
}

/// How long the server may be silent before an attempt probes it or leaves it.
fn silence_timeouts(context: &Context, first_ms: f64) -> deadline::Silence {
    let alone = context.engine.zip(context.request.size);
    let alone_ms = alone.map_or(0.0, |(engine, size)| engine.read_ms(size.prompt, 1));
    let can_move =
        context.route.repeatable() && context.history.ran + 1 < context.route.max_servers.max(1);
    deadline::Silence::new(
        &context.route,
        can_move,
        (first_ms, alone_ms),
        context.time_left(),
    )
}

/// Why an attempt that was sent got no response.
fn cause_of_loss(why: &str) -> retry::Failure {
    match why {
        SILENT => retry::Failure::Silent,
        HUNG => retry::Failure::Slow,
        _ => retry::Failure::Broken,
    }
}

fn cause_name(cause: &retry::Failure) -> &'static str {
    match cause {
        retry::Failure::Away => "away",
        retry::Failure::Limited(_) => "limited",
        retry::Failure::Unsent => "unsent",
        retry::Failure::Withdrawn => "withdrawn",
        retry::Failure::Excluded => "excluded",
        retry::Failure::NotRun { .. } => "not_run",
        retry::Failure::Broken => "broken",
        retry::Failure::Silent => "silent",
        retry::Failure::Slow => "slow",
        retry::Failure::Failed => "failed",
        retry::Failure::Late => "late",
        retry::Failure::Ending => "ending",
    }
}

/// Path and query only, as a request line to an origin server has them.
fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| http::Uri::from_static("/"))
}
