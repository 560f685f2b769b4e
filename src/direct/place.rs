//! Where a request goes: the server that writes its answer, and those that help it read.
//!
//! Servers are kept in lanes, since a read beside writers stretches their pauses. In the first,
//! requests with tight pauses write, and nothing long is read. In the last, long prompts are
//! read, each in parts on the whole lane, one after the other, and nobody writes. Between them
//! are some servers on which long prompts are written, each of which reads its own part only.
//! The borders move with what there is to do, and all entries see them at about the same place.

use std::time::Duration;

use super::board;
use super::model;

/// Servers that a prompt may be split over: the first and 16 that help it.
pub const MOST_WIDTH: usize = 17;

/// Milliseconds of reading alone from which a prompt takes the whole lane.
const LONG_MS: f64 = 900.0;

/// Milliseconds of reading that a part of a shorter prompt is meant to have: three of them fit
/// beside a pass into a pause of 250 ms. Parts go before all that waits at a server, older parts
/// among them, so it delays others by no more; and so a long prompt waits for its turn instead:
/// else the oldest would starve under load (a prompt predicted at 0.7 s took 12 s).
const PART_MS: f64 = 70.0;

/// Part of a pause's bound that a pass may fill: what is known of other entries is some
/// milliseconds old.
const PAUSE_PART: f64 = 0.85;

/// Part of its objective from which a first event is at risk.
const AT_RISK: f64 = 0.6;

/// Objectives after which a first event is predicted where servers count as full. At 1 the mean
/// worth on 20 seeded days of a deployment with few such overloads is 0.690, at 2 0.701.
const FULL_OBJECTIVES: f64 = 2.0;

/// Share of a request's worth that is lost when it is late.
const LATE: f64 = 0.75;

/// Milliseconds for which a server all of whose answers failed lately counts as busy.
const FAILING_MS: f64 = 10_000.0;

/// Milliseconds for which a server that is twice as slow as its model counts as busy: others are
/// preferred while they have less to do.
const SLOW_MS: f64 = 2_000.0;

/// Cost of another zone: decides between equals.
const ZONE: f64 = 0.003;

/// Cost of writing with a tight pause on a server of the other lane.
const OTHER_LANE: f64 = 0.35;

/// Part of a server's slots that requests with tight pauses are meant to take in their lane. At
/// 0.7 of them the long prompts lack servers: mean worth 0.564 and 0.675 on seven seeded days of
/// two deployments, 0.609 and 0.721 at 1; at 1.2 the short ones pay for it (0.702).
const TAKEN_PART: f64 = 1.0;

/// Milliseconds of reading left at a server at which the next prompt is sent there: the way to
/// it takes as long.
const NEARLY_FREE_MS: f64 = 15.0;

/// Fewest servers that are worth two lanes.
const LEAST_LANES: usize = 4;

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
    /// Drawn for each request, so that entries that choose at the same moment among equal servers
    /// do not all choose the same.
    pub draw: u64,
}

impl Need {
    /// Whether its pauses are tight.
    pub fn is_tight(&self) -> bool {
        self.bound_ms > 0 && self.bound_ms <= board::TIGHT_MS
    }
}

/// A server that may take it.
#[derive(Clone, Debug)]
pub struct Server {
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
    /// Tokens of memory to set aside at each of those, in their order.
    pub aside: Vec<u64>,
    /// Milliseconds until its first event, as predicted.
    pub first_ms: f64,
    /// Milliseconds that each of them reads.
    pub part_ms: f64,
    /// Milliseconds until what is read there has ended, if it has to wait for that.
    pub delay_ms: f64,
}

impl Place {
    /// Whether even this best place is so full that a short prompt had better wait at the entry:
    /// in the server's queue it would make all that come after it late, until their callers leave.
    /// Without it, 50 of 375 were on time in each two seconds of an overload; the mean worth of
    /// three days with one is 0.50 without and 0.54 with it.
    pub fn is_full(&self, objective: Duration) -> bool {
        self.first_ms > objective.as_secs_f64() * 1e3 * FULL_OBJECTIVES
    }

    /// Whether a request that waits at a slow server had better go here instead: its prompt is
    /// read again, which others pay for, so it must be worth it. Under load, when all servers are
    /// slow, going from one to the other only adds to it: of 80 requests a second 110 moved within
    /// 0.3 s, and nearly all were late for 8 s.
    pub fn is_worth_moving(&self, objective: Duration) -> bool {
        self.delay_ms <= 0.0 && self.first_ms <= objective.as_secs_f64() * 1e3
    }
}

/// Whether a prompt is so long that it takes a turn on the whole lane of reading.
pub fn is_long(engine: &model::Engine, need: &Need) -> bool {
    !need.is_tight() && engine.read_ms(need.prompt, 1) >= LONG_MS
}

/// What a server is kept for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Requests with tight pauses.
    Tight,
    /// Writing of long prompts.
    Write,
    /// Reading of long prompts.
    Read,
    /// Nothing new: those with tight pauses that still write there are let finish.
    Drain,
}

/// Part of the servers for long prompts on which these are written.
const WRITE_PART: f64 = 0.25;

/// Requests with tight pauses beside which long prompts are read all the same. At 2, 5 and 8 the
/// mean worth on 15 seeded days of two deployments is 0.618, 0.623 and 0.616.
const MOST_STRAY: u32 = 5;

/// What each server is kept for: the first ones in the order of their keys for tight pauses, as
/// many as such requests need, and all of them while nothing long is to be read.
pub fn lanes(servers: &[Server], any_waits: bool) -> Vec<Lane> {
    let count = servers.len();
    let mut lanes = vec![Lane::Tight; count];
    if count < LEAST_LANES {
        return lanes;
    }
    let tight: u32 = servers.iter().map(|one| one.load.tight).sum();
    let long = any_waits || servers.iter().any(|one| one.load.long > 0);
    let slots: u32 = servers.iter().map(|one| one.slots).sum();
    let a_server = f64::from(slots) / count as f64 * TAKEN_PART;
    let needed = (f64::from(tight) / a_server.max(1.0)).ceil() as usize + 1;
    let most = if long { count - 1 } else { count };
    let kept = needed.clamp(2, most);
    let mut order: Vec<usize> = (0..count).collect();
    order.sort_by_key(|at| servers[*at].key);
    let given = &mut order[kept..];
    // Those with the fewest tight pauses first: they are free soonest.
    given.sort_by_key(|at| (servers[*at].load.tight > MOST_STRAY, servers[*at].key));
    let free = given.partition_point(|at| servers[*at].load.tight <= MOST_STRAY);
    let free = free.max(1);
    let write = (free as f64 * WRITE_PART).round().max(1.0) as usize;
    for (rank, at) in given.iter().enumerate() {
        lanes[*at] = match rank {
            _ if rank >= free => Lane::Drain,
            _ if rank < write && write < free => Lane::Write,
            _ => Lane::Read,
        };
    }
    lanes
}

/// Places a request on engines. `None`: none of them has the memory now.
///
/// `any_waits`: whether a long prompt waits for its turn anywhere.
pub fn engine(
    engine: &model::Engine,
    need: &Need,
    servers: &[Server],
    any_waits: bool,
) -> Option<Place> {
    let lanes = lanes(servers, any_waits);
    if is_long(engine, need) {
        return long(engine, need, servers, &lanes);
    }
    short(engine, need, servers, &lanes)
}

/// Places a prompt that does not take a turn: it is written in the first lane, where its first
/// event comes soonest without making others wait. Of one that would stretch their pauses, only
/// a part is read there; the others go before what is read in the last lane.
fn short(engine: &model::Engine, need: &Need, servers: &[Server], lanes: &[Lane]) -> Option<Place> {
    let alone_ms = engine.read_ms(need.prompt, 1);
    let mut helpers: Vec<usize> = (0..servers.len()).collect();
    sort_by_busy(need, servers, &mut helpers);
    // Where nobody writes with tight pauses first; among the others where least was read lately.
    helpers.sort_by_key(|at| match lanes[*at] {
        Lane::Read => 0,
        Lane::Write => 1,
        Lane::Tight | Lane::Drain => 2 + reading_ms(&servers[*at]) as u32,
    });
    let width = (alone_ms / PART_MS).ceil().max(1.0) as usize;
    let width = width.min(MOST_WIDTH).min(servers.len().max(1));
    let part_ms = alone_ms / width as f64;
    let worth = weight(engine, need.prompt);
    let mut best: Option<(f64, usize, f64)> = None;
    for (at, one) in servers.iter().enumerate() {
        if !has_memory(engine, need, one) {
            continue;
        }
        let first_ms = short_ms(engine, need, one, part_ms);
        let other = if lanes[at] == Lane::Tight {
            0.0
        } else {
            OTHER_LANE * worth
        };
        let cost =
            lateness(first_ms, need.aim) * worth + harm(engine, one, part_ms) + beside(one) + other;
        if best.is_none_or(|(least, _, _)| cost < least) {
            best = Some((cost, at, first_ms));
        }
    }
    let (_, first, first_ms) = best?;
    helpers.retain(|at| *at != first);
    helpers.truncate(width - 1);
    Some(Place {
        first,
        aside: vec![0; helpers.len()],
        helpers,
        first_ms,
        part_ms,
        delay_ms: 0.0,
    })
}

/// Milliseconds until the first event of a prompt of which a server reads `part_ms`.
fn short_ms(engine: &model::Engine, need: &Need, server: &Server, part_ms: f64) -> f64 {
    let load = &server.load;
    let pass_ms = engine.pass_ms(load.writers + 1, load.context + need.prompt);
    let wait_ms = if load.writers > 0 { pass_ms / 2.0 } else { 0.0 };
    let reading_ms = f64::from(load.backlog_ms) + part_ms;
    queue_ms(engine, need, server) + (wait_ms + reading_ms + pass_ms) * server.pace.max(1.0)
}

fn of(lanes: &[Lane], lane: Lane) -> Vec<usize> {
    let all = 0..lanes.len();
    all.filter(|at| lanes[*at] == lane).collect()
}

/// Milliseconds for which a server counts as busy reading.
fn busy_ms(server: &Server) -> f64 {
    let slow = (server.pace - 1.0).max(0.0) * SLOW_MS;
    f64::from(server.load.backlog_ms) + server.failing * FAILING_MS + slow
}

/// Milliseconds for which a server is not to be had for a long prompt. Short parts are read there
/// at any time, and a moment without any of them on the whole lane is rare.
fn turn_ms(server: &Server) -> f64 {
    let slow = (server.pace - 1.0).max(0.0) * SLOW_MS + server.failing * FAILING_MS;
    if server.load.long == 0 {
        return slow;
    }
    f64::from(server.load.backlog_ms) + slow
}

/// Brings servers into the order in which they are free, equal ones in an order of the request's
/// own.
fn sort_by_busy(need: &Need, servers: &[Server], order: &mut [usize]) {
    let mix = |at: usize| mixed(&servers[at], need.draw);
    order.sort_by(|one, other| {
        let (one, other) = (*one, *other);
        let busy = busy_ms(&servers[one]).total_cmp(&busy_ms(&servers[other]));
        busy.then(mix(one).cmp(&mix(other)))
    });
}

/// Places a long prompt on the lane of reading, or on all servers where there is none, if it is
/// free.
fn long(engine: &model::Engine, need: &Need, servers: &[Server], lanes: &[Lane]) -> Option<Place> {
    let mut order = of(lanes, Lane::Read);
    if order.is_empty() {
        order = (0..servers.len()).collect();
    }
    sort_by_busy(need, servers, &mut order);
    let busy: Vec<f64> = order.iter().map(|at| turn_ms(&servers[*at])).collect();
    order.truncate(soonest(&busy, engine.read_ms(need.prompt, 1)));
    let write = of(lanes, Lane::Write);
    let first = writer(engine, need, servers, &order, &write)?;
    order.retain(|at| *at != first);
    order.truncate(MOST_WIDTH - 1);
    let helpers = order.clone();
    order.push(first);
    let aside = set_aside(engine, need, servers, first, &helpers)?;
    let part_ms = engine.read_ms(need.prompt, order.len());
    // Only other long prompts are waited for.
    let reading = order.iter().filter(|at| servers[**at].load.long > 0);
    let backlogs = reading.map(|at| f64::from(servers[*at].load.backlog_ms));
    let backlog = backlogs.fold(0.0, f64::max);
    let delay_ms = if backlog < NEARLY_FREE_MS {
        0.0
    } else {
        backlog
    };
    let slowest = order.iter().map(|at| servers[*at].pace).fold(1.0, f64::max);
    let load = &servers[first].load;
    let pass_ms = engine.pass_ms(load.writers + 1, load.context + need.prompt);
    let first_ms = delay_ms + queue_ms(engine, need, &servers[first]) + part_ms * slowest + pass_ms;
    Some(Place {
        first,
        helpers,
        aside,
        first_ms,
        part_ms,
        delay_ms,
    })
}

/// Which server writes a long prompt's answer: one of `lane`, failing that of `readers`.
fn writer(
    engine: &model::Engine,
    need: &Need,
    servers: &[Server],
    readers: &[usize],
    lane: &[usize],
) -> Option<usize> {
    let cost = |at: &usize| {
        let one = &servers[*at];
        let near = if one.near { 0.0 } else { ZONE };
        // Those who write beside each other slow each other down, and hold memory; and a part
        // that is still read there comes first.
        let memory = one.load.memory as f64 / engine.memory_tokens.max(1) as f64;
        let backlog = f64::from(one.load.backlog_ms) / 1e3;
        memory + backlog + crowd(one) + near + one.failing + (one.pace - 1.0).max(0.0)
    };
    let is_large = need.prompt + need.answer > engine.memory_tokens;
    let least = |of: &[usize]| {
        let fits = of.iter().filter(|at| {
            let one = &servers[**at];
            let free = free_memory(engine, one);
            if is_large {
                free > engine.memory_tokens / 2
            } else {
                need.prompt + need.answer <= free
            }
        });
        fits.min_by(|one, other| cost(one).total_cmp(&cost(other)))
            .copied()
    };
    least(lane).or_else(|| least(readers))
}

/// Tokens to set aside at each helper for what a prompt needs beyond the first server's memory.
/// `None`: they have not that much now.
fn set_aside(
    engine: &model::Engine,
    need: &Need,
    servers: &[Server],
    first: usize,
    helpers: &[usize],
) -> Option<Vec<u64>> {
    let mut aside = vec![0; helpers.len()];
    let own = free_memory(engine, &servers[first]);
    let mut rest = (need.prompt + need.answer).saturating_sub(own);
    if rest == 0 {
        return Some(aside);
    }
    // What the prompt leaves of the first server's memory is not exact: some tokens more.
    rest += own / 10;
    let mut order: Vec<usize> = (0..helpers.len()).collect();
    order.sort_by_key(|at| std::cmp::Reverse(free_memory(engine, &servers[helpers[*at]])));
    for at in order {
        let free = free_memory(engine, &servers[helpers[at]]);
        aside[at] = (free - free / 10).min(rest);
        rest -= aside[at];
        if rest == 0 {
            return Some(aside);
        }
    }
    None
}

fn free_memory(engine: &model::Engine, server: &Server) -> u64 {
    engine.memory_tokens.saturating_sub(server.load.memory)
}

/// On how many servers a prompt is read soonest, if all begin when the last of them is free.
/// `busy`: milliseconds until each is, ascending.
fn soonest(busy: &[f64], alone_ms: f64) -> usize {
    let ends = |at: usize| busy[at] + alone_ms / (at + 1) as f64;
    let widths = 0..busy.len().min(MOST_WIDTH);
    let best = widths.min_by(|one, other| ends(*one).total_cmp(&ends(*other)));
    best.map_or(1, |at| at + 1)
}

/// Whether a request finds memory at a server.
fn has_memory(engine: &model::Engine, need: &Need, server: &Server) -> bool {
    server.load.memory + need.prompt + need.answer <= engine.memory_tokens
}

/// Milliseconds until a slot is free at a server: one of those who are served ends after its
/// part of an answer's time.
fn queue_ms(engine: &model::Engine, need: &Need, server: &Server) -> f64 {
    let load = &server.load;
    let taken = load.readers + load.writers;
    if taken < server.slots {
        return 0.0;
    }
    let steps = need.answer.max(engine.usual_answer) as f64;
    let whole_ms = steps * engine.step_ms(load.writers, load.context);
    let over = f64::from(taken - server.slots + 1);
    over * whole_ms / f64::from(server.slots.max(1))
}

/// What reading a prompt costs those that write at a server, or will, by pauses over their
/// bound.
fn harm(engine: &model::Engine, server: &Server, part_ms: f64) -> f64 {
    let load = &server.load;
    let others = load.writers + load.readers;
    if load.bound_ms == 0 || others == 0 {
        return 0.0;
    }
    let pass_ms = engine.pass_ms(load.writers, load.context);
    let pause_ms = (pass_ms + reading_ms(server) + part_ms) * server.pace.max(1.0);
    if pause_ms <= f64::from(load.bound_ms) * PAUSE_PART {
        return 0.0;
    }
    let usual = load.memory / u64::from(others);
    f64::from(others) * LATE * weight(engine, usual)
}

/// Milliseconds of reading that fall into a pause of a server's writers.
fn reading_ms(server: &Server) -> f64 {
    f64::from(server.load.backlog_ms.max(server.load.lately_ms))
}

/// Costs of a server whatever the request.
fn beside(server: &Server) -> f64 {
    let near = if server.near { 0.0 } else { ZONE };
    crowd(server) + near + server.failing
}

/// What it costs to write where many do: their steps grow longer.
fn crowd(server: &Server) -> f64 {
    let taken = f64::from(server.load.writers + server.load.readers);
    let share = taken / f64::from(server.slots.max(1));
    0.02 * share * share
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

/// Places a call on servers of a plain service: the least taken one, in this zone if equal; among
/// equals, another one for each `draw`.
pub fn plain(servers: &[Server], draw: u64) -> Option<usize> {
    let cost = |one: &Server| {
        let taken = f64::from(one.load.readers + one.load.writers);
        let far = if one.near { 0.0 } else { ZONE };
        taken / f64::from(one.slots.max(1)) * one.pace.max(1.0) + one.failing * 2.0 + far
    };
    let costs = servers.iter().enumerate();
    let costs = costs.map(|(at, one)| (cost(one), mixed(one, draw), at));
    let least = costs.min_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
    least.map(|(_, _, at)| at)
}

/// A server's place in an order of the request's own.
fn mixed(server: &Server, draw: u64) -> u64 {
    (server.key ^ draw).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
