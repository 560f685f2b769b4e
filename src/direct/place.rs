//! Where a request goes: the first server and those that help it read, chosen by predicting both
//! its own first event and the pauses of those that write there.
//!
//! All costs are in one unit, the share of a usual request's worth that is expected to be lost.

use std::time::Duration;

use super::board;
use super::model;

/// Numbers of servers that a prompt may be split over.
const WIDTHS: [usize; 9] = [1, 2, 3, 4, 6, 8, 10, 13, 17];

/// Part of a pause's bound that a pass may fill: what is known of other entries is some
/// milliseconds old.
const PAUSE_PART: f64 = 0.85;

/// Part of its objective from which a first event is at risk.
const AT_RISK: f64 = 0.6;

/// Share of a request's worth that is lost when it is late.
const LATE: f64 = 0.75;

/// What it costs, for each server besides the first, that any of them may fail the whole.
const HELPER: f64 = 0.004;

/// Cost of another zone: decides between equals.
const ZONE: f64 = 0.003;

/// Cost of using a server of the other lane, for a long prompt a 50 ms of reading.
const OTHER_LANE: f64 = 0.35;

/// Milliseconds of reading at which a long prompt pays [`OTHER_LANE`] once.
const OTHER_LANE_MS: f64 = 50.0;

/// A part of a prompt goes before all that waits at a server, older parts among them. So one
/// that is not much shorter than what is read there waits until that has ended; else the oldest
/// would starve under load (a prompt predicted at 0.7 s took 12 s).
const GOES_BEFORE: f64 = 0.7;

/// Requests with tight pauses that one server of their lane is meant for: at 10 its passes take
/// 1.5 times as long as with one, and five more prompts may come at once within a pause of 250 ms.
const A_SERVER: f64 = 9.0;

/// Fewest servers that are worth two lanes.
const LEAST_LANES: usize = 4;

/// A pause in milliseconds at or below which a writer is in the way of long prompts.
const TIGHT_MS: u32 = 400;

/// A request to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Tokens that its answer is expected to have.
    pub answer: u64,
    /// Time to its first event that is still on time.
    pub aim: Duration,
    /// Longest pause between its events in milliseconds. 0: none.
    pub bound_ms: u32,
}

impl Need {
    /// Whether its pauses are tight.
    fn is_tight(&self) -> bool {
        self.bound_ms > 0 && self.bound_ms <= TIGHT_MS
    }
}

/// A server that may take it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its life.
    pub id: String,
    /// See [`board::server_key`].
    pub key: u64,
    /// Whether it is in this entry's zone.
    pub near: bool,
    /// Requests at once.
    pub slots: u32,
    /// What runs there.
    pub load: board::Load,
    /// Factor by which it is slower than its model.
    pub pace: f64,
    /// Share of its answers that failed lately.
    pub failing: f64,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// Index of the first server.
    pub first: usize,
    /// Indexes of those that help it read.
    pub helpers: Vec<usize>,
    /// Milliseconds until its first event, as predicted.
    pub first_ms: f64,
    /// Milliseconds that each of them reads.
    pub part_ms: f64,
    /// Milliseconds to wait until what is read there has ended.
    pub delay_ms: f64,
    /// Expected loss.
    pub cost: f64,
}

/// Which servers are kept for requests with tight pauses: the first ones in the order of their
/// keys, as many as such requests need. All entries come to about the same, since they see about
/// the same loads.
pub fn lane(servers: &[Server]) -> Vec<bool> {
    let count = servers.len();
    if count < LEAST_LANES {
        return vec![true; count];
    }
    let tight: u32 = servers
        .iter()
        .filter(|one| is_tight(one))
        .map(|one| one.load.readers + one.load.writers)
        .sum();
    let needed = (f64::from(tight) / A_SERVER).ceil() as usize + 1;
    let kept = needed.clamp(2, count - 2);
    let mut order: Vec<usize> = (0..count).collect();
    order.sort_by_key(|at| servers[*at].key);
    let mut lane = vec![false; count];
    for at in &order[..kept] {
        lane[*at] = true;
    }
    lane
}

/// Places a request on engines. `None`: none of them has room.
pub fn engine(engine: &model::Engine, need: &Need, servers: &[Server]) -> Option<Place> {
    let lane = lane(servers);
    let mut best: Option<Place> = None;
    for width in WIDTHS {
        if width > servers.len() {
            break;
        }
        let Some(place) = at_width(engine, need, servers, &lane, width) else {
            continue;
        };
        if best.as_ref().is_none_or(|one| place.cost < one.cost) {
            best = Some(place);
        }
        if need.prompt <= u64::from(engine.chunk) {
            break;
        }
    }
    best
}

/// What a part costs at one server.
struct Part {
    cost: f64,
    delay_ms: f64,
    ready_ms: f64,
    at: usize,
}

fn at_width(
    engine: &model::Engine,
    need: &Need,
    servers: &[Server],
    lane: &[bool],
    width: usize,
) -> Option<Place> {
    let part_ms = engine.read_ms(need.prompt, width);
    let worth = weight(engine, need.prompt);
    let mut parts: Vec<Part> = Vec::with_capacity(servers.len());
    for (at, one) in servers.iter().enumerate() {
        let delay_ms = delay_ms(need, one, part_ms, width);
        let ready_ms = delay_ms + read_ms(engine, need, one, part_ms);
        let far = if one.near { 0.0 } else { ZONE };
        let other = if lane[at] == need.is_tight() {
            0.0
        } else if need.is_tight() {
            OTHER_LANE
        } else {
            OTHER_LANE * (part_ms / OTHER_LANE_MS).max(1.0)
        };
        let cost = harm(engine, one, part_ms, delay_ms)
            + one.failing
            + lateness(ready_ms, need.aim) * worth
            + far
            + other;
        parts.push(Part {
            cost,
            delay_ms,
            ready_ms,
            at,
        });
    }
    parts.sort_by(|one, other| one.cost.total_cmp(&other.cost));
    // The first server is the cheapest to write on; the rest are the cheapest to read on.
    let room = |one: &Part| has_room(engine, need, &servers[one.at]);
    let first = parts
        .iter()
        .filter(|one| room(one))
        .map(|one| (one.cost + crowd(&servers[one.at]), one.at))
        .min_by(|one, other| one.0.total_cmp(&other.0))?
        .1;
    let (own, others): (Vec<Part>, Vec<Part>) = parts.into_iter().partition(|one| one.at == first);
    let helpers = &others[..width - 1];
    let chosen = || own.iter().chain(helpers);
    // All parts begin together, since each goes before what waits at its server.
    let delay_ms = chosen().map(|one| one.delay_ms).fold(0.0, f64::max);
    let read_ms = chosen()
        .map(|one| one.ready_ms - one.delay_ms)
        .fold(0.0, f64::max);
    let load = &servers[first].load;
    let pass_ms = engine.pass_ms(load.writers + 1, load.context + need.prompt);
    let first_ms = delay_ms + read_ms + pass_ms;
    let beside: f64 = chosen()
        .map(|one| one.cost - lateness(one.ready_ms, need.aim) * worth)
        .sum();
    let cost = lateness(first_ms, need.aim) * worth
        + beside
        + crowd(&servers[first])
        + HELPER * (width - 1) as f64;
    Some(Place {
        first,
        helpers: helpers.iter().map(|one| one.at).collect(),
        first_ms,
        part_ms,
        delay_ms,
        cost,
    })
}

/// Whether a request finds a slot and memory at a server.
fn has_room(engine: &model::Engine, need: &Need, server: &Server) -> bool {
    let taken = server.load.readers + server.load.writers;
    let memory = server.load.memory + need.prompt + need.answer;
    taken < server.slots && memory <= engine.memory_tokens
}

/// Milliseconds that a part waits before it is sent to a server.
fn delay_ms(need: &Need, server: &Server, part_ms: f64, width: usize) -> f64 {
    let backlog = f64::from(server.load.backlog_ms);
    let goes_before = width > 1 && part_ms < GOES_BEFORE * backlog;
    if need.is_tight() || goes_before {
        return 0.0;
    }
    backlog
}

/// Milliseconds from sending a part until it is read.
fn read_ms(engine: &model::Engine, need: &Need, server: &Server, part_ms: f64) -> f64 {
    let load = &server.load;
    let ahead = if need.is_tight() {
        f64::from(load.backlog_ms)
    } else {
        0.0
    };
    let beside = if load.writers > 0 {
        engine.pass_ms(load.writers, load.context)
    } else {
        0.0
    };
    (ahead + part_ms) * server.pace.max(1.0) + beside
}

/// What reading a part costs those that write there, or will, by pauses over their bound.
fn harm(engine: &model::Engine, server: &Server, part_ms: f64, delay_ms: f64) -> f64 {
    let load = &server.load;
    let others = load.writers + load.readers;
    if load.bound_ms == 0 || others == 0 {
        return 0.0;
    }
    let pass_ms = engine.pass_ms(load.writers, load.context);
    // Whoever waits for the work there to end is not read in one pass with it.
    let beside = if delay_ms > 0.0 {
        0.0
    } else {
        f64::from(load.backlog_ms)
    };
    let pause_ms = (pass_ms + beside + part_ms) * server.pace.max(1.0);
    if pause_ms <= f64::from(load.bound_ms) * PAUSE_PART {
        return 0.0;
    }
    let usual = load.memory / u64::from(others);
    f64::from(others) * LATE * weight(engine, usual)
}

/// What it costs to write where many do: their steps grow longer.
fn crowd(server: &Server) -> f64 {
    let taken = f64::from(server.load.writers + server.load.readers);
    let share = taken / f64::from(server.slots.max(1));
    0.02 * share * share
}

/// Whether somebody with a tight pause writes there, or will.
fn is_tight(server: &Server) -> bool {
    server.load.bound_ms > 0 && server.load.bound_ms <= TIGHT_MS
}

/// Expected loss of a first event after `first_ms`, in parts of a request's worth.
fn lateness(first_ms: f64, aim: Duration) -> f64 {
    let part = first_ms / (aim.as_secs_f64() * 1e3).max(1.0);
    let risk = ((part - AT_RISK) / (1.1 - AT_RISK)).clamp(0.0, 1.0);
    0.05 * part + LATE * risk
}

/// Worth of a request with a prompt of `tokens`, in that of one with a usual prompt. Grows a
/// little slower than the prompt: callers wait longer for long ones, but each is one request.
fn weight(engine: &model::Engine, tokens: u64) -> f64 {
    let usual = engine.usual_prompt.max(1) as f64;
    (tokens as f64 / usual).powf(0.75).max(0.1)
}

/// Places a call on servers of a plain service: the least taken one, in this zone if equal.
pub fn plain(servers: &[Server]) -> Option<usize> {
    let cost = |one: &Server| {
        let taken = f64::from(one.load.readers + one.load.writers);
        let far = if one.near { 0.0 } else { ZONE };
        taken / f64::from(one.slots.max(1)) * one.pace.max(1.0) + one.failing * 2.0 + far
    };
    let costs = servers.iter().map(cost).enumerate();
    costs
        .min_by(|one, other| one.1.total_cmp(&other.1))
        .map(|one| one.0)
}
