//! Rate limits that backend servers announce: how they are merged, and what is granted.
//!
//! Guards against grants beyond a limit, against limits that late or unrelated responses lift, and
//! against entries that disagree about a limit.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use wigeonbarrow::direct::quota;
use wigeonbarrow::direct::quota::Grantor;
use wigeonbarrow::direct::quota::Notice;
use wigeonbarrow::direct::quota::Quotas;
use wigeonbarrow::direct::quota::Rate;
use wigeonbarrow::direct::quota::Report;
use wigeonbarrow::direct::quota::Source;

const SERVER: u64 = 7;
const POOL: &str = "pool";
const WINDOW: Duration = Duration::from_secs(4);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limit(per_second: f64) -> Notice {
    Notice::Limit(Rate::new(per_second).expect("a rate"))
}

fn report(change: u32, per_second: Option<f64>) -> Report {
    Report {
        server: SERVER,
        change,
        limit: per_second.and_then(Rate::new),
    }
}

/// The largest number of grants in any window.
fn max_in_window(times: &[Duration]) -> usize {
    let within = |first: &Duration| {
        let end = *first + WINDOW;
        let later = times.iter().filter(|time| *time >= first && **time < end);
        later.count()
    };
    times.iter().map(within).max().unwrap_or_default()
}

#[test]
fn announced_and_lifted() {
    let mut quotas = Quotas::default();
    assert_eq!(
        quotas.observe(at(1), SERVER, at(0), Notice::Absent, Source::Run),
        None
    );
    assert!(quotas.is_empty(at(1)));
    let first = quotas.observe(at(10), SERVER, at(0), limit(1.2), Source::Run);
    assert_eq!(first, Some(report(1, Some(1.2))));
    assert_eq!(
        quotas.observe(at(20), SERVER, at(0), limit(1.2), Source::Run),
        None
    );
    let invalid = quotas.observe(at(40), SERVER, at(30), Notice::Invalid, Source::Run);
    assert_eq!(invalid, None);
    assert_eq!(quotas.limit(at(40), SERVER), Rate::new(1.2));
    let lifted = quotas.observe(at(40), SERVER, at(30), Notice::Absent, Source::Run);
    assert_eq!(lifted, Some(report(2, None)));
    assert!(quotas.is_empty(at(40)));
}

/// A response to a request from before the announcement arrives after it, without a limit.
#[test]
fn late_response_lifts_nothing() {
    let mut quotas = Quotas::default();
    quotas.observe(at(100), SERVER, at(90), limit(2.0), Source::Run);
    let late = quotas.observe(at(101), SERVER, at(80), Notice::Absent, Source::Run);
    assert_eq!(late, None);
    assert_eq!(quotas.limit(at(101), SERVER), Rate::new(2.0));
    // The same at an entry that received a report of the limit.
    let mut other = Quotas::default();
    assert!(other.merge(at(100), &report(1, Some(2.0))));
    assert_eq!(
        other.observe(at(101), SERVER, at(100), Notice::Absent, Source::Run),
        None
    );
    assert_eq!(other.limit(at(101), SERVER), Rate::new(2.0));
}

/// Responses to probes, orders and requests that did not run may omit a limit that is in force.
#[test]
fn lifted_only_by_runs() {
    let mut quotas = Quotas::default();
    quotas.observe(at(0), SERVER, at(0), limit(2.0), Source::Other);
    let probe = quotas.observe(at(30), SERVER, at(20), Notice::Absent, Source::Other);
    assert_eq!(probe, None);
    assert_eq!(quotas.limit(at(30), SERVER), Rate::new(2.0));
    let run = quotas.observe(at(50), SERVER, at(40), Notice::Absent, Source::Run);
    assert_eq!(run, Some(report(2, None)));
}

/// All entries converge, whatever the order in which reports arrive.
#[test]
fn reports_in_any_order() {
    let reports = [
        report(1, Some(2.0)),
        report(2, None),
        report(3, Some(1.5)),
        report(3, Some(1.0)),
        report(3, None),
    ];
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut quotas = Quotas::default();
        let mut seen = HashSet::new();
        while seen.len() < reports.len() {
            let index = rng.random_range(0..reports.len());
            seen.insert(index);
            quotas.merge(at(seed), &reports[index]);
        }
        assert_eq!(
            quotas.limit(at(seed), SERVER),
            Rate::new(1.0),
            "seed {seed}"
        );
    }
}

#[test]
fn repeated_report_confirms_limit() {
    let mut quotas = Quotas::default();
    quotas.observe(at(0), SERVER, at(0), limit(1.0), Source::Run);
    assert!(!quotas.is_stale(at(5_000), SERVER));
    assert!(quotas.is_stale(at(7_000), SERVER), "it may have ended");
    assert!(!quotas.merge(at(7_000), &report(1, Some(1.0))));
    assert!(!quotas.is_stale(at(8_000), SERVER));
    assert_eq!(quotas.recent(at(1_000), at(3_000)).len(), 1);
    assert_eq!(quotas.recent(at(8_000), at(3_000)).len(), 0);
    assert_eq!(quotas.reports().len(), 1);
}

/// With many requests at random times, grants keep within the limit and use up most of it.
#[test]
fn grants_within_limit() {
    for (seed, per_second) in [(1, 0.3), (2, 1.2), (3, 2.0), (4, 10.0), (5, 60.0)] {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut quotas = Quotas::default();
        quotas.observe(at(0), SERVER, at(0), limit(per_second), Source::Run);
        let mut times = Vec::new();
        let mut now = Duration::ZERO;
        while now < at(60_000) {
            now += Duration::from_secs_f64(rng.random_range(0.0..0.2) / per_second);
            let max_wait = at(rng.random_range(0..500));
            let grant = quotas.grant(now, POOL, &[SERVER], max_wait, Grantor::Primary);
            times.extend(grant.ok().map(|grant| now + grant.wait));
        }
        let max = max_in_window(&times) as f64;
        let allowed = per_second * WINDOW.as_secs_f64() * 1.1 + 2.0;
        assert!(max <= allowed, "{per_second}: {max} in a window");
        let total = times.len() as f64;
        assert!(
            total > per_second * 60.0 * 0.85,
            "{per_second}: {total} in 60 s"
        );
    }
}

/// Primary and deputy both grant, since some entries cannot reach the primary.
#[test]
fn deputy_and_primary_within_limit() {
    for (seed, per_second) in [(1, 0.5), (2, 1.2), (3, 2.0), (4, 25.0)] {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut times = Vec::new();
        for grantor in [Grantor::Primary, Grantor::Deputy(1)] {
            let mut quotas = Quotas::default();
            quotas.observe(at(0), SERVER, at(0), limit(per_second), Source::Run);
            let mut now = Duration::ZERO;
            while now < at(60_000) {
                now += Duration::from_secs_f64(rng.random_range(0.0..1.0) / per_second);
                let grant = quotas.grant(now, POOL, &[SERVER], at(300), grantor);
                times.extend(grant.ok().map(|grant| now + grant.wait));
            }
        }
        let max = max_in_window(&times) as f64;
        let allowed = 1.5 * per_second * WINDOW.as_secs_f64() + 5.0;
        assert!(max <= allowed, "{per_second}: {max}, {allowed} allowed");
    }
}

#[test]
fn soonest_server_granted() {
    let mut quotas = Quotas::default();
    quotas.observe(at(0), 1, at(0), limit(1.0), Source::Run);
    quotas.observe(at(0), 2, at(0), limit(4.0), Source::Run);
    let now = at(2_000);
    let grant = |quotas: &mut Quotas| quotas.grant(now, POOL, &[1, 2], at(200), Grantor::Primary);
    assert!(quotas.is_free(now, 1) && !quotas.is_free(now, 3));
    let first = grant(&mut quotas).expect("a grant");
    let second = grant(&mut quotas).expect("a grant");
    assert_eq!(HashSet::from([first.server, second.server]).len(), 2);
    assert_eq!((first.wait, second.wait), (at(0), at(0)));
    assert!(!quotas.is_free(now, 1), "it was just granted a request");
    assert_matches!(
        quotas.grant(now, POOL, &[3], at(200), Grantor::Primary),
        Err(_)
    );
}

/// Callers that cannot be served now are told to retry one after the other, not all at once.
#[test]
fn retries_spread() {
    let mut quotas = Quotas::default();
    quotas.observe(at(0), SERVER, at(0), limit(2.0), Source::Run);
    let now = at(5_000);
    let mut ask = || quotas.grant(now, POOL, &[SERVER], at(0), Grantor::Primary);
    assert_matches!(ask(), Ok(_));
    let times: Vec<Duration> = (0..4)
        .map(|_| ask().expect_err("the limit is used up"))
        .collect();
    for pair in times.windows(2) {
        assert_eq!(pair[1].abs_diff(pair[0]), at(500), "{times:?}");
    }
    assert!(times[0] > at(0), "not before the next request is allowed");
}

/// A server with limit 0 still gets a request now and then: only its responses tell that the limit
/// has changed.
#[test]
fn zero_limit_still_polled() {
    let mut quotas = Quotas::default();
    quotas.observe(at(0), SERVER, at(0), limit(0.0), Source::Run);
    let times = (0..600).map(|tenth| at(tenth * 100));
    let granted = times.filter(|now| {
        let grant = quotas.grant(*now, POOL, &[SERVER], at(0), Grantor::Primary);
        grant.is_ok()
    });
    assert_eq!(granted.count(), 6);
}

/// Requests sent without a grant reduce what is granted later.
#[test]
fn charges_use_up_limit() {
    let mut quotas = Quotas::default();
    quotas.observe(at(0), SERVER, at(0), limit(1.0), Source::Run);
    let now = at(10_000);
    (0..3).for_each(|_| quotas.charge(now, SERVER));
    let grant = quotas.grant(now, POOL, &[SERVER], at(0), Grantor::Primary);
    assert!(grant.expect_err("the limit is used up") > at(2_000));
}

/// All entries agree on the primary grantor of a service, and services have different ones.
#[test]
fn same_grantor_at_all_entries() {
    let entries: Vec<SocketAddr> = (1..=20)
        .map(|last| SocketAddr::from(([10, 1, 0, last], 7_340)))
        .collect();
    let mut rotated = entries.clone();
    rotated.rotate_left(7);
    let first = |service: &str| quota::grantors(service, entries.clone())[0];
    assert_eq!(quota::grantors(POOL, rotated)[0], first(POOL));
    let services = (0..40).map(|number| first(&format!("service-{number}")));
    let spread: HashSet<SocketAddr> = services.collect();
    assert!(spread.len() > 8, "only {} entries grant", spread.len());
}

const COLD: Duration = Duration::from_secs(3);

/// How many times its rate a cold server survives.
const OVERSHOOT: f64 = 1.5;

fn cold_rate(per_second: f64) -> Rate {
    Rate::new(per_second).expect("a rate").while_cold(OVERSHOOT)
}

fn max_in_second(times: &mut [Duration]) -> usize {
    times.sort_unstable();
    let within = |first: &Duration| {
        let end = *first + at(1_000);
        times
            .iter()
            .filter(|time| *time >= first && **time < end)
            .count()
    };
    times.iter().map(within).max().unwrap_or_default()
}

/// Entries that are cut off from the primary, from its deputy and from each other grant by
/// themselves. All together stay within what a cold server survives, and five more in a second.
#[test]
fn isolated_entries_within_cold_rate() {
    for (seed, per_second) in [(1, 2.0), (2, 26.0), (3, 80.0)] {
        let mut rng = StdRng::seed_from_u64(seed);
        let entries: Vec<SocketAddr> = (1..=40)
            .map(|last| SocketAddr::from(([10, 0, 0, last], 7_000)))
            .collect();
        let order = quota::grantors(POOL, entries);
        let mut times = Vec::new();
        for entry in &order {
            let mut quotas = Quotas::default();
            quotas.set_cold(at(0), SERVER, 1, COLD, cold_rate(per_second));
            let grantor = Grantor::of(*entry, &order, false);
            let mut now = Duration::ZERO;
            while now < COLD {
                now += Duration::from_secs_f64(rng.random_range(0.0..0.5) / per_second);
                let grant = quotas.grant(now, POOL, &[SERVER], at(0), grantor);
                times.extend(grant.ok().map(|_| now));
            }
        }
        times.retain(|time| *time < COLD);
        let max = max_in_second(&mut times) as f64;
        let allowed = OVERSHOOT * per_second + 5.0;
        assert!(max <= allowed, "{per_second}: {max}, {allowed} allowed");
    }
}

/// An entry that restarts while it is cut off knows no other one, and would take itself for the
/// primary.
#[test]
fn isolated_restart_grants_less() {
    let me = SocketAddr::from(([10, 0, 0, 1], 7_000));
    assert_eq!(Grantor::of(me, &[me], false), Grantor::Primary);
    assert_matches!(Grantor::of(me, &[me], true), Grantor::Deputy(position) if position > 1);
    assert_matches!(Grantor::of(me, &[], false), Grantor::Deputy(_));
}

/// Datagrams are repeated for a second, each with the time that was left when the first was sent.
#[test]
fn repeated_heartbeat_prolongs_nothing() {
    let mut quotas = Quotas::default();
    let rate = cold_rate(26.0);
    assert!(quotas.set_cold(at(0), SERVER, 5, COLD, rate));
    assert!(!quotas.set_cold(at(1_000), SERVER, 5, COLD, rate));
    assert!(!quotas.set_cold(at(1_000), SERVER, 4, COLD, rate));
    assert_eq!(quotas.cold_remaining(at(1_000), SERVER), at(2_000));
    assert_eq!(quotas.limit(at(2_999), SERVER), Some(rate));
    assert_eq!(quotas.limit(at(3_000), SERVER), None);
    assert!(quotas.is_empty(at(3_000)));
    quotas.retain(at(3_000), |_| true);
    assert!(!quotas.set_cold(at(3_100), SERVER, 5, COLD, rate));
    assert!(quotas.is_empty(at(3_100)), "it was made cold again");
}

#[test]
fn newest_heartbeat_decides() {
    let mut quotas = Quotas::default();
    let rate = cold_rate(26.0);
    assert!(!quotas.set_cold(at(0), SERVER, 1, at(0), rate));
    assert!(quotas.set_cold(at(10), SERVER, 2, COLD, rate));
    assert!(!quotas.set_cold(at(20), SERVER, 3, at(500), rate));
    assert_eq!(quotas.cold_remaining(at(20), SERVER), at(500));
    assert!(!quotas.set_cold(at(30), SERVER, 4, at(0), rate));
    assert!(quotas.is_empty(at(30)), "it is warm by its own word");
    assert!(quotas.set_cold(at(40), SERVER, 5, COLD, rate), "cold again");
}

/// A cold server may be in need as well: the lower of its limits holds, and the answers that lift
/// the announced one don't make it warm.
#[test]
fn lower_limit_of_cold_server() {
    let mut quotas = Quotas::default();
    let rate = cold_rate(26.0);
    quotas.set_cold(at(0), SERVER, 1, COLD, rate);
    quotas.observe(at(10), SERVER, at(5), limit(1.2), Source::Run);
    assert_eq!(quotas.limit(at(20), SERVER), Rate::new(1.2));
    quotas.observe(at(40), SERVER, at(30), Notice::Absent, Source::Run);
    assert_eq!(quotas.limit(at(50), SERVER), Some(rate));
    assert!(quotas.reports().iter().all(|report| report.limit.is_none()));
}

/// State of servers that were cold does not pile up.
#[test]
fn warm_servers_forgotten() {
    let mut quotas = Quotas::default();
    quotas.set_cold(at(0), SERVER, 1, COLD, cold_rate(26.0));
    quotas.retain(at(1_000), |_| true);
    assert!(!quotas.cold_remaining(at(1_000), SERVER).is_zero());
    quotas.retain(at(6_000), |_| true);
    assert_eq!(quotas.report(SERVER), None);
}
