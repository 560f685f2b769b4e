//! One attempt of a request at one backend server, with those that help it read.

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
use super::stream;
use crate::direct::catalog;
use crate::direct::deadline;
use crate::direct::quota;
use crate::direct::register;
use crate::direct::retry;
use crate::direct::tally;
use crate::edge::event::Event;
use crate::log_event;

/// Largest answer that is not a stream of events: it is held until it is whole.
const MOST_WHOLE: usize = 16 << 20;

/// How long an unsafe request's connection may have been idle: none, since a server may close
/// it unseen, and then nobody knows whether the request ran.
const KEPT_FOR_UNSAFE: bool = false;

/// Pause before it is looked again whether an answer comes before this process ends.
const LIFE_POLL: Duration = Duration::from_millis(100);

/// Why a sent request was given up on: its server answers nothing, or not this request.
const SILENT: &str = "silent";
const HUNG_UP: &str = "hung";

/// A whole answer that is not a stream of events.
pub struct Complete {
    /// Its head.
    pub head: response::Parts,
    /// Its body.
    pub body: Bytes,
}

/// What an attempt came to.
pub enum Response {
    /// A whole answer.
    Complete(Complete),
    /// A stream, with its first events.
    Stream {
        /// Its head.
        head: Box<response::Parts>,
        /// The first events.
        first: stream::Chunk,
        /// The rest.
        reader: Box<stream::Reader>,
    },
}

/// Why an attempt gave nothing to pass on, and what could be passed on if it was the last.
pub struct Failure {
    /// How it ended.
    pub end: retry::Failure,
    /// The server's own failure.
    pub response: Option<Complete>,
}

impl From<retry::Failure> for Failure {
    fn from(end: retry::Failure) -> Self {
        Self {
            end,
            response: None,
        }
    }
}

impl Direct {
    /// Makes one attempt.
    pub async fn attempt(
        self: &Arc<Self>,
        context: &mut Context,
        after: Option<&str>,
    ) -> Result<Response, Failure> {
        let assignment = match self.choose_in_turn(context).await {
            Ok(assignment) => assignment,
            Err(end) => {
                context.history.tried += 1;
                return Err(end.into());
            }
        };
        let server = assignment.server.clone();
        context.history.tried += 1;
        let hopeless = self.hopeless(context, assignment.first_ms, after);
        let outcome = tokio::select! {
            biased;
            outcome = self.attempt_at(context, assignment, after) => outcome,
            () = hopeless => Err(context.end_with_process().into()),
        };
        if let Err(failure) = &outcome {
            self.judge(context, &server, &failure.end);
            context.failed_servers.push(server.life);
        } else {
            let now = self.node.now();
            self.state()
                .healths
                .record_response(now, &server.life, true);
        }
        outcome
    }

    /// Ends when a request that may be repeated, and of which its caller has nothing yet, would
    /// not be answered before this process ends. Its caller repeats it elsewhere in time.
    fn hopeless(
        &self,
        context: &Context,
        first_ms: f64,
        after: Option<&str>,
    ) -> impl Future<Output = ()> + use<> {
        let is_sized = context.engine.is_some() && context.request.size.is_some();
        let may_repeat = is_sized && context.route.repeatable() && after.is_none();
        let first = Instant::now() + deadline::millis(first_ms).min(context.time_left());
        // Its prompt is being read: it is only given up if it is more likely cut than answered.
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
                time::sleep(LIFE_POLL).await;
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
        let kept = context.route.repeatable() || KEPT_FOR_UNSAFE;
        let conn = self.pool.conn(&server.life, server.addr, kept).await;
        let mut conn = conn.map_err(|_| retry::Failure::Unsent)?;
        let request = self.request(context, &assignment, memory.as_ref(), after);
        let wait = doubt(context, assignment.first_ms);
        progress.reach(progress::Stage::Sent);
        let sent_at = self.record_sent(&server.life, tally::Kind::Request);
        let sent = {
            let sending = conn.send(request);
            tokio::pin!(sending);
            tokio::select! {
                sent = &mut sending => sent,
                why = self.give_up(context, &server, wait) => match why {
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
                return Err(lost(&why).into());
            }
        };
        let (head, body) = response.into_parts();
        let answer = self.dialect.response(&head);
        // Another life than the one expected tells nothing of this one.
        if !answer.displaced {
            let source = if answer.sealed {
                quota::Source::Run
            } else {
                quota::Source::Other
            };
            self.observe_limit(&server.life, sent_at, &head.headers, source);
        }
        self.take_answer(context, assignment, (conn, memory), head, body, wait)
            .await
    }

    /// Sets aside what a prompt needs of its helpers' memory.
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
        // Without it nothing was sent: another may have taken the memory meanwhile.
        memory.map(Some).ok_or(retry::Failure::NotRun {
            at_fault: None,
            displaced: false,
        })
    }

    fn request(
        &self,
        context: &Context,
        assignment: &Assignment,
        memory: Option<&reserve::Reservation>,
        after: Option<&str>,
    ) -> http::Request<Full<Bytes>> {
        let helpers: Vec<dialect::Helper> = assignment
            .helpers
            .iter()
            .map(|one| dialect::Helper {
                addr: one.addr,
                ticket: memory
                    .and_then(|memory| memory.ticket(one.addr))
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

    async fn take_answer(
        self: &Arc<Self>,
        context: &mut Context,
        assignment: Assignment,
        means: (pool::Conn, Option<reserve::Reservation>),
        head: response::Parts,
        body: body::Incoming,
        wait: deadline::Silence,
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
        let other = answer
            .id
            .as_deref()
            .is_some_and(|id| id != context.request.id);
        let success = head.status.is_success();
        if other || answer.encoded || (success && !answer.sealed) {
            return Err(retry::Failure::Broken.into());
        }
        let is_stream = context.route.kind == catalog::Kind::Stream && success;
        let mut reader = stream::Reader::new(self, assignment, means, body, &answer);
        if !is_stream {
            let whole = reader.collect(MOST_WHOLE, context.time_left()).await;
            let body = whole.ok_or(retry::Failure::Broken)?;
            let whole = Complete { head, body };
            return if whole.head.status.is_server_error() {
                let end = retry::Failure::Failed;
                let response = Some(whole);
                Err(Failure { end, response })
            } else {
                Ok(Response::Complete(whole))
            };
        }
        let next = loop {
            let leaves = || self.may_move(context);
            let got = time::timeout(wait.move_after, reader.next(wait.probe_after, leaves)).await;
            match got {
                Ok(next) => break next,
                Err(_) if self.should_move(context, &reader.server.life) => {
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
            stream::Next::Lost(end) => Err(end.into()),
        }
    }

    /// Ends when a request should leave the server that does not answer it, with the reason; or
    /// `None` if it has to stay.
    async fn give_up(
        &self,
        context: &Context,
        server: &register::Record,
        wait: deadline::Silence,
    ) -> Option<&'static str> {
        let hung = async {
            loop {
                time::sleep(wait.move_after).await;
                if self.has_better_server(context, &server.life) {
                    return;
                }
            }
        };
        let why = tokio::select! {
            () = self.until_unresponsive(server, wait.probe_after) => SILENT,
            () = hung => HUNG_UP,
        };
        // It has been sent, so it counts as one that may have run.
        let mut history = context.history;
        history.ran += 1;
        let may = retry::is_allowed(
            &context.route,
            &retry::Failure::Slow,
            history,
            context.time_left(),
        );
        (may && self.spend_retry(&context.service)).then_some(why)
    }

    /// Draws conclusions from an attempt that failed.
    fn judge(self: &Arc<Self>, context: &Context, server: &register::Record, end: &retry::Failure) {
        let now = self.node.now();
        self.counts.attempt_failed(&context.service, end_name(end));
        if self.log_limiter.allow(Event::AttemptEnded, now) {
            log_event!(self.node.log(), Event::AttemptEnded, "request" => &context.request.id,
                "server" => &server.life, "end" => format!("{end:?}"), "ran" => context.history.ran,
                "tried" => context.history.tried, "left_ms" => context.time_left().as_millis() as u64);
        }
        if retry::suspects_server(&context.route, end) {
            self.pause_server_everywhere(&server.life);
        }
        match end {
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
            | retry::Failure::Late
            | retry::Failure::Ending => {}
        }
    }
}

/// How long an attempt waits before it doubts its server.
fn doubt(context: &Context, first_ms: f64) -> deadline::Silence {
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

/// What the end of a sent attempt without an answer was.
fn lost(why: &str) -> retry::Failure {
    match why {
        SILENT => retry::Failure::Silent,
        HUNG_UP => retry::Failure::Slow,
        _ => retry::Failure::Broken,
    }
}

fn end_name(end: &retry::Failure) -> &'static str {
    match end {
        retry::Failure::Away => "away",
        retry::Failure::Limited(_) => "limited",
        retry::Failure::Unsent => "unsent",
        retry::Failure::NotRun { .. } => "not_run",
        retry::Failure::Broken => "broken",
        retry::Failure::Silent => "silent",
        retry::Failure::Slow => "slow",
        retry::Failure::Failed => "failed",
        retry::Failure::Late => "late",
        retry::Failure::Ending => "ending",
    }
}

/// Path and query alone, as a server takes them.
fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().map_or("/", |one| one.as_str());
    path.parse().unwrap_or_else(|_| http::Uri::from_static("/"))
}
