//! Placing a prompt that does not take a turn.

use std::time::Duration;

use crate::direct::lane::Lane;
use crate::direct::model;
use crate::direct::place;

/// Milliseconds of reading that a part of a shorter prompt is meant to have: three of them fit
/// beside a pass into a pause of 250 ms. Parts go before all that waits at a server, older parts
/// among them, so it delays others by no more; and so a long prompt waits for its turn instead:
/// else the oldest would starve under load (a prompt predicted at 0.7 s took 12 s).
const PART_MS: f64 = 70.0;

/// Part of its objective from which a first event is at risk.
const AT_RISK: f64 = 0.6;

/// Cost of writing with a tight pause on a server of the other lane.
const OTHER_LANE: f64 = 0.35;

/// Servers of a lane that are weighed for one request. Entries choose by what they knew of each
/// other some 50 ms ago: in that time 70 entries send a dozen requests, and weighing all servers
/// all of them would take the same one. With 112 servers in a burst (played load, 2,272 requests)
/// 1,591 are on time if all are weighed, 2,118 with 12, 2,187 with 4; on four seeded days the mean
/// worth is 0.656 with all, 0.703 with 12 and 0.697 with 5.
const SAMPLE: usize = 4;

/// Places a prompt that does not take a turn: it is written in the first lane, where its first
/// event comes soonest without making others wait. Of one that would stretch their pauses, only
/// a part is read there; the others go before what is read in the last lane.
pub(super) fn find(
    engine: &model::Engine,
    need: &place::Need,
    servers: &[place::Server],
    lanes: &[Lane],
) -> Option<place::Place> {
    let alone_ms = engine.read_ms(need.prompt, 1);
    let mut helpers: Vec<usize> = (0..servers.len()).collect();
    place::sort_by_busy(need, servers, &mut helpers);
    // Where nobody writes with tight pauses first; among the others where least was read lately.
    helpers.sort_by_key(|at| {
        let one = &servers[*at];
        match lanes[*at] {
            Lane::Read => held_up_ms(one),
            Lane::Write => 1 + held_up_ms(one),
            Lane::Tight | Lane::Drain => 2 + place::reading_ms(one) as u32,
        }
    });
    let width = (alone_ms / PART_MS).ceil().max(1.0) as usize;
    let width = width.min(place::MAX_WIDTH).min(servers.len().max(1));
    let part_ms = alone_ms / width as f64;
    let worth = place::weight(engine, need.prompt);
    let mut best: Option<(f64, usize, f64)> = None;
    for at in sample(engine, need, servers, lanes) {
        let one = &servers[at];
        let first_ms = first_ms(engine, need, one, part_ms);
        let other = if lanes[at] == Lane::Tight {
            0.0
        } else {
            OTHER_LANE * worth
        };
        let cost = lateness(first_ms, need.objective) * worth
            + place::harm(engine, one, part_ms)
            + place::beside(one)
            + other;
        if best.is_none_or(|(least, _, _)| cost < least) {
            best = Some((cost, at, first_ms));
        }
    }
    let (_, first, first_ms) = best?;
    helpers.retain(|at| *at != first);
    helpers.truncate(width - 1);
    Some(place::Place {
        writer: first,
        reserved: vec![0; helpers.len()],
        helpers,
        first_ms,
        segment_ms: part_ms,
        delay_ms: 0.0,
        takes_turn: false,
    })
}

/// Servers that are weighed: those with memory, of each lane [`SAMPLE`] at most, drawn for the
/// request.
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
        lane.sort_by_key(|at| place::mixed(&servers[*at], need.draw));
        lane.truncate(SAMPLE);
    }
    tight.append(&mut other);
    tight
}

/// Milliseconds until a part that comes now is begun: where a long prompt is read beside writers,
/// with the next pass; where nobody writes, before all that waits. Without it the worth of 20
/// seeded days is 0.646, 0.656 with it.
fn held_up_ms(server: &place::Server) -> u32 {
    let load = &server.load;
    if load.writers > 0 && load.long > 0 {
        load.backlog_ms
    } else {
        0
    }
}

/// Milliseconds until the first event of a prompt of which a server reads `part_ms`.
pub(super) fn first_ms(
    engine: &model::Engine,
    need: &place::Need,
    server: &place::Server,
    part_ms: f64,
) -> f64 {
    let load = &server.load;
    let pass_ms = engine.pass_ms(load.writers + 1, load.context + need.prompt);
    let wait_ms = if load.writers > 0 { pass_ms / 2.0 } else { 0.0 };
    let reading_ms = f64::from(load.backlog_ms) + part_ms;
    place::queue_ms(engine, need, server) + (wait_ms + reading_ms + pass_ms) * server.pace.max(1.0)
}

/// Expected loss of a first event after `first_ms`, in parts of a request's worth.
fn lateness(first_ms: f64, aim: Duration) -> f64 {
    let part = first_ms / (aim.as_secs_f64() * 1e3).max(1.0);
    let risk = ((part - AT_RISK) / (1.1 - AT_RISK)).clamp(0.0, 1.0);
    0.05 * part + place::LATE * risk
}

/// Whether a request finds memory at a server.
fn has_memory(engine: &model::Engine, need: &place::Need, server: &place::Server) -> bool {
    server.load.memory + need.prompt + need.answer <= engine.memory_tokens
}
