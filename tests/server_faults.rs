//! What is held against servers and requests, and for how long.

use std::time::Duration;

use wigeonbarrow::direct::fault::Healths;
use wigeonbarrow::direct::fault::MOST_DEATHS;
use wigeonbarrow::direct::fault::Suspects;
use wigeonbarrow::direct::register::Life;
use wigeonbarrow::wire::id;

const NOW: Duration = Duration::from_secs(100);

fn life(id: &str) -> Life {
    Life::new(id, None)
}

fn request(body: &str) -> id::Fingerprint {
    id::Fingerprint::of("crew", "/notes", body.as_bytes())
}

#[test]
fn pause_grows() {
    let mut healths = Healths::default();
    let first = healths.missed(NOW, &life("a"));
    let second = healths.missed(NOW, &life("a"));
    assert!(second > first);
    let last = (0..20).map(|_| healths.missed(NOW, &life("a"))).last();
    assert!(last.is_some_and(|until| until <= NOW + Duration::from_secs(4)));
    assert!(healths.is_out(NOW, &life("a")));
    healths.answered(NOW, &life("a"), true);
    assert!(
        !healths.is_out(NOW, &life("a")),
        "it is back with its first answer"
    );
}

#[test]
fn failing_forgiven() {
    let mut healths = Healths::default();
    for _ in 0..10 {
        healths.answered(NOW, &life("a"), false);
    }
    assert!(healths.failing(NOW, &life("a")) > 0.5);
    assert!(healths.failing(NOW + Duration::from_secs(30), &life("a")) <= 0.0);
    healths.answered(NOW, &life("b"), false);
    assert!(
        healths.failing(NOW, &life("b")) <= 0.0,
        "one failure is none"
    );
}

#[test]
fn poison_known() {
    let mut suspects = Suspects::default();
    let poison = request("poison");
    for at in 0..MOST_DEATHS {
        suspects.died(NOW, poison, &life(&format!("i-{at}")));
        assert!(!suspects.is_poison(NOW, &poison));
    }
    // The same death, told by two entries, counts once.
    suspects.died(NOW, poison, &life("i-0"));
    assert!(!suspects.is_poison(NOW, &poison));
    suspects.died(NOW, poison, &life("i-9"));
    assert!(suspects.is_poison(NOW, &poison));
    assert!(!suspects.is_poison(NOW, &request("innocent")));
    assert!(!suspects.is_poison(NOW + Duration::from_secs(61), &poison));
}

#[test]
fn finished_cleared() {
    let mut suspects = Suspects::default();
    let innocent = request("innocent");
    suspects.died(NOW, innocent, &life("i-0"));
    suspects.died(NOW, innocent, &life("i-1"));
    suspects.clear(&innocent);
    suspects.died(NOW, innocent, &life("i-2"));
    assert!(!suspects.is_poison(NOW, &innocent));
}

#[test]
fn bounded_memory() {
    let mut suspects = Suspects::default();
    for at in 0..20_000_u64 {
        let now = NOW + Duration::from_millis(at);
        suspects.died(now, request(&at.to_string()), &life("i-0"));
    }
    // The newest are still held.
    let last = request("19999");
    suspects.died(NOW, last, &life("i-1"));
    suspects.died(NOW, last, &life("i-2"));
    assert!(suspects.is_poison(NOW, &last));
}
