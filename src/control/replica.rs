//! A control replica: the consensus log and the state machine that applies its entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::consensus;
use super::log;
use super::member;
use super::message;
use super::state;
use crate::config;
use crate::wire::agree;

/// Default number of bytes of applied entries after which a snapshot is taken.
pub const COMPACT_BYTES: usize = 32 << 20;

/// Entries kept in memory after compaction, so that a slightly lagging follower needs no snapshot.
const RETAINED_ENTRIES: u64 = 512;

/// Most configuration changes that may be uncommitted at once.
const MAX_PENDING_CHANGES: usize = 8;

/// Most bytes in all files of one configuration change. Well below the maximum frame size.
pub const MAX_CHANGE_BYTES: usize = 8 << 20;

/// Identifies a proposal to its proposer.
pub type Token = u64;

/// An event for the owner of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The result of a proposal.
    Verdict(Token, agree::Verdict),
    /// This revision of the configuration was committed.
    Committed(u64),
    /// A newer document was committed.
    Published,
    /// A zone was evacuated or restored.
    Evacuated,
    /// The set of suspects may have changed.
    SuspectsChanged,
}

/// One member in a [`Status`].
#[derive(Clone, Debug, serde::Serialize)]
pub struct Member {
    /// Link address.
    pub addr: SocketAddr,
    /// Incarnation of its data folder.
    pub life: u64,
    /// Whether it is a voter.
    pub votes: bool,
    /// Last index known to be synced there. Known for other members only on the leader.
    pub matched: Option<u64>,
}

/// A status report for operators.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Status {
    /// Its role in the consensus.
    pub standing: consensus::Role,
    /// Incarnation of its data folder.
    pub life: u64,
    /// Current term.
    pub term: u64,
    /// The known leader.
    pub leader: Option<SocketAddr>,
    /// Whether it is the leader and holds a valid lease, so that its state is up to date.
    pub leads: bool,
    /// Last committed index.
    pub commit: u64,
    /// Last applied index.
    pub applied: u64,
    /// Last index in the log.
    pub tail: u64,
    /// Last index synced to the local disk.
    pub durable: u64,
    /// Whether disk writes are failing.
    pub stalled: bool,
    /// Why it no longer takes part in the consensus, if so.
    pub broken: Option<String>,
    /// Revision of the configuration.
    pub revision: u64,
    /// Number of claims held.
    pub claims: usize,
    /// Voters and learners.
    pub members: Vec<Member>,
    /// Addresses that are invited to join.
    pub invited: Vec<SocketAddr>,
    /// Milliseconds for which entries have waited without any commit. Known only on the leader.
    pub waits_ms: u64,
    /// Replication progress of each follower. Known only on the leader.
    pub followers: Vec<consensus::watch::Follower>,
    /// Processes that send messages but are not voters.
    pub callers: Vec<consensus::watch::Caller>,
}

/// A proposal whose entry is not yet committed.
#[derive(Debug)]
struct Proposal {
    /// Term of the entry. If an entry of another term is committed at its index, it is lost.
    term: u64,
    token: Token,
    is_change: bool,
}

/// A control replica.
#[derive(Debug)]
pub struct Replica {
    raft: consensus::Raft,
    state: state::State,
    /// Last applied index. Invariant: at most the commit index.
    applied: u64,
    /// Proposals whose entry is not yet committed, by index of the entry.
    waiting: BTreeMap<u64, Proposal>,
    /// How many of `waiting` are configuration changes.
    pending_changes: usize,
    /// Bytes of entries applied since the last snapshot.
    uncompacted_bytes: usize,
    /// Size of the last snapshot in bytes.
    snapshot_bytes: usize,
    compact_bytes: usize,
    /// Set when a snapshot cannot be decoded by this version. Without the state the replica
    /// no longer takes part in the consensus.
    broken: Option<String>,
    out: Vec<Output>,
}

impl Replica {
    /// Starts a replica from the contents of its data folder.
    pub fn new(
        now: Duration,
        settings: consensus::Settings,
        saved: log::Saved,
    ) -> Result<Self, String> {
        let mut replica = Self {
            raft: consensus::Raft::new(now, settings, saved),
            state: state::State::default(),
            applied: 0,
            waiting: BTreeMap::new(),
            pending_changes: 0,
            uncompacted_bytes: 0,
            snapshot_bytes: 0,
            compact_bytes: COMPACT_BYTES,
            broken: None,
            out: Vec::new(),
        };
        replica.restore_snapshot()?;
        Ok(replica)
    }

    /// Sets the minimum number of bytes of entries between two snapshots.
    pub fn set_compact_bytes(&mut self, bytes: usize) {
        self.compact_bytes = bytes;
    }

    /// The consensus state of this member.
    pub fn raft(&self) -> &consensus::Raft {
        &self.raft
    }

    /// Why the replica no longer takes part in the consensus, if so.
    pub fn broken(&self) -> Option<&str> {
        self.broken.as_deref()
    }

    /// The agreed state up to [`Self::applied`].
    pub fn state(&self) -> &state::State {
        &self.state
    }

    /// Last applied index.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Runs the timers of the consensus.
    pub fn tick(&mut self, now: Duration) {
        if self.broken.is_none() {
            self.raft.tick(now);
        }
        self.apply_committed();
    }

    /// Handles a message from another member.
    pub fn receive(&mut self, now: Duration, env: message::Envelope) {
        if self.broken.is_none() {
            self.raft.receive(now, env);
        }
        self.apply_committed();
    }

    /// Records that all writes up to `seq` are synced.
    pub fn synced(&mut self, now: Duration, seq: u64) {
        self.raft.synced(now, seq);
        self.apply_committed();
    }

    /// Records that disk writes are failing.
    pub fn stall(&mut self, now: Duration) {
        self.raft.stall(now);
        self.apply_committed();
    }

    /// Starts a membership change ordered by an operator.
    pub fn order(&mut self, now: Duration, order: &member::Order) -> member::Outcome {
        self.raft.order(now, order)
    }

    /// Sets the addresses of possible members and, at the first start, of the cluster's founders.
    pub fn set_peers(&mut self, addrs: Vec<SocketAddr>, founders: Option<Vec<SocketAddr>>) {
        self.raft.learn_peers(addrs, founders);
    }

    /// Starts a transfer of leadership to another voter, if one is eligible.
    pub fn transfer_leadership(&mut self, now: Duration) -> bool {
        self.raft.hand_over(now)
    }

    /// Proposes a command. Its verdict follows as [`Output::Verdict`], exactly once.
    pub fn propose(&mut self, now: Duration, wall_ms: u64, token: Token, command: agree::Command) {
        let limits = match &command {
            agree::Command::Configure(change) => match self.validate(now, change) {
                Ok(limits) => Some(limits),
                Err(verdict) => return self.out.push(Output::Verdict(token, verdict)),
            },
            _ => None,
        };
        let payload = log::Payload::Command {
            wall_ms,
            limits,
            command,
        };
        match self.raft.propose(now, payload) {
            Some(index) => {
                let proposal = Proposal {
                    term: self.raft.term(),
                    token,
                    is_change: limits.is_some(),
                };
                self.pending_changes += usize::from(proposal.is_change);
                self.waiting.insert(index, proposal);
            }
            None => self.reject(token),
        }
        self.apply_committed();
    }

    /// Validates a configuration change before it is appended to the log. Returns its limits, or
    /// the verdict that rejects it.
    fn validate(
        &self,
        now: Duration,
        change: &agree::Change,
    ) -> Result<state::Limits, agree::Verdict> {
        if !self.raft.leads(now) || self.pending_changes >= MAX_PENDING_CHANGES {
            return Err(agree::Verdict::Unavailable);
        }
        if let Some(verdict) = self.state.recorded_verdict(change.id) {
            return Err(verdict);
        }
        let bytes: usize = change.files.iter().map(|file| file.text.len()).sum();
        if bytes > MAX_CHANGE_BYTES {
            let text = format!("the folder has {bytes} bytes, over {MAX_CHANGE_BYTES}");
            return Err(agree::Verdict::Invalid(vec![text]));
        }
        match config::merge(change.expected.saturating_add(1), &change.files) {
            Ok(set) => Ok(state::Limits {
                suspect_ttl_ms: set.policy.suspect_ttl_ms,
                weight_loads: set.policy.weight_loads,
            }),
            Err(findings) => {
                let findings = findings.iter().map(ToString::to_string);
                Err(agree::Verdict::Invalid(findings.collect()))
            }
        }
    }

    fn reject(&mut self, token: Token) {
        let verdict = agree::Verdict::Unavailable;
        self.out.push(Output::Verdict(token, verdict));
    }

    /// Replicates the entries that were proposed since the last call.
    pub fn flush(&mut self, now: Duration) {
        self.raft.replicate(now);
    }

    /// Takes the messages to send.
    pub fn take_messages(&mut self) -> Vec<message::Envelope> {
        let messages = self.raft.take_messages();
        if self.broken.is_some() {
            return Vec::new();
        }
        messages
    }

    /// Takes the next write for the disk, if there is one.
    pub fn take_write(&mut self) -> Option<log::Write> {
        if self.broken.is_some() {
            return None;
        }
        self.raft.take_write()
    }

    /// Takes the events since the last call.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }

    /// Applies committed entries. Rejects the waiting proposals if this member is not the leader.
    fn apply_committed(&mut self) {
        if self.broken.is_none() {
            self.broken = self.restore_snapshot().err();
        }
        if self.broken.is_some() {
            return;
        }
        while self.applied < self.raft.commit() {
            self.apply_next();
        }
        if !self.raft.is_leader() && !self.waiting.is_empty() {
            for proposal in std::mem::take(&mut self.waiting).into_values() {
                self.reject(proposal.token);
            }
            self.pending_changes = 0;
        }
        self.compact();
    }

    fn restore_snapshot(&mut self) -> Result<(), String> {
        let Some(snapshot) = self.raft.take_restored() else {
            return Ok(());
        };
        if snapshot.tail.index <= self.applied {
            return Ok(());
        }
        self.state = state::State::decode(&snapshot.state)?;
        self.applied = snapshot.tail.index;
        self.snapshot_bytes = snapshot.state.len();
        self.uncompacted_bytes = 0;
        let revision = self.state.conf().revision();
        if revision > 0 {
            self.out.push(Output::Committed(revision));
        }
        if self.state.document().is_some() {
            self.out.push(Output::Published);
        }
        if self.state.evacuations().change > 0 {
            self.out.push(Output::Evacuated);
        }
        self.out.push(Output::SuspectsChanged);
        Ok(())
    }

    fn apply_next(&mut self) {
        let index = self.applied + 1;
        let entry = self.raft.log().get(index);
        let entry = entry.expect("a committed entry is kept until it is applied");
        let term = entry.term;
        self.uncompacted_bytes += entry.approx_bytes();
        let mut verdict = agree::Verdict::Unavailable;
        if let log::Payload::Command {
            wall_ms,
            limits,
            command,
        } = &entry.payload
        {
            let old_revision = self.state.conf().revision();
            let version = self.state.document_version();
            let evacuations = self.state.evacuations().change;
            verdict = self.state.apply(entry.clock_ms, *wall_ms, *limits, command);
            let revision = self.state.conf().revision();
            if revision > old_revision {
                self.out.push(Output::Committed(revision));
            }
            if self.state.document_version() > version {
                self.out.push(Output::Published);
            }
            if self.state.evacuations().change > evacuations {
                self.out.push(Output::Evacuated);
            }
            if matches!(
                command,
                agree::Command::Crash { .. } | agree::Command::Clear(_)
            ) {
                self.out.push(Output::SuspectsChanged);
            }
        }
        self.applied = index;
        if let Some(proposal) = self.waiting.remove(&index) {
            self.pending_changes -= usize::from(proposal.is_change);
            if proposal.term != term {
                verdict = agree::Verdict::Unavailable;
            }
            self.out.push(Output::Verdict(proposal.token, verdict));
        }
    }

    fn compact(&mut self) {
        if self.uncompacted_bytes < self.compact_bytes.max(self.snapshot_bytes * 2) {
            return;
        }
        if !self.raft.may_compact(self.applied) {
            return;
        }
        let state = self.state.encode();
        self.uncompacted_bytes = 0;
        self.snapshot_bytes = state.len();
        let clock_ms = self.state.clock_ms();
        self.raft
            .compact(self.applied, clock_ms, state, RETAINED_ENTRIES);
    }

    /// Status report for operators.
    pub fn status(&self, now: Duration) -> Status {
        let raft = &self.raft;
        let membership = raft.membership();
        let members = membership.all().map(|member| Member {
            addr: member.addr,
            life: member.life.0,
            votes: membership.votes(member),
            matched: raft.matched(member),
        });
        Status {
            standing: raft.role(),
            life: raft.me().life.0,
            term: raft.term(),
            leader: raft.leader().map(|member| member.addr),
            leads: raft.leads(now),
            commit: raft.commit(),
            applied: self.applied,
            tail: raft.log().tail().index,
            durable: raft.durable(),
            stalled: raft.stalled(),
            broken: self.broken.clone(),
            revision: self.state.conf().revision(),
            claims: self.state.claims().len(),
            members: members.collect(),
            invited: membership
                .invited
                .iter()
                .map(|member| member.addr)
                .collect(),
            waits_ms: raft.commit_delay(now).as_millis() as u64,
            followers: raft.followers(now),
            callers: raft.callers(now),
        }
    }
}
