//! Raft-style consensus as a pure state machine.
//!
//! The caller feeds messages, time and reports of what was synced, and carries out what
//! [`Raft::take_messages`] and [`Raft::take_write`] hand out. A message that promises something
//! durable is handed out only after the write that it rests on was reported by
//! [`Raft::synced`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::log;
use super::member;
use super::message;
use crate::wire::id;

mod durable;
mod election;
mod founding;
mod membership;
mod replication;
pub mod watch;

/// Times of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time between two messages to a silent follower.
    pub heartbeat: Duration,
    /// Silence after which a member stands for election: drawn between this and its double. A
    /// leader that no quorum answered for this time steps down.
    pub election: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election: Duration::from_millis(800),
        }
    }
}

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This member.
    pub me: member::Member,
    /// Addresses of the first members, this one's among them.
    pub founders: Vec<SocketAddr>,
    /// Seed of all its chance.
    pub seed: u64,
    /// Times.
    pub timing: Timing,
    /// Whether the first cluster may be founded by this member. `false`: only once
    /// [`Raft::learn_peers`] was told the founders.
    pub may_found: bool,
    /// How members come and go.
    pub admission: Admission,
}

/// How members come and go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A member in a new life comes back by itself; all else is an operator's order.
    Ordered,
    /// Whoever calls joins. A voter that has gone silent leaves while others are enough, or
    /// when one that has joined can take its place.
    Open {
        /// Voters below which a silent one stays until there is a successor.
        min_voters: usize,
    },
}

/// What a member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It belongs to no cluster yet.
    Unborn,
    /// It follows, and is not known here to be a voter for good.
    Learner,
    /// It follows, and that it votes is committed: from then on the disk of another may be lost.
    Follower,
    /// It stands for election.
    Candidate,
    /// It leads.
    Leader,
}

#[derive(Debug)]
enum RoleState {
    Follower,
    /// Asks whether it would be elected.
    PreCandidate {
        granted: BTreeSet<member::Member>,
    },
    Candidate {
        granted: BTreeSet<member::Member>,
        /// Write that holds its vote for itself.
        own_vote: u64,
        /// Somebody refused: this election may be lost to another.
        is_refused: bool,
        /// A leader asked it to take over.
        handover: bool,
    },
    Leader(Lead),
}

#[derive(Debug)]
struct Lead {
    peers: BTreeMap<member::Member, Progress>,
    /// Its first entry. Once that is committed it may change members and serve reads.
    first: u64,
    /// Who shall take over, and until when proposals are refused for that.
    heir: Option<(member::Member, Duration)>,
}

/// What a leader knows of one follower.
#[derive(Clone, Debug)]
struct Progress {
    /// Synced there and equal to the leader's log.
    matched: u64,
    /// Next entry to send. Invariant: over `matched`.
    next: u64,
    /// Whether it is being found out where the logs agree. Invariant: while it is, `next` only
    /// falls and messages hold no entries.
    probing: bool,
    /// When something was sent last.
    sent: Duration,
    /// Sending time of the newest message that it answered.
    answered: Duration,
    /// Snapshot under way: index, bytes arrived, when the last piece was sent.
    snapshot: Option<(u64, u64, Duration)>,
    refusals: watch::Refusals,
}

/// A snapshot on its way in.
#[derive(Debug)]
struct Incoming {
    tail: message::Tail,
    data: Vec<u8>,
}

/// A member of the quorum.
#[derive(Debug)]
pub struct Raft {
    settings: Settings,
    rng: StdRng,
    hard: log::Hard,
    log: log::Log,
    /// Newest snapshot. Invariant: covers all that `log` no longer holds.
    snapshot: Option<log::Snapshot>,
    /// Newest snapshot encoded, for sending.
    encoded: Option<(u64, bytes::Bytes)>,
    /// Memberships in the log by index. Invariant: not empty once a cluster is joined, and the
    /// first is committed.
    members: VecDeque<(u64, member::Membership)>,
    commit: u64,
    /// What the disk was last given of `commit`.
    commit_written: u64,
    role: RoleState,
    leader: Option<member::Member>,
    /// When the leader was heard last, or this member started.
    heard: Option<Duration>,
    /// End of the election timer.
    deadline: Duration,
    /// Last index synced here. Invariant: at most the log's tail.
    durable: u64,
    /// Writes handed out: number, log tail with it, whether it holds the durable word.
    writes: VecDeque<(u64, u64, bool)>,
    /// Being gathered; handed out by `take_write`.
    write: log::Write,
    /// Messages that wait for the write of that number.
    held: VecDeque<(u64, message::Envelope)>,
    out: Vec<message::Envelope>,
    /// The disk takes nothing: no vote, no acknowledgement, no leadership.
    stalled: bool,
    incoming: Option<Incoming>,
    /// A snapshot was installed that the state does not know yet.
    restored: bool,
    /// Replicated clock, and when it had that value.
    clock: (u64, Duration),
    /// Others that belong to no cluster, and when they last said so.
    unborn: BTreeMap<SocketAddr, (id::Incarnation, Duration)>,
    hailed: Option<Duration>,
    /// Addresses that may be members, besides those founders.
    known: Vec<SocketAddr>,
    watch: watch::Watch,
}

impl Raft {
    /// A member that goes on from what its data folder held.
    pub fn new(now: Duration, settings: Settings, saved: log::Saved) -> Self {
        let rng = StdRng::seed_from_u64(settings.seed);
        let base = saved.snapshot.as_ref().map(|one| one.tail);
        let mut log = log::Log::new(base.unwrap_or_default());
        let mut members = VecDeque::new();
        let mut clock = 0;
        if let Some(snapshot) = &saved.snapshot {
            members.push_back((snapshot.tail.index, snapshot.members.clone()));
            clock = snapshot.clock_ms;
        }
        for entry in saved.entries {
            if let log::Payload::Members(one) = &entry.payload {
                members.push_back((entry.index, one.clone()));
            }
            clock = clock.max(entry.clock_ms);
            log.push(entry);
        }
        let is_open = settings.admission != Admission::Ordered;
        let mut raft = Self {
            rng,
            hard: saved.hard,
            commit: saved.commit.clamp(log.base().index, log.tail().index),
            commit_written: saved.commit,
            durable: log.tail().index,
            log,
            encoded: None,
            members,
            role: RoleState::Follower,
            leader: None,
            // Before its end it may have promised a leader not to vote. Where reads pass the
            // log, nothing rests on that promise, and the next leader need not wait for it.
            heard: (saved.hard.cluster != 0 && !is_open).then_some(now),
            deadline: now,
            writes: VecDeque::new(),
            write: log::Write {
                seq: 1,
                ..log::Write::default()
            },
            held: VecDeque::new(),
            out: Vec::new(),
            stalled: false,
            incoming: None,
            restored: saved.snapshot.is_some(),
            snapshot: saved.snapshot,
            clock: (clock, now),
            unborn: BTreeMap::new(),
            hailed: None,
            known: Vec::new(),
            watch: watch::Watch::default(),
            settings,
        };
        raft.draw_deadline(now);
        if raft.is_sole_voter() {
            raft.deadline = now;
        } else if is_open {
            // All may have ended together: whoever still has a leader grants no pre-vote.
            raft.deadline = now + raft.deadline.saturating_sub(now) / 4;
        }
        raft
    }

    /// This member.
    pub fn me(&self) -> member::Member {
        self.settings.me
    }

    /// Its newest term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// The cluster it belongs to. 0: none yet.
    pub fn cluster(&self) -> u128 {
        self.hard.cluster
    }

    /// Last committed index that it knows of.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Last index synced here.
    pub fn durable(&self) -> u64 {
        self.durable
    }

    /// Its log.
    pub fn log(&self) -> &log::Log {
        &self.log
    }

    /// The leader it knows.
    pub fn leader(&self) -> Option<member::Member> {
        self.leader
    }

    /// Whether the disk takes nothing.
    pub fn stalled(&self) -> bool {
        self.stalled
    }

    /// What it is.
    pub fn role(&self) -> Role {
        match self.role {
            _ if self.hard.cluster == 0 => Role::Unborn,
            RoleState::Leader(_) => Role::Leader,
            RoleState::PreCandidate { .. } | RoleState::Candidate { .. } => Role::Candidate,
            RoleState::Follower if self.counts_as_voter() => Role::Follower,
            RoleState::Follower => Role::Learner,
        }
    }

    /// Whether it votes by its newest members and by the newest that it knows to be committed.
    /// Members that are not committed may be gone with their leader.
    fn counts_as_voter(&self) -> bool {
        let me = self.me();
        let mut newest_first = self.members.iter().rev();
        let committed = newest_first.find(|(at, _)| *at <= self.commit);
        self.membership().votes(&me) && committed.is_some_and(|(_, members)| members.votes(&me))
    }

    /// The members in force: the newest in the log.
    pub fn membership(&self) -> &member::Membership {
        static NONE: member::Membership = member::Membership {
            voters: Vec::new(),
            learners: Vec::new(),
            invited: Vec::new(),
        };
        self.members.back().map_or(&NONE, |(_, members)| members)
    }

    /// Index of the entry from which on the members in force are. 0: it belongs to no cluster.
    pub fn membership_index(&self) -> u64 {
        self.members.back().map_or(0, |(at, _)| *at)
    }

    /// Index up to which a follower is known to hold the log. Only a leader knows.
    pub fn matched(&self, member: &member::Member) -> Option<u64> {
        match &self.role {
            RoleState::Leader(_) if *member == self.me() => Some(self.durable),
            RoleState::Leader(lead) => lead.peers.get(member).map(|one| one.matched),
            _ => None,
        }
    }

    /// Replicated clock in milliseconds, as far as known here. Never falls.
    pub fn clock_ms(&self, now: Duration) -> u64 {
        let since = now.saturating_sub(self.clock.1);
        self.clock.0 + since.as_millis() as u64
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Duration) {
        self.check_quorum(now);
        self.write_commit();
        self.hail(now);
        if matches!(self.role, RoleState::Leader(_)) {
            self.manage_members(now);
            self.replicate(now);
        } else if now >= self.deadline {
            self.stand(now);
        }
        self.watch(now);
    }

    /// Takes a message.
    pub fn receive(&mut self, now: Duration, env: message::Envelope) {
        self.check_quorum(now);
        match env.body {
            message::Body::Hail => return self.hailed_by(now, env.cluster, env.from),
            message::Body::Unborn { echo } => return self.found_unborn(now, env.from, echo),
            _ => {}
        }
        if env.to != self.me() {
            return;
        }
        if let message::Body::Genesis(genesis) = env.body {
            return self.take_genesis(now, env.cluster, genesis);
        }
        if self.same_cluster(&env) {
            self.receive_own(now, env);
        }
    }

    fn receive_own(&mut self, now: Duration, env: message::Envelope) {
        use message::Body;
        let from = env.from;
        match &env.body {
            Body::PreVote { term, tail } => return self.answer_pre_vote(now, from, *term, *tail),
            Body::Vote { handover, .. } if !handover && self.is_bound(now) => return,
            _ if env.term > self.hard.term => self.follow(now, env.term),
            // Whoever is in an older term may well grant it.
            Body::PreVoted { term, granted } => {
                return self.count_pre_vote(now, from, *term, *granted);
            }
            _ => {}
        }
        if env.term < self.hard.term {
            if let Body::Append { sent, .. } | Body::Snapshot { sent, .. } = env.body {
                // Tells a former leader of the newer term.
                let (agreed, index) = (false, 0);
                self.send(
                    from,
                    Body::Appended {
                        agreed,
                        index,
                        sent,
                    },
                );
            }
            return;
        }
        match env.body {
            Body::Vote { tail, .. } => self.answer_vote(now, from, tail),
            Body::Voted { granted } => self.count_vote(now, from, granted),
            Body::Append { .. } => self.append(now, from, env.body),
            Body::Appended {
                agreed,
                index,
                sent,
            } => self.appended(now, from, agreed, index, sent),
            Body::Snapshot { .. } => self.take_piece(now, from, env.body),
            Body::Took {
                index,
                offset,
                sent,
            } => self.took(now, from, index, offset, sent),
            Body::TakeOver => self.take_over(now),
            Body::PreVote { .. }
            | Body::PreVoted { .. }
            | Body::Hail
            | Body::Unborn { .. }
            | Body::Genesis(_) => {}
        }
    }

    /// Whether `env` is of this member's cluster. One that belongs to none joins the one whose
    /// leader sends it a snapshot.
    fn same_cluster(&mut self, env: &message::Envelope) -> bool {
        let is_unborn = self.hard.cluster == 0;
        if is_unborn && matches!(env.body, message::Body::Snapshot { .. }) {
            self.hard.cluster = env.cluster;
            self.write_hard();
        }
        env.cluster != 0 && env.cluster == self.hard.cluster
    }

    /// Messages to send now.
    pub fn take_messages(&mut self) -> Vec<message::Envelope> {
        std::mem::take(&mut self.out)
    }

    /// A snapshot that was installed and that the state has to be rebuilt from.
    pub fn take_restored(&mut self) -> Option<&log::Snapshot> {
        if !std::mem::take(&mut self.restored) {
            return None;
        }
        self.snapshot.as_ref()
    }

    /// Sends at once.
    fn send(&mut self, to: member::Member, body: message::Body) {
        let env = self.envelope(to, body);
        self.out.push(env);
    }

    fn envelope(&self, to: member::Member, body: message::Body) -> message::Envelope {
        message::Envelope {
            cluster: self.hard.cluster,
            from: self.me(),
            to,
            term: self.hard.term,
            body,
        }
    }

    fn draw_deadline(&mut self, now: Duration) {
        let election = self.settings.timing.election;
        let extra = self.rng.random_range(0..election.as_micros() as u64);
        self.deadline = now + election + Duration::from_micros(extra);
    }

    fn is_sole_voter(&self) -> bool {
        self.membership().voters == [self.me()]
    }
}
