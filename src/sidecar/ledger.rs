//! What runs on the backend server, for whom, and what it holds.
//!
//! A pure state machine. Its driver feeds events in the order in which they came, carries out
//! the actions in order, and sends [`Event::Tick`] every [`TICK`].

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

/// Longest time limit that is honoured; longer ones are cut to it.
pub const MAX_LIMIT: Duration = Duration::from_secs(60 * 60);

/// How long the run of an entry that fell silent waits for its query before it is cancelled.
pub const RESUME_GRACE: Duration = Duration::from_secs(5);

/// How long a finished answer is kept for queries.
pub const KEEP: Duration = Duration::from_secs(10);

/// How long a run that this life does not know may go on before it is cancelled.
pub const ORPHAN_GRACE: Duration = Duration::from_secs(4);

/// Time between two readings of the backend server's list of runs.
pub const LIST_PERIOD: Duration = Duration::from_secs(2);

/// The same while a segment is held: its engine's death shows in nothing else.
pub const HELD_LIST_PERIOD: Duration = Duration::from_millis(500);

/// Time between two tries to stop a run.
pub const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// A backend server that refuses connections for this long is dead.
pub const DEATH_WAIT: Duration = Duration::from_millis(500);

/// How long a reservation made before its backend server was leaving may still be started.
pub const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// How long after its announcement ran out a backend server is taken as frozen: what may run
/// elsewhere is stopped.
pub const FROZEN_WAIT: Duration = Duration::from_secs(2);

/// How long the failures of a crash wait until the quorum knows of it.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// When to come back after a refusal for want of room.
pub const CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Number of an entry's stream, drawn by the driver.
pub type Stream = u64;

/// The backend server as it announces itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Its life.
    pub incarnation: id::Incarnation,
    /// What it is.
    pub kind: member::Kind,
    /// Models loaded.
    pub models: Vec<String>,
    /// What it can hold.
    pub capacity: capacity::Capacity,
    /// How long the announcement is valid.
    pub ttl: Duration,
    /// Asks for a drain.
    pub leaving: bool,
}

/// A run as the engine lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Its id.
    pub id: String,
    /// KV memory that it holds, in tokens.
    pub memory: u64,
    /// Whether it goes on.
    pub live: bool,
}

/// A KV segment as the engine lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Its handle.
    pub handle: String,
    /// The attempt that owns it.
    pub owner: String,
    /// KV memory that it holds, in tokens.
    pub tokens: u64,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The backend server announced itself.
    Announced(Backend),
    /// The engine measured its speed: prefill tokens a second, microseconds a token.
    Measured(u64, u64),
    /// An offer came; its body follows.
    Offer(Stream, Box<run::Offer>),
    /// The body of an offer is whole.
    BodyReceived(id::Attempt),
    /// A call other than an offer and its body came.
    Call(Stream, run::Call),
    /// An entry's stream ended or failed.
    Closed(Stream),
    /// The first token or the head of an answer came.
    FirstOutput(id::Attempt),
    /// The engine holds the segment.
    Held(id::Attempt),
    /// The backend server refused the run, or could not be reached with it: it was not run.
    Rejected(id::Attempt, Cause),
    /// The backend server ended the run with `Done` or `Failed`.
    Ended(run::Reply),
    /// The stream from the backend server was cut; the run may go on.
    Disconnected(id::Attempt),
    /// The backend server does not know the run.
    NotFound(id::Attempt),
    /// The backend server holds no such run any more.
    Stopped(String),
    /// The backend server refused a connection.
    Unreachable,
    /// The engine's list.
    List {
        /// Its life.
        incarnation: id::Incarnation,
        /// Its runs.
        runs: Vec<Listed>,
        /// Its KV segments.
        segments: Vec<Segment>,
    },
    /// The quorum knows of the last crash.
    CrashReported,
    /// This process drains.
    Drain,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send this on a stream.
    Reply(Stream, run::Reply),
    /// Send the answer of this attempt from this offset on, on a stream.
    Attach(Stream, id::Attempt, u64),
    /// Start the run on the backend server.
    Run(id::Attempt),
    /// Prefill the segment on the engine, after these.
    Hold(id::Attempt, Vec<run::Context>),
    /// Stop the prefill of a segment and free it, until the engine says that it holds nothing of
    /// the attempt any more.
    Release(id::Attempt),
    /// Take up the run's stream from the engine again. The offset matters where nothing of the
    /// answer is kept.
    Resume(id::Attempt, u64),
    /// Stop a run, until the backend server says that it holds it no more.
    Stop(String),
    /// Say the final word on an attempt to all streams attached to it.
    End(run::Reply),
    /// Drop the answer of an attempt.
    Discard(id::Attempt),
    /// Free a KV segment.
    FreeSegment(String),
    /// Read the engine's list.
    List,
    /// Announce to all entries at once.
    Announce,
    /// Report a crash to the quorum.
    Crash {
        /// The life that ended.
        engine: id::Incarnation,
        /// What was running.
        running: Vec<id::Fingerprint>,
    },
    /// A repeatable request ran to its end here: clear it if it is a suspect.
    ClearSuspect(id::Fingerprint),
}

/// How far an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Its body is on the way.
    Filling,
    /// It waits for its start.
    Reserved,
    /// It was handed to the backend server.
    Running,
    /// The backend server does not know it: its list tells whether a new life of it does not, or
    /// this one; at this time it is taken as lost.
    Missing(Duration),
    /// The backend server lost it; the final word waits until the quorum knows, or this time.
    Failing(Duration),
    /// The final word was said; it is being stopped. The next try is due at this time.
    Stopping(Duration),
}

/// An attempt in progress.
#[derive(Clone, Debug)]
struct Record {
    /// `None`: taken over from an earlier life of the sidecar.
    fingerprint: Option<id::Fingerprint>,
    suspect: bool,
    class: run::Class,
    priority: u8,
    repeatable: bool,
    /// Folded start.
    start: bool,
    prompt_tokens: u64,
    /// Number of the first token that the run gives.
    first: u64,
    /// Tokens reserved.
    cost: u64,
    deadline: Duration,
    phase: Phase,
    /// The stream that it is attached to.
    stream: Option<Stream>,
    /// Since when it has no stream.
    silent: Option<Duration>,
    /// When to take up the engine's stream again.
    resume: Option<Duration>,
    /// Whether its prefill is over.
    begun: bool,
    /// What it is to prompts larger than one engine.
    role: segment::Role,
}

/// A query of an attempt of an earlier life that waits for the engine's list.
#[derive(Clone, Copy, Debug)]
struct Asked {
    stream: Stream,
    attempt: id::Attempt,
    offset: u64,
}

/// The ledger of one backend server.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// This life of the sidecar.
    life: id::Incarnation,
    backend: Option<Backend>,
    /// Until when the announcement is valid.
    valid: Duration,
    /// The life of the backend server whose end was dealt with. Invariant: nothing runs in it.
    dead: Option<id::Incarnation>,
    draining: bool,
    /// Since when it gets no new work.
    left: Option<Duration>,
    /// In the order of attempts, so that equal ledgers act alike.
    records: BTreeMap<id::Attempt, Record>,
    /// Attempts whose answer is kept for queries, until when. Invariant: each has a tombstone.
    kept: BTreeMap<id::Attempt, Duration>,
    tombstones: tombstone::Tombstones,
    /// Runs and segments that nobody here owns, since when, and their memory.
    orphans: BTreeMap<String, (Duration, u64)>,
    /// Runs that nobody here owns and that ended, as last listed. Their answers are still there.
    ended: BTreeSet<String>,
    /// Queries that wait for the first list of this life.
    asked: Vec<Asked>,
    /// Whether the engine's list was read in this life.
    listed: bool,
    list_due: Duration,
    /// Since when the backend server refuses connections.
    refused: Option<Duration>,
    /// Fingerprints of runs that were lost before it was known whether the backend server died,
    /// until when they count for its crash.
    cut: Vec<(Duration, id::Fingerprint)>,
    /// Prefill tokens a second, microseconds a token.
    speed: (u64, u64),
}

impl Ledger {
    /// The ledger of this life of the sidecar, with nothing in it.
    pub fn new(life: id::Incarnation, max_tombstones: usize) -> Self {
        Self {
            life,
            backend: None,
            valid: Duration::ZERO,
            dead: None,
            draining: false,
            left: None,
            records: BTreeMap::new(),
            kept: BTreeMap::new(),
            tombstones: tombstone::Tombstones::new(max_tombstones),
            orphans: BTreeMap::new(),
            ended: BTreeSet::new(),
            asked: Vec::new(),
            listed: false,
            list_due: Duration::ZERO,
            refused: None,
            cut: Vec::new(),
            speed: (0, 0),
        }
    }

    /// Takes an event.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.tombstones.tick(now);
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Announced(backend) => self.announced(now, backend, &mut out),
            Event::Measured(prefill, token) => self.speed = (prefill, token),
            Event::Offer(stream, offer) => self.offer(now, stream, &offer, &mut out),
            Event::BodyReceived(attempt) => self.filled(now, attempt, &mut out),
            Event::Call(stream, call) => self.call(now, stream, call, &mut out),
            Event::Closed(stream) => self.closed(now, stream, &mut out),
            Event::FirstOutput(attempt) => {
                if let Some(record) = self.records.get_mut(&attempt) {
                    record.begun = true;
                }
                self.refused = None;
            }
            Event::Held(attempt) => self.held(attempt),
            Event::Rejected(attempt, cause) => self.rejected(now, attempt, cause, &mut out),
            Event::Ended(reply) => self.ended(now, reply, &mut out),
            Event::Disconnected(attempt) => self.cut(now, attempt, &mut out),
            Event::NotFound(attempt) => self.vanished(now, attempt, &mut out),
            Event::Stopped(run) => self.stopped(now, &run),
            Event::Unreachable => self.unreachable(now, &mut out),
            Event::List {
                incarnation,
                runs,
                segments,
            } => self.list(now, incarnation, &runs, &segments, &mut out),
            Event::CrashReported => self.reported(now, &mut out),
            Event::Drain => {
                if !self.draining {
                    self.draining = true;
                    out.push(Action::Announce);
                }
            }
        }
        self.left = self.leaving().then(|| self.left.unwrap_or(now));
        out
    }

    /// The exact load.
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
            if !record.has_slot() {
                continue;
            }
            match record.phase {
                Phase::Filling | Phase::Reserved => load.reserved += 1,
                Phase::Running | Phase::Missing(_) | Phase::Failing(_) | Phase::Stopping(_) => {
                    load.running += 1;
                }
            }
            if record.begun
                || record.waits()
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

    /// The backend server, while its announcement is valid and it takes connections.
    pub fn present(&self, now: Duration) -> Option<&Backend> {
        self.backend.as_ref().filter(|backend| {
            now < self.valid && self.refused.is_none() && self.dead != Some(backend.incarnation)
        })
    }

    /// Whether it gets no new work.
    pub fn leaving(&self) -> bool {
        self.draining || self.backend.as_ref().is_some_and(|backend| backend.leaving)
    }

    /// Attempts in progress, those included whose answer an entry has still to take.
    pub fn in_progress(&self) -> usize {
        self.records.len()
    }

    /// Whether anything of an attempt is held here.
    pub fn contains(&self, attempt: id::Attempt) -> bool {
        self.records.contains_key(&attempt) || self.kept.contains_key(&attempt)
    }

    /// Tombstones, for metrics.
    pub fn tombstones(&self) -> usize {
        self.tombstones.len()
    }

    fn is_plain(&self) -> bool {
        self.backend
            .as_ref()
            .is_some_and(|backend| backend.kind == member::Kind::Plain)
    }

    /// Whether a tombstone can be set for one more attempt.
    fn has_capacity(&self) -> bool {
        self.tombstones.has_capacity(self.records.len())
    }

    /// Ends an attempt that was in progress: its room is free, its fate is remembered.
    fn bury(&mut self, attempt: id::Attempt, ran: Ran) -> Option<Record> {
        let record = self.records.remove(&attempt)?;
        self.tombstones.insert(attempt, ran);
        Some(record)
    }

    /// Ends an attempt that was started, and keeps its answer for queries.
    fn finish(&mut self, now: Duration, attempt: id::Attempt, ran: Ran) -> Option<Record> {
        let record = self.bury(attempt, ran)?;
        self.kept.insert(attempt, now + KEEP);
        Some(record)
    }

    fn refusal(&self, attempt: id::Attempt, cause: Cause, message: &str) -> run::Reply {
        let retry = CAPACITY_RETRY_AFTER.as_millis() as u64;
        run::Reply::Refused {
            attempt,
            failure: outcome::Failure::not_run(cause, Some(retry), message),
            load: self.load(),
        }
    }
}

/// The final word on an attempt that failed.
fn failed(attempt: id::Attempt, cause: Cause, ran: Ran, message: &str) -> run::Reply {
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

/// The attempt that a run's id names, if it is one of ours.
fn parse(run: &str) -> Option<id::Attempt> {
    let (request, number) = run.split_once('.')?;
    Some(id::Attempt {
        request: id::Request(u128::from_str_radix(request, 16).ok()?),
        number: number.parse().ok()?,
    })
}
