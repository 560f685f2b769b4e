//! A caller's request on its way.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::request;

use super::dialect;
use crate::direct::board;
use crate::direct::catalog;
use crate::direct::model;
use crate::direct::place;
use crate::direct::verdict;
use crate::wire::id;

/// Least silence between two events after which a stream goes elsewhere though its server is
/// there. Callers wait 2 s at least, and eight times the pause that is still on time.
const STUCK: Duration = Duration::from_millis(1_500);

/// The same in pauses that are still on time: what moves is read again from its beginning.
const STUCK_PAUSES: u32 = 5;

/// Time before its caller gives it up at which a short prompt that waits is sent all the same.
const HOLD_LEFT: Duration = Duration::from_millis(900);

/// How long callers wait for a first event: the longest of a time, of objectives and of pauses
/// that are still on time.
const PATIENCE: Duration = Duration::from_secs(2);
const PATIENCE_AIMS: u32 = 4;
const PATIENCE_PAUSES: u32 = 8;

/// Time beyond its own reading that a prompt must have left to be worth sending.
const TURN_LEFT: Duration = Duration::from_millis(300);

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
    pub tried: Vec<String>,
    /// Equal for equal requests.
    pub fingerprint: id::Fingerprint,
    /// Version of the configuration that it follows.
    pub version: u64,
}

impl Course {
    /// Silence between two events after which it goes elsewhere though its server is there.
    pub fn stuck(&self) -> Duration {
        let pauses = self.route.pause.unwrap_or_default() * STUCK_PAUSES;
        pauses.max(STUCK)
    }

    /// Time that is left.
    pub fn left(&self) -> Duration {
        self.end.saturating_duration_since(Instant::now())
    }

    /// Whether a request that has no place yet may have one in time.
    pub fn may_wait(&self) -> bool {
        let (Some(engine), Some(size)) = (&self.engine, self.ask.size) else {
            return false;
        };
        let most = engine.memory_tokens * place::MOST_WIDTH as u64 / 2;
        let fits = size.prompt + self.expected_answer() <= most;
        let read_ms = engine.read_ms(size.prompt, place::MOST_WIDTH);
        fits && self.left()
            > Duration::try_from_secs_f64(read_ms / 1e3).unwrap_or_default() + TURN_LEFT
    }

    /// Whether a short prompt may wait here for a server that is not full. Sent there, it would wait
    /// in the server's queue and make all that come after it late as well.
    pub fn may_hold(&self) -> bool {
        let (Some(engine), Some(_)) = (&self.engine, self.ask.size) else {
            return false;
        };
        let is_short = !place::is_long(engine, &self.need());
        is_short && self.past.tried == 0 && self.wait().left > HOLD_LEFT
    }

    /// How long it has waited for its first event, and may.
    pub fn wait(&self) -> place::Wait {
        let waited = self.began.elapsed();
        let aim = self.route.objective;
        let pauses = self.route.pause.unwrap_or_default() * PATIENCE_PAUSES;
        let patience = (aim * PATIENCE_AIMS).max(pauses).max(PATIENCE);
        place::Wait {
            waited,
            aim,
            left: self.left().min(patience.saturating_sub(waited)),
        }
    }

    /// What placing has to know of a request.
    pub fn need(&self) -> place::Need {
        place::Need {
            prompt: self.ask.size.map_or(0, |size| size.prompt),
            answer: self.expected_answer(),
            aim: self.route.objective.saturating_sub(self.began.elapsed()),
            bound_ms: self.route.pause.map_or(0, |one| one.as_millis() as u32),
            draw: board::server_key(&self.ask.id),
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
