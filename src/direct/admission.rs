//! Whether a new connection of a caller is accepted, or closed before anything is read.
//!
//! An entry whose event loop has fallen behind still reads every request that arrives, and serves all
//! of them late. A connection that closes unread costs its caller little: it opens another one, which
//! reaches another entry. So an entry that stays late accepts only as many connections as it serves
//! in time. How late it is shows in the delay between the accept of a connection and the first run
//! of its task, which is one turn of the event loop.

use std::time::Duration;

/// Delay from which an entry is late: a caller still has most of its objective then.
const LATE: Duration = Duration::from_millis(150);

/// Delay up to which it is on time.
const ON_TIME: Duration = Duration::from_millis(25);

/// Time over which delays are averaged.
const WINDOW: Duration = Duration::from_millis(200);

/// Time for which an entry must have been late without a break before it refuses. Bursts and pauses
/// of the machine are over sooner.
const SUSTAINED: Duration = Duration::from_millis(800);

/// Most that one window counts towards [`SUSTAINED`] and [`RECOVERED`]: a pause of any length is one
/// window.
const MAX_COUNTED: Duration = Duration::from_millis(400);

/// Time on time, with nothing refused, after which the limit is lifted.
const RECOVERED: Duration = Duration::from_secs(1);

/// Factor by which the limit falls each time that the entry becomes late.
const DECREASE: f64 = 0.4;

/// Factor by which the limit falls in a window that is neither late nor on time: events of responses
/// wait for their turn then, each as long as a new connection.
const RECEDE: f64 = 0.9;

/// Factor by which the limit rises in a window on time.
const INCREASE: f64 = 1.05;

/// Connections accepted a second while an entry works off what made it late. Their delays show when
/// it is on time again.
const MIN_RATE: f64 = 10.0;

/// Weight of one window in the rate of accepted connections.
const RATE_WEIGHT: f64 = 0.3;

/// What was observed in one window.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    start: Duration,
    accepted: u32,
    refused: u32,
    begun: u32,
    /// Sum of the delays of those that have begun.
    delays: Duration,
}

/// Decides on new connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Admission {
    window: Window,
    /// Mean delay in the last window in which any connection began.
    delay: Duration,
    /// Connections accepted a second, averaged over some windows.
    rate: f64,
    /// How long the entry has been late without a break.
    late_for: Duration,
    /// How long it has been on time with nothing refused.
    calm_for: Duration,
    /// Connections accepted a second while it is on time. `None`: all are accepted.
    limit: Option<f64>,
    /// Whether it works off what made it late.
    is_draining: bool,
    /// Connections that may be accepted now under the limit. Invariant: not negative.
    credit: f64,
    /// When credit was last added.
    credited: Duration,
}

impl Admission {
    /// Whether a connection that arrived at `now` is accepted.
    pub fn admit(&mut self, now: Duration) -> bool {
        self.close_window(now);
        let is_admitted = self.take_credit(now);
        if is_admitted {
            self.window.accepted += 1;
        } else {
            self.window.refused += 1;
        }
        is_admitted
    }

    /// Records that the task of an accepted connection ran first, `delay` after the accept.
    pub fn observe(&mut self, now: Duration, delay: Duration) {
        self.window.begun += 1;
        self.window.delays += delay;
        self.close_window(now);
    }

    /// Connections accepted a second while not all are.
    pub fn limit(&self) -> Option<f64> {
        let most = if self.is_draining { MIN_RATE } else { f64::MAX };
        self.limit.map(|limit| limit.min(most))
    }

    fn take_credit(&mut self, now: Duration) -> bool {
        let Some(limit) = self.limit() else {
            return true;
        };
        let since = now.saturating_sub(self.credited).as_secs_f64();
        self.credited = now;
        let most = (limit * WINDOW.as_secs_f64()).max(1.0);
        self.credit = (self.credit + limit * since).min(most);
        let has_credit = self.credit >= 1.0;
        if has_credit {
            self.credit -= 1.0;
        }
        has_credit
    }

    fn close_window(&mut self, now: Duration) {
        let took = now.saturating_sub(self.window.start);
        if took < WINDOW {
            return;
        }
        let window = std::mem::take(&mut self.window);
        self.window.start = now;
        let rate = f64::from(window.accepted) / took.as_secs_f64();
        self.rate += (rate - self.rate) * RATE_WEIGHT;
        if window.begun > 0 {
            self.delay = window.delays / window.begun;
        } else if window.accepted == 0 {
            // Nothing waits that could be late.
            self.delay = Duration::ZERO;
        }
        let counted = took.min(MAX_COUNTED);
        if self.delay > LATE {
            self.late_for += counted;
            self.calm_for = Duration::ZERO;
            self.lower(now);
            return;
        }
        self.late_for = Duration::ZERO;
        if self.delay < ON_TIME {
            self.is_draining = false;
            self.raise(&window, counted);
        } else if !self.is_draining {
            let limit = self.limit.map(|limit| (limit * RECEDE).max(MIN_RATE));
            self.limit = limit;
        }
    }

    /// Lowers the limit once each time that the entry becomes late.
    fn lower(&mut self, now: Duration) {
        if self.is_draining || self.limit.is_none() && self.late_for < SUSTAINED {
            return;
        }
        let limit = self.limit.unwrap_or(self.rate);
        self.limit = Some((limit * DECREASE).max(MIN_RATE));
        self.is_draining = true;
        self.credit = 0.0;
        self.credited = now;
    }

    /// Raises the limit if it was reached, and lifts it after some time in which it was not.
    fn raise(&mut self, window: &Window, counted: Duration) {
        let Some(limit) = self.limit else {
            return;
        };
        if window.refused > 0 {
            self.calm_for = Duration::ZERO;
            self.limit = Some(limit * INCREASE);
            return;
        }
        self.calm_for += counted;
        if self.calm_for >= RECOVERED {
            *self = Self {
                window: self.window,
                ..Self::default()
            };
        }
    }
}
