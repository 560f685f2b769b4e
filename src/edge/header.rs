//! HTTP headers that belong to one connection.

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

/// Whether a header of a request is not passed on. Its length is set anew with its body.
pub fn stays_of_request(name: &str) -> bool {
    name == LENGTH || HOP.contains(&name)
}

/// Whether a header of an answer is not passed on. Its length is passed on, so
/// that a caller who gets less of the body knows that it was cut.
pub fn stays_of_answer(name: &str) -> bool {
    HOP.contains(&name)
}
