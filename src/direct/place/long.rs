//! Placement of a long prompt that takes its turn on the reading lane.

use crate::direct::lane;
use crate::direct::lane::Lane;
use crate::direct::model;
use crate::direct::place;

/// Milliseconds of reading left at a server at which the next prompt is already sent there: it
/// takes as long to arrive.
const NEARLY_FREE_MS: f64 = 15.0;

/// Milliseconds until a server is available for a long prompt. Short segments do not count: they
/// are read at any time, and the whole lane is rarely free of them.
fn turn_ms(server: &place::Server) -> f64 {
    let slow = (server.pace - 1.0).max(0.0) * place::SLOW_MS + server.failing * place::FAILING_MS;
    if server.load.long == 0 {
        return slow;
    }
    until_read_ms(server) + slow
}

/// Shortest time for which a server counts as busy while a long prompt that it reads has no first
/// event, although the work should be done. If the next prompt began earlier, its segments would
/// come into the same pass: a prompt of 218,000 tokens took 3.4 s instead of 0.6.
const UNREAD_MS: f64 = 20.0;

/// Milliseconds until a server has read its long prompts.
fn until_read_ms(server: &place::Server) -> f64 {
    f64::from(server.load.backlog_ms).max(UNREAD_MS)
}

/// Places a long prompt on the reading lane, or on all servers if that lane is empty. `None`: there
/// is not enough free memory now.
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
    let is_wide = place::is_wide(servers);
    if is_wide {
        // Short segments do not count, so a server with some may be free before another.
        order.sort_by(|one, other| turn_ms(&servers[*one]).total_cmp(&turn_ms(&servers[*other])));
    }
    let busy: Vec<f64> = order.iter().map(|at| turn_ms(&servers[*at])).collect();
    order.truncate(width(engine, need, &busy, is_wide));
    leave_out_slow(servers, &mut order);
    let mut order = without_writers(engine, need, servers, order);
    let writers = lane::of(lanes, Lane::Write);
    // One that still reads would make the prompt wait although others are free.
    let idle = writers.iter().copied();
    let idle: Vec<usize> = idle
        .filter(|at| !is_wide || servers[*at].load.long == 0)
        .collect();
    let writer = writer(engine, need, servers, &order, &idle)
        .or_else(|| writer(engine, need, servers, &order, &writers))?;
    order.retain(|at| *at != writer);
    order.truncate(place::MAX_WIDTH - 1);
    let helpers = order.clone();
    order.push(writer);
    let reserved = reserve(engine, need, servers, writer, &helpers)?;
    let segment_ms = engine.read_ms(need.prompt, order.len());
    // Only other long prompts are waited for.
    let waited_for = order.iter().filter(|at| servers[**at].load.long > 0);
    let backlogs = waited_for.map(|at| until_read_ms(&servers[*at]));
    let backlog_ms = backlogs.fold(0.0, f64::max);
    let delay_ms = if backlog_ms < NEARLY_FREE_MS {
        0.0
    } else {
        backlog_ms
    };
    let slowest = order.iter().map(|at| servers[*at].pace).fold(1.0, f64::max);
    let load = &servers[writer].load;
    let pass_ms = engine.pass_ms(load.writers + 1, load.context + need.prompt);
    let first_ms =
        delay_ms + place::queue_ms(engine, need, &servers[writer]) + segment_ms * slowest + pass_ms;
    Some(place::Place {
        writer,
        helpers,
        reserved,
        first_ms,
        segment_ms,
        delay_ms,
        takes_turn: true,
    })
}

/// Share of the servers that must remain when those with writers are left out. On fewer, reading
/// takes longer than the gaps are worth.
const MIN_REMAINING_SHARE: f64 = 0.75;

/// Leaves out servers whose writers would pause for too long, if nearly all others are free.
/// Together with the choice of helpers for shorter prompts and the wait for a first event this
/// raises the goodput slightly.
fn without_writers(
    engine: &model::Engine,
    need: &place::Need,
    servers: &[place::Server],
    order: Vec<usize>,
) -> Vec<usize> {
    let segment_ms = engine.read_ms(need.prompt, order.len());
    let is_unaffected = |at: &usize| {
        let load = &servers[*at].load;
        let gap_ms = engine.pass_ms(load.writers, load.context) + segment_ms;
        load.writers == 0 || gap_ms < f64::from(load.bound_ms) * place::GAP_SHARE
    };
    let remaining: Vec<usize> = order.iter().copied().filter(is_unaffected).collect();
    if (remaining.len() as f64) < order.len() as f64 * MIN_REMAINING_SHARE {
        return order;
    }
    remaining
}

/// Server that writes a long prompt's answer: one of `lane`, otherwise one of `readers`.
pub(super) fn writer(
    engine: &model::Engine,
    need: &place::Need,
    servers: &[place::Server],
    readers: &[usize],
    lane: &[usize],
) -> Option<usize> {
    let cost = |at: &usize| {
        let server = &servers[*at];
        let zone = if server.near { 0.0 } else { place::ZONE_COST };
        // Answers written beside each other slow each other down and hold memory, and a segment
        // that is still being read comes first.
        let memory = server.load.memory as f64 / engine.memory_tokens.max(1) as f64;
        let backlog = f64::from(server.load.backlog_ms) / 1e3;
        memory
            + backlog
            + place::crowding_cost(server)
            + zone
            + server.failing
            + (server.pace - 1.0).max(0.0)
    };
    let is_large = need.prompt + need.answer > engine.memory_tokens;
    let cheapest = |candidates: &[usize]| {
        let fits = candidates.iter().filter(|at| {
            let server = &servers[**at];
            let free = free_memory(engine, server);
            if is_large {
                free > engine.memory_tokens / 2
            } else {
                need.prompt + need.answer <= free
            }
        });
        fits.min_by(|one, other| cost(one).total_cmp(&cost(other)))
            .copied()
    };
    cheapest(lane).or_else(|| cheapest(readers))
}

/// Tokens to reserve at each helper for what a request needs beyond the memory of the writing
/// server. `None`: the helpers do not have that much now.
pub(super) fn reserve(
    engine: &model::Engine,
    need: &place::Need,
    servers: &[place::Server],
    writer: usize,
    helpers: &[usize],
) -> Option<Vec<u64>> {
    let mut reserved = vec![0; helpers.len()];
    let own = free_memory(engine, &servers[writer]);
    let mut missing = (need.prompt + need.answer).saturating_sub(own);
    if missing == 0 {
        return Some(reserved);
    }
    // How much memory the prompt leaves on the writing server is not exact, so some more is
    // reserved.
    missing += own / 10;
    let mut order: Vec<usize> = (0..helpers.len()).collect();
    order.sort_by_key(|at| std::cmp::Reverse(free_memory(engine, &servers[helpers[*at]])));
    for at in order {
        let free = free_memory(engine, &servers[helpers[at]]);
        reserved[at] = (free - free / 10).min(missing);
        missing -= reserved[at];
        if missing == 0 {
            return Some(reserved);
        }
    }
    None
}

fn free_memory(engine: &model::Engine, server: &place::Server) -> u64 {
    engine.memory_tokens.saturating_sub(server.load.memory)
}

/// Share of the time left until the objective that reading may take. The rest is for segments that
/// go first, and for a server that is slower than known.
const READ_SHARE: f64 = 0.3;

/// Prompts that a lane must be wide enough to read at once before each is given only as many
/// servers as keep it on time. Narrower lanes are better used by one prompt after the other, each
/// on all servers. Without this 47 of 854 callers of a burst on 112 servers are not served on time,
/// with it 34.
const MIN_PARALLEL: usize = 3;

/// Number of servers that read a prompt soon enough to be on time.
fn min_width(engine: &model::Engine, need: &place::Need) -> usize {
    let alone_ms = engine.read_ms(need.prompt, 1);
    let read_ms = need.objective.as_secs_f64() * 1e3 * READ_SHARE;
    let min_width = (alone_ms / read_ms.max(1.0)).ceil() as usize;
    min_width.clamp(1, place::MAX_WIDTH)
}

/// Whether the reading lane is wide enough to read several prompts at once.
pub(super) fn is_wide(engine: &model::Engine, need: &place::Need, lanes: &[Lane]) -> bool {
    let count = lane::of(lanes, Lane::Read).len();
    count >= min_width(engine, need) * MIN_PARALLEL
}

/// Number of the lane's servers that read a prompt. `busy`: milliseconds until each is free,
/// ascending.
///
/// If fewer are free than the prompt is given on an idle lane of a wide fleet, it is read on those at
/// once where it is still on time: one that waited for 16 servers kept up to 15 idle meanwhile.
fn width(engine: &model::Engine, need: &place::Need, busy: &[f64], is_wide_fleet: bool) -> usize {
    let min_width = min_width(engine, need);
    let is_wide = busy.len() >= min_width * MIN_PARALLEL;
    let free = busy.partition_point(|ms| *ms < NEARLY_FREE_MS);
    let free = free.min(place::MAX_WIDTH);
    if is_wide && (free >= min_width || !is_wide_fleet) {
        return min_width;
    }
    let within = if need.objective.is_zero() {
        need.left
    } else {
        need.objective
    };
    let within_ms = within.as_secs_f64() * 1e3 * place::SAFE_SHARE;
    if is_wide_fleet && free > 0 && engine.read_ms(need.prompt, free) <= within_ms {
        return free;
    }
    if is_wide {
        return min_width;
    }
    soonest(busy, engine.read_ms(need.prompt, 1))
}

/// Leaves out servers so slow that the prompt would be read sooner without them: its segments are
/// even, so the slowest server ends last.
fn leave_out_slow(servers: &[place::Server], order: &mut Vec<usize>) {
    order.sort_by(|one, other| servers[*one].pace.total_cmp(&servers[*other].pace));
    let end =
        |count: usize, order: &[usize]| servers[order[count - 1]].pace.max(1.0) / count as f64;
    let least =
        (1..=order.len()).min_by(|one, other| end(*one, order).total_cmp(&end(*other, order)));
    order.truncate(least.unwrap_or(0));
}

/// Number of servers on which a prompt is read soonest, if all start when the last of them is free.
/// `busy`: milliseconds until each is free, ascending.
fn soonest(busy: &[f64], alone_ms: f64) -> usize {
    let ends = |at: usize| busy[at] + alone_ms / (at + 1) as f64;
    let widths = 0..busy.len().min(place::MAX_WIDTH);
    let best = widths.min_by(|one, other| ends(*one).total_cmp(&ends(*other)));
    best.map_or(1, |at| at + 1)
}
