//! Places requests, on arrival or from the queue.

use std::collections::HashMap;
use std::time::Duration;

use super::Action;
use super::RETRY_PERCENT;
use super::Request;
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

/// Requests at the front of a lane that are tried at a time, so that a large one that finds no
/// memory does not block smaller ones behind it. Once it has waited long enough, a server is held
/// for it.
const MAX_TRIED: usize = 4;

/// Tokens that a workspace is charged for a call of a plain service.
const PLAIN_COST_TOKENS: u64 = 500;

/// How long servers are reserved for long requests after the last one arrived.
const LONG_WINDOW: Duration = Duration::from_secs(60);

/// How long shares are enforced after a request was queued.
const CONTENTION_WINDOW: Duration = Duration::from_secs(2);

/// Bounds of the retry-after of rejected requests.
const MIN_RETRY_MS: u64 = 500;
const MAX_RETRY_MS: u64 = 30_000;

/// Part of the expected generation time that must fit into the time limit. Not all of it, since the
/// expectation is a mean.
const OUTPUT_PART: f64 = 0.5;

impl Router {
    /// Places, queues or rejects a request.
    pub(super) fn place(&mut self, now: Duration, job: job::Job, actions: &mut Vec<Action>) {
        let request = job.request;
        if self.suspects.quarantined(job.fingerprint).is_some() {
            return self.reject_quarantined(&job, actions);
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
            self.last_long = Some(now);
        }
        if let Some(failure) = self.late_failure(now, &waiting) {
            return actions.push(Action::Unplaced(request, failure));
        }
        if let Some(action) = self.gang(now, &waiting) {
            return actions.push(action);
        }
        let pool = queue::Pool::of(&waiting.job);
        let has_lane = !waiting.job.retry && self.queue.has(&pool, waiting.class);
        if has_lane {
            self.enqueue(now, waiting, actions);
            return self.dispatch(now, actions);
        }
        match self.choose(now, &waiting) {
            choice::Choice::Found(index, uncached) if self.spend_retry(now, &waiting) => {
                self.assign(now, &waiting, index, uncached, actions);
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

    /// Tracks a request, unless it is tracked already. `None`: its workspace is at its limit.
    fn admit(&mut self, now: Duration, job: job::Job) -> Option<queue::Waiting> {
        let (prompt_tokens, output_tokens) = self.estimate_tokens(&job);
        let request = job.request;
        if !self.requests.contains_key(&request) {
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
            let known = Request {
                workspace: job.workspace.clone(),
                model: job.model.clone(),
                body_len: job.body_len,
                max_tokens: job.max_tokens,
                since: now,
                tag,
                refused: false,
            };
            self.requests.insert(request, known);
        }
        self.fleet.remove_attempt(request);
        let known = self.requests.get_mut(&request)?;
        let needs_retry_budget = job.retry && !known.refused;
        Some(queue::Waiting {
            since: if job.retry { now } else { known.since },
            class: match job.model {
                Some(_) => estimate::class(&self.conf.policy, prompt_tokens),
                None => run::Class::Short,
            },
            tag: known.tag,
            needs_retry_budget,
            job,
            prompt_tokens,
            output_tokens,
        })
    }

    /// Estimated tokens of prompt and response.
    fn estimate_tokens(&self, job: &job::Job) -> (u64, u64) {
        let Some(model) = &job.model else {
            return (0, PLAIN_COST_TOKENS);
        };
        let mut prompt = self.estimate.prompt(model, job.body_len);
        if !self.estimate.knows(model) {
            // A default ratio is too uncertain to reject a prompt as too long.
            let list = self.fleet.service(&job.service).iter();
            let servers = list.filter_map(|&index| self.fleet.server(index));
            let largest = servers
                .map(|server| server.announced.load.memory_tokens)
                .max();
            let largest = largest.unwrap_or(u64::MAX);
            prompt = prompt.min(largest.saturating_sub(u64::from(job.max_tokens)).max(1));
        }
        (prompt, self.estimate.output(model, job.max_tokens))
    }

    /// Takes a retry from the budget if the request needs one. `false`: none is left.
    pub(super) fn spend_retry(&mut self, now: Duration, waiting: &queue::Waiting) -> bool {
        !waiting.needs_retry_budget || self.budget(&waiting.job.service).take(now)
    }

    /// The failure of a request that cannot meet its deadline.
    fn late_failure(&self, now: Duration, waiting: &queue::Waiting) -> Option<outcome::Failure> {
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
        let need = wait + prefill + OUTPUT_PART * answer;
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

    /// Queues a request. If the queue is full, sheds one of the workspace furthest over its share.
    fn enqueue(&mut self, now: Duration, waiting: queue::Waiting, actions: &mut Vec<Action>) {
        self.counts.waited += 1;
        self.last_contention = Some(now);
        let request = waiting.job.request;
        self.queue.push(waiting);
        if !self.queue.is_over() {
            return;
        }
        let shed = self.queue.shed_candidate().unwrap_or(request);
        self.counts.shed += 1;
        let workspace = self
            .requests
            .get(&shed)
            .map(|known| known.workspace.clone());
        let over = workspace.is_some_and(|workspace| self.shares.is_over(now, &workspace));
        let cause = if over {
            outcome::Cause::OverShare
        } else {
            outcome::Cause::Busy
        };
        let failure = outcome::Failure::not_run(cause, Some(MIN_RETRY_MS), "the queue is full");
        self.reject_waiting(shed, failure, actions);
    }

    /// Removes a request from the queue and rejects it.
    pub(super) fn reject_waiting(
        &mut self,
        request: id::Request,
        failure: outcome::Failure,
        actions: &mut Vec<Action>,
    ) {
        self.queue.remove(request);
        self.release_hold(request);
        actions.push(Action::Unplaced(request, failure));
    }

    /// Places the waiting requests for which there is capacity now.
    pub(super) fn dispatch(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        for lane in self.queue.lanes() {
            while self.dispatch_lane(now, &lane, actions) {}
        }
    }

    /// Rejects a request that crashed backend servers.
    fn reject_quarantined(&self, job: &job::Job, actions: &mut Vec<Action>) {
        let failure = outcome::Failure::not_run(
            outcome::Cause::Quarantined,
            self.suspects.quarantined(job.fingerprint),
            "the request crashed backend servers",
        );
        actions.push(Action::Unplaced(job.request, failure));
    }

    /// Places or rejects one request of a lane. `false`: there was capacity for none.
    fn dispatch_lane(
        &mut self,
        now: Duration,
        lane: &(queue::Pool, run::Class),
        actions: &mut Vec<Action>,
    ) -> bool {
        for request in self.queue.first(lane, MAX_TRIED) {
            let Some(waiting) = self.queue.get(request).cloned() else {
                continue;
            };
            if self.suspects.quarantined(waiting.job.fingerprint).is_some() {
                self.queue.remove(request);
                self.reject_quarantined(&waiting.job, actions);
                return true;
            }
            let choice::Choice::Found(index, uncached) = self.choose(now, &waiting) else {
                continue;
            };
            if self.spend_retry(now, &waiting) {
                self.queue.remove(request);
                self.assign(now, &waiting, index, uncached, actions);
                return true;
            }
        }
        false
    }

    fn choose(&mut self, now: Duration, waiting: &queue::Waiting) -> choice::Choice {
        let over_share = self.is_over(now, waiting);
        let priority_class = run::Class::at(self.priority(now, waiting));
        let cached = self.cached_tokens(waiting);
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
            long_recent: self.last_long.is_some_and(|at| now < at + LONG_WINDOW),
        };
        view.choose(waiting, self.turn, &mut self.rng)
    }

    /// Whether shares are enforced now and the workspace is over its own.
    fn is_over(&mut self, now: Duration, waiting: &queue::Waiting) -> bool {
        let fair = self.conf.policy.routing == config::Routing::Predicted;
        let contended = self
            .last_contention
            .is_some_and(|at| now < at + CONTENTION_WINDOW);
        fair && contended && self.shares.is_over(now, &waiting.job.workspace)
    }

    /// Prompt tokens that each server is expected to have cached.
    fn cached_tokens(&self, waiting: &queue::Waiting) -> HashMap<fleet::Index, u64> {
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

    /// Assigns a request to a server.
    fn assign(
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
        // Requests of another class may overtake, so virtual time goes no further than the lowest
        // tag still waiting.
        let tag = self
            .queue
            .first_tag()
            .map_or(waiting.tag, |first| first.min(waiting.tag));
        self.shares.placed(now, workspace, tag, waiting.cost());
        if self.conf.policy.routing == config::Routing::RoundRobin {
            self.turn = self.position(&waiting.job.service, index) + 1;
        }
        self.counts.placed += 1;
        self.counts.retries += u64::from(waiting.needs_retry_budget);
        self.counts.refusals += u64::from(waiting.job.retry && !waiting.needs_retry_budget);
        self.counts.prompt_tokens += waiting.prompt_tokens;
        self.counts.cached_tokens += waiting.prompt_tokens - uncached;
        if let Some(known) = self.requests.get_mut(&request) {
            known.refused = false;
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

    /// Priority for the engine: by length, much lower for workspaces over their share, and rising
    /// with the part of the time limit that has elapsed.
    pub(super) fn priority(&mut self, now: Duration, waiting: &queue::Waiting) -> u8 {
        if self.conf.policy.routing != config::Routing::Predicted {
            return BASELINE_PRIORITY;
        }
        let base = self.base_priority(waiting);
        if self.is_over(now, waiting) {
            // Waiting caused by the workspace's own overload does not raise the priority.
            return (base * OVER_SHARE_PRIORITY) as u8;
        }
        let since = self.requests.get(&waiting.job.request);
        let since = since.map_or(waiting.since, |known| known.since);
        let limit = waiting.job.deadline.saturating_sub(since).as_secs_f64();
        let elapsed = now.saturating_sub(since).as_secs_f64() / limit.max(1e-3);
        (base + (255.0 - base) * elapsed.clamp(0.0, 1.0)) as u8
    }

    /// Priority by length: each class has a range, within which shorter prompts go first too.
    fn base_priority(&self, waiting: &queue::Waiting) -> f64 {
        let policy = &self.conf.policy;
        let (high, low, from, to) = match waiting.class {
            run::Class::Short => (
                MAX_PRIORITY,
                run::Class::SHORT_PRIORITY,
                policy.short_tokens / LENGTH_SPAN,
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
                policy.long_tokens * LENGTH_SPAN,
            ),
        };
        let (from, to) = (from.max(1) as f64, to.max(1) as f64);
        let length = waiting.prompt_tokens.max(1) as f64;
        let part = (length / from).ln() / (to / from).ln().max(f64::MIN_POSITIVE);
        f64::from(high) - f64::from(high - low) * part.clamp(0.0, 1.0)
    }
}

/// Priority of all requests under the baseline policies.
const BASELINE_PRIORITY: u8 = 128;

/// Priorities of the shortest and the longest prompts.
const MAX_PRIORITY: u8 = 230;
const MIN_PRIORITY: u8 = 31;

/// The range of short prompts starts at the longest short prompt divided by this; that of long
/// prompts ends at the shortest long prompt times this.
const LENGTH_SPAN: u64 = 10;

/// Factor on the priority of workspaces over their share. It puts all their requests behind the
/// short and medium ones of others.
const OVER_SHARE_PRIORITY: f64 = 0.4;
