//! Placement of a prompt that does not take a turn.

use std::time::Duration;

use crate::direct::lane::Lane;
use crate::direct::model;
use crate::direct::place;

/// Target reading time of a segment in milliseconds: three of them and a pass fit into a gap of 250
/// ms. A segment goes before all other work that waits at a server, older segments included, and so
/// delays others by no more than this. A long prompt waits for its turn instead, since its oldest
/// segment would starve under load: one prompt predicted at 0.7 s took 12 s.
const SEGMENT_MS: f64 = 70.0;

/// Cost of writing with a tight gap limit on a server of another lane.
const OTHER_LANE_COST: f64 = 0.35;

/// Servers of a lane that are compared for one request. Entries choose by what they knew of each
/// other some 50 ms ago. In that time 70 entries send a dozen requests, and if each compared all
/// servers, all would choose the same one: with 112 servers 681 of 2,272 requests of a burst are
/// not on time if all are compared, 85 with this many.
const SAMPLE_SIZE: usize = 4;

/// Places a prompt that does not take a turn. Its answer is written in the lane for tight gap
/// limits, where its first event comes soonest without delaying others. If reading it there would
/// stretch their gaps, only one segment is read there; the others are read by helpers, ahead of the
/// long prompts of the reading lane.
pub(super) fn find(
    engine: &model::Engine,
    need: &place::Need,
    servers: &[place::Server],
    lanes: &[Lane],
) -> Option<place::Place> {
    let alone_ms = engine.read_ms(need.prompt, 1);
    let mut helpers: Vec<usize> = (0..servers.len()).collect();
    place::sort_by_busy(need, servers, &mut helpers);
    // Servers that write no answers with tight gap limits come first, then those that were given
    // the least reading recently.
    helpers.sort_by_key(|at| {
        let server = &servers[*at];
        match lanes[*at] {
            Lane::Read => start_delay_ms(server),
            Lane::Write => 1 + start_delay_ms(server),
            Lane::Tight | Lane::Drain => 2 + place::reading_ms(server) as u32,
        }
    });
    let width = (alone_ms / SEGMENT_MS).ceil().max(1.0) as usize;
    let width = width.min(place::MAX_WIDTH).min(servers.len().max(1));
    let segment_ms = alone_ms / width as f64;
    let value = place::value(engine, need.prompt);
    let mut best: Option<(f64, usize, f64)> = None;
    for at in sample(engine, need, servers, lanes) {
        let server = &servers[at];
        let first_ms = first_ms(engine, need, server, segment_ms);
        let lane_cost = if lanes[at] == Lane::Tight {
            0.0
        } else {
            OTHER_LANE_COST * value
        };
        let cost = loss(engine, need, server, first_ms) * value
            + place::gap_cost(engine, server, segment_ms)
            + place::fixed_cost(server)
            + lane_cost;
        if best.is_none_or(|(least, _, _)| cost < least) {
            best = Some((cost, at, first_ms));
        }
    }
    let (_, writer, first_ms) = best?;
    helpers.retain(|at| *at != writer);
    helpers.truncate(width - 1);
    Some(place::Place {
        writer,
        reserved: vec![0; helpers.len()],
        helpers,
        first_ms,
        segment_ms,
        delay_ms: 0.0,
        takes_turn: false,
    })
}

/// Servers that are compared: those with enough free memory, at most [`SAMPLE_SIZE`] of each lane,
/// drawn for the request.
fn sample(
    engine: &model::Engine,
    need: &place::Need,
    servers: &[place::Server],
    lanes: &[Lane],
) -> Vec<usize> {
    let all = 0..servers.len();
    let (mut tight, mut other): (Vec<usize>, Vec<usize>) = all
        .filter(|at| has_memory(engine, need, &servers[*at]))
        .partition(|at| lanes[*at] == Lane::Tight);
    for lane in [&mut tight, &mut other] {
        lane.sort_by_key(|at| place::shuffled_key(&servers[*at], need.draw));
        lane.truncate(SAMPLE_SIZE);
    }
    tight.append(&mut other);
    tight
}

/// Milliseconds until a server starts a new segment. Where a long prompt is read beside writers,
/// that is with the next pass; where nothing is written, the segment goes before all other work.
/// Without this the goodput is lower.
fn start_delay_ms(server: &place::Server) -> u32 {
    let load = &server.load;
    if load.writers > 0 && load.long > 0 {
        load.backlog_ms
    } else {
        0
    }
}

/// Milliseconds until the first event of a prompt of which a server reads `segment_ms`.
pub(super) fn first_ms(
    engine: &model::Engine,
    need: &place::Need,
    server: &place::Server,
    segment_ms: f64,
) -> f64 {
    let load = &server.load;
    let pass_ms = engine.pass_ms(load.writers + 1, load.context + need.prompt);
    let wait_ms = if load.writers > 0 { pass_ms / 2.0 } else { 0.0 };
    let reading_ms = f64::from(load.backlog_ms) + segment_ms;
    place::queue_ms(engine, need, server) + (wait_ms + reading_ms + pass_ms) * server.pace.max(1.0)
}

/// Expected loss if a request is placed at `server` and its first event comes after `first_ms`, as a
/// share of its value. An answer that is cut off at its deadline is worth nothing, a late one a part
/// of its value.
fn loss(engine: &model::Engine, need: &place::Need, server: &place::Server, first_ms: f64) -> f64 {
    let late = lateness(first_ms, need.objective);
    let cut = cut_risk(need, first_ms + write_ms(engine, need, server));
    late + cut * (1.0 - late).max(0.0)
}

/// Expected milliseconds to write the rest of the answer at a server, beside all that is written there.
fn write_ms(engine: &model::Engine, need: &place::Need, server: &place::Server) -> f64 {
    let load = &server.load;
    let context = (load.context + need.prompt).min(engine.memory_tokens);
    let step_ms = engine.step_ms(load.writers + 1, context);
    let rest = need.answer.saturating_sub(need.written);
    rest as f64 * step_ms * server.pace.max(1.0) * need.write_ratio
}

/// Risk that an answer that is expected to be complete after `whole_ms` is cut off at its deadline.
/// 0 if its slack is ample: then it does not matter where it is written.
fn cut_risk(need: &place::Need, whole_ms: f64) -> f64 {
    let share = whole_ms / (need.left.as_secs_f64() * 1e3).max(1.0);
    ((share - place::AT_RISK) / (1.1 - place::AT_RISK)).clamp(0.0, 1.0)
}

/// Expected loss by a first event after `first_ms`, as a share of a request's value.
fn lateness(first_ms: f64, objective: Duration) -> f64 {
    let share = first_ms / (objective.as_secs_f64() * 1e3).max(1.0);
    let risk = ((share - place::AT_RISK) / (1.1 - place::AT_RISK)).clamp(0.0, 1.0);
    0.05 * share + place::LATE_COST * risk
}

/// Whether a server has enough free memory for a request.
fn has_memory(engine: &model::Engine, need: &place::Need, server: &place::Server) -> bool {
    server.load.memory + need.prompt + need.answer <= engine.memory_tokens
}
