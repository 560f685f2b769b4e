//! `/services/{service}/...`: calls to plain services.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rocket::http::Header;
use rocket::http::Method;
use rocket::http::Status;
use rocket::request::Request;
use rocket::response;
use rocket::response::Responder;
use rocket::route;
use tokio::sync::mpsc;

use super::Front;
use super::answer;
use super::auth;
use super::body;
use super::completions;
use crate::config;
use crate::edge::entry;
use crate::edge::header;
use crate::wire::id;
use crate::wire::outcome;
use crate::wire::run;

/// Maximum bytes of a response without a Content-Length. Such a response is buffered before it is
/// forwarded, because a caller could take a truncated chunked response for a complete one.
const MAX_HELD: usize = 16 << 20;

/// Time limit of a call that matches no configured route.
const TIME_LIMIT: Duration = Duration::from_secs(30);

const PREFIX: &str = "/services/";

/// Headers of callers that are addressed to the entry and not forwarded.
const OWN_HEADERS: &[&str] = &["authorization", "x-not-repeatable", "x-time-limit-ms"];

/// The routes, below `/services`.
pub fn routes() -> Vec<rocket::Route> {
    const METHODS: [Method; 7] = [
        Method::Get,
        Method::Put,
        Method::Post,
        Method::Delete,
        Method::Options,
        Method::Head,
        Method::Patch,
    ];
    METHODS
        .into_iter()
        .map(|method| rocket::Route::new(method, "/<service>/<path..>", Call))
        .collect()
}

#[derive(Clone)]
struct Call;

#[rocket::async_trait]
impl route::Handler for Call {
    async fn handle<'r>(
        &self,
        request: &'r Request<'_>,
        data: rocket::Data<'r>,
    ) -> route::Outcome<'r> {
        let Some(front) = request.rocket().state::<Arc<Front>>() else {
            return route::Outcome::Error(Status::InternalServerError);
        };
        let Some(body) = body::Unread::of(request) else {
            return route::Outcome::forward(data, Status::InternalServerError);
        };
        match call(front, request, body).await {
            Ok(response) => route::Outcome::from(request, response),
            Err(error) => route::Outcome::from(request, error),
        }
    }
}

/// A plain service's response.
struct Response {
    request: id::Request,
    status: u16,
    headers: Vec<(String, String)>,
    body: Body,
}

enum Body {
    Buffered(Vec<u8>),
    Streamed(answer::Reader),
}

impl<'r> Responder<'r, 'r> for Response {
    fn respond_to(self, _: &'r Request<'_>) -> response::Result<'r> {
        let mut builder = response::Response::build();
        builder.status(Status::new(self.status));
        for (name, value) in self.headers {
            if !header::stays_of_answer(&name) {
                builder.header_adjoin(Header::new(name, value));
            }
        }
        builder.header(Header::new(answer::REQUEST_ID, self.request.to_string()));
        match self.body {
            Body::Buffered(bytes) => builder.sized_body(bytes.len(), std::io::Cursor::new(bytes)),
            Body::Streamed(parts) => builder.streamed_body(parts),
        };
        builder.ok()
    }
}

async fn call(
    front: &Front,
    request: &Request<'_>,
    body: body::Unread,
) -> Result<Response, answer::Error> {
    let conf = front.node.conf();
    let headers = auth::Headers(request.headers());
    let workspace = front.auth.workspace(&conf, &headers)?;
    let id = id::Request(rand::random());
    let reject = |failure| answer::Error::of(id, failure);
    let options = completions::Options::read(&headers).map_err(reject)?;
    let (service, path) = split_path(request);
    check_plain(&conf, service).map_err(reject)?;
    let method = request.method();
    let route = find_route(&conf, service, &path, method);
    let body = body.read(front).await?;
    let default = route.map_or(TIME_LIMIT, |r| Duration::from_millis(r.time_limit_ms));
    let repeatable = route.map_or_else(|| is_safe(method), |route| route.repeatable);
    let submission = entry::Submission {
        request: id,
        workspace,
        service: service.to_owned(),
        limit: options.limit.unwrap_or(default),
        repeatable: repeatable && !options.not_repeatable,
        key: options.key,
        body: body.into_bytes(),
        work: run::Work::Http {
            method: method.as_str().to_owned(),
            path,
            headers: forwarded_headers(&headers),
        },
    };
    let Some(role) = front.node.entry() else {
        return Err(reject(answer::incomplete()));
    };
    let rx = role.submit(submission);
    respond(id, rx).await.map_err(reject)
}

/// The service's name, and the rest of the path with the query.
fn split_path<'r>(request: &'r Request<'_>) -> (&'r str, String) {
    let uri = request.uri();
    let path = uri.path().as_str();
    let below = path.strip_prefix(PREFIX).unwrap_or_default();
    let (service, rest) = below.split_once('/').unwrap_or((below, ""));
    let mut target = format!("/{rest}");
    if let Some(query) = uri.query() {
        target.push('?');
        target.push_str(query.as_str());
    }
    (service, target)
}

fn check_plain(conf: &config::Set, name: &str) -> Result<(), outcome::Failure> {
    let service = conf.service.get(name);
    if service.is_some_and(|service| service.kind == config::Kind::Plain) {
        return Ok(());
    }
    let text = format!("no plain service {name:?}");
    Err(outcome::Failure::not_run(
        outcome::Cause::NotFound,
        None,
        &text,
    ))
}

/// The route with the longest matching prefix. Of equal prefixes, a route for this method wins over
/// one for any method.
fn find_route<'a>(
    conf: &'a config::Set,
    service: &str,
    path: &str,
    method: Method,
) -> Option<&'a config::Route> {
    conf.route
        .values()
        .filter(|route| route.service == service && path.starts_with(&route.prefix))
        .filter(|route| match &route.method {
            Some(only) => only.eq_ignore_ascii_case(method.as_str()),
            None => true,
        })
        .max_by_key(|route| (route.prefix.len(), route.method.is_some()))
}

fn is_safe(method: Method) -> bool {
    matches!(method, Method::Get | Method::Head | Method::Options)
}

fn forwarded_headers(headers: &auth::Headers<'_>) -> Vec<(String, String)> {
    headers
        .0
        .iter()
        .map(|header| {
            let name = header.name().as_str().to_ascii_lowercase();
            (name, header.value().to_owned())
        })
        .filter(|(name, _)| !header::stays_of_request(name))
        .filter(|(name, _)| !OWN_HEADERS.contains(&name.as_str()))
        .collect()
}

async fn respond(
    request: id::Request,
    mut rx: mpsc::Receiver<entry::Part>,
) -> Result<Response, outcome::Failure> {
    let (status, headers) = loop {
        match rx.recv().await {
            Some(entry::Part::Head { status, headers }) => break (status, headers),
            Some(entry::Part::Failed(failure)) => return Err(failure),
            Some(entry::Part::Done { .. }) | None => return Err(answer::incomplete()),
            Some(entry::Part::Tokens(_) | entry::Part::Bytes(_)) => {}
        }
    };
    let has_length = headers.iter().any(|(name, _)| name == header::LENGTH);
    let body = if has_length {
        Body::Streamed(answer::Reader::new(rx, Bytes::new()))
    } else {
        Body::Buffered(buffer_body(rx).await?)
    };
    Ok(Response {
        request,
        status,
        headers,
        body,
    })
}

async fn buffer_body(mut rx: mpsc::Receiver<entry::Part>) -> Result<Vec<u8>, outcome::Failure> {
    let mut out = Vec::new();
    while let Some(part) = rx.recv().await {
        match part {
            entry::Part::Bytes(bytes) => out.extend_from_slice(&bytes),
            entry::Part::Done { .. } => return Ok(out),
            entry::Part::Failed(failure) => return Err(failure),
            entry::Part::Head { .. } | entry::Part::Tokens(_) => {}
        }
        if out.len() > MAX_HELD {
            let text = format!("an answer without a length is held up to {MAX_HELD} bytes");
            return Err(outcome::Failure::may_have_run(
                outcome::Cause::ServerError,
                &text,
            ));
        }
    }
    Err(answer::incomplete())
}
