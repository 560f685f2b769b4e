//! Servers that a request may go to, by how they stand: heard of, answering, with or without a limit.

use std::time::Duration;

use super::course::Course;
use crate::direct::register;

/// Silence of heartbeats after which a server is only used if no other is there.
const UNHEARD: Duration = Duration::from_secs(6);

/// Servers that a request may go to, but for those that name a limit: those in good standing;
/// failing that, any, if no server with a limit is in good standing.
pub(super) fn candidates(
    state: &super::State,
    now: Duration,
    course: &Course,
) -> Vec<register::Record> {
    let ready: Vec<(&register::Record, Duration)> =
        state.register.ready(now, &course.service).collect();
    let good = ready
        .iter()
        .filter(|(one, age)| is_good(state, now, course, one, *age));
    let (limited, open): (Vec<&register::Record>, Vec<&register::Record>) = good
        .map(|(one, _)| *one)
        .partition(|one| state.is_limited(&one.life));
    if !open.is_empty() || !limited.is_empty() {
        return open.into_iter().cloned().collect();
    }
    let open = ready.iter().map(|(one, _)| *one);
    let open: Vec<&register::Record> = open.filter(|one| !state.is_limited(&one.life)).collect();
    let untried = |one: &&&register::Record| !course.tried.contains(&one.life);
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
    course: &Course,
    other: bool,
) -> Vec<register::Record> {
    let ready = state.register.ready(now, &course.service);
    let all: Vec<(&register::Record, Duration)> = ready
        .filter(|(one, _)| state.is_limited(&one.life))
        .collect();
    let good = all
        .iter()
        .filter(|(one, age)| is_good(state, now, course, one, *age));
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
    course: &Course,
    server: &register::Record,
    age: Duration,
) -> bool {
    let untried = !course.tried.contains(&server.life);
    age < UNHEARD && untried && !state.healths.is_out(now, &server.life)
}
