//! Pauses and failure rates of servers, and requests under which servers crash.
//!
//! Guards against servers that stay paused or rated as failing after they recovered, and against
//! requests that crash one server after another.

use std::time::Duration;

use wigeonbarrow::direct::health::Health;
use wigeonbarrow::direct::register::Instance;
use wigeonbarrow::direct::retry::Failure;
use wigeonbarrow::direct::suspect;
use wigeonbarrow::direct::suspect::MAX_CRASHES;
use wigeonbarrow::direct::suspect::Suspects;
use wigeonbarrow::wire::id;

const NOW: Duration = Duration::from_secs(100);

fn instance(id: &str) -> Instance {
    Instance::new(id, None)
}

fn request(body: &str) -> id::Fingerprint {
    id::Fingerprint::of("crew", "/notes", body.as_bytes())
}

#[test]
fn pause_grows_and_ends_with_response() {
    let mut health = Health::default();
    let first = health.record_unreachable(NOW, &instance("a"));
    let second = health.record_unreachable(NOW, &instance("a"));
    assert!(second > first);
    let last = (0..20)
        .map(|_| health.record_unreachable(NOW, &instance("a")))
        .last();
    assert!(last.is_some_and(|until| until <= NOW + Duration::from_secs(4)));
    assert!(health.is_paused(NOW, &instance("a")));
    health.record_response(NOW, &instance("a"), true);
    assert!(
        !health.is_paused(NOW, &instance("a")),
        "its first response ends the pause"
    );
}

#[test]
fn failure_rate_decays() {
    let mut health = Health::default();
    for _ in 0..10 {
        health.record_response(NOW, &instance("a"), false);
    }
    assert!(health.failure_rate(NOW, &instance("a")) > 0.5);
    assert!(health.failure_rate(NOW + Duration::from_secs(30), &instance("a")) <= 0.0);
    health.record_response(NOW, &instance("b"), false);
    assert!(
        health.failure_rate(NOW, &instance("b")) <= 0.0,
        "a single failure does not count"
    );
}

#[test]
fn poison_request_rejected() {
    let mut suspects = Suspects::default();
    let poison = request("poison");
    for number in 0..MAX_CRASHES {
        suspects.record_crash(NOW, poison, &instance(&format!("i-{number}")));
        assert!(!suspects.is_poison(NOW, &poison));
    }
    // The same crash, reported by two entries, counts once.
    suspects.record_crash(NOW, poison, &instance("i-0"));
    assert!(!suspects.is_poison(NOW, &poison));
    suspects.record_crash(NOW, poison, &instance("i-9"));
    assert!(suspects.is_poison(NOW, &poison));
    assert!(!suspects.is_poison(NOW, &request("innocent")));
    assert!(!suspects.is_poison(NOW + Duration::from_secs(61), &poison));
}

#[test]
fn completed_request_cleared() {
    let mut suspects = Suspects::default();
    let innocent = request("innocent");
    suspects.record_crash(NOW, innocent, &instance("i-0"));
    suspects.record_crash(NOW, innocent, &instance("i-1"));
    suspects.clear(&innocent);
    suspects.record_crash(NOW, innocent, &instance("i-2"));
    assert!(!suspects.is_poison(NOW, &innocent));
}

#[test]
fn oldest_suspects_dropped() {
    let mut suspects = Suspects::default();
    for number in 0..20_000_u64 {
        let now = NOW + Duration::from_millis(number);
        suspects.record_crash(now, request(&number.to_string()), &instance("i-0"));
    }
    // The newest are still stored.
    let last = request("19999");
    suspects.record_crash(NOW, last, &instance("i-1"));
    suspects.record_crash(NOW, last, &instance("i-2"));
    assert!(suspects.is_poison(NOW, &last));
}

#[test]
fn silence_is_no_crash() {
    assert!(suspect::may_have_crashed(&Failure::Broken));
    let others = [
        Failure::Silent,
        Failure::Slow,
        Failure::Failed,
        Failure::Unsent,
        Failure::Late,
        Failure::Ending,
    ];
    for failure in others {
        assert!(!suspect::may_have_crashed(&failure), "{failure:?}");
    }
}

#[test]
fn rejections_unnoticed() {
    let mut health = Health::default();
    let server = instance("i-1");
    let mut now = Duration::ZERO;
    let mut pauses = Vec::new();
    for _ in 0..8 {
        health.record_rejection(now, &server);
        let began = now;
        while health.is_paused(now, &server) {
            now += Duration::from_millis(10);
        }
        pauses.push(now.saturating_sub(began));
    }
    assert!(pauses.is_sorted() && pauses[0] <= Duration::from_millis(100));
    assert_eq!(pauses.last(), Some(&Duration::from_secs(2)));
    health.record_rejection(now, &server);
    health.record_response(now, &server, true);
    assert!(!health.is_paused(now, &server), "it serves again");
    health.record_rejection(now, &server);
    assert!(!health.is_paused(now + Duration::from_millis(100), &server));
}
