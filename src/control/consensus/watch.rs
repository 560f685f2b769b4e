//! Diagnostics of replication for operators: stalled commits, each follower's progress and
//! rejections, and processes that wait for admission.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::Progress;
use super::Raft;
use super::RoleState;
use super::member;

/// Silence after which a caller is no longer listed: five call intervals.
const CALLER_TTL: Duration = Duration::from_secs(1);

/// Upper bound of callers listed.
const MAX_CALLERS: usize = 32;

/// Progress of one follower, as seen by its leader.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Follower {
    /// Its link address.
    pub addr: SocketAddr,
    /// Last index known to be synced there.
    pub matched: u64,
    /// Next index that will be sent.
    pub next: u64,
    /// Messages that it rejected because its log conflicts or is too short.
    pub refused: u64,
    /// Of these, rejections that had no effect on the leader.
    pub ignored: u64,
    /// Last index where the logs may agree, from its newest rejection.
    pub may_agree: Option<u64>,
    /// Milliseconds since the newest message that it answered was sent.
    pub silent_ms: u64,
}

/// A process that calls to be admitted or to find its cluster.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Caller {
    /// Its link address.
    pub addr: SocketAddr,
    /// Incarnation of its data folder.
    pub life: u64,
    /// Milliseconds since its first call.
    pub waits_ms: u64,
}

/// Data for operators only. Consensus does not depend on it.
#[derive(Debug, Default)]
pub(super) struct Watch {
    /// Commit index, and when it last advanced or nothing was uncommitted.
    commit: (u64, Duration),
    /// Times of the first and last call of processes that are not voters.
    callers: BTreeMap<member::Member, (Duration, Duration)>,
}

/// Rejections by one follower.
#[derive(Clone, Debug, Default)]
pub(super) struct Rejections {
    pub(super) count: u64,
    pub(super) ignored: u64,
    pub(super) may_agree: Option<u64>,
}

impl Raft {
    /// Updates the time of the last commit, and drops silent callers.
    pub(super) fn update_watch(&mut self, now: Duration) {
        let waits =
            matches!(self.role, RoleState::Leader(_)) && self.commit < self.log.tail().index;
        if !waits || self.commit != self.watch.commit.0 {
            self.watch.commit = (self.commit, now);
        }
        let callers = &mut self.watch.callers;
        callers.retain(|_, (_, last)| now < *last + CALLER_TTL);
    }

    /// Records a call of a process that may be waiting for admission to this member's cluster.
    pub(super) fn record_call(&mut self, now: Duration, from: member::Member) {
        if self.hard.cluster == 0 || self.membership().votes(&from) {
            return;
        }
        let callers = &mut self.watch.callers;
        if callers.len() < MAX_CALLERS || callers.contains_key(&from) {
            callers.entry(from).or_insert((now, now)).1 = now;
        }
    }

    /// Time since this leader last committed an entry while others wait for their commit. Zero if
    /// none wait, or if it does not lead.
    pub fn commit_delay(&self, now: Duration) -> Duration {
        let (commit, since) = self.watch.commit;
        let is_leader = matches!(self.role, RoleState::Leader(_));
        if !is_leader || commit != self.commit || self.commit == self.log.tail().index {
            return Duration::ZERO;
        }
        now.saturating_sub(since)
    }

    /// Progress of this leader's followers. Empty unless it leads.
    pub fn followers(&self, now: Duration) -> Vec<Follower> {
        let RoleState::Leader(lead) = &self.role else {
            return Vec::new();
        };
        let peers = lead.peers.iter();
        peers
            .map(|(member, progress)| follower(now, member.addr, progress))
            .collect()
    }

    /// Processes that call this member and are not voters.
    pub fn callers(&self, now: Duration) -> Vec<Caller> {
        let callers = self.watch.callers.iter();
        let callers = callers.map(|(member, (first, _))| Caller {
            addr: member.addr,
            life: member.life.0,
            waits_ms: now.saturating_sub(*first).as_millis() as u64,
        });
        callers.collect()
    }
}

fn follower(now: Duration, addr: SocketAddr, progress: &Progress) -> Follower {
    Follower {
        addr,
        matched: progress.matched,
        next: progress.next,
        refused: progress.rejections.count,
        ignored: progress.rejections.ignored,
        may_agree: progress.rejections.may_agree,
        silent_ms: now.saturating_sub(progress.last_answered).as_millis() as u64,
    }
}
