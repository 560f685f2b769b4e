//! How a message reaches all other processes.
//!
//! A process sends to a zone through one of its relays, which forward to the zone what they receive in
//! batches. So a process sends as many datagrams as there are zones, and receives as many as its zone
//! has relays, however many processes there are. A small zone is sent to directly if it is the sender's
//! own, since that is sooner.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use super::gossip;

/// The own zone is sent to through relays if it has at least this many processes. In a smaller one
/// all are relays: what is sent through one that has just died is lost until it counts as gone.
const MIN_RELAYED: usize = 16;

/// A larger zone has one relay for this many processes: each relay sends this many times what a process
/// receives. With few relays, the links of small VMs fill up, and callers there wait.
const PROCESSES_PER_RELAY: usize = 2;

/// Least time between two load reports. A view of the load that old delays a request by less than one
/// pass of an engine.
const REPORT_PAUSE: Duration = Duration::from_millis(8);

/// Additions to [`REPORT_PAUSE`] for each process that receives the reports, in datagrams of their own
/// and in batches. They bound what a process receives under any load: 2,000 datagrams, or 10,000
/// reports in batches, a second.
const REPORT_PAUSE_EACH: Duration = Duration::from_micros(500);
const REPORT_PAUSE_BATCHED: Duration = Duration::from_micros(100);

/// Where this process sends messages for all others, and what it forwards as a relay.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Processes that are sent each message directly.
    direct: Vec<SocketAddr>,
    /// Relays of each zone that is not sent to directly. Invariant: none of them is empty.
    relays: Vec<Vec<SocketAddr>>,
    /// The other processes of the own zone.
    zone: Vec<SocketAddr>,
    /// Least time between two load reports.
    report_pause: Duration,
}

impl Plan {
    /// A plan for the process `me` in `zone` that knows `peers`.
    pub fn new<'a>(
        me: SocketAddr,
        zone: &str,
        peers: impl IntoIterator<Item = &'a gossip::Peer>,
    ) -> Self {
        let mut zones: BTreeMap<&str, Vec<SocketAddr>> = BTreeMap::new();
        for peer in peers {
            zones.entry(&peer.zone).or_default().push(peer.link);
        }
        let mut plan = Self {
            report_pause: REPORT_PAUSE,
            ..Self::default()
        };
        for (name, mut addrs) in zones {
            let each = if addrs.len() < MIN_RELAYED {
                REPORT_PAUSE_EACH
            } else {
                REPORT_PAUSE_BATCHED
            };
            plan.report_pause += each * addrs.len() as u32;
            let is_own = name == zone;
            if is_own {
                plan.zone.clone_from(&addrs);
            }
            if addrs.len() == 1 || (is_own && addrs.len() < MIN_RELAYED) {
                plan.direct.append(&mut addrs);
                continue;
            }
            let relays = if addrs.len() < MIN_RELAYED {
                addrs.len()
            } else {
                addrs.len().div_ceil(PROCESSES_PER_RELAY)
            };
            addrs.sort_by_cached_key(|addr| (rank(*addr), *addr));
            addrs.truncate(relays);
            // Each process begins with another relay, so that they share the load evenly.
            let first = rank(me) as usize % addrs.len();
            addrs.rotate_left(first);
            plan.relays.push(addrs);
        }
        plan
    }

    /// Processes that are sent each message directly.
    pub fn direct(&self) -> &[SocketAddr] {
        &self.direct
    }

    /// Relays of the message with number `turn`, one for each zone, or two if `doubled` and there are as
    /// many. They take turns, so that one that has just died loses only some messages.
    pub fn relays(&self, turn: u64, doubled: bool) -> Vec<SocketAddr> {
        let copies = if doubled { 2 } else { 1 };
        let of_zone = |zone: &Vec<SocketAddr>| -> Vec<SocketAddr> {
            let first = turn as usize % zone.len();
            let relays = zone.iter().cycle().skip(first);
            relays.take(copies.min(zone.len())).copied().collect()
        };
        self.relays.iter().flat_map(of_zone).collect()
    }

    /// Least time between two load reports.
    pub fn report_pause(&self) -> Duration {
        self.report_pause
    }

    /// The other processes of the own zone, to which a relay forwards.
    pub fn zone(&self) -> &[SocketAddr] {
        &self.zone
    }

    /// Whether a relay of the own zone gathers what it forwards into batches.
    pub fn batches(&self) -> bool {
        self.zone.len() >= MIN_RELAYED
    }
}

/// Order in which the processes of a zone become its relays: all processes compute the same.
fn rank(addr: SocketAddr) -> u64 {
    let ip = match addr.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => ip.to_bits() as u64,
    };
    let mixed = (ip ^ (u64::from(addr.port()) << 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
