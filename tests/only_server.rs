//! A single backend server cannot be split into lanes, so no request may wait for another lane.

use std::time::Duration;

#[path = "common/fleet.rs"]
mod fleet;
#[path = "common/harness.rs"]
mod harness;

use harness::Harness;

fn placed_at_once(harness: &mut Harness, number: u128, tokens: u64) -> bool {
    let mut job = fleet::job(number, 4 * tokens);
    job.deadline = harness.now + Duration::from_secs(100);
    let actions = harness.place(job);
    harness::server(&actions).is_some()
}

#[test]
fn short_after_long() {
    let mut harness = Harness::new(1);
    harness.calibrate();
    assert!(placed_at_once(&mut harness, 1, 150_000), "a long prompt");
    harness.close(1);
    harness.announce();
    assert!(
        placed_at_once(&mut harness, 2, 1_000),
        "a short one after it"
    );
}
