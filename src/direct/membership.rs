//! Which other processes there are: those heard, those that others named, and whom a greeting goes
//! to and names.
//!
//! A process greets all that it knows each 0.4 s. A greeting names those that came lately, and some
//! of the others; whoever is new is told all of them once. So a newcomer is known everywhere after
//! one greeting of whomever it found first, and what is said does not grow with the processes once
//! they know each other.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::gossip;

/// Silence after which a process counts as gone.
const SILENT: Duration = Duration::from_secs(3);

/// Silence after which a process is no longer greeted.
const FORGET: Duration = Duration::from_secs(60);

/// How long an address that others named is greeted without an answer.
const TRY: Duration = Duration::from_secs(10);

/// How long each greeting names a process that has just come: several greetings, since datagrams
/// get lost.
const NEW: Duration = Duration::from_secs(2);

/// Others that a greeting names, different ones each time. All of them made nine tenths of a
/// greeting's bytes at 70 processes: 0.40 GB between zones on a day of 48 s, 0.14 GB since.
const NAMED: usize = 8;

/// Those that came lately which one greeting names at most: a datagram fits a packet of an Ethernet.
const MOST_NEW: usize = 96;

/// Another process.
#[derive(Clone, Debug)]
struct Known {
    /// What it tells of itself.
    peer: gossip::Peer,
    /// When it was first heard, or again after it counted as gone.
    since: Duration,
    /// When it was last heard.
    at: Duration,
    /// Whether it counts as gone.
    lost: bool,
}

/// The other processes.
#[derive(Debug, Default)]
pub struct Membership {
    /// Those heard, by their link addresses.
    known: HashMap<SocketAddr, Known>,
    /// Addresses that others named and that were not heard yet, and when first.
    named: BTreeMap<SocketAddr, Duration>,
    /// Greetings so far.
    round: usize,
}

impl Membership {
    /// A process was heard. Whether it is new, or back under a new life or after silence.
    pub fn observe(&mut self, now: Duration, peer: &gossip::Peer) -> bool {
        self.named.remove(&peer.link);
        let before = self.known.get(&peer.link);
        let before = before.filter(|one| !one.lost && one.peer.life == peer.life);
        let known = Known {
            peer: peer.clone(),
            since: before.map_or(now, |one| one.since),
            at: now,
            lost: false,
        };
        let is_new = before.is_none();
        self.known.insert(peer.link, known);
        is_new
    }

    /// Another process named these. Those that are strangers are to be greeted at once: with the
    /// next greeting, entries that all start at the same moment would know each other 0.4 s later.
    pub fn add_reported(
        &mut self,
        now: Duration,
        me: SocketAddr,
        addrs: &[SocketAddr],
    ) -> Vec<SocketAddr> {
        let mut strangers = Vec::new();
        for addr in addrs {
            if *addr == me || self.known.contains_key(addr) || self.named.contains_key(addr) {
                continue;
            }
            self.named.insert(*addr, now);
            strangers.push(*addr);
        }
        strangers
    }

    /// Those that have just gone silent, and for how long.
    pub fn expire(&mut self, now: Duration) -> Vec<(SocketAddr, Duration)> {
        let mut lost = Vec::new();
        for (addr, known) in &mut self.known {
            if !known.lost && now > known.at + SILENT {
                known.lost = true;
                lost.push((*addr, now.saturating_sub(known.at)));
            }
        }
        self.known.retain(|_, known| now < known.at + FORGET);
        self.named.retain(|_, since| now < *since + TRY);
        lost
    }

    /// Whom to greet: all that are known, the seeds, and whom others named.
    pub fn greeting_targets(&self, me: SocketAddr, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut out: Vec<SocketAddr> = self.known.keys().copied().collect();
        out.extend(seeds);
        out.extend(self.named.keys());
        out.sort_unstable();
        out.dedup();
        out.retain(|addr| *addr != me);
        out
    }

    /// Seeds that were not heard yet: the first greeting is lost on those that start a little later.
    pub fn unheard_seeds(&self, me: SocketAddr, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let unheard = seeds
            .iter()
            .filter(|one| **one != me && !self.contains(one));
        unheard.copied().collect()
    }

    /// Whom the next greeting names: at most 104.
    pub fn next_greeting(&mut self, now: Duration) -> Vec<SocketAddr> {
        let (mut new, mut old) = (Vec::new(), Vec::new());
        for (addr, known) in self.known.iter().filter(|(_, known)| !known.lost) {
            if now < known.since + NEW {
                new.push(*addr);
            } else {
                old.push(*addr);
            }
        }
        let mut names = some(new, self.round, MOST_NEW);
        names.extend(some(old, self.round, NAMED));
        self.round = self.round.wrapping_add(1);
        names
    }

    /// Those that are there.
    pub fn live(&self) -> impl Iterator<Item = &gossip::Peer> {
        let known = self.known.values().filter(|known| !known.lost);
        known.map(|known| &known.peer)
    }

    /// Those heard lately, gone ones among them.
    pub fn all(&self) -> impl Iterator<Item = &gossip::Peer> {
        self.known.values().map(|known| &known.peer)
    }

    /// Those that may vote, whom to ask first: who is there before who is silent, the leader first.
    ///
    /// A leader that is gone for good said last that it leads. Asked first until it was forgotten, it
    /// took all the time of each change and read through an entry, for a minute.
    pub fn voters(&self) -> Vec<gossip::Peer> {
        let mut voters: Vec<&Known> = self.known.values().filter(|one| one.peer.votes).collect();
        voters.sort_by_key(|one| (one.lost, !one.peer.leads, one.peer.link));
        voters.into_iter().map(|one| one.peer.clone()).collect()
    }

    /// Whether a process was heard lately.
    pub fn contains(&self, addr: &SocketAddr) -> bool {
        self.known.contains_key(addr)
    }

    /// How many were heard lately.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none was.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

/// `most` of `all` at most, others each round.
fn some(mut all: Vec<SocketAddr>, round: usize, most: usize) -> Vec<SocketAddr> {
    all.sort_unstable();
    let most = most.min(all.len());
    let start = round * most % all.len().max(1);
    all.rotate_left(start);
    all.truncate(most);
    all
}
