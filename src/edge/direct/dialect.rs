//! Decodes and encodes the HTTP conventions of a platform. Each platform implements [`Dialect`];
//! nothing else knows its header names and paths.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::request;
use http::response;

use crate::direct::backoff;
use crate::direct::quota;
use crate::direct::register;

/// Most parts of a prompt that are read: a report on all of them fits into a datagram.
pub const MAX_PARTS: usize = 64;

/// Sizes of a request to a model as given by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Largest number of tokens of the answer.
    pub max_answer: u64,
    /// Tokens of the answer as the caller expects them. Often far off.
    pub answer_hint: Option<u64>,
}

/// The head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// Id that the caller gave to this attempt of its request.
    pub id: String,
    /// Host without a port.
    pub host: String,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// Sizes, if the request is for a model.
    pub size: Option<Size>,
    /// Id of the last event that the caller received of a stream that it resumes.
    pub last_event_id: Option<String>,
    /// Keys of the parts of its prompt that other requests may share, at most [`MAX_PARTS`].
    pub parts: Vec<u64>,
}

/// A helper server that reads a segment of the prompt, with the reservation of its memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Helper {
    /// Address of the helper server.
    pub addr: SocketAddr,
    /// Reservation for its segment. `None`: the server that generates the answer holds the segment.
    pub ticket: Option<String>,
}

/// What an attempt adds to the headers of a caller's request.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    /// The caller's id of the request.
    pub id: &'a str,
    /// The server that the request is sent to.
    pub server: &'a register::Record,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Priority, 0 first.
    pub priority: u8,
    /// Helper servers that read segments of the prompt.
    pub helpers: &'a [Helper],
    /// Id of the last event passed on to the caller, if the stream is resumed.
    pub last_event_id: Option<&'a str>,
}

/// The head of a backend server's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// Id of the request that it answers.
    pub id: Option<String>,
    /// Whether it carries the signature of the backend server.
    pub sealed: bool,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether another instance than the expected one answers at this address.
    pub displaced: bool,
    /// Address of the server at fault, if it is another server.
    pub at_fault: Option<String>,
    /// Whether the body has a content encoding, which was not asked for.
    pub encoded: bool,
    /// How long the server keeps the idle connection open.
    pub keep_alive: Option<Duration>,
    /// Whether the connection closes after this response.
    pub closes: bool,
    /// For how long the server wants nothing from this entry.
    pub pause: backoff::Notice,
    /// Whether the server says that it leaves.
    pub leaving: bool,
}

/// A backend server's report on its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests in its queue.
    pub queued: u32,
    /// Requests that it runs.
    pub active: u32,
    /// Factor by which it is slower than its time model.
    pub pace: f64,
    /// Unix time of its start in milliseconds, if reported.
    pub started_ms: Option<u64>,
}

/// Outcome of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reserved {
    /// The memory is reserved.
    Held,
    /// It waits for memory.
    Waiting,
    /// Rejected.
    Refused,
}

/// The HTTP conventions of a platform.
pub trait Dialect: Send + Sync + 'static {
    /// Decodes the head of a caller's request.
    fn request(&self, head: &request::Parts) -> Request;

    /// Headers of the request that an attempt sends to a backend server.
    fn attempt_headers(&self, head: &request::Parts, attempt: &Attempt<'_>) -> HeaderMap;

    /// Whether a header of a backend server's response is meant for this entry and not for callers.
    fn is_for_entry(&self, name: &HeaderName) -> bool;

    /// Decodes the head of a backend server's response.
    fn response(&self, head: &response::Parts) -> Response;

    /// Decodes the rate limit that a backend server names in the headers of any response.
    fn limit(&self, headers: &HeaderMap) -> quota::Notice;

    /// Path of the load report of a backend server.
    fn report_path(&self) -> &'static str;

    /// Decodes the body of a load report.
    fn report(&self, body: &[u8]) -> Option<Report>;

    /// Path and body of the order that reserves memory under `ticket`. The reservation expires after
    /// `hold`.
    fn reserve(&self, ticket: &str, tokens: u64, hold: Duration) -> (&'static str, Vec<u8>);

    /// Path and body of the order that releases the reservation `ticket`.
    fn release(&self, ticket: &str) -> (&'static str, Vec<u8>);
}
