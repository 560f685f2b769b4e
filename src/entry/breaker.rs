//! Circuit breaker of one backend server: after consecutive failures the server gets no work for a
//! time, then a single probe.

use std::time::Duration;

/// Consecutive failures that open the breaker.
const MAX_FAILURES: u32 = 3;

/// Consecutive refusals that open the breaker. More than of failures, since a refusal is cheap and
/// comes with the server's exact load.
const MAX_REFUSALS: u32 = 8;

/// How long the breaker is open at first; the time doubles with each failed probe.
const FIRST_OPEN_TIME: Duration = Duration::from_millis(500);

/// Longest time for which the breaker is open.
const MAX_OPEN_TIME: Duration = Duration::from_millis(8_000);

/// How long a probe may take before another is allowed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(5_000);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Closed,
    /// No work is allowed until this time.
    Open(Duration),
    /// A probe was placed at this time.
    Probing(Duration),
}

/// A circuit breaker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Breaker {
    state: State,
    failures: u32,
    refusals: u32,
    /// How often it opened without a success in between.
    opened: u32,
}

impl Breaker {
    /// Whether work may be placed.
    pub fn allows(&self, now: Duration) -> bool {
        match self.state {
            State::Closed => true,
            State::Open(until) => now >= until,
            State::Probing(since) => now >= since + PROBE_TIMEOUT,
        }
    }

    /// Records that work was placed.
    pub fn placed(&mut self, now: Duration) {
        if self.state != State::Closed {
            self.state = State::Probing(now);
        }
    }

    /// Records a success, which closes the breaker.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Records a refusal by the server.
    pub fn refused(&mut self, now: Duration) {
        self.refusals += 1;
        if self.refusals >= MAX_REFUSALS {
            self.refusals = 0;
            self.open(now);
        } else if matches!(self.state, State::Probing(_)) {
            // It replied, so the link and the sidecar work.
            self.state = State::Closed;
        }
    }

    /// Records that an attempt was lost or failed.
    pub fn failed(&mut self, now: Duration) {
        self.failures += 1;
        if self.failures >= MAX_FAILURES || matches!(self.state, State::Probing(_)) {
            self.open(now);
        }
    }

    fn open(&mut self, now: Duration) {
        let open_time = FIRST_OPEN_TIME * 2u32.saturating_pow(self.opened.min(8));
        self.opened += 1;
        self.state = State::Open(now + open_time.min(MAX_OPEN_TIME));
    }
}
