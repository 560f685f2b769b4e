//! The other processes: those that were heard from, those that others reported, and which of them a
//! greeting is sent to and lists.
//!
//! Each process tells all others every 0.4 s that it is running, along with the load that it puts on
//! backend servers (see [`super::spread`]). Besides, it greets a few processes. A greeting lists the
//! processes that joined recently and a few of the others. A process that joins gets the whole list
//! from those that may vote, or from all if they are few, and greets all that are listed. So it is
//! known everywhere soon after it reached its first peer, and neither the number nor the size of
//! greetings grows with the number of processes once they know each other.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::gossip;

/// Silence after which a process is considered gone.
const GONE_AFTER: Duration = Duration::from_secs(3);

/// Silence after which a process is no longer greeted.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// How long an address that others reported is greeted without an answer.
const REPORTED_TIMEOUT: Duration = Duration::from_secs(10);

/// How long each greeting lists a process that has joined. This covers several greetings, since
/// datagrams get lost.
const NEW_FOR: Duration = Duration::from_secs(2);

/// Other processes that a greeting lists, different ones each time. With 70 processes, the list of
/// all of them would make up nine tenths of a greeting, and the traffic between zones would be
/// three times as much: 0.40 GB in 48 s.
const MAX_OLD: usize = 8;

/// Running processes that are greeted each round, different ones each time. A report that is lost on
/// its way to some of them is made up for.
const MAX_GREETED: usize = 8;

/// Processes considered gone that are greeted each round, different ones each time. When a cut
/// between two halves of the processes heals, each hears of the other half within one round, since
/// all of them greet.
const MAX_GREETED_GONE: usize = 8;

/// Recently joined processes that a greeting lists: its datagram fits into one Ethernet packet.
const MAX_NEW: usize = 96;

/// Another process.
#[derive(Clone, Debug)]
struct Known {
    /// What it reports about itself.
    peer: gossip::Peer,
    /// When this run of it was first heard from.
    since: Duration,
    /// When it was last heard from.
    heard_at: Duration,
    /// Whether it is considered gone.
    gone: bool,
    /// Whether it understands batches of datagrams.
    batches: bool,
}

/// The known processes, without this one.
#[derive(Debug, Default)]
pub struct Membership {
    /// Processes that were heard from, by link address.
    known: HashMap<SocketAddr, Known>,
    /// Addresses that others reported and that were not heard from yet, with the time of the first
    /// report.
    reported: BTreeMap<SocketAddr, Duration>,
    /// Number of greetings so far.
    round: usize,
}

impl Membership {
    /// Adds a process that was heard from. Returns whether it is new, has restarted, or was gone.
    pub fn observe(&mut self, now: Duration, peer: &gossip::Peer) -> bool {
        self.reported.remove(&peer.link);
        let before = self.known.get(&peer.link);
        let before = before.filter(|known| known.peer.life == peer.life);
        // One that went silent and comes back is known everywhere, and need not be listed as new.
        let known = Known {
            peer: peer.clone(),
            since: before.map_or(now, |known| known.since),
            heard_at: now,
            gone: false,
            batches: before.is_some_and(|known| known.batches),
        };
        let is_new = before.is_none_or(|known| known.gone);
        self.known.insert(peer.link, known);
        is_new
    }

    /// Adds addresses that another process reported, and returns the unknown ones, to be greeted at
    /// once. With the next regular greeting, entries that start at the same time would know each
    /// other 0.4 s later.
    pub fn add_reported(
        &mut self,
        now: Duration,
        me: SocketAddr,
        addrs: &[SocketAddr],
    ) -> Vec<SocketAddr> {
        let mut unknown = Vec::new();
        for addr in addrs {
            if *addr == me || self.known.contains_key(addr) || self.reported.contains_key(addr) {
                continue;
            }
            self.reported.insert(*addr, now);
            unknown.push(*addr);
        }
        unknown
    }

    /// Marks silent processes as gone and forgets old ones. Returns those newly gone with the
    /// duration of their silence.
    pub fn expire(&mut self, now: Duration) -> Vec<(SocketAddr, Duration)> {
        let mut gone = Vec::new();
        for (addr, known) in &mut self.known {
            if !known.gone && now > known.heard_at + GONE_AFTER {
                known.gone = true;
                gone.push((*addr, now.saturating_sub(known.heard_at)));
            }
        }
        self.known
            .retain(|_, known| now < known.heard_at + FORGET_AFTER);
        self.reported
            .retain(|_, since| now < *since + REPORTED_TIMEOUT);
        gone
    }

    /// Addresses to greet: those that others reported, the seeds that are not running as far as
    /// known, and a few of the known processes.
    pub fn greeting_targets(&self, me: SocketAddr, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let (gone, running): (Vec<_>, Vec<_>) =
            self.known.iter().partition(|(_, known)| known.gone);
        let addrs =
            |known: Vec<(&SocketAddr, &Known)>| known.iter().map(|(addr, _)| **addr).collect();
        let mut out = rotating(addrs(running), self.round, MAX_GREETED);
        out.extend(rotating(addrs(gone), self.round, MAX_GREETED_GONE));
        out.extend(self.reported.keys());
        out.extend(seeds.iter().filter(|seed| !self.is_running(seed)));
        out.sort_unstable();
        out.dedup();
        out.retain(|addr| *addr != me);
        out
    }

    /// Pages of addresses for a process that has just joined: all running processes, or a few if they
    /// are many and `lists_all` is not set. Never empty.
    pub fn welcome(&self, lists_all: bool) -> Vec<Vec<SocketAddr>> {
        let all: Vec<SocketAddr> = self.live().map(|peer| peer.link).collect();
        if all.len() > MAX_NEW && !lists_all {
            return vec![rotating(all, self.round, MAX_OLD)];
        }
        if all.is_empty() {
            return vec![all];
        }
        all.chunks(MAX_NEW).map(<[_]>::to_vec).collect()
    }

    /// Notes that a process understands batches of datagrams.
    pub fn set_batches(&mut self, addr: &SocketAddr) {
        if let Some(known) = self.known.get_mut(addr) {
            known.batches = true;
        }
    }

    /// Whether a process understands batches of datagrams, as far as known.
    pub fn batches(&self, addr: &SocketAddr) -> bool {
        self.known.get(addr).is_some_and(|known| known.batches)
    }

    /// Whether a process is known and not gone.
    fn is_running(&self, addr: &SocketAddr) -> bool {
        self.known.get(addr).is_some_and(|known| !known.gone)
    }

    /// Seeds that were not heard from yet. They miss the first greeting if they start a little later.
    pub fn unheard_seeds(&self, me: SocketAddr, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let unheard = seeds
            .iter()
            .filter(|seed| **seed != me && !self.contains(seed));
        unheard.copied().collect()
    }

    /// Addresses that the next greeting lists, at most 104.
    pub fn next_greeting(&mut self, now: Duration) -> Vec<SocketAddr> {
        let (mut new, mut old) = (Vec::new(), Vec::new());
        for (addr, known) in self.known.iter().filter(|(_, known)| !known.gone) {
            if now < known.since + NEW_FOR {
                new.push(*addr);
            } else {
                old.push(*addr);
            }
        }
        let mut listed = rotating(new, self.round, MAX_NEW);
        listed.extend(rotating(old, self.round, MAX_OLD));
        self.round = self.round.wrapping_add(1);
        listed
    }

    /// Processes that are not gone.
    pub fn live(&self) -> impl Iterator<Item = &gossip::Peer> {
        let known = self.known.values().filter(|known| !known.gone);
        known.map(|known| &known.peer)
    }

    /// All known processes, including those gone for less than a minute.
    pub fn all(&self) -> impl Iterator<Item = &gossip::Peer> {
        self.known.values().map(|known| &known.peer)
    }

    /// Processes that may vote, in the order in which to ask them: those that are not gone before
    /// the others, each with the leader first.
    ///
    /// The last report of a leader that has stopped still says that it leads. If it were asked first
    /// until it is forgotten, each change and read through an entry would time out for a minute.
    pub fn voters(&self) -> Vec<gossip::Peer> {
        let mut voters: Vec<&Known> = self
            .known
            .values()
            .filter(|voter| voter.peer.votes)
            .collect();
        voters.sort_by_key(|voter| (voter.gone, !voter.peer.leads, voter.peer.link));
        voters.into_iter().map(|voter| voter.peer.clone()).collect()
    }

    /// Whether a process is known, gone or not.
    pub fn contains(&self, addr: &SocketAddr) -> bool {
        self.known.contains_key(addr)
    }

    /// Number of known processes.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no process is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

/// At most `count` of `all`, the next ones each round.
fn rotating(mut all: Vec<SocketAddr>, round: usize, count: usize) -> Vec<SocketAddr> {
    all.sort_unstable();
    let count = count.min(all.len());
    let start = round * count % all.len().max(1);
    all.rotate_left(start);
    all.truncate(count);
    all
}
