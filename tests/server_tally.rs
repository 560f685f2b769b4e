//! Counts of what an entry recently sent to backend servers. Guards against counts that include
//! old entries, another purpose or another instance.

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
fn counted_by_kind_and_instance() {
    let mut tally = Tally::default();
    let (server, restarted) = (Instance::new("i-1", None), Instance::new("i-1", Some(7)));
    tally.record(at(0), &server, Kind::Request);
    tally.record(at(1_000), &server, Kind::Request);
    tally.record(at(1_000), &server, Kind::Probe);
    tally.record(at(2_000), &restarted, Kind::Order);
    let counts = Counts {
        requests: 2,
        probes: 1,
        orders: 0,
    };
    assert_eq!(tally.recent(at(2_000), &server), counts);
    let counts = Counts {
        requests: 1,
        ..counts
    };
    assert_eq!(
        tally.recent(WINDOW, &server),
        counts,
        "what was sent before the window counts no more"
    );
    assert_eq!(
        tally.recent(at(2_000), &restarted).orders,
        1,
        "instances are counted separately"
    );
    tally.prune(WINDOW + at(2_000));
    assert_eq!(
        tally.recent(WINDOW + at(2_000), &restarted),
        Counts::default()
    );
}
