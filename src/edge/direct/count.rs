//! Metrics of requests: counters and latency histograms.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::family;
use prometheus_client::metrics::gauge;
use prometheus_client::metrics::histogram;

use crate::direct::tally;
use crate::direct::waiting;
use crate::edge::metric;

/// Upper bounds of latency buckets in seconds: from a network round trip to the longest deadline.
const LATENCY_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0,
];

/// Upper bounds of buckets for the ratio of the actual to the predicted time to the first event.
const RATIO_BUCKETS: [f64; 9] = [0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 4.0, 8.0];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Ended {
    service: String,
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Cut {
    service: String,
    reason: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Of {
    service: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct For {
    kind: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Caused {
    cause: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Classed {
    class: String,
}

type ClassHistograms = family::Family<Classed, histogram::Histogram, fn() -> histogram::Histogram>;
type Histograms = family::Family<Of, histogram::Histogram, fn() -> histogram::Histogram>;

/// The metrics of an entry without sidecars. To bound their number, labels are services, of which
/// a configuration has few, and never callers, keys or paths.
#[derive(Clone)]
pub struct Counts {
    ended: family::Family<Ended, counter::Counter>,
    first: Histograms,
    whole: Histograms,
    predicted: Histograms,
    attempts: family::Family<Ended, counter::Counter>,
    cut: family::Family<Cut, counter::Counter>,
    predicted_wait: ClassHistograms,
    rejected_waiting: family::Family<Caused, counter::Counter>,
    running: gauge::Gauge,
    waiting: family::Family<Classed, gauge::Gauge>,
    waiting_bytes: gauge::Gauge,
    body_bytes: gauge::Gauge,
    waiting_oldest: family::Family<Classed, gauge::Gauge<f64, AtomicU64>>,
    refused_heartbeats: counter::Counter,
    sent: family::Family<For, counter::Counter>,
    sent_in_pause: family::Family<For, counter::Counter>,
    withheld: family::Family<For, counter::Counter>,
    limited: gauge::Gauge,
    grants: family::Family<For, counter::Counter>,
    evacuated: gauge::Gauge,
    datagrams: family::Family<For, counter::Counter>,
    datagram_bytes: family::Family<For, counter::Counter>,
}

fn latencies() -> histogram::Histogram {
    histogram::Histogram::new(LATENCY_BUCKETS)
}

fn ratios() -> histogram::Histogram {
    histogram::Histogram::new(RATIO_BUCKETS)
}

impl Counts {
    /// Creates the metrics and registers them.
    pub fn new(metrics: &metric::Registry) -> Self {
        let counts = Self {
            ended: family::Family::default(),
            first: family::Family::new_with_constructor(latencies as fn() -> _),
            whole: family::Family::new_with_constructor(latencies as fn() -> _),
            predicted: family::Family::new_with_constructor(ratios as fn() -> _),
            attempts: family::Family::default(),
            cut: family::Family::default(),
            predicted_wait: family::Family::new_with_constructor(latencies as fn() -> _),
            rejected_waiting: family::Family::default(),
            running: gauge::Gauge::default(),
            waiting: family::Family::default(),
            waiting_bytes: gauge::Gauge::default(),
            body_bytes: gauge::Gauge::default(),
            waiting_oldest: family::Family::default(),
            refused_heartbeats: counter::Counter::default(),
            sent: family::Family::default(),
            sent_in_pause: family::Family::default(),
            withheld: family::Family::default(),
            limited: gauge::Gauge::default(),
            grants: family::Family::default(),
            evacuated: gauge::Gauge::default(),
            datagrams: family::Family::default(),
            datagram_bytes: family::Family::default(),
        };
        let own = counts.clone();
        metrics.with(|registry| {
            let sub = registry.sub_registry_with_prefix("direct");
            sub.register("requests", "Requests by their end", own.ended);
            sub.register(
                "first_seconds",
                "Time to the first event or answer",
                own.first,
            );
            sub.register("whole_seconds", "Time to the end of the answer", own.whole);
            sub.register(
                "first_over_predicted",
                "First event seen over the one predicted",
                own.predicted,
            );
            sub.register("attempts", "Attempts that gave no answer", own.attempts);
            sub.register(
                "cut",
                "Answers broken off, by why they were not resumed",
                own.cut,
            );
            sub.register(
                "predicted_wait_seconds",
                "Predicted time until a waiting request starts, sampled while requests wait",
                own.predicted_wait,
            );
            sub.register(
                "rejected_waiting",
                "Requests rejected before they were sent, by cause",
                own.rejected_waiting,
            );
            sub.register(
                "refused_heartbeats",
                "Heartbeats that name no server to use",
                own.refused_heartbeats,
            );
            sub.register("sent", "Sent to backend servers, by what for", own.sent);
            sub.register(
                "sent_in_pause",
                "Sent to backend servers within a pause that they had asked for",
                own.sent_in_pause,
            );
            sub.register(
                "withheld",
                "Not sent, since the server had asked for a pause or takes nothing new",
                own.withheld,
            );
            sub.register(
                "limited_servers",
                "Backend servers with a limit to which this entry sent something lately",
                own.limited,
            );
            sub.register("grants", "Grants asked for, by outcome", own.grants);
            sub.register(
                "evacuated_zones",
                "Availability zones whose backend servers get no new requests from here",
                own.evacuated,
            );
            sub.register(
                "datagrams",
                "Datagrams sent to other processes, by kind",
                own.datagrams,
            );
            sub.register(
                "datagram_bytes",
                "Bytes of these datagrams, without headers of UDP and IP",
                own.datagram_bytes,
            );
            sub.register("running", "Requests in progress", own.running);
            sub.register("waiting", "Requests that wait for a place", own.waiting);
            sub.register("waiting_bytes", "Bytes of their bodies", own.waiting_bytes);
            let help = "Bytes of memory in use for callers' bodies";
            sub.register("body_bytes", help, own.body_bytes);
            sub.register(
                "waiting_oldest_seconds",
                "Time since the oldest of them arrived",
                own.waiting_oldest,
            );
        });
        counts
    }

    /// A heartbeat was rejected.
    pub fn heartbeat_rejected(&self) {
        self.refused_heartbeats.inc();
    }

    /// Something was sent to a backend server.
    pub fn sent(&self, kind: tally::Kind) {
        self.sent.get_or_create(&kind_label(kind.name())).inc();
    }

    /// Something was sent to a backend server within a pause that it had asked for.
    pub fn sent_in_pause(&self, kind: tally::Kind) {
        let label = kind_label(kind.name());
        self.sent_in_pause.get_or_create(&label).inc();
    }

    /// Something was not sent to a backend server that must not get it now.
    pub fn withheld(&self, kind: tally::Kind) {
        self.withheld.get_or_create(&kind_label(kind.name())).inc();
    }

    /// Another process answered a request for a grant.
    pub fn grant_answered(&self, granted: bool) {
        let outcome = if granted { "granted" } else { "denied" };
        self.grants.get_or_create(&kind_label(outcome)).inc();
    }

    /// Another process did not answer a request for a grant in time.
    pub fn grant_unanswered(&self) {
        self.grants.get_or_create(&kind_label("unanswered")).inc();
    }

    /// Sets the number of servers with a request limit that this entry recently sent something to.
    pub fn set_limited_servers(&self, servers: usize) {
        self.limited.set(i64::try_from(servers).unwrap_or(i64::MAX));
    }

    /// Sets the number of evacuated zones in force here.
    pub fn set_evacuated_zones(&self, zones: usize) {
        self.evacuated.set(i64::try_from(zones).unwrap_or(i64::MAX));
    }

    /// Datagrams of a kind were sent, each of this size.
    pub fn datagrams_sent(&self, kind: &str, count: usize, bytes: usize) {
        let label = kind_label(kind);
        self.datagrams.get_or_create(&label).inc_by(count as u64);
        let bytes = (count * bytes) as u64;
        self.datagram_bytes.get_or_create(&label).inc_by(bytes);
    }

    /// Sets what waits for a place in a class.
    pub fn set_waiting(&self, class: waiting::Class, summary: waiting::Summary) {
        let label = Classed {
            class: class.name().to_owned(),
        };
        let requests = i64::try_from(summary.requests).unwrap_or(i64::MAX);
        self.waiting.get_or_create(&label).set(requests);
        let oldest = self.waiting_oldest.get_or_create(&label);
        oldest.set(summary.oldest.as_secs_f64());
    }

    /// Sets the bytes of the bodies of all that wait.
    pub fn set_waiting_bytes(&self, bytes: usize) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.waiting_bytes.set(bytes);
    }

    /// Sets the memory in use for callers' bodies.
    pub fn set_body_bytes(&self, bytes: usize) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.body_bytes.set(bytes);
    }

    /// A caller's request started.
    pub fn request_started(&self) {
        self.running.inc();
    }

    /// A caller's request ended.
    pub fn request_ended(&self, service: &str, outcome: &str, took: Duration) {
        self.running.dec();
        let label = Ended {
            service: service.to_owned(),
            outcome: outcome.to_owned(),
        };
        self.ended.get_or_create(&label).inc();
        let label = service_label(service);
        self.whole.get_or_create(&label).observe(took.as_secs_f64());
    }

    /// The first event or the response came. `predicted_ms`: the time predicted for that, 0 if
    /// there was no prediction.
    pub fn first_response(&self, service: &str, took: Duration, predicted_ms: f64) {
        let label = service_label(service);
        let seconds = took.as_secs_f64();
        self.first.get_or_create(&label).observe(seconds);
        if predicted_ms > 0.0 {
            let ratio = seconds * 1e3 / predicted_ms;
            self.predicted.get_or_create(&label).observe(ratio);
        }
    }

    /// An answer broke off and was not resumed, for this reason.
    pub fn answer_cut(&self, service: &str, reason: &str) {
        let label = Cut {
            service: service.to_owned(),
            reason: reason.to_owned(),
        };
        self.cut.get_or_create(&label).inc();
    }

    /// A waiting request of this class is predicted to start after `wait`.
    pub fn wait_predicted(&self, class: &str, wait: Duration) {
        let class = class.to_owned();
        let histogram = self.predicted_wait.get_or_create(&Classed { class });
        histogram.observe(wait.as_secs_f64());
    }

    /// A request was rejected before it was sent.
    pub fn rejected_waiting(&self, cause: &str) {
        let cause = cause.to_owned();
        self.rejected_waiting.get_or_create(&Caused { cause }).inc();
    }

    /// An attempt ended without a response to pass on.
    pub fn attempt_failed(&self, service: &str, end: &str) {
        let label = Ended {
            service: service.to_owned(),
            outcome: end.to_owned(),
        };
        self.attempts.get_or_create(&label).inc();
    }
}

fn kind_label(kind: &str) -> For {
    For {
        kind: kind.to_owned(),
    }
}

fn service_label(service: &str) -> Of {
    Of {
        service: service.to_owned(),
    }
}
