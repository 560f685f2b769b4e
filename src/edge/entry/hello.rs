//! Sends control a periodic hello with this entry's address, and stores the view that it returns and
//! the evacuated zones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time;

use super::super::node;
use crate::wire::member;
use crate::wire::rpc;

/// Time between two hellos.
const PERIOD: Duration = Duration::from_millis(500);

/// Sends hellos until the process ends.
pub async fn run(node: Arc<node::Node>) {
    let mut turn = 0;
    loop {
        send(&node, turn, node::ASK_TIMEOUT).await;
        turn = turn.wrapping_add(1);
        time::sleep(PERIOD).await;
    }
}

/// Sends a hello to the control processes, one after another from number `turn` on, until one
/// answers. `timeout` applies to each.
pub async fn send(node: &Arc<node::Node>, turn: usize, timeout: Duration) {
    let settings = node.settings();
    let ask = rpc::Ask::Hello(member::Peer {
        role: member::Role::Entry,
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        link: settings.link,
        incarnation: node.incarnation(),
        revision: node.conf().revision,
    });
    let mut addrs = node.control_addrs();
    if addrs.is_empty() {
        return;
    }
    let first = turn % addrs.len();
    addrs.rotate_left(first);
    for addr in addrs {
        if let Ok(rpc::Answer::View(view)) = node.link(addr).ask(&ask, timeout).await {
            node.set_view(view);
            fetch_evacuations(node, addr, timeout).await;
            return;
        }
    }
}

async fn fetch_evacuations(node: &Arc<node::Node>, addr: SocketAddr, timeout: Duration) {
    let have = node.evacuations().newest().change;
    let ask = rpc::Ask::Evacuations { have };
    if let Ok(rpc::Answer::Evacuations(Some(newer))) = node.link(addr).ask(&ask, timeout).await {
        node.evacuations().install(newer);
    }
}
