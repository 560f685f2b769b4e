//! Places requests, at once or from the queue.

use std::collections::HashMap;
use std::time::Duration;

use super::Action;
use super::Open;
use super::RETRY_PERCENT;
use super::Router;
use crate::config;
use crate::entry::choice;
use crate::entry::estimate;
use crate::entry::fleet;
use crate::entry::job;
use crate::entry::prefix;
use crate::entry::queue;
use crate::wire::id;
use crate::wire::outcome;
use crate::wire::run;

/// Requests of a lane that are tried before the lane counts as stuck: a large one that finds no
/// memory does not stop smaller ones until it is aged.
const TRIED: usize = 4;

/// What a call of a plain service costs its workspace, in tokens.
const PLAIN_COST: u64 = 500;

/// How long servers are kept for long requests after the last one came.
const LONG_LATELY: Duration = Duration::from_secs(60);

/// How long shares count after a request had to wait.
const CONTENTION: Duration = Duration::from_secs(2);

/// Bounds of what a refused caller is told, in milliseconds.
const MIN_RETRY_MS: u64 = 500;
const MAX_RETRY_MS: u64 = 30_000;

/// Part of the expected answer that must fit into the time limit: the expectation is a mean.
const OUTPUT_MARGIN: f64 = 0.5;

impl Router {
    /// Takes a wish for a place.
    pub(super) fn place(&mut self, now: Duration, job: job::Job, actions: &mut Vec<Action>) {
        let request = job.request;
        if self.suspects.quarantined(job.fingerprint).is_some() {
            return self.quarantine(&job, actions);
        }
        let Some(waiting) = self.admit(now, job) else {
            let failure = outcome::Failure::not_run(
                outcome::Cause::OverShare,
                Some(MIN_RETRY_MS),
                "the workspace has too many requests in progress",
            );
            return actions.push(Action::Unplaced(request, failure));
        };
        if waiting.class == run::Class::Long {
            self.long = Some(now);
        }
        if let Some(failure) = self.late(now, &waiting) {
            return actions.push(Action::Unplaced(request, failure));
        }
        if let Some(action) = self.gang(now, &waiting) {
            return actions.push(action);
        }
        let pool = queue::Pool::of(&waiting.job);
        let behind = !waiting.job.retry && self.queue.has(&pool, waiting.class);
        if behind {
            self.enqueue(now, waiting, actions);
            return self.dispatch(now, actions);
        }
        match self.choose(now, &waiting) {
            choice::Choice::Found(index, uncached) if self.pay(now, &waiting) => {
                self.put(now, &waiting, index, uncached, actions);
            }
            choice::Choice::Absent if !waiting.job.retry => {
                let failure = outcome::Failure::not_run(
                    outcome::Cause::NoServer,
                    Some(MIN_RETRY_MS),
                    "no backend server is present",
                );
                actions.push(Action::Unplaced(request, failure));
            }
            choice::Choice::TooLong => {
                let failure = outcome::Failure::not_run(
                    outcome::Cause::TooLong,
                    None,
                    "the prompt is larger than the memory of any engine",
                );
                actions.push(Action::Unplaced(request, failure));
            }
            choice::Choice::Found(..) | choice::Choice::Full | choice::Choice::Absent => {
                self.enqueue(now, waiting, actions);
            }
        }
    }

    /// Counts a request in, unless it is known. `None`: its workspace is at its limit.
    fn admit(&mut self, now: Duration, job: job::Job) -> Option<queue::Waiting> {
        let (prompt_tokens, output_tokens) = self.tokens(&job);
        let request = job.request;
        if !self.open.contains_key(&request) {
            if !self.shares.open(&self.conf, &job.workspace) {
                return None;
            }
            let tag = match self.conf.policy.routing {
                config::Routing::Predicted => self
                    .shares
                    .tag(&job.workspace, prompt_tokens + output_tokens),
                config::Routing::RoundRobin | config::Routing::LeastRequests => {
                    now.as_micros() as u64
                }
            };
            let percent = self.conf.service.get(&job.service);
            let percent = percent.map_or(RETRY_PERCENT, |service| service.retry_percent);
            self.budget(&job.service).earn(percent);
            let open = Open {
                workspace: job.workspace.clone(),
                model: job.model.clone(),
                body_len: job.body_len,
                max_tokens: job.max_tokens,
                since: now,
                tag,
                refused: false,
            };
            self.open.insert(request, open);
        }
        self.fleet.remove_attempt(request);
        let open = self.open.get_mut(&request)?;
        let unpaid = job.retry && !open.refused;
        Some(queue::Waiting {
            since: if job.retry { now } else { open.since },
            class: match job.model {
                Some(_) => estimate::class(&self.conf.policy, prompt_tokens),
                None => run::Class::Short,
            },
            tag: open.tag,
            unpaid,
            job,
            prompt_tokens,
            output_tokens,
        })
    }

    /// Estimated tokens of prompt and answer.
    fn tokens(&self, job: &job::Job) -> (u64, u64) {
        let Some(model) = &job.model else {
            return (0, PLAIN_COST);
        };
        let mut prompt = self.estimate.prompt(model, job.body_len);
        if !self.estimate.knows(model) {
            // A guess is no reason to call a prompt too long.
            let list = self.fleet.service(&job.service).iter();
            let servers = list.filter_map(|&index| self.fleet.server(index));
            let most = servers
                .map(|server| server.announced.load.memory_tokens)
                .max();
            let most = most.unwrap_or(u64::MAX);
            prompt = prompt.min(most.saturating_sub(u64::from(job.max_tokens)).max(1));
        }
        (prompt, self.estimate.output(model, job.max_tokens))
    }

    /// Whether the retry budget allows the request.
    pub(super) fn pay(&mut self, now: Duration, waiting: &queue::Waiting) -> bool {
        !waiting.unpaid || self.budget(&waiting.job.service).take(now)
    }

    /// Why a request cannot have its answer in time, if so.
    fn late(&self, now: Duration, waiting: &queue::Waiting) -> Option<outcome::Failure> {
        let left = waiting.job.deadline.saturating_sub(now);
        let mut rate = 0;
        let mut fastest = 0;
        let mut token_micros = u64::MAX;
        for &index in self.fleet.service(&waiting.job.service) {
            if let Some(server) = self.fleet.server(index)
                && server.is_open(now)
            {
                rate += server.rate();
                fastest = fastest.max(server.rate());
                token_micros = token_micros.min(server.announced.load.token_micros);
            }
        }
        if rate == 0 || waiting.job.model.is_none() {
            return None;
        }
        let pool = queue::Pool::of(&waiting.job);
        let ahead = self.queue.ahead(&pool, waiting.class, waiting.tag);
        let wait = ahead as f64 / rate as f64;
        let prefill = waiting.prompt_tokens as f64 / fastest as f64;
        let answer = waiting.output_tokens as f64 * token_micros as f64 / 1e6;
        let need = wait + prefill + OUTPUT_MARGIN * answer;
        if need <= left.as_secs_f64() {
            return None;
        }
        let late_ms = ((need - left.as_secs_f64()) * 1e3) as u64;
        let retry_ms = (wait > 0.0).then(|| late_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS));
        Some(outcome::Failure::not_run(
            outcome::Cause::Deadline,
            retry_ms,
            "the time limit cannot be met",
        ))
    }

    /// Has a request wait. Of too many, those go first whose workspace is furthest over its
    /// share.
    fn enqueue(&mut self, now: Duration, waiting: queue::Waiting, actions: &mut Vec<Action>) {
        self.counts.waited += 1;
        self.contended = Some(now);
        let request = waiting.job.request;
        self.queue.push(waiting);
        if self.queue.len() <= queue::MAX_WAITING {
            return;
        }
        let shed = self.queue.last().unwrap_or(request);
        self.counts.shed += 1;
        let over = self.open.get(&shed).map(|open| open.workspace.clone());
        let over = over.is_some_and(|workspace| self.shares.is_over(now, &workspace));
        let cause = if over {
            outcome::Cause::OverShare
        } else {
            outcome::Cause::Busy
        };
        let failure = outcome::Failure::not_run(cause, Some(MIN_RETRY_MS), "the queue is full");
        self.drop_waiting(shed, failure, actions);
    }

    /// Takes a request out of the queue and refuses it.
    pub(super) fn drop_waiting(
        &mut self,
        request: id::Request,
        failure: outcome::Failure,
        actions: &mut Vec<Action>,
    ) {
        self.queue.remove(request);
        self.release_hold(request);
        actions.push(Action::Unplaced(request, failure));
    }

    /// Places what waits and now finds room.
    pub(super) fn dispatch(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        for lane in self.queue.lanes() {
            while self.dispatch_lane(now, &lane, actions) {}
        }
    }

    /// Refuses a request that crashed backend servers.
    fn quarantine(&self, job: &job::Job, actions: &mut Vec<Action>) {
        let failure = outcome::Failure::not_run(
            outcome::Cause::Quarantined,
            self.suspects.quarantined(job.fingerprint),
            "the request crashed backend servers",
        );
        actions.push(Action::Unplaced(job.request, failure));
    }

    /// Places one request of a lane. `false`: none found room.
    fn dispatch_lane(
        &mut self,
        now: Duration,
        lane: &(queue::Pool, run::Class),
        actions: &mut Vec<Action>,
    ) -> bool {
        for request in self.queue.head(lane, TRIED) {
            let Some(waiting) = self.queue.get(request).cloned() else {
                continue;
            };
            if self.suspects.quarantined(waiting.job.fingerprint).is_some() {
                self.queue.remove(request);
                self.quarantine(&waiting.job, actions);
                return true;
            }
            let choice::Choice::Found(index, uncached) = self.choose(now, &waiting) else {
                continue;
            };
            if self.pay(now, &waiting) {
                self.queue.remove(request);
                self.put(now, &waiting, index, uncached, actions);
                return true;
            }
        }
        false
    }

    fn choose(&mut self, now: Duration, waiting: &queue::Waiting) -> choice::Choice {
        let over_share = self.is_over(now, waiting);
        let priority_class = run::Class::at(self.priority(now, waiting));
        let cached = self.cached(waiting);
        let view = choice::View {
            now,
            policy: &self.conf.policy,
            zone: &self.zone,
            fleet: &self.fleet,
            suspects: &self.suspects,
            cached: &cached,
            started: self.started.unwrap_or(now),
            over_share,
            priority_class,
            long_recent: self.long.is_some_and(|at| now < at + LONG_LATELY),
        };
        view.choose(waiting, self.turn, &mut self.rng)
    }

    /// Whether the workspace is over its share while others wait too.
    fn is_over(&mut self, now: Duration, waiting: &queue::Waiting) -> bool {
        let fair = self.conf.policy.routing == config::Routing::Predicted;
        let contended = self.contended.is_some_and(|at| now < at + CONTENTION);
        fair && contended && self.shares.is_over(now, &waiting.job.workspace)
    }

    /// Prompt tokens that servers are expected to hold.
    fn cached(&self, waiting: &queue::Waiting) -> HashMap<fleet::Index, u64> {
        let blocks = &waiting.job.blocks;
        let mut found = self.prefix.holders(blocks);
        let body_len = waiting.job.body_len.max(1);
        found
            .drain()
            .map(|(index, held)| {
                let bytes = (held * prefix::BLOCK_BYTES) as u64;
                (index, waiting.prompt_tokens * bytes / body_len)
            })
            .collect()
    }

    /// Gives a request its place.
    fn put(
        &mut self,
        now: Duration,
        waiting: &queue::Waiting,
        index: fleet::Index,
        uncached: u64,
        actions: &mut Vec<Action>,
    ) {
        let request = waiting.job.request;
        self.release_hold(request);
        let priority = self.priority(now, waiting);
        let Some(server) = self.fleet.server_mut(index) else {
            return;
        };
        server.breaker.placed(now);
        let target = server.target();
        let attempt = fleet::Attempt {
            server: index,
            class: waiting.class,
            priority_class: run::Class::at(priority),
            uncached,
            memory: waiting.memory(),
            suspect: self.suspects.has(waiting.job.fingerprint),
            placed: now,
            prefilled: false,
        };
        self.fleet.add_attempt(request, attempt);
        self.prefix.learn(index, &waiting.job.blocks);
        let workspace = &waiting.job.workspace;
        // Work of another class may overtake; virtual time is that of the last in line.
        let tag = self
            .queue
            .first_tag()
            .map_or(waiting.tag, |first| first.min(waiting.tag));
        self.shares.placed(now, workspace, tag, waiting.cost());
        if self.conf.policy.routing == config::Routing::RoundRobin {
            self.turn = self.position(&waiting.job.service, index) + 1;
        }
        self.counts.placed += 1;
        self.counts.retries += u64::from(waiting.unpaid);
        self.counts.refusals += u64::from(waiting.job.retry && !waiting.unpaid);
        self.counts.prompt_tokens += waiting.prompt_tokens;
        self.counts.cached_tokens += waiting.prompt_tokens - uncached;
        if let Some(open) = self.open.get_mut(&request) {
            open.refused = false;
        }
        let place = job::Placement {
            target,
            prompt_tokens: waiting.prompt_tokens,
            class: waiting.class,
            priority,
            gang: None,
        };
        actions.push(Action::Placed(request, place));
    }

    fn position(&self, service: &str, index: fleet::Index) -> usize {
        let list = self.fleet.service(service);
        list.iter().position(|&other| other == index).unwrap_or(0)
    }

    /// Priority for the engine: by length, far lower for workspaces over their share, and raised
    /// with the part of the time limit that has gone.
    pub(super) fn priority(&mut self, now: Duration, waiting: &queue::Waiting) -> u8 {
        if self.conf.policy.routing != config::Routing::Predicted {
            return BASE_PRIORITY;
        }
        let base = self.base_priority(waiting);
        if self.is_over(now, waiting) {
            // What waits because of its own workspace's flood does not age.
            return (base * OVER_PRIORITY) as u8;
        }
        let since = self.open.get(&waiting.job.request);
        let since = since.map_or(waiting.since, |open| open.since);
        let limit = waiting.job.deadline.saturating_sub(since).as_secs_f64();
        let gone = now.saturating_sub(since).as_secs_f64() / limit.max(1e-3);
        (base + (255.0 - base) * gone.clamp(0.0, 1.0)) as u8
    }

    /// Priority by length: each class has a range, and the shorter go first within it too.
    fn base_priority(&self, waiting: &queue::Waiting) -> f64 {
        let policy = &self.conf.policy;
        let (high, low, from, to) = match waiting.class {
            run::Class::Short => (
                MAX_PRIORITY,
                run::Class::SHORT_PRIORITY,
                policy.short_tokens / SPAN,
                policy.short_tokens,
            ),
            run::Class::Medium => (
                run::Class::SHORT_PRIORITY - 1,
                run::Class::MEDIUM_PRIORITY,
                policy.short_tokens,
                policy.long_tokens,
            ),
            run::Class::Long => (
                run::Class::MEDIUM_PRIORITY - 1,
                MIN_PRIORITY,
                policy.long_tokens,
                policy.long_tokens * SPAN,
            ),
        };
        let (from, to) = (from.max(1) as f64, to.max(1) as f64);
        let length = waiting.prompt_tokens.max(1) as f64;
        let part = (length / from).ln() / (to / from).ln().max(f64::MIN_POSITIVE);
        f64::from(high) - f64::from(high - low) * part.clamp(0.0, 1.0)
    }
}

/// Priority of all requests under the baselines.
const BASE_PRIORITY: u8 = 128;

/// Priorities of the shortest and the longest prompts.
const MAX_PRIORITY: u8 = 230;
const MIN_PRIORITY: u8 = 31;

/// The range of short prompts begins at the longest short one over this, that of long prompts
/// ends at the shortest long one times this.
const SPAN: u64 = 10;

/// Part of its priority that a request of a workspace over its share keeps: all of it goes after
/// what is short or medium.
const OVER_PRIORITY: f64 = 0.4;
