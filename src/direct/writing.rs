//! How long answers take to be written, against the time model: servers read beside writing, and
//! callers' estimates of an answer's length are far off.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of one answer in the average.
const WEIGHT: f64 = 1.0 / 16.0;

/// Ratio that is expected of a service none of whose answers was seen yet, and its deviation.
const UNSEEN: Ratio = Ratio {
    mean: 1.5,
    deviation: 0.5,
};

/// Deviations above the mean within which an answer is expected to end.
const MARGIN: f64 = 1.0;

/// Bounds of one answer's ratio: one that was far off must not decide for a hundred others.
const BOUNDS: (f64, f64) = (0.1, 8.0);

#[derive(Clone, Copy, Debug)]
struct Ratio {
    mean: f64,
    /// Mean absolute difference from the mean.
    deviation: f64,
}

/// The time that answers took to be written over the time that the model gives, by service.
#[derive(Clone, Debug, Default)]
pub struct Writing {
    services: HashMap<String, Ratio>,
}

impl Writing {
    /// An answer of `service` was written in `took`, where the model gives `expected`.
    pub fn observe(&mut self, service: &str, took: Duration, expected: Duration) {
        if expected.is_zero() {
            return;
        }
        let ratio = took.as_secs_f64() / expected.as_secs_f64();
        let ratio = ratio.clamp(BOUNDS.0, BOUNDS.1);
        let known = self.services.entry(service.to_owned()).or_insert(UNSEEN);
        let off = ratio - known.mean;
        known.mean += off * WEIGHT;
        known.deviation += (off.abs() - known.deviation) * WEIGHT;
    }

    /// Time in which an answer of `service` is written on average, where the model gives
    /// `expected`.
    pub fn mean(&self, service: &str, expected: Duration) -> Duration {
        expected.mul_f64(self.ratio(service).mean)
    }

    /// Time within which most answers of `service` are written, where the model gives `expected`.
    pub fn upper_bound(&self, service: &str, expected: Duration) -> Duration {
        let known = self.ratio(service);
        expected.mul_f64(known.mean + known.deviation * MARGIN)
    }

    fn ratio(&self, service: &str) -> &Ratio {
        self.services.get(service).unwrap_or(&UNSEEN)
    }
}
