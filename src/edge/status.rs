//! Statuses of responses.

/// Whether `status` can be that of the response to a request, final and of a class that HTTP defines.
/// Interim responses are never passed on, and no request asks to switch protocols, so any other
/// status means that what came is no response.
pub fn is_final(status: u16) -> bool {
    (200..=599).contains(&status)
}
