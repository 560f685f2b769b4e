//! The sidecar's metrics.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::family;

use super::super::metric;
use crate::wire::outcome::Cause;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    cause: &'static str,
}

type ByCause = family::Family<Labels, counter::Counter>;

/// The sidecar's counters.
pub struct Count {
    /// Attempts offered.
    pub offers: counter::Counter,
    /// Runs started on the backend server.
    pub runs: counter::Counter,
    /// Segments whose prefill was started.
    pub segments: counter::Counter,
    /// Streams from the backend server that were resumed.
    pub resumed: counter::Counter,
    /// Crashes of the backend server with runs on it.
    pub crashes: counter::Counter,
    rejections: ByCause,
    failures: ByCause,
}

impl Count {
    /// Registers the counters.
    pub fn new(metrics: &metric::Registry) -> Self {
        let count = Self {
            offers: counter::Counter::default(),
            runs: counter::Counter::default(),
            segments: counter::Counter::default(),
            resumed: counter::Counter::default(),
            crashes: counter::Counter::default(),
            rejections: ByCause::default(),
            failures: ByCause::default(),
        };
        metrics.with(|registry| {
            let sub = registry.sub_registry_with_prefix("sidecar");
            sub.register("offers", "Attempts offered", count.offers.clone());
            sub.register(
                "runs",
                "Runs started on the backend server",
                count.runs.clone(),
            );
            sub.register(
                "segments",
                "Segments of prompts larger than one engine",
                count.segments.clone(),
            );
            sub.register(
                "resumed",
                "Streams of the backend server taken up again",
                count.resumed.clone(),
            );
            sub.register(
                "crashes",
                "Deaths of the backend server with work on it",
                count.crashes.clone(),
            );
            sub.register(
                "refusals",
                "Attempts refused, not run",
                count.rejections.clone(),
            );
            sub.register(
                "failures",
                "Attempts failed after their start",
                count.failures.clone(),
            );
        });
        count
    }

    /// Counts a rejected attempt.
    pub fn rejected(&self, cause: Cause) {
        let labels = Labels {
            cause: cause.code(),
        };
        self.rejections.get_or_create(&labels).inc();
    }

    /// Counts an attempt that failed after its start.
    pub fn failed(&self, cause: Cause) {
        let labels = Labels {
            cause: cause.code(),
        };
        self.failures.get_or_create(&labels).inc();
    }
}
