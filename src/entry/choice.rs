//! The choice among the backend servers that are present.
//!
//! The predicted time to first token on a server is the time of the work ahead at the same or a
//! higher priority, of the request's own uncached prefill, and of the link. Added to it is the
//! delay that the request would cause others. Depending on the policy's `short_weight`, short and
//! medium requests avoid servers that prefill a long prompt, and long ones avoid all servers
//! outside the long lane, the part of the fleet that is meant for them.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;

use crate::config;
use crate::entry::fleet;
use crate::entry::queue;
use crate::entry::suspect;
use crate::wire::run;

/// Up to this many candidates are all considered. Of more, twice as many are: those with cached
/// blocks first, up to this many, and random others.
pub const SAMPLE_SIZE: usize = 64;

/// Besides the servers with cached blocks, one server for every [`SERVERS_PER_DRAW`] candidates is
/// drawn at random and compared, and at least [`MIN_DRAWN`].
const SERVERS_PER_DRAW: usize = 4;
const MIN_DRAWN: usize = 3;

/// Added to the score of a server in another availability zone.
const ZONE_COST_S: f64 = 0.002;

/// Prompt tokens that an engine prefills in one step. A new request waits for the step in progress.
const STEP_TOKENS: f64 = 1_024.0;

/// Most by which the generation of other responses is taken to slow down a prefill, as a part of
/// its time.
const MAX_SLOWDOWN: f64 = 1.0;

/// Scores above the best by no more than this part and this time count as equal. One of them is
/// chosen at random, so that entries with the same view do not all choose the same server.
const TIE_PART: f64 = 0.05;
const TIE_S: f64 = 0.001;

/// A server does not get a request if the work ahead of that request takes longer than this. The
/// request waits at the entry, where fair shares apply and any server may take it.
const MAX_AHEAD: Duration = Duration::from_millis(500);

/// Part of [`MAX_AHEAD`] that applies to workspaces over their share.
const OVER_SHARE_AHEAD: f64 = 0.25;

/// Part of the slots and of the memory that medium and long requests must leave free, at
/// `short_weight` 50.
const MEDIUM_RESERVE: f64 = 0.0625;
const LONG_RESERVE: f64 = 0.125;

/// Part of the slots that workspaces over their share must leave free.
const OVER_SHARE_RESERVE: f64 = 0.5;

/// A sidecar reserves one slot in [`SLOTS_PER_KEPT`] and one part of its memory in
/// [`MEMORY_PER_KEPT`] for short requests. It adds one part in [`PROMPT_PER_MARGIN`] to the
/// estimated length of a prompt.
const SLOTS_PER_KEPT: u32 = 8;
const MEMORY_PER_KEPT: u64 = 16;
const PROMPT_PER_MARGIN: u64 = 50;

/// How long a server still takes short requests after it is held.
const HELD_SHORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Part of the servers that form the long lane, at `short_weight` 100 and 0.
const LONG_LANE_MIN: f64 = 0.1;
const LONG_LANE_MAX: f64 = 0.25;

/// How long a long request waits for a server in the long lane, and any other for one outside,
/// before it uses idle capacity on the other side; at `short_weight` 50.
const LONG_LANE_WAIT: Duration = Duration::from_millis(500);

/// The least such wait of a long request, as a part of its own prefill time.
const LONG_WAIT_FACTOR: f64 = 0.5;

/// Slots of a server in the long lane that short and medium requests must leave free.
const LONG_LANE_FREE_SLOTS: u32 = 1;

/// Part of the slots that may be in use during a long prefill, at `short_weight` 0 and 100.
const BESIDE_LONG_MIN: f64 = 0.25;
const BESIDE_LONG_MAX: f64 = 0.75;

/// Factor on the wait of short and medium requests for a server in the long lane that prefills a
/// long prompt.
const LONG_BUSY_FACTOR: f64 = 4.0;

/// How long a request waits before it uses a server that it should avoid.
const AVOID_WAIT: Duration = Duration::from_millis(1_000);

/// How long a suspect waits for one of the servers assigned to it.
const SUSPECT_WAIT: Duration = Duration::from_millis(2_000);

/// Time over which a new server's load limit rises to the full one.
const RAMP_TIME: Duration = Duration::from_secs(5);

/// Load limit of a server on its arrival, as a part of the full one.
const RAMP_START: f64 = 0.25;

/// What a choice is based on.
pub struct View<'a> {
    pub now: Duration,
    pub policy: &'a config::Policy,
    /// Availability zone of this entry.
    pub zone: &'a str,
    pub fleet: &'a fleet::Fleet,
    pub suspects: &'a suspect::Suspects,
    /// Cached prompt tokens by server.
    pub cached: &'a HashMap<fleet::Index, u64>,
    /// When this entry started. Servers that arrived within [`RAMP_TIME`] of it do not count as
    /// new.
    pub started: Duration,
    /// Whether the workspace is over its share.
    pub over_share: bool,
    /// Class by the request's priority, which decides the order of prefill.
    pub priority_class: run::Class,
    /// Whether a long request arrived recently.
    pub long_recent: bool,
}

/// The result of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// A server, and the prompt tokens that it has to prefill.
    Found(fleet::Index, u64),
    /// Servers are present, but none has capacity now.
    Full,
    /// No server is present.
    Absent,
    /// The request is larger than the memory of any server.
    TooLong,
}

/// A server that could take the request.
struct Candidate {
    index: fleet::Index,
    /// Position among the servers of the service, by name.
    position: usize,
    count: usize,
}

impl View<'_> {
    /// Chooses a server.
    pub fn choose(&self, waiting: &queue::Waiting, turn: usize, rng: &mut impl Rng) -> Choice {
        let job = &waiting.job;
        let list = self.fleet.service(&job.service);
        let mut candidates = Vec::new();
        let mut fits = job.model.is_none();
        for (position, &index) in list.iter().enumerate() {
            let Some(server) = self.fleet.server(index) else {
                continue;
            };
            if server.is_open(self.now) && server.serves(job.model.as_deref()) {
                fits |= waiting.memory() <= server.announced.load.memory_tokens;
                candidates.push(Candidate {
                    index,
                    position,
                    count: list.len(),
                });
            }
        }
        if candidates.is_empty() {
            return Choice::Absent;
        }
        if !fits {
            return Choice::TooLong;
        }
        self.sample(&mut candidates, rng);
        let waited = self.now.saturating_sub(waiting.since);
        let mut best = self.best(waiting, &candidates, false, turn, rng);
        if best.is_none() && !job.avoid.is_empty() {
            let all_avoided = candidates
                .iter()
                .all(|candidate| self.avoided(waiting, candidate));
            if all_avoided || waited >= AVOID_WAIT {
                best = self.best(waiting, &candidates, true, turn, rng);
            }
        }
        match best {
            Some(index) => Choice::Found(index, self.uncached(waiting, index)),
            None => Choice::Full,
        }
    }

    /// Reduces many candidates to those with cached blocks and a random sample.
    fn sample(&self, candidates: &mut Vec<Candidate>, rng: &mut impl Rng) {
        if candidates.len() <= SAMPLE_SIZE {
            return;
        }
        let (mut kept, mut rest): (Vec<_>, Vec<_>) = std::mem::take(candidates)
            .into_iter()
            .partition(|candidate| self.cached.contains_key(&candidate.index));
        kept.truncate(SAMPLE_SIZE);
        while kept.len() < 2 * SAMPLE_SIZE && !rest.is_empty() {
            kept.push(rest.swap_remove(rng.random_range(0..rest.len())));
        }
        *candidates = kept;
    }

    fn avoided(&self, waiting: &queue::Waiting, candidate: &Candidate) -> bool {
        let server = self.fleet.server(candidate.index);
        server.is_some_and(|server| waiting.job.avoid.contains(&server.announced.server))
    }

    fn best(
        &self,
        waiting: &queue::Waiting,
        candidates: &[Candidate],
        avoided: bool,
        turn: usize,
        rng: &mut impl Rng,
    ) -> Option<fleet::Index> {
        let mut scored = Vec::with_capacity(candidates.len());
        for candidate in candidates {
            let Some(server) = self.fleet.server(candidate.index) else {
                continue;
            };
            if avoided != self.avoided(waiting, candidate) || !self.meets_limits(waiting, candidate)
            {
                continue;
            }
            let score = match self.policy.routing {
                config::Routing::RoundRobin => {
                    let distance = candidate.position + candidate.count;
                    (distance - turn % candidate.count) as f64 % candidate.count as f64
                }
                config::Routing::LeastRequests => f64::from(server.busy()),
                config::Routing::Predicted if !self.has_capacity(waiting, candidate, server) => {
                    continue;
                }
                config::Routing::Predicted => self.score(waiting, candidate, server),
            };
            scored.push((score, candidate.index));
        }
        if self.policy.routing == config::Routing::Predicted && waiting.class != run::Class::Long {
            self.sample_scored(&mut scored, candidates.len(), rng);
        }
        let best = scored.iter().map(|found| found.0).min_by(f64::total_cmp)?;
        let limit = match self.policy.routing {
            config::Routing::Predicted => best * (1.0 + TIE_PART) + TIE_S,
            config::Routing::RoundRobin | config::Routing::LeastRequests => best,
        };
        scored.retain(|found| found.0 <= limit);
        Some(scored[rng.random_range(0..scored.len())].1)
    }

    /// Reduces the scored servers to those with cached blocks and a random part of the others.
    /// Otherwise entries with equally old views would all choose the best server until its next
    /// report.
    fn sample_scored(
        &self,
        scored: &mut Vec<(f64, fleet::Index)>,
        count: usize,
        rng: &mut impl Rng,
    ) {
        let kept = count.div_ceil(SERVERS_PER_DRAW).max(MIN_DRAWN);
        let (mut drawn, mut rest): (Vec<_>, Vec<_>) = std::mem::take(scored)
            .into_iter()
            .partition(|found| self.cached.contains_key(&found.1));
        for _ in 0..kept.min(rest.len()) {
            drawn.push(rest.swap_remove(rng.random_range(0..rest.len())));
        }
        *scored = drawn;
    }

    /// Whether a server meets the conditions of every policy: a free slot, free memory, a closed
    /// breaker, and no conflict between suspects.
    fn meets_limits(&self, waiting: &queue::Waiting, candidate: &Candidate) -> bool {
        let Some(server) = self.fleet.server(candidate.index) else {
            return false;
        };
        let load = &server.announced.load;
        let kept = match waiting.class {
            run::Class::Short => 0,
            run::Class::Medium | run::Class::Long => 1,
        };
        let slots = load.slots - kept * load.slots.div_ceil(SLOTS_PER_KEPT).min(load.slots / 2);
        if !server.breaker.allows(self.now)
            || !self.may_use(waiting, candidate, server)
            || server.busy() >= slots
        {
            return false;
        }
        let used = server.used_tokens();
        if waiting.job.model.is_none() || used == 0 {
            return waiting.memory() <= load.memory_tokens;
        }
        let memory = load.memory_tokens - u64::from(kept) * load.memory_tokens / MEMORY_PER_KEPT;
        used + waiting.memory() + waiting.prompt_tokens / PROMPT_PER_MARGIN <= memory
    }

    fn may_use(
        &self,
        waiting: &queue::Waiting,
        candidate: &Candidate,
        server: &fleet::Server,
    ) -> bool {
        let fingerprint = waiting.job.fingerprint;
        if !self.suspects.has(fingerprint) {
            return true;
        }
        if server.suspects > 0 || self.suspects.crashed(fingerprint, &server.announced.server) {
            return false;
        }
        self.suspects
            .is_assigned(fingerprint, candidate.position, candidate.count)
            || self.now >= waiting.since + SUSPECT_WAIT
    }

    /// Whether the predicted policy leaves the request capacity on a server that
    /// [`Self::meets_limits`].
    fn has_capacity(
        &self,
        waiting: &queue::Waiting,
        candidate: &Candidate,
        server: &fleet::Server,
    ) -> bool {
        let load = &server.announced.load;
        let ramp = self.ramp(server);
        if let Some((holder, since)) = server.held_for {
            let takes_short =
                waiting.class == run::Class::Short && self.now < since + HELD_SHORT_TIMEOUT;
            if holder != waiting.job.request && !takes_short {
                return false;
            }
        }
        if server.protected && waiting.class != run::Class::Long {
            return false;
        }
        let scale = 2.0 * self.weight();
        let reserve = scale
            * match waiting.class {
                run::Class::Short => 0.0,
                run::Class::Medium => MEDIUM_RESERVE,
                run::Class::Long => LONG_RESERVE,
            };
        let mut slots = f64::from(load.slots) * (1.0 - reserve) * ramp;
        if self.over_share {
            slots -= f64::from(load.slots) * OVER_SHARE_RESERVE;
        }
        if f64::from(server.busy()) >= slots.max(1.0) {
            return false;
        }
        if waiting.job.model.is_none() {
            return true;
        }
        let holds = server
            .held_for
            .is_some_and(|(holder, _)| holder == waiting.job.request);
        let memory = load.memory_tokens as f64 * (1.0 - reserve);
        let used = server.used_tokens();
        if !holds && used > 0 && (used + waiting.memory()) as f64 > memory {
            return false;
        }
        if waiting.class == run::Class::Long {
            return self.admits_long(waiting, candidate, server);
        }
        if !self.admits_others(waiting, candidate, server) {
            return false;
        }
        let part = if self.over_share {
            OVER_SHARE_AHEAD
        } else {
            1.0
        };
        let ahead = server.ahead(self.now, self.priority_class) as f64 / server.rate() as f64;
        ahead <= MAX_AHEAD.as_secs_f64() * part * ramp
    }

    /// Whether a long request may go to a server: one long prefill at a time, and outside the long
    /// lane only after a wait, to a server without other prefill.
    fn admits_long(
        &self,
        waiting: &queue::Waiting,
        candidate: &Candidate,
        server: &fleet::Server,
    ) -> bool {
        if server.has_long() {
            return false;
        }
        // A single server cannot be divided into lanes.
        if candidate.count < 2 || self.in_long_lane(candidate) {
            return true;
        }
        let own = self.uncached(waiting, candidate.index) as f64 / server.rate() as f64;
        let wait = LONG_LANE_WAIT.mul_f64(2.0 * self.weight());
        let wait = wait.max(Duration::from_secs_f64(LONG_WAIT_FACTOR * own));
        self.now >= waiting.since + wait && server.ahead(self.now, run::Class::Medium) == 0
    }

    /// Whether a short or medium request may go to a server. In the long lane it may only after a
    /// wait, which is longer the less `short_weight` is.
    fn admits_others(
        &self,
        waiting: &queue::Waiting,
        candidate: &Candidate,
        server: &fleet::Server,
    ) -> bool {
        let slots = server.announced.load.slots;
        if server.has_long() {
            // The engine serves them before the long prefill, so their number is limited.
            let part = BESIDE_LONG_MIN + (BESIDE_LONG_MAX - BESIDE_LONG_MIN) * self.weight();
            if f64::from(server.busy()) >= (f64::from(slots) * part).max(2.0) {
                return false;
            }
        }
        if candidate.count < 2 || !self.long_recent || !self.in_long_lane(candidate) {
            return true;
        }
        if server.busy() + slots.div_ceil(SLOTS_PER_KEPT) + LONG_LANE_FREE_SLOTS > slots {
            return false;
        }
        let times = if server.has_long() {
            LONG_BUSY_FACTOR
        } else {
            1.0
        };
        let wait = LONG_LANE_WAIT.mul_f64(2.0 * (1.0 - self.weight()) * times);
        self.now >= waiting.since + wait
    }

    /// `short_weight` as a part.
    fn weight(&self) -> f64 {
        f64::from(self.policy.short_weight.min(100)) / 100.0
    }

    /// Whether a server is in the long lane. All entries compute the same lane.
    fn in_long_lane(&self, candidate: &Candidate) -> bool {
        let part = LONG_LANE_MIN + (LONG_LANE_MAX - LONG_LANE_MIN) * (1.0 - self.weight());
        let lane = (candidate.count as f64 * part).ceil() as usize;
        candidate.position < lane
    }

    /// Part of its full load that a server may have: less while it is new and its caches are cold.
    fn ramp(&self, server: &fleet::Server) -> f64 {
        if server.arrived < self.started + RAMP_TIME {
            return 1.0;
        }
        let age = self.now.saturating_sub(server.arrived).as_secs_f64();
        (age / RAMP_TIME.as_secs_f64()).clamp(RAMP_START, 1.0)
    }

    /// Predicted time to first token plus the delay that the request causes others, in seconds.
    fn score(
        &self,
        waiting: &queue::Waiting,
        candidate: &Candidate,
        server: &fleet::Server,
    ) -> f64 {
        let zone = if server.announced.zone == self.zone {
            0.0
        } else {
            ZONE_COST_S
        };
        if waiting.job.model.is_none() {
            return zone + f64::from(server.busy()) / f64::from(server.announced.load.slots.max(1));
        }
        let rate = server.rate() as f64;
        let weight = self.weight();
        let own = self.uncached(waiting, candidate.index) as f64 / rate;
        let ahead = server.ahead(self.now, self.priority_class) as f64 / rate;
        let step = STEP_TOKENS / rate;
        let token = server.announced.load.token_micros as f64 / 1e6;
        let busy = server.busy();
        let others = match waiting.class {
            // Each step of a prefill is slower while others generate.
            run::Class::Long if busy > 0 => own * (token / step).min(MAX_SLOWDOWN),
            run::Class::Long => 0.0,
            run::Class::Short | run::Class::Medium if server.has_long() => {
                let answer = waiting.output_tokens as f64 * token;
                let slower = if busy > 1 { 0.0 } else { answer };
                weight * step + (1.0 - weight) * (own + slower)
            }
            run::Class::Short | run::Class::Medium => 0.0,
        };
        let batch = f64::from(busy) / f64::from(server.announced.load.slots.max(1));
        ahead + own + others + zone + batch * step
    }

    /// Prompt tokens that a server has to prefill.
    fn uncached(&self, waiting: &queue::Waiting, index: fleet::Index) -> u64 {
        let cached = self.cached.get(&index).copied().unwrap_or(0);
        waiting.prompt_tokens.saturating_sub(cached)
    }
}
