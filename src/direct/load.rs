//! What runs where: this entry's own requests exactly, those of other entries as they last told.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::backlog::Backlog;
use super::register;
use super::subset;
use crate::wire::id;

/// How long the word of another entry counts. Entries speak up each half second.
const HOLDS: Duration = Duration::from_millis(2_500);

/// Segment of a read that is taken to be left once it should have ended: what takes longer than
/// predicted goes on for a while, and a server that looks free would draw all that comes.
const OVERDUE_PART: f64 = 0.5;

/// How long, besides its own length, a read counts as overdue. Later its answer is more likely
/// lost than late, and nothing should wait for it.
const OVERDUE_SLACK: Duration = Duration::from_millis(300);

/// How long the word of another entry on who waits there counts; it speaks up each 0.4 s while
/// somebody does. An entry that has died holds nobody up for longer.
const WAIT_HOLDS: Duration = Duration::from_millis(900);

/// A pause in milliseconds at or below which a writer is in the way of long prompts.
pub const TIGHT_PAUSE_MS: u32 = 400;

/// Ranks told to others.
const MOST_WAITING: usize = 4;

/// How long a server stays in what an entry tells after its last request there: a count that was
/// told once and got lost is told again.
const TOLD_ON: Duration = Duration::from_secs(3);

key! {
    /// A request on this entry.
    pub struct Ticket(pub u64);
}

data! {
    /// What one entry has running at one backend server.
    #[derive(Copy, Default)]
    pub struct Load {
        /// The server, see [`server_key`].
        pub server: u64,
        /// Requests that wait for their first event, or are plain.
        pub readers: u32,
        /// Requests that write.
        pub writers: u32,
        /// Milliseconds of reading of all who wait for their first event, segments of other
        /// servers' prompts among them. What is left to read is no more than that.
        pub read_ms: u32,
        /// Tokens of context of those who write.
        pub context: u64,
        /// Tokens of memory taken or to be taken.
        pub memory: u64,
        /// Tightest pause in milliseconds of those who write or will. 0: none.
        pub bound_ms: u32,
        /// Milliseconds of work that the entry has ever given the server to read. Only its
        /// growth counts, so a datagram that is lost is made up for by the next.
        pub given_ms: i64,
        /// Long prompts whose segments are to be read there, and that are not overdue for so long
        /// that their answers count as lost.
        pub long: u32,
        /// Of `read_ms`, what should have been read by now.
        pub overdue_ms: u32,
        /// Milliseconds until all work given to the server is read, by all entries.
        pub backlog_ms: u32,
        /// Requests with tight pauses that write there, or will: see [`TIGHT_PAUSE_MS`].
        pub tight: u32,
        /// Milliseconds of work given to the server lately, by all entries, older work counting
        /// less: see [`super::backlog`].
        pub lately_ms: u32,
    }
}

/// Short name of a backend server's life in datagrams.
pub fn server_key(life: &register::Instance) -> u64 {
    key(&life.to_string())
}

/// A short name that spreads evenly.
pub fn key(text: &str) -> u64 {
    let hash = blake3::hash(text.as_bytes());
    let mut out = [0; 8];
    out.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(out)
}

/// A part of a prompt that a server reads.
#[derive(Clone, Copy, Debug)]
pub struct Segment {
    /// The server.
    pub server: u64,
    /// Milliseconds of reading.
    pub read_ms: f64,
    /// Tokens of memory that it takes there.
    pub memory: u64,
}

/// A request's claim on servers.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The server that writes. Its part is the first of `segments`.
    pub segments: Vec<Segment>,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Tokens that its answer is expected to have.
    pub answer: u64,
    /// Longest pause between its events in milliseconds. 0: it has none.
    pub bound_ms: u32,
    /// Whether it is read in the lane of long prompts.
    pub is_long: bool,
    /// When its reading began, and is expected to end.
    pub reads: (Duration, Duration),
}

#[derive(Debug)]
struct Run {
    claim: Claim,
    writes: bool,
}

/// What another entry says that it has running.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Whether it is all; else only what changed.
    pub whole: bool,
    /// By server.
    pub loads: Vec<Load>,
    /// Ranks of the long prompts that wait there for their turn.
    pub waiting: Vec<u32>,
}

#[derive(Debug)]
struct Other {
    life: id::Incarnation,
    seq: u64,
    at: Duration,
    loads: HashMap<u64, Load>,
    given: HashMap<u64, i64>,
    /// Ranks of the long prompts that wait there for their turn.
    waiting: Vec<u32>,
}

/// What this entry has given a server in all, and when last.
#[derive(Clone, Copy, Debug, Default)]
struct Given {
    ms: f64,
    at: Duration,
}

/// What runs where.
#[derive(Debug, Default)]
pub struct Table {
    next: u64,
    own: HashMap<Ticket, Run>,
    told: HashMap<SocketAddr, Other>,
    backlogs: HashMap<u64, Backlog>,
    given: HashMap<u64, Given>,
    /// Long prompts of this entry that wait for their turn: their ranks.
    waiting: HashMap<Ticket, u32>,
}

impl Table {
    /// A long prompt waits for its turn with this rank; the lowest goes first.
    pub fn enqueue(&mut self, ticket: Option<Ticket>, rank: u32) -> Ticket {
        let ticket = ticket.unwrap_or_else(|| {
            self.next += 1;
            Ticket(self.next)
        });
        self.waiting.insert(ticket, rank);
        ticket
    }

    /// It waits no more.
    pub fn dequeue(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Whether none that waits anywhere goes before `rank`.
    pub fn is_first(&self, now: Duration, ticket: Ticket, rank: u32) -> bool {
        let own = self.waiting.iter().filter(|(one, _)| **one != ticket);
        let own = own.map(|(_, rank)| *rank);
        own.chain(self.waiting_elsewhere(now))
            .all(|one| rank <= one)
    }

    /// How many of those that wait anywhere go before `rank`.
    pub fn ahead(&self, now: Duration, rank: u32) -> usize {
        let own = self.waiting.values().copied();
        let all = own.chain(self.waiting_elsewhere(now));
        all.filter(|one| *one < rank).count()
    }

    /// Whether a long prompt waits anywhere.
    pub fn has_waiting(&self, now: Duration) -> bool {
        !self.waiting.is_empty() || self.waiting_elsewhere(now).next().is_some()
    }

    /// Ranks of the long prompts that wait here, lowest first, as many as matter.
    pub fn waiting_ranks(&self) -> Vec<u32> {
        let mut ranks: Vec<u32> = self.waiting.values().copied().collect();
        ranks.sort_unstable();
        ranks.truncate(MOST_WAITING);
        ranks
    }

    fn waiting_elsewhere(&self, now: Duration) -> impl Iterator<Item = u32> {
        let told = self.told.values();
        let told = told.filter(move |one| now < one.at + WAIT_HOLDS);
        told.flat_map(|one| one.waiting.iter().copied())
    }

    /// Enters a request.
    pub fn insert(&mut self, now: Duration, claim: Claim) -> Ticket {
        for part in &claim.segments {
            self.give(now, part.server, part.read_ms);
        }
        self.next += 1;
        let ticket = Ticket(self.next);
        let writes = false;
        self.own.insert(ticket, Run { claim, writes });
        ticket
    }

    /// Its first event came: its prompt is read.
    pub fn start_writing(&mut self, ticket: Ticket) {
        if let Some(run) = self.own.get_mut(&ticket) {
            run.writes = true;
        }
    }

    /// It has ended. What it leaves unread is work no more.
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
        for part in &run.claim.segments {
            self.give(now, part.server, -part.read_ms * (left / span.max(1e-6)));
        }
    }

    fn give(&mut self, now: Duration, server: u64, ms: f64) {
        self.backlogs.entry(server).or_default().add(now, ms);
        let given = self.given.entry(server).or_default();
        given.ms += ms;
        given.at = now;
    }

    /// Requests of this entry.
    pub fn len(&self) -> usize {
        self.own.len()
    }

    /// Whether this entry has none.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty()
    }

    /// What another entry has running.
    pub fn apply(
        &mut self,
        now: Duration,
        from: SocketAddr,
        life: id::Incarnation,
        seq: u64,
        news: Report,
    ) {
        let Report {
            whole,
            loads,
            waiting,
        } = news;
        if let Some(told) = self.told.get(&from)
            && told.life == life
            && told.seq >= seq
        {
            return;
        }
        let before = self.told.remove(&from).filter(|one| one.life == life);
        let (mut before, mut held) = match before {
            Some(one) => (Some(one.given), one.loads),
            None => (None, HashMap::new()),
        };
        if whole {
            held.clear();
        }
        for load in &loads {
            let known = before
                .as_mut()
                .map(|one| one.insert(load.server, load.given_ms));
            let grown = match known {
                Some(Some(known)) => (load.given_ms - known) as f64,
                // The first word on this server: what it has to read now.
                _ => f64::from(load.read_ms),
            };
            if grown != 0.0 {
                self.backlogs
                    .entry(load.server)
                    .or_default()
                    .add(now, grown);
            }
        }
        let given = before.unwrap_or_else(|| {
            let given = loads.iter().map(|one| (one.server, one.given_ms));
            given.collect()
        });
        held.extend(loads.into_iter().map(|one| (one.server, one)));
        let told = Other {
            life,
            seq,
            at: now,
            loads: held,
            given,
            waiting,
        };
        self.told.insert(from, told);
    }

    /// What this entry has running, by server.
    pub fn own_loads(&self, now: Duration) -> Vec<Load> {
        let mut out: HashMap<u64, Load> = HashMap::new();
        for run in self.own.values() {
            for (at, part) in run.claim.segments.iter().enumerate() {
                let load = out.entry(part.server).or_insert(Load {
                    server: part.server,
                    ..Load::default()
                });
                add(load, now, run, part, at == 0);
            }
        }
        for (server, given) in &self.given {
            if out.contains_key(server) || now < given.at + TOLD_ON {
                let load = out.entry(*server).or_insert(Load {
                    server: *server,
                    ..Load::default()
                });
                load.given_ms = given.ms as i64;
            }
        }
        out.into_values().collect()
    }

    /// What is told of a server at which this entry has nothing running any more.
    pub fn idle_load(&self, server: u64) -> Load {
        let given = self.given.get(&server);
        Load {
            server,
            given_ms: given.map_or(0, |one| one.ms as i64),
            ..Load::default()
        }
    }

    /// All that runs, by server.
    pub fn view(&mut self, now: Duration) -> HashMap<u64, Load> {
        self.view_subset(now, subset::Subset::WHOLE)
    }

    /// All that runs on one part of the fleet, by server.
    pub fn view_subset(&mut self, now: Duration, part: subset::Subset) -> HashMap<u64, Load> {
        let own = self.own_loads(now).into_iter();
        let own = own.filter(|one| part.contains(one.server));
        let mut out: HashMap<u64, Load> = own.map(|one| (one.server, one)).collect();
        for told in self.told.values() {
            let age = now.saturating_sub(told.at);
            if age > HOLDS {
                continue;
            }
            let loads = told.loads.values();
            for load in loads.filter(|one| part.contains(one.server)) {
                let sum = out.entry(load.server).or_insert(Load {
                    server: load.server,
                    ..Load::default()
                });
                join(sum, load);
            }
        }
        for load in out.values_mut() {
            let Some(backlog) = self.backlogs.get_mut(&load.server) else {
                continue;
            };
            // Work that was expected and is done sooner, or was given up, is seen by this.
            let left = backlog.bound(now, f64::from(load.read_ms));
            load.lately_ms = backlog.lately(now) as u32;
            let overdue = f64::from(load.overdue_ms) * OVERDUE_PART;
            load.backlog_ms = left.max(overdue) as u32;
        }
        out
    }
}

fn add(load: &mut Load, now: Duration, run: &Run, part: &Segment, is_first: bool) {
    let claim = &run.claim;
    if !run.writes {
        load.read_ms += part.read_ms.ceil() as u32;
        let slack = Duration::from_secs_f64(part.read_ms / 1e3) + OVERDUE_SLACK;
        let is_awaited = now < claim.reads.1 + slack;
        load.long += u32::from(claim.is_long && is_awaited);
        if now > claim.reads.1 && is_awaited {
            load.overdue_ms += part.read_ms.ceil() as u32;
        }
    }
    load.memory += part.memory;
    if !is_first {
        return;
    }
    if run.writes {
        load.writers += 1;
        load.context += claim.prompt + claim.answer / 2;
    } else {
        load.readers += 1;
    }
    if claim.bound_ms > 0 {
        load.bound_ms = tighter(load.bound_ms, claim.bound_ms);
        load.tight += u32::from(claim.bound_ms <= TIGHT_PAUSE_MS);
    }
}

fn join(sum: &mut Load, load: &Load) {
    sum.readers += load.readers;
    sum.writers += load.writers;
    sum.read_ms += load.read_ms;
    sum.overdue_ms += load.overdue_ms;
    sum.long += load.long;
    sum.context += load.context;
    sum.memory += load.memory;
    sum.tight += load.tight;
    sum.bound_ms = tighter(sum.bound_ms, load.bound_ms);
}

/// The smaller of two bounds, of which 0 means none.
fn tighter(one: u32, other: u32) -> u32 {
    match (one, other) {
        (0, bound) | (bound, 0) => bound,
        (one, other) => one.min(other),
    }
}
