//! The bodies of requests, which a handler reads once it knows that it takes the request.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::body;
use rocket::request;
use tokio::sync::Mutex;

use super::Front;
use super::answer;
use crate::edge::body as edge_body;
use crate::edge::guard;
use crate::wire::outcome;

/// Maximum size of a body in bytes. Fits a million tokens of 8 bytes each, with JSON escapes and the
/// rest of the JSON.
pub const MAX_BODY: usize = 24 << 20;

/// Delay before a caller should retry, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// The body of a request, not read yet.
#[derive(Clone)]
pub struct Unread {
    body: Arc<Mutex<Option<body::Incoming>>>,
    /// Place of the connection that it comes by.
    slot: Arc<guard::Slot>,
}

#[rocket::async_trait]
impl<'r> request::FromRequest<'r> for Unread {
    type Error = Infallible;

    async fn from_request(
        request: &'r request::Request<'_>,
    ) -> request::Outcome<Self, Self::Error> {
        match Self::of(request) {
            Some(unread) => request::Outcome::Success(unread),
            None => request::Outcome::Forward(rocket::http::Status::InternalServerError),
        }
    }
}

impl Unread {
    pub(super) fn new(body: body::Incoming, slot: &Arc<guard::Slot>) -> Self {
        Self {
            body: Arc::new(Mutex::new(Some(body))),
            slot: Arc::clone(slot),
        }
    }

    /// Attaches the body to a request.
    pub(super) fn attach(&self, request: &request::Request<'_>) {
        request.local_cache(|| Some(self.clone()));
    }

    /// The body that was attached to a request.
    pub fn of(request: &request::Request<'_>) -> Option<Self> {
        request.local_cache(|| None::<Self>).clone()
    }

    /// Reads the body whole.
    pub async fn read(&self, front: &Front) -> Result<edge_body::Whole, answer::Error> {
        let Some(mut body) = self.body.lock().await.take() else {
            return Err(answer::Error::bad_request("the body was read already"));
        };
        let limits = edge_body::Limits {
            bytes: MAX_BODY.min(front.body_memory),
            idle: front.body_timeout,
            deadline: Instant::now() + front.body_timeout,
        };
        let read = front.bodies.read(&mut body, &self.slot, &limits).await;
        read.map_err(|failure| match failure {
            edge_body::Failure::TooLarge => too_large(limits.bytes),
            edge_body::Failure::Broken => answer::Error::bad_request("the body ended early"),
            edge_body::Failure::Late => timed_out(front.body_timeout),
            edge_body::Failure::Yielded => yielded(),
            edge_body::Failure::Full => out_of_memory(),
        })
    }

    /// Drops the body if it was not read.
    pub(super) async fn discard(self) {
        if let Some(body) = self.body.lock().await.take() {
            edge_body::discard(body, MAX_BODY);
        }
    }
}

fn too_large(most: usize) -> answer::Error {
    let text = format!("the body is larger than {most} bytes");
    let failure = outcome::Failure::not_run(outcome::Cause::TooLarge, None, &text);
    answer::Error::new(failure)
}

fn out_of_memory() -> answer::Error {
    let text = "the memory for requests is used up";
    let failure = outcome::Failure::not_run(outcome::Cause::Busy, Some(RETRY_MS), text);
    answer::Error::new(failure)
}

fn yielded() -> answer::Error {
    let text = "the body came more slowly than others while memory was used up";
    let failure = outcome::Failure::not_run(outcome::Cause::SlowCaller, Some(RETRY_MS), text);
    answer::Error::new(failure)
}

fn timed_out(timeout: Duration) -> answer::Error {
    let text = format!("the body did not come within {} ms", timeout.as_millis());
    let failure = outcome::Failure::not_run(outcome::Cause::SlowCaller, Some(RETRY_MS), &text);
    answer::Error::new(failure)
}
