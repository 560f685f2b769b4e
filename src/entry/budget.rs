//! Retry budget of a service: limits retries to a percentage of requests.

use std::time::Duration;

/// Most retries that can be saved up.
const MAX_SAVED: f64 = 10.0;

/// When too few requests arrive to earn a retry, one is lent in each such period.
const LEND_PERIOD: Duration = Duration::from_secs(1);

/// A token bucket that is filled by requests.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    /// Retries saved. Invariant: at least -1, since one is lent at a time.
    saved: f64,
    /// When a retry was last lent.
    lent_at: Option<Duration>,
}

impl Budget {
    /// Adds `percent` of a retry, for a request's first attempt.
    pub fn earn(&mut self, percent: u32) {
        self.saved = (self.saved + f64::from(percent) / 100.0).min(MAX_SAVED);
    }

    /// Takes a retry. `false`: none is left.
    pub fn take(&mut self, now: Duration) -> bool {
        if self.saved >= 1.0 {
            self.saved -= 1.0;
            return true;
        }
        if self.lent_at.is_some_and(|at| now < at + LEND_PERIOD) {
            return false;
        }
        self.lent_at = Some(now);
        // Debt does not add up, so that a service with little traffic still gets retries.
        self.saved = self.saved.max(0.0) - 1.0;
        true
    }
}
