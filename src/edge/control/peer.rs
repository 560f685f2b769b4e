//! Sends consensus messages to other control processes: one task and bounded queue for each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime;
use tokio::sync::mpsc;

use crate::control::message;
use crate::edge::node;
use crate::wire::rpc;

/// Capacity of the queue to one process, in messages. Messages above it are dropped: the consensus
/// tolerates message loss.
const QUEUE_MESSAGES: usize = 512;

/// Most bytes of messages in one request, unless a single message is larger.
const MAX_BATCH_BYTES: usize = 4 << 20;

/// Timeout of one request.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The send queues to other control processes.
pub struct Peers {
    node: Arc<node::Node>,
    runtime: runtime::Handle,
    queues: HashMap<SocketAddr, mpsc::Sender<message::Envelope>>,
}

impl Peers {
    /// Starts without any queue. Must be called within a Tokio runtime.
    pub fn new(node: &Arc<node::Node>) -> Self {
        Self {
            node: Arc::clone(node),
            runtime: runtime::Handle::current(),
            queues: HashMap::new(),
        }
    }

    /// Queues a message, or drops it if the queue is full.
    pub fn send(&mut self, message: message::Envelope) {
        let addr = message.to.addr;
        let queue = self.queues.entry(addr).or_insert_with(|| {
            let (queue, messages) = mpsc::channel(QUEUE_MESSAGES);
            let node = Arc::clone(&self.node);
            self.runtime.spawn(deliver(node, addr, messages));
            queue
        });
        let _ = queue.try_send(message);
    }
}

async fn deliver(
    node: Arc<node::Node>,
    addr: SocketAddr,
    mut messages: mpsc::Receiver<message::Envelope>,
) {
    while let Some(first) = messages.recv().await {
        let mut bytes = first.approx_bytes();
        let mut batch = vec![first];
        while bytes < MAX_BATCH_BYTES
            && let Ok(next) = messages.try_recv()
        {
            bytes += next.approx_bytes();
            batch.push(next);
        }
        let packet = message::Packet::Batch(batch).encode();
        let request = rpc::Ask::Consensus(packet);
        // Failures are ignored: the consensus resends lost messages where needed.
        let _ = node.link(addr).ask(&request, SEND_TIMEOUT).await;
    }
}
