//! Placing a long prompt, which takes its turn on the lane of reading.

use crate::direct::lane;
use crate::direct::lane::Lane;
use crate::direct::model;
use crate::direct::place;

/// Milliseconds of reading left at a server at which the next prompt is sent there: the way to
/// it takes as long.
const NEARLY_FREE_MS: f64 = 15.0;

/// Milliseconds for which a server is not to be had for a long prompt. Short parts are read there
/// at any time, and a moment without any of them on the whole lane is rare.
fn turn_ms(server: &place::Server) -> f64 {
    let slow = (server.pace - 1.0).max(0.0) * place::SLOW_MS + server.failing * place::FAILING_MS;
    if server.load.long == 0 {
        return slow;
    }
    until_read_ms(server) + slow
}

/// Least time for which a server counts as busy while the first event of a long prompt read there
/// has not come, though its work should be done. Begun before, the next one's parts came into the
/// same pass, and a prompt of 218,000 tokens took 3.4 s in place of 0.6.
const UNREAD_MS: f64 = 20.0;

/// Milliseconds until the long prompts read at a server are read.
fn until_read_ms(server: &place::Server) -> f64 {
    f64::from(server.load.backlog_ms).max(UNREAD_MS)
}

/// Places a long prompt on the lane of reading, or on all servers where there is none, if it is
/// free.
pub(super) fn find(
    engine: &model::Engine,
    need: &place::Need,
    servers: &[place::Server],
    lanes: &[Lane],
) -> Option<place::Place> {
    let mut order = lane::of(lanes, Lane::Read);
    if order.is_empty() {
        order = (0..servers.len()).collect();
    }
    place::sort_by_busy(need, servers, &mut order);
    let busy: Vec<f64> = order.iter().map(|at| turn_ms(&servers[*at])).collect();
    order.truncate(width(engine, need, &busy));
    let mut order = calm(engine, need, servers, order);
    let write = lane::of(lanes, Lane::Write);
    let first = writer(engine, need, servers, &order, &write)?;
    order.retain(|at| *at != first);
    order.truncate(place::MAX_WIDTH - 1);
    let helpers = order.clone();
    order.push(first);
    let aside = set_aside(engine, need, servers, first, &helpers)?;
    let part_ms = engine.read_ms(need.prompt, order.len());
    // Only other long prompts are waited for.
    let reading = order.iter().filter(|at| servers[**at].load.long > 0);
    let backlogs = reading.map(|at| until_read_ms(&servers[*at]));
    let backlog = backlogs.fold(0.0, f64::max);
    let delay_ms = if backlog < NEARLY_FREE_MS {
        0.0
    } else {
        backlog
    };
    let slowest = order.iter().map(|at| servers[*at].pace).fold(1.0, f64::max);
    let load = &servers[first].load;
    let pass_ms = engine.pass_ms(load.writers + 1, load.context + need.prompt);
    let first_ms =
        delay_ms + place::queue_ms(engine, need, &servers[first]) + part_ms * slowest + pass_ms;
    Some(place::Place {
        writer: first,
        helpers,
        reserved: aside,
        first_ms,
        segment_ms: part_ms,
        delay_ms,
        takes_turn: true,
    })
}

/// Part of the servers that is left when those with writers are left out. Fewer would take longer
/// than the pauses are worth.
const LEAST_CALM: f64 = 0.75;

/// Leaves out servers whose writers would pause for too long, if nearly all others are free.
/// With the choice of helpers for shorter prompts and the wait for a first event, the worth of 20
/// seeded days is 0.669 in place of 0.666.
fn calm(
    engine: &model::Engine,
    need: &place::Need,
    servers: &[place::Server],
    order: Vec<usize>,
) -> Vec<usize> {
    let part_ms = engine.read_ms(need.prompt, order.len());
    let is_calm = |at: &usize| {
        let load = &servers[*at].load;
        let pause_ms = engine.pass_ms(load.writers, load.context) + part_ms;
        load.writers == 0 || pause_ms < f64::from(load.bound_ms) * place::PAUSE_PART
    };
    let left: Vec<usize> = order.iter().copied().filter(is_calm).collect();
    if (left.len() as f64) < order.len() as f64 * LEAST_CALM {
        return order;
    }
    left
}

/// Which server writes a long prompt's answer: one of `lane`, failing that of `readers`.
pub(super) fn writer(
    engine: &model::Engine,
    need: &place::Need,
    servers: &[place::Server],
    readers: &[usize],
    lane: &[usize],
) -> Option<usize> {
    let cost = |at: &usize| {
        let one = &servers[*at];
        let near = if one.near { 0.0 } else { place::ZONE };
        // Those who write beside each other slow each other down, and hold memory; and a part
        // that is still read there comes first.
        let memory = one.load.memory as f64 / engine.memory_tokens.max(1) as f64;
        let backlog = f64::from(one.load.backlog_ms) / 1e3;
        memory + backlog + place::crowd(one) + near + one.failing + (one.pace - 1.0).max(0.0)
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
pub(super) fn set_aside(
    engine: &model::Engine,
    need: &place::Need,
    servers: &[place::Server],
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

fn free_memory(engine: &model::Engine, server: &place::Server) -> u64 {
    engine.memory_tokens.saturating_sub(server.load.memory)
}

/// Part of the time that is left to be on time which reading may take: the rest is for what comes
/// between, parts that go first and a server that is slower than known.
const READ_PART: f64 = 0.3;

/// Prompts that a lane is wide enough to read at once before each is given only as many servers as
/// keep it on time. Narrower lanes are better used by one after the other, each on all of them. Of
/// 854 callers of a played burst on 112 servers 820 are on time with it, 807 without; with 14 servers
/// all stays as it was.
const AT_ONCE: usize = 3;

/// On how many servers a prompt is read soon enough to be on time.
fn enough(engine: &model::Engine, need: &place::Need) -> usize {
    let alone_ms = engine.read_ms(need.prompt, 1);
    let read_ms = need.objective.as_secs_f64() * 1e3 * READ_PART;
    let enough = (alone_ms / read_ms.max(1.0)).ceil() as usize;
    enough.clamp(1, place::MAX_WIDTH)
}

/// Whether the lane of reading is so wide that several prompts are read there at once.
pub(super) fn is_wide(engine: &model::Engine, need: &place::Need, lanes: &[Lane]) -> bool {
    let count = lane::of(lanes, Lane::Read).len();
    count >= enough(engine, need) * AT_ONCE
}

/// On how many of the lane's servers a prompt is read: `busy` are the milliseconds until each is
/// free, ascending.
fn width(engine: &model::Engine, need: &place::Need, busy: &[f64]) -> usize {
    let enough = enough(engine, need);
    if busy.len() >= enough * AT_ONCE {
        return enough;
    }
    soonest(busy, engine.read_ms(need.prompt, 1))
}

/// On how many servers a prompt is read soonest, if all begin when the last of them is free.
/// `busy`: milliseconds until each is, ascending.
fn soonest(busy: &[f64], alone_ms: f64) -> usize {
    let ends = |at: usize| busy[at] + alone_ms / (at + 1) as f64;
    let widths = 0..busy.len().min(place::MAX_WIDTH);
    let best = widths.min_by(|one, other| ends(*one).total_cmp(&ends(*other)));
    best.map_or(1, |at| at + 1)
}
