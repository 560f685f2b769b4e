//! Where a request goes: the server that writes its answer, and those that help it read.

use std::time::Duration;

use super::lane;
use super::load;
use super::model;

mod long;
mod short;
pub mod single;
mod split;

/// Servers that a prompt may be split over: the first and 16 that help it.
pub const MAX_WIDTH: usize = 17;

/// Milliseconds of reading alone from which a prompt takes the whole lane.
const LONG_MS: f64 = 900.0;

/// Part of a pause's bound that a pass may fill: what is known of other entries is some
/// milliseconds old.
const PAUSE_PART: f64 = 0.85;

/// Objectives after which a first event is predicted where servers count as full. At 1 the mean
/// worth on 20 seeded days of a deployment with few such overloads is 0.690, at 2 0.701.
const FULL_OBJECTIVES: f64 = 2.0;

/// Part of the time left within which a first event must be predicted to be on time surely: one in
/// ten of long prompts comes 0.3 to 0.6 s after its prediction.
const SURE_PART: f64 = 0.6;

/// Share of a request's worth that is lost when it is late.
const LATE: f64 = 0.75;

/// Milliseconds for which a server all of whose answers failed lately counts as busy.
const FAILING_MS: f64 = 10_000.0;

/// Milliseconds for which a server that is twice as slow as its model counts as busy: others are
/// preferred while they have less to do.
const SLOW_MS: f64 = 2_000.0;

/// Cost of another zone: decides between equals.
const ZONE: f64 = 0.003;

/// A request to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Tokens that its answer is expected to have.
    pub answer: u64,
    /// Time to its first event that is still on time.
    pub objective: Duration,
    /// Longest pause between its events in milliseconds. 0: none.
    pub bound_ms: u32,
    /// Drawn for each request, so that entries that choose at the same moment among equal servers
    /// do not all choose the same.
    pub draw: u64,
}

impl Need {
    /// Whether its pauses are tight.
    pub fn is_tight(&self) -> bool {
        self.bound_ms > 0 && self.bound_ms <= load::TIGHT_PAUSE_MS
    }
}

/// A server that may take it.
#[derive(Clone, Debug)]
pub struct Server {
    /// See [`load::server_key`].
    pub key: u64,
    /// Whether it is in this entry's zone.
    pub near: bool,
    /// Requests at once.
    pub slots: u32,
    /// What runs there.
    pub load: load::Load,
    /// Factor by which it is slower than its model.
    pub pace: f64,
    /// Share of its answers that failed lately.
    pub failing: f64,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// Index of the first server.
    pub writer: usize,
    /// Indexes of those that help it read.
    pub helpers: Vec<usize>,
    /// Tokens of memory to set aside at each of those, in their order.
    pub reserved: Vec<u64>,
    /// Milliseconds until its first event, as predicted.
    pub first_ms: f64,
    /// Milliseconds that each of them reads.
    pub segment_ms: f64,
    /// Milliseconds until what is read there has ended, if it has to wait for that.
    pub delay_ms: f64,
    /// Whether it takes a turn on the lane of reading.
    pub takes_turn: bool,
}

impl Place {
    /// Whether even this best place is so full that a short prompt had better wait at the entry:
    /// in the server's queue it would make all that come after it late, until their callers leave.
    /// Without it, 50 of 375 were on time in each two seconds of an overload; the mean worth of
    /// three days with one is 0.50 without and 0.54 with it.
    pub fn is_full(&self, objective: Duration) -> bool {
        self.first_ms > objective.as_secs_f64() * 1e3 * FULL_OBJECTIVES
    }

    /// Whether its first event comes within `aim` even if it comes later than predicted.
    pub fn is_surely_on_time(&self, aim: Duration) -> bool {
        self.first_ms <= aim.as_secs_f64() * 1e3 * SURE_PART
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

/// Places a request on engines. `None`: none of them has the memory now.
///
/// `any_waits`: whether a long prompt waits for its turn anywhere.
pub fn engine(
    engine: &model::Engine,
    need: &Need,
    servers: &[Server],
    any_waits: bool,
) -> Option<Place> {
    if !is_long(engine, need) {
        let lanes = lane::lanes(servers, any_waits, lane::Sharing::Few);
        return short::find(engine, need, servers, &lanes);
    }
    without_turn(engine, need, servers, any_waits).or_else(|| by_turn(engine, need, servers))
}

/// Places a long prompt that takes its turn: beside nobody with tight pauses, if it is on time so and
/// others can be read at the same time. On a narrower lane all servers are wanted: with 23 it costs
/// 0.04 of the long prompts their objective to leave some out.
fn by_turn(engine: &model::Engine, need: &Need, servers: &[Server]) -> Option<Place> {
    // One that has just come needs its lane as one that waits does.
    let lanes = lane::lanes(servers, true, lane::Sharing::None);
    if long::is_wide(engine, need, &lanes) {
        let calm = long::find(engine, need, servers, &lanes);
        let calm = calm.filter(|one| one.is_surely_on_time(need.objective));
        if calm.is_some() {
            return calm;
        }
    }
    let lanes = lane::lanes(servers, true, lane::Sharing::Few);
    long::find(engine, need, servers, &lanes)
}

/// Places a long prompt on servers with room for it beside their writers, if there are enough.
pub fn without_turn(
    engine: &model::Engine,
    need: &Need,
    servers: &[Server],
    any_waits: bool,
) -> Option<Place> {
    let lanes = lane::lanes(servers, any_waits, lane::Sharing::Few);
    split::find(engine, need, servers, &lanes)
}

/// Milliseconds for which a server counts as busy reading.
fn busy_ms(server: &Server) -> f64 {
    let slow = (server.pace - 1.0).max(0.0) * SLOW_MS;
    f64::from(server.load.backlog_ms) + server.failing * FAILING_MS + slow
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
