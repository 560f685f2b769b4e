//! What follows from the end of an attempt, and what a caller may be told.

use std::time::Duration;

use assert_matches::assert_matches;
use wigeonbarrow::direct::budget;
use wigeonbarrow::direct::catalog::Kind;
use wigeonbarrow::direct::catalog::Route;
use wigeonbarrow::direct::verdict;
use wigeonbarrow::direct::verdict::End;
use wigeonbarrow::direct::verdict::Past;
use wigeonbarrow::direct::verdict::Refusal;

const LEFT: Duration = Duration::from_secs(2);

fn route(kind: Kind, resumable: bool) -> Route {
    Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind,
        timeout: LEFT,
        objective: LEFT,
        pause: None,
        priority: 0,
        targets: Vec::new(),
        most_servers: 2,
        public: false,
        resumable,
    }
}

fn not_run() -> End {
    End::NotRun {
        at_fault: None,
        displaced: false,
    }
}

fn ends() -> Vec<End> {
    vec![
        End::Unsent,
        not_run(),
        End::Broken,
        End::Silent,
        End::Slow,
        End::Failed,
        End::Late,
    ]
}

fn past(ran: u32) -> Past {
    Past { ran, tried: 1 }
}

#[test]
fn unsafe_once() {
    for route in [route(Kind::Unsafe, true), route(Kind::Stream, false)] {
        for end in ends() {
            let ran = u32::from(!end.not_run());
            let again = verdict::again(&route, &end, past(ran), LEFT);
            assert_eq!(again, end.not_run(), "{end:?}");
        }
    }
}

#[test]
fn most_servers() {
    let safe = route(Kind::Safe, false);
    assert!(verdict::again(&safe, &End::Broken, past(1), LEFT));
    assert!(!verdict::again(&safe, &End::Broken, past(2), LEFT));
    let stream = route(Kind::Stream, true);
    assert!(verdict::again(&stream, &End::Slow, past(1), LEFT));
    assert!(!verdict::again(&stream, &End::Slow, past(2), LEFT));
}

#[test]
fn no_time() {
    let safe = route(Kind::Safe, false);
    assert!(!verdict::again(
        &safe,
        &End::Unsent,
        past(0),
        Duration::ZERO
    ));
    assert!(!verdict::again(&safe, &End::Late, past(0), LEFT));
}

/// "Not run" is only said of what never ran, whatever the last attempt came to.
#[test]
fn truthful_refusals() {
    for end in ends() {
        for ran in 0..3 {
            let refusal = verdict::refusal(&end, past(ran), LEFT);
            let said_not_run = matches!(refusal, Refusal::Busy(_));
            assert!(!(said_not_run && ran > 0), "{end:?} {ran}");
        }
    }
    assert_matches!(verdict::refusal(&not_run(), past(0), LEFT), Refusal::Busy(after) if !after.is_zero());
    assert_eq!(verdict::refusal(&not_run(), past(1), LEFT), Refusal::Failed);
    assert_eq!(
        verdict::refusal(&End::Late, past(1), LEFT),
        Refusal::TimedOut
    );
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
            budget.request(now, "pool");
            requests += 1;
        }
        while budget.spend(now, "pool", entries) {
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
    while budget.spend(start, "pool", 1) {
        first += 1;
    }
    let within = start + limit.window.mul_f64(0.999);
    assert!(!budget.spend(within, "pool", 1));
    assert!(budget.spend(start + limit.window, "pool", 1));
    assert!(first > 0);
}

/// A server that breaks off calls that may not be repeated is taken out by all entries with the first
/// one; where they may, another server answers, and the caller sees nothing.
#[test]
fn broken_suspects() {
    for end in ends() {
        let is_broken = matches!(end, End::Broken);
        let once = route(Kind::Unsafe, false);
        assert_eq!(verdict::suspects(&once, &end), is_broken, "{end:?}");
        let again = route(Kind::Safe, false);
        assert!(!verdict::suspects(&again, &end), "{end:?}");
    }
}

/// Servers that take no more: the caller comes back when they do, and nobody tries at once again.
#[test]
fn limited_come_back() {
    let end = End::Limited(Duration::from_millis(830));
    let refusal = verdict::refusal(&end, past(0), LEFT);
    assert_eq!(refusal, Refusal::Busy(Duration::from_millis(830)));
    assert_eq!(verdict::refusal(&end, past(1), LEFT), Refusal::Failed);
    for kind in [Kind::Safe, Kind::Unsafe, Kind::Stream] {
        assert!(!verdict::again(&route(kind, true), &end, past(0), LEFT));
    }
}

/// A process that ends sends its callers elsewhere at once, and says "not run" only of what did not.
#[test]
fn ending_elsewhere() {
    let end = End::Ending;
    assert_eq!(
        verdict::refusal(&end, past(0), LEFT),
        Refusal::Busy(Duration::ZERO)
    );
    assert_eq!(verdict::refusal(&end, past(1), LEFT), Refusal::Failed);
    for kind in [Kind::Safe, Kind::Unsafe, Kind::Stream] {
        assert!(!verdict::again(&route(kind, true), &end, past(0), LEFT));
    }
}
