//! What callers and backend servers speak, decoded once. Whoever brings the entry to a platform
//! implements [`Dialect`]; nothing else knows the platform's names.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderMap;
use http::request;
use http::response;

use crate::direct::quota;
use crate::direct::register;

/// The sizes of a request to a model, as its caller gives them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub max_answer: u64,
    /// Tokens that the caller expects of the answer. Often far off.
    pub answer_hint: Option<u64>,
}

/// A caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// Id of this attempt of the caller.
    pub id: String,
    /// Host that it is for.
    pub host: String,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// Sizes, if it is for a model.
    pub size: Option<Size>,
    /// Last event that the caller has of a stream that it goes on with.
    pub last_event_id: Option<String>,
}

/// A server that reads a part of the prompt, with the reservation of its memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Helper {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Reservation that holds its part. `None`: the first server holds it.
    pub ticket: Option<String>,
}

/// What one attempt adds to a caller's request.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    /// Id of this attempt of the caller.
    pub id: &'a str,
    /// The server it is for.
    pub server: &'a register::Record,
    /// Time that is left.
    pub time_left: Duration,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Rank, 0 first.
    pub priority: u8,
    /// Servers that help to read.
    pub helpers: &'a [Helper],
    /// Last event that was passed on.
    pub last_event_id: Option<&'a str>,
}

/// What the head of a backend server's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// Request that it answers.
    pub id: Option<String>,
    /// Whether it bears the server's signature.
    pub sealed: bool,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether another life than the one expected answers.
    pub displaced: bool,
    /// Address of the server at fault, if it is another one.
    pub at_fault: Option<String>,
    /// Whether the body is encoded, which nobody asked for.
    pub encoded: bool,
    /// Time that the connection may be idle.
    pub keep_alive: Option<Duration>,
    /// Whether the connection ends with this answer.
    pub closes: bool,
}

/// What a backend server tells of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests that wait.
    pub queued: u32,
    /// Requests that it serves.
    pub active: u32,
    /// Factor by which it is slower than its model.
    pub pace: f64,
    /// Its start in milliseconds since 1970, if it tells.
    pub started_ms: Option<u64>,
}

/// What becomes of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reserved {
    /// Held.
    Held,
    /// Waits for memory.
    Waiting,
    /// Refused.
    Refused,
}

/// The language of a platform.
pub trait Dialect: Send + Sync + 'static {
    /// Decodes a caller's request.
    fn request(&self, head: &request::Parts) -> Request;

    /// Headers with which a caller's request goes to a backend server.
    fn attempt_headers(&self, head: &request::Parts, attempt: &Attempt<'_>) -> HeaderMap;

    /// Decodes the head of a backend server's answer.
    fn response(&self, head: &response::Parts) -> Response;

    /// What the headers of any answer of a backend server say of the limit on what it takes.
    fn limit(&self, headers: &HeaderMap) -> quota::Notice;

    /// Path of a backend server's report on itself.
    fn report_path(&self) -> &'static str;

    /// Decodes such a report.
    fn report(&self, body: &[u8]) -> Option<Report>;

    /// Path and body of the order that sets memory aside under `ticket`.
    fn reserve(&self, ticket: &str, tokens: u64, hold: Duration) -> (&'static str, Vec<u8>);

    /// Path and body of the order that ends a reservation.
    fn release(&self, ticket: &str) -> (&'static str, Vec<u8>);
}
