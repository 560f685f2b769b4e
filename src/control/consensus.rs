//! Raft-style consensus as a pure state machine.
//!
//! The caller passes in messages, the time and reports of completed syncs, and carries out what
//! [`Raft::take_messages`] and [`Raft::take_write`] return. A message that depends on durable data
//! (a granted vote, an acknowledgement) is returned only after [`Raft::synced`] has reported the
//! write that holds this data.

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

/// Membership of a process that belongs to no cluster.
static NO_MEMBERS: member::Membership = member::Membership {
    voters: Vec::new(),
    learners: Vec::new(),
    invited: Vec::new(),
    exchange: None,
};

/// Timeouts of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between messages to a follower that has no entries to receive.
    pub heartbeat: Duration,
    /// Minimum election timeout. The actual timeout is drawn at random between this and twice
    /// this. A leader that no quorum answered for this time steps down.
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
    /// Identity of this member.
    pub me: member::Member,
    /// Addresses of the initial members, including this one.
    pub founders: Vec<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Timeouts.
    pub timing: Timing,
    /// Whether this member may found the first cluster. If `false`, it may do so only after
    /// [`Raft::learn_peers`] was given the founders.
    pub may_found: bool,
    /// How members join and leave.
    pub admission: Admission,
}

/// How members join and leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A member with a new data folder rejoins by itself. Every other change is an operator's
    /// order.
    Ordered,
    /// Any process that calls joins. A silent voter is removed if enough voters are left, or once
    /// a learner is ready to replace it.
    Open {
        /// At or below this number of voters, a silent one stays until a replacement is ready.
        min_voters: usize,
    },
}

/// Role of a member as reported to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Belongs to no cluster yet.
    Unborn,
    /// Is not known here to be a voter by a committed membership. A learner that takes a voter's
    /// place may lead before that.
    Learner,
    /// Follows, and is a voter by a committed membership: from then on the disk of another voter
    /// may be lost.
    Follower,
    /// Is a candidate, or asks for pre-votes.
    Candidate,
    /// Leads, and is a voter by a committed membership.
    Leader,
}

/// The role, with the data that only this role needs.
#[derive(Debug)]
enum RoleState {
    Follower,
    /// Asks for pre-votes.
    PreCandidate {
        granted: BTreeSet<member::Member>,
    },
    Candidate {
        granted: BTreeSet<member::Member>,
        /// Number of the write that holds its vote for itself.
        own_vote: u64,
        /// A voter rejected it, so another candidate may win this election.
        is_rejected: bool,
        /// The leader handed over to it.
        handover: bool,
    },
    Leader(Leadership),
}

#[derive(Debug)]
struct Leadership {
    peers: BTreeMap<member::Member, Progress>,
    /// Index of its first entry. Once that is committed, it may change members and serve reads.
    first_index: u64,
    /// The member to hand over to, and until when proposals are rejected for it.
    successor: Option<(member::Member, Duration)>,
}

/// A leader's record of one follower.
#[derive(Clone, Debug)]
struct Progress {
    /// Last index known to be synced there and equal to the leader's log.
    matched: u64,
    /// Index of the next entry to send. Invariant: greater than `matched`.
    next: u64,
    /// Whether the leader is searching for the last index where the logs agree. Invariant:
    /// meanwhile `next` only decreases and messages hold no entries.
    probing: bool,
    /// When this record began.
    since: Duration,
    /// When the last message was sent.
    last_sent: Duration,
    /// Send time of the newest message that the follower answered.
    last_answered: Duration,
    /// Snapshot being sent: its index, bytes received there, when the last chunk was sent.
    snapshot: Option<(u64, u64, Duration)>,
    rejections: watch::Rejections,
}

/// A snapshot being received.
#[derive(Debug)]
struct Incoming {
    tail: message::Tail,
    data: Vec<u8>,
}

/// Consensus state of one member.
#[derive(Debug)]
pub struct Raft {
    settings: Settings,
    rng: StdRng,
    hard: log::Hard,
    log: log::Log,
    /// Newest snapshot. Invariant: covers all entries that `log` no longer holds.
    snapshot: Option<log::Snapshot>,
    /// Index and encoded form of the newest snapshot, cached for sending.
    encoded: Option<(u64, bytes::Bytes)>,
    /// Memberships in the log, by index. Invariant: not empty once a cluster is joined; the first
    /// is committed.
    members: VecDeque<(u64, member::Membership)>,
    commit: u64,
    /// Commit index in the last write handed out.
    commit_written: u64,
    role: RoleState,
    leader: Option<member::Member>,
    /// When the leader was last heard from, or when this member started.
    last_heard: Option<Duration>,
    /// When the election timer expires.
    deadline: Duration,
    /// Last index synced here. Invariant: not beyond the log's tail.
    durable: u64,
    /// Writes handed out and not synced: number, log tail after it, whether it holds the hard
    /// state.
    writes: VecDeque<(u64, u64, bool)>,
    /// The next write, collected until `take_write` hands it out.
    write: log::Write,
    /// Messages held back until the write of that number is synced.
    awaiting_sync: VecDeque<(u64, message::Envelope)>,
    outbox: Vec<message::Envelope>,
    /// The disk accepts no writes, so this member neither votes, acknowledges nor leads.
    stalled: bool,
    incoming: Option<Incoming>,
    /// A snapshot was installed and not yet collected by [`Self::take_restored`].
    restored: bool,
    /// Value of the replicated clock, and the local time when it was set.
    clock: (u64, Duration),
    /// Processes that belong to no cluster, and when they last reported that.
    uninitialized: BTreeMap<SocketAddr, (id::Incarnation, Duration)>,
    last_hail: Option<Duration>,
    /// Addresses of possible members, besides the founders.
    discovered: Vec<SocketAddr>,
    watch: watch::Watch,
}

impl Raft {
    /// A member that resumes from what its data folder holds.
    pub fn new(now: Duration, settings: Settings, saved: log::Saved) -> Self {
        let rng = StdRng::seed_from_u64(settings.seed);
        let base = saved.snapshot.as_ref().map(|snapshot| snapshot.tail);
        let mut log = log::Log::new(base.unwrap_or_default());
        let mut members = VecDeque::new();
        let mut clock = 0;
        if let Some(snapshot) = &saved.snapshot {
            members.push_back((snapshot.tail.index, snapshot.members.clone()));
            clock = snapshot.clock_ms;
        }
        for entry in saved.entries {
            let current = members.back().map(|(_, current)| current);
            if let Some(next) = entry.payload.membership(current.unwrap_or(&NO_MEMBERS)) {
                members.push_back((entry.index, next));
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
            // Before the restart it may have renewed a leader's lease, so it must withhold its
            // vote. With open admission, reads go through the log and need no lease, so an
            // election need not wait.
            last_heard: (saved.hard.cluster != 0 && !is_open).then_some(now),
            deadline: now,
            writes: VecDeque::new(),
            write: log::Write {
                seq: 1,
                ..log::Write::default()
            },
            awaiting_sync: VecDeque::new(),
            outbox: Vec::new(),
            stalled: false,
            incoming: None,
            restored: saved.snapshot.is_some(),
            snapshot: saved.snapshot,
            clock: (clock, now),
            uninitialized: BTreeMap::new(),
            last_hail: None,
            discovered: Vec::new(),
            watch: watch::Watch::default(),
            settings,
        };
        raft.reset_election_timer(now);
        if raft.is_sole_voter() {
            raft.deadline = now;
        } else if is_open {
            // All members may have restarted together, so the first election starts early. A
            // member that still has a leader grants no pre-vote.
            raft.deadline = now + raft.deadline.saturating_sub(now) / 4;
        }
        raft
    }

    /// Identity of this member.
    pub fn me(&self) -> member::Member {
        self.settings.me
    }

    /// Newest term seen.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Identifier of the cluster it belongs to. 0: none yet.
    pub fn cluster(&self) -> u128 {
        self.hard.cluster
    }

    /// Last index known here to be committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Last index synced here.
    pub fn durable(&self) -> u64 {
        self.durable
    }

    /// The part of the log held in memory.
    pub fn log(&self) -> &log::Log {
        &self.log
    }

    /// The current leader, if known.
    pub fn leader(&self) -> Option<member::Member> {
        self.leader
    }

    /// Whether the disk accepts no writes.
    pub fn stalled(&self) -> bool {
        self.stalled
    }

    /// Current role.
    pub fn role(&self) -> Role {
        match self.role {
            _ if self.hard.cluster == 0 => Role::Unborn,
            RoleState::Leader(_) if self.is_committed_voter() => Role::Leader,
            RoleState::Leader(_) => Role::Learner,
            RoleState::PreCandidate { .. } | RoleState::Candidate { .. } => Role::Candidate,
            RoleState::Follower if self.counts_as_voter() => Role::Follower,
            RoleState::Follower => Role::Learner,
        }
    }

    /// Whether it is a voter in the newest membership and in the newest one known to be
    /// committed. An uncommitted membership may be lost together with its leader.
    fn counts_as_voter(&self) -> bool {
        self.membership().votes(&self.me()) && self.is_committed_voter()
    }

    fn is_committed_voter(&self) -> bool {
        let mut newest_first = self.members.iter().rev();
        let committed = newest_first.find(|(at, _)| *at <= self.commit);
        committed.is_some_and(|(_, members)| members.votes(&self.me()))
    }

    /// Whether this member leads, also before it counts as a voter.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, RoleState::Leader(_))
    }

    /// The membership in force: the newest in the log, committed or not.
    pub fn membership(&self) -> &member::Membership {
        let newest = self.members.back();
        newest.map_or(&NO_MEMBERS, |(_, members)| members)
    }

    /// Index of the entry that holds the membership in force. 0: it belongs to no cluster.
    pub fn membership_index(&self) -> u64 {
        self.members.back().map_or(0, |(at, _)| *at)
    }

    /// Last index that is known to be synced on a follower. `None` unless this member leads.
    pub fn matched(&self, member: &member::Member) -> Option<u64> {
        match &self.role {
            RoleState::Leader(_) if *member == self.me() => Some(self.durable),
            RoleState::Leader(lead) => lead.peers.get(member).map(|peer| peer.matched),
            _ => None,
        }
    }

    /// Replicated clock in milliseconds, as estimated here. Never decreases.
    pub fn clock_ms(&self, now: Duration) -> u64 {
        let since = now.saturating_sub(self.clock.1);
        self.clock.0 + since.as_millis() as u64
    }

    /// Runs what is due at `now`. To be called regularly.
    pub fn tick(&mut self, now: Duration) {
        self.check_quorum(now);
        self.write_commit();
        self.send_hails(now);
        if matches!(self.role, RoleState::Leader(_)) {
            self.manage_members(now);
            self.replicate(now);
        } else if now >= self.deadline {
            self.start_election(now);
        }
        self.update_watch(now);
    }

    /// Handles a message from another member.
    pub fn receive(&mut self, now: Duration, env: message::Envelope) {
        self.check_quorum(now);
        match env.body {
            message::Body::Hail => return self.handle_hail(now, env.cluster, env.from),
            message::Body::Unborn { echo } => return self.handle_unborn(now, env.from, echo),
            _ => {}
        }
        if env.to != self.me() {
            return;
        }
        if let message::Body::Genesis(genesis) = env.body {
            return self.handle_genesis(now, env.cluster, genesis);
        }
        if self.same_cluster(&env) {
            self.receive_from_cluster(now, env);
        }
    }

    fn receive_from_cluster(&mut self, now: Duration, env: message::Envelope) {
        use message::Body;
        let from = env.from;
        match &env.body {
            Body::PreVote { term, tail } => return self.answer_pre_vote(now, from, *term, *tail),
            Body::Vote { handover, .. } if !handover && self.is_bound_by_lease(now) => return,
            _ if env.term > self.hard.term => self.become_follower(now, env.term),
            // A voter in an older term may grant a pre-vote too.
            Body::PreVoted { term, granted } => {
                return self.count_pre_vote(now, from, *term, *granted);
            }
            _ => {}
        }
        if env.term < self.hard.term {
            if let Body::Append { sent, .. } | Body::Snapshot { sent, .. } = env.body {
                // Informs a former leader of the newer term.
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
            Body::Append { .. } => self.handle_append(now, from, env.body),
            Body::Appended {
                agreed,
                index,
                sent,
            } => self.handle_appended(now, from, agreed, index, sent),
            Body::Snapshot { .. } => self.receive_chunk(now, from, env.body),
            Body::Took {
                index,
                offset,
                sent,
            } => self.handle_took(now, from, index, offset, sent),
            Body::TakeOver => self.take_over(now),
            Body::PreVote { .. }
            | Body::PreVoted { .. }
            | Body::Hail
            | Body::Unborn { .. }
            | Body::Genesis(_) => {}
        }
    }

    /// Whether `env` comes from this member's cluster. A member that belongs to none joins the
    /// cluster whose leader sends it a snapshot.
    fn same_cluster(&mut self, env: &message::Envelope) -> bool {
        let is_uninitialized = self.hard.cluster == 0;
        if is_uninitialized && matches!(env.body, message::Body::Snapshot { .. }) {
            self.hard.cluster = env.cluster;
            self.write_hard();
        }
        env.cluster != 0 && env.cluster == self.hard.cluster
    }

    /// Removes and returns the messages to send now.
    pub fn take_messages(&mut self) -> Vec<message::Envelope> {
        std::mem::take(&mut self.outbox)
    }

    /// A newly installed snapshot from which the caller has to rebuild the state.
    pub fn take_restored(&mut self) -> Option<&log::Snapshot> {
        if !std::mem::take(&mut self.restored) {
            return None;
        }
        self.snapshot.as_ref()
    }

    /// Sends without waiting for a sync.
    fn send(&mut self, to: member::Member, body: message::Body) {
        let env = self.envelope(to, body);
        self.outbox.push(env);
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

    fn reset_election_timer(&mut self, now: Duration) {
        let election = self.settings.timing.election;
        let extra = self.rng.random_range(0..election.as_micros() as u64);
        self.deadline = now + election + Duration::from_micros(extra);
    }

    fn is_sole_voter(&self) -> bool {
        self.membership().voters == [self.me()]
    }
}
