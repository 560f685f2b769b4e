//! Placement of requests: which server writes the answer, and which servers help to read the
//! prompt.
//!
//! Goodput is the value of the requests that are served, as a share of the value of all. A late one
//! counts less by [`LATE_COST`].

use std::time::Duration;

use super::lane;
use super::load;
use super::model;

mod long;
mod short;
pub mod single;
mod split;

/// Most servers that read one prompt: the one that writes its answer, and 16 helpers.
pub const MAX_WIDTH: usize = 17;

/// Reading time on one server, in milliseconds, from which a prompt is long and takes a turn on the
/// whole reading lane.
const LONG_MS: f64 = 900.0;

/// Share of a gap limit that a pass may fill. The load known of other entries is some milliseconds
/// old.
const GAP_SHARE: f64 = 0.85;

/// Servers count as full if the first event is predicted after this many objectives. With 1 the
/// goodput is lower where overloads are rare.
const FULL_OBJECTIVES: f64 = 2.0;

/// A first event that is predicted within this share of the time left is reliably on time: for one
/// in ten long prompts it comes 0.3 to 0.6 s after its prediction.
const SAFE_SHARE: f64 = 0.6;

/// Share of the time for a first event from which a predicted one may be late.
const AT_RISK: f64 = 0.6;

/// The same for a long prompt: nine in ten first events come within a tenth of the objective after
/// their prediction.
const LONG_AT_RISK: f64 = 0.8;

/// Share of a request's value that is lost when it is late.
const LATE_COST: f64 = 0.75;

/// Milliseconds for which a server counts as busy if all its recent responses failed.
const FAILING_MS: f64 = 10_000.0;

/// Milliseconds for which a server counts as busy if it is twice as slow as its model, so that
/// others are preferred while they have less to do.
const SLOW_MS: f64 = 2_000.0;

/// Cost of a server in another zone. Decides only between servers that are otherwise equal.
const ZONE_COST: f64 = 0.003;

/// What a request needs from its placement.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Length of the prompt in tokens.
    pub prompt: u64,
    /// Expected length of the answer in tokens.
    pub answer: u64,
    /// Tokens of the answer that were written before, at a server that the stream has left.
    pub written: u64,
    /// Time left within which the first event is on time.
    pub objective: Duration,
    /// Time left until the deadline of the response.
    pub left: Duration,
    /// Mean ratio of the time that recent answers of its service took to be written to the modelled
    /// time, see [`super::writing`].
    pub write_ratio: f64,
    /// Levels by which its priority is below that of the most urgent route of its service. 0 where
    /// all are equal.
    pub priority_gap: u8,
    /// Longest allowed gap between events in milliseconds. 0: no limit.
    pub bound_ms: u32,
    /// Random number of the request, so that entries choosing among equal servers at the same
    /// moment do not all choose the same one.
    pub draw: u64,
}

impl Need {
    /// Whether its gap limit is tight, see [`load::TIGHT_GAP_MS`].
    pub fn is_tight(&self) -> bool {
        self.bound_ms > 0 && self.bound_ms <= load::TIGHT_GAP_MS
    }
}

/// A candidate server.
#[derive(Clone, Debug)]
pub struct Server {
    /// See [`load::server_key`].
    pub key: u64,
    /// Whether it is in this entry's zone.
    pub near: bool,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Load of all entries.
    pub load: load::Load,
    /// Factor by which it is slower than its model.
    pub pace: f64,
    /// Share of its recent responses that failed.
    pub failing: f64,
}

/// Where a request is placed.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// Index of the server that writes the answer.
    pub writer: usize,
    /// Indexes of the servers that help to read the prompt.
    pub helpers: Vec<usize>,
    /// Tokens of memory to reserve at each helper, in the same order.
    pub reserved: Vec<u64>,
    /// Predicted milliseconds until the first event.
    pub first_ms: f64,
    /// Milliseconds that each server takes to read its segment.
    pub segment_ms: f64,
    /// Milliseconds until other long prompts on these servers are read, if this one has to wait for
    /// them.
    pub delay_ms: f64,
    /// Whether the prompt takes a turn on the reading lane.
    pub takes_turn: bool,
}

impl Place {
    /// Whether even this best place is so full that a short prompt should wait on the entry. In the
    /// queue of the server it makes all later requests late until their callers leave: in an
    /// overload only 50 of 375 were on time in each two seconds.
    pub fn is_full(&self, objective: Duration) -> bool {
        self.first_ms > objective.as_secs_f64() * 1e3 * FULL_OBJECTIVES
    }

    /// Whether the first event comes within `objective` even if it comes later than predicted.
    pub fn is_surely_on_time(&self, objective: Duration) -> bool {
        self.first_ms <= objective.as_secs_f64() * 1e3 * SAFE_SHARE
    }

    /// Whether a request that waits at a slow server should move here. Its prompt is read again at
    /// the expense of others, so the move must be worth it. Under load, when all servers are slow,
    /// moving only adds to it: with 80 requests a second 110 moved within 0.3 s, and nearly all
    /// were late for 8 s.
    pub fn is_worth_moving(&self, objective: Duration) -> bool {
        self.delay_ms <= 0.0 && self.first_ms <= objective.as_secs_f64() * 1e3
    }
}

/// Whether two prompts can be read at once on as many servers as one may take. On fewer servers all
/// are needed for each, and prompts are best read one after the other.
fn is_wide(servers: &[Server]) -> bool {
    servers.len() >= 2 * MAX_WIDTH
}

/// Whether a prompt is so long that it takes a turn on the whole reading lane.
pub fn is_long(engine: &model::Engine, need: &Need) -> bool {
    !need.is_tight() && engine.read_ms(need.prompt, 1) >= LONG_MS
}

/// Places a request on engines. `None`: none of them has enough free memory now.
///
/// `demand`: of all entries.
pub fn engine(
    engine: &model::Engine,
    need: &Need,
    servers: &[Server],
    demand: lane::Demand,
) -> Option<Place> {
    if !is_long(engine, need) {
        let lanes = lane::lanes(servers, demand, lane::Sharing::Few);
        return short::find(engine, need, servers, &lanes);
    }
    without_turn(engine, need, servers, demand).or_else(|| by_turn(engine, need, servers, demand))
}

/// Places a long prompt that takes its turn. It avoids servers that write answers with tight gap
/// limits if it is still on time then and other prompts can be read at the same time. On a narrower
/// lane all servers are needed: with 23, leaving some out makes one in 25 long prompts miss its
/// objective.
///
/// Otherwise it is read beside a few of them; on a wide fleet where that costs least: apart from such
/// answers, beside them, or there once they have ended.
fn by_turn(
    engine: &model::Engine,
    need: &Need,
    servers: &[Server],
    demand: lane::Demand,
) -> Option<Place> {
    // A prompt that has just arrived needs its lane as much as one that waits.
    let demand = lane::Demand {
        waits: true,
        ..demand
    };
    let lanes = lane::lanes(servers, demand, lane::Sharing::None);
    let apart = long::find(engine, need, servers, &lanes);
    if long::is_wide(engine, need, &lanes)
        && let Some(place) = &apart
        && place.is_surely_on_time(need.objective)
    {
        return apart;
    }
    let lanes = lane::lanes(servers, demand, lane::Sharing::Few);
    let beside = long::find(engine, need, servers, &lanes);
    if !is_wide(servers) {
        return beside;
    }
    // A prompt that is late already gains nothing by waiting.
    let may_wait = !need.objective.is_zero();
    let after = beside
        .as_ref()
        .filter(|place| may_wait && place.delay_ms <= 0.0)
        .map(|place| after_writers(engine, need, place));
    let gaps = |place: &Place| gap_costs(engine, servers, place);
    let now = [apart, beside].into_iter().flatten();
    let now = now.map(|place| (place_cost(engine, need, &place) + gaps(&place), place));
    let after = after.map(|place| (place_cost(engine, need, &place), place));
    let places = now.chain(after);
    let least = places.min_by(|(one, _), (other, _)| one.total_cmp(other));
    least.map(|(_, place)| place)
}

/// The same place once the answers that are written there now have ended.
fn after_writers(engine: &model::Engine, need: &Need, place: &Place) -> Place {
    let write_ms = engine.usual_answer as f64 * engine.step_ms(1, need.prompt);
    Place {
        first_ms: place.first_ms + write_ms,
        delay_ms: write_ms,
        ..place.clone()
    }
}

/// Expected loss of value by a late first event.
fn place_cost(engine: &model::Engine, need: &Need, place: &Place) -> f64 {
    let (within, share) = if need.objective.is_zero() {
        (need.left, 1.0 - LATE_COST)
    } else {
        (need.objective, LATE_COST)
    };
    let used = place.first_ms / (within.as_secs_f64() * 1e3).max(1.0);
    let risk = ((used - LONG_AT_RISK) / (1.1 - LONG_AT_RISK)).clamp(0.0, 1.0);
    // Each level of priority below the most urgent halves what a request may cost others.
    let weight = 0.5_f64.powi(i32::from(need.priority_gap));
    (0.05 * used.min(1.0) + share * risk) * value(engine, need.prompt) * weight
}

/// Cost of all segments of a place to the requests that are written where they are read.
fn gap_costs(engine: &model::Engine, servers: &[Server], place: &Place) -> f64 {
    let all = place.helpers.iter().chain([&place.writer]);
    all.map(|at| gap_cost(engine, &servers[*at], place.segment_ms))
        .sum()
}

/// Places a long prompt on servers that have capacity to read while they write, if there are
/// enough.
pub fn without_turn(
    engine: &model::Engine,
    need: &Need,
    servers: &[Server],
    demand: lane::Demand,
) -> Option<Place> {
    let lanes = lane::lanes(servers, demand, lane::Sharing::Few);
    split::find(engine, need, servers, &lanes)
}

/// Milliseconds for which a server counts as busy reading.
fn busy_ms(server: &Server) -> f64 {
    let slow = (server.pace - 1.0).max(0.0) * SLOW_MS;
    f64::from(server.load.backlog_ms) + server.failing * FAILING_MS + slow
}

/// Sorts servers by when they are free. The order among equal ones differs from request to request.
fn sort_by_busy(need: &Need, servers: &[Server], order: &mut [usize]) {
    let tie_break = |at: usize| shuffled_key(&servers[at], need.draw);
    order.sort_by(|one, other| {
        let (one, other) = (*one, *other);
        let busy = busy_ms(&servers[one]).total_cmp(&busy_ms(&servers[other]));
        busy.then(tie_break(one).cmp(&tie_break(other)))
    });
}

/// Milliseconds until a server has a free slot: the requests that it serves end evenly spread over
/// the time of a whole answer.
fn queue_ms(engine: &model::Engine, need: &Need, server: &Server) -> f64 {
    let load = &server.load;
    let taken = load.readers + load.writers;
    if taken < server.slots {
        return 0.0;
    }
    let steps = need.answer.max(engine.usual_answer) as f64;
    let answer_ms = steps * engine.step_ms(load.writers, load.context);
    let excess = f64::from(taken - server.slots + 1);
    excess * answer_ms / f64::from(server.slots.max(1))
}

/// Cost of reading a segment at a server to the requests that are or will be written there, if
/// their gaps exceed their limit.
fn gap_cost(engine: &model::Engine, server: &Server, segment_ms: f64) -> f64 {
    let load = &server.load;
    let others = load.writers + load.readers;
    if load.bound_ms == 0 || others == 0 {
        return 0.0;
    }
    let pass_ms = engine.pass_ms(load.writers, load.context);
    let gap_ms = (pass_ms + reading_ms(server) + segment_ms) * server.pace.max(1.0);
    if gap_ms <= f64::from(load.bound_ms) * GAP_SHARE {
        return 0.0;
    }
    let usual = load.memory / u64::from(others);
    f64::from(others) * LATE_COST * value(engine, usual)
}

/// Milliseconds of reading that fall into a gap between the events that a server writes.
fn reading_ms(server: &Server) -> f64 {
    f64::from(server.load.backlog_ms.max(server.load.lately_ms))
}

/// Costs of a server that do not depend on the request.
fn fixed_cost(server: &Server) -> f64 {
    let zone = if server.near { 0.0 } else { ZONE_COST };
    crowding_cost(server) + zone + server.failing
}

/// Cost of writing where many answers are written: each makes the steps longer.
fn crowding_cost(server: &Server) -> f64 {
    let taken = f64::from(server.load.writers + server.load.readers);
    let share = taken / f64::from(server.slots.max(1));
    0.02 * share * share
}

/// Value of a request with a prompt of `tokens`, relative to one with a usual prompt. Grows a
/// little slower than the prompt: callers wait longer for long ones, but each is one request.
fn value(engine: &model::Engine, tokens: u64) -> f64 {
    let usual = engine.usual_prompt.max(1) as f64;
    (tokens as f64 / usual).powf(0.75).max(0.1)
}

/// Places a call on a server of a plain service: the least loaded one, in this zone if equal.
/// `draw` decides among the remaining ones.
pub fn plain(servers: &[Server], draw: u64) -> Option<usize> {
    let cost = |server: &Server| {
        let taken = f64::from(server.load.readers + server.load.writers);
        let zone = if server.near { 0.0 } else { ZONE_COST };
        taken / f64::from(server.slots.max(1)) * server.pace.max(1.0) + server.failing * 2.0 + zone
    };
    let costs = servers.iter().enumerate();
    let costs = costs.map(|(at, server)| (cost(server), shuffled_key(server, draw), at));
    let least = costs.min_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
    least.map(|(_, _, at)| at)
}

/// Position of a server in an order that differs from request to request.
fn shuffled_key(server: &Server, draw: u64) -> u64 {
    (server.key ^ draw).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
