//! A member as a whole: its log, and the agreed state that the log leads to.

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

/// Bytes of entries after which a snapshot is taken, at least, where nothing else is set.
pub const COMPACT_BYTES: usize = 32 << 20;

/// Entries kept in memory behind a snapshot, for followers that are a little behind.
const KEPT_ENTRIES: u64 = 512;

/// Changes of configuration that may wait for their commit at once.
const MAX_CHANGES: usize = 8;

/// Bytes of all files of one change. Fits a frame with room to spare.
pub const MAX_CHANGE_BYTES: usize = 8 << 20;

/// A proposal, as its proposer knows it.
pub type Token = u64;

/// What a member has to tell its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// What became of a proposal.
    Verdict(Token, agree::Verdict),
    /// This revision of the configuration is committed.
    Committed(u64),
    /// A newer document is committed.
    Published,
    /// The suspects changed.
    Suspected,
}

/// What a member knows of another.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Known {
    /// Its link address.
    pub addr: SocketAddr,
    /// Life of its data folder.
    pub life: u64,
    /// Whether it votes.
    pub votes: bool,
    /// Last index synced there. Only the leader knows of others.
    pub matched: Option<u64>,
}

/// What a member tells operators.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Status {
    /// What it is.
    pub standing: consensus::Role,
    /// Life of its data folder.
    pub life: u64,
    /// Its term.
    pub term: u64,
    /// The leader that it knows.
    pub leader: Option<SocketAddr>,
    /// Whether it leads and holds its lease: what it tells is the newest.
    pub leads: bool,
    /// Last committed index.
    pub commit: u64,
    /// Last applied index.
    pub applied: u64,
    /// Last index.
    pub tail: u64,
    /// Last index synced here.
    pub durable: u64,
    /// Whether its disk takes nothing.
    pub stalled: bool,
    /// Why it takes no part any more, if so.
    pub broken: Option<String>,
    /// Revision of the configuration.
    pub revision: u64,
    /// Claims remembered.
    pub claims: usize,
    /// The members.
    pub members: Vec<Known>,
    /// Addresses that may join.
    pub invited: Vec<SocketAddr>,
    /// Milliseconds for which entries have waited and none was committed. Only the leader knows.
    pub waits_ms: u64,
    /// How far each follower is. Only the leader knows.
    pub followers: Vec<consensus::watch::Follower>,
    /// Who calls and does not vote.
    pub callers: Vec<consensus::watch::Caller>,
}

/// A proposal that waits for the commit of its entry.
#[derive(Debug)]
struct Waiting {
    /// Term of the entry. Another one at its index: it is lost.
    term: u64,
    token: Token,
    is_change: bool,
}

/// A member.
#[derive(Debug)]
pub struct Replica {
    raft: consensus::Raft,
    state: state::State,
    /// Invariant: at most the commit index.
    applied: u64,
    /// Proposals that wait for the commit of their entry, by its index.
    waiting: BTreeMap<u64, Waiting>,
    /// Of these, changes of configuration.
    changes: usize,
    /// Bytes applied since the last snapshot.
    since: usize,
    /// Size of the last snapshot.
    snapshot_bytes: usize,
    compact_bytes: usize,
    /// A snapshot came that this version cannot read: without the state it takes no part.
    broken: Option<String>,
    out: Vec<Output>,
}

impl Replica {
    /// A member that goes on from what its data folder held.
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
            changes: 0,
            since: 0,
            snapshot_bytes: 0,
            compact_bytes: COMPACT_BYTES,
            broken: None,
            out: Vec::new(),
        };
        replica.restore()?;
        Ok(replica)
    }

    /// Takes a snapshot each `bytes` of entries, at least.
    pub fn compact_each(&mut self, bytes: usize) {
        self.compact_bytes = bytes;
    }

    /// Its part of the consensus.
    pub fn raft(&self) -> &consensus::Raft {
        &self.raft
    }

    /// Why it takes no part any more, if so.
    pub fn broken(&self) -> Option<&str> {
        self.broken.as_deref()
    }

    /// The agreed state as far as applied here.
    pub fn state(&self) -> &state::State {
        &self.state
    }

    /// Last applied index.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Duration) {
        if self.broken.is_none() {
            self.raft.tick(now);
        }
        self.settle();
    }

    /// Takes a message.
    pub fn receive(&mut self, now: Duration, env: message::Envelope) {
        if self.broken.is_none() {
            self.raft.receive(now, env);
        }
        self.settle();
    }

    /// Takes the report that all writes up to `seq` are synced.
    pub fn synced(&mut self, now: Duration, seq: u64) {
        self.raft.synced(now, seq);
        self.settle();
    }

    /// Takes the report that the disk takes nothing now.
    pub fn stall(&mut self, now: Duration) {
        self.raft.stall(now);
        self.settle();
    }

    /// Carries out an operator's order.
    pub fn order(&mut self, now: Duration, order: &member::Order) -> member::Outcome {
        self.raft.order(now, order)
    }

    /// Learns which other members there may be, and who founds the cluster.
    pub fn know(&mut self, known: Vec<SocketAddr>, founders: Option<Vec<SocketAddr>>) {
        self.raft.learn_peers(known, founders);
    }

    /// Gives the leadership away, if there is someone to take it.
    pub fn hand_over(&mut self, now: Duration) -> bool {
        self.raft.hand_over(now)
    }

    /// Puts a command. Its verdict comes later as [`Output::Verdict`], exactly once.
    pub fn propose(&mut self, now: Duration, wall_ms: u64, token: Token, command: agree::Command) {
        let limits = match &command {
            agree::Command::Configure(change) => match self.check(now, change) {
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
                let waiting = Waiting {
                    term: self.raft.term(),
                    token,
                    is_change: limits.is_some(),
                };
                self.changes += usize::from(waiting.is_change);
                self.waiting.insert(index, waiting);
            }
            None => self.refuse(token),
        }
        self.settle();
    }

    /// Checks a change before it goes to the log: its limits, or why not.
    fn check(
        &self,
        now: Duration,
        change: &agree::Change,
    ) -> Result<state::Limits, agree::Verdict> {
        if !self.raft.leads(now) || self.changes >= MAX_CHANGES {
            return Err(agree::Verdict::Unavailable);
        }
        if let Some(verdict) = self.state.answered(change.id) {
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

    fn refuse(&mut self, token: Token) {
        let verdict = agree::Verdict::Unavailable;
        self.out.push(Output::Verdict(token, verdict));
    }

    /// Sends what was gathered.
    pub fn flush(&mut self, now: Duration) {
        self.raft.replicate(now);
    }

    /// Messages to send now.
    pub fn take_messages(&mut self) -> Vec<message::Envelope> {
        let messages = self.raft.take_messages();
        if self.broken.is_some() {
            return Vec::new();
        }
        messages
    }

    /// What is to be written next, if there is anything.
    pub fn take_write(&mut self) -> Option<log::Write> {
        if self.broken.is_some() {
            return None;
        }
        self.raft.take_write()
    }

    /// What there is to tell.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }

    /// Applies what is committed, and gives up on proposals that this member no longer leads.
    fn settle(&mut self) {
        if self.broken.is_none() {
            self.broken = self.restore().err();
        }
        if self.broken.is_some() {
            return;
        }
        while self.applied < self.raft.commit() {
            self.apply_next();
        }
        if self.raft.role() != consensus::Role::Leader && !self.waiting.is_empty() {
            for waiting in std::mem::take(&mut self.waiting).into_values() {
                self.refuse(waiting.token);
            }
            self.changes = 0;
        }
        self.compact();
    }

    fn restore(&mut self) -> Result<(), String> {
        let Some(snapshot) = self.raft.take_restored() else {
            return Ok(());
        };
        if snapshot.tail.index <= self.applied {
            return Ok(());
        }
        self.state = state::State::decode(&snapshot.state)?;
        self.applied = snapshot.tail.index;
        self.snapshot_bytes = snapshot.state.len();
        self.since = 0;
        let revision = self.state.conf().revision();
        if revision > 0 {
            self.out.push(Output::Committed(revision));
        }
        if self.state.document().is_some() {
            self.out.push(Output::Published);
        }
        self.out.push(Output::Suspected);
        Ok(())
    }

    fn apply_next(&mut self) {
        let index = self.applied + 1;
        let entry = self.raft.log().get(index);
        let entry = entry.expect("a committed entry is held until it is applied");
        let term = entry.term;
        self.since += entry.approx_bytes();
        let mut verdict = agree::Verdict::Unavailable;
        if let log::Payload::Command {
            wall_ms,
            limits,
            command,
        } = &entry.payload
        {
            let before = self.state.conf().revision();
            let published = self.state.published();
            verdict = self.state.apply(entry.clock_ms, *wall_ms, *limits, command);
            let revision = self.state.conf().revision();
            if revision > before {
                self.out.push(Output::Committed(revision));
            }
            if self.state.published() > published {
                self.out.push(Output::Published);
            }
            if matches!(
                command,
                agree::Command::Crash { .. } | agree::Command::Clear(_)
            ) {
                self.out.push(Output::Suspected);
            }
        }
        self.applied = index;
        if let Some(waiting) = self.waiting.remove(&index) {
            self.changes -= usize::from(waiting.is_change);
            if waiting.term != term {
                verdict = agree::Verdict::Unavailable;
            }
            self.out.push(Output::Verdict(waiting.token, verdict));
        }
    }

    fn compact(&mut self) {
        if self.since < self.compact_bytes.max(self.snapshot_bytes * 2) {
            return;
        }
        let state = self.state.encode();
        self.since = 0;
        self.snapshot_bytes = state.len();
        let clock_ms = self.state.clock_ms();
        self.raft
            .compact(self.applied, clock_ms, state, KEPT_ENTRIES);
    }

    /// What it tells operators.
    pub fn status(&self, now: Duration) -> Status {
        let raft = &self.raft;
        let membership = raft.membership();
        let known = membership.all().map(|one| Known {
            addr: one.addr,
            life: one.life.0,
            votes: membership.votes(one),
            matched: raft.matched(one),
        });
        Status {
            standing: raft.role(),
            life: raft.me().life.0,
            term: raft.term(),
            leader: raft.leader().map(|one| one.addr),
            leads: raft.leads(now),
            commit: raft.commit(),
            applied: self.applied,
            tail: raft.log().tail().index,
            durable: raft.durable(),
            stalled: raft.stalled(),
            broken: self.broken.clone(),
            revision: self.state.conf().revision(),
            claims: self.state.claims().len(),
            members: known.collect(),
            invited: membership.invited.iter().map(|one| one.addr).collect(),
            waits_ms: raft.commit_delay(now).as_millis() as u64,
            followers: raft.followers(now),
            callers: raft.callers(now),
        }
    }
}
