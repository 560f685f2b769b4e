//! Reading work of a backend server: how much is left, and how much was given recently.

use std::time::Duration;

/// Time constant with which recent work decays. A server sends the next events each time that it
/// has made some dozen tokens, and reading in between adds up: 200 ms of it stretch a gap of 48 ms
/// to 250 ms, whether they come at once or one by one.
const RECENT: Duration = Duration::from_millis(250);

/// Reading work given to a server that is not yet done.
///
/// A server processes the work of all entries one item after the other, so what is left shrinks with
/// time and does not depend on the order.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    ms: f64,
    at: Duration,
    /// Milliseconds of recent work, as of `at`.
    recent: f64,
}

impl Backlog {
    /// Milliseconds of recent work, decayed by age.
    pub fn recent(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.at).as_secs_f64();
        self.recent * (-since / RECENT.as_secs_f64()).exp()
    }

    /// Milliseconds of work that are left.
    pub fn left(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.at).as_secs_f64() * 1e3;
        (self.ms - since).max(0.0)
    }

    /// Adds work; a negative value takes off work that was cancelled.
    pub fn add(&mut self, now: Duration, ms: f64) {
        self.ms = (self.left(now) + ms).max(0.0);
        self.recent = (self.recent(now) + ms).max(0.0);
        self.at = now;
    }

    /// Limits what is left to `most`, and returns it.
    pub fn limit(&mut self, now: Duration, most: f64) -> f64 {
        let left = self.left(now).min(most);
        *self = Self {
            ms: left,
            at: now,
            recent: self.recent(now),
        };
        left
    }
}
