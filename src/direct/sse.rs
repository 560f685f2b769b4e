//! Cuts a stream of events into whole events, so that one that breaks off in the middle of an
//! event can go on elsewhere after the last whole one.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest event held. What is larger is no event of a model.
const MAX_EVENT: usize = 1 << 20;

/// One whole event with its bytes as they came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, with the empty line that ends it.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<String>,
}

/// Gathers bytes until events are whole.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    /// Bytes of `buf` that were searched already.
    searched: usize,
}

impl Splitter {
    /// Takes bytes as they came. `false`: an event has grown past all bounds.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let from = self.searched.saturating_sub(3);
        let Some(end) = event_end(&self.buf, from) else {
            self.searched = self.buf.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.buf.split_to(end).freeze();
        let id = find_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether bytes of an event that is not whole are held.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Bytes that belong to no whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buf.split().freeze()
    }
}

/// Where the event that begins `buf` ends: after its first empty line.
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

fn find_id(event: &[u8]) -> Option<String> {
    for line in event.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(id) = line.strip_prefix(b"id:") {
            let id = String::from_utf8_lossy(id);
            return Some(id.trim().to_owned());
        }
    }
    None
}
