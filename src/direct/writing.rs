//! How long answers take to be written, compared with the time model. The model alone is not
//! enough: servers read prompts while they write, and callers' estimates of an answer's length are
//! far off.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of one answer in the moving average.
const WEIGHT: f64 = 1.0 / 16.0;

/// Expected for a service without any finished answer.
const UNKNOWN: Ratio = Ratio {
    mean: 1.5,
    deviation: 0.5,
};

/// Deviations above the mean within which an answer is expected to end.
const MARGIN: f64 = 1.0;

/// Limits of one answer's ratio, so that an outlier does not decide for a hundred others.
const RATIO_LIMITS: (f64, f64) = (0.1, 8.0);

#[derive(Clone, Copy, Debug)]
struct Ratio {
    mean: f64,
    /// Mean absolute difference from the mean.
    deviation: f64,
}

/// Ratio of the time that answers took to be written to the modelled time, by service.
#[derive(Clone, Debug, Default)]
pub struct Writing {
    services: HashMap<String, Ratio>,
}

impl Writing {
    /// Records that an answer of `service` was written in `took`, where the model gives `expected`.
    pub fn observe(&mut self, service: &str, took: Duration, expected: Duration) {
        if expected.is_zero() {
            return;
        }
        let ratio = took.as_secs_f64() / expected.as_secs_f64();
        let ratio = ratio.clamp(RATIO_LIMITS.0, RATIO_LIMITS.1);
        let known = self.services.entry(service.to_owned()).or_insert(UNKNOWN);
        let difference = ratio - known.mean;
        known.mean += difference * WEIGHT;
        known.deviation += (difference.abs() - known.deviation) * WEIGHT;
    }

    /// Mean ratio of the time that answers of `service` took to the modelled time.
    pub fn mean_ratio(&self, service: &str) -> f64 {
        self.ratio(service).mean
    }

    /// Mean time to write an answer of `service` for which the model gives `expected`.
    pub fn mean(&self, service: &str, expected: Duration) -> Duration {
        expected.mul_f64(self.ratio(service).mean)
    }

    /// Time within which most answers of `service` are written, where the model gives `expected`.
    pub fn upper_bound(&self, service: &str, expected: Duration) -> Duration {
        let known = self.ratio(service);
        expected.mul_f64(known.mean + known.deviation * MARGIN)
    }

    fn ratio(&self, service: &str) -> &Ratio {
        self.services.get(service).unwrap_or(&UNKNOWN)
    }
}
