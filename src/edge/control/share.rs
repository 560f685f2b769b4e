//! Sends the presence leases of this control process to the others, so that each of them can answer
//! with all processes. Otherwise entries that use different control processes would never discover
//! each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use tokio::task;
use tokio::time;

use super::Control;
use crate::wire::rpc;

/// Interval between two rounds. Two may be lost before a lease expires, see
/// [`super::presence::LEASE_DURATION`].
const ROUND_INTERVAL: Duration = Duration::from_millis(1_000);

/// Timeout of one request. Shorter than the interval, so that rounds do not overlap.
const SEND_TIMEOUT: Duration = Duration::from_millis(800);

/// Sends the leases each interval until the role ends.
pub async fn run(control: Weak<Control>) {
    loop {
        time::sleep(ROUND_INTERVAL).await;
        let Some(control) = control.upgrade() else {
            return;
        };
        send_round(&control).await;
    }
}

/// Sends one round. Nothing is sent if no process is present, as none then asks for a view.
async fn send_round(control: &Arc<Control>) {
    let now = control.node.now();
    if control.presence.list(now, |_| true).is_empty() {
        return;
    }
    let mut peers = control.presence.direct(now);
    peers.push(control.own_peer());
    let mut requests = task::JoinSet::new();
    for addr in other_controls(control).await {
        let link = control.node.link(addr);
        let request = rpc::Ask::Present(peers.clone());
        // Failures are ignored: the next round sends all leases again.
        requests.spawn(async move { link.ask(&request, SEND_TIMEOUT).await.is_ok() });
    }
    requests.join_all().await;
}

/// Addresses of members and seeds, except this process.
async fn other_controls(control: &Arc<Control>) -> Vec<SocketAddr> {
    let mut addrs = control.node.seeds();
    if let Some(status) = control.status().await {
        addrs.extend(status.members.iter().map(|member| member.addr));
    }
    let own = control.node.settings().link;
    addrs.retain(|addr| *addr != own);
    addrs.sort_unstable();
    addrs.dedup();
    addrs
}
