//! Simulates one lane of waiting requests in front of servers that each take one at a time.
#![allow(dead_code)]

use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use wigeonbarrow::direct::forecast::Forecast;
use wigeonbarrow::direct::forecast::Need;
use wigeonbarrow::direct::forecast::Verdict;

const SERVERS: usize = 6;
/// Average work of a request, and the bounds that it is drawn from.
const WORK_MS: f64 = 400.0;
const WORK_BOUNDS_MS: (f64, f64) = (200.0, 600.0);
/// Time to write an answer.
const WRITING: Duration = Duration::from_secs(1);
/// Time after which a caller abandons a request without an event.
const PATIENCE: Duration = Duration::from_secs(6);
const BURST: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(5);
/// Attempts of a caller that retries at once.
const HASTY_ATTEMPTS: usize = 5;

/// A burst of requests.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Rate of arrivals over the rate at which the lane can be served.
    pub factor: f64,
    /// Time that callers allow, and timeout of the route.
    pub timeout: Duration,
}

/// What a caller does when it is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// It returns once, when it was told to.
    AsTold,
    /// It returns at once, several times.
    AtOnce,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Started,
    /// Rejected; to return after this time.
    Rejected(Duration),
    Abandoned,
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub arrived: Duration,
    /// Time until its deadline when it arrived.
    pub left: Duration,
    pub ended: Duration,
    pub end: End,
    /// Whether others waited when it ended.
    pub others_waited: bool,
}

#[derive(Clone, Debug)]
pub struct Caller {
    pub arrived: Duration,
    pub habit: Habit,
    pub attempts: Vec<Attempt>,
    work_ms: f64,
    timeout: Duration,
}

impl Caller {
    pub fn is_served(&self) -> bool {
        let last = self.attempts.last();
        last.is_some_and(|last| last.end == End::Started)
    }

    fn deadline(&self) -> Duration {
        self.arrived + self.timeout
    }
}

/// A waiting attempt.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    caller: usize,
    arrived: Duration,
    /// Returns go first, by deadline; then the others as they came.
    order: (bool, Duration),
}

/// Callers that come for ten seconds, and how they fare.
pub fn simulate(seed: u64, load: Load, habit: fn(usize) -> Habit) -> Vec<Caller> {
    let mut draw = StdRng::seed_from_u64(seed);
    let per_s = load.factor * SERVERS as f64 * 1e3 / WORK_MS;
    let mut callers = Vec::new();
    let mut at = 0.0;
    while at < BURST.as_secs_f64() {
        callers.push(Caller {
            arrived: Duration::from_secs_f64(at),
            habit: habit(callers.len()),
            attempts: Vec::new(),
            timeout: load.timeout,
            work_ms: draw.random_range(WORK_BOUNDS_MS.0..WORK_BOUNDS_MS.1),
        });
        at -= draw.random_range(f64::EPSILON..1.0_f64).ln() / per_s;
    }
    let mut coming: Vec<(Duration, usize)> = callers
        .iter()
        .enumerate()
        .map(|(at, caller)| (caller.arrived, at))
        .collect();
    let mut forecast = Forecast::default();
    let mut free_at = [Duration::ZERO; SERVERS];
    let mut waiting: Vec<Waiting> = Vec::new();
    let mut now = Duration::ZERO;
    while !coming.is_empty() || !waiting.is_empty() {
        let mut due: Vec<(Duration, usize)> = coming.extract_if(.., |(at, _)| *at <= now).collect();
        due.sort_unstable();
        for (_, caller) in due {
            let left = callers[caller].deadline().saturating_sub(now);
            let is_return = wigeonbarrow::direct::forecast::is_return(left, load.timeout);
            let by = if is_return {
                callers[caller].deadline()
            } else {
                now
            };
            let new = Waiting {
                caller,
                arrived: now,
                order: (!is_return, by),
            };
            let at = waiting.partition_point(|other| other.order <= new.order);
            waiting.insert(at, new);
        }
        // Starts those that have a server, the first first.
        for free in free_at.iter_mut().filter(|free| **free <= now) {
            if waiting.is_empty() {
                break;
            }
            let first = waiting.remove(0);
            let caller = &mut callers[first.caller];
            *free = now + Duration::from_secs_f64(caller.work_ms / 1e3);
            if first.arrived < now {
                forecast.record_start(now, caller.work_ms);
            }
            end(caller, first, now, End::Started, !waiting.is_empty());
        }
        forecast.observe(now, !waiting.is_empty());
        let mut ahead_ms = 0.0;
        let mut kept = Vec::with_capacity(waiting.len());
        let others_wait = waiting.len() > 1;
        for one in std::mem::take(&mut waiting) {
            let caller = &mut callers[one.caller];
            let need = need(caller, one, now, ahead_ms);
            if need.until_abandoned.is_zero() {
                end(caller, one, now, End::Abandoned, others_wait);
                continue;
            }
            match forecast.judge(now, &need).verdict {
                Verdict::Keep => {
                    ahead_ms += caller.work_ms;
                    kept.push(one);
                }
                Verdict::Reject(_, after) => {
                    end(caller, one, now, End::Rejected(after), others_wait);
                    match caller.habit {
                        Habit::AsTold if caller.attempts.len() == 1 => {
                            coming.push((now + after, one.caller));
                        }
                        Habit::AtOnce if caller.attempts.len() < HASTY_ATTEMPTS => {
                            coming.push((now + STEP, one.caller));
                        }
                        Habit::AsTold | Habit::AtOnce => {}
                    }
                }
            }
        }
        waiting = kept;
        now += STEP;
    }
    callers
}

fn need(caller: &Caller, one: Waiting, now: Duration, ahead_ms: f64) -> Need {
    let waited = now.saturating_sub(one.arrived);
    let until_deadline = caller.deadline().saturating_sub(now);
    let first = Duration::from_secs_f64(caller.work_ms / 1e3);
    Need {
        work_ms: caller.work_ms,
        ahead_ms,
        first,
        complete: first + WRITING,
        waited,
        until_abandoned: PATIENCE.saturating_sub(waited).min(until_deadline),
        until_deadline,
        timeout: caller.timeout,
    }
}

fn end(caller: &mut Caller, one: Waiting, now: Duration, end: End, others_waited: bool) {
    caller.attempts.push(Attempt {
        arrived: one.arrived,
        left: caller.deadline().saturating_sub(one.arrived),
        ended: now,
        end,
        others_waited,
    });
}
