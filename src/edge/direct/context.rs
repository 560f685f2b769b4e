//! A caller's request on its way.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::request;

use super::dialect;
use super::progress;
use crate::direct::catalog;
use crate::direct::deadline;
use crate::direct::load;
use crate::direct::model;
use crate::direct::place;
use crate::direct::register;
use crate::direct::retry;
use crate::direct::writing;
use crate::edge::lifetime;
use crate::wire::id;

/// A caller's request on its way.
pub struct Context {
    /// What the caller asks.
    pub request: dialect::Request,
    /// Its head, as it came.
    pub head: request::Parts,
    /// Its body.
    pub body: Bytes,
    /// Its route.
    pub route: catalog::Route,
    /// Service that the route led to.
    pub service: String,
    /// Time model of that service's engines.
    pub engine: Option<model::Engine>,
    /// Workspace of the caller.
    pub workspace: Option<String>,
    /// Rank.
    pub priority: u8,
    /// When it came.
    pub began: Instant,
    /// When its time is over.
    pub deadline: Instant,
    /// What it has behind it.
    pub history: retry::History,
    /// Servers at which it failed.
    pub failed_servers: Vec<register::Instance>,
    /// Equal for equal requests.
    pub fingerprint: id::Fingerprint,
    /// Version of the configuration that it follows.
    pub version: u64,
    /// How far it is.
    pub progress: progress::Progress,
    /// How long this process goes on.
    pub lifetime: lifetime::Lifetime,
}

impl Context {
    /// Time that is left of its caller's time and of this process's.
    pub fn time_left(&self) -> Duration {
        let own = self.caller_time_left();
        self.lifetime.remaining().map_or(own, |life| own.min(life))
    }

    /// Time that is left of its caller's time.
    fn caller_time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// How it ends if it is given up since this process ends.
    pub fn end_with_process(&mut self) -> retry::Failure {
        if self.progress.lock().stage == progress::Stage::Sent {
            self.history.ran += 1;
        }
        retry::Failure::Ending
    }

    /// Time within which the rest of its answer is most likely written.
    pub fn write_time_bound(&self, known: &writing::Writing) -> Duration {
        known.upper_bound(&self.service, self.modelled_write_time())
    }

    /// The same on average.
    pub fn mean_write_time(&self, known: &writing::Writing) -> Duration {
        known.mean(&self.service, self.modelled_write_time())
    }

    /// Time to write the rest of its answer, by the time model.
    fn modelled_write_time(&self) -> Duration {
        let (Some(engine), Some(size)) = (&self.engine, self.request.size) else {
            return Duration::ZERO;
        };
        let written = u64::from(self.progress.lock().events) * u64::from(engine.stride);
        let rest = self.expected_answer().saturating_sub(written);
        deadline::write_time(engine, size.prompt, rest)
    }

    /// Whether its answer would be whole before this process ends, if its first event comes after
    /// `first_ms`. A call is expected to take no longer than its objective.
    pub fn completes_before_exit(&self, first_ms: f64, writing: Duration) -> bool {
        let first = match self.engine.zip(self.request.size) {
            Some(_) => deadline::millis(first_ms),
            None => self.route.objective,
        };
        self.wait().ends_before_exit(first, writing)
    }

    /// Whether a request that has no place yet may have one in time.
    pub fn may_wait_for_server(&self) -> bool {
        let engine = self.engine.filter(|_| self.request.size.is_some());
        engine.is_some_and(|engine| self.wait().may_still_start(&engine, &self.need()))
    }

    /// Whether a long prompt would be answered in time at `place`.
    pub fn meets_deadline_at(&self, place: &place::Place) -> bool {
        let need = self.need();
        let engine = self.engine.filter(|one| place::is_long(one, &need));
        let first = deadline::millis(place.first_ms);
        engine.is_none_or(|engine| self.wait().allows(&engine, &need, first))
    }

    /// Least milliseconds to its first event.
    pub fn min_first_ms(&self) -> f64 {
        let engine = self.engine.filter(|_| self.request.size.is_some());
        let fastest = engine.map(|engine| deadline::min_read_time(&engine, &self.need()));
        fastest.unwrap_or_default().as_secs_f64() * 1e3
    }

    /// Whether it may wait at the entry while all servers are full.
    pub fn may_wait_at_entry(&self) -> bool {
        let engine = self.engine.filter(|_| self.request.size.is_some());
        self.history.tried == 0
            && engine.is_some_and(|engine| self.wait().may_wait_at_entry(&engine, &self.need()))
    }

    /// How long it has waited for its first event, and may.
    pub fn wait(&self) -> deadline::Budget {
        let wait =
            deadline::Budget::new(&self.route, self.began.elapsed(), self.caller_time_left());
        wait.with_exit(self.lifetime.remaining())
    }

    /// What placing has to know of a request.
    pub fn need(&self) -> place::Need {
        place::Need {
            prompt: self.request.size.map_or(0, |size| size.prompt),
            answer: self.expected_answer(),
            objective: self.route.objective.saturating_sub(self.began.elapsed()),
            bound_ms: self.route.max_pause.map_or(0, |one| one.as_millis() as u32),
            draw: load::key(&self.request.id),
        }
    }

    /// Tokens that an answer is expected to have: the caller's hint, within what it allows.
    pub fn expected_answer(&self) -> u64 {
        let Some(size) = self.request.size else {
            return 0;
        };
        size.answer_hint
            .unwrap_or(size.max_answer)
            .min(size.max_answer)
    }
}
