//! Load of the backend servers: exact for the requests of this entry, as last reported for those of
//! other entries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::backlog::Backlog;
use super::deadline;
use super::register;
use super::subset;
use crate::wire::id;

/// How long a report from another entry stays valid. Entries report every half second.
const REPORT_TTL: Duration = Duration::from_millis(2_500);

/// Share of an overdue read that still counts as backlog. A read that takes longer than predicted
/// usually goes on for a while, and a server that looks idle would attract all new requests.
const OVERDUE_SHARE: f64 = 0.5;

/// How long past its predicted end, besides its own length, a read counts as overdue. After that
/// its answer is more likely lost than late, and no request should wait for it.
const OVERDUE_SLACK: Duration = Duration::from_millis(300);

/// How long a report of waiting prompts stays valid. An entry reports every 0.4 s while prompts
/// wait there, and a crashed entry blocks others no longer than this.
const WAITING_TTL: Duration = Duration::from_millis(900);

/// Longest gap between events, in milliseconds, that makes a gap limit tight: where an answer with
/// such a limit is written, long prompts should not be read.
pub const TIGHT_GAP_MS: u32 = 400;

/// Most ranks of waiting prompts in a report.
const MAX_REPORTED_RANKS: usize = 4;

/// How long a server stays in the reports after the last request there, so that later reports make
/// up for a lost one.
const REPORTED_AFTER_USE: Duration = Duration::from_secs(3);

key! {
    /// Handle of a request in a [`Table`].
    pub struct Ticket(pub u64);
}

data! {
    /// Load that one entry puts on one backend server.
    #[derive(Copy, Default)]
    pub struct Load {
        /// Key of the server, see [`server_key`].
        pub server: u64,
        /// Requests without a first event yet, and calls to plain services.
        pub readers: u32,
        /// Requests whose answer is being written.
        pub writers: u32,
        /// Reading time in milliseconds of all requests without a first event, including segments
        /// of prompts that other servers answer. An upper bound of what is left to read.
        pub read_ms: u32,
        /// Tokens of context of the requests being written.
        pub context: u64,
        /// Tokens of memory that are or will be taken.
        pub memory: u64,
        /// Smallest gap limit, in milliseconds, of the requests that are or will be written. 0:
        /// none.
        pub bound_ms: u32,
        /// Total milliseconds of reading that the entry has given the server. Receivers use only
        /// its growth, so the next datagram makes up for a lost one.
        pub given_ms: i64,
        /// Long prompts with a segment to read here, except those overdue for so long that their
        /// answers count as lost.
        pub long: u32,
        /// Part of `read_ms` whose predicted end has passed.
        pub overdue_ms: u32,
        /// Milliseconds until the server has read all that all entries gave it.
        pub backlog_ms: u32,
        /// Requests with a tight gap limit that are or will be written here, see
        /// [`TIGHT_GAP_MS`].
        pub tight: u32,
        /// Milliseconds of reading given recently by all entries, decayed by age: see
        /// [`super::backlog`].
        pub lately_ms: u32,
    }
}

/// Short key of one instance of a backend server, as used in datagrams.
pub fn server_key(life: &register::Instance) -> u64 {
    key(&life.to_string())
}

/// Hashes a text to an evenly distributed key.
pub fn key(text: &str) -> u64 {
    let hash = blake3::hash(text.as_bytes());
    let mut out = [0; 8];
    out.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(out)
}

/// A segment of a prompt, read by one server.
#[derive(Clone, Copy, Debug)]
pub struct Segment {
    /// Key of the server, see [`server_key`].
    pub server: u64,
    /// Reading time in milliseconds.
    pub read_ms: f64,
    /// Tokens of memory that it takes there.
    pub memory: u64,
}

/// What a request takes from backend servers.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Segments of its prompt. The first is read by the server that writes the answer.
    pub segments: Vec<Segment>,
    /// Length of the prompt in tokens.
    pub prompt: u64,
    /// Expected length of the answer in tokens.
    pub answer: u64,
    /// Longest allowed gap between events in milliseconds. 0: no limit.
    pub bound_ms: u32,
    /// Whether the prompt is read in the lane for long prompts.
    pub is_long: bool,
    /// When reading began, and when it is expected to end.
    pub reads: (Duration, Duration),
}

#[derive(Debug)]
struct Run {
    claim: Claim,
    writes: bool,
}

/// Load reported by another entry.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Whether the report is complete; otherwise it holds only what changed.
    pub whole: bool,
    /// At most one for each server.
    pub loads: Vec<Load>,
    /// Ranks of the long prompts that wait for their turn on that entry.
    pub waiting: Vec<u32>,
}

#[derive(Debug)]
struct Received {
    life: id::Incarnation,
    seq: u64,
    at: Duration,
    loads: HashMap<u64, Load>,
    given: HashMap<u64, i64>,
    /// Ranks of the long prompts that wait for their turn on that entry.
    waiting: Vec<u32>,
}

/// Total work that this entry has given a server, and when it last did.
#[derive(Clone, Copy, Debug, Default)]
struct Given {
    ms: f64,
    at: Duration,
}

/// Load of the backend servers, by the entry that puts it there.
#[derive(Debug, Default)]
pub struct Table {
    next: u64,
    own: HashMap<Ticket, Run>,
    reports: HashMap<SocketAddr, Received>,
    backlogs: HashMap<u64, Backlog>,
    given: HashMap<u64, Given>,
    /// Ranks of the long prompts of this entry that wait for their turn.
    waiting: HashMap<Ticket, u32>,
}

impl Table {
    /// Adds a long prompt to those that wait for their turn, or updates its rank. The lowest rank
    /// goes first.
    pub fn enqueue(&mut self, ticket: Option<Ticket>, rank: u32) -> Ticket {
        let ticket = ticket.unwrap_or_else(|| {
            self.next += 1;
            Ticket(self.next)
        });
        self.waiting.insert(ticket, rank);
        ticket
    }

    /// Updates the rank of a prompt that waits for its turn. One that no longer waits stays out.
    pub fn update_rank(&mut self, ticket: Ticket, rank: u32) {
        if let Some(known) = self.waiting.get_mut(&ticket) {
            *known = rank;
        }
    }

    /// Removes a prompt from those that wait for their turn.
    pub fn dequeue(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Whether no other waiting prompt, on any entry, has a lower rank than `rank`.
    pub fn is_first(&self, now: Duration, ticket: Ticket, rank: u32) -> bool {
        let own = self
            .waiting
            .iter()
            .filter(|(waiting, _)| **waiting != ticket);
        let own = own.map(|(_, rank)| *rank);
        own.chain(self.ranks_elsewhere(now))
            .all(|other| rank <= other)
    }

    /// Number of waiting prompts, on any entry, that have a lower rank than `rank`.
    pub fn ahead(&self, now: Duration, rank: u32) -> usize {
        let own = self.waiting.values().copied();
        let all = own.chain(self.ranks_elsewhere(now));
        all.filter(|other| *other < rank).count()
    }

    /// Milliseconds that the waiting prompts with a lower rank than `rank`, on any entry, take to read
    /// on one server, as far as they are reported.
    pub fn work_ahead(&self, now: Duration, rank: u32) -> f64 {
        let own = self.waiting.values().copied();
        let all = own.chain(self.ranks_elsewhere(now));
        let ahead = all.filter(|other| *other < rank);
        ahead.map(deadline::rank_work_ms).sum()
    }

    /// Number of long prompts that wait for their turn on any entry, as far as they are reported.
    pub fn waiting_count(&self, now: Duration) -> usize {
        self.waiting.len() + self.ranks_elsewhere(now).count()
    }

    /// Whether a long prompt waits for its turn on any entry.
    pub fn has_waiting(&self, now: Duration) -> bool {
        !self.waiting.is_empty() || self.ranks_elsewhere(now).next().is_some()
    }

    /// Lowest ranks of the long prompts that wait on this entry, in ascending order.
    pub fn waiting_ranks(&self) -> Vec<u32> {
        let mut ranks: Vec<u32> = self.waiting.values().copied().collect();
        ranks.sort_unstable();
        ranks.truncate(MAX_REPORTED_RANKS);
        ranks
    }

    fn ranks_elsewhere(&self, now: Duration) -> impl Iterator<Item = u32> {
        let valid = self.reports.values();
        let valid = valid.filter(move |report| now < report.at + WAITING_TTL);
        valid.flat_map(|report| report.waiting.iter().copied())
    }

    /// Adds a request and the work it gives its servers.
    pub fn insert(&mut self, now: Duration, claim: Claim) -> Ticket {
        for segment in &claim.segments {
            self.give(now, segment.server, segment.read_ms);
        }
        self.next += 1;
        let ticket = Ticket(self.next);
        let writes = false;
        self.own.insert(ticket, Run { claim, writes });
        ticket
    }

    /// Marks the prompt of a request as read: its first event has come.
    pub fn start_writing(&mut self, ticket: Ticket) {
        if let Some(run) = self.own.get_mut(&ticket) {
            run.writes = true;
        }
    }

    /// Removes a request that has ended. What is left unread of its prompt no longer counts as
    /// work.
    pub fn remove(&mut self, now: Duration, ticket: Ticket) {
        let Some(run) = self.own.remove(&ticket) else {
            return;
        };
        let (begins, ends) = run.claim.reads;
        if run.writes || now >= ends {
            return;
        }
        let span = ends.saturating_sub(begins).as_secs_f64();
        let left = ends.saturating_sub(now.max(begins)).as_secs_f64();
        for segment in &run.claim.segments {
            self.give(
                now,
                segment.server,
                -segment.read_ms * (left / span.max(1e-6)),
            );
        }
    }

    fn give(&mut self, now: Duration, server: u64, ms: f64) {
        self.backlogs.entry(server).or_default().add(now, ms);
        let given = self.given.entry(server).or_default();
        given.ms += ms;
        given.at = now;
    }

    /// Number of requests on this entry.
    pub fn len(&self) -> usize {
        self.own.len()
    }

    /// Whether this entry has no requests.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty()
    }

    /// Stores a report from another entry, unless a later one is known.
    pub fn apply(
        &mut self,
        now: Duration,
        from: SocketAddr,
        life: id::Incarnation,
        seq: u64,
        report: Report,
    ) {
        let Report {
            whole,
            loads,
            waiting,
        } = report;
        if let Some(last) = self.reports.get(&from)
            && last.life == life
            && last.seq >= seq
        {
            return;
        }
        let last = self.reports.remove(&from).filter(|last| last.life == life);
        let (mut last_given, mut known_loads) = match last {
            Some(last) => (Some(last.given), last.loads),
            None => (None, HashMap::new()),
        };
        if whole {
            known_loads.clear();
        }
        for load in &loads {
            let known = last_given
                .as_mut()
                .map(|given| given.insert(load.server, load.given_ms));
            let growth = match known {
                Some(Some(known)) => (load.given_ms - known) as f64,
                // The first report on this server: what it has to read now.
                _ => f64::from(load.read_ms),
            };
            if growth != 0.0 {
                self.backlogs
                    .entry(load.server)
                    .or_default()
                    .add(now, growth);
            }
        }
        let given = last_given.unwrap_or_else(|| {
            let given = loads.iter().map(|load| (load.server, load.given_ms));
            given.collect()
        });
        known_loads.extend(loads.into_iter().map(|load| (load.server, load)));
        let received = Received {
            life,
            seq,
            at: now,
            loads: known_loads,
            given,
            waiting,
        };
        self.reports.insert(from, received);
    }

    /// Load that this entry puts on each server.
    pub fn own_loads(&self, now: Duration) -> Vec<Load> {
        let mut out: HashMap<u64, Load> = HashMap::new();
        for run in self.own.values() {
            for (at, segment) in run.claim.segments.iter().enumerate() {
                let load = out.entry(segment.server).or_insert(Load {
                    server: segment.server,
                    ..Load::default()
                });
                add(load, now, run, segment, at == 0);
            }
        }
        for (server, given) in &self.given {
            if out.contains_key(server) || now < given.at + REPORTED_AFTER_USE {
                let load = out.entry(*server).or_insert(Load {
                    server: *server,
                    ..Load::default()
                });
                load.given_ms = given.ms as i64;
            }
        }
        out.into_values().collect()
    }

    /// Load to report for a server on which this entry has no requests any more.
    pub fn idle_load(&self, server: u64) -> Load {
        let given = self.given.get(&server);
        Load {
            server,
            given_ms: given.map_or(0, |given| given.ms as i64),
            ..Load::default()
        }
    }

    /// Load that all entries put on each server.
    pub fn view(&mut self, now: Duration) -> HashMap<u64, Load> {
        self.view_subset(now, subset::Subset::WHOLE)
    }

    /// The same for the servers of one subset.
    pub fn view_subset(&mut self, now: Duration, subset: subset::Subset) -> HashMap<u64, Load> {
        let own = self.own_loads(now).into_iter();
        let own = own.filter(|load| subset.contains(load.server));
        let mut out: HashMap<u64, Load> = own.map(|load| (load.server, load)).collect();
        for report in self.reports.values() {
            let age = now.saturating_sub(report.at);
            if age > REPORT_TTL {
                continue;
            }
            let loads = report.loads.values();
            for load in loads.filter(|load| subset.contains(load.server)) {
                let sum = out.entry(load.server).or_insert(Load {
                    server: load.server,
                    ..Load::default()
                });
                merge(sum, load);
            }
        }
        for load in out.values_mut() {
            let Some(backlog) = self.backlogs.get_mut(&load.server) else {
                continue;
            };
            // Corrects the backlog for work that was cancelled or done sooner than expected.
            let left_ms = backlog.limit(now, f64::from(load.read_ms));
            load.lately_ms = backlog.recent(now) as u32;
            let overdue_ms = f64::from(load.overdue_ms) * OVERDUE_SHARE;
            load.backlog_ms = left_ms.max(overdue_ms) as u32;
        }
        out
    }
}

fn add(load: &mut Load, now: Duration, run: &Run, segment: &Segment, is_writer: bool) {
    let claim = &run.claim;
    if !run.writes {
        load.read_ms += segment.read_ms.ceil() as u32;
        let slack = Duration::from_secs_f64(segment.read_ms / 1e3) + OVERDUE_SLACK;
        let is_awaited = now < claim.reads.1 + slack;
        load.long += u32::from(claim.is_long && is_awaited);
        if now > claim.reads.1 && is_awaited {
            load.overdue_ms += segment.read_ms.ceil() as u32;
        }
    }
    load.memory += segment.memory;
    if !is_writer {
        return;
    }
    if run.writes {
        load.writers += 1;
        load.context += claim.prompt + claim.answer / 2;
    } else {
        load.readers += 1;
    }
    if claim.bound_ms > 0 {
        load.bound_ms = min_limit(load.bound_ms, claim.bound_ms);
        load.tight += u32::from(claim.bound_ms <= TIGHT_GAP_MS);
    }
}

fn merge(sum: &mut Load, load: &Load) {
    sum.readers += load.readers;
    sum.writers += load.writers;
    sum.read_ms += load.read_ms;
    sum.overdue_ms += load.overdue_ms;
    sum.long += load.long;
    sum.context += load.context;
    sum.memory += load.memory;
    sum.tight += load.tight;
    sum.bound_ms = min_limit(sum.bound_ms, load.bound_ms);
}

/// The smaller of two limits, where 0 means none.
fn min_limit(one: u32, other: u32) -> u32 {
    match (one, other) {
        (0, bound) | (bound, 0) => bound,
        (one, other) => one.min(other),
    }
}
