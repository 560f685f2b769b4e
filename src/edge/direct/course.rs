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
}

impl Course {
    /// Time that is left.
    pub fn left(&self) -> Duration {
        self.end.saturating_duration_since(Instant::now())
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

    /// Whether it may wait at the entry while all servers are full.
    pub fn may_hold(&self) -> bool {
        let engine = self.engine.filter(|_| self.ask.size.is_some());
        self.past.tried == 0
            && engine.is_some_and(|engine| self.wait().may_hold(&engine, &self.need()))
    }

    /// How long it has waited for its first event, and may.
    pub fn wait(&self) -> patience::Wait {
        patience::Wait::new(&self.route, self.began.elapsed(), self.left())
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
