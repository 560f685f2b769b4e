//! The entry role: sends requests over links as the state machines of [`crate::entry`] decide.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::runtime;
use tokio::sync::mpsc;

use super::node;
use crate::entry::router;
use crate::wire::id;
use crate::wire::member;
use crate::wire::outcome;
use crate::wire::rpc;
use crate::wire::run;

mod core;
mod count;
mod drive;
mod hello;
mod stream;
mod suspect;

/// Parts of a response that are queued for a slow caller.
const MAX_QUEUED_PARTS: usize = 64;

/// Maximum number of requests in progress at one entry.
pub const MAX_IN_PROGRESS: usize = 20_000;

/// Delay before a caller should retry after a busy or draining entry, in milliseconds.
pub const BUSY_RETRY_MS: u64 = 1_000;

/// A validated request of a caller.
#[derive(Clone, Debug)]
pub struct Submission {
    pub request: id::Request,
    /// Name of the caller's workspace.
    pub workspace: String,
    /// Name of the service.
    pub service: String,
    /// Time from now until the final response is due.
    pub limit: Duration,
    /// Whether the request is idempotent.
    pub repeatable: bool,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// The prompt's text, or the call's body.
    pub body: Bytes,
    /// What to run. The entry sets `prompt_tokens`.
    pub work: run::Work,
}

/// Part of a response, in order. The last part is `Done` or `Failed`; a channel that closes
/// without either is an internal error.
#[derive(Clone, Debug)]
pub enum Part {
    /// Status and headers of a plain service's response.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers to forward, names in lower case.
        headers: Vec<(String, String)>,
    },
    /// Texts of tokens.
    Tokens(Vec<String>),
    /// Bytes of a plain service's response body.
    Bytes(Bytes),
    /// The response is complete.
    Done {
        /// Why it ended.
        end: run::End,
        /// Tokens used.
        usage: run::Usage,
    },
    /// The response is incomplete or missing.
    Failed(outcome::Failure),
}

/// The entry role.
pub struct Entry {
    node: Arc<node::Node>,
    core: core::Handle,
    runtime: runtime::Handle,
    running: Arc<AtomicUsize>,
    count: Arc<count::Count>,
}

/// Counts one request in progress until it is dropped.
struct Running(Arc<AtomicUsize>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Entry {
    /// Starts the role's threads and tasks.
    ///
    /// # Panics
    ///
    /// If called outside a tokio runtime. Requests run on the runtime of the caller.
    pub fn start(node: &Arc<node::Node>) -> Arc<Self> {
        let runtime = runtime::Handle::current();
        runtime.spawn(hello::run(Arc::clone(node)));
        let count = Arc::new(count::Count::new(node.metrics()));
        Arc::new(Self {
            node: Arc::clone(node),
            core: core::Handle::start(node, &count),
            runtime,
            running: Arc::default(),
            count,
        })
    }

    /// Passes a backend server's announcement to the router. The answer is the current view, or
    /// `Unavailable` if the core thread is busy.
    pub async fn announce(&self, announce: member::Announce) -> rpc::Answer {
        let event = router::Event::Announce(Box::new(announce));
        if !self.core.try_send(event) {
            return rpc::Answer::Unavailable;
        }
        rpc::Answer::View(self.node.view().as_ref().clone())
    }

    /// The live backend servers, or `None` if the core thread is busy.
    pub async fn servers(&self) -> Option<Vec<member::Announce>> {
        self.core.list().await
    }

    /// Runs a request. Dropping the receiver cancels it.
    pub fn submit(&self, submission: Submission) -> mpsc::Receiver<Part> {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_PARTS);
        let accepted = self.node.now();
        let running = Running(Arc::clone(&self.running));
        let in_progress = self.running.fetch_add(1, Ordering::AcqRel);
        if let Some(failure) = self.rejection(in_progress) {
            self.count.failed(&failure);
            let _ = tx.try_send(Part::Failed(failure));
            return rx;
        }
        let node = Arc::clone(&self.node);
        let core = self.core.clone();
        let count = Arc::clone(&self.count);
        self.runtime.spawn(async move {
            let drive = drive::Drive::new(node, core, count, accepted, submission).await;
            drive.run(tx).await;
            drop(running);
        });
        rx
    }

    fn rejection(&self, in_progress: usize) -> Option<outcome::Failure> {
        let (cause, message) = if self.node.draining() {
            (outcome::Cause::Draining, "this entry is draining")
        } else if in_progress >= MAX_IN_PROGRESS {
            (outcome::Cause::Busy, "this entry has too much in progress")
        } else {
            return None;
        };
        Some(outcome::Failure::not_run(
            cause,
            Some(BUSY_RETRY_MS),
            message,
        ))
    }

    /// Number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.running.load(Ordering::Acquire)
    }
}
