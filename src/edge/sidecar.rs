//! The sidecar role: the only path to its backend server. [`crate::sidecar`] makes the decisions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use serde::Deserialize;
use serde::Serialize;

use super::link;
use super::node;
use crate::wire::id;
use crate::wire::member;
use crate::wire::order as wire_order;
use crate::wire::outcome;
use crate::wire::run;

mod announce;
mod core;
mod count;
mod engine;
mod flow;
mod order;
mod plain;
mod segment;
mod stream;

/// Settings of the sidecar role.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Entries to announce to, besides those learned from them and from control.
    pub entries: Vec<SocketAddr>,
    /// Key sent to the backend server, and expected from it when it announces itself.
    pub backend_key: String,
}

/// What a backend server announces to its sidecar; see docs/ENGINE.md.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the backend server, unique in the fleet.
    pub server: String,
    /// Service that it belongs to.
    pub service: String,
    pub kind: member::Kind,
    /// Base URL of its API.
    pub url: String,
    /// Changes with each start of the backend server.
    pub incarnation: id::Incarnation,
    /// Models loaded.
    #[serde(default)]
    pub models: Vec<String>,
    /// Concurrent runs.
    pub slots: u32,
    /// Its KV memory in tokens.
    #[serde(default)]
    pub memory_tokens: u64,
    /// How long this announcement is valid, in milliseconds.
    pub ttl_ms: u64,
    /// Whether it asks for a drain.
    #[serde(default)]
    pub leaving: bool,
}

/// Response to an announcement.
#[derive(Clone, Debug, Serialize)]
pub struct Presence {
    /// Attempts in progress.
    pub in_progress: u32,
    /// Whether no new work is admitted.
    pub leaving: bool,
}

/// The sidecar role.
pub struct Sidecar {
    core: core::Handle,
    orders: order::Orders,
    /// Number of the next stream.
    next_stream: AtomicU64,
    /// Streams to entries that are still open.
    open: Arc<AtomicUsize>,
}

/// Counts a stream as open until it is dropped.
struct OpenStream(Arc<AtomicUsize>);

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Sidecar {
    /// Starts the role's threads and tasks.
    ///
    /// # Panics
    ///
    /// Outside a tokio runtime: its tasks run on the one it is called in.
    pub fn start(node: &Arc<node::Node>, settings: Settings) -> Arc<Self> {
        let core = core::Handle::start(node, &settings.backend_key);
        let orders = order::Orders::new(node, &settings.backend_key);
        let announcer = announce::run(
            Arc::clone(node),
            core.clone(),
            settings.entries,
            settings.backend_key,
        );
        tokio::spawn(announcer);
        Arc::new(Self {
            core,
            orders,
            next_stream: AtomicU64::new(1),
            open: Arc::default(),
        })
    }

    /// Handles an announcement of the backend server.
    pub fn announce(&self, announcement: Announcement) -> Presence {
        let drain_requested = announcement.leaving;
        let message = core::Message::Announced(Box::new(announcement));
        let accepted = self.core.try_send(message);
        let status = self.core.status();
        let in_progress = status.in_progress as u32;
        // Until the ledger rejects new work, another attempt may still be admitted.
        let settled = status.leaving || !drain_requested;
        Presence {
            in_progress: if settled {
                in_progress
            } else {
                in_progress.max(1)
            },
            leaving: status.leaving || (drain_requested && accepted),
        }
    }

    /// Serves one attempt's stream.
    pub async fn run(&self, tx: link::Sender<run::Reply>, rx: link::Receiver<run::Call>) {
        let number = self.next_stream.fetch_add(1, Ordering::Relaxed);
        self.open.fetch_add(1, Ordering::AcqRel);
        let _open = OpenStream(Arc::clone(&self.open));
        stream::serve(&self.core, number, tx, rx).await;
    }

    /// Passes an operator's order on to the backend server.
    pub async fn order(&self, order: wire_order::Order) -> Result<(), outcome::Failure> {
        let status = self.core.status();
        self.orders.pass(&status, order).await
    }

    /// Attempts in progress or streams to entries, whichever is more.
    pub fn in_progress(&self) -> usize {
        let open = self.open.load(Ordering::Acquire);
        self.core.status().in_progress.max(open)
    }
}
