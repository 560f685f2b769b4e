//! The stream of one attempt to a sidecar: a task writes the calls, the owner reads the replies.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time;

use super::super::link;
use super::super::node;
use crate::entry::request;
use crate::wire::id;
use crate::wire::run;

/// Maximum bytes of a body in one frame.
const BODY_CHUNK_BYTES: usize = 256 << 10;

/// Calls queued for the writing task: at most a start and some cancels.
const CALL_QUEUE: usize = 8;

/// How long a stream stays open after its request ended, so that a cancel is delivered.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(2_000);

enum Replies {
    Opening(oneshot::Receiver<link::Receiver<run::Reply>>),
    Open(link::Receiver<run::Reply>),
}

/// The stream of one attempt.
pub struct Stream {
    attempt: id::Attempt,
    calls: mpsc::Sender<run::Call>,
    replies: Replies,
    cancelled: bool,
}

impl Stream {
    /// Opens a stream. `first` is its first call, and `body` follows it.
    pub fn open(
        node: &Arc<node::Node>,
        target: &request::Target,
        attempt: id::Attempt,
        first: run::Call,
        body: Bytes,
    ) -> Self {
        let (calls, rx) = mpsc::channel(CALL_QUEUE);
        let (opened, replies) = oneshot::channel();
        let link = node.link(target.link);
        let cancelled = matches!(first, run::Call::Cancel(_));
        tokio::spawn(async move {
            // The reading side sees a failure as the end of the stream.
            let _ = write(&link, first, body, rx, opened).await;
        });
        Self {
            attempt,
            calls,
            replies: Replies::Opening(replies),
            cancelled,
        }
    }

    /// Whether a reply is the last on its stream.
    pub fn is_final(reply: &run::Reply) -> bool {
        match reply {
            run::Reply::Refused { .. }
            | run::Reply::Failed { .. }
            | run::Reply::Done { .. }
            | run::Reply::Unknown(_) => true,
            run::Reply::Reserved(_)
            | run::Reply::Started(_)
            | run::Reply::Held { .. }
            | run::Reply::Head { .. }
            | run::Reply::Chunk { .. } => false,
        }
    }

    pub fn attempt(&self) -> id::Attempt {
        self.attempt
    }

    /// Queues a call. A stream that has failed drops it.
    pub fn call(&mut self, call: run::Call) {
        self.cancelled |= matches!(call, run::Call::Cancel(_));
        let _ = self.calls.try_send(call);
    }

    /// The next reply, or `None` if the stream failed or ended. Cancel safe.
    pub async fn recv(&mut self) -> Option<run::Reply> {
        if let Replies::Opening(opening) = &mut self.replies {
            let rx = opening.await.ok()?;
            self.replies = Replies::Open(rx);
        }
        match &mut self.replies {
            Replies::Open(rx) => rx.recv().await.ok().flatten(),
            Replies::Opening(_) => None,
        }
    }

    /// Closes the stream, after a pending cancel was delivered.
    pub fn release(mut self) {
        if !self.cancelled {
            return;
        }
        tokio::spawn(async move {
            let ended = async { while self.recv().await.is_some() {} };
            let _ = time::timeout(CANCEL_TIMEOUT, ended).await;
        });
    }
}

/// Sends the first call, the body, and then the calls from `calls` until their sender is dropped.
/// A cancel ends the body early.
async fn write(
    link: &node::Link,
    first: run::Call,
    body: Bytes,
    mut calls: mpsc::Receiver<run::Call>,
    opened: oneshot::Sender<link::Receiver<run::Reply>>,
) -> Result<(), link::Error> {
    let (mut tx, rx) = link.run().await?;
    let _ = opened.send(rx);
    tx.send(&first).await?;
    let mut remaining = body;
    while !remaining.is_empty() {
        match calls.try_recv() {
            Ok(call) => {
                let cancel = matches!(call, run::Call::Cancel(_));
                tx.send(&call).await?;
                if cancel {
                    remaining.clear();
                    continue;
                }
            }
            Err(mpsc::error::TryRecvError::Empty) => {}
            Err(mpsc::error::TryRecvError::Disconnected) => return Ok(()),
        }
        let chunk = remaining.split_to(remaining.len().min(BODY_CHUNK_BYTES));
        tx.send(&run::Call::Body(chunk)).await?;
    }
    while let Some(call) = calls.recv().await {
        tx.send(&call).await?;
    }
    tx.finish()
}
