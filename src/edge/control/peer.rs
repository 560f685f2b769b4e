//! Links from one control process to the others: a task and a bounded queue for each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime;
use tokio::sync::mpsc;

use crate::control::message;
use crate::edge::node;
use crate::wire::rpc;

/// Messages that wait for one link. What is over is dropped, as a network may.
const QUEUE: usize = 512;

/// Bytes of messages in one question, if it holds more than one message.
const MAX_BYTES: usize = 4 << 20;

/// Time for one question.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// The links to other control processes.
pub struct Peers {
    node: Arc<node::Node>,
    runtime: runtime::Handle,
    queues: HashMap<SocketAddr, mpsc::Sender<message::Envelope>>,
}

impl Peers {
    /// No links yet. To be called within a runtime.
    pub fn new(node: &Arc<node::Node>) -> Self {
        Self {
            node: Arc::clone(node),
            runtime: runtime::Handle::current(),
            queues: HashMap::new(),
        }
    }

    /// Sends a message, or drops it.
    pub fn send(&mut self, message: message::Envelope) {
        let addr = message.to.addr;
        let queue = self.queues.entry(addr).or_insert_with(|| {
            let (queue, messages) = mpsc::channel(QUEUE);
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
        while bytes < MAX_BYTES
            && let Ok(next) = messages.try_recv()
        {
            bytes += next.approx_bytes();
            batch.push(next);
        }
        let packet = message::Packet::Batch(batch).encode();
        let ask = rpc::Ask::Consensus(packet);
        // A lost question is a lost message: the consensus sends again what matters.
        let _ = node.link(addr).ask(&ask, TIMEOUT).await;
    }
}
