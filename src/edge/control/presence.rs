//! Presence: which processes recently sent a `Hello` to this or another control process. Each
//! `Hello` is a lease of a few seconds.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use crate::wire::member;

/// How long a process counts as present after a `Hello`.
pub const LEASE_DURATION: Duration = Duration::from_secs(4);

/// Most processes kept.
const MAX_PEERS: usize = 32_768;

/// Interval between two removals of expired leases.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The presence leases by process name.
#[derive(Default)]
pub struct Presence {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    peers: HashMap<String, Lease>,
    swept_at: Duration,
}

struct Lease {
    peer: member::Peer,
    expires_at: Duration,
    /// Whether the peer sent its `Hello` to this process. Only such leases are sent to other
    /// control processes: if reported leases were forwarded, that of a process that has gone would
    /// be renewed forever.
    direct: bool,
}

impl Presence {
    /// Records a `Hello`. One from an older incarnation than the known one is ignored.
    pub fn hello(&self, now: Duration, peer: member::Peer) {
        self.insert(now, peer, true);
    }

    /// Merges the leases that another control process reports.
    pub fn merge(&self, now: Duration, peers: Vec<member::Peer>) {
        for peer in peers {
            self.insert(now, peer, false);
        }
    }

    fn insert(&self, now: Duration, peer: member::Peer, direct: bool) {
        let mut inner = self.inner.lock().expect("presence lock");
        if now >= inner.swept_at + SWEEP_INTERVAL {
            inner.swept_at = now;
            inner.peers.retain(|_, lease| lease.expires_at > now);
        }
        let known = inner.peers.get(&peer.name);
        let is_old = known.is_some_and(|known| {
            let is_same = known.peer.incarnation == peer.incarnation;
            let known_is_newer = known.peer.incarnation > peer.incarnation;
            known.expires_at > now && (known_is_newer || (is_same && known.direct && !direct))
        });
        if is_old || (known.is_none() && inner.peers.len() >= MAX_PEERS) {
            return;
        }
        let lease = Lease {
            expires_at: now + LEASE_DURATION,
            direct,
            peer,
        };
        inner.peers.insert(lease.peer.name.clone(), lease);
    }

    /// Processes with a valid lease that sent their `Hello` to this process, sorted by name.
    pub fn direct(&self, now: Duration) -> Vec<member::Peer> {
        self.select(now, |lease| lease.direct)
    }

    /// Processes with a valid lease that `wanted` accepts, sorted by name.
    pub fn list(&self, now: Duration, wanted: impl Fn(&member::Peer) -> bool) -> Vec<member::Peer> {
        self.select(now, |lease| wanted(&lease.peer))
    }

    fn select(&self, now: Duration, wanted: impl Fn(&Lease) -> bool) -> Vec<member::Peer> {
        let inner = self.inner.lock().expect("presence lock");
        let live = inner.peers.values().filter(|lease| lease.expires_at > now);
        let wanted = live.filter(|lease| wanted(lease));
        let mut peers: Vec<member::Peer> = wanted.map(|lease| lease.peer.clone()).collect();
        peers.sort_by(|a, b| a.name.cmp(&b.name));
        peers
    }
}
