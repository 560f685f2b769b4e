//! The entry's metrics.

use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::family;
use prometheus_client::metrics::gauge;
use prometheus_client::metrics::histogram;
use prometheus_client::registry;

use super::super::metric;
use crate::config;
use crate::entry::router;
use crate::wire::outcome;
use crate::wire::run;

/// Maximum number of workspaces with their own histogram. The rest share [`OTHER_WORKSPACES`].
const MAX_WORKSPACES: usize = 256;

/// Label of workspaces without their own histogram.
const OTHER_WORKSPACES: &str = "other";

/// Bucket bounds of the time histograms, in seconds.
const BOUNDS: [f64; 14] = [
    0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0, 15.0, 30.0, 60.0, 120.0,
];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByClass {
    class: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByWorkspace {
    workspace: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByOutcome {
    outcome: &'static str,
    ran: &'static str,
}

type Times<L> = family::Family<L, histogram::Histogram, fn() -> histogram::Histogram>;

fn times() -> histogram::Histogram {
    histogram::Histogram::new(BOUNDS)
}

/// The entry's metrics.
pub struct Count {
    first_by_class: Times<ByClass>,
    first_by_workspace: Times<ByWorkspace>,
    total_by_class: Times<ByClass>,
    requests: family::Family<ByOutcome, counter::Counter>,
    placements: counter::Counter,
    retries: counter::Counter,
    rejections: counter::Counter,
    waited: counter::Counter,
    shed: counter::Counter,
    prompt_tokens: counter::Counter,
    cached_tokens: counter::Counter,
    waiting: gauge::Gauge,
    in_progress: gauge::Gauge,
    /// Workspaces with their own histogram. Invariant: at most [`MAX_WORKSPACES`].
    labels: Mutex<HashSet<String>>,
}

impl Count {
    /// Creates and registers the metrics.
    pub fn new(metrics: &metric::Registry) -> Self {
        let count = Self {
            first_by_class: Times::new_with_constructor(times),
            first_by_workspace: Times::new_with_constructor(times),
            total_by_class: Times::new_with_constructor(times),
            requests: family::Family::default(),
            placements: counter::Counter::default(),
            retries: counter::Counter::default(),
            rejections: counter::Counter::default(),
            waited: counter::Counter::default(),
            shed: counter::Counter::default(),
            prompt_tokens: counter::Counter::default(),
            cached_tokens: counter::Counter::default(),
            waiting: gauge::Gauge::default(),
            in_progress: gauge::Gauge::default(),
            labels: Mutex::default(),
        };
        metrics.with(|registry| count.register(registry.sub_registry_with_prefix("entry")));
        count
    }

    fn register(&self, sub: &mut registry::Registry) {
        sub.register(
            "first_token_seconds",
            "Time from a request's receipt to its first token or byte, by class",
            self.first_by_class.clone(),
        );
        sub.register(
            "workspace_first_token_seconds",
            "The same by workspace",
            self.first_by_workspace.clone(),
        );
        sub.register(
            "answer_seconds",
            "Time from a request's receipt to the end of its whole answer, by class",
            self.total_by_class.clone(),
        );
        sub.register(
            "requests",
            "Requests with a final answer",
            self.requests.clone(),
        );
        sub.register("places", "Attempts placed", self.placements.clone());
        sub.register(
            "retries",
            "Attempts placed after one that was lost or failed",
            self.retries.clone(),
        );
        sub.register(
            "refused_places",
            "Attempts placed after one that a sidecar refused",
            self.rejections.clone(),
        );
        sub.register(
            "waited",
            "Requests that waited for a place",
            self.waited.clone(),
        );
        sub.register("shed", "Requests shed from the queue", self.shed.clone());
        sub.register(
            "prompt_tokens",
            "Prompt tokens placed, estimated",
            self.prompt_tokens.clone(),
        );
        sub.register(
            "cached_tokens",
            "Of these, tokens expected in a prefix cache",
            self.cached_tokens.clone(),
        );
        sub.register("waiting", "Requests that wait now", self.waiting.clone());
        sub.register(
            "in_progress",
            "Requests in progress now",
            self.in_progress.clone(),
        );
    }

    /// Records the time to the first token or byte of a response.
    pub fn first_output(
        &self,
        conf: &config::Set,
        workspace: &str,
        class: run::Class,
        time: Duration,
    ) {
        let label = ByClass {
            class: class_label(class),
        };
        let seconds = time.as_secs_f64();
        self.first_by_class.get_or_create(&label).observe(seconds);
        let label = ByWorkspace {
            workspace: self.workspace_label(conf, workspace),
        };
        let by_workspace = self.first_by_workspace.get_or_create(&label);
        by_workspace.observe(seconds);
    }

    /// Records a complete response.
    pub fn done(&self, class: run::Class, time: Duration) {
        let label = ByClass {
            class: class_label(class),
        };
        let total = self.total_by_class.get_or_create(&label);
        total.observe(time.as_secs_f64());
        self.outcome("done", outcome::Ran::Ran);
    }

    /// Records a request that failed or was rejected.
    pub fn failed(&self, failure: &outcome::Failure) {
        self.outcome(failure.cause.code(), failure.ran);
    }

    fn outcome(&self, outcome: &'static str, ran: outcome::Ran) {
        let ran = match ran {
            outcome::Ran::NotRun => "not_run",
            outcome::Ran::Ran => "ran",
            outcome::Ran::MayHaveRun => "may_have_run",
        };
        self.requests
            .get_or_create(&ByOutcome { outcome, ran })
            .inc();
    }

    /// Adds what the router counted since `old`, and updates the gauges.
    pub fn record_router(&self, old: &router::Counts, router: &router::Router) {
        let new = router.counts();
        self.placements.inc_by(new.placed - old.placed);
        self.retries.inc_by(new.retries - old.retries);
        self.rejections.inc_by(new.refusals - old.refusals);
        self.waited.inc_by(new.waited - old.waited);
        self.shed.inc_by(new.shed - old.shed);
        let prompt = new.prompt_tokens - old.prompt_tokens;
        self.prompt_tokens.inc_by(prompt);
        let cached = new.cached_tokens - old.cached_tokens;
        self.cached_tokens.inc_by(cached);
        let gauge = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        self.waiting.set(gauge(router.waiting()));
        self.in_progress.set(gauge(router.in_progress()));
    }

    /// The label of a workspace. Only configured workspaces get their own, and at most
    /// [`MAX_WORKSPACES`] until the process ends, which bounds the number of metrics.
    fn workspace_label(&self, conf: &config::Set, workspace: &str) -> String {
        let mut labels = self.labels.lock().expect("names lock");
        if labels.contains(workspace) {
            return workspace.to_owned();
        }
        if labels.len() >= MAX_WORKSPACES || !conf.workspace.contains_key(workspace) {
            return OTHER_WORKSPACES.to_owned();
        }
        labels.insert(workspace.to_owned());
        workspace.to_owned()
    }
}

fn class_label(class: run::Class) -> &'static str {
    match class {
        run::Class::Short => "short",
        run::Class::Medium => "medium",
        run::Class::Long => "long",
    }
}
