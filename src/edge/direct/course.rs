//! A caller's request on its way.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::request;

use super::dialect;
use super::progress;
use crate::direct::board;
use crate::direct::catalog;
use crate::direct::model;
use crate::direct::patience;
use crate::direct::place;
use crate::direct::register;
use crate::direct::verdict;
use crate::direct::writing;
use crate::edge::lifetime;
use crate::wire::id;

/// A caller's request on its way.
pub struct Course {
    /// What the caller asks.
    pub ask: dialect::Ask,
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
    pub end: Instant,
    /// What it has behind it.
    pub past: verdict::Past,
    /// Servers at which it failed.
    pub tried: Vec<register::Life>,
    /// Equal for equal requests.
    pub fingerprint: id::Fingerprint,
    /// Version of the configuration that it follows.
    pub version: u64,
    /// How far it is.
    pub progress: progress::Progress,
    /// How long this process goes on.
    pub lifetime: lifetime::Lifetime,
}

impl Course {
    /// Time that is left of its caller's time and of this process's.
    pub fn left(&self) -> Duration {
        let own = self.own_left();
        self.lifetime.remaining().map_or(own, |life| own.min(life))
    }

    /// Time that is left of its caller's time.
    fn own_left(&self) -> Duration {
        self.end.saturating_duration_since(Instant::now())
    }

    /// How it ends if it is given up since this process ends.
    pub fn end_here(&mut self) -> verdict::End {
        if self.progress.mark().stage == progress::Stage::Sent {
            self.past.ran += 1;
        }
        verdict::End::Ending
    }

    /// Time within which the rest of its answer is most likely written.
    pub fn writing(&self, known: &writing::Writing) -> Duration {
        known.most(&self.service, self.modelled_writing())
    }

    /// The same on average.
    pub fn mean_writing(&self, known: &writing::Writing) -> Duration {
        known.mean(&self.service, self.modelled_writing())
    }

    /// Time to write the rest of its answer, by the time model.
    fn modelled_writing(&self) -> Duration {
        let (Some(engine), Some(size)) = (&self.engine, self.ask.size) else {
            return Duration::ZERO;
        };
        let written = u64::from(self.progress.mark().events) * u64::from(engine.stride);
        let rest = self.expected_answer().saturating_sub(written);
        patience::writing(engine, size.prompt, rest)
    }

    /// Whether its answer would be whole before this process ends, if its first event comes after
    /// `first_ms`. A call is expected to take no longer than its objective.
    pub fn ends_in_life(&self, first_ms: f64, writing: Duration) -> bool {
        let first = match self.engine.zip(self.ask.size) {
            Some(_) => patience::millis(first_ms),
            None => self.route.objective,
        };
        self.wait().ends_in_life(first, writing)
    }

    /// Whether a request that has no place yet may have one in time.
    pub fn may_wait(&self) -> bool {
        let engine = self.engine.filter(|_| self.ask.size.is_some());
        engine.is_some_and(|engine| self.wait().may_go_on(&engine, &self.need()))
    }

    /// Whether a long prompt would be answered in time at `place`.
    pub fn allows(&self, place: &place::Place) -> bool {
        let need = self.need();
        let engine = self.engine.filter(|one| place::is_long(one, &need));
        let first = patience::millis(place.first_ms);
        engine.is_none_or(|engine| self.wait().allows(&engine, &need, first))
    }

    /// Least milliseconds to its first event.
    pub fn fastest_ms(&self) -> f64 {
        let engine = self.engine.filter(|_| self.ask.size.is_some());
        let fastest = engine.map(|engine| patience::fastest(&engine, &self.need()));
        fastest.unwrap_or_default().as_secs_f64() * 1e3
    }

    /// Whether it may wait at the entry while all servers are full.
    pub fn may_hold(&self) -> bool {
        let engine = self.engine.filter(|_| self.ask.size.is_some());
        self.past.tried == 0
            && engine.is_some_and(|engine| self.wait().may_hold(&engine, &self.need()))
    }

    /// How long it has waited for its first event, and may.
    pub fn wait(&self) -> patience::Wait {
        let wait = patience::Wait::new(&self.route, self.began.elapsed(), self.own_left());
        wait.within(self.lifetime.remaining())
    }

    /// What placing has to know of a request.
    pub fn need(&self) -> place::Need {
        place::Need {
            prompt: self.ask.size.map_or(0, |size| size.prompt),
            answer: self.expected_answer(),
            aim: self.route.objective.saturating_sub(self.began.elapsed()),
            bound_ms: self.route.pause.map_or(0, |one| one.as_millis() as u32),
            draw: board::key(&self.ask.id),
        }
    }

    /// Tokens that an answer is expected to have: the caller's hint, within what it allows.
    pub fn expected_answer(&self) -> u64 {
        let Some(size) = self.ask.size else {
            return 0;
        };
        size.answer_hint
            .unwrap_or(size.answer_most)
            .min(size.answer_most)
    }
}
