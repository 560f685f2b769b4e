//! Simulates a burst of long prompts: in which order they are read, and which are rejected. One
//! lane reads one prompt after the other.

use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use wigeonbarrow::direct::catalog::Kind;
use wigeonbarrow::direct::catalog::Route;
use wigeonbarrow::direct::congestion::Congestion;
use wigeonbarrow::direct::deadline;
use wigeonbarrow::direct::deadline::Budget;
use wigeonbarrow::direct::forecast;
use wigeonbarrow::direct::forecast::Forecast;
use wigeonbarrow::direct::forecast::Verdict;
use wigeonbarrow::direct::place::Need;

#[path = "common/engines.rs"]
mod engines;

const SERVERS: usize = 14;
/// Servers of the reading lane.
const READING_SERVERS: usize = 7;
const DEADLINE: Duration = Duration::from_secs(15);
/// Tokens from which a prompt is among the largest tenth or so.
const LARGE: u64 = 330_000;
const STEP: Duration = Duration::from_millis(15);

struct Caller {
    arrived: Duration,
    prompt: u64,
    /// Random numbers of the first attempt and of the retry.
    draws: [u64; 2],
}

impl Caller {
    fn need(&self, now: Duration) -> Need {
        let left = DEADLINE.saturating_sub(now.saturating_sub(self.arrived));
        Need {
            draw: self.draws[usize::from(forecast::is_return(left, DEADLINE))],
            left,
            ..engines::long(self.prompt)
        }
    }
}

/// How many requests ended how.
#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    on_time: usize,
    late: usize,
    /// Prompts over [`LARGE`].
    large: usize,
    /// Those of them that were answered.
    large_served: usize,
    /// Rejected, and again on retry.
    rejected: usize,
    /// Abandoned after waiting until their time was over.
    abandoned: usize,
    /// Total time that the abandoned ones waited.
    wasted: Duration,
}

/// Callers arriving at `per_s` for `span`, with prompts around 182,000 tokens, one in ten over
/// 350,000.
fn callers(seed: u64, per_s: f64, span: Duration) -> Vec<Caller> {
    let mut draw = StdRng::seed_from_u64(seed);
    let mut out = Vec::new();
    let mut at = 0.0;
    while at < span.as_secs_f64() {
        let spread: f64 = (0..6).map(|_| draw.random_range(-1.0..1.0)).sum();
        out.push(Caller {
            arrived: Duration::from_secs_f64(at),
            prompt: (150_000.0 * (spread * 0.45).exp()) as u64,
            draws: [draw.random(), draw.random()],
        });
        at -= draw.random_range(f64::EPSILON..1.0_f64).ln() / per_s;
    }
    out
}

fn simulate(callers: &[Caller], rejects: bool) -> Outcome {
    let (engine, route) = (engines::engine(), route());
    let mut congestion = Congestion::default();
    let mut forecast = Forecast::default();
    let mut outcome = Outcome {
        requests: callers.len(),
        large: callers
            .iter()
            .filter(|caller| caller.prompt > LARGE)
            .count(),
        ..Outcome::default()
    };
    let mut arriving = callers.iter().peekable();
    let mut waiting: Vec<&Caller> = Vec::new();
    // Rejected callers and when they retry; each does so once.
    let mut returning: Vec<(Duration, &Caller)> = Vec::new();
    let (mut now, mut free) = (Duration::ZERO, Duration::ZERO);
    while arriving.peek().is_some() || !waiting.is_empty() || !returning.is_empty() {
        congestion.observe(now, !waiting.is_empty());
        forecast.observe(now, !waiting.is_empty());
        while let Some(caller) = arriving.next_if(|caller| caller.arrived <= now) {
            waiting.push(caller);
        }
        let due: Vec<&Caller> = returning
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, caller)| caller)
            .collect();
        waiting.extend(due);
        let rank = |caller: &&Caller| {
            wait(&route, caller, now).rank(&engine, &engines::long(caller.prompt))
        };
        waiting.sort_by_key(rank);
        let mut ahead_ms = 0.0;
        waiting.retain(|caller| {
            let need = caller.need(now);
            let congested = congestion.rejection(&engine, &need, &route, SERVERS);
            let predicted = forecast_need(&route, caller, now, ahead_ms);
            let verdict = if congested.is_some() {
                let after = forecast.schedule_return(now, &predicted);
                Verdict::Reject(forecast::Cause::Congestion, after)
            } else {
                forecast.judge(now, &predicted).verdict
            };
            if let Verdict::Reject(_, after) = verdict
                && rejects
            {
                if predicted.is_return() {
                    outcome.rejected += 1;
                } else {
                    returning.push((now + after, *caller));
                }
                return false;
            }
            ahead_ms += predicted.work_ms;
            let stays = wait(&route, caller, now).may_still_start(&engine, &need);
            if !stays {
                outcome.abandoned += 1;
                outcome.wasted += now.saturating_sub(caller.arrived);
            }
            stays
        });
        if free <= now && !waiting.is_empty() {
            let caller = waiting.remove(0);
            let read = read_ms(caller.prompt);
            forecast.record_start(now, read);
            free = now + Duration::from_secs_f64(read / 1e3);
            outcome.large_served += usize::from(caller.prompt > LARGE);
            if free.saturating_sub(caller.arrived) <= route.objective {
                outcome.on_time += 1;
            } else {
                outcome.late += 1;
            }
        }
        now += STEP;
    }
    outcome
}

fn wait(route: &Route, caller: &Caller, now: Duration) -> Budget {
    let waited = now.saturating_sub(caller.arrived);
    Budget::new(route, waited, DEADLINE.saturating_sub(waited))
}

/// Milliseconds for which a prompt takes the lane.
fn read_ms(prompt: u64) -> f64 {
    engines::engine().read_ms(prompt, READING_SERVERS) + 80.0
}

/// What the forecast needs to know of a caller with `ahead_ms` of the lane's time ahead of it.
fn forecast_need(route: &Route, caller: &Caller, now: Duration, ahead_ms: f64) -> forecast::Need {
    let (engine, need) = (engines::engine(), caller.need(now));
    let budget = wait(route, caller, now);
    let first = deadline::min_read_time(&engine, &need);
    forecast::Need {
        work_ms: read_ms(need.prompt),
        ahead_ms,
        first,
        complete: deadline::completion(&engine, &need, first),
        waited: budget.waited,
        until_abandoned: budget.until_abandoned,
        until_deadline: budget.until_deadline,
        timeout: route.timeout,
    }
}

fn route() -> Route {
    let pause = Some(Duration::from_secs(1));
    engines::route(Kind::Stream, Duration::from_secs(4), pause)
}

fn all(per_s: f64, rejects: bool) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 0..40 {
        let one = simulate(&callers(seed, per_s, Duration::from_secs(10)), rejects);
        sum.requests += one.requests;
        sum.on_time += one.on_time;
        sum.late += one.late;
        sum.large += one.large;
        sum.large_served += one.large_served;
        sum.rejected += one.rejected;
        sum.abandoned += one.abandoned;
        sum.wasted += one.wasted;
    }
    sum
}

/// Whether the largest tenth is answered at least half as often as all.
fn is_fair(one: &Outcome) -> bool {
    let all = (one.on_time + one.late) as f64 / one.requests as f64;
    one.large_served as f64 / one.large as f64 >= all / 2.0
}

#[test]
fn more_on_time() {
    let (before, after) = (all(2.1, false), all(2.1, true));
    println!("{before:?}\n{after:?}");
    assert!(after.on_time > before.on_time, "{before:?} {after:?}");
    assert!(after.wasted < before.wasted / 2, "{before:?} {after:?}");
    // A late answer is worth a quarter of one on time.
    let value = |outcome: &Outcome| outcome.on_time * 4 + outcome.late;
    assert!(value(&after) > value(&before), "{before:?} {after:?}");
    assert!(is_fair(&after), "{after:?}");
}

#[test]
fn largest_admitted() {
    let usual = all(0.5, true);
    println!("{usual:?}");
    assert!(
        is_fair(&usual) && usual.large_served * 4 > usual.large * 3,
        "{usual:?}"
    );
    assert!(usual.on_time * 10 > usual.requests * 9, "{usual:?}");
}

/// A prompt that occupies a small fleet for long takes little of a large one, where the longest are
/// read beside others. If only its own width counted, 3 to 6 of a hundred long prompts a day would
/// be rejected twice.
#[test]
fn large_fleet_rejects_largest() {
    let engine = engines::engine();
    let mut congestion = Congestion::default();
    for at in 0..100 {
        congestion.observe(Duration::from_millis(at * 100), true);
    }
    let is_rejected = |servers: usize| {
        let need = engines::long(640_000);
        let rejection = congestion.rejection(&engine, &need, &route(), servers);
        rejection.is_some()
    };
    assert!(
        is_rejected(SERVERS) && is_rejected(17) && is_rejected(23),
        "one prompt is read at a time"
    );
    assert!(!is_rejected(54));
}

/// A caller that waited as it was told to is not rejected again for the same reason.
#[test]
fn return_admitted() {
    let engine = engines::engine();
    let mut congestion = Congestion::default();
    for at in 0..100 {
        congestion.observe(Duration::from_millis(at * 100), true);
    }
    let is_rejected = |left: u64| {
        let left = Duration::from_secs(left);
        let need = Need {
            left,
            ..engines::long(640_000)
        };
        let rejection = congestion.rejection(&engine, &need, &route(), SERVERS);
        rejection.is_some()
    };
    assert!(is_rejected(15) && is_rejected(12));
    assert!(!is_rejected(11));
}

/// With nothing else waiting, the longest prompt is admitted, whatever waited some time ago.
#[test]
fn congestion_decays() {
    let engine = engines::engine();
    let huge = Need {
        draw: u64::MAX,
        ..engines::long(500_000)
    };
    let mut congestion = Congestion::default();
    for at in 0..100 {
        congestion.observe(Duration::from_millis(at * 100), true);
    }
    let rejection = congestion.rejection(&engine, &huge, &route(), SERVERS);
    assert!(rejection.is_some_and(|why| why.level > 0.9 && why.fleet_ms > 800.0));
    assert_eq!(
        congestion.rejection(&engine, &engines::long(182_000), &route(), SERVERS),
        None
    );
    congestion.observe(Duration::from_secs(14), false);
    assert_eq!(
        congestion.rejection(&engine, &huge, &route(), SERVERS),
        None
    );
}
