//! Attempts in progress on the backend server, and the slots and memory that they take.
//!
//! A state machine without I/O. Its driver passes events in order of arrival, performs the
//! returned actions in order, and sends [`Event::Tick`] every [`TICK`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::capacity;
use super::tombstone;
use crate::wire::id;
use crate::wire::member;
use crate::wire::outcome;
use crate::wire::outcome::Cause;
use crate::wire::outcome::Ran;
use crate::wire::run;

mod backend;
mod call;
mod segment;
mod time;

/// Time between two ticks.
pub const TICK: Duration = Duration::from_millis(100);

/// Longest time limit of an attempt; longer ones are capped.
pub const MAX_TIME_LIMIT: Duration = Duration::from_secs(60 * 60);

/// How long a repeatable run goes on without a stream to its entry before it is cancelled.
pub const RESUME_GRACE: Duration = Duration::from_secs(5);

/// How long the response of a finished attempt is kept for queries.
pub const RESPONSE_TTL: Duration = Duration::from_secs(10);

/// How long a run or segment that the ledger does not know may stay before it is stopped. An
/// entry may still take over a run started before the sidecar restarted.
pub const ORPHAN_GRACE: Duration = Duration::from_secs(4);

/// Interval between reads of the engine's list of runs.
pub const LIST_PERIOD: Duration = Duration::from_secs(2);

/// The same while a segment is held, as nothing else shows that its engine died.
pub const HELD_LIST_PERIOD: Duration = Duration::from_millis(500);

/// Delay before another try to stop a run or to reach the backend server.
pub const RETRY_DELAY: Duration = Duration::from_millis(300);

/// A backend server that refuses connections for this long is considered dead.
pub const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a reservation may still be started after the backend server began to leave.
pub const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// How long after its announcement expired a backend server is considered frozen. Repeatable
/// runs on it are then stopped, so that they can run elsewhere.
pub const FROZEN_TIMEOUT: Duration = Duration::from_secs(2);

/// How long failure replies after a crash are withheld for the quorum to record it.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Retry-after time of a rejection for lack of capacity.
pub const CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Why work is refused in a pause that the backend server asked for.
const PAUSED: &str = "the backend server asked for a pause";

/// Number of an entry's stream, assigned by the driver.
pub type Stream = u64;

/// The backend server as it announces itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Changes with each start of the backend server.
    pub incarnation: id::Incarnation,
    pub kind: member::Kind,
    /// Models loaded.
    pub models: Vec<String>,
    pub capacity: capacity::Capacity,
    /// How long the announcement is valid.
    pub ttl: Duration,
    /// Whether it asks for a drain.
    pub leaving: bool,
}

/// A run as the engine lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    pub id: String,
    /// KV memory in use, in tokens.
    pub memory: u64,
    /// Whether it is still running.
    pub live: bool,
}

/// A KV segment as the engine lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    pub handle: String,
    /// The attempt that owns it.
    pub owner: String,
    /// KV memory in use, in tokens.
    pub tokens: u64,
}

/// Input of the ledger.
#[derive(Clone, Debug)]
pub enum Event {
    /// Sent every [`TICK`].
    Tick,
    /// The backend server announced itself.
    Announced(Backend),
    /// The engine's speed: prefill tokens per second, microseconds per output token.
    Measured(u64, u64),
    /// An offer; its body follows.
    Offer(Stream, Box<run::Offer>),
    /// The body of an offer was received in full.
    BodyReceived(id::Attempt),
    /// A call other than an offer or its body.
    Call(Stream, run::Call),
    /// An entry's stream ended or failed.
    Closed(Stream),
    /// The first token or the head of a response was received.
    FirstOutput(id::Attempt),
    /// The engine holds the segment.
    Held(id::Attempt),
    /// The backend server rejected the run or could not be reached: it was not run.
    Rejected(id::Attempt, Cause),
    /// The backend server asked to be started nothing for this time.
    Paused(Duration),
    /// The backend server ended the run with `Done` or `Failed`.
    Ended(run::Reply),
    /// The stream from the backend server broke; the run may go on.
    Disconnected(id::Attempt),
    /// The backend server does not know the run.
    NotFound(id::Attempt),
    /// The backend server no longer holds this run.
    Stopped(String),
    /// The backend server refused a connection.
    Unreachable,
    /// The engine's list of runs and KV segments.
    List {
        /// Incarnation of the engine.
        incarnation: id::Incarnation,
        /// All runs that it holds, ended ones included.
        runs: Vec<Listed>,
        /// All KV segments that it holds.
        segments: Vec<Segment>,
    },
    /// The quorum has recorded the last crash.
    CrashReported,
    /// This process is draining.
    Drain,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a reply on a stream.
    Reply(Stream, run::Reply),
    /// Send the response of an attempt on a stream, from this offset on.
    Attach(Stream, id::Attempt, u64),
    /// Start the run on the backend server.
    Run(id::Attempt),
    /// Prefill the segment on the engine, after these earlier segments.
    Hold(id::Attempt, Vec<run::Context>),
    /// Stop the prefill of a segment and free it. [`Event::Stopped`] follows when the engine no
    /// longer holds any of the attempt's memory.
    Release(id::Attempt),
    /// Reopen the run's stream from the engine. The offset is used if no part of the response is
    /// kept.
    Resume(id::Attempt, u64),
    /// Stop a run. [`Event::Stopped`] follows when the backend server no longer holds it.
    Stop(String),
    /// Send the final reply of an attempt to all streams attached to it.
    End(run::Reply),
    /// Drop the response of an attempt.
    Discard(id::Attempt),
    /// Free a KV segment.
    FreeSegment(String),
    /// Read the engine's list of runs and segments.
    List,
    /// Announce the backend server to all entries without delay.
    Announce,
    /// Report a crash to the quorum.
    Crash {
        /// The incarnation that crashed.
        engine: id::Incarnation,
        /// Requests that were running on it.
        running: Vec<id::Fingerprint>,
    },
    /// A request completed here: clear its fingerprint if it is a suspect.
    ClearSuspect(id::Fingerprint),
}

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Its body is being received.
    ReceivingBody,
    /// It has its reservation and waits for its start.
    Reserved,
    /// It was sent to the backend server.
    Running,
    /// The backend server does not know it. Its list tells whether it restarted or lost the run by
    /// itself. Without a list by this time the run is considered lost.
    Missing(Duration),
    /// The backend server died. The final reply is withheld until the quorum has recorded the
    /// crash, at most until this time.
    Failing(Duration),
    /// The final reply was sent and the run is being stopped. The next try is due at this time.
    Stopping(Duration),
}

/// An attempt in progress.
#[derive(Clone, Debug)]
struct Record {
    /// `None`: taken over from an earlier incarnation of the sidecar.
    fingerprint: Option<id::Fingerprint>,
    suspect: bool,
    class: run::Class,
    priority: u8,
    repeatable: bool,
    /// Whether it starts as soon as its body is received, without a start call.
    start: bool,
    prompt_tokens: u64,
    /// Number of the first token that the run produces.
    first_token: u64,
    /// Tokens reserved.
    cost: u64,
    deadline: Duration,
    phase: Phase,
    /// The entry's stream that it is attached to.
    stream: Option<Stream>,
    /// When it lost its stream; `None` while attached.
    detached_at: Option<Duration>,
    /// When to reopen the engine's stream.
    resume_at: Option<Duration>,
    /// Whether its prefill has ended.
    prefilled: bool,
    /// Its role in a prompt that is larger than one engine.
    role: segment::Role,
}

/// A query for an attempt of an earlier incarnation; it waits for the engine's list.
#[derive(Clone, Copy, Debug)]
struct Query {
    stream: Stream,
    attempt: id::Attempt,
    offset: u64,
}

/// Attempts, tombstones and kept responses of one backend server.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// Incarnation of the sidecar. Offers to another one are rejected.
    incarnation: id::Incarnation,
    backend: Option<Backend>,
    /// When the announcement expires.
    valid_until: Duration,
    /// Latest incarnation of the backend server whose death was handled. Invariant: no attempt
    /// runs in it.
    last_dead: Option<id::Incarnation>,
    draining: bool,
    /// Since when no new work is admitted.
    leaving_since: Option<Duration>,
    /// Ordered, so that equal ledgers return equal actions.
    records: BTreeMap<id::Attempt, Record>,
    /// Attempts whose response is kept for queries, with its expiry. Invariant: each has a
    /// tombstone.
    kept_responses: BTreeMap<id::Attempt, Duration>,
    tombstones: tombstone::Tombstones,
    /// Runs and segments on the engine without a record here: when first listed, and their memory.
    orphans: BTreeMap<String, (Duration, u64)>,
    /// Ended runs in the last list without a record here. The engine still has their responses.
    ended_orphans: BTreeSet<String>,
    /// Queries that wait for the first list.
    pending_queries: Vec<Query>,
    /// Whether the engine's list was read since this process started.
    has_list: bool,
    list_due: Duration,
    /// Since when the backend server has refused connections.
    unreachable_since: Option<Duration>,
    /// Fingerprints of runs that were lost before it was known whether the backend server died.
    /// Up to the given time they are included in the report of a crash.
    lost_runs: Vec<(Duration, id::Fingerprint)>,
    /// Until when the backend server is started nothing, as it asked. Holds for its present
    /// incarnation.
    paused_until: Duration,
    /// Prefill tokens per second, microseconds per output token.
    speed: (u64, u64),
}

impl Ledger {
    /// An empty ledger for this incarnation of the sidecar.
    pub fn new(incarnation: id::Incarnation, max_tombstones: usize) -> Self {
        Self {
            incarnation,
            backend: None,
            valid_until: Duration::ZERO,
            last_dead: None,
            draining: false,
            leaving_since: None,
            records: BTreeMap::new(),
            kept_responses: BTreeMap::new(),
            tombstones: tombstone::Tombstones::new(max_tombstones),
            orphans: BTreeMap::new(),
            ended_orphans: BTreeSet::new(),
            pending_queries: Vec::new(),
            has_list: false,
            list_due: Duration::ZERO,
            unreachable_since: None,
            lost_runs: Vec::new(),
            paused_until: Duration::ZERO,
            speed: (0, 0),
        }
    }

    /// Applies an event and returns the actions to perform.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.tombstones.tick(now);
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Announced(backend) => self.announced(now, backend, &mut out),
            Event::Measured(prefill, token) => self.speed = (prefill, token),
            Event::Offer(stream, offer) => self.offer(now, stream, &offer, &mut out),
            Event::BodyReceived(attempt) => self.body_received(now, attempt, &mut out),
            Event::Call(stream, call) => self.call(now, stream, call, &mut out),
            Event::Closed(stream) => self.closed(now, stream, &mut out),
            Event::FirstOutput(attempt) => {
                if let Some(record) = self.records.get_mut(&attempt) {
                    record.prefilled = true;
                }
                self.unreachable_since = None;
            }
            Event::Held(attempt) => self.held(attempt),
            Event::Rejected(attempt, cause) => self.rejected(now, attempt, cause, &mut out),
            Event::Paused(time) => self.paused_until = self.paused_until.max(now + time),
            Event::Ended(reply) => self.ended(now, reply, &mut out),
            Event::Disconnected(attempt) => self.disconnected(now, attempt, &mut out),
            Event::NotFound(attempt) => self.not_found(now, attempt, &mut out),
            Event::Stopped(run) => self.stopped(now, &run),
            Event::Unreachable => self.unreachable(now, &mut out),
            Event::List {
                incarnation,
                runs,
                segments,
            } => self.list(now, incarnation, &runs, &segments, &mut out),
            Event::CrashReported => self.crash_reported(now, &mut out),
            Event::Drain => {
                if !self.draining {
                    self.draining = true;
                    out.push(Action::Announce);
                }
            }
        }
        self.leaving_since = self.leaving().then(|| self.leaving_since.unwrap_or(now));
        out
    }

    /// The exact load, from reservations and runs.
    pub fn load(&self) -> member::Load {
        let capacity = self.backend.as_ref().map(|backend| backend.capacity);
        let capacity = capacity.unwrap_or_default();
        let mut load = member::Load {
            slots: capacity.slots,
            memory_tokens: capacity.memory,
            prefill_rate: self.speed.0,
            token_micros: self.speed.1,
            used_tokens: self.orphans.values().map(|(_, memory)| memory).sum(),
            ..member::Load::default()
        };
        for record in self.records.values() {
            load.used_tokens += record.cost;
            if !record.takes_slot() {
                continue;
            }
            match record.phase {
                Phase::ReceivingBody | Phase::Reserved => load.reserved += 1,
                Phase::Running | Phase::Missing(_) | Phase::Failing(_) | Phase::Stopping(_) => {
                    load.running += 1;
                }
            }
            if record.prefilled
                || record.awaits_hold()
                || matches!(record.phase, Phase::Failing(_) | Phase::Stopping(_))
            {
                continue;
            }
            load.all_ahead += record.prompt_tokens;
            load.long += u32::from(record.class == run::Class::Long);
            let class = run::Class::at(record.priority);
            if class != run::Class::Long {
                load.medium_ahead += record.prompt_tokens;
            }
            if class == run::Class::Short {
                load.short_ahead += record.prompt_tokens;
            }
        }
        load
    }

    /// The backend server, while its announcement is valid and it accepts connections.
    pub fn present(&self, now: Duration) -> Option<&Backend> {
        self.backend.as_ref().filter(|backend| {
            now < self.valid_until
                && self.unreachable_since.is_none()
                && self.last_dead != Some(backend.incarnation)
        })
    }

    /// Time left of a pause that the backend server asked for.
    fn pause_left(&self, now: Duration) -> Option<Duration> {
        (now < self.paused_until).then(|| self.paused_until.saturating_sub(now))
    }

    /// Whether no new work is admitted.
    pub fn leaving(&self) -> bool {
        self.draining || self.backend.as_ref().is_some_and(|backend| backend.leaving)
    }

    /// Number of attempts in progress, those being stopped included.
    pub fn in_progress(&self) -> usize {
        self.records.len()
    }

    /// Whether an attempt is in progress or its response is kept.
    pub fn contains(&self, attempt: id::Attempt) -> bool {
        self.records.contains_key(&attempt) || self.kept_responses.contains_key(&attempt)
    }

    /// Number of tombstones, for metrics.
    pub fn tombstones(&self) -> usize {
        self.tombstones.len()
    }

    fn is_plain(&self) -> bool {
        self.backend
            .as_ref()
            .is_some_and(|backend| backend.kind == member::Kind::Plain)
    }

    /// Whether there is a tombstone left for one more attempt.
    fn has_capacity(&self) -> bool {
        self.tombstones.has_capacity(self.records.len())
    }

    /// Removes an attempt that was in progress: frees its reservation and leaves a tombstone.
    fn remove(&mut self, attempt: id::Attempt, ran: Ran) -> Option<Record> {
        let record = self.records.remove(&attempt)?;
        self.tombstones.insert(attempt, ran);
        Some(record)
    }

    /// Removes an attempt that was started, and keeps its response for queries.
    fn finish(&mut self, now: Duration, attempt: id::Attempt, ran: Ran) -> Option<Record> {
        let record = self.remove(attempt, ran)?;
        self.kept_responses.insert(attempt, now + RESPONSE_TTL);
        Some(record)
    }

    fn rejection(&self, attempt: id::Attempt, cause: Cause, message: &str) -> run::Reply {
        let retry = CAPACITY_RETRY_AFTER.as_millis() as u64;
        run::Reply::Refused {
            attempt,
            failure: outcome::Failure::not_run(cause, Some(retry), message),
            load: self.load(),
        }
    }
}

/// Sets when to return after a pause of the backend server that ends after `left`.
fn return_after(mut reply: run::Reply, left: Option<Duration>) -> run::Reply {
    if let Some(left) = left
        && let run::Reply::Refused { failure, .. } | run::Reply::Failed { failure, .. } = &mut reply
        && let Some(retry_after) = &mut failure.retry_after_ms
    {
        *retry_after = (*retry_after).max(left.as_millis() as u64);
    }
    reply
}

/// The final reply of an attempt that failed.
fn failure_reply(attempt: id::Attempt, cause: Cause, ran: Ran, message: &str) -> run::Reply {
    let retry = (ran == Ran::NotRun).then_some(CAPACITY_RETRY_AFTER.as_millis() as u64);
    run::Reply::Failed {
        attempt,
        failure: outcome::Failure {
            cause,
            ran,
            retry_after_ms: retry,
            message: message.to_owned(),
        },
    }
}

/// The attempt that a run's id names; `None` if the id has another format.
fn parse_run(run: &str) -> Option<id::Attempt> {
    let (request, number) = run.split_once('.')?;
    Some(id::Attempt {
        request: id::Request(u128::from_str_radix(request, 16).ok()?),
        number: number.parse().ok()?,
    })
}
