//! The response of one attempt as received from the backend server, kept so that any stream can
//! read it from any offset.

use bytes::Bytes;
use bytes::BytesMut;

use crate::wire::id;
use crate::wire::run;

/// Bytes of a plain service's response that are kept after they were sent.
pub const KEPT_BYTES: usize = 1 << 20;

/// Bytes of a plain service's response that may wait to be sent.
pub const MAX_UNSENT_BYTES: usize = 1 << 20;

const MAX_CHUNK_BYTES: usize = 64 << 10;

/// What a stream gets next at its offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send this reply, then continue at this offset.
    Send(run::Reply, u64),
    /// The final reply.
    End(run::Reply),
    /// Nothing yet.
    Wait,
    /// The response at this offset is not kept.
    Gone,
}

/// The response of one attempt.
#[derive(Clone, Debug)]
pub struct Buffer {
    attempt: id::Attempt,
    /// Sent before tokens and bytes: the head of a plain service's response, or the reply that a
    /// segment is held.
    head: Option<run::Reply>,
    /// Number of the first token or byte kept.
    first_kept: u64,
    tokens: Vec<String>,
    bytes: BytesMut,
    end: Option<run::Reply>,
}

impl Buffer {
    /// An empty response whose first token or byte will have number `first`.
    pub fn new(attempt: id::Attempt, first: u64) -> Self {
        Self {
            attempt,
            head: None,
            first_kept: first,
            tokens: Vec::new(),
            bytes: BytesMut::new(),
            end: None,
        }
    }

    /// Number after the last token or byte received.
    pub fn length(&self) -> u64 {
        self.first_kept + self.tokens.len() as u64 + self.bytes.len() as u64
    }

    /// Whether the final reply was received.
    pub fn is_ended(&self) -> bool {
        self.end.is_some()
    }

    /// Records the head of a plain service's response.
    pub fn set_head(&mut self, status: u16, headers: Vec<(String, String)>) {
        if self.end.is_none() {
            self.head.get_or_insert(run::Reply::Head {
                attempt: self.attempt,
                status,
                headers,
            });
        }
    }

    /// Records that the segment is held.
    pub fn set_held(&mut self, segment: run::Context, tokens: u64) {
        if self.end.is_none() {
            self.head.get_or_insert(run::Reply::Held {
                attempt: self.attempt,
                segment,
                tokens,
            });
        }
    }

    /// Appends tokens, the first of which has number `offset`. Known ones are skipped. Returns
    /// `false` if tokens before `offset` are missing.
    pub fn push_tokens(&mut self, offset: u64, tokens: Vec<String>) -> bool {
        let length = self.length();
        if offset > length {
            return false;
        }
        if self.end.is_none() {
            let known = (length - offset) as usize;
            self.tokens.extend(tokens.into_iter().skip(known));
        }
        true
    }

    /// Appends bytes of a plain service's response.
    pub fn push_bytes(&mut self, bytes: &Bytes) {
        if self.end.is_none() {
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// Drops bytes before `offset`, which were sent, except the last [`KEPT_BYTES`].
    pub fn mark_sent(&mut self, offset: u64) {
        let sent = offset.saturating_sub(self.first_kept) as usize;
        let drop = sent.saturating_sub(KEPT_BYTES).min(self.bytes.len());
        // Dropping a few bytes at a time would copy the rest too often.
        if drop >= KEPT_BYTES {
            let _ = self.bytes.split_to(drop);
            self.first_kept += drop as u64;
        }
    }

    /// Whether more of a plain service's response may be read, if it was sent up to `offset`.
    pub fn has_capacity(&self, offset: u64) -> bool {
        self.length().saturating_sub(offset) < MAX_UNSENT_BYTES as u64
    }

    /// Records the final reply. Later ones are ignored.
    pub fn finish(&mut self, reply: run::Reply) {
        self.end.get_or_insert(reply);
    }

    /// What a stream gets next that has everything before `offset` and, if `head_sent`, the head.
    pub fn next(&self, head_sent: bool, offset: u64) -> Next {
        if let (false, Some(head)) = (head_sent, &self.head) {
            return Next::Send(head.clone(), offset);
        }
        if offset < self.length() {
            let Some(skip) = offset.checked_sub(self.first_kept) else {
                return Next::Gone;
            };
            return self.chunk(skip as usize, offset);
        }
        match &self.end {
            Some(end) => Next::End(end.clone()),
            None if offset > self.length() => Next::Gone,
            None => Next::Wait,
        }
    }

    fn chunk(&self, skip: usize, offset: u64) -> Next {
        let tokens = self.tokens.get(skip..).unwrap_or_default().to_vec();
        let bytes = self.bytes.get(skip..).unwrap_or_default();
        let bytes = Bytes::copy_from_slice(&bytes[..bytes.len().min(MAX_CHUNK_BYTES)]);
        let after = offset + tokens.len() as u64 + bytes.len() as u64;
        let reply = run::Reply::Chunk {
            attempt: self.attempt,
            offset,
            tokens,
            bytes,
        };
        Next::Send(reply, after)
    }
}
