//! What an entry sent to backend servers lately.

use std::time::Duration;

use wigeonbarrow::direct::register::Life;
use wigeonbarrow::direct::tally::Kind;
use wigeonbarrow::direct::tally::SPAN;
use wigeonbarrow::direct::tally::Sent;
use wigeonbarrow::direct::tally::Tally;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn by_kind() {
    let mut tally = Tally::default();
    let (one, other) = (Life::new("i-1", None), Life::new("i-1", Some(7)));
    tally.sent(at(0), &one, Kind::Request);
    tally.sent(at(1_000), &one, Kind::Request);
    tally.sent(at(1_000), &one, Kind::Probe);
    tally.sent(at(2_000), &other, Kind::Order);
    let sent = Sent {
        requests: 2,
        probes: 1,
        orders: 0,
    };
    assert_eq!(tally.lately(at(2_000), &one), sent);
    let sent = Sent {
        requests: 1,
        ..sent
    };
    assert_eq!(
        tally.lately(SPAN, &one),
        sent,
        "what is older counts no more"
    );
    assert_eq!(
        tally.lately(at(2_000), &other).orders,
        1,
        "each life by itself"
    );
    tally.prune(SPAN + at(2_000));
    assert_eq!(tally.lately(SPAN + at(2_000), &other), Sent::default());
}
