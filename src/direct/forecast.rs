//! Predicts when a waiting request starts, and rejects it early if that is too late.
//!
//! A request that is held until its deadline and rejected then leaves its caller no time to retry,
//! and what others wait for it is lost. So each lane of waiting requests has a forecast: the work
//! ahead of a request, divided by the rate at which the lane was served in the last seconds. Rejected
//! callers are told when to return, one after the other at that rate.

use std::time::Duration;

/// Time constant with which the observed rate forgets the past. An entry starts some six requests a
/// second of a lane that is overloaded; fewer seconds give too few of them for a rate.
const DECAY: Duration = Duration::from_secs(3);

/// Time for which a lane must have been observed with requests waiting until its rate is known.
const MIN_OBSERVED: Duration = Duration::from_secs(1);

/// Idle time after which the rate of a lane is unknown again: the load and the servers may have
/// changed.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// Share of the time left that a new request must have in reserve. A prediction that was too short
/// rejects it later, and in the last quarter of the time left that is too late to retry.
const RESERVE: f64 = 0.25;

/// Share of its route's timeout below which a request is a return.
const RETURN_SHARE: f64 = 0.75;

/// Least time after which a caller is asked to return.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Callers return after at most the time left divided by this.
const RETRY_DIVISOR: u32 = 3;

/// Time by which a caller returns later than it has to in order to be recognised, for clocks that
/// count whole milliseconds.
const RECOGNITION_MARGIN: Duration = Duration::from_millis(10);

/// Time between two callers that return while the rate is unknown.
const UNKNOWN_RATE_GAP: Duration = Duration::from_millis(10);

/// Longest time that one sample of the servers at work stands for. Samples are taken only while
/// something waits.
const MAX_SAMPLE: Duration = Duration::from_millis(500);

/// Least time between two samples: each evaluates the load of all servers.
const MIN_SAMPLE: Duration = Duration::from_millis(100);

/// Whether a request with `left` until its deadline, on a route with this timeout, is one whose
/// caller was rejected before. Callers that retry at once have more time left and count as new.
pub fn is_return(left: Duration, timeout: Duration) -> bool {
    left < timeout.mul_f64(RETURN_SHARE)
}

/// What a forecast needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Milliseconds of a server's time that it takes.
    pub work_ms: f64,
    /// Milliseconds of a server's time of those that start before it. 0: none waits ahead of it.
    pub ahead_ms: f64,
    /// Least time from its start to its first event.
    pub first: Duration,
    /// Least time from its start to the end of its response.
    pub complete: Duration,
    /// Time since it arrived.
    pub waited: Duration,
    /// Time until its caller abandons it if no event has come.
    pub until_abandoned: Duration,
    /// Time until its deadline.
    pub until_deadline: Duration,
    /// Timeout of its route.
    pub timeout: Duration,
}

impl Need {
    /// Whether its caller was rejected before, see [`is_return`].
    pub fn is_return(&self) -> bool {
        is_return(self.until_deadline, self.timeout)
    }

    /// Whether it would be in time if it started now.
    fn is_possible(&self) -> bool {
        self.first < self.until_abandoned && self.complete < self.until_deadline
    }

    /// Whether a new request would be in time if it started after `wait`. What it has waited already
    /// uses up its reserve.
    fn is_in_time(&self, wait: Duration) -> bool {
        let allows = |left: Duration, least: Duration| {
            let reserved = left.mul_f64(RESERVE).saturating_sub(self.waited);
            wait.saturating_add(least).saturating_add(reserved) < left
        };
        allows(self.until_abandoned, self.first) && allows(self.until_deadline, self.complete)
    }
}

/// Why a waiting request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The queue is full.
    Full,
    /// It would start too late.
    Forecast,
    /// It would occupy the whole fleet while others wait, see [`super::congestion`].
    Congestion,
    /// It could not complete by its deadline even if it started now.
    Deadline,
}

impl Cause {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Forecast => "forecast",
            Self::Congestion => "congestion",
            Self::Deadline => "deadline",
        }
    }
}

/// What becomes of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It waits.
    Keep,
    /// It is rejected, and its caller is asked to return after this time.
    Reject(Cause, Duration),
}

/// The prediction for a request, and what follows from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outlook {
    /// Predicted time until it starts. `None`: the rate of its lane is unknown.
    pub wait: Option<Duration>,
    pub verdict: Verdict,
}

/// The times at which rejected callers return.
#[derive(Clone, Copy, Debug, Default)]
struct Booked {
    /// When those begin that have not returned yet. Invariant: at most `to`.
    from: Duration,
    /// When the last one will have been served.
    to: Duration,
}

/// Forecast of one lane. All work and rates are those of this entry: of a lane that all entries
/// share, its share.
#[derive(Clone, Copy, Debug, Default)]
pub struct Forecast {
    /// Time of the last update.
    at: Duration,
    /// Whether a request has waited since then.
    waits: bool,
    /// Seconds with waiting requests, with the past decayed. Invariant: at most [`DECAY`].
    busy_s: f64,
    /// The same without decay, since the rate was last unknown.
    observed: Duration,
    /// Work of the requests that started, decayed likewise.
    served_ms: f64,
    /// Their number, decayed likewise.
    starts: f64,
    /// Time of the last sample.
    sampled: Option<Duration>,
    booked: Booked,
}

impl Forecast {
    /// Records whether requests wait in the lane from now on. To be called when that changes, or
    /// several times a second. Only time with waiting requests counts for the rate: otherwise a lane
    /// that is seldom used would look slow.
    pub fn observe(&mut self, now: Duration, waits: bool) {
        let since = now.saturating_sub(self.at);
        if self.waits {
            let decay = (-since.as_secs_f64() / DECAY.as_secs_f64()).exp();
            self.busy_s = self.busy_s * decay + DECAY.as_secs_f64() * (1.0 - decay);
            self.served_ms *= decay;
            self.starts *= decay;
            self.observed = self.observed.saturating_add(since);
        } else if since > FORGET_AFTER {
            *self = Self {
                booked: self.booked,
                ..Self::default()
            };
        }
        self.at = self.at.max(now);
        self.waits = waits;
    }

    /// Records that a request which waited has started, and the milliseconds of a server's time that
    /// it takes.
    pub fn record_start(&mut self, now: Duration, work_ms: f64) {
        self.observe(now, self.waits);
        self.served_ms += work_ms.max(0.0);
        self.starts += 1.0;
    }

    /// Whether a sample is due, see [`Self::sample`].
    pub fn is_sample_due(&self, now: Duration) -> bool {
        self.sampled.is_none_or(|at| now >= at + MIN_SAMPLE)
    }

    /// Records how many servers work for the lane now. Used instead of [`Self::record_start`] for a
    /// lane that all entries share, where this entry sees too few starts for a rate.
    pub fn sample(&mut self, now: Duration, servers: f64) {
        let since = self.sampled.map(|at| now.saturating_sub(at));
        self.sampled = Some(now);
        // How the lane was served is not known if the last sample is too old.
        let since = since.filter(|since| *since <= MAX_SAMPLE);
        self.waits = since.is_some();
        self.observe(now, true);
        let since = since.unwrap_or_default();
        self.served_ms += servers.max(0.0) * since.as_secs_f64() * 1e3;
        self.starts += since.as_secs_f64() / MIN_SAMPLE.as_secs_f64();
    }

    /// Milliseconds of a server's time that the lane is served a second. `None`: not known.
    pub fn rate(&self) -> Option<f64> {
        if self.observed < MIN_OBSERVED || self.served_ms <= 0.0 || self.starts <= 0.0 {
            return None;
        }
        // The next start may be due just now: without it, few starts would give too low a rate.
        let next_ms = self.served_ms / self.starts.max(1.0);
        Some((self.served_ms + next_ms) / self.busy_s)
    }

    /// Predicted time until a request starts. `None`: not known.
    pub fn wait(&self, now: Duration, need: &Need) -> Option<Duration> {
        let queued = self.queued(need)?;
        if need.is_return() {
            return Some(queued);
        }
        Some(self.behind_returns(now, queued))
    }

    /// Predicts when a request starts, and decides whether it waits until then. If not, hands out the
    /// time after which its caller returns.
    pub fn judge(&mut self, now: Duration, need: &Need) -> Outlook {
        self.observe(now, self.waits);
        let wait = self.wait(now, need);
        let is_too_late = wait.is_some_and(|wait| {
            if need.is_return() {
                wait.saturating_add(need.complete) >= need.until_deadline
            } else {
                !need.is_in_time(wait)
            }
        });
        let cause = if !need.is_possible() {
            Some(Cause::Deadline)
        } else if is_too_late && need.ahead_ms > 0.0 {
            Some(Cause::Forecast)
        } else {
            None
        };
        let booked = self.booked;
        let verdict = cause.map_or(Verdict::Keep, |cause| {
            Verdict::Reject(cause, self.schedule_return(now, need))
        });
        if cause == Some(Cause::Deadline) {
            // It cannot be in time when it returns either.
            self.booked = booked;
        }
        Outlook { wait, verdict }
    }

    /// Time after which the caller of a request that is rejected now returns: the predicted wait, but
    /// after those rejected before, and not before it is recognised as a return. Callers with the
    /// same timeout return in the order in which they were rejected.
    pub fn schedule_return(&mut self, now: Duration, need: &Need) -> Duration {
        let most = need.until_deadline / RETRY_DIVISOR;
        let recognised = need
            .until_deadline
            .saturating_sub(need.timeout.mul_f64(RETURN_SHARE))
            .saturating_add(RECOGNITION_MARGIN);
        let least = self.queued(need).unwrap_or_default().max(recognised);
        let after = least.max(MIN_RETRY_AFTER);
        let after = after.max(self.booked.to.saturating_sub(now)).min(most);
        let served = self.rate().map(|rate| time_for(need.work_ms, rate));
        let gap = served.unwrap_or(UNKNOWN_RATE_GAP).min(most);
        // A caller with less time left than those before it may have to return before them.
        let to = now.saturating_add(after).saturating_add(gap);
        let to = to.max(self.booked.to);
        let length = self.booked_time(now).saturating_add(gap);
        let from = to.saturating_sub(length).max(now);
        self.booked = Booked { from, to };
        after
    }

    /// Time until those ahead of a request in the queue have started.
    fn queued(&self, need: &Need) -> Option<Duration> {
        self.rate().map(|rate| time_for(need.ahead_ms, rate))
    }

    /// Time until a new request starts that has to wait for `queued`: callers who return meanwhile go
    /// first.
    fn behind_returns(&self, now: Duration, queued: Duration) -> Duration {
        if now.saturating_add(queued) < self.booked.from {
            return queued;
        }
        queued.saturating_add(self.booked_time(now))
    }

    /// Time that it takes to serve those who will return.
    fn booked_time(&self, now: Duration) -> Duration {
        let from = self.booked.from.max(now);
        self.booked.to.saturating_sub(from)
    }
}

/// Time in which `work_ms` are served at `rate` milliseconds a second.
fn time_for(work_ms: f64, rate: f64) -> Duration {
    Duration::try_from_secs_f64(work_ms.max(0.0) / rate.max(f64::EPSILON)).unwrap_or(Duration::MAX)
}
