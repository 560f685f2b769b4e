//! How long a request may wait: for a server, for its first event, and for a server that is silent.

use std::time::Duration;

use super::catalog;
use super::model;
use super::place;

/// Callers abandon a request without a first event after the longest of this time, this many
/// objectives, and this many of the longest gaps that are on time.
const ABANDON_AFTER: Duration = Duration::from_secs(2);
const ABANDON_OBJECTIVES: u32 = 4;
const ABANDON_GAPS: u32 = 8;

/// Slack before its deadline that a request needs, besides reading and writing, to be worth
/// sending.
const SEND_SLACK: Duration = Duration::from_millis(300);

/// Answers that a server usually writes at once, the long one in question included.
const USUAL_WRITERS: u32 = 4;

/// A waiting short prompt is sent, even to a full server, once its caller would abandon it within
/// this time.
const MIN_HOLD_LEFT: Duration = Duration::from_millis(900);

/// Weight of the time waited in the rank of a long prompt: after one objective it ranks like a
/// prompt a third as long. Values from 1 to 4 give nearly the same goodput.
const AGING: f64 = 2.0;

/// A late prompt whose caller will abandon it within this time goes before others, by this factor
/// on its rank. Without this and the weight of waiting, the longer prompts are overtaken until
/// their callers leave: of the fifth below the largest tenth only a third is answered. Smaller
/// deployments lose a little goodput by it.
const LAST_CHANCE: Duration = Duration::from_secs(4);
const LAST_CHANCE_GAIN: u32 = 2;

/// Added to the rank of late prompts. Exceeds every rank of a prompt that is on time, which is at
/// most its reading time in milliseconds.
const LATE_RANK: u32 = 1_000_000;

/// Silence after which the server of a request is probed.
pub const PROBE_AFTER: Duration = Duration::from_millis(600);

/// Silence before the first event after which a request moves to another server although its own
/// answers probes: twice the longest pass that placement allows.
const MOVE_AFTER: Duration = Duration::from_millis(1_200);

/// Lower bound of that silence, however little time is left: each time it ends, all servers are
/// compared.
const MIN_MOVE_AFTER: Duration = Duration::from_millis(20);

/// Times that the prompt takes to read on one server which are added to that silence. A prompt that
/// moves is read again from the start, and for a long one that must be worth it.
const MOVE_READS: f64 = 4.0;

/// Shortest silence between two events after which a stream moves to another server although its
/// own answers probes. Callers wait at least 2 s, and eight times the longest gap that is on time.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The same in gaps that are still on time. A prompt that moves is read again from the start.
const STALL_GAPS: u32 = 5;

/// A silence is tolerated for the slack of its answer divided by this: the rest of the slack remains
/// for reading the prompt again at another server.
const SLACK_DIVISOR: u32 = 2;

/// Gap limits for which a silence is tolerated, however little slack there is. Gaps within the limit
/// are usual where segments of long prompts are read beside writers.
const MIN_SILENCE_GAPS: u32 = 2;

/// Time after the deadline within which a response that has arrived is still read and passed on. A
/// process that did not run for a while notices its deadline before what lies in its sockets, and each
/// event is read from there by another task.
pub const DRAIN: Duration = Duration::from_millis(50);

/// A request may wait for a grant for the time until its caller abandons it, divided by this.
const GRANT_DIVISOR: u32 = 8;

/// How long a request has waited for its first event, and how much time it has left.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Time since the request arrived.
    pub waited: Duration,
    /// Time from arrival within which the first event is on time.
    pub objective: Duration,
    /// Time until the caller abandons the request for lack of an event.
    pub until_abandoned: Duration,
    /// Time until the deadline of the request.
    pub until_deadline: Duration,
    /// Time until this process exits. `MAX`: no shutdown was requested.
    pub until_exit: Duration,
}

impl Budget {
    /// Budget of a request to `route` that arrived `waited` ago and has `until_deadline` left.
    pub fn new(route: &catalog::Route, waited: Duration, until_deadline: Duration) -> Self {
        let objective = route.objective;
        let gaps = route.max_pause.unwrap_or_default() * ABANDON_GAPS;
        let abandoned_after = (objective * ABANDON_OBJECTIVES)
            .max(gaps)
            .max(ABANDON_AFTER);
        Self {
            waited,
            objective,
            until_abandoned: until_deadline.min(abandoned_after.saturating_sub(waited)),
            until_deadline,
            until_exit: Duration::MAX,
        }
    }

    /// The same in a process that exits after `until_exit`, if it does.
    #[must_use]
    pub fn with_exit(self, until_exit: Option<Duration>) -> Self {
        let until_exit = until_exit.unwrap_or(Duration::MAX);
        Self { until_exit, ..self }
    }

    /// Whether a response whose first event comes after `first` and that takes `writing` to write
    /// would be complete before this process exits.
    pub fn ends_before_exit(&self, first: Duration, writing: Duration) -> bool {
        self.until_exit > first.saturating_add(writing)
    }

    /// Whether a prompt that has no place yet may still get one in time.
    pub fn may_still_start(&self, engine: &model::Engine, need: &place::Need) -> bool {
        let most = engine.memory_tokens * place::MAX_WIDTH as u64 / 2;
        let fits = need.prompt + need.answer <= most;
        fits && self.allows(engine, need, min_read_time(engine, need))
    }

    /// Whether a response would be complete in time if its first event came after `first`. Reading
    /// a prompt whose answer is cut off at its deadline only delays others.
    pub fn allows(&self, engine: &model::Engine, need: &place::Need, first: Duration) -> bool {
        let complete = completion(engine, need, first);
        self.until_deadline > complete && self.until_abandoned > first
    }

    /// Whether a response of `tokens` would be complete by the deadline on idle servers: its prompt
    /// read by as many as possible, and nothing else written. No server can be faster.
    pub fn can_end(&self, engine: &model::Engine, prompt: u64, tokens: u64) -> bool {
        let context = prompt.min(engine.memory_tokens);
        let writing = engine.write_time(tokens, 1, context);
        let reading = millis(engine.read_ms(prompt, place::MAX_WIDTH));
        self.until_deadline > reading.saturating_add(writing)
    }

    /// Whether a request without a time model would be answered in time if it were sent after `wait`.
    pub fn allows_plain(&self, wait: Duration, is_stream: bool) -> bool {
        let patience = if is_stream {
            self.until_abandoned
        } else {
            self.until_deadline
        };
        patience > wait.saturating_add(self.objective)
    }

    /// Whether a short prompt may wait on the entry for a server that is not full. In the queue of
    /// a full server it would make all later requests late as well.
    pub fn may_wait_at_entry(&self, engine: &model::Engine, need: &place::Need) -> bool {
        !place::is_long(engine, need) && self.until_abandoned > MIN_HOLD_LEFT
    }

    /// How long a request may wait until a server that has a limit takes it: half of the time left
    /// within its objective, or an eighth of the time until its caller abandons it if that is longer.
    pub fn grant_timeout(&self) -> Duration {
        let on_time = self.objective.saturating_sub(self.waited) / 2;
        on_time.max(self.until_abandoned / GRANT_DIVISOR)
    }

    /// Rank of a long prompt that waits for its turn; the lowest goes first. Prompts that can still
    /// be on time come first, shorter ones before longer ones so that the shortest wait least, and
    /// the rank falls with the time waited. A late prompt that its caller would soon abandon gains
    /// rank too. All other late prompts take the capacity that is left.
    pub fn rank(&self, engine: &model::Engine, need: &place::Need) -> u32 {
        let reading = min_read_time(engine, need);
        let objectives = self.waited.as_secs_f64() / self.objective.as_secs_f64().max(1e-3);
        let own = (engine.read_ms(need.prompt, 1) / (1.0 + AGING * objectives)) as u32;
        if self.waited.saturating_add(reading) <= self.objective {
            return own;
        }
        if !self.allows(engine, need, reading.saturating_add(LAST_CHANCE)) {
            return own / LAST_CHANCE_GAIN;
        }
        own.saturating_add(LATE_RANK)
    }
}

/// Milliseconds that a waiting prompt of this rank takes to read on one server, see [`Budget::rank`].
/// Too low for one that has waited.
pub fn rank_work_ms(rank: u32) -> f64 {
    f64::from(rank % LATE_RANK)
}

/// Time until a response is complete whose first event comes after `first`, with the slack that a
/// request needs to be worth sending.
pub fn completion(engine: &model::Engine, need: &place::Need, first: Duration) -> Duration {
    let writing = write_time(engine, need.prompt, need.answer);
    first.saturating_add(writing).saturating_add(SEND_SLACK)
}

/// Modelled time to write `tokens` of the answer to a prompt beside some other answers.
pub fn write_time(engine: &model::Engine, prompt: u64, tokens: u64) -> Duration {
    // However many answers are written, a step reads no more context than a server holds.
    let context = (prompt * u64::from(USUAL_WRITERS)).min(engine.memory_tokens);
    engine.write_time(tokens, USUAL_WRITERS, context)
}

/// Shortest time to read a prompt, on as many servers as possible.
pub fn min_read_time(engine: &model::Engine, need: &place::Need) -> Duration {
    millis(engine.read_ms(need.prompt, place::MAX_WIDTH))
}

/// What is left of an answer, and of the time for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rest {
    /// Time until the deadline.
    pub left: Duration,
    /// Expected time to write the rest of the answer.
    pub writing: Duration,
}

impl Rest {
    /// Time by which the answer may be delayed and still be complete at its deadline.
    pub fn slack(self) -> Duration {
        self.left.saturating_sub(self.writing)
    }

    /// Silence that is tolerated of the server of this answer: `usual`, or half of the slack if that
    /// is shorter. Without a gap limit no silence is known to be unusual before a probe is due.
    fn silence(self, route: &catalog::Route, usual: Duration) -> Duration {
        let least = route
            .max_pause
            .map_or(PROBE_AFTER, |gap| gap * MIN_SILENCE_GAPS)
            .max(MIN_MOVE_AFTER);
        usual.min(least.max(self.slack() / SLACK_DIVISOR))
    }
}

/// How long an attempt tolerates silence of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// Silence after which the server is probed.
    pub probe_after: Duration,
    /// Silence after which the request moves to another server, or its time ends. Invariant: not 0.
    pub move_after: Duration,
}

impl Silence {
    /// Limits for an attempt whose first event is predicted after `first_ms`, whose prompt takes
    /// `alone_ms` to read on one server, and whose answer is still to be written.
    pub fn new(
        route: &catalog::Route,
        can_move: bool,
        (first_ms, alone_ms): (f64, f64),
        answer: Rest,
    ) -> Self {
        let left = answer.left;
        let predicted = millis(first_ms);
        let (probe_after, move_after) = match route.kind {
            catalog::Kind::Stream => {
                let usual = MOVE_AFTER + millis(alone_ms * MOVE_READS);
                let after_first = Rest {
                    left: left.saturating_sub(predicted),
                    ..answer
                };
                (
                    PROBE_AFTER.max(predicted),
                    predicted.saturating_add(after_first.silence(route, usual)),
                )
            }
            catalog::Kind::Safe | catalog::Kind::Unsafe => (route.objective, route.objective * 2),
        };
        let move_after = if can_move { move_after.min(left) } else { left };
        Self {
            probe_after,
            move_after: move_after.max(MIN_MOVE_AFTER),
        }
    }
}

/// Silence between two events of a stream after which it moves to another server although its own
/// answers probes. `answer`: what is left of it.
pub fn stall_timeout(route: &catalog::Route, answer: Rest) -> Duration {
    let gaps = route.max_pause.unwrap_or_default() * STALL_GAPS;
    answer.silence(route, gaps.max(STALL_TIMEOUT))
}

/// Converts milliseconds to a duration, at least 0 and at most the longest that a `Duration` holds.
pub fn millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms.max(0.0) / 1e3).unwrap_or(Duration::MAX)
}
