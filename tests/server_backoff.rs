//! Pauses that backend servers ask for.

use std::time::Duration;

use wigeonbarrow::direct::backoff::Backoffs;
use wigeonbarrow::direct::backoff::Change;
use wigeonbarrow::direct::backoff::MAX_TIME;
use wigeonbarrow::direct::backoff::Notice;
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
    let observed = backoffs.observe(at(0), SERVER, pause(3_000));
    assert_eq!(observed, Some(Change::Begun));
    for notice in [
        pause(500),
        pause(0),
        pause(3_000 - 100),
        Notice::Absent,
        Notice::Invalid,
    ] {
        assert_eq!(backoffs.observe(at(100), SERVER, notice), None);
    }
    let until = |backoffs: &Backoffs, now| backoffs.pause(now, SERVER).map(|pause| pause.until);
    assert_eq!(until(&backoffs, at(2_999)), Some(at(3_000)));
    let observed = backoffs.observe(at(200), SERVER, pause(3_000));
    assert_eq!(observed, Some(Change::Extended));
    assert_eq!(until(&backoffs, at(3_100)), Some(at(3_200)));
    assert_eq!(until(&backoffs, at(3_200)), None);
}

#[test]
fn sends_within_pause_uncounted() {
    let mut backoffs = Backoffs::default();
    backoffs.record(at(0), SERVER, Kind::Request);
    backoffs.observe(at(0), SERVER, pause(1_000));
    backoffs.record(at(10), SERVER, Kind::Request);
    backoffs.record(at(20), SERVER, Kind::Probe);
    backoffs.record(at(30), SERVER + 1, Kind::Order);
    backoffs.record(at(40), SERVER, Kind::Order);
    backoffs.record(at(1_000), SERVER, Kind::Order);
    let ended = backoffs.take_ended(at(1_000));
    assert_eq!(ended.len(), 1);
    let sent = ended[0].1.sent;
    assert_eq!((sent.requests, sent.probes, sent.orders), (1, 1, 1));
    assert!(backoffs.is_empty());
}
