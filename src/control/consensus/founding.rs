//! Founding of a cluster, and discovery of an existing one.
//!
//! A member with an empty data folder cannot tell a first start from a lost disk. So the first
//! cluster is founded only when all founders report, in answer to this member's current
//! incarnation, that they belong to none. Later, an empty member waits until the log admits it.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng as _;

use super::Raft;
use super::RoleState;
use super::log;
use super::member;
use super::message;
use crate::wire::id;

/// Interval between two `Hail` messages to the same address.
const HAIL_PERIOD: Duration = Duration::from_millis(200);

/// How long a report that a process belongs to no cluster stays valid.
const UNINITIALIZED_TTL: Duration = Duration::from_secs(2);

/// Largest state, in bytes, that a member other than the leader sends to a member without a
/// cluster. `Genesis` is a single message.
const MAX_GENESIS_BYTES: usize = 4 << 20;

/// Log tail of a newly founded cluster.
const GENESIS: message::Tail = message::Tail { term: 1, index: 1 };

impl Raft {
    /// Sends `Hail` to the others while this member belongs to no cluster or has no contact with a
    /// leader.
    pub(super) fn send_hails(&mut self, now: Duration) {
        let is_uninitialized = self.hard.cluster == 0;
        let silence = self.settings.timing.election * 4;
        let has_lost_leader = !matches!(self.role, RoleState::Leader(_))
            && self.last_heard.is_none_or(|heard| now > heard + silence);
        if !is_uninitialized && !has_lost_leader {
            return;
        }
        if is_uninitialized {
            self.found_if_all_uninitialized(now);
        }
        let due = self.last_hail.is_none_or(|at| now >= at + HAIL_PERIOD);
        if !due {
            return;
        }
        self.last_hail = Some(now);
        let mut addrs = self.settings.founders.clone();
        addrs.extend(&self.discovered);
        addrs.extend(self.membership().all().map(|member| member.addr));
        addrs.sort_unstable();
        addrs.dedup();
        for addr in addrs {
            if addr != self.me().addr {
                self.send(member::Member::any(addr), message::Body::Hail);
            }
        }
    }

    /// Sets the addresses to hail while no leader is known and, before the first cluster is
    /// founded, its founders.
    pub fn learn_peers(&mut self, known: Vec<SocketAddr>, founders: Option<Vec<SocketAddr>>) {
        self.discovered = known;
        if let Some(founders) = founders
            && !self.settings.may_found
        {
            self.settings.founders = founders;
            self.settings.may_found = true;
        }
    }

    pub(super) fn handle_hail(&mut self, now: Duration, cluster: u128, from: member::Member) {
        self.record_call(now, from);
        if self.hard.cluster == 0 {
            if cluster == 0 {
                let echo = from.life;
                self.send(from, message::Body::Unborn { echo });
            }
        } else if cluster == 0 && self.membership().all().any(|member| *member == from) {
            self.announce_cluster(now, from);
        } else if cluster == 0 || cluster == self.hard.cluster {
            self.admit(now, from, cluster == 0);
        }
    }

    /// Informs a member that is in the membership and does not know its cluster yet.
    fn announce_cluster(&mut self, now: Duration, member: member::Member) {
        if let RoleState::Leader(lead) = &mut self.role {
            if let Some(peer) = lead.peers.get_mut(&member) {
                // It has no log, so it starts with the snapshot.
                peer.next = peer.matched + 1;
            }
            return self.replicate(now);
        }
        // Any member may do this, since the leader may be lost: a snapshot is always committed.
        if let Some(snapshot) = &self.snapshot
            && snapshot.state.len() <= MAX_GENESIS_BYTES
        {
            let snapshot = snapshot.clone();
            self.send_durable(member, message::Body::Genesis(snapshot));
        }
    }

    /// Joins the cluster that has this member as a voter.
    pub(super) fn handle_genesis(&mut self, now: Duration, cluster: u128, genesis: log::Snapshot) {
        let is_voter = genesis.members.votes(&self.me());
        if self.hard.cluster == 0 && cluster != 0 && is_voter {
            self.start_log(cluster, genesis);
            self.reset_election_timer(now);
        }
    }

    pub(super) fn handle_unborn(
        &mut self,
        now: Duration,
        from: member::Member,
        echo: id::Incarnation,
    ) {
        if self.hard.cluster == 0 && echo == self.me().life {
            self.uninitialized.insert(from.addr, (from.life, now));
            self.found_if_all_uninitialized(now);
        }
    }

    /// Founds the cluster if this member has the lowest address of the founders and all others
    /// belong to none.
    fn found_if_all_uninitialized(&mut self, now: Duration) {
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
            let life = match self.uninitialized.get(&addr) {
                _ if addr == me.addr => me.life,
                Some((life, at)) if now <= *at + UNINITIALIZED_TTL => *life,
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
        self.start_log(cluster, genesis.clone());
        for member in genesis.members.voters.clone() {
            if member != self.me() {
                self.send_durable(member, message::Body::Genesis(genesis.clone()));
            }
        }
        self.deadline = now;
    }

    /// Starts the log from a snapshot of a cluster.
    fn start_log(&mut self, cluster: u128, genesis: log::Snapshot) {
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
