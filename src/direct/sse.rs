//! Splits a stream of server-sent events into complete events. If a stream breaks off within an
//! event, another backend server can continue after the last complete one.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest event in bytes. No model writes larger ones.
pub const MAX_EVENT: usize = 1 << 20;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes as received, with the empty line at the end.
    pub bytes: Bytes,
    /// The event's id, if it has one.
    pub id: Option<String>,
    /// Whether it holds nothing but comments, so that it is no event to its reader.
    pub is_comment: bool,
}

/// Buffers bytes until events are complete.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    /// Bytes of `buf` already searched for the end of an event.
    searched: usize,
}

impl Splitter {
    /// Adds received bytes. Returns `false` if more than 1 MiB are buffered.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let from = self.searched.saturating_sub(3);
        let Some(end) = event_end(&self.buf, from) else {
            self.searched = self.buf.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.buf.split_to(end).freeze();
        let id = find_id(&bytes);
        let is_comment = lines(&bytes).all(|line| line.is_empty() || line.starts_with(b":"));
        Some(Event {
            bytes,
            id,
            is_comment,
        })
    }

    /// Whether bytes of an incomplete event are buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Removes and returns the buffered bytes.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buf.split().freeze()
    }
}

/// End of the first event in `buf`, after its empty line. The search starts at `from`.
fn event_end(buf: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while at < buf.len() {
        if buf[at..].starts_with(b"\n\n") {
            return Some(at + 2);
        }
        if buf[at..].starts_with(b"\r\n\r\n") {
            return Some(at + 4);
        }
        at += 1;
    }
    None
}

fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = event.split(|byte| *byte == b'\n');
    lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

fn find_id(event: &[u8]) -> Option<String> {
    for line in lines(event) {
        if let Some(id) = line.strip_prefix(b"id:") {
            let id = String::from_utf8_lossy(id);
            return Some(id.trim().to_owned());
        }
    }
    None
}
