//! What is held against servers and requests, and for how long.

use std::time::Duration;

use wigeonbarrow::direct::health::Health;
use wigeonbarrow::direct::health::MAX_DEATHS;
use wigeonbarrow::direct::health::Suspects;
use wigeonbarrow::direct::register::Instance;
use wigeonbarrow::wire::id;

const NOW: Duration = Duration::from_secs(100);

fn life(id: &str) -> Instance {
    Instance::new(id, None)
}

fn request(body: &str) -> id::Fingerprint {
    id::Fingerprint::of("crew", "/notes", body.as_bytes())
}

#[test]
fn pause_grows() {
    let mut healths = Health::default();
    let first = healths.record_unreachable(NOW, &life("a"));
    let second = healths.record_unreachable(NOW, &life("a"));
    assert!(second > first);
    let last = (0..20)
        .map(|_| healths.record_unreachable(NOW, &life("a")))
        .last();
    assert!(last.is_some_and(|until| until <= NOW + Duration::from_secs(4)));
    assert!(healths.is_paused(NOW, &life("a")));
    healths.record_response(NOW, &life("a"), true);
    assert!(
        !healths.is_paused(NOW, &life("a")),
        "it is back with its first answer"
    );
}

#[test]
fn failing_forgiven() {
    let mut healths = Health::default();
    for _ in 0..10 {
        healths.record_response(NOW, &life("a"), false);
    }
    assert!(healths.failure_rate(NOW, &life("a")) > 0.5);
    assert!(healths.failure_rate(NOW + Duration::from_secs(30), &life("a")) <= 0.0);
    healths.record_response(NOW, &life("b"), false);
    assert!(
        healths.failure_rate(NOW, &life("b")) <= 0.0,
        "one failure is none"
    );
}

#[test]
fn poison_known() {
    let mut suspects = Suspects::default();
    let poison = request("poison");
    for at in 0..MAX_DEATHS {
        suspects.record_death(NOW, poison, &life(&format!("i-{at}")));
        assert!(!suspects.is_poison(NOW, &poison));
    }
    // The same death, told by two entries, counts once.
    suspects.record_death(NOW, poison, &life("i-0"));
    assert!(!suspects.is_poison(NOW, &poison));
    suspects.record_death(NOW, poison, &life("i-9"));
    assert!(suspects.is_poison(NOW, &poison));
    assert!(!suspects.is_poison(NOW, &request("innocent")));
    assert!(!suspects.is_poison(NOW + Duration::from_secs(61), &poison));
}

#[test]
fn finished_cleared() {
    let mut suspects = Suspects::default();
    let innocent = request("innocent");
    suspects.record_death(NOW, innocent, &life("i-0"));
    suspects.record_death(NOW, innocent, &life("i-1"));
    suspects.clear(&innocent);
    suspects.record_death(NOW, innocent, &life("i-2"));
    assert!(!suspects.is_poison(NOW, &innocent));
}

#[test]
fn bounded_memory() {
    let mut suspects = Suspects::default();
    for at in 0..20_000_u64 {
        let now = NOW + Duration::from_millis(at);
        suspects.record_death(now, request(&at.to_string()), &life("i-0"));
    }
    // The newest are still held.
    let last = request("19999");
    suspects.record_death(NOW, last, &life("i-1"));
    suspects.record_death(NOW, last, &life("i-2"));
    assert!(suspects.is_poison(NOW, &last));
}
