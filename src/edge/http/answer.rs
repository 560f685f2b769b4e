//! Responses to callers: errors in one JSON format, and bodies that are truncated on failure.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use rocket::http::ContentType;
use rocket::http::Header;
use rocket::http::Status;
use rocket::request::Request;
use rocket::response;
use rocket::tokio::io::AsyncRead;
use rocket::tokio::io::ReadBuf;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::edge::entry;
use crate::wire::id;
use crate::wire::outcome;

/// Header with the id of the request.
pub const REQUEST_ID: &str = "X-Request-Id";

/// An error response.
#[derive(Clone, Debug)]
pub struct Error {
    /// The cause, whether the request ran, and when to retry.
    pub failure: outcome::Failure,
    /// The request, if it has an id already.
    pub request: Option<id::Request>,
}

#[derive(Serialize)]
struct Envelope<'a> {
    error: Detail<'a>,
}

/// The `error` object, a superset of that of the OpenAI API.
#[derive(Serialize)]
struct Detail<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'static str,
    code: &'static str,
    param: Option<()>,
    ran: outcome::Ran,
    retry_after_ms: Option<u64>,
    request_id: Option<String>,
}

impl Error {
    /// An error response without a request id.
    pub fn new(failure: outcome::Failure) -> Self {
        Self {
            failure,
            request: None,
        }
    }

    /// An error response to a malformed request.
    pub fn bad_request(text: &str) -> Self {
        Self::new(bad_request(text))
    }

    /// An error response to a request.
    pub fn of(request: id::Request, failure: outcome::Failure) -> Self {
        Self {
            failure,
            request: Some(request),
        }
    }

    /// The body as JSON.
    pub fn json(&self) -> String {
        let error = Detail {
            message: &self.failure.message,
            kind: kind(self.failure.cause),
            code: self.failure.cause.code(),
            param: None,
            ran: self.failure.ran,
            retry_after_ms: self.failure.retry_after_ms,
            request_id: self.request.map(|request| request.to_string()),
        };
        serde_json::to_string(&Envelope { error }).unwrap_or_default()
    }
}

/// The failure of a malformed request.
pub fn bad_request(text: &str) -> outcome::Failure {
    outcome::Failure::not_run(outcome::Cause::BadRequest, None, text)
}

/// The failure of a response that ended without its final part.
pub fn incomplete() -> outcome::Failure {
    outcome::Failure::may_have_run(outcome::Cause::Internal, "the answer was cut off")
}

/// The error type of the OpenAI API.
fn kind(cause: outcome::Cause) -> &'static str {
    match cause.status() {
        401 => "authentication_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}

impl<'r> response::Responder<'r, 'static> for Error {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'static> {
        let status = Status::new(self.failure.cause.status());
        let mut builder = response::Response::build_from(self.json().respond_to(request)?);
        builder.status(status).header(ContentType::JSON);
        if let Some(millis) = self.failure.retry_after_ms {
            let seconds = millis.div_ceil(1_000).max(1);
            builder.header(Header::new("Retry-After", seconds.to_string()));
        }
        if let Some(id) = self.request {
            builder.header(Header::new(REQUEST_ID, id.to_string()));
        }
        builder.ok()
    }
}

/// A JSON response to a request.
pub struct Json {
    /// The request.
    pub request: id::Request,
    /// The body.
    pub text: String,
}

impl<'r> response::Responder<'r, 'static> for Json {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'static> {
        response::Response::build_from(self.text.respond_to(request)?)
            .header(ContentType::JSON)
            .header(Header::new(REQUEST_ID, self.request.to_string()))
            .ok()
    }
}

/// Reads the body of a plain service's response from its parts. A failure fails the read before the
/// announced Content-Length is reached, so the caller cannot take the body for complete.
pub struct Reader {
    rx: mpsc::Receiver<entry::Part>,
    buffered: Bytes,
}

impl Reader {
    /// A reader of the parts from `rx`, after the bytes in `buffered`.
    pub fn new(rx: mpsc::Receiver<entry::Part>, buffered: Bytes) -> Self {
        Self { rx, buffered }
    }
}

impl AsyncRead for Reader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.buffered.is_empty() {
            match self.rx.poll_recv(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(entry::Part::Bytes(bytes))) => self.buffered = bytes,
                Poll::Ready(Some(entry::Part::Done { .. })) => return Poll::Ready(Ok(())),
                Poll::Ready(Some(entry::Part::Failed(failure))) => {
                    return Poll::Ready(Err(io::Error::other(failure.message)));
                }
                Poll::Ready(Some(entry::Part::Head { .. } | entry::Part::Tokens(_))) => {}
                Poll::Ready(None) => {
                    return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
                }
            }
        }
        let len = self.buffered.len().min(buf.remaining());
        buf.put_slice(&self.buffered.split_to(len));
        Poll::Ready(Ok(()))
    }
}
