//! Simulates a lane of waiting requests under more load than it can serve.
//!
//! Guards against requests that wait for nothing and are rejected when it is too late to retry,
//! against rejections without need, and against callers that are rejected again when they return as
//! they were told.

use std::time::Duration;

use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::proptest;
use wigeonbarrow::direct::catalog::Kind;
use wigeonbarrow::direct::deadline::Budget;
use wigeonbarrow::direct::forecast::Cause;
use wigeonbarrow::direct::forecast::Forecast;
use wigeonbarrow::direct::forecast::Need;
use wigeonbarrow::direct::forecast::Verdict;
use wigeonbarrow::direct::load::Table;

#[path = "common/engines.rs"]
mod engines;
#[path = "common/lane.rs"]
mod lane;

use lane::Caller;
use lane::Habit;
use lane::Load;

const SEEDS: u64 = 20;

/// Twice the capacity for ten seconds. A lane needs twenty to serve that.
const BURST: Load = Load {
    factor: 2.0,
    timeout: Duration::from_secs(15),
};

/// The same with callers whose time is over before all of them can be served.
const HOPELESS_BURST: Load = Load {
    timeout: Duration::from_secs(10),
    ..BURST
};

/// All callers of some bursts.
fn bursts(load: Load, habit: fn(usize) -> Habit) -> Vec<Caller> {
    let runs = (0..SEEDS).flat_map(|seed| lane::simulate(seed, load, habit));
    runs.collect()
}

#[test]
fn none_held_until_too_late() {
    let mut callers = bursts(BURST, |_| Habit::AsTold);
    callers.extend(bursts(HOPELESS_BURST, |_| Habit::AsTold));
    let attempts = callers.iter().flat_map(|caller| &caller.attempts);
    let (mut kept, mut too_late, mut abandoned) = (0, 0, 0);
    for attempt in attempts {
        let held = attempt.ended.saturating_sub(attempt.arrived);
        let is_lost = !matches!(attempt.end, lane::End::Started);
        kept += usize::from(!held.is_zero());
        too_late += usize::from(is_lost && held >= attempt.left.mul_f64(0.75));
        abandoned += usize::from(matches!(attempt.end, lane::End::Abandoned));
    }
    println!("{kept} held, {too_late} in the last quarter, {abandoned} abandoned");
    assert!(kept > 1_000, "the lane is overloaded: {kept}");
    assert_eq!((too_late, abandoned), (0, 0));
}

#[test]
fn return_is_kept() {
    let callers = bursts(BURST, |_| Habit::AsTold);
    let returned: Vec<&Caller> = callers
        .iter()
        .filter(|caller| caller.attempts.len() > 1)
        .collect();
    let lost = returned.iter().filter(|caller| !caller.is_served()).count();
    println!("{} returned, {lost} of them in vain", returned.len());
    assert!(returned.len() > 500, "{}", returned.len());
    assert!(lost * 20 < returned.len(), "{lost} of {}", returned.len());
}

/// A lane that is served as fast as requests come rejects none, however long it was used.
#[test]
fn none_rejected_within_capacity() {
    for seed in 0..SEEDS {
        let usual = Load {
            factor: 0.8,
            ..HOPELESS_BURST
        };
        for caller in lane::simulate(seed, usual, |_| Habit::AsTold) {
            assert!(
                caller.is_served() && caller.attempts.len() == 1,
                "{caller:?}"
            );
        }
    }
}

#[test]
fn repeating_at_once_gains_nothing() {
    let callers = bursts(BURST, |number| match number % 5 {
        0 => Habit::AtOnce,
        _ => Habit::AsTold,
    });
    let share = |habit: Habit| {
        let own = callers.iter().filter(|caller| caller.habit == habit);
        let served = own.clone().filter(|caller| caller.is_served()).count();
        served as f64 / own.count() as f64
    };
    let (patient, hasty) = (share(Habit::AsTold), share(Habit::AtOnce));
    println!("served: {patient:.3} as told, {hasty:.3} at once");
    assert!(hasty <= patient, "{hasty} {patient}");
}

/// After a restart the rate is unknown.
#[test]
fn first_second_rejects_none() {
    let mut forecast = Forecast::default();
    for at in 0..10 {
        let now = Duration::from_millis(at * 99);
        forecast.observe(now, true);
        forecast.record_start(now, 1.0);
        let verdict = forecast.judge(now, &need(60_000.0)).verdict;
        assert_eq!(verdict, Verdict::Keep, "{now:?}");
    }
    let now = Duration::from_millis(1_100);
    let verdict = forecast.judge(now, &need(60_000.0)).verdict;
    assert!(
        matches!(verdict, Verdict::Reject(Cause::Forecast, _)),
        "{verdict:?}"
    );
}

/// A rate that was seen long ago says nothing about the servers of today.
#[test]
fn idle_lane_forgets_rate() {
    let mut forecast = slow_lane();
    let now = Duration::from_secs(5);
    forecast.observe(now, false);
    assert!(forecast.rate().is_some());
    let now = Duration::from_secs(16);
    forecast.observe(now, true);
    assert_eq!(forecast.rate(), None);
    assert_eq!(forecast.judge(now, &need(60_000.0)).verdict, Verdict::Keep);
}

/// The rate of a lane that all entries share comes from samples of the servers at work, and only while
/// they are frequent: how the lane was served in a gap is not known.
#[test]
fn rate_from_samples() {
    let mut forecast = Forecast::default();
    let at = |step: u64| Duration::from_millis(step * 100);
    for step in 0..30 {
        assert!(forecast.is_sample_due(at(step)));
        forecast.sample(at(step), 4.0);
        assert!(!forecast.is_sample_due(at(step) + Duration::from_millis(50)));
    }
    let rate = forecast.rate().expect("known after three seconds");
    assert!((4_000.0..4_400.0).contains(&rate), "{rate}");
    // After a gap of a second without samples, the servers at work count from then on.
    forecast.sample(at(40), 4.0);
    let same = forecast.rate().expect("still known");
    assert!((same - rate).abs() < 1.0, "{same} {rate}");
    forecast.sample(at(200), 4.0);
    assert_eq!(forecast.rate(), None, "too long ago");
}

/// The work ahead of a long prompt is that of the prompts with lower ranks, late ones included.
#[test]
fn work_of_lower_ranks() {
    let mut loads = Table::default();
    for rank in [900, 2_000, 1_003_000] {
        loads.enqueue(None, rank);
    }
    let ahead = |rank| loads.work_ahead(Duration::ZERO, rank) as u64;
    assert_eq!([ahead(900), ahead(901), ahead(5_000)], [0, 900, 2_900]);
    assert_eq!(ahead(1_004_000), 5_900);
    assert_eq!(loads.waiting_count(Duration::ZERO), 3);
}

/// A prompt that cannot be complete by its deadline is rejected on arrival; one that may be, if its
/// answer turns out half as long as its caller estimates, is not.
#[test]
fn hopeless_on_arrival() {
    let engine = engines::engine();
    let route = engines::route(Kind::Stream, Duration::from_millis(300), None);
    let need = engines::short(5_000);
    let budget = |ms| Budget::new(&route, Duration::ZERO, Duration::from_millis(ms));
    // Half of 1,200 tokens take 0.79 s to write.
    assert!(!budget(780).can_end(&engine, need.prompt, need.answer / 2));
    assert!(budget(820).can_end(&engine, need.prompt, need.answer / 2));
}

fn need(ahead_ms: f64) -> Need {
    Need {
        work_ms: 500.0,
        ahead_ms,
        first: Duration::from_millis(100),
        complete: Duration::from_secs(1),
        waited: Duration::ZERO,
        until_abandoned: Duration::from_secs(6),
        until_deadline: Duration::from_secs(10),
        timeout: Duration::from_secs(10),
    }
}

/// A lane served at one millisecond a millisecond, for three seconds.
fn slow_lane() -> Forecast {
    let mut forecast = Forecast::default();
    for at in 0..30 {
        let now = Duration::from_millis(at * 100);
        forecast.observe(now, true);
        forecast.record_start(now, 100.0);
    }
    forecast
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(512)
    })]

    /// Whatever a request needs: none is rejected by a forecast while nothing waits ahead of it, a
    /// return only if it would not complete in time, one that can no longer be in time always is, and
    /// no caller is told to return later than a third of its time.
    #[test]
    fn verdict_holds(
        ahead_ms in 0.0..30_000.0_f64,
        (first, complete) in (0_u64..3_000, 0_u64..6_000),
        (waited, until_abandoned, until_deadline) in (0_u64..5_000, 1_u64..8_000, 1_u64..15_000),
        others in 0_usize..40,
    ) {
        let mut forecast = slow_lane();
        let now = Duration::from_secs(3);
        for _ in 0..others {
            forecast.schedule_return(now, &need(5_000.0));
        }
        let millis = Duration::from_millis;
        let need = Need {
            ahead_ms,
            first: millis(first),
            complete: millis(first + complete),
            waited: millis(waited),
            until_abandoned: millis(until_abandoned.min(until_deadline)),
            until_deadline: millis(until_deadline),
            ..need(0.0)
        };
        let outlook = forecast.judge(now, &need);
        let is_possible = need.first < need.until_abandoned && need.complete < need.until_deadline;
        let is_first = Need { ahead_ms: 0.0, ..need };
        let first_verdict = forecast.judge(now, &is_first).verdict;
        prop_assert!((first_verdict == Verdict::Keep) == is_possible);
        match outlook.verdict {
            Verdict::Keep => prop_assert!(is_possible),
            Verdict::Reject(cause, after) => {
                prop_assert!(after <= need.until_deadline / 3);
                prop_assert!(after >= millis(200) || need.until_deadline < millis(600));
                match cause {
                    Cause::Deadline => prop_assert!(!is_possible),
                    Cause::Forecast if need.is_return() => {
                        let wait = outlook.wait.expect("the rate is known");
                        prop_assert!(wait + need.complete >= need.until_deadline);
                    }
                    Cause::Forecast => prop_assert!(ahead_ms > 0.0),
                    Cause::Full | Cause::Congestion => prop_assert!(false, "{:?}", cause),
                }
            }
        }
        // One that waits behind less work is not rejected where this one is kept.
        if outlook.verdict == Verdict::Keep {
            let less = Need { ahead_ms: ahead_ms / 2.0, ..need };
            prop_assert!(forecast.judge(now, &less).verdict == Verdict::Keep);
        }
    }
}
