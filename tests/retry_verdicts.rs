//! What follows from the end of an attempt, and what a caller may be told.

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
    }
}

fn not_run() -> Failure {
    Failure::NotRun {
        at_fault: None,
        displaced: false,
    }
}

fn ends() -> Vec<Failure> {
    vec![
        Failure::Unsent,
        not_run(),
        Failure::Broken,
        Failure::Silent,
        Failure::Slow,
        Failure::Failed,
        Failure::Late,
    ]
}

fn past(ran: u32) -> History {
    History { ran, tried: 1 }
}

#[test]
fn unsafe_once() {
    for route in [route(Kind::Unsafe, true), route(Kind::Stream, false)] {
        for end in ends() {
            let ran = u32::from(!end.not_run());
            let again = retry::is_allowed(&route, &end, past(ran), LEFT);
            assert_eq!(again, end.not_run(), "{end:?}");
        }
    }
}

#[test]
fn most_servers() {
    let safe = route(Kind::Safe, false);
    assert!(retry::is_allowed(&safe, &Failure::Broken, past(1), LEFT));
    assert!(!retry::is_allowed(&safe, &Failure::Broken, past(2), LEFT));
    let stream = route(Kind::Stream, true);
    assert!(retry::is_allowed(&stream, &Failure::Slow, past(1), LEFT));
    assert!(!retry::is_allowed(&stream, &Failure::Slow, past(2), LEFT));
}

#[test]
fn no_time() {
    let safe = route(Kind::Safe, false);
    assert!(!retry::is_allowed(
        &safe,
        &Failure::Unsent,
        past(0),
        Duration::ZERO
    ));
    assert!(!retry::is_allowed(&safe, &Failure::Late, past(0), LEFT));
}

/// "Not run" is only said of what never ran, whatever the last attempt came to.
#[test]
fn truthful_refusals() {
    for end in ends() {
        for ran in 0..3 {
            let refusal = retry::reply(&end, past(ran), LEFT);
            let said_not_run = matches!(refusal, Reply::Busy(_));
            assert!(!(said_not_run && ran > 0), "{end:?} {ran}");
        }
    }
    assert_matches!(retry::reply(&not_run(), past(0), LEFT), Reply::Busy(after) if !after.is_zero());
    assert_eq!(retry::reply(&not_run(), past(1), LEFT), Reply::Failed);
    assert_eq!(retry::reply(&Failure::Late, past(1), LEFT), Reply::TimedOut);
}

/// Entries that cannot ask each other keep the bound together.
#[test]
fn shared_budget() {
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
        "{spent} of {bound}: far too few"
    );
}

#[test]
fn budget_slides() {
    let limit = budget::Limit {
        ratio: 0.0,
        window: Duration::from_secs(10),
        slack: 10.0,
    };
    let mut budget = budget::Budget::new(limit);
    let start = Duration::from_secs(1);
    let mut first = 0;
    while budget.try_spend(start, "pool", 1) {
        first += 1;
    }
    let within = start + limit.window.mul_f64(0.999);
    assert!(!budget.try_spend(within, "pool", 1));
    assert!(budget.try_spend(start + limit.window, "pool", 1));
    assert!(first > 0);
}

/// A server that breaks off calls that may not be repeated is taken out by all entries with the first
/// one; where they may, another server answers, and the caller sees nothing.
#[test]
fn broken_suspects() {
    for end in ends() {
        let is_broken = matches!(end, Failure::Broken);
        let once = route(Kind::Unsafe, false);
        assert_eq!(retry::suspects_server(&once, &end), is_broken, "{end:?}");
        let again = route(Kind::Safe, false);
        assert!(!retry::suspects_server(&again, &end), "{end:?}");
    }
}

/// Servers that take no more: the caller comes back when they do, and nobody tries at once again.
#[test]
fn limited_come_back() {
    let end = Failure::Limited(Duration::from_millis(830));
    let refusal = retry::reply(&end, past(0), LEFT);
    assert_eq!(refusal, Reply::Busy(Duration::from_millis(830)));
    assert_eq!(retry::reply(&end, past(1), LEFT), Reply::Failed);
    for kind in [Kind::Safe, Kind::Unsafe, Kind::Stream] {
        assert!(!retry::is_allowed(&route(kind, true), &end, past(0), LEFT));
    }
}

/// A process that ends sends its callers elsewhere at once, and says "not run" only of what did not.
#[test]
fn ending_elsewhere() {
    let end = Failure::Ending;
    assert_eq!(
        retry::reply(&end, past(0), LEFT),
        Reply::Busy(Duration::ZERO)
    );
    assert_eq!(retry::reply(&end, past(1), LEFT), Reply::Failed);
    for kind in [Kind::Safe, Kind::Unsafe, Kind::Stream] {
        assert!(!retry::is_allowed(&route(kind, true), &end, past(0), LEFT));
    }
}
