//! The answer of one attempt as it comes from the backend server, kept so that any stream can
//! take it from any offset.

use bytes::Bytes;
use bytes::BytesMut;

use crate::wire::id;
use crate::wire::run;

/// Most bytes of a plain service's answer that are kept after they were sent.
pub const KEPT_BYTES: usize = 1 << 20;

/// Bytes of a plain service's answer that may wait to be sent.
pub const MAX_UNSENT_BYTES: usize = 1 << 20;

/// Most bytes in one chunk.
const MAX_CHUNK_BYTES: usize = 64 << 10;

/// What a stream at some offset gets next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send this, and go on at this offset.
    Send(run::Reply, u64),
    /// The final word.
    End(run::Reply),
    /// Nothing yet.
    Wait,
    /// What was asked for is no longer kept, or never was.
    Gone,
}

/// The answer of one attempt.
#[derive(Clone, Debug)]
pub struct Buffer {
    attempt: id::Attempt,
    /// What comes before tokens and bytes: the head of a plain service's answer, or the word that
    /// a segment is held.
    head: Option<run::Reply>,
    /// Number of the first token or byte kept.
    first_kept: u64,
    tokens: Vec<String>,
    bytes: BytesMut,
    end: Option<run::Reply>,
}

impl Buffer {
    /// An answer of which the first token or byte will be number `first`.
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

    /// Number after the last token or byte that came.
    pub fn length(&self) -> u64 {
        self.first_kept + self.tokens.len() as u64 + self.bytes.len() as u64
    }

    /// Whether the final word was said.
    pub fn is_ended(&self) -> bool {
        self.end.is_some()
    }

    /// Takes the head of a plain service's answer.
    pub fn set_head(&mut self, status: u16, headers: Vec<(String, String)>) {
        if self.end.is_none() {
            self.head.get_or_insert(run::Reply::Head {
                attempt: self.attempt,
                status,
                headers,
            });
        }
    }

    /// Takes the word that the segment is held.
    pub fn set_held(&mut self, segment: run::Context, tokens: u64) {
        if self.end.is_none() {
            self.head.get_or_insert(run::Reply::Held {
                attempt: self.attempt,
                segment,
                tokens,
            });
        }
    }

    /// Takes tokens, the first of which has number `offset`. Known ones are dropped; `false`:
    /// some between are missing.
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

    /// Takes the next bytes of a plain service's answer.
    pub fn push_bytes(&mut self, bytes: &Bytes) {
        if self.end.is_none() {
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// Drops bytes that were sent up to `offset`, but for the last [`KEPT_BYTES`].
    pub fn mark_sent(&mut self, offset: u64) {
        let sent = offset.saturating_sub(self.first_kept) as usize;
        let drop = sent.saturating_sub(KEPT_BYTES).min(self.bytes.len());
        // Moving the rest for a few bytes is not worth it.
        if drop >= KEPT_BYTES {
            let _ = self.bytes.split_to(drop);
            self.first_kept += drop as u64;
        }
    }

    /// Whether a plain service's answer may bring more, sent up to `offset`.
    pub fn has_capacity(&self, offset: u64) -> bool {
        self.length().saturating_sub(offset) < MAX_UNSENT_BYTES as u64
    }

    /// Says the final word. The first one stands.
    pub fn finish(&mut self, reply: run::Reply) {
        self.end.get_or_insert(reply);
    }

    /// What a stream gets that has everything before `offset` and, if `head_sent`, the head.
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
