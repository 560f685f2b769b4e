//! Retry decisions after failed attempts, the replies to callers, and the shared retry budget.
//!
//! Guards against requests that run twice though they must not, and against replies that say "not
//! run" of a request that may have run.

use std::time::Duration;

use assert_matches::assert_matches;
use wigeonbarrow::direct::budget;
use wigeonbarrow::direct::catalog::Kind;
use wigeonbarrow::direct::catalog::Route;
use wigeonbarrow::direct::retry;
use wigeonbarrow::direct::retry::Failure;
use wigeonbarrow::direct::retry::History;
use wigeonbarrow::direct::retry::Reply;

const LEFT: Duration = Duration::from_secs(2);
const RETRY_AFTER: Duration = Duration::from_millis(830);

fn route(kind: Kind, resumable: bool) -> Route {
    Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind,
        timeout: LEFT,
        objective: LEFT,
        max_pause: None,
        priority: 0,
        targets: Vec::new(),
        max_servers: 2,
        public: false,
        resumable,
        homes: Vec::new(),
    }
}

fn not_run() -> Failure {
    Failure::NotRun {
        at_fault: None,
        displaced: false,
    }
}

fn failures() -> Vec<Failure> {
    vec![
        Failure::Unsent,
        Failure::Withdrawn,
        not_run(),
        Failure::Broken,
        Failure::Silent,
        Failure::Slow,
        Failure::Failed,
        Failure::Late,
    ]
}

fn history(ran: u32) -> History {
    History { ran, tried: 1 }
}

#[test]
fn unrepeatable_runs_once() {
    for route in [route(Kind::Unsafe, true), route(Kind::Stream, false)] {
        for failure in failures() {
            let ran = u32::from(!failure.not_run());
            let allowed = retry::is_allowed(&route, &failure, history(ran), LEFT);
            assert_eq!(allowed, failure.not_run(), "{failure:?}");
        }
    }
}

#[test]
fn servers_per_request_limited() {
    let safe = route(Kind::Safe, false);
    assert!(retry::is_allowed(&safe, &Failure::Broken, history(1), LEFT));
    assert!(!retry::is_allowed(
        &safe,
        &Failure::Broken,
        history(2),
        LEFT
    ));
    let stream = route(Kind::Stream, true);
    assert!(retry::is_allowed(&stream, &Failure::Slow, history(1), LEFT));
    assert!(!retry::is_allowed(
        &stream,
        &Failure::Slow,
        history(2),
        LEFT
    ));
}

#[test]
fn no_retry_after_deadline() {
    let safe = route(Kind::Safe, false);
    assert!(!retry::is_allowed(
        &safe,
        &Failure::Unsent,
        history(0),
        Duration::ZERO
    ));
    assert!(!retry::is_allowed(&safe, &Failure::Late, history(0), LEFT));
}

/// A reply says "not run" only if no attempt may have run, however the last attempt failed.
#[test]
fn busy_only_if_not_run() {
    for failure in failures() {
        for ran in 0..3 {
            let reply = retry::reply(&failure, history(ran), LEFT);
            let says_not_run = matches!(reply, Reply::Busy(_));
            assert!(!(says_not_run && ran > 0), "{failure:?} {ran}");
        }
    }
    assert_matches!(retry::reply(&not_run(), history(0), LEFT), Reply::Busy(after) if !after.is_zero());
    assert_eq!(retry::reply(&not_run(), history(1), LEFT), Reply::Failed);
    assert_eq!(
        retry::reply(&Failure::Late, history(1), LEFT),
        Reply::TimedOut
    );
}

/// Entries that do not communicate keep within the limit together.
#[test]
fn entries_share_budget() {
    let limit = budget::Limit {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack: 100.0,
    };
    let entries = 7;
    let mut spent = 0;
    let mut requests = 0;
    let now = Duration::from_secs(1);
    for _ in 0..entries {
        let mut budget = budget::Budget::new(limit);
        for _ in 0..50 {
            budget.record_request(now, "pool");
            requests += 1;
        }
        while budget.try_spend(now, "pool", entries) {
            spent += 1;
        }
    }
    let bound = f64::from(requests) * limit.ratio + limit.slack;
    assert!(f64::from(spent) <= bound, "{spent} of {bound}");
    assert!(
        f64::from(spent) > bound / 3.0,
        "{spent} of {bound}: too few retries allowed"
    );
}

#[test]
fn budget_renewed_after_window() {
    let limit = budget::Limit {
        ratio: 0.0,
        window: Duration::from_secs(10),
        slack: 10.0,
    };
    let mut budget = budget::Budget::new(limit);
    let start = Duration::from_secs(1);
    let mut spent = 0;
    while budget.try_spend(start, "pool", 1) {
        spent += 1;
    }
    let within = start + limit.window.mul_f64(0.999);
    assert!(!budget.try_spend(within, "pool", 1));
    assert!(budget.try_spend(start + limit.window, "pool", 1));
    assert!(spent > 0);
}

/// A server that breaks off a call that may not be repeated is avoided by all entries after the first
/// such call. A call that may be repeated is answered by another server instead.
#[test]
fn broken_unrepeatable_suspects_server() {
    for failure in failures() {
        let is_broken = matches!(failure, Failure::Broken);
        let once = route(Kind::Unsafe, false);
        assert_eq!(
            retry::suspects_server(&once, &failure),
            is_broken,
            "{failure:?}"
        );
        let repeatable = route(Kind::Safe, false);
        assert!(
            !retry::suspects_server(&repeatable, &failure),
            "{failure:?}"
        );
    }
}

/// If the servers' rate limits are used up, the caller is told when to retry, and the entry itself
/// does not retry.
#[test]
fn limited_tells_retry_after() {
    tells_retry_after(&Failure::Limited(RETRY_AFTER));
}

/// The same of a request that this entry rejects: a sixth of the time left would bring its caller back
/// before there is capacity.
#[test]
fn away_tells_retry_after() {
    tells_retry_after(&Failure::Away(RETRY_AFTER));
}

fn tells_retry_after(failure: &Failure) {
    let reply = retry::reply(failure, history(0), LEFT);
    assert_eq!(reply, Reply::Busy(RETRY_AFTER));
    assert_eq!(retry::reply(failure, history(1), LEFT), Reply::Failed);
    for kind in [Kind::Safe, Kind::Unsafe, Kind::Stream] {
        assert!(!retry::is_allowed(
            &route(kind, true),
            failure,
            history(0),
            LEFT
        ));
    }
}

/// A stopping process sends its callers to other entries at once, and says "not run" only of requests
/// that did not run.
#[test]
fn stopping_process_redirects() {
    let failure = Failure::Ending;
    assert_eq!(
        retry::reply(&failure, history(0), LEFT),
        Reply::Busy(Duration::ZERO)
    );
    assert_eq!(retry::reply(&failure, history(1), LEFT), Reply::Failed);
    for kind in [Kind::Safe, Kind::Unsafe, Kind::Stream] {
        assert!(!retry::is_allowed(
            &route(kind, true),
            &failure,
            history(0),
            LEFT
        ));
    }
}

/// A request under which servers crashed is not sent again, and says "not run" only if it did not run.
#[test]
fn suspect_ends() {
    let failure = Failure::Suspect;
    assert_eq!(
        retry::reply(&failure, history(0), LEFT),
        Reply::Busy(retry::SUSPECT_RETRY_AFTER)
    );
    assert_eq!(retry::reply(&failure, history(1), LEFT), Reply::Failed);
    for kind in [Kind::Safe, Kind::Unsafe, Kind::Stream] {
        assert!(!retry::is_allowed(
            &route(kind, true),
            &failure,
            history(0),
            LEFT
        ));
    }
}
