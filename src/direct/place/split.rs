//! Placement of a long prompt in segments so short that no gap between events grows too long.
//!
//! This is for loads where most of many servers have time to read between the events that they
//! write. There a prompt need not wait for a turn on the reading lane, and several prompts are read
//! at once, each on servers of its own.

use crate::direct::lane::Lane;
use crate::direct::model;
use crate::direct::place;
use crate::direct::place::long;

/// Target reading time of a segment in milliseconds. Shorter ones gain little: a first event waits
/// for the end of a pass, which takes as long. Without segments beside writers 65 of 854 callers of
/// a burst on 112 servers are not served on time, with them 34.
const SEGMENT_MS: f64 = 100.0;

/// Servers with capacity that there must be for each one that is taken. If a prompt took a larger
/// part of them, the next one would find none, and it is better to read them one after the other.
const SPARE_FACTOR: usize = 2;

/// Milliseconds that may be read where nothing is written. A short prompt that comes there
/// meanwhile waits no longer than this, and can still be on time.
const IDLE_CAPACITY_MS: f64 = 350.0;

/// Milliseconds of reading below which servers count as equally free. What other entries gave them
/// meanwhile is not known any more exactly.
const EQUAL_MS: f64 = 25.0;

/// Places a long prompt without a turn. `None`: too few servers have capacity for its segments.
pub(super) fn find(
    engine: &model::Engine,
    need: &place::Need,
    servers: &[place::Server],
    lanes: &[Lane],
) -> Option<place::Place> {
    let capacities: Vec<f64> = servers
        .iter()
        .map(|server| capacity_ms(engine, server))
        .collect();
    let width = width(engine, need, &capacities)?;
    let segment_ms = engine.read_ms(need.prompt, width);
    let mut order: Vec<usize> = (0..servers.len()).collect();
    order.retain(|at| capacities[*at] >= segment_ms);
    // Servers without tight gap limits first.
    order.sort_by_key(|at| {
        let server = &servers[*at];
        let tight = matches!(lanes[*at], Lane::Tight) || server.load.tight > 0;
        let busy = (place::reading_ms(server) / EQUAL_MS) as u32;
        (tight, busy, place::shuffled_key(server, need.draw))
    });
    let writer = long::writer(engine, need, servers, &[], &order)?;
    order.retain(|at| *at != writer);
    order.truncate(width - 1);
    let helpers = order;
    let reserved = long::reserve(engine, need, servers, writer, &helpers)?;
    let ends = helpers.iter().chain([&writer]).map(|at| {
        let server = &servers[*at];
        let load = &server.load;
        let pass_ms = engine.pass_ms(load.writers, load.context);
        (f64::from(load.backlog_ms) + segment_ms + pass_ms) * server.pace.max(1.0)
    });
    let read_ms = ends.fold(0.0, f64::max);
    let load = &servers[writer].load;
    let pass_ms = engine.pass_ms(load.writers + 1, load.context + need.prompt);
    Some(place::Place {
        writer,
        helpers,
        reserved,
        first_ms: read_ms + pass_ms,
        segment_ms,
        delay_ms: 0.0,
        takes_turn: false,
    })
}

/// Milliseconds that may be read at a server now.
fn capacity_ms(engine: &model::Engine, server: &place::Server) -> f64 {
    let load = &server.load;
    if load.long > 0 || load.readers + load.writers >= server.slots {
        return 0.0;
    }
    let (most_ms, pass_ms) = match load.bound_ms {
        0 => (IDLE_CAPACITY_MS, 0.0),
        bound => (
            f64::from(bound) * place::GAP_SHARE,
            engine.pass_ms(load.writers + load.readers, load.context),
        ),
    };
    let slow = (server.pace - 1.0).max(0.0) * place::SLOW_MS + server.failing * place::FAILING_MS;
    most_ms / server.pace.max(1.0) - pass_ms - place::reading_ms(server) - slow
}

/// Number of servers that read a prompt: the fewest that have capacity for its segments.
fn width(engine: &model::Engine, need: &place::Need, capacities: &[f64]) -> Option<usize> {
    let alone_ms = engine.read_ms(need.prompt, 1);
    let least = (alone_ms / SEGMENT_MS).ceil() as usize;
    let least = least.clamp(1, place::MAX_WIDTH);
    let mut widths = least..=place::MAX_WIDTH;
    widths.find(|width| {
        let segment_ms = engine.read_ms(need.prompt, *width);
        let fit = capacities
            .iter()
            .filter(|capacity_ms| **capacity_ms >= segment_ms)
            .count();
        fit >= width * SPARE_FACTOR
    })
}
