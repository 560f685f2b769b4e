//! Backend servers that a request may go to, by state: heard recently, responsive, with or without
//! a request limit.

use std::time::Duration;

use super::context::Context;
use crate::direct::register;
use crate::direct::subset;

/// Time without heartbeats after which a server is used only if there is no other.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(6);

/// Servers that a request may go to, and the subset of the fleet that they were taken from.
pub(super) struct Candidates {
    pub(super) records: Vec<register::Record>,
    pub(super) subset: subset::Subset,
}

/// Servers without a request limit that a request may go to. Takes the healthy ones of the
/// request's subset of the fleet. If there are none, takes those of the whole fleet. If there are
/// none and no server with a limit is healthy either, takes any.
pub(super) fn candidates(state: &super::State, now: Duration, context: &Context) -> Candidates {
    let ready: Vec<register::Ready<'_>> = available(state, now, context).collect();
    let subset = subset::Subset::draw(ready.len(), context.need().draw);
    if subset != subset::Subset::WHOLE {
        let in_subset: Vec<register::Ready<'_>> = ready
            .iter()
            .filter(|server| subset.contains(server.key))
            .copied()
            .collect();
        let healthy = healthy(state, now, context, &in_subset);
        if !healthy.unlimited.is_empty() {
            let records = healthy.unlimited;
            return Candidates { records, subset };
        }
    }
    Candidates {
        records: of_whole_fleet(state, now, context, &ready),
        subset: subset::Subset::WHOLE,
    }
}

/// Servers that accept requests, in zones that are not evacuated and are homes of the request.
fn at_home<'a>(
    state: &'a super::State,
    now: Duration,
    context: &'a Context,
) -> impl Iterator<Item = register::Ready<'a>> {
    let ready = state.register.ready_with_keys(now, &context.service);
    ready.filter(|server| context.homes.allow(&server.record.zone))
}

/// [`at_home`], without those at which an attempt of the request is open, and without those in a
/// pause, whatever the state of the others. A stream that was passed on in part is not resumed at a
/// server that is silent or gone either: that spends one of its few runs for nothing.
fn available<'a>(
    state: &'a super::State,
    now: Duration,
    context: &'a Context,
) -> impl Iterator<Item = register::Ready<'a>> {
    let no_pauses = state.backoffs.is_empty();
    let is_resuming = context.is_resuming();
    let healths = &state.healths;
    without_open(state, now, context)
        .filter(move |server| no_pauses || state.backoffs.opens_at(now, server.key) <= now)
        .filter(move |server| !is_resuming || !healths.is_unreachable(now, &server.record.life))
}

fn without_open<'a>(
    state: &'a super::State,
    now: Duration,
    context: &'a Context,
) -> impl Iterator<Item = register::Ready<'a>> {
    let ready = at_home(state, now, context);
    ready.filter(|server| !context.open_at.contains(&server.record.life))
}

/// Servers of a request that are in a pause.
pub(super) struct Paused {
    /// Number of them.
    pub(super) servers: usize,
    /// When the first of them takes the request.
    pub(super) opens_at: Duration,
}

/// The servers of a request that are in a pause. `None`: there are none.
pub(super) fn paused(state: &super::State, now: Duration, context: &Context) -> Option<Paused> {
    if state.backoffs.is_empty() {
        return None;
    }
    let opens = without_open(state, now, context)
        .map(|server| state.backoffs.opens_at(now, server.key))
        .filter(|opens_at| now < *opens_at);
    opens.fold(None, |paused: Option<Paused>, opens_at| {
        Some(Paused {
            servers: paused.as_ref().map_or(0, |paused| paused.servers) + 1,
            opens_at: paused.map_or(opens_at, |paused| paused.opens_at.min(opens_at)),
        })
    })
}

/// Whether servers accept requests, but none that the request may go to: their zones are evacuated,
/// or are no homes of it.
pub(super) fn is_excluded(state: &super::State, now: Duration, context: &Context) -> bool {
    state.register.has_open(&context.service) && at_home(state, now, context).next().is_none()
}

struct Healthy {
    /// Servers without a request limit.
    unlimited: Vec<register::Record>,
    /// Whether there are healthy servers with a limit.
    has_limited: bool,
}

fn healthy(
    state: &super::State,
    now: Duration,
    context: &Context,
    ready: &[register::Ready<'_>],
) -> Healthy {
    let healthy = ready
        .iter()
        .filter(|server| is_healthy(state, now, context, server.record, server.age));
    let healthy: Vec<&register::Record> = healthy.map(|server| server.record).collect();
    let (limited, unlimited): (Vec<&register::Record>, Vec<&register::Record>) =
        without_doubted(state, now, context, healthy)
            .into_iter()
            .partition(|record| state.is_limited(now, &record.life));
    Healthy {
        unlimited: unlimited.into_iter().cloned().collect(),
        has_limited: !limited.is_empty(),
    }
}

fn of_whole_fleet(
    state: &super::State,
    now: Duration,
    context: &Context,
    ready: &[register::Ready<'_>],
) -> Vec<register::Record> {
    let healthy = healthy(state, now, context, ready);
    if !healthy.unlimited.is_empty() || healthy.has_limited {
        return healthy.unlimited;
    }
    let all = ready.iter().map(|server| server.record);
    let all: Vec<&register::Record> = all
        .filter(|record| !state.is_limited(now, &record.life))
        .collect();
    let has_not_failed =
        |record: &&&register::Record| !context.failed_servers.contains(&record.life);
    let not_failed: Vec<register::Record> = all
        .iter()
        .filter(has_not_failed)
        .copied()
        .cloned()
        .collect();
    if !not_failed.is_empty() {
        return not_failed;
    }
    all.into_iter().cloned().collect()
}

/// Servers with a request limit that a request may go to: the healthy ones, or any if none is
/// healthy and there is no `other` server.
pub(super) fn limited(
    state: &super::State,
    now: Duration,
    context: &Context,
    other: bool,
) -> Vec<register::Record> {
    let ready = available(state, now, context).map(|server| (server.record, server.age));
    let all: Vec<(&register::Record, Duration)> = ready
        .filter(|(record, _)| state.is_limited(now, &record.life))
        .collect();
    let healthy = all
        .iter()
        .filter(|(record, age)| is_healthy(state, now, context, record, *age));
    let healthy: Vec<register::Record> = healthy.map(|(record, _)| (*record).clone()).collect();
    if !healthy.is_empty() || other {
        return healthy;
    }
    all.into_iter().map(|(record, _)| record.clone()).collect()
}

/// Leaves out doubted servers for a call that may not be repeated, since it is lost with its server,
/// unless all are doubted.
fn without_doubted<'a>(
    state: &super::State,
    now: Duration,
    context: &Context,
    healthy: Vec<&'a register::Record>,
) -> Vec<&'a register::Record> {
    if !context.is_call() || context.route.repeatable() {
        return healthy;
    }
    let is_sure = |server: &&register::Record| !state.healths.is_doubted(now, &server.life);
    let sure: Vec<&register::Record> = healthy.iter().copied().filter(is_sure).collect();
    if sure.is_empty() { healthy } else { sure }
}

/// Whether a server was heard recently, is not paused, and did not fail this request before.
fn is_healthy(
    state: &super::State,
    now: Duration,
    context: &Context,
    server: &register::Record,
    age: Duration,
) -> bool {
    let has_not_failed = !context.failed_servers.contains(&server.life);
    age < HEARTBEAT_TIMEOUT && has_not_failed && !state.healths.is_paused(now, &server.life)
}
