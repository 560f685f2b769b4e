//! Work given to a backend server to read: how much is left, and how much came lately.

use std::time::Duration;

/// Time in which work given to a server fades from what counts as given lately. Writers' events
/// come each time that an engine has made some dozen tokens, and reading between those adds up:
/// 200 ms of it stretch a pause of 48 ms to 250 ms, whether they come at once or one by one.
const LATELY: Duration = Duration::from_millis(250);

/// Work given to a server to read that is not yet done.
///
/// A server does one thing after the other, whoever gave it, so what is left shrinks with time
/// and does not depend on the order.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    ms: f64,
    at: Duration,
    /// Work given lately, at `at`.
    lately: f64,
}

impl Backlog {
    /// Milliseconds of work given lately, older work counting less.
    pub fn lately(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.at).as_secs_f64();
        self.lately * (-since / LATELY.as_secs_f64()).exp()
    }

    /// Milliseconds of work that are left.
    pub fn left(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.at).as_secs_f64() * 1e3;
        (self.ms - since).max(0.0)
    }

    /// Adds work, or takes off what was given up.
    pub fn add(&mut self, now: Duration, ms: f64) {
        self.ms = (self.left(now) + ms).max(0.0);
        self.lately = (self.lately(now) + ms).max(0.0);
        self.at = now;
    }

    /// What is left, which is no more than `most`.
    pub fn bound(&mut self, now: Duration, most: f64) -> f64 {
        let left = self.left(now).min(most);
        *self = Self {
            ms: left,
            at: now,
            lately: self.lately(now),
        };
        left
    }
}
