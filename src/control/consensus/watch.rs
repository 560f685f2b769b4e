//! What operators see of replication: since when nothing is committed, how far each follower
//! is and what it refused, and who waits to be admitted.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::Progress;
use super::Raft;
use super::RoleState;
use super::member;

/// Silence after which a caller no longer waits: five of its calls.
const CALLS_HOLD: Duration = Duration::from_secs(1);

/// Most callers remembered.
const MAX_CALLERS: usize = 32;

/// What a leader knows of one follower.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Follower {
    /// Its link address.
    pub addr: SocketAddr,
    /// Last index known to be synced there.
    pub matched: u64,
    /// Next index that will be sent.
    pub next: u64,
    /// Messages that it refused because its log differs or ends before them.
    pub refused: u64,
    /// Of these, refusals that changed nothing here.
    pub ignored: u64,
    /// Last index that may agree, by its newest refusal.
    pub may_agree: Option<u64>,
    /// Milliseconds since the newest message that it answered.
    pub silent_ms: u64,
}

/// A process that calls to be admitted, or to hear of its cluster.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Caller {
    /// Its link address.
    pub addr: SocketAddr,
    /// Life of its data folder.
    pub life: u64,
    /// Milliseconds since its first call.
    pub waits_ms: u64,
}

/// What is remembered for operators only. No decision rests on it.
#[derive(Debug, Default)]
pub(super) struct Watch {
    /// Commit index, and when it last moved or nothing waited.
    commit: (u64, Duration),
    /// First and last call of processes that do not vote.
    callers: BTreeMap<member::Member, (Duration, Duration)>,
}

/// Refusals of one follower.
#[derive(Clone, Debug, Default)]
pub(super) struct Refusals {
    pub(super) count: u64,
    pub(super) ignored: u64,
    pub(super) may_agree: Option<u64>,
}

impl Raft {
    /// Notes whether commits go on.
    pub(super) fn watch(&mut self, now: Duration) {
        let waits =
            matches!(self.role, RoleState::Leader(_)) && self.commit < self.log.tail().index;
        if !waits || self.commit != self.watch.commit.0 {
            self.watch.commit = (self.commit, now);
        }
        let callers = &mut self.watch.callers;
        callers.retain(|_, (_, last)| now < *last + CALLS_HOLD);
    }

    /// Notes a call of a process that may wait to be admitted to this member's cluster.
    pub(super) fn note_call(&mut self, now: Duration, from: member::Member) {
        if self.hard.cluster == 0 || self.membership().votes(&from) {
            return;
        }
        let callers = &mut self.watch.callers;
        if callers.len() < MAX_CALLERS || callers.contains_key(&from) {
            callers.entry(from).or_insert((now, now)).1 = now;
        }
    }

    /// How long the oldest entries of this leader have waited for their commit, none being
    /// committed meanwhile. Zero: nothing waits, or it does not lead.
    pub fn commit_delay(&self, now: Duration) -> Duration {
        let (commit, since) = self.watch.commit;
        let is_leader = matches!(self.role, RoleState::Leader(_));
        if !is_leader || commit != self.commit || self.commit == self.log.tail().index {
            return Duration::ZERO;
        }
        now.saturating_sub(since)
    }

    /// What this leader knows of its followers. Empty: it does not lead.
    pub fn followers(&self, now: Duration) -> Vec<Follower> {
        let RoleState::Leader(lead) = &self.role else {
            return Vec::new();
        };
        let peers = lead.peers.iter();
        peers
            .map(|(member, progress)| follower(now, member.addr, progress))
            .collect()
    }

    /// Who calls this member and does not vote.
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
        refused: progress.refusals.count,
        ignored: progress.refusals.ignored,
        may_agree: progress.refusals.may_agree,
        silent_ms: now.saturating_sub(progress.answered).as_millis() as u64,
    }
}
