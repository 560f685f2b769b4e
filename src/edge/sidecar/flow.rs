//! The response of one attempt, shared by the task that reads it from the backend server and the
//! streams that send it to entries.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::watch;

use crate::sidecar::buffer;
use crate::wire::id;
use crate::wire::run;

/// The response of one attempt.
pub struct Flow {
    buffer: Mutex<buffer::Buffer>,
    /// Wakes streams when there is more to send.
    updates: watch::Sender<()>,
    /// Highest offset up to which any stream has sent it.
    sent: AtomicU64,
    /// Wakes the writer when more was sent.
    drained: watch::Sender<()>,
}

/// A stream's position in a response.
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
    /// The response at this offset is not kept.
    Gone,
}

impl Flow {
    /// An empty response whose first token or byte will have number `first`.
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

    /// Number after the last token or byte received.
    pub fn length(&self) -> u64 {
        self.lock().length()
    }

    /// Appends tokens. Returns `false` if tokens before `offset` are missing.
    pub fn push_tokens(&self, offset: u64, tokens: Vec<String>) -> bool {
        let placed = self.lock().push_tokens(offset, tokens);
        self.updates.send_replace(());
        placed
    }

    /// Records the head of a plain service's response.
    pub fn set_head(&self, status: u16, headers: Vec<(String, String)>) {
        self.lock().set_head(status, headers);
        self.updates.send_replace(());
    }

    /// Records that the segment is held.
    pub fn set_held(&self, segment: run::Context, tokens: u64) {
        self.lock().set_held(segment, tokens);
        self.updates.send_replace(());
    }

    /// Appends bytes. Waits while too many are unsent.
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

    /// Records the final reply.
    pub fn finish(&self, reply: run::Reply) {
        self.lock().finish(reply);
        self.updates.send_replace(());
    }

    /// A cursor at `offset`, before the head.
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
    /// Waits for what is to be sent next. Cancel safe.
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

    /// Confirms that the last reply returned by [`Self::next`] was sent.
    pub fn mark_sent(&self) {
        self.flow.mark_sent(self.offset);
    }
}
