//! A caller's request from its head to the end of its answer.

use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::StatusCode;
use http::header;
use http::request;
use http::response;
use http_body_util::BodyExt as _;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body;
use tokio::time;

use super::Direct;
use super::attempt;
use super::context::Context;
use super::dialect;
use super::listener;
use super::progress;
use super::span;
use super::stream;
use crate::direct::catalog;
use crate::direct::deadline;
use crate::direct::register;
use crate::direct::retry;
use crate::edge::event::Event;
use crate::log_event;
use crate::wire::id;

/// Longest wait of a request for the first configuration or the first backend server that this
/// process hears of: both come within a second and a half of a restart of the whole.
const GATHER: Duration = Duration::from_millis(1_800);

/// Part of a caller's patience that it may wait for that.
const GATHER_PART: f64 = 0.4;

/// When a caller is asked to come back where nothing says better.
const COME_BACK: Duration = Duration::from_millis(300);

/// Why a request is refused that was not admitted before this process ends.
const ENDS: &str = "this process ends";

/// Pause before an attempt after two that were refused, doubled with each: who is full now may not
/// be soon, and each refusal counts as one that was sent again.
const REFUSED_PAUSE: Duration = Duration::from_millis(25);

/// Longest time for a caller that gives none.
const MOST_PATIENCE: Duration = Duration::from_secs(600);

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

/// A refusal before anything was tried.
struct Denied {
    status: StatusCode,
    why: &'static str,
    come_back: Option<Duration>,
}

impl Denied {
    fn new(status: StatusCode, why: &'static str) -> Self {
        let come_back = (status == StatusCode::SERVICE_UNAVAILABLE).then_some(COME_BACK);
        Self {
            status,
            why,
            come_back,
        }
    }
}

impl listener::Handler for Direct {
    async fn handle(
        self: &Arc<Self>,
        request: http::Request<body::Incoming>,
    ) -> http::Response<listener::Body> {
        let (head, body) = request.into_parts();
        let request = self.dialect.request(&head);
        let mut span = span::Span::new(self, &request.id);
        let lifetime = self.node.lifetime();
        let admitted = tokio::select! {
            biased;
            admitted = self.admit(request, head, body, span.progress()) => admitted,
            () = lifetime.expired() => Err(Denied::new(StatusCode::SERVICE_UNAVAILABLE, ENDS)),
        };
        let context = match admitted {
            Ok(context) => context,
            Err(denied) => {
                span.end(denied.status, denied.why);
                // Other entries have what this one waited for.
                let is_ending = lifetime.is_stopping();
                let come_back = denied
                    .come_back
                    .map(|one| if is_ending { Duration::ZERO } else { one });
                return refuse(denied.status, come_back);
            }
        };
        span.serves(&context.service);
        self.relay(context, span).await
    }

    fn idle_timeout(&self) -> Duration {
        let limits = self.catalog().map(|one| *one.limits());
        limits.unwrap_or_default().idle_timeout
    }
}

impl Direct {
    /// Reads a request and finds its route and workspace.
    async fn admit(
        &self,
        request: dialect::Request,
        head: request::Parts,
        body: body::Incoming,
        progress: &progress::Progress,
    ) -> Result<Context, Denied> {
        let catalog = self.catalog();
        let limits = catalog.as_ref().map(|one| *one.limits());
        let body = read_body(body, &limits.unwrap_or_default()).await?;
        let patience = request.timeout.unwrap_or(MOST_PATIENCE);
        let gather = GATHER.min(patience.mul_f64(GATHER_PART));
        let catalog = self.catalog_for(&request, head.uri.path(), gather).await?;
        let (route, workspace) = look_up(&catalog, &request, head.uri.path())?;
        let limit = patience.min(route.timeout);
        let Some(target) = route.target(rand::random()) else {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Denied::new(status, "the route leads nowhere"));
        };
        let service = target.service.clone();
        self.await_server(&service, gather).await;
        let engine = catalog.service(&service).and_then(|one| one.engine);
        let name = workspace.map(|one| one.name.clone());
        let path = format!("{}{}", request.host, head.uri);
        let fingerprint = id::Fingerprint::of(name.as_deref().unwrap_or(""), &path, &body);
        let now = self.node.now();
        if self.state().suspects.is_poison(now, &fingerprint) {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Denied::new(status, "backend servers died under it"));
        }
        let began = progress.lock().began;
        progress.lock().deadline = Some(began + limit);
        let priority = workspace.and_then(|one| one.priority);
        Ok(Context {
            priority: priority.unwrap_or(route.priority),
            route: route.clone(),
            request,
            head,
            body,
            service,
            engine,
            workspace: name,
            began,
            deadline: began + limit,
            history: retry::History::default(),
            failed_servers: Vec::new(),
            fingerprint,
            version: catalog.version(),
            progress: progress.clone(),
            lifetime: self.node.lifetime().clone(),
        })
    }

    /// The configuration that decides on a request. What denies it must be confirmed: a caller
    /// that is denied does not come back, and the newest may allow what one that was kept does
    /// not.
    async fn catalog_for(
        &self,
        request: &dialect::Request,
        path: &str,
        gather: Duration,
    ) -> Result<Arc<catalog::Catalog>, Denied> {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let began = Instant::now();
        let Some(catalog) = self.await_catalog(gather).await else {
            return Err(Denied::new(status, "no configuration known yet"));
        };
        if look_up(&catalog, request, path).is_ok() || self.is_confirmed(&catalog) {
            return Ok(catalog);
        }
        let left = gather.saturating_sub(began.elapsed());
        let confirmed = self.await_confirmed(left).await;
        confirmed.ok_or(Denied::new(status, "newest configuration not known yet"))
    }

    async fn relay(
        self: &Arc<Self>,
        mut context: Context,
        mut span: span::Span,
    ) -> http::Response<listener::Body> {
        let now = self.node.now();
        self.state().budget.record_request(now, &context.service);
        let end = time::Instant::from_std(context.deadline);
        let lifetime = context.lifetime.clone();
        // An answer that is there is passed on, whatever the time.
        let got = tokio::select! {
            biased;
            got = time::timeout_at(end, self.pursue(&mut context, None)) => got,
            () = lifetime.expired() => Ok(Err(context.end_with_process().into())),
        };
        let failure = match got {
            Ok(Ok(attempt::Response::Complete(whole))) => {
                span.first(0.0);
                span.end(whole.head.status, "answered");
                return pass_on(whole);
            }
            Ok(Ok(attempt::Response::Stream {
                head,
                first,
                reader,
            })) => {
                span.first(reader.first_ms);
                return self.pass_stream(context, span, &head, first, reader);
            }
            Ok(Err(failure)) => failure,
            Err(_) => retry::Failure::Late.into(),
        };
        if let Some(answer) = failure.response {
            span.end(answer.head.status, "failed by its backend server");
            return pass_on(answer);
        }
        let (status, come_back) =
            match retry::reply(&failure.end, context.history, context.time_left()) {
                retry::Reply::Busy(come_back) => (StatusCode::SERVICE_UNAVAILABLE, Some(come_back)),
                retry::Reply::Failed => (StatusCode::BAD_GATEWAY, None),
                retry::Reply::TimedOut => (StatusCode::GATEWAY_TIMEOUT, None),
            };
        span.end(status, &format!("{:?}", failure.end));
        refuse(status, come_back)
    }

    /// Tries until there is an answer to pass on, or no use in another attempt.
    async fn pursue(
        self: &Arc<Self>,
        context: &mut Context,
        after: Option<&str>,
    ) -> Result<attempt::Response, attempt::Failure> {
        loop {
            let failure = match self.attempt(context, after).await {
                Ok(got) => return Ok(got),
                Err(failure) => failure,
            };
            // Who moved on of its own will has spent its part of the budget before.
            let is_free = matches!(
                failure.end,
                retry::Failure::Unsent | retry::Failure::Slow | retry::Failure::Silent
            );
            let may = retry::is_allowed(
                &context.route,
                &failure.end,
                context.history,
                context.time_left(),
            ) && (is_free || self.spend_retry(&context.service));
            if !may {
                return Err(failure);
            }
            if context.history.tried > 1 && failure.end.not_run() {
                context.progress.reach(progress::Stage::Paused);
                time::sleep(REFUSED_PAUSE * (1 << (context.history.tried - 2).min(4))).await;
            }
        }
    }

    /// Spends a part of the budget of requests that are sent again.
    pub(super) fn spend_retry(&self, service: &str) -> bool {
        let now = self.node.now();
        let entries = self.entry_count();
        self.state().budget.try_spend(now, service, entries)
    }

    /// Whether a request may leave the server that it waits at, and spends what that takes.
    /// Whoever may not goes on waiting: an answer may yet come.
    pub(super) fn may_move(&self, context: &Context) -> bool {
        let end = retry::Failure::Slow;
        retry::is_allowed(&context.route, &end, context.history, context.time_left())
            && self.spend_retry(&context.service)
    }

    /// Whether a request leaves a server that is slow, and spends what that takes.
    pub(super) fn should_move(&self, context: &Context, server: &register::Instance) -> bool {
        self.has_better_server(context, server) && self.may_move(context)
    }

    /// Passes events on as they come; where the stream breaks off, it goes on elsewhere.
    fn pass_stream(
        self: &Arc<Self>,
        mut context: Context,
        mut span: span::Span,
        head: &response::Parts,
        first: stream::Chunk,
        mut reader: Box<stream::Reader>,
    ) -> http::Response<listener::Body> {
        let status = head.status;
        let headers = answer_headers(head);
        let direct = Arc::clone(self);
        let pieces = async_stream::stream! {
            let began = Instant::now();
            let mut after = first.last_id.clone();
            context.progress.reach(progress::Stage::Answering);
            span.passed(first.events);
            yield Ok(body::Frame::data(first.bytes));
            let limit = time::Instant::from_std(context.deadline);
            loop {
                let next = time::timeout_at(limit, time::timeout(deadline::stall_timeout(&context.route), reader.next(deadline::PROBE_AFTER, || direct.may_move(&context))));
                let lost = match next.await {
                    Ok(Ok(stream::Next::Chunk(piece))) => {
                        span.passed(piece.events);
                        if piece.last_id.is_some() {
                            after.clone_from(&piece.last_id);
                        }
                        yield Ok(body::Frame::data(piece.bytes));
                        continue;
                    }
                    Ok(Ok(stream::Next::End)) => {
                        direct.state().suspects.clear(&context.fingerprint);
                        direct.observe_writing(&context, began.elapsed());
                        span.end(status, "answered");
                        return;
                    }
                    Ok(Ok(stream::Next::Lost(end))) => end,
                    Ok(Err(_)) if direct.should_move(&context, &reader.server.life) => {
                        retry::Failure::Slow
                    }
                    Ok(Err(_)) => continue,
                    Err(_) => retry::Failure::Late,
                };
                let resumed = direct.resume_in_time(&mut context, &reader, &lost, after.as_deref());
                if let Some((piece, next)) = resumed.await {
                        context.progress.reach(progress::Stage::Answering);
                        span.passed(piece.events);
                        if piece.last_id.is_some() {
                            after.clone_from(&piece.last_id);
                        }
                        reader = next;
                        yield Ok(body::Frame::data(piece.bytes));
                } else {
                        span.cut(&lost);
                        yield Err(io::Error::other("the answer broke off"));
                        return;
                }
            }
        };
        let mut response = http::Response::new(listener::streamed(Box::pin(pieces)));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Takes note of how long an answer was written, if one server wrote it all.
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

    /// The same as [`Self::resume`], as long as its caller's time and this process last.
    async fn resume_in_time(
        self: &Arc<Self>,
        context: &mut Context,
        reader: &stream::Reader,
        lost: &retry::Failure,
        after: Option<&str>,
    ) -> Option<(stream::Chunk, Box<stream::Reader>)> {
        let end = time::Instant::from_std(context.deadline);
        let lifetime = context.lifetime.clone();
        tokio::select! {
            biased;
            resumed = time::timeout_at(end, self.resume(context, reader, lost, after)) => {
                resumed.ok().flatten()
            }
            () = lifetime.expired() => None,
        }
    }

    /// Goes on with a stream at another server after its last whole event.
    async fn resume(
        self: &Arc<Self>,
        context: &mut Context,
        reader: &stream::Reader,
        lost: &retry::Failure,
        after: Option<&str>,
    ) -> Option<(stream::Chunk, Box<stream::Reader>)> {
        match lost {
            retry::Failure::Silent => self.pause_server(&reader.server.life, "silent midway"),
            retry::Failure::Late => return None,
            retry::Failure::Slow => {}
            _ => self.check_after_disconnect(context.fingerprint, reader.server.clone()),
        }
        context.failed_servers.push(reader.server.life.clone());
        let after = after?;
        let is_free = matches!(lost, retry::Failure::Slow | retry::Failure::Silent);
        let may = retry::is_allowed(&context.route, lost, context.history, context.time_left())
            && (is_free || self.spend_retry(&context.service));
        if !may {
            return None;
        }
        match self.pursue(context, Some(after)).await {
            Ok(attempt::Response::Stream { first, reader, .. }) => {
                log_event!(self.node.log(), Event::StreamResumed, "request" => &context.request.id,
                    "server" => &reader.server.life, "after" => after, "cause" => format!("{lost:?}"));
                Some((first, reader))
            }
            _ => None,
        }
    }
}

async fn read_body(body: body::Incoming, limits: &catalog::Limits) -> Result<Bytes, Denied> {
    let reading = Limited::new(body, limits.body_bytes).collect();
    match time::timeout(limits.idle_timeout, reading).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Err(Denied::new(status, "its body is too large"))
        }
        Ok(Err(_)) => Err(Denied::new(StatusCode::BAD_REQUEST, "its body broke off")),
        Err(_) => {
            let status = StatusCode::REQUEST_TIMEOUT;
            Err(Denied::new(status, "its body did not come"))
        }
    }
}

/// The route of a request, and the workspace of its caller where one is asked for.
fn look_up<'a>(
    catalog: &'a catalog::Catalog,
    request: &dialect::Request,
    path: &str,
) -> Result<(&'a catalog::Route, Option<&'a catalog::Workspace>), Denied> {
    let Some(route) = catalog.route(&request.host, path) else {
        return Err(Denied::new(StatusCode::NOT_FOUND, "no such route"));
    };
    if route.public || !catalog.requires_key() {
        return Ok((route, None));
    }
    let key = request.key.as_deref();
    match key.and_then(|key| catalog.workspace(key)) {
        Some(workspace) => Ok((route, Some(workspace))),
        None => Err(Denied::new(StatusCode::UNAUTHORIZED, "no such key")),
    }
}

/// Headers of a server's answer that go on to the caller.
fn answer_headers(head: &response::Parts) -> http::HeaderMap {
    let mut headers = head.headers.clone();
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove(header::CONTENT_LENGTH);
    headers
}

fn pass_on(whole: attempt::Complete) -> http::Response<listener::Body> {
    let headers = answer_headers(&whole.head);
    let mut response = http::Response::new(listener::full(whole.body));
    *response.status_mut() = whole.head.status;
    *response.headers_mut() = headers;
    response
}

fn refuse(status: StatusCode, come_back: Option<Duration>) -> http::Response<listener::Body> {
    let mut response = http::Response::new(listener::full(Bytes::new()));
    *response.status_mut() = status;
    if let Some(after) = come_back {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = header::HeaderValue::try_from(seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
