//! How a cluster comes to be, and how a member without one finds it.
//!
//! A member with an empty data folder cannot tell a first start from a lost disk. So the first
//! cluster is founded only when all listed addresses say, in answer to this member's present
//! life, that they belong to none. Later, an empty member waits until the log admits it.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng as _;

use super::Raft;
use super::RoleState;
use super::log;
use super::member;
use super::message;
use crate::wire::id;

/// Time between two hails.
const HAIL_PERIOD: Duration = Duration::from_millis(200);

/// How long the word of another that belongs to no cluster holds.
const UNBORN_HOLDS: Duration = Duration::from_secs(2);

/// Largest state, in bytes, that a member other than the leader sends to one that has not yet
/// heard of its cluster.
const MAX_TOLD: usize = 4 << 20;

/// End of the log of a cluster just founded.
const GENESIS: message::Tail = message::Tail { term: 1, index: 1 };

impl Raft {
    /// Calls the others while this member belongs to no cluster or hears no leader.
    pub(super) fn hail(&mut self, now: Duration) {
        let is_unborn = self.hard.cluster == 0;
        let silence = self.settings.timing.election * 4;
        let is_lost = !matches!(self.role, RoleState::Leader(_))
            && self.heard.is_none_or(|heard| now > heard + silence);
        if !is_unborn && !is_lost {
            return;
        }
        if is_unborn {
            self.found_if_all_unborn(now);
        }
        let due = self.hailed.is_none_or(|at| now >= at + HAIL_PERIOD);
        if !due {
            return;
        }
        self.hailed = Some(now);
        let mut addrs = self.settings.founders.clone();
        addrs.extend(&self.known);
        addrs.extend(self.membership().all().map(|one| one.addr));
        addrs.sort_unstable();
        addrs.dedup();
        for addr in addrs {
            if addr != self.me().addr {
                self.send(member::Member::any(addr), message::Body::Hail);
            }
        }
    }

    /// Learns addresses to call while it knows no leader, and, at the first start of all, who
    /// founds the cluster.
    pub fn learn_peers(&mut self, known: Vec<SocketAddr>, founders: Option<Vec<SocketAddr>>) {
        self.known = known;
        if let Some(founders) = founders
            && !self.settings.may_found
        {
            self.settings.founders = founders;
            self.settings.may_found = true;
        }
    }

    pub(super) fn hailed_by(&mut self, now: Duration, cluster: u128, from: member::Member) {
        self.note_call(now, from);
        if self.hard.cluster == 0 {
            if cluster == 0 {
                let echo = from.life;
                self.send(from, message::Body::Unborn { echo });
            }
        } else if cluster == 0 && self.membership().all().any(|one| *one == from) {
            self.enlighten(now, from);
        } else if cluster == 0 || cluster == self.hard.cluster {
            self.admit(now, from, cluster == 0);
        }
    }

    /// A member has not yet heard of its cluster.
    fn enlighten(&mut self, now: Duration, member: member::Member) {
        if let RoleState::Leader(lead) = &mut self.role {
            if let Some(peer) = lead.peers.get_mut(&member) {
                // What it lacks begins with the snapshot.
                peer.next = peer.matched + 1;
            }
            return self.replicate(now);
        }
        // Any member may tell, since the leader may be lost: what a snapshot says is committed.
        if let Some(snapshot) = &self.snapshot
            && snapshot.state.len() <= MAX_TOLD
        {
            let snapshot = snapshot.clone();
            self.send_durable(member, message::Body::Genesis(snapshot));
        }
    }

    /// Joins the cluster that was founded with this member, or admitted it as a voter.
    pub(super) fn take_genesis(&mut self, now: Duration, cluster: u128, genesis: log::Snapshot) {
        let is_of_it = genesis.members.votes(&self.me());
        if self.hard.cluster == 0 && cluster != 0 && is_of_it {
            self.begin(cluster, genesis);
            self.draw_deadline(now);
        }
    }

    pub(super) fn found_unborn(
        &mut self,
        now: Duration,
        from: member::Member,
        echo: id::Incarnation,
    ) {
        if self.hard.cluster == 0 && echo == self.me().life {
            self.unborn.insert(from.addr, (from.life, now));
            self.found_if_all_unborn(now);
        }
    }

    /// Founds the cluster if this member is the first founders and all others are without one.
    fn found_if_all_unborn(&mut self, now: Duration) {
        let me = self.me();
        if !self.settings.may_found {
            return;
        }
        let mut founders = self.settings.founders.clone();
        founders.sort_unstable();
        founders.dedup();
        if founders.first() != Some(&me.addr) {
            return;
        }
        let mut voters = Vec::new();
        for addr in founders {
            let life = match self.unborn.get(&addr) {
                _ if addr == me.addr => me.life,
                Some((life, at)) if now <= *at + UNBORN_HOLDS => *life,
                _ => return,
            };
            voters.push(member::Member { addr, life });
        }
        self.found(now, voters);
    }

    fn found(&mut self, now: Duration, voters: Vec<member::Member>) {
        let cluster = self.rng.random::<u128>().max(1);
        let members = member::Membership {
            voters,
            ..member::Membership::default()
        };
        let genesis = log::Snapshot {
            tail: GENESIS,
            clock_ms: 0,
            members,
            state: Vec::new(),
        };
        self.begin(cluster, genesis.clone());
        for member in genesis.members.voters.clone() {
            if member != self.me() {
                self.send_durable(member, message::Body::Genesis(genesis.clone()));
            }
        }
        self.deadline = now;
    }

    /// Begins its log with a snapshot of a cluster.
    fn begin(&mut self, cluster: u128, genesis: log::Snapshot) {
        self.hard = log::Hard {
            cluster,
            term: genesis.tail.term,
            vote: None,
        };
        self.log = log::Log::new(genesis.tail);
        self.members
            .push_back((genesis.tail.index, genesis.members.clone()));
        self.commit = genesis.tail.index;
        self.clock.0 = self.clock.0.max(genesis.clock_ms);
        self.write_snapshot(genesis);
        self.restored = true;
    }
}
