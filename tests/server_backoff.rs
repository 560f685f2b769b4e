//! Pauses that backend servers ask for.

use std::time::Duration;

use wigeonbarrow::direct::backoff::Backoffs;
use wigeonbarrow::direct::backoff::Change;
use wigeonbarrow::direct::backoff::MAX_TIME;
use wigeonbarrow::direct::backoff::Notice;
use wigeonbarrow::direct::backoff::Purpose;
use wigeonbarrow::direct::tally::Kind;

const SERVER: u64 = 7;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn pause(ms: u64) -> Notice {
    Notice::Pause(at(ms))
}

#[test]
fn odd_times_panic() {
    for seconds in [-1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(Notice::new(seconds), Notice::Invalid, "{seconds}");
    }
    assert_eq!(Notice::new(1e300), Notice::Pause(MAX_TIME));
    assert_eq!(Notice::new(0.0), Notice::Pause(Duration::ZERO));
    assert_eq!(Notice::new(2.5), pause(2_500));
}

#[test]
fn later_notice_shortens_pause() {
    let mut backoffs = Backoffs::default();
    let observed = backoffs.observe(at(0), SERVER, pause(3_000), 0.0);
    assert_eq!(observed, Some(Change::Begun));
    for notice in [
        pause(500),
        pause(0),
        pause(3_000 - 100),
        Notice::Absent,
        Notice::Invalid,
    ] {
        assert_eq!(backoffs.observe(at(100), SERVER, notice, 0.0), None);
    }
    let until = |backoffs: &Backoffs, now| backoffs.pause(now, SERVER).map(|pause| pause.until);
    assert_eq!(until(&backoffs, at(2_999)), Some(at(3_000)));
    let observed = backoffs.observe(at(200), SERVER, pause(3_000), 0.0);
    assert_eq!(observed, Some(Change::Extended));
    assert_eq!(until(&backoffs, at(3_100)), Some(at(3_200)));
    assert_eq!(until(&backoffs, at(3_200)), None);
}

#[test]
fn sends_within_pause_uncounted() {
    let mut backoffs = Backoffs::default();
    backoffs.record(at(0), SERVER, Kind::Request);
    backoffs.observe(at(0), SERVER, pause(1_000), 0.0);
    backoffs.record(at(10), SERVER, Kind::Request);
    backoffs.record(at(20), SERVER, Kind::Probe);
    backoffs.record(at(30), SERVER + 1, Kind::Order);
    backoffs.record(at(40), SERVER, Kind::Order);
    backoffs.record(at(1_000), SERVER, Kind::Order);
    let ended = backoffs.take_ended(at(1_000));
    assert_eq!(ended.len(), 1);
    let sent = ended[0].1.sent;
    assert_eq!((sent.requests, sent.probes, sent.orders), (1, 1, 1));
    assert!(backoffs.take_ended(at(5_000)).is_empty(), "reported twice");
    assert!(backoffs.is_empty());
}

#[test]
fn sends_allowed_in_pause() {
    let mut backoffs = Backoffs::default();
    backoffs.observe(at(0), SERVER, pause(1_000), 0.0);
    let purposes = [Purpose::Request, Purpose::Probe, Purpose::Order];
    for purpose in purposes {
        assert!(!backoffs.allows(at(999), SERVER, purpose), "{purpose:?}");
        assert!(backoffs.allows(at(1_000), SERVER, purpose), "{purpose:?}");
        assert!(backoffs.allows(at(500), SERVER + 1, purpose), "{purpose:?}");
    }
    assert!(backoffs.allows(at(500), SERVER, Purpose::Renewal));
    backoffs.record(at(500), SERVER, Kind::Order);
    assert!(!backoffs.allows(at(600), SERVER, Purpose::Renewal));
    // A longer pause is the same pause.
    backoffs.observe(at(700), SERVER, pause(3_000), 0.0);
    assert!(!backoffs.allows(at(1_500), SERVER, Purpose::Renewal));
}

#[test]
fn all_placed_after_pause() {
    let mut backoffs = Backoffs::default();
    backoffs.observe(at(0), SERVER, pause(1_000), 0.0);
    assert_eq!(backoffs.opens_at(at(10), SERVER), at(1_000));
    let mut placed = Vec::new();
    for now in (1_000..3_000).map(at) {
        while placed.len() < 100 && backoffs.opens_at(now, SERVER) <= now {
            backoffs.place(SERVER);
            placed.push(now);
        }
        backoffs.take_ended(now);
    }
    let by = |ms: u64| placed.iter().filter(|now| **now < at(ms)).count();
    assert_eq!(by(1_200), 1);
    assert!(by(1_600) <= 8 && by(1_900) <= 16, "{placed:?}");
    assert_eq!(placed.len(), 100, "it takes as many as others in the end");
    assert!(backoffs.is_empty());
}

#[test]
fn entries_return_at_once() {
    let opens_at = |draw: f64| {
        let mut backoffs = Backoffs::default();
        backoffs.observe(at(0), SERVER, pause(3_000), draw);
        backoffs.opens_at(at(0), SERVER)
    };
    assert_eq!(opens_at(0.0), at(3_000));
    assert!(opens_at(0.5) > opens_at(0.1));
    assert!(opens_at(1.0) <= at(3_300));
}

#[test]
fn callers_return_at_once() {
    let mut backoffs = Backoffs::default();
    let mut returns: Vec<Duration> = (0..50)
        .map(|_| backoffs.schedule_return(at(100), "pool", at(3_000)))
        .collect();
    assert_eq!(returns[0], at(2_900), "those told first return first");
    assert!(returns.is_sorted());
    returns.dedup();
    assert_eq!(returns.len(), 50);
    let other = backoffs.schedule_return(at(100), "other", at(3_000));
    assert_eq!(other, at(2_900));
    let far = (0..10_000).map(|_| backoffs.schedule_return(at(100), "pool", at(3_000)));
    assert!(far.max() <= Some(at(4_900)));
}
