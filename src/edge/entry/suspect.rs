//! Spreads the suspects of a backend server's death: the requests that ran there when it died.
//!
//! Before such a request is retried or its caller is answered, this entry fetches the suspects
//! agreed by the quorum and sends them to the other entries. Otherwise, until the next hello,
//! several suspects could be placed on the same server, or a suspect could run again at another
//! entry.

use std::sync::Arc;
use std::time::Duration;

use tokio::task;
use tokio::time;

use super::super::node;
use super::hello;
use crate::wire::id;
use crate::wire::member;
use crate::wire::rpc;

/// Timeout for fetching the suspects from the quorum and sending them to the other entries.
const PROPAGATE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Pause before control is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Timeout for one control process. Short, so that an unresponsive one does not use up
/// [`PROPAGATE_TIMEOUT`].
const HELLO_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout for another entry to acknowledge the suspects.
const SHARE_TIMEOUT: Duration = Duration::from_millis(300);

/// Waits until the view names the request as a suspect in the death of `server` and the other
/// entries know it, but no longer than `time_left`.
pub async fn propagate(
    node: &Arc<node::Node>,
    fingerprint: id::Fingerprint,
    server: &str,
    time_left: Duration,
) {
    let propagated = async {
        let mut turn = 0;
        while !is_known(node, fingerprint, server) {
            hello::send(node, turn, HELLO_TIMEOUT).await;
            turn += 1;
            if !is_known(node, fingerprint, server) {
                time::sleep(RETRY_PAUSE).await;
            }
        }
        share(node).await;
    };
    let _ = time::timeout(time_left.min(PROPAGATE_TIMEOUT), propagated).await;
}

fn is_known(node: &node::Node, fingerprint: id::Fingerprint, server: &str) -> bool {
    let view = node.view();
    let mut suspects = view.suspects.iter();
    let found = suspects.find(|suspect| suspect.fingerprint == fingerprint);
    found.is_some_and(|suspect| suspect.servers.iter().any(|dead| dead == server))
}

/// Sends the suspects in the current view to the other entries.
async fn share(node: &Arc<node::Node>) {
    let view = node.view();
    node.add_suspects(&view.suspects);
    let own = node.settings().link;
    let entries = view
        .peers
        .iter()
        .filter(|peer| peer.role == member::Role::Entry && peer.link != own);
    let mut asks = task::JoinSet::new();
    for entry in entries {
        let link = node.link(entry.link);
        let ask = rpc::Ask::Suspects(view.suspects.clone());
        asks.spawn(async move { link.ask(&ask, SHARE_TIMEOUT).await.is_ok() });
    }
    asks.join_all().await;
}
