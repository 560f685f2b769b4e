//! What is held against servers and requests, and for how long.

use std::time::Duration;

use wigeonbarrow::direct::fault::Healths;
use wigeonbarrow::direct::fault::MOST_DEATHS;
use wigeonbarrow::direct::fault::Suspects;
use wigeonbarrow::wire::id;

const NOW: Duration = Duration::from_secs(100);

fn request(body: &str) -> id::Fingerprint {
    id::Fingerprint::of("crew", "/notes", body.as_bytes())
}

#[test]
fn pause_grows() {
    let mut healths = Healths::default();
    let first = healths.missed(NOW, "a");
    let second = healths.missed(NOW, "a");
    assert!(second > first);
    let last = (0..20).map(|_| healths.missed(NOW, "a")).last();
    assert!(last.is_some_and(|until| until <= NOW + Duration::from_secs(4)));
    assert!(healths.is_out(NOW, "a"));
    healths.answered(NOW, "a", true);
    assert!(
        !healths.is_out(NOW, "a"),
        "it is back with its first answer"
    );
}

#[test]
fn failing_forgiven() {
    let mut healths = Healths::default();
    for _ in 0..10 {
        healths.answered(NOW, "a", false);
    }
    assert!(healths.failing(NOW, "a") > 0.5);
    assert!(healths.failing(NOW + Duration::from_secs(30), "a") <= 0.0);
    healths.answered(NOW, "b", false);
    assert!(healths.failing(NOW, "b") <= 0.0, "one failure is none");
}

#[test]
fn poison_known() {
    let mut suspects = Suspects::default();
    let poison = request("poison");
    for at in 0..MOST_DEATHS {
        suspects.died(NOW, poison, &format!("i-{at}"));
        assert!(!suspects.is_poison(NOW, &poison));
    }
    // The same death, told by two entries, counts once.
    suspects.died(NOW, poison, "i-0");
    assert!(!suspects.is_poison(NOW, &poison));
    suspects.died(NOW, poison, "i-9");
    assert!(suspects.is_poison(NOW, &poison));
    assert!(!suspects.is_poison(NOW, &request("innocent")));
    assert!(!suspects.is_poison(NOW + Duration::from_secs(61), &poison));
}

#[test]
fn finished_cleared() {
    let mut suspects = Suspects::default();
    let innocent = request("innocent");
    suspects.died(NOW, innocent, "i-0");
    suspects.died(NOW, innocent, "i-1");
    suspects.clear(&innocent);
    suspects.died(NOW, innocent, "i-2");
    assert!(!suspects.is_poison(NOW, &innocent));
}

#[test]
fn bounded_memory() {
    let mut suspects = Suspects::default();
    for at in 0..20_000_u64 {
        let now = NOW + Duration::from_millis(at);
        suspects.died(now, request(&at.to_string()), "i-0");
    }
    // The newest are still held.
    let last = request("19999");
    suspects.died(NOW, last, "i-1");
    suspects.died(NOW, last, "i-2");
    assert!(suspects.is_poison(NOW, &last));
}
