//! A backend server that fails in a row gets no work for a while.

use std::time::Duration;

use wigeonbarrow::entry::breaker;
use wigeonbarrow::entry::job;
use wigeonbarrow::wire::outcome;

#[path = "common/fleet.rs"]
mod fleet;
#[path = "common/harness.rs"]
mod harness;

use harness::Harness;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn one_probe() {
    let mut breaker = breaker::Breaker::default();
    for _ in 0..3 {
        assert!(breaker.allows(at(0)));
        breaker.failed(at(0));
    }
    assert!(!breaker.allows(at(499)));
    assert!(breaker.allows(at(500)));
    breaker.placed(at(500));
    assert!(!breaker.allows(at(501)), "one probe at a time");
    breaker.failed(at(600));
    assert!(!breaker.allows(at(1_599)), "the pause doubles");
    assert!(breaker.allows(at(1_600)));
    breaker.placed(at(1_600));
    breaker.succeeded();
    assert!(breaker.allows(at(1_600)));
    breaker.failed(at(1_700));
    assert!(breaker.allows(at(1_700)), "it starts anew");
}

#[test]
fn failing_server() {
    let mut harness = Harness::new(2);
    let failed = job::Feedback::Failed(outcome::Cause::ServerError);
    let mut failures = 0;
    for number in 0..40 {
        let server = harness::server(&harness.place(fleet::job(number, 400))).unwrap();
        if server == "s00" {
            failures += 1;
            harness.note(number, failed);
        } else {
            harness.note(number, job::Feedback::FirstOutput);
        }
        harness.close(number);
    }
    assert_eq!(failures, 3);
    harness.pass(500);
    harness.announce();
    let mut probes = 0;
    for number in 40..80 {
        let server = harness::server(&harness.place(fleet::job(number, 400))).unwrap();
        if server == "s00" {
            probes += 1;
        } else {
            harness.close(number);
        }
    }
    assert_eq!(probes, 1);
}

#[test]
fn caller_faults() {
    let mut harness = Harness::new(1);
    for number in 0..20 {
        assert!(harness::server(&harness.place(fleet::job(number, 400))).is_some());
        harness.note(number, job::Feedback::Failed(outcome::Cause::Deadline));
        harness.close(number);
    }
}
