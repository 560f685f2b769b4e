//! Servers that a request may go to, by how they stand: heard of, answering, with or without a limit.

use std::time::Duration;

use super::context::Context;
use crate::direct::register;
use crate::direct::subset;

/// Silence of heartbeats after which a server is only used if no other is there.
const UNHEARD: Duration = Duration::from_secs(6);

/// Servers that a request may go to, and the part of the fleet that they belong to.
pub(super) struct Candidates {
    pub(super) records: Vec<register::Record>,
    pub(super) part: subset::Subset,
}

/// Servers that a request may go to, but for those that name a limit: those of its part of the
/// fleet in good standing; failing that, of the whole fleet; failing that, any, if no server with
/// a limit is in good standing.
pub(super) fn candidates(state: &super::State, now: Duration, context: &Context) -> Candidates {
    let ready: Vec<register::Ready<'_>> = state
        .register
        .ready_with_keys(now, &context.service)
        .collect();
    let part = subset::Subset::draw(ready.len(), context.need().draw);
    if part != subset::Subset::WHOLE {
        let of_part: Vec<register::Ready<'_>> = ready
            .iter()
            .filter(|one| part.contains(one.key))
            .copied()
            .collect();
        let good = in_good_standing(state, now, context, &of_part);
        if !good.open.is_empty() {
            let records = good.open;
            return Candidates { records, part };
        }
    }
    Candidates {
        records: of_whole(state, now, context, &ready),
        part: subset::Subset::WHOLE,
    }
}

struct Good {
    /// Those that name no limit.
    open: Vec<register::Record>,
    /// Whether there are others.
    has_limited: bool,
}

fn in_good_standing(
    state: &super::State,
    now: Duration,
    context: &Context,
    ready: &[register::Ready<'_>],
) -> Good {
    let good = ready
        .iter()
        .filter(|one| is_good(state, now, context, one.record, one.age));
    let (limited, open): (Vec<&register::Record>, Vec<&register::Record>) = good
        .map(|one| one.record)
        .partition(|one| state.is_limited(&one.life));
    Good {
        open: open.into_iter().cloned().collect(),
        has_limited: !limited.is_empty(),
    }
}

fn of_whole(
    state: &super::State,
    now: Duration,
    context: &Context,
    ready: &[register::Ready<'_>],
) -> Vec<register::Record> {
    let good = in_good_standing(state, now, context, ready);
    if !good.open.is_empty() || good.has_limited {
        return good.open;
    }
    let open = ready.iter().map(|one| one.record);
    let open: Vec<&register::Record> = open.filter(|one| !state.is_limited(&one.life)).collect();
    let untried = |one: &&&register::Record| !context.failed_servers.contains(&one.life);
    let rest: Vec<register::Record> = open.iter().filter(untried).copied().cloned().collect();
    if !rest.is_empty() {
        return rest;
    }
    open.into_iter().cloned().collect()
}

/// Servers that name a limit: those in good standing; failing that, any if there is no `other`.
pub(super) fn limited(
    state: &super::State,
    now: Duration,
    context: &Context,
    other: bool,
) -> Vec<register::Record> {
    let ready = state.register.ready(now, &context.service);
    let all: Vec<(&register::Record, Duration)> = ready
        .filter(|(one, _)| state.is_limited(&one.life))
        .collect();
    let good = all
        .iter()
        .filter(|(one, age)| is_good(state, now, context, one, *age));
    let good: Vec<register::Record> = good.map(|(one, _)| (*one).clone()).collect();
    if !good.is_empty() || other {
        return good;
    }
    all.into_iter().map(|(one, _)| one.clone()).collect()
}

/// Whether a server is heard of, answers, and has not failed this request before.
fn is_good(
    state: &super::State,
    now: Duration,
    context: &Context,
    server: &register::Record,
    age: Duration,
) -> bool {
    let untried = !context.failed_servers.contains(&server.life);
    age < UNHEARD && untried && !state.healths.is_paused(now, &server.life)
}
