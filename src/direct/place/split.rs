//! Placing a long prompt in parts so short that no writer's pause grows too long.
//!
//! The load that this answers: many servers, of which most have time between the events of those
//! who write there. There a prompt need not wait for a turn on a lane of its own, and several are
//! read at once on servers of their own.

use crate::direct::lane::Lane;
use crate::direct::model;
use crate::direct::place;
use crate::direct::place::long;

/// Milliseconds of reading that a part is meant to have. Shorter ones gain little: a first event
/// waits for the end of a pass, which takes as long. Of 854 callers of a played burst on 112 servers
/// 820 are on time with parts beside writers, 789 without.
const PART_MS: f64 = 100.0;

/// Servers with room that there must be for each that is taken. Where a prompt would take more of
/// what is free, the next one finds nothing: then they had better be read one after the other.
const SPARE: usize = 2;

/// Milliseconds that may be read where nobody writes: a short prompt that comes there meanwhile waits
/// no longer, and can still be on time.
const ALONE_MS: f64 = 350.0;

/// Milliseconds of reading below which servers count as equally free: what other entries gave them
/// meanwhile is not known to that.
const EQUAL_MS: f64 = 25.0;

/// Places a long prompt without a turn. `None`: too few servers have room for its parts.
pub(super) fn find(
    engine: &model::Engine,
    need: &place::Need,
    servers: &[place::Server],
    lanes: &[Lane],
) -> Option<place::Place> {
    let rooms: Vec<f64> = servers.iter().map(|one| room_ms(engine, one)).collect();
    let width = width(engine, need, &rooms)?;
    let part_ms = engine.read_ms(need.prompt, width);
    let mut order: Vec<usize> = (0..servers.len()).collect();
    order.retain(|at| rooms[*at] >= part_ms);
    // Where nobody has tight pauses first.
    order.sort_by_key(|at| {
        let one = &servers[*at];
        let tight = matches!(lanes[*at], Lane::Tight) || one.load.tight > 0;
        let busy = (place::reading_ms(one) / EQUAL_MS) as u32;
        (tight, busy, place::mixed(one, need.draw))
    });
    let first = long::writer(engine, need, servers, &[], &order)?;
    order.retain(|at| *at != first);
    order.truncate(width - 1);
    let helpers = order;
    let aside = long::set_aside(engine, need, servers, first, &helpers)?;
    let ends = helpers.iter().chain([&first]).map(|at| {
        let one = &servers[*at];
        let load = &one.load;
        let pass_ms = engine.pass_ms(load.writers, load.context);
        (f64::from(load.backlog_ms) + part_ms + pass_ms) * one.pace.max(1.0)
    });
    let read_ms = ends.fold(0.0, f64::max);
    let load = &servers[first].load;
    let pass_ms = engine.pass_ms(load.writers + 1, load.context + need.prompt);
    Some(place::Place {
        writer: first,
        helpers,
        reserved: aside,
        first_ms: read_ms + pass_ms,
        segment_ms: part_ms,
        delay_ms: 0.0,
        takes_turn: false,
    })
}

/// Milliseconds that may be read at a server now.
fn room_ms(engine: &model::Engine, server: &place::Server) -> f64 {
    let load = &server.load;
    if load.long > 0 || load.readers + load.writers >= server.slots {
        return 0.0;
    }
    let (most_ms, pass_ms) = match load.bound_ms {
        0 => (ALONE_MS, 0.0),
        bound => (
            f64::from(bound) * place::PAUSE_PART,
            engine.pass_ms(load.writers + load.readers, load.context),
        ),
    };
    let slow = (server.pace - 1.0).max(0.0) * place::SLOW_MS + server.failing * place::FAILING_MS;
    most_ms / server.pace.max(1.0) - pass_ms - place::reading_ms(server) - slow
}

/// On how many servers a prompt is read: as few as have room for its parts.
fn width(engine: &model::Engine, need: &place::Need, rooms: &[f64]) -> Option<usize> {
    let alone_ms = engine.read_ms(need.prompt, 1);
    let least = (alone_ms / PART_MS).ceil() as usize;
    let least = least.clamp(1, place::MAX_WIDTH);
    let mut widths = least..=place::MAX_WIDTH;
    widths.find(|width| {
        let part_ms = engine.read_ms(need.prompt, *width);
        let fit = rooms.iter().filter(|room| **room >= part_ms).count();
        fit >= width * SPARE
    })
}
