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
use super::course::Course;
use super::dialect;
use super::listener;
use super::progress;
use super::span;
use super::stream;
use crate::direct::catalog;
use crate::direct::patience;
use crate::direct::register;
use crate::direct::verdict;
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
        let ask = self.dialect.ask(&head);
        let mut span = span::Span::new(self, &ask.id);
        let lifetime = self.node.lifetime();
        let admitted = tokio::select! {
            biased;
            admitted = self.admit(ask, head, body, span.progress()) => admitted,
            () = lifetime.expired() => Err(Denied::new(StatusCode::SERVICE_UNAVAILABLE, ENDS)),
        };
        let course = match admitted {
            Ok(course) => course,
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
        span.serves(&course.service);
        self.relay(course, span).await
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
        ask: dialect::Ask,
        head: request::Parts,
        body: body::Incoming,
        progress: &progress::Progress,
    ) -> Result<Course, Denied> {
        let catalog = self.catalog();
        let limits = catalog.as_ref().map(|one| *one.limits());
        let body = read_body(body, &limits.unwrap_or_default()).await?;
        let patience = ask.patience.unwrap_or(MOST_PATIENCE);
        let gather = GATHER.min(patience.mul_f64(GATHER_PART));
        let catalog = self.catalog_for(&ask, head.uri.path(), gather).await?;
        let (route, workspace) = look_up(&catalog, &ask, head.uri.path())?;
        let limit = patience.min(route.timeout);
        let Some(target) = route.target(rand::random()) else {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Denied::new(status, "the route leads nowhere"));
        };
        let service = target.service.clone();
        self.await_server(&service, gather).await;
        let engine = catalog.service(&service).and_then(|one| one.engine);
        let name = workspace.map(|one| one.name.clone());
        let path = format!("{}{}", ask.host, head.uri);
        let fingerprint = id::Fingerprint::of(name.as_deref().unwrap_or(""), &path, &body);
        let now = self.node.now();
        if self.state().suspects.is_poison(now, &fingerprint) {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Denied::new(status, "backend servers died under it"));
        }
        let began = progress.mark().began;
        progress.mark().end = Some(began + limit);
        let priority = workspace.and_then(|one| one.priority);
        Ok(Course {
            priority: priority.unwrap_or(route.priority),
            route: route.clone(),
            ask,
            head,
            body,
            service,
            engine,
            workspace: name,
            began,
            end: began + limit,
            past: verdict::Past::default(),
            tried: Vec::new(),
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
        ask: &dialect::Ask,
        path: &str,
        gather: Duration,
    ) -> Result<Arc<catalog::Catalog>, Denied> {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let began = Instant::now();
        let Some(catalog) = self.await_catalog(gather).await else {
            return Err(Denied::new(status, "no configuration known yet"));
        };
        if look_up(&catalog, ask, path).is_ok() || self.is_confirmed(&catalog) {
            return Ok(catalog);
        }
        let left = gather.saturating_sub(began.elapsed());
        let confirmed = self.await_confirmed(left).await;
        confirmed.ok_or(Denied::new(status, "newest configuration not known yet"))
    }

    async fn relay(
        self: &Arc<Self>,
        mut course: Course,
        mut span: span::Span,
    ) -> http::Response<listener::Body> {
        let now = self.node.now();
        self.state().budget.request(now, &course.service);
        let end = time::Instant::from_std(course.end);
        let lifetime = course.lifetime.clone();
        // An answer that is there is passed on, whatever the time.
        let got = tokio::select! {
            biased;
            got = time::timeout_at(end, self.pursue(&mut course, None)) => got,
            () = lifetime.expired() => Ok(Err(course.end_here().into())),
        };
        let missed = match got {
            Ok(Ok(attempt::Got::Whole(whole))) => {
                span.first(0.0);
                span.end(whole.head.status, "answered");
                return pass_on(whole);
            }
            Ok(Ok(attempt::Got::Stream {
                head,
                first,
                reader,
            })) => {
                span.first(reader.first_ms);
                return self.pass_stream(course, span, &head, first, reader);
            }
            Ok(Err(missed)) => missed,
            Err(_) => verdict::End::Late.into(),
        };
        if let Some(answer) = missed.answer {
            span.end(answer.head.status, "failed by its backend server");
            return pass_on(answer);
        }
        let (status, come_back) = match verdict::refusal(&missed.end, course.past, course.left()) {
            verdict::Refusal::Busy(come_back) => (StatusCode::SERVICE_UNAVAILABLE, Some(come_back)),
            verdict::Refusal::Failed => (StatusCode::BAD_GATEWAY, None),
            verdict::Refusal::TimedOut => (StatusCode::GATEWAY_TIMEOUT, None),
        };
        span.end(status, &format!("{:?}", missed.end));
        refuse(status, come_back)
    }

    /// Tries until there is an answer to pass on, or no use in another attempt.
    async fn pursue(
        self: &Arc<Self>,
        course: &mut Course,
        after: Option<&str>,
    ) -> Result<attempt::Got, attempt::Missed> {
        loop {
            let missed = match self.attempt(course, after).await {
                Ok(got) => return Ok(got),
                Err(missed) => missed,
            };
            // Who moved on of its own will has spent its part of the budget before.
            let is_free = matches!(
                missed.end,
                verdict::End::Unsent | verdict::End::Slow | verdict::End::Silent
            );
            let may = verdict::again(&course.route, &missed.end, course.past, course.left())
                && (is_free || self.spend(&course.service));
            if !may {
                return Err(missed);
            }
            if course.past.tried > 1 && missed.end.not_run() {
                course.progress.reach(progress::Stage::Paused);
                time::sleep(REFUSED_PAUSE * (1 << (course.past.tried - 2).min(4))).await;
            }
        }
    }

    /// Spends a part of the budget of requests that are sent again.
    pub(super) fn spend(&self, service: &str) -> bool {
        let now = self.node.now();
        let entries = self.entry_count();
        self.state().budget.spend(now, service, entries)
    }

    /// Whether a request may leave the server that it waits at, and spends what that takes.
    /// Whoever may not goes on waiting: an answer may yet come.
    pub(super) fn may_move(&self, course: &Course) -> bool {
        let end = verdict::End::Slow;
        verdict::again(&course.route, &end, course.past, course.left())
            && self.spend(&course.service)
    }

    /// Whether a request leaves a server that is slow, and spends what that takes.
    pub(super) fn had_better_move(&self, course: &Course, server: &register::Life) -> bool {
        self.has_better(course, server) && self.may_move(course)
    }

    /// Passes events on as they come; where the stream breaks off, it goes on elsewhere.
    fn pass_stream(
        self: &Arc<Self>,
        mut course: Course,
        mut span: span::Span,
        head: &response::Parts,
        first: stream::Piece,
        mut reader: Box<stream::Reader>,
    ) -> http::Response<listener::Body> {
        let status = head.status;
        let headers = answer_headers(head);
        let direct = Arc::clone(self);
        let pieces = async_stream::stream! {
            let began = Instant::now();
            let mut after = first.last.clone();
            course.progress.reach(progress::Stage::Answering);
            span.passed(first.events);
            yield Ok(body::Frame::data(first.bytes));
            let limit = time::Instant::from_std(course.end);
            loop {
                let next = time::timeout_at(limit, time::timeout(patience::stuck(&course.route), reader.next(patience::QUIET, || direct.may_move(&course))));
                let lost = match next.await {
                    Ok(Ok(stream::Next::Piece(piece))) => {
                        span.passed(piece.events);
                        if piece.last.is_some() {
                            after.clone_from(&piece.last);
                        }
                        yield Ok(body::Frame::data(piece.bytes));
                        continue;
                    }
                    Ok(Ok(stream::Next::End)) => {
                        direct.state().suspects.clear(&course.fingerprint);
                        direct.observe_writing(&course, began.elapsed());
                        span.end(status, "answered");
                        return;
                    }
                    Ok(Ok(stream::Next::Lost(end))) => end,
                    Ok(Err(_)) if direct.had_better_move(&course, &reader.server.life) => {
                        verdict::End::Slow
                    }
                    Ok(Err(_)) => continue,
                    Err(_) => verdict::End::Late,
                };
                let resumed = direct.resume_in_time(&mut course, &reader, &lost, after.as_deref());
                if let Some((piece, next)) = resumed.await {
                        course.progress.reach(progress::Stage::Answering);
                        span.passed(piece.events);
                        if piece.last.is_some() {
                            after.clone_from(&piece.last);
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
    fn observe_writing(&self, course: &Course, took: Duration) {
        let (Some(engine), Some(size)) = (&course.engine, course.ask.size) else {
            return;
        };
        if course.past.ran > 1 {
            return;
        }
        let expected = patience::writing(engine, size.prompt, course.expected_answer());
        let mut state = self.state();
        state.writing.observe(&course.service, took, expected);
    }

    /// The same as [`Self::resume`], as long as its caller's time and this process last.
    async fn resume_in_time(
        self: &Arc<Self>,
        course: &mut Course,
        reader: &stream::Reader,
        lost: &verdict::End,
        after: Option<&str>,
    ) -> Option<(stream::Piece, Box<stream::Reader>)> {
        let end = time::Instant::from_std(course.end);
        let lifetime = course.lifetime.clone();
        tokio::select! {
            biased;
            resumed = time::timeout_at(end, self.resume(course, reader, lost, after)) => {
                resumed.ok().flatten()
            }
            () = lifetime.expired() => None,
        }
    }

    /// Goes on with a stream at another server after its last whole event.
    async fn resume(
        self: &Arc<Self>,
        course: &mut Course,
        reader: &stream::Reader,
        lost: &verdict::End,
        after: Option<&str>,
    ) -> Option<(stream::Piece, Box<stream::Reader>)> {
        match lost {
            verdict::End::Silent => self.pause_server(&reader.server.life, "silent midway"),
            verdict::End::Late => return None,
            verdict::End::Slow => {}
            _ => self.check_after_disconnect(course.fingerprint, reader.server.clone()),
        }
        course.tried.push(reader.server.life.clone());
        let after = after?;
        let is_free = matches!(lost, verdict::End::Slow | verdict::End::Silent);
        let may = verdict::again(&course.route, lost, course.past, course.left())
            && (is_free || self.spend(&course.service));
        if !may {
            return None;
        }
        match self.pursue(course, Some(after)).await {
            Ok(attempt::Got::Stream { first, reader, .. }) => {
                log_event!(self.node.log(), Event::StreamResumed, "request" => &course.ask.id,
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
    ask: &dialect::Ask,
    path: &str,
) -> Result<(&'a catalog::Route, Option<&'a catalog::Workspace>), Denied> {
    let Some(route) = catalog.route(&ask.host, path) else {
        return Err(Denied::new(StatusCode::NOT_FOUND, "no such route"));
    };
    if route.public || !catalog.keyed() {
        return Ok((route, None));
    }
    let key = ask.key.as_deref();
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

fn pass_on(whole: attempt::Whole) -> http::Response<listener::Body> {
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
