//! Handles a caller's request from its head to the end of its response.

use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::StatusCode;
use http::header;
use http::request;
use http::response;
use tokio::time;

use super::Direct;
use super::attempt;
use super::context::Context;
use super::dialect;
use super::pending;
use super::progress;
use super::resume;
use super::span;
use super::stream;
use crate::direct::catalog;
use crate::direct::deadline;
use crate::direct::home;
use crate::direct::register;
use crate::direct::retry;
use crate::edge::body;
use crate::edge::event::Event;
use crate::edge::guard;
use crate::edge::listener;
use crate::log_event;
use crate::wire::id;

/// Longest wait of a request for the first configuration or the first backend server that this
/// process learns of. Both arrive within 1.5 s after all processes were restarted.
const STARTUP_WAIT: Duration = Duration::from_millis(1_800);

/// Part of the caller's timeout that this wait may take.
const STARTUP_WAIT_PART: f64 = 0.4;

/// Retry-after of rejections for which no better value is known.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Cause of a rejection because the process exits before the request was admitted.
const EXITS: &str = "this process ends";

/// Back-off after two rejected attempts, doubled with each further one. A full server may soon have
/// capacity, and each rejected attempt counts as a retry.
const REJECTED_PAUSE: Duration = Duration::from_millis(25);

/// Timeout of callers that name none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(600);

/// Headers that concern one connection only.
const HOP_BY_HOP: [header::HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A rejection before the first attempt.
struct Rejection {
    status: StatusCode,
    why: &'static str,
    retry_after: Option<Duration>,
}

impl Rejection {
    fn new(status: StatusCode, why: &'static str) -> Self {
        let retry_after = (status == StatusCode::SERVICE_UNAVAILABLE).then_some(RETRY_AFTER);
        Self {
            status,
            why,
            retry_after,
        }
    }
}

impl listener::Handler for Direct {
    async fn handle(
        self: &Arc<Self>,
        request: http::Request<hyper::body::Incoming>,
    ) -> http::Response<listener::Body> {
        let (mut head, mut body) = request.into_parts();
        let slot = head.extensions.remove::<Arc<guard::Slot>>();
        let request = self.dialect.request(&head);
        let mut span = span::Span::new(self, &request.id);
        let lifetime = self.node.lifetime();
        let admitted = tokio::select! {
            biased;
            admitted = self.admit(request, head, &mut body, slot, span.progress()) => admitted,
            () = lifetime.expired() => Err(Rejection::new(StatusCode::SERVICE_UNAVAILABLE, EXITS)),
        };
        let context = match admitted {
            Ok(context) => context,
            Err(rejection) => {
                // Other entries have the configuration and servers that this one waited for.
                let is_ending = lifetime.is_stopping();
                let retry_after = rejection
                    .retry_after
                    .map(|after| if is_ending { Duration::ZERO } else { after });
                span.reject(rejection.status, rejection.why, retry_after);
                if rejection.status != StatusCode::REQUEST_TIMEOUT {
                    body::discard(body, self.caller_limits().body_bytes);
                }
                return reject(rejection.status, retry_after);
            }
        };
        span.set_service(&context.service);
        self.relay(context, span).await
    }

    fn limits(&self) -> listener::Limits {
        let limits = self.caller_limits();
        listener::Limits {
            idle: limits.idle_timeout,
            head: limits.head_timeout,
            head_bytes: limits.head_bytes,
        }
    }

    fn log_partial(&self, bytes: usize) {
        if self
            .log_limiter
            .allow(Event::RequestPartial, self.node.now())
        {
            log_event!(self.node.log(), Event::RequestPartial, "bytes" => bytes);
        }
    }

    fn log_refused(&self, refused: u32, limit: f64) {
        log_event!(self.node.log(), Event::ConnectionsRefused, "refused" => refused,
            "limit" => limit);
    }
}

impl Direct {
    /// Limits in force on callers.
    fn caller_limits(&self) -> catalog::Limits {
        let catalog = self.catalog();
        catalog.map(|catalog| *catalog.limits()).unwrap_or_default()
    }

    /// Finds the route and workspace of a request and reads its body. What can be rejected by its
    /// head alone is rejected before any of the body is read.
    async fn admit(
        &self,
        request: dialect::Request,
        head: request::Parts,
        body: &mut hyper::body::Incoming,
        slot: Option<Arc<guard::Slot>>,
        progress: &progress::Progress,
    ) -> Result<Context, Rejection> {
        let limits = self.caller_limits();
        if body::is_announced_over(body, limits.body_bytes) {
            return Err(body_rejection(body::Failure::TooLarge));
        }
        let timeout = request.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let startup_wait = startup_wait(&request);
        let catalog = self
            .catalog_for(&request, head.uri.path(), startup_wait)
            .await?;
        let (route, _) = find_route(&catalog, &request, head.uri.path())?;
        let limits = body::Limits {
            bytes: limits.body_bytes,
            idle: limits.idle_timeout,
            deadline: progress.lock().began + timeout.min(route.timeout),
        };
        let Some(slot) = slot else {
            return Err(body_rejection(body::Failure::Broken));
        };
        let body = self.bodies.read(body, &slot, &limits).await;
        let body = body.map_err(body_rejection)?.into_bytes();
        // The configuration may have changed while the body came.
        let catalog = self
            .catalog_for(&request, head.uri.path(), startup_wait)
            .await?;
        let (route, workspace) = find_route(&catalog, &request, head.uri.path())?;
        let limit = timeout.min(route.timeout);
        let Some(target) = route.target(rand::random()) else {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Rejection::new(status, "the route leads nowhere"));
        };
        let service = target.service.clone();
        let engine = catalog.service(&service).and_then(|service| service.engine);
        let name = workspace.map(|workspace| workspace.name.clone());
        let path = format!("{}{}", request.host, head.uri);
        let fingerprint = id::Fingerprint::of(name.as_deref().unwrap_or(""), &path, &body);
        if self.is_suspect(&fingerprint, &request.parts) {
            return Err(Rejection {
                status: StatusCode::SERVICE_UNAVAILABLE,
                why: "backend servers died under it",
                retry_after: Some(retry::SUSPECT_RETRY_AFTER),
            });
        }
        let began = progress.lock().began;
        progress.lock().deadline = Some(began + limit);
        let priority = workspace.and_then(|workspace| workspace.priority);
        let priority = priority.unwrap_or(route.priority);
        let most_urgent = catalog.most_urgent(&service);
        Ok(Context {
            priority,
            priority_gap: priority.saturating_sub(most_urgent),
            route: route.clone(),
            request,
            head,
            body,
            service,
            engine,
            workspace: name,
            homes: home::Homes::new(route, workspace, &self.settings.zones),
            began,
            deadline: began + limit,
            history: retry::History::default(),
            failed_servers: Vec::new(),
            open_at: Vec::new(),
            fingerprint,
            answer: None,
            version: catalog.version(),
            progress: progress.clone(),
            lifetime: self.node.lifetime().clone(),
        })
    }

    /// The configuration to route a request by. One that would reject the request must be confirmed
    /// as the newest: callers do not retry after 404 or 401, and a configuration read from disk may
    /// lack a route or key that the newest has.
    async fn catalog_for(
        &self,
        request: &dialect::Request,
        path: &str,
        startup_wait: Duration,
    ) -> Result<Arc<catalog::Catalog>, Rejection> {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let began = Instant::now();
        let Some(catalog) = self.await_catalog(startup_wait).await else {
            return Err(Rejection::new(status, "no configuration known yet"));
        };
        if find_route(&catalog, request, path).is_ok() || self.is_confirmed(&catalog) {
            return Ok(catalog);
        }
        let left = startup_wait.saturating_sub(began.elapsed());
        let confirmed = self.await_confirmed(left).await;
        confirmed.ok_or(Rejection::new(status, "newest configuration not known yet"))
    }

    async fn relay(
        self: &Arc<Self>,
        mut context: Context,
        mut span: span::Span,
    ) -> http::Response<listener::Body> {
        let now = self.node.now();
        self.state().budget.record_request(now, &context.service);
        let deadline = time::Instant::from_std(context.deadline);
        let lifetime = context.lifetime.clone();
        let progress = context.progress.clone();
        let arrival = self.check_arrival(&context);
        let answering = async {
            arrival?;
            let startup_wait = startup_wait(&context.request);
            self.await_server(&context.service, startup_wait).await;
            self.attempt_until_done(&mut context, None).await
        };
        let in_time = async {
            tokio::pin!(answering);
            match time::timeout_at(deadline, &mut answering).await {
                // A request that has not been sent yet must not be sent any more.
                Err(_) if progress.lock().stage == progress::Stage::Sent => {
                    time::timeout(deadline::DRAIN, answering).await
                }
                outcome => outcome,
            }
        };
        // `biased`: a response that has arrived is passed on even at the deadline.
        let outcome = tokio::select! {
            biased;
            outcome = in_time => outcome,
            () = lifetime.expired() => Ok(Err(retry::Failure::Ending.into())),
        };
        context.open_at.clear();
        let failure = match outcome {
            Ok(Ok(attempt::Response::Complete(response))) => {
                span.first_event(0.0);
                if response.head.status.is_success() {
                    self.run_ended_well(&context);
                }
                span.end(response.head.status, "answered");
                return self.pass_on(response);
            }
            Ok(Ok(attempt::Response::Stream {
                head,
                first,
                reader,
            })) => {
                span.first_event(reader.first_ms);
                return self.pass_stream(context, span, &head, first, reader);
            }
            Ok(Err(failure)) => failure,
            Err(_) => retry::Failure::Late.into(),
        };
        if let Some(response) = failure.response {
            span.end(response.head.status, "failed by its backend server");
            return self.pass_on(response);
        }
        let (status, retry_after) =
            match retry::reply(&failure.cause, context.history, context.time_left()) {
                retry::Reply::Busy(after) => (StatusCode::SERVICE_UNAVAILABLE, Some(after)),
                retry::Reply::Failed => (StatusCode::BAD_GATEWAY, None),
                retry::Reply::TimedOut => (StatusCode::GATEWAY_TIMEOUT, None),
            };
        span.reject(status, &format!("{:?}", failure.cause), retry_after);
        reject(status, retry_after)
    }

    /// Makes attempts until one gives a response, or no other is allowed and none is open. An
    /// attempt that another one follows because its server is silent or slow stays open: whichever
    /// responds first is taken.
    pub(super) async fn attempt_until_done(
        self: &Arc<Self>,
        context: &mut Context,
        after: Option<&str>,
    ) -> Result<attempt::Response, attempt::Failure> {
        let mut open = pending::Attempts::default();
        let mut pause = Duration::ZERO;
        loop {
            let mut failure = match self.race(context, after, pause, &mut open).await {
                pending::Outcome::Answered(response) => return Ok(response),
                pending::Outcome::Left(_, attempt) => {
                    open.push(attempt);
                    pause = Duration::ZERO;
                    continue;
                }
                pending::Outcome::Failed(failure) => failure,
            };
            while self.may_retry(context, &failure.cause).is_err() {
                if open.is_empty() {
                    return Err(failure);
                }
                let ended = open.next().await;
                match self.settle(context, ended) {
                    Ok(response) => return Ok(response),
                    Err(cause) => failure = cause,
                }
            }
            pause = Duration::ZERO;
            if context.history.tried > 1 && failure.cause.not_run() {
                pause = REJECTED_PAUSE * (1 << (context.history.tried - 2).min(4));
            }
        }
    }

    /// Makes one attempt after `pause`, unless one of those that are open responds before.
    async fn race(
        self: &Arc<Self>,
        context: &mut Context,
        after: Option<&str>,
        pause: Duration,
        open: &mut pending::Attempts,
    ) -> pending::Outcome {
        let mut lost = Vec::new();
        let outcome = {
            let attempt = async {
                if !pause.is_zero() {
                    context.progress.reach(progress::Stage::Paused);
                    time::sleep(pause).await;
                }
                self.attempt(context, after).await
            };
            tokio::pin!(attempt);
            loop {
                tokio::select! {
                    biased;
                    ended = open.next() => match ended.outcome {
                        Ok(response) => {
                            self.record_success(&ended.server.life);
                            break pending::Outcome::Answered(response);
                        }
                        Err(failure) => lost.push((ended.server, failure.cause)),
                    },
                    outcome = &mut attempt => break outcome,
                }
            }
        };
        for (server, cause) in lost {
            self.record_loss(context, &server, &cause);
        }
        outcome
    }

    /// Notes how an attempt that stayed open ended.
    fn settle(
        self: &Arc<Self>,
        context: &mut Context,
        ended: pending::Ended,
    ) -> Result<attempt::Response, attempt::Failure> {
        match &ended.outcome {
            Ok(_) => self.record_success(&ended.server.life),
            Err(failure) => self.record_loss(context, &ended.server, &failure.cause),
        }
        ended.outcome
    }

    /// Notes that an attempt which stayed open failed.
    fn record_loss(
        self: &Arc<Self>,
        context: &mut Context,
        server: &register::Record,
        cause: &retry::Failure,
    ) {
        context.open_at.retain(|life| *life != server.life);
        self.record_failure(context, server, cause);
    }

    /// Whether another attempt follows one that failed. Takes one retry from the budget if the
    /// failed one may have loaded a server.
    pub(super) fn may_retry(
        &self,
        context: &Context,
        cause: &retry::Failure,
    ) -> Result<(), retry::Denial> {
        let history = if context.open_at.is_empty() {
            context.history
        } else {
            context.history.beside_open()
        };
        retry::check(&context.route, cause, history, context.time_left())?;
        match cause {
            retry::Failure::Unsent | retry::Failure::Withdrawn => Ok(()),
            _ => self.spend_retry(&context.service),
        }
    }

    /// Takes one retry from the budget of `service`, if it has one left.
    pub(super) fn spend_retry(&self, service: &str) -> Result<(), retry::Denial> {
        let now = self.node.now();
        let entries = self.entry_count();
        let is_spent = self.state().budget.try_spend(now, service, entries);
        is_spent.then_some(()).ok_or(retry::Denial::Budget)
    }

    /// Passes events on as they arrive.
    fn pass_stream(
        self: &Arc<Self>,
        mut context: Context,
        mut span: span::Span,
        head: &response::Parts,
        first: stream::Chunk,
        reader: Box<stream::Reader>,
    ) -> http::Response<listener::Body> {
        let status = head.status;
        let headers = self.response_headers(head);
        let direct = Arc::clone(self);
        let chunks = async_stream::stream! {
            let began = Instant::now();
            let mut source = resume::Source::from(reader);
            let mut after = first.last_id;
            context.progress.reach(progress::Stage::Answering);
            span.events_passed(first.events);
            yield Ok(hyper::body::Frame::data(first.bytes));
            loop {
                match direct.next_events(&mut context, &mut source, after.as_deref()).await {
                    Ok(Some(chunk)) => {
                        context.progress.reach(progress::Stage::Answering);
                        span.events_passed(chunk.events);
                        direct.observe_run(&mut context);
                        after = chunk.last_id.or(after);
                        yield Ok(hyper::body::Frame::data(chunk.bytes));
                    }
                    Ok(None) => {
                        direct.run_ended_well(&context);
                        direct.observe_writing(&context, began.elapsed());
                        span.end(status, "answered");
                        return;
                    }
                    Err(broken) => {
                        span.cut(&broken.cause, &broken.unresumed);
                        yield Err(io::Error::other("the answer broke off"));
                        return;
                    }
                }
            }
        };
        let mut response = http::Response::new(listener::streamed(Box::pin(chunks)));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Headers of a server's response that are passed on to the caller.
    fn response_headers(&self, head: &response::Parts) -> http::HeaderMap {
        let is_for_entry = |name: &header::HeaderName| {
            HOP_BY_HOP.contains(name) || self.dialect.is_for_entry(name)
        };
        let mut headers = head.headers.clone();
        for name in head.headers.keys().filter(|name| is_for_entry(name)) {
            headers.remove(name);
        }
        headers.remove("keep-alive");
        headers.remove(header::CONTENT_LENGTH);
        headers
    }

    fn pass_on(&self, complete: attempt::Complete) -> http::Response<listener::Body> {
        let headers = self.response_headers(&complete.head);
        let mut response = http::Response::new(listener::full(complete.body));
        *response.status_mut() = complete.head.status;
        *response.headers_mut() = headers;
        response
    }

    /// Records how long a response took to generate, if a single server generated all of it.
    fn observe_writing(&self, context: &Context, took: Duration) {
        let (Some(engine), Some(size)) = (&context.engine, context.request.size) else {
            return;
        };
        if context.history.ran > 1 {
            return;
        }
        let expected = deadline::write_time(engine, size.prompt, context.expected_answer());
        let mut state = self.state();
        state.writing.observe(&context.service, took, expected);
    }
}

/// Longest wait for the first configuration or the first backend server.
fn startup_wait(request: &dialect::Request) -> Duration {
    let timeout = request.timeout.unwrap_or(DEFAULT_TIMEOUT);
    STARTUP_WAIT.min(timeout.mul_f64(STARTUP_WAIT_PART))
}

/// The rejection of a request whose body was not read.
fn body_rejection(failure: body::Failure) -> Rejection {
    match failure {
        body::Failure::TooLarge => {
            Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, "its body is too large")
        }
        body::Failure::Broken => Rejection::new(StatusCode::BAD_REQUEST, "its body broke off"),
        body::Failure::Late => Rejection::new(StatusCode::REQUEST_TIMEOUT, "its body did not come"),
        body::Failure::Yielded => Rejection::new(
            StatusCode::REQUEST_TIMEOUT,
            "its body came more slowly than others",
        ),
        body::Failure::Full => {
            Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "no memory for its body")
        }
    }
}

/// The route of a request, and the workspace of its caller if the route needs one.
fn find_route<'a>(
    catalog: &'a catalog::Catalog,
    request: &dialect::Request,
    path: &str,
) -> Result<(&'a catalog::Route, Option<&'a catalog::Workspace>), Rejection> {
    let Some(route) = catalog.route(&request.host, path) else {
        return Err(Rejection::new(StatusCode::NOT_FOUND, "no such route"));
    };
    if route.public || !catalog.requires_key() {
        return Ok((route, None));
    }
    let key = request.key.as_deref();
    match key.and_then(|key| catalog.workspace(key)) {
        Some(workspace) => Ok((route, Some(workspace))),
        None => Err(Rejection::new(StatusCode::UNAUTHORIZED, "no such key")),
    }
}

fn reject(status: StatusCode, retry_after: Option<Duration>) -> http::Response<listener::Body> {
    let mut response = http::Response::new(listener::full(Bytes::new()));
    *response.status_mut() = status;
    if let Some(after) = retry_after {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = header::HeaderValue::try_from(seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
