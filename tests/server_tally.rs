//! What an entry sent to backend servers lately.

use std::time::Duration;

use wigeonbarrow::direct::register::Instance;
use wigeonbarrow::direct::tally::Counts;
use wigeonbarrow::direct::tally::Kind;
use wigeonbarrow::direct::tally::Tally;
use wigeonbarrow::direct::tally::WINDOW;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn by_kind() {
    let mut tally = Tally::default();
    let (one, other) = (Instance::new("i-1", None), Instance::new("i-1", Some(7)));
    tally.record(at(0), &one, Kind::Request);
    tally.record(at(1_000), &one, Kind::Request);
    tally.record(at(1_000), &one, Kind::Probe);
    tally.record(at(2_000), &other, Kind::Order);
    let sent = Counts {
        requests: 2,
        probes: 1,
        orders: 0,
    };
    assert_eq!(tally.recent(at(2_000), &one), sent);
    let sent = Counts {
        requests: 1,
        ..sent
    };
    assert_eq!(
        tally.recent(WINDOW, &one),
        sent,
        "what is older counts no more"
    );
    assert_eq!(
        tally.recent(at(2_000), &other).orders,
        1,
        "each life by itself"
    );
    tally.prune(WINDOW + at(2_000));
    assert_eq!(tally.recent(WINDOW + at(2_000), &other), Counts::default());
}
