//! Retries stay a part of the requests, also when much of the fleet dies at once.

use std::time::Duration;

use wigeonbarrow::entry::budget;
use wigeonbarrow::entry::job;
use wigeonbarrow::wire::member;
use wigeonbarrow::wire::outcome;

#[path = "common/fleet.rs"]
mod fleet;
#[path = "common/harness.rs"]
mod harness;

use harness::Harness;

#[test]
fn steady_part() {
    let mut budget = budget::Budget::default();
    let mut taken = 0;
    for tick in 0..10_000u64 {
        let now = Duration::from_millis(10 * tick);
        budget.earn(10);
        taken += u32::from(budget.take(now));
    }
    assert!((900..=1_010).contains(&taken), "{taken} of 10,000");
}

#[test]
fn thin_traffic() {
    let mut budget = budget::Budget::default();
    assert!(budget.take(Duration::from_secs(1)), "the first is lent");
    assert!(!budget.take(Duration::from_millis(1_500)));
    assert!(budget.take(Duration::from_secs(2)));
}

#[test]
fn third_dies() {
    let mut harness = Harness::new(30);
    for number in 0..300 {
        harness.place(fleet::job(number, 400));
    }
    harness.announce();
    let doomed: Vec<u128> = (0..300)
        .filter(|&number| {
            let attempt = harness.router.fleet().attempt(fleet::id(number)).unwrap();
            attempt.server < 10
        })
        .collect();
    assert!(doomed.len() > 80, "{}", doomed.len());
    harness.servers.drain(..10);
    for &number in &doomed {
        harness.note(number, job::Feedback::Lost);
        let mut job = fleet::job(number, 400);
        job.retry = true;
        job.avoid = vec!["s00".to_owned()];
        harness.place(job);
    }
    let retried = harness.router.counts().retries;
    assert!(retried <= 30, "{retried} at once after 300 requests");
    // New requests come and go; the retries that wait follow at their pace.
    let mut closed = 0;
    for number in 300..1_300 {
        harness.place(fleet::job(number, 400));
        harness.close(number);
        closed += 1;
        if number % 10 == 0 {
            harness.pass(100);
            harness.announce();
        }
        let retried = harness.router.counts().retries;
        assert!(retried <= 30 + 2 + closed / 10, "{retried} after {closed}");
    }
    assert_eq!(harness.router.counts().retries, doomed.len() as u64);
    assert_eq!(harness.router.waiting(), 0);
}

#[test]
fn free_refusals() {
    let mut harness = Harness::new(2);
    harness.place(fleet::job(1, 400));
    for turn in 0..5 {
        let load = member::Load {
            slots: 16,
            memory_tokens: 400_000,
            prefill_rate: fleet::RATE,
            ..member::Load::default()
        };
        harness.note(1, job::Feedback::Refused(outcome::Cause::Busy, load));
        let mut job = fleet::job(1, 400);
        job.retry = true;
        let actions = harness.place(job);
        assert!(harness::server(&actions).is_some(), "turn {turn}");
    }
    assert_eq!(harness.router.counts().retries, 0);
    assert_eq!(harness.router.counts().refusals, 5);
}
