//! Limits that backend servers name: what is believed of them, and what is granted.

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

fn word(change: u32, per_second: Option<f64>) -> Report {
    Report {
        server: SERVER,
        change,
        limit: per_second.and_then(Rate::new),
    }
}

/// Most grants in a window.
fn most_in_window(times: &[Duration]) -> usize {
    let within = |first: &Duration| {
        let last = *first + WINDOW;
        let later = times.iter().filter(|one| *one >= first && **one < last);
        later.count()
    };
    times.iter().map(within).max().unwrap_or_default()
}

#[test]
fn named_and_lifted() {
    let mut quotas = Quotas::default();
    assert_eq!(
        quotas.observe(at(1), SERVER, at(0), Notice::Absent, Source::Run),
        None
    );
    assert!(quotas.is_empty());
    let first = quotas.observe(at(10), SERVER, at(0), limit(1.2), Source::Run);
    assert_eq!(first, Some(word(1, Some(1.2))));
    assert_eq!(
        quotas.observe(at(20), SERVER, at(0), limit(1.2), Source::Run),
        None
    );
    let unread = quotas.observe(at(40), SERVER, at(30), Notice::Invalid, Source::Run);
    assert_eq!(unread, None);
    assert_eq!(quotas.limit(SERVER), Rate::new(1.2));
    let lifted = quotas.observe(at(40), SERVER, at(30), Notice::Absent, Source::Run);
    assert_eq!(lifted, Some(word(2, None)));
    assert!(quotas.is_empty());
}

/// An answer from before the limit that comes after it.
#[test]
fn overtaken_answer() {
    let mut quotas = Quotas::default();
    quotas.observe(at(100), SERVER, at(90), limit(2.0), Source::Run);
    let late = quotas.observe(at(101), SERVER, at(80), Notice::Absent, Source::Run);
    assert_eq!(late, None);
    assert_eq!(quotas.limit(SERVER), Rate::new(2.0));
    // The same for an entry that was told of it.
    let mut other = Quotas::default();
    assert!(other.merge(at(100), &word(1, Some(2.0))));
    assert_eq!(
        other.observe(at(101), SERVER, at(100), Notice::Absent, Source::Run),
        None
    );
    assert_eq!(other.limit(SERVER), Rate::new(2.0));
}

/// Reports, refusals and answers to orders may say nothing of a limit that is in force.
#[test]
fn lifted_by_runs_alone() {
    let mut quotas = Quotas::default();
    quotas.observe(at(0), SERVER, at(0), limit(2.0), Source::Other);
    let report = quotas.observe(at(30), SERVER, at(20), Notice::Absent, Source::Other);
    assert_eq!(report, None);
    assert_eq!(quotas.limit(SERVER), Rate::new(2.0));
    let run = quotas.observe(at(50), SERVER, at(40), Notice::Absent, Source::Run);
    assert_eq!(run, Some(word(2, None)));
}

/// Whatever order words come in, all entries end with the same.
#[test]
fn words_in_any_order() {
    let words = [
        word(1, Some(2.0)),
        word(2, None),
        word(3, Some(1.5)),
        word(3, Some(1.0)),
        word(3, None),
    ];
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut quotas = Quotas::default();
        let mut seen = HashSet::new();
        while seen.len() < words.len() {
            let one = rng.random_range(0..words.len());
            seen.insert(one);
            quotas.merge(at(seed), &words[one]);
        }
        assert_eq!(quotas.limit(SERVER), Rate::new(1.0), "seed {seed}");
    }
}

#[test]
fn told_again_is_fresh() {
    let mut quotas = Quotas::default();
    quotas.observe(at(0), SERVER, at(0), limit(1.0), Source::Run);
    assert!(!quotas.is_stale(at(5_000), SERVER));
    assert!(quotas.is_stale(at(7_000), SERVER), "it may have ended");
    assert!(!quotas.merge(at(7_000), &word(1, Some(1.0))));
    assert!(!quotas.is_stale(at(8_000), SERVER));
    assert_eq!(quotas.recent(at(1_000), at(3_000)).len(), 1);
    assert_eq!(quotas.recent(at(8_000), at(3_000)).len(), 0);
    assert_eq!(quotas.reports().len(), 1);
}

/// Many ask at random: the server gets no more than it takes, and nearly all of it.
#[test]
fn grants_keep_limit() {
    for (seed, per_second) in [(1, 0.3), (2, 1.2), (3, 2.0), (4, 10.0), (5, 60.0)] {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut quotas = Quotas::default();
        quotas.observe(at(0), SERVER, at(0), limit(per_second), Source::Run);
        let mut times = Vec::new();
        let mut now = Duration::ZERO;
        while now < at(60_000) {
            now += Duration::from_secs_f64(rng.random_range(0.0..0.2) / per_second);
            let most = at(rng.random_range(0..500));
            let slot = quotas.grant(now, POOL, &[SERVER], most, Grantor::Primary);
            times.extend(slot.ok().map(|slot| now + slot.wait));
        }
        let most = most_in_window(&times) as f64;
        let allowed = per_second * WINDOW.as_secs_f64() * 1.1 + 2.0;
        assert!(most <= allowed, "{per_second}: {most} in a window");
        let all = times.len() as f64;
        assert!(
            all > per_second * 60.0 * 0.85,
            "{per_second}: {all} in 60 s"
        );
    }
}

/// While the one that grants is silent to some, these ask its deputy.
#[test]
fn deputy_within_slack() {
    for (seed, per_second) in [(1, 0.5), (2, 1.2), (3, 2.0), (4, 25.0)] {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut times = Vec::new();
        for account in [Grantor::Primary, Grantor::Deputy] {
            let mut quotas = Quotas::default();
            quotas.observe(at(0), SERVER, at(0), limit(per_second), Source::Run);
            let mut now = Duration::ZERO;
            while now < at(60_000) {
                now += Duration::from_secs_f64(rng.random_range(0.0..1.0) / per_second);
                let slot = quotas.grant(now, POOL, &[SERVER], at(300), account);
                times.extend(slot.ok().map(|slot| now + slot.wait));
            }
        }
        let most = most_in_window(&times) as f64;
        let allowed = 1.5 * per_second * WINDOW.as_secs_f64() + 5.0;
        assert!(most <= allowed, "{per_second}: {most}, {allowed} allowed");
    }
}

#[test]
fn soonest_server() {
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
    assert!(!quotas.is_free(now, 1), "it has just been granted");
    assert_matches!(
        quotas.grant(now, POOL, &[3], at(200), Grantor::Primary),
        Err(_)
    );
}

/// Callers that cannot be served now come back one after the other.
#[test]
fn come_backs_spread() {
    let mut quotas = Quotas::default();
    quotas.observe(at(0), SERVER, at(0), limit(2.0), Source::Run);
    let now = at(5_000);
    let mut ask = || quotas.grant(now, POOL, &[SERVER], at(0), Grantor::Primary);
    assert_matches!(ask(), Ok(_));
    let times: Vec<Duration> = (0..4).map(|_| ask().expect_err("no room")).collect();
    for pair in times.windows(2) {
        assert_eq!(pair[1].abs_diff(pair[0]), at(500), "{times:?}");
    }
    assert!(times[0] > at(0), "not before it can be served");
}

/// A server that takes nothing is sent one request now and then: only its answers say that it does
/// again.
#[test]
fn limit_of_nothing() {
    let mut quotas = Quotas::default();
    quotas.observe(at(0), SERVER, at(0), limit(0.0), Source::Run);
    let asked = (0..600).map(|tenth| at(tenth * 100));
    let granted = asked.filter(|now| {
        let slot = quotas.grant(*now, POOL, &[SERVER], at(0), Grantor::Primary);
        slot.is_ok()
    });
    assert_eq!(granted.count(), 6);
}

/// What cannot wait for a grant is taken off what others get.
#[test]
fn charges_count() {
    let mut quotas = Quotas::default();
    quotas.observe(at(0), SERVER, at(0), limit(1.0), Source::Run);
    let now = at(10_000);
    (0..3).for_each(|_| quotas.charge(now, SERVER));
    let slot = quotas.grant(now, POOL, &[SERVER], at(0), Grantor::Primary);
    assert!(slot.expect_err("no room") > at(2_000));
}

/// All entries come to the same one, and services to different ones.
#[test]
fn one_grantor() {
    let entries: Vec<SocketAddr> = (1..=20)
        .map(|last| SocketAddr::from(([10, 1, 0, last], 7_340)))
        .collect();
    let mut turned = entries.clone();
    turned.rotate_left(7);
    let first = |service: &str| quota::grantors(service, entries.clone())[0];
    assert_eq!(quota::grantors(POOL, turned)[0], first(POOL));
    let services = (0..40).map(|one| first(&format!("service-{one}")));
    let spread: HashSet<SocketAddr> = services.collect();
    assert!(spread.len() > 8, "{} entries grant", spread.len());
}
