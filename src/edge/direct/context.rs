//! The state of one caller's request, shared by all its attempts.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::request;

use super::dialect;
use super::progress;
use crate::direct::catalog;
use crate::direct::deadline;
use crate::direct::home;
use crate::direct::load;
use crate::direct::model;
use crate::direct::part;
use crate::direct::place;
use crate::direct::register;
use crate::direct::retry;
use crate::direct::writing;
use crate::edge::lifetime;
use crate::wire::id;

/// A caller's request with its route and the outcome of its attempts so far.
pub struct Context {
    /// The caller's request as decoded from its head.
    pub request: dialect::Request,
    /// The request head as received.
    pub head: request::Parts,
    pub body: Bytes,
    pub route: catalog::Route,
    /// Service that the route selected.
    pub service: String,
    /// Time model of that service's engines. `None`: the service runs no model.
    pub engine: Option<model::Engine>,
    /// Workspace of the caller.
    pub workspace: Option<String>,
    /// Regions in which it may run.
    pub homes: home::Homes,
    /// Priority, 0 first.
    pub priority: u8,
    /// Levels by which it is below the most urgent route of its service.
    pub priority_gap: u8,
    /// When the request arrived.
    pub began: Instant,
    pub deadline: Instant,
    /// Counts of its attempts so far.
    pub history: retry::History,
    /// Servers at which an attempt of it failed.
    pub failed_servers: Vec<register::Instance>,
    /// Servers at which an attempt of it is open beside the latest one.
    pub open_at: Vec<register::Instance>,
    /// Hash of workspace, host, URI and body: equal for equal requests.
    pub fingerprint: id::Fingerprint,
    /// The answer of its current attempt, and when its first events came. `None`: no further events
    /// came yet.
    pub answer: Option<(Instant, part::Answer)>,
    /// Version of the configuration that routed it.
    pub version: u64,
    /// The stage that it is in, for logs and metrics.
    pub progress: progress::Progress,
    /// When this process exits, once it got the stop signal.
    pub lifetime: lifetime::Lifetime,
}

impl Context {
    /// Whether it is a call: its response is not a stream of events.
    pub fn is_call(&self) -> bool {
        self.route.kind != catalog::Kind::Stream
    }

    /// Time until its deadline or the exit of this process, whichever comes first.
    pub fn time_left(&self) -> Duration {
        let own = self.caller_time_left();
        self.lifetime.remaining().map_or(own, |exit| own.min(exit))
    }

    /// Time until its deadline.
    fn caller_time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Whether its deadline has passed.
    pub fn is_past_deadline(&self) -> bool {
        self.caller_time_left().is_zero()
    }

    /// Time within which the rest of its response is most likely generated.
    pub fn write_time_bound(&self, known: &writing::Writing) -> Duration {
        known.upper_bound(&self.service, self.modelled_write_time())
    }

    /// Average time to generate the rest of its response.
    pub fn mean_write_time(&self, known: &writing::Writing) -> Duration {
        known.mean(&self.service, self.modelled_write_time())
    }

    /// Time to generate the rest of its response, by the engine's time model.
    fn modelled_write_time(&self) -> Duration {
        let (Some(engine), Some(size)) = (&self.engine, self.request.size) else {
            return Duration::ZERO;
        };
        let rest = self.expected_answer().saturating_sub(self.written());
        deadline::write_time(engine, size.prompt, rest)
    }

    /// Whether events of its response were passed on.
    pub fn is_resuming(&self) -> bool {
        self.progress.lock().events > 0
    }

    /// Tokens of its response that were passed on.
    fn written(&self) -> u64 {
        let stride = self.engine.map_or(0, |engine| u64::from(engine.stride));
        u64::from(self.progress.lock().events) * stride
    }

    /// What is left of its response, and of the time for it.
    pub fn rest(&self, known: &writing::Writing) -> deadline::Rest {
        deadline::Rest {
            left: self.time_left(),
            writing: self.mean_write_time(known),
        }
    }

    /// Whether the rest of its response could be complete by its deadline if idle servers took it now
    /// and it were half as long as the caller estimates. `true` if that is not known.
    pub fn can_still_end(&self) -> bool {
        let (Some(engine), Some(size)) = (&self.engine, self.request.size) else {
            return true;
        };
        let is_whole = self.request.last_event_id.is_none();
        // Without an estimate, or with a part of the answer written earlier, only reading counts.
        let estimate = size.answer_hint.filter(|_| is_whole).unwrap_or_default();
        let least = (estimate / 2).min(size.max_answer);
        let rest = least.saturating_sub(self.written());
        self.time_budget().can_end(engine, size.prompt, rest)
    }

    /// Whether its response would be complete before this process exits, if its first event comes
    /// after `first_ms`. Without sizes or a time model, the request is expected to take no
    /// longer than the objective of its route.
    pub fn completes_before_exit(&self, first_ms: f64, writing: Duration) -> bool {
        let first = match self.engine.zip(self.request.size) {
            Some(_) => deadline::millis(first_ms),
            None => self.route.objective,
        };
        self.time_budget().ends_before_exit(first, writing)
    }

    /// Whether a request without a server may still be assigned one in time.
    pub fn may_wait_for_server(&self) -> bool {
        let engine = self.engine.filter(|_| self.request.size.is_some());
        engine.is_some_and(|engine| self.time_budget().may_still_start(&engine, &self.need()))
    }

    /// Whether the deadline can be met at `place`. Checked for long prompts only.
    pub fn meets_deadline_at(&self, place: &place::Place) -> bool {
        let need = self.need();
        let engine = self.engine.filter(|engine| place::is_long(engine, &need));
        let first = deadline::millis(place.first_ms);
        engine.is_none_or(|engine| self.time_budget().allows(&engine, &need, first))
    }

    /// Whether it could still be answered in time if it were sent after `wait`. Without sizes or a
    /// time model it is expected to take no longer than the objective of its route.
    pub fn may_wait_for(&self, wait: Duration) -> bool {
        let first = wait + deadline::millis(self.min_first_ms());
        let budget = self.time_budget();
        let engine = self.engine.filter(|_| self.request.size.is_some());
        let is_in_time = match engine {
            Some(engine) => budget.allows(&engine, &self.need(), first),
            None => budget.allows_plain(wait, self.route.kind == catalog::Kind::Stream),
        };
        is_in_time && self.completes_before_exit(first.as_secs_f64() * 1e3, Duration::ZERO)
    }

    /// Least time to its first event in milliseconds, by the time model.
    pub fn min_first_ms(&self) -> f64 {
        let engine = self.engine.filter(|_| self.request.size.is_some());
        let read_time = engine.map(|engine| deadline::min_read_time(&engine, &self.need()));
        read_time.unwrap_or_default().as_secs_f64() * 1e3
    }

    /// Whether it may wait at this entry while all servers are full.
    pub fn may_wait_at_entry(&self) -> bool {
        let engine = self.engine.filter(|_| self.request.size.is_some());
        self.history.tried == 0
            && engine
                .is_some_and(|engine| self.time_budget().may_wait_at_entry(&engine, &self.need()))
    }

    /// How long it has waited for its first event, and how long it may.
    pub fn time_budget(&self) -> deadline::Budget {
        let budget =
            deadline::Budget::new(&self.route, self.began.elapsed(), self.caller_time_left());
        budget.with_exit(self.lifetime.remaining())
    }

    /// [`Self::need`], with the write time that recent answers of its service took.
    pub fn need_by(&self, known: &writing::Writing) -> place::Need {
        place::Need {
            write_ratio: known.mean_ratio(&self.service),
            ..self.need()
        }
    }

    /// The properties of the request that placement depends on, with the modelled write time.
    pub fn need(&self) -> place::Need {
        place::Need {
            prompt: self.request.size.map_or(0, |size| size.prompt),
            answer: self.expected_answer(),
            written: self.written(),
            objective: self.route.objective.saturating_sub(self.began.elapsed()),
            left: self.time_left(),
            write_ratio: 1.0,
            priority_gap: self.priority_gap,
            bound_ms: self
                .route
                .max_pause
                .map_or(0, |pause| pause.as_millis() as u32),
            draw: load::key(&self.request.id),
        }
    }

    /// Expected tokens of the response: the caller's hint, at most the caller's limit.
    pub fn expected_answer(&self) -> u64 {
        let Some(size) = self.request.size else {
            return 0;
        };
        size.answer_hint
            .unwrap_or(size.max_answer)
            .min(size.max_answer)
    }
}
