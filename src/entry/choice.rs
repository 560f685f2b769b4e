//! The choice among the backend servers that are present.
//!
//! The predicted time to first token of a request on a server is the work ahead of it at its
//! priority or above, its own uncached prefill, and the link. To it comes what the request would
//! cost others: short and medium requests keep off servers that prefill a long prompt, and long
//! prompts keep off the servers set aside for the others, as the policy's `short_weight` says.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;

use crate::config;
use crate::entry::fleet;
use crate::entry::queue;
use crate::entry::suspect;
use crate::wire::run;

/// Servers looked at for one choice; of more, this many are drawn at random.
pub const SAMPLE: usize = 64;

/// One in so many of the servers is drawn for a choice, and never fewer than the second number.
const DRAWN_PART: usize = 4;
const DRAWN_MIN: usize = 3;

/// Time by which a server in another availability zone is worse.
const ZONE_COST: f64 = 0.002;

/// Prompt tokens that an engine prefills in one go: a request waits for the step in progress.
const STEP_TOKENS: f64 = 1_024.0;

/// Most that the generation of other answers is taken to slow a prefill, as a part.
const MAX_SLOWDOWN: f64 = 1.0;

/// Scores this much above the best, as a part and in seconds, are as good: one is drawn, so that
/// entries with the same view do not all choose the same server.
const TIE_PART: f64 = 0.05;
const TIE_TIME: f64 = 0.001;

/// Time of the work ahead that a server may have and still get more of its class. Beyond it
/// requests wait at the entry, where fair shares decide and any server may take them.
const CAP: Duration = Duration::from_millis(500);

/// Part of [`CAP`] for workspaces that are over their share.
const OVER_CAP: f64 = 0.25;

/// Part of the slots, and of the memory, kept from medium and from long requests at
/// `short_weight` 50.
const MEDIUM_RESERVE: f64 = 0.0625;
const LONG_RESERVE: f64 = 0.125;

/// Part of the slots kept from workspaces that are over their share.
const OVER_RESERVE: f64 = 0.5;

/// What a sidecar keeps for short requests: one slot, and one part of memory, in so many. And
/// what it adds to a prompt's estimated memory: one part in so many.
const KEPT_SLOTS: u32 = 8;
const KEPT_MEMORY: u64 = 16;
const MARGIN: u64 = 50;

/// How long a held server still takes short requests.
const HELD_PATIENCE: Duration = Duration::from_millis(1_000);

/// Part of the servers that are meant for long requests, at `short_weight` 100 and 0.
const LANE_MIN: f64 = 0.1;
const LANE_MAX: f64 = 0.25;

/// How long a request waits for servers on its side of the lane's border before it takes idle
/// room on the other, at `short_weight` 50.
const LANE_PATIENCE: Duration = Duration::from_millis(500);

/// The same of a long request, as a part of its own prefill.
const LONG_PATIENCE: f64 = 0.5;

/// Slots of a server of the lane that others leave to long requests.
const LANE_SLOTS: u32 = 1;

/// Part of the slots that may be taken beside a long prefill, at `short_weight` 0 and 100.
const BESIDE_LONG_MIN: f64 = 0.25;
const BESIDE_LONG_MAX: f64 = 0.75;

/// How many times longer the others wait where a long prompt is in prefill.
const BUSY_LANE: f64 = 4.0;

/// How long a request waits before it goes to a server that it was to avoid.
const AVOID_PATIENCE: Duration = Duration::from_millis(1_000);

/// How long a suspect waits for a server of its own.
const SUSPECT_PATIENCE: Duration = Duration::from_millis(2_000);

/// Time in which a new server comes up to its full load.
const RAMP: Duration = Duration::from_secs(5);

/// Load of a server when it is new, as a part.
const RAMP_START: f64 = 0.25;

/// What a choice is made on.
pub struct View<'a> {
    /// Now.
    pub now: Duration,
    /// The policy.
    pub policy: &'a config::Policy,
    /// Availability zone of this entry.
    pub zone: &'a str,
    /// The servers.
    pub fleet: &'a fleet::Fleet,
    /// The suspects.
    pub suspects: &'a suspect::Suspects,
    /// Cached prompt tokens by server.
    pub cached: &'a HashMap<fleet::Index, u64>,
    /// Since when this entry knows its servers: those that it found are not new.
    pub started: Duration,
    /// Whether the workspace is over its share.
    pub over_share: bool,
    /// Class with whose prompts the request would be prefilled.
    pub priority_class: run::Class,
    /// Whether a long request came lately.
    pub long_recent: bool,
}

/// What came of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// A server, and the prompt tokens that it has to prefill.
    Found(fleet::Index, u64),
    /// There are servers, but none has room now.
    Full,
    /// No server is present.
    Absent,
    /// No server could ever hold it.
    TooLong,
}

/// A server that could take the request.
struct Candidate {
    index: fleet::Index,
    /// Place among the servers of the service, by name.
    position: usize,
    count: usize,
}

impl View<'_> {
    /// Chooses a server.
    pub fn choose(&self, waiting: &queue::Waiting, turn: usize, rng: &mut impl Rng) -> Choice {
        let job = &waiting.job;
        let list = self.fleet.service(&job.service);
        let mut open = Vec::new();
        let mut fits = job.model.is_none();
        for (position, &index) in list.iter().enumerate() {
            let Some(server) = self.fleet.server(index) else {
                continue;
            };
            if server.is_open(self.now) && server.serves(job.model.as_deref()) {
                fits |= waiting.memory() <= server.announced.load.memory_tokens;
                open.push(Candidate {
                    index,
                    position,
                    count: list.len(),
                });
            }
        }
        if open.is_empty() {
            return Choice::Absent;
        }
        if !fits {
            return Choice::TooLong;
        }
        self.sample(&mut open, rng);
        let waited = self.now.saturating_sub(waiting.since);
        let mut best = self.best(waiting, &open, false, turn, rng);
        if best.is_none() && !job.avoid.is_empty() {
            let all_avoided = open
                .iter()
                .all(|candidate| self.avoided(waiting, candidate));
            if all_avoided || waited >= AVOID_PATIENCE {
                best = self.best(waiting, &open, true, turn, rng);
            }
        }
        match best {
            Some(index) => Choice::Found(index, self.uncached(waiting, index)),
            None => Choice::Full,
        }
    }

    /// Draws [`SAMPLE`] of more candidates, and keeps those with cached blocks.
    fn sample(&self, open: &mut Vec<Candidate>, rng: &mut impl Rng) {
        if open.len() <= SAMPLE {
            return;
        }
        let (mut kept, mut rest): (Vec<_>, Vec<_>) = std::mem::take(open)
            .into_iter()
            .partition(|candidate| self.cached.contains_key(&candidate.index));
        kept.truncate(SAMPLE);
        while kept.len() < 2 * SAMPLE && !rest.is_empty() {
            kept.push(rest.swap_remove(rng.random_range(0..rest.len())));
        }
        *open = kept;
    }

    fn avoided(&self, waiting: &queue::Waiting, candidate: &Candidate) -> bool {
        let server = self.fleet.server(candidate.index);
        server.is_some_and(|server| waiting.job.avoid.contains(&server.announced.server))
    }

    fn best(
        &self,
        waiting: &queue::Waiting,
        open: &[Candidate],
        avoided: bool,
        turn: usize,
        rng: &mut impl Rng,
    ) -> Option<fleet::Index> {
        let mut scored = Vec::with_capacity(open.len());
        for candidate in open {
            let Some(server) = self.fleet.server(candidate.index) else {
                continue;
            };
            if avoided != self.avoided(waiting, candidate) || !self.admits(waiting, candidate) {
                continue;
            }
            let score = match self.policy.routing {
                config::Routing::RoundRobin => {
                    let distance = candidate.position + candidate.count;
                    (distance - turn % candidate.count) as f64 % candidate.count as f64
                }
                config::Routing::LeastRequests => f64::from(server.busy()),
                config::Routing::Predicted if !self.has_room(waiting, candidate, server) => {
                    continue;
                }
                config::Routing::Predicted => self.score(waiting, candidate, server),
            };
            scored.push((score, candidate.index));
        }
        if self.policy.routing == config::Routing::Predicted && waiting.class != run::Class::Long {
            self.draw(&mut scored, open.len(), rng);
        }
        let best = scored.iter().map(|found| found.0).min_by(f64::total_cmp)?;
        let limit = match self.policy.routing {
            config::Routing::Predicted => best * (1.0 + TIE_PART) + TIE_TIME,
            config::Routing::RoundRobin | config::Routing::LeastRequests => best,
        };
        scored.retain(|found| found.0 <= limit);
        Some(scored[rng.random_range(0..scored.len())].1)
    }

    /// Keeps a random part of the servers with room, and those with cached blocks: entries whose
    /// view is equally old would all choose the best one until their next reports.
    fn draw(&self, scored: &mut Vec<(f64, fleet::Index)>, open: usize, rng: &mut impl Rng) {
        let kept = open.div_ceil(DRAWN_PART).max(DRAWN_MIN);
        let (mut drawn, mut rest): (Vec<_>, Vec<_>) = std::mem::take(scored)
            .into_iter()
            .partition(|found| self.cached.contains_key(&found.1));
        for _ in 0..kept.min(rest.len()) {
            drawn.push(rest.swap_remove(rng.random_range(0..rest.len())));
        }
        *scored = drawn;
    }

    /// What every policy asks of a server: a slot, memory, and that the request may go there.
    fn admits(&self, waiting: &queue::Waiting, candidate: &Candidate) -> bool {
        let Some(server) = self.fleet.server(candidate.index) else {
            return false;
        };
        let load = &server.announced.load;
        let kept = match waiting.class {
            run::Class::Short => 0,
            run::Class::Medium | run::Class::Long => 1,
        };
        let slots = load.slots - kept * load.slots.div_ceil(KEPT_SLOTS).min(load.slots / 2);
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
        let memory = load.memory_tokens - u64::from(kept) * load.memory_tokens / KEPT_MEMORY;
        used + waiting.memory() + waiting.prompt_tokens / MARGIN <= memory
    }

    fn may_use(
        &self,
        waiting: &queue::Waiting,
        candidate: &Candidate,
        server: &fleet::Server,
    ) -> bool {
        let print = waiting.job.fingerprint;
        if !self.suspects.has(print) {
            return true;
        }
        if server.suspects > 0 || self.suspects.killed(print, &server.announced.server) {
            return false;
        }
        self.suspects
            .owns(print, candidate.position, candidate.count)
            || self.now >= waiting.since + SUSPECT_PATIENCE
    }

    /// Whether the policy gives the request room on a server that could take it.
    fn has_room(
        &self,
        waiting: &queue::Waiting,
        candidate: &Candidate,
        server: &fleet::Server,
    ) -> bool {
        let load = &server.announced.load;
        let ramp = self.ramp(server);
        if let Some((holder, since)) = server.held_for {
            let open = waiting.class == run::Class::Short && self.now < since + HELD_PATIENCE;
            if holder != waiting.job.request && !open {
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
            slots -= f64::from(load.slots) * OVER_RESERVE;
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
            return self.open_to_long(waiting, candidate, server);
        }
        if !self.open_to_others(waiting, candidate, server) {
            return false;
        }
        let part = if self.over_share { OVER_CAP } else { 1.0 };
        let ahead = server.ahead(self.now, self.priority_class) as f64 / server.rate() as f64;
        ahead <= CAP.as_secs_f64() * part * ramp
    }

    /// Whether a long request may go to a server: one long prefill at a time, and outside the
    /// lane only after some patience, to a server without other prefill.
    fn open_to_long(
        &self,
        waiting: &queue::Waiting,
        candidate: &Candidate,
        server: &fleet::Server,
    ) -> bool {
        if server.has_long() {
            return false;
        }
        // One server cannot be shared out.
        if candidate.count < 2 || self.in_lane(candidate) {
            return true;
        }
        let own = self.uncached(waiting, candidate.index) as f64 / server.rate() as f64;
        let patience = LANE_PATIENCE.mul_f64(2.0 * self.weight());
        let patience = patience.max(Duration::from_secs_f64(LONG_PATIENCE * own));
        self.now >= waiting.since + patience && server.ahead(self.now, run::Class::Medium) == 0
    }

    /// Whether a short or medium request may go to a server of the lane: after some patience,
    /// the more of it the less `short_weight` is.
    fn open_to_others(
        &self,
        waiting: &queue::Waiting,
        candidate: &Candidate,
        server: &fleet::Server,
    ) -> bool {
        let slots = server.announced.load.slots;
        if server.has_long() {
            // Others go before it at the engine, so only so many at a time.
            let part = BESIDE_LONG_MIN + (BESIDE_LONG_MAX - BESIDE_LONG_MIN) * self.weight();
            if f64::from(server.busy()) >= (f64::from(slots) * part).max(2.0) {
                return false;
            }
        }
        if candidate.count < 2 || !self.long_recent || !self.in_lane(candidate) {
            return true;
        }
        if server.busy() + slots.div_ceil(KEPT_SLOTS) + LANE_SLOTS > slots {
            return false;
        }
        let times = if server.has_long() { BUSY_LANE } else { 1.0 };
        let patience = LANE_PATIENCE.mul_f64(2.0 * (1.0 - self.weight()) * times);
        self.now >= waiting.since + patience
    }

    /// `short_weight` as a part.
    fn weight(&self) -> f64 {
        f64::from(self.policy.short_weight.min(100)) / 100.0
    }

    /// Whether a server is one of those meant for long requests. All entries agree on them.
    fn in_lane(&self, candidate: &Candidate) -> bool {
        let part = LANE_MIN + (LANE_MAX - LANE_MIN) * (1.0 - self.weight());
        let lane = (candidate.count as f64 * part).ceil() as usize;
        candidate.position < lane
    }

    /// Part of its full load that a server may have: less while it is new and cold.
    fn ramp(&self, server: &fleet::Server) -> f64 {
        if server.arrived < self.started + RAMP {
            return 1.0;
        }
        let age = self.now.saturating_sub(server.arrived).as_secs_f64();
        (age / RAMP.as_secs_f64()).clamp(RAMP_START, 1.0)
    }

    /// Predicted time to first token, and what the request costs others, in seconds.
    fn score(
        &self,
        waiting: &queue::Waiting,
        candidate: &Candidate,
        server: &fleet::Server,
    ) -> f64 {
        let zone = if server.announced.zone == self.zone {
            0.0
        } else {
            ZONE_COST
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
