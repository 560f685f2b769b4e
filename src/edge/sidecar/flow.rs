//! The answer of one attempt between the task that reads it from the backend server and the
//! streams that take it.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::watch;

use crate::sidecar::buffer;
use crate::wire::id;
use crate::wire::run;

/// The answer of one attempt.
pub struct Flow {
    buffer: Mutex<buffer::Buffer>,
    /// Tells readers that there is more.
    updates: watch::Sender<()>,
    /// Offset up to which it was sent on some stream.
    sent: AtomicU64,
    /// Tells the writer that more was sent.
    drained: watch::Sender<()>,
}

/// A stream's place in an answer.
pub struct Cursor<'a> {
    flow: &'a Flow,
    updates: watch::Receiver<()>,
    head_sent: bool,
    offset: u64,
}

/// What a stream gets next.
pub enum Next {
    /// Send this.
    Send(run::Reply),
    /// Send this; nothing follows.
    End(run::Reply),
    /// What was asked for is not kept.
    Gone,
}

impl Flow {
    /// An answer of which the first token or byte will be number `first`.
    pub fn new(attempt: id::Attempt, first: u64) -> Self {
        Self {
            buffer: Mutex::new(buffer::Buffer::new(attempt, first)),
            updates: watch::Sender::new(()),
            sent: AtomicU64::new(first),
            drained: watch::Sender::new(()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, buffer::Buffer> {
        self.buffer.lock().expect("buffer lock")
    }

    /// Number after the last token or byte that came.
    pub fn length(&self) -> u64 {
        self.lock().length()
    }

    /// Takes tokens; `false`: some before them are missing.
    pub fn push_tokens(&self, offset: u64, tokens: Vec<String>) -> bool {
        let placed = self.lock().push_tokens(offset, tokens);
        self.updates.send_replace(());
        placed
    }

    /// Takes the head of a plain service's answer.
    pub fn set_head(&self, status: u16, headers: Vec<(String, String)>) {
        self.lock().set_head(status, headers);
        self.updates.send_replace(());
    }

    /// Takes the word that the segment is held.
    pub fn set_held(&self, segment: run::Context, tokens: u64) {
        self.lock().set_held(segment, tokens);
        self.updates.send_replace(());
    }

    /// Takes the next bytes, when there is drained for them.
    pub async fn push_bytes(&self, bytes: &bytes::Bytes) {
        let mut drained = self.drained.subscribe();
        while !self.lock().has_capacity(self.sent.load(Ordering::Acquire)) {
            if drained.changed().await.is_err() {
                return;
            }
        }
        self.lock().push_bytes(bytes);
        self.updates.send_replace(());
    }

    /// Says the final word.
    pub fn finish(&self, reply: run::Reply) {
        self.lock().finish(reply);
        self.updates.send_replace(());
    }

    /// A place in the answer.
    pub fn cursor(&self, offset: u64) -> Cursor<'_> {
        Cursor {
            flow: self,
            updates: self.updates.subscribe(),
            head_sent: false,
            offset,
        }
    }

    fn mark_sent(&self, offset: u64) {
        if self.sent.fetch_max(offset, Ordering::AcqRel) < offset {
            self.lock().mark_sent(offset);
            self.drained.send_replace(());
        }
    }
}

impl Cursor<'_> {
    /// What comes next; waits for it. Cancel safe.
    pub async fn next(&mut self) -> Next {
        loop {
            self.updates.borrow_and_update();
            let next = self.flow.lock().next(self.head_sent, self.offset);
            match next {
                buffer::Next::Send(reply, offset) => {
                    self.head_sent |=
                        matches!(reply, run::Reply::Head { .. } | run::Reply::Held { .. });
                    self.offset = offset;
                    return Next::Send(reply);
                }
                buffer::Next::End(reply) => return Next::End(reply),
                buffer::Next::Gone => return Next::Gone,
                buffer::Next::Wait => {
                    if self.updates.changed().await.is_err() {
                        return Next::Gone;
                    }
                }
            }
        }
    }

    /// What was given out last was sent.
    pub fn mark_sent(&self) {
        self.flow.mark_sent(self.offset);
    }
}
