//! HTTP headers that belong to one connection, and what servers say in headers about retries.

use http::HeaderMap;
use http::header;

use crate::direct::backoff;

/// Names, in lower case, of headers that are not passed on from one connection to another.
const HOP: &[&str] = &[
    "connection",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Name of the header with a body's length in bytes.
pub const LENGTH: &str = "content-length";

/// For how long a server that rejects a request wants no other: `Retry-After` in seconds, whole or not. Of
/// several values the longest counts.
pub fn pause(headers: &HeaderMap) -> backoff::Notice {
    let values = headers.get_all(header::RETRY_AFTER).iter();
    let notices = values.map(|value| {
        let seconds = value.to_str().ok().and_then(|one| one.trim().parse().ok());
        seconds.map_or(backoff::Notice::Invalid, backoff::Notice::new)
    });
    notices.fold(backoff::Notice::Absent, backoff::Notice::or_longer)
}

/// Whether a header of a request is not passed on. Its length is set anew with its body.
pub fn stays_of_request(name: &str) -> bool {
    name == LENGTH || HOP.contains(&name)
}

/// Whether a header of an answer is not passed on. Its length is passed on, so
/// that a caller who gets less of the body knows that it was cut.
pub fn stays_of_answer(name: &str) -> bool {
    HOP.contains(&name)
}
