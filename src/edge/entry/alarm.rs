//! After a backend server died under a request: before the request goes elsewhere or its caller
//! is answered, this entry has the quorum's word on the suspects, and the other entries are told.
//! Otherwise suspects would meet on another server, or run again at another entry, until the next
//! hello.

use std::sync::Arc;
use std::time::Duration;

use tokio::task;
use tokio::time;

use super::super::node;
use super::hello;
use crate::wire::id;
use crate::wire::member;
use crate::wire::rpc;

/// Longest wait for the quorum's word, and for other entries to take it.
const PATIENCE: Duration = Duration::from_millis(1_000);

/// Pause before control is asked again.
const PAUSE: Duration = Duration::from_millis(20);

/// Time for one control process to answer: one that is silent must not take up all the wait.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for another entry to take the news.
const SHARE_TIMEOUT: Duration = Duration::from_millis(300);

/// Waits, `left` at the most, until it is known here and told that `server` died under a request.
pub async fn raise(
    node: &Arc<node::Node>,
    fingerprint: id::Fingerprint,
    server: &str,
    left: Duration,
) {
    let told = async {
        let mut turn = 0;
        while !is_known(node, fingerprint, server) {
            hello::say(node, turn, ASK_TIMEOUT).await;
            turn += 1;
            if !is_known(node, fingerprint, server) {
                time::sleep(PAUSE).await;
            }
        }
        share(node).await;
    };
    let _ = time::timeout(left.min(PATIENCE), told).await;
}

fn is_known(node: &node::Node, fingerprint: id::Fingerprint, server: &str) -> bool {
    let view = node.view();
    let mut suspects = view.suspects.iter();
    let found = suspects.find(|suspect| suspect.fingerprint == fingerprint);
    found.is_some_and(|suspect| suspect.servers.iter().any(|dead| dead == server))
}

/// Tells the other entries of the suspects known here.
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
