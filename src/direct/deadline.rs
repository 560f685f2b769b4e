//! How long requests wait for a place, their callers for an answer, and attempts for their server.

use std::time::Duration;

use super::catalog;
use super::model;
use super::place;

/// How long callers wait for a first event: the longest of a time, of objectives and of pauses
/// that are still on time.
const PATIENCE: Duration = Duration::from_secs(2);
const PATIENCE_AIMS: u32 = 4;
const PATIENCE_PAUSES: u32 = 8;

/// Time beyond its own reading that a prompt must have left to be worth sending.
const TURN_LEFT: Duration = Duration::from_millis(300);

/// Writers beside which a long answer is usually written, itself among them.
const WRITERS: u32 = 4;

/// Time before its caller gives it up at which a short prompt that waits is sent all the same.
const HOLD_LEFT: Duration = Duration::from_millis(900);

/// How much a long prompt gains by waiting: after its aim it ranks as one a third as long.
/// Between 1 and 4 the mean worth on seven seeded days differs by less than 0.01.
const AGING: f64 = 2.0;

/// Time before its caller gives it up at which a prompt that is late goes before others, and its
/// gain by that. Without this and the gain by waiting, the fifth below the largest tenth was answered
/// at 0.33, all at 0.70, on a day with 78 servers; either alone gives 0.30. Together they cost 0.01
/// to 0.02 of worth on smaller deployments.
const LAST_CALL: Duration = Duration::from_secs(4);
const OVERDUE_GAIN: u32 = 2;

/// What is late already ranks after all that is not, by more than any prompt takes.
const LATE_RANK: u32 = 1_000_000;

/// Silence of a server that serves a request after which it is asked whether it is there.
pub const PROBE_AFTER: Duration = Duration::from_millis(600);

/// Silence before the first event after which a request goes elsewhere though the server says
/// that it is there: twice the longest pass that placing allows.
const HUNG: Duration = Duration::from_millis(1_200);

/// Least of it, however little time is left: each time it has passed, all servers are weighed.
const LEAST_HUNG: Duration = Duration::from_millis(20);

/// Times that a prompt takes to read alone which are added to that: a long one that moves is read
/// again from its beginning, and that must be worth it.
const HUNG_READS: f64 = 4.0;

/// Least silence between two events after which a stream goes elsewhere though its server is
/// there. Callers wait 2 s at least, and eight times the pause that is still on time.
const STUCK: Duration = Duration::from_millis(1_500);

/// The same in pauses that are still on time: what moves is read again from its beginning.
const STUCK_PAUSES: u32 = 5;

/// Part of the time left until its caller gives up that a request may wait for a grant.
const LATE_GRANT: u32 = 8;

/// How long a request has waited for its first event, and may.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Time since it came.
    pub waited: Duration,
    /// Time from its coming to its first event that is on time.
    pub objective: Duration,
    /// Time until its caller gives it up for want of an event.
    pub until_abandoned: Duration,
    /// Time until its deadline.
    pub until_deadline: Duration,
    /// Time until this process ends. `MAX`: no stop has been asked for.
    pub until_exit: Duration,
}

impl Budget {
    /// A request of `route` that came `waited` ago, `end` before its deadline.
    pub fn new(route: &catalog::Route, waited: Duration, end: Duration) -> Self {
        let aim = route.objective;
        let pauses = route.max_pause.unwrap_or_default() * PATIENCE_PAUSES;
        let patience = (aim * PATIENCE_AIMS).max(pauses).max(PATIENCE);
        Self {
            waited,
            objective: aim,
            until_abandoned: end.min(patience.saturating_sub(waited)),
            until_deadline: end,
            until_exit: Duration::MAX,
        }
    }

    /// The same at a process that ends after `life`, if it does.
    #[must_use]
    pub fn with_exit(self, life: Option<Duration>) -> Self {
        let life = life.unwrap_or(Duration::MAX);
        Self {
            until_exit: life,
            ..self
        }
    }

    /// Whether an answer whose first event comes after `first` and that is written for `writing`
    /// would be whole before this process ends.
    pub fn ends_before_exit(&self, first: Duration, writing: Duration) -> bool {
        self.until_exit > first.saturating_add(writing)
    }

    /// Whether a prompt that has no place yet may have one in time.
    pub fn may_still_start(&self, engine: &model::Engine, need: &place::Need) -> bool {
        let most = engine.memory_tokens * place::MAX_WIDTH as u64 / 2;
        let fits = need.prompt + need.answer <= most;
        fits && self.allows(engine, need, min_read_time(engine, need))
    }

    /// Whether an answer would be whole in time if its first event came after `first`. What is cut
    /// at its deadline was read for nothing, while others waited.
    pub fn allows(&self, engine: &model::Engine, need: &place::Need, first: Duration) -> bool {
        let writing = write_time(engine, need.prompt, need.answer);
        let whole = first.saturating_add(writing).saturating_add(TURN_LEFT);
        self.until_deadline > whole && self.until_abandoned > first
    }

    /// Whether a short prompt may wait at the entry for a server that is not full. Sent there, it
    /// would wait in the server's queue and make all that come after it late as well.
    pub fn may_wait_at_entry(&self, engine: &model::Engine, need: &place::Need) -> bool {
        !place::is_long(engine, need) && self.until_abandoned > HOLD_LEFT
    }

    /// How long a request may wait until a server that names a limit takes it: it is on time as a rule,
    /// or a little late where it can hardly be on time any more.
    pub fn grant_timeout(&self) -> Duration {
        let on_time = self.objective.saturating_sub(self.waited) / 2;
        on_time.max(self.until_abandoned / LATE_GRANT)
    }

    /// Rank of a long prompt that waits for its turn: the lowest goes first. Those that can still
    /// be on time go first, the shortest of them before others, so that it waits least; who has
    /// waited for long gains. Then those that would soon be given up; the others are late already,
    /// and take what is left.
    pub fn rank(&self, engine: &model::Engine, need: &place::Need) -> u32 {
        let reading = min_read_time(engine, need);
        let parts = self.waited.as_secs_f64() / self.objective.as_secs_f64().max(1e-3);
        let own = (engine.read_ms(need.prompt, 1) / (1.0 + AGING * parts)) as u32;
        if self.waited.saturating_add(reading) <= self.objective {
            return own;
        }
        if !self.allows(engine, need, reading.saturating_add(LAST_CALL)) {
            return own / OVERDUE_GAIN;
        }
        own.saturating_add(LATE_RANK)
    }
}

/// Time to write `tokens` of the answer to a prompt beside some others, by the time model.
pub fn write_time(engine: &model::Engine, prompt: u64, tokens: u64) -> Duration {
    // However many write, a step reads no more context than a server holds.
    let context = (prompt * u64::from(WRITERS)).min(engine.memory_tokens);
    engine.write_time(tokens, WRITERS, context)
}

/// Least time to read a prompt.
pub fn min_read_time(engine: &model::Engine, need: &place::Need) -> Duration {
    millis(engine.read_ms(need.prompt, place::MAX_WIDTH))
}

/// How long an attempt waits before it doubts its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// Silence after which the server is asked whether it is there.
    pub probe_after: Duration,
    /// Silence after which the request goes elsewhere, or its time ends. Invariant: not 0.
    pub move_after: Duration,
}

impl Silence {
    /// That of an attempt of which the first event is predicted after `first_ms` and that takes
    /// `alone_ms` to read, `left` before its deadline.
    pub fn new(
        route: &catalog::Route,
        can_move: bool,
        (first_ms, alone_ms): (f64, f64),
        left: Duration,
    ) -> Self {
        let predicted = millis(first_ms);
        let (quiet, hung) = match route.kind {
            catalog::Kind::Stream => (
                PROBE_AFTER.max(predicted),
                HUNG + predicted + millis(alone_ms * HUNG_READS),
            ),
            catalog::Kind::Safe | catalog::Kind::Unsafe => (route.objective, route.objective * 2),
        };
        let hung = if can_move { hung.min(left) } else { left };
        Self {
            probe_after: quiet,
            move_after: hung.max(LEAST_HUNG),
        }
    }
}

/// Silence between two events of a stream after which it goes elsewhere though its server is
/// there.
pub fn stall_timeout(route: &catalog::Route) -> Duration {
    let pauses = route.max_pause.unwrap_or_default() * STUCK_PAUSES;
    pauses.max(STUCK)
}

/// A time that is no longer than a `Duration` holds, and not below 0.
pub fn millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms.max(0.0) / 1e3).unwrap_or(Duration::MAX)
}
