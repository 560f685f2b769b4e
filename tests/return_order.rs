//! When rejected callers are told to return.
//!
//! Guards against callers that return all at once, before there is capacity, in another order than
//! they came in, or so early that they are not recognised and rejected again.

use std::time::Duration;

use wigeonbarrow::direct::forecast;
use wigeonbarrow::direct::forecast::Forecast;
use wigeonbarrow::direct::forecast::Need;
use wigeonbarrow::direct::forecast::Verdict;

#[path = "common/lane.rs"]
mod lane;

use lane::End;
use lane::Habit;

const TIMEOUT: Duration = Duration::from_secs(10);

const BURST: lane::Load = lane::Load {
    factor: 2.0,
    timeout: TIMEOUT,
};

/// A request behind eight seconds of work, in a lane that is served at one millisecond a millisecond.
fn need() -> Need {
    Need {
        work_ms: 50.0,
        ahead_ms: 8_000.0,
        first: Duration::from_millis(100),
        complete: Duration::from_secs(1),
        waited: Duration::ZERO,
        until_abandoned: Duration::from_secs(6),
        until_deadline: TIMEOUT,
        timeout: TIMEOUT,
    }
}

fn busy_lane() -> Forecast {
    let mut forecast = Forecast::default();
    for at in 0..30 {
        let now = Duration::from_millis(at * 100);
        forecast.observe(now, true);
        forecast.record_start(now, 100.0);
    }
    forecast
}

/// Times at which callers return that are rejected at these times.
fn returns(
    forecast: &mut Forecast,
    need: Need,
    times: impl Iterator<Item = Duration>,
) -> Vec<Duration> {
    let returns = times.map(|now| {
        forecast.observe(now, true);
        now + forecast.schedule_return(now, &need)
    });
    returns.collect()
}

#[test]
fn one_after_the_other() {
    let need = Need {
        ahead_ms: 1_000.0,
        ..need()
    };
    let start = Duration::from_secs(3);
    let times = (0..10).map(|at| start + Duration::from_millis(at));
    let times = returns(&mut busy_lane(), need, times);
    // The first returns as soon as it is recognised, the others when the one before was served.
    assert!(times[0].saturating_sub(start) >= TIMEOUT / 4, "{times:?}");
    for pair in times.windows(2) {
        let gap = pair[1].saturating_sub(pair[0]).as_secs_f64() * 1e3;
        assert!((40.0..55.0).contains(&gap), "{gap} {times:?}");
    }
}

/// The first caller of a burst returns when the queue is served that it would have waited in.
#[test]
fn after_the_queue() {
    let need = Need {
        ahead_ms: 3_000.0,
        ..need()
    };
    let now = Duration::from_secs(3);
    let after = busy_lane().schedule_return(now, &need);
    assert!(
        after > Duration::from_millis(2_700) && after < Duration::from_millis(3_100),
        "{after:?}"
    );
}

/// More callers than can return within a third of their time keep their order and come no faster than
/// they were rejected.
#[test]
fn order_kept_at_limit() {
    let start = Duration::from_secs(3);
    let times = (0..500).map(|at| start + Duration::from_millis(at * 4));
    let told: Vec<Duration> = times.clone().collect();
    let times = returns(&mut busy_lane(), need(), times);
    assert!(times.is_sorted(), "{times:?}");
    for (now, back) in told.iter().zip(&times) {
        assert!(back.saturating_sub(*now) <= TIMEOUT / 3, "{now:?} {back:?}");
    }
    let tail = &times[times.len() - 100..];
    let span = tail[99].saturating_sub(tail[0]);
    assert!(span >= Duration::from_millis(99 * 4), "{span:?}");
}

/// With little time left the third of it counts, and otherwise 0.2 s at least.
#[test]
fn within_time_left() {
    let now = Duration::from_secs(3);
    let after = |until_deadline: Duration| {
        let need = Need {
            ahead_ms: 10.0,
            until_deadline,
            ..need()
        };
        busy_lane().schedule_return(now, &need)
    };
    let millis = Duration::from_millis;
    assert_eq!(after(millis(6_000)), millis(200));
    assert_eq!(after(millis(300)), millis(100));
}

/// Whoever returns as told is recognised, and a caller that retries at once is not.
#[test]
fn recognised_on_return() {
    let now = Duration::from_secs(3);
    let after = busy_lane().schedule_return(now, &need());
    assert!(forecast::is_return(TIMEOUT.saturating_sub(after), TIMEOUT));
    assert!(!forecast::is_return(
        TIMEOUT.saturating_sub(Duration::from_millis(50)),
        TIMEOUT
    ));
}

/// A return waits, though a new request in the same place would be rejected.
#[test]
fn return_waits() {
    let mut forecast = busy_lane();
    let now = Duration::from_secs(3);
    let new = Need {
        ahead_ms: 5_500.0,
        ..need()
    };
    assert!(matches!(
        forecast.judge(now, &new).verdict,
        Verdict::Reject(..)
    ));
    let back = Need {
        until_deadline: Duration::from_secs(7),
        ..new
    };
    assert_eq!(forecast.judge(now, &back).verdict, Verdict::Keep);
    let hopeless = Need {
        until_deadline: Duration::from_secs(1),
        ..need()
    };
    assert!(matches!(
        forecast.judge(now, &hopeless).verdict,
        Verdict::Reject(..)
    ));
}

/// New requests do not take the capacity that returning callers were told to come for.
#[test]
fn returns_count_as_ahead() {
    let now = Duration::from_secs(3);
    let new = Need {
        ahead_ms: 2_900.0,
        ..need()
    };
    let mut forecast = busy_lane();
    assert_eq!(forecast.judge(now, &new).verdict, Verdict::Keep);
    for _ in 0..60 {
        forecast.schedule_return(
            now,
            &Need {
                ahead_ms: 2_600.0,
                ..need()
            },
        );
    }
    assert!(matches!(
        forecast.judge(now, &new).verdict,
        Verdict::Reject(..)
    ));
    // One that starts before they return is not affected.
    let early = Need {
        ahead_ms: 500.0,
        ..new
    };
    assert_eq!(forecast.judge(now, &early).verdict, Verdict::Keep);
}

/// In a burst of twice the capacity, those rejected on arrival return in the order in which they came.
#[test]
fn burst_returns_in_order() {
    for seed in 0..20 {
        let callers = lane::simulate(seed, BURST, |_| Habit::AsTold);
        let mut last = Duration::ZERO;
        let firsts = callers.iter().filter_map(|caller| caller.attempts.first());
        for attempt in firsts {
            let End::Rejected(after) = attempt.end else {
                continue;
            };
            assert!(attempt.others_waited, "{attempt:?}");
            if attempt.ended > attempt.arrived {
                continue;
            }
            let back = attempt.ended + after;
            assert!(back >= last, "seed {seed}: {back:?} before {last:?}");
            last = back;
        }
    }
}
