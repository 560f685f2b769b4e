//! Placement of prompts that no engine can hold alone.

use std::time::Duration;

use super::Action;
use super::Router;
use crate::entry::fleet;
use crate::entry::gang::plan;
use crate::entry::job;
use crate::entry::queue;
use crate::sidecar::capacity;
use crate::wire::id;
use crate::wire::outcome;

/// Retry-after of a prompt that the engines present cannot hold together.
const MEMORY_RETRY_MS: u64 = 5_000;

/// A request that needs a gang.
#[derive(Clone, Debug, Default)]
pub(super) struct Gang {
    /// When its request arrived. Older gangs go first.
    since: Duration,
    /// Servers held for it while it waits for their memory.
    held: Vec<fleet::Index>,
    /// Whether its workspace was charged.
    charged: bool,
}

impl Router {
    /// Members for a prompt that no present engine can hold alone; `None`: it needs no gang.
    pub(super) fn gang(&mut self, now: Duration, waiting: &queue::Waiting) -> Option<Action> {
        let job = &waiting.job;
        let model = job.model.as_deref()?;
        let open = self.members(now, waiting);
        let largest = open.iter().map(|(_, c)| c).map(|c| c.memory).max()?;
        let is_guess = !self.estimate.knows(model);
        let tokens = self.estimate.prompt(model, job.body_len);
        let alone = tokens.saturating_add(u64::from(job.max_tokens));
        if alone <= self.single_memory(now, waiting) || (is_guess && open.len() < 2) {
            return None;
        }
        let candidates: Vec<plan::Candidate> = open.iter().map(|(_, c)| c.clone()).collect();
        let decision = plan::choose(&candidates, tokens, job.max_tokens, is_guess);
        self.release_gang(job.request);
        let plan = match decision {
            plan::Decision::Now(shares) if self.spend_retry(now, waiting) => {
                self.charge(now, waiting, tokens);
                plan::Plan::Members(shares)
            }
            plan::Decision::Now(_) => plan::Plan::Wait,
            plan::Decision::Later(servers) => {
                self.hold_all(now, waiting, &servers);
                plan::Plan::Wait
            }
            // Members that were lost may come back.
            plan::Decision::Never if job.retry => plan::Plan::Wait,
            plan::Decision::Never => {
                return Some(Self::too_large(job.request, tokens, largest));
            }
        };
        let place = job::Placement {
            target: candidates[0].target.clone(),
            prompt_tokens: tokens,
            class: waiting.class,
            priority: self.priority(now, waiting),
            gang: Some(plan),
        };
        Some(Action::Placed(job.request, place))
    }

    /// Memory of the largest engine. A request may fill it if nothing else runs there.
    fn single_memory(&self, now: Duration, waiting: &queue::Waiting) -> u64 {
        let list = self.fleet.service(&waiting.job.service).iter();
        let servers = list.filter_map(|&index| self.fleet.server(index));
        let open = servers.filter(|s| s.is_open(now) && s.serves(waiting.job.model.as_deref()));
        open.map(|s| s.announced.load.memory_tokens)
            .max()
            .unwrap_or(0)
    }

    /// The engines that could be members of the gang.
    fn members(
        &self,
        now: Duration,
        waiting: &queue::Waiting,
    ) -> Vec<(fleet::Index, plan::Candidate)> {
        let job = &waiting.job;
        let since = self.gangs.get(&job.request).map(|gang| gang.since);
        let since = since.unwrap_or(waiting.since);
        let list = self.fleet.service(&job.service).iter();
        let open = list.filter_map(|&index| {
            let server = self.fleet.server(index)?;
            if !server.is_open(now) || !server.serves(job.model.as_deref()) {
                return None;
            }
            let load = &server.announced.load;
            let memory = capacity::long_memory(load.memory_tokens);
            let is_held = self.gangs.iter().any(|(request, other)| {
                let age = (other.since, *request);
                age < (since, job.request) && other.held.contains(&index)
            });
            let is_usable = !is_held && server.busy() < load.slots && server.breaker.allows(now);
            let candidate = plan::Candidate {
                target: server.target(),
                memory,
                free: if is_usable {
                    memory.saturating_sub(server.used_tokens())
                } else {
                    0
                },
                ahead: server.ahead(now, waiting.class),
                avoid: job.avoid.contains(&server.announced.server)
                    || self
                        .suspects
                        .crashed(job.fingerprint, &server.announced.server),
            };
            Some((index, candidate))
        });
        open.collect()
    }

    fn too_large(request: id::Request, tokens: u64, largest: u64) -> Action {
        let capacity = largest.saturating_mul(plan::MAX_MEMBERS as u64);
        let failure = if tokens > capacity {
            outcome::Failure::not_run(
                outcome::Cause::TooLong,
                None,
                "the prompt is larger than the most engines that serve one can hold",
            )
        } else {
            outcome::Failure::not_run(
                outcome::Cause::Memory,
                Some(MEMORY_RETRY_MS),
                "the prompt is larger than all engines present can hold together",
            )
        };
        Action::Unplaced(request, failure)
    }

    fn charge(&mut self, now: Duration, waiting: &queue::Waiting, tokens: u64) {
        let gang = self.gang_of(waiting);
        let was_charged = std::mem::replace(&mut gang.charged, true);
        if !was_charged {
            let cost = tokens + waiting.output_tokens;
            let workspace = &waiting.job.workspace;
            self.shares.placed(now, workspace, waiting.tag, cost);
            self.counts.prompt_tokens += tokens;
        }
        self.counts.placed += 1;
        self.counts.retries += u64::from(waiting.needs_retry_budget);
    }

    fn gang_of(&mut self, waiting: &queue::Waiting) -> &mut Gang {
        let gang = self.gangs.entry(waiting.job.request);
        gang.or_insert_with(|| Gang {
            since: waiting.since,
            ..Gang::default()
        })
    }

    /// Holds servers for a gang until their memory is free. They take no other medium or long
    /// requests.
    fn hold_all(&mut self, now: Duration, waiting: &queue::Waiting, servers: &[String]) {
        let request = waiting.job.request;
        let indices: Vec<fleet::Index> = servers
            .iter()
            .filter_map(|name| self.fleet.index(name))
            .collect();
        for &index in &indices {
            if let Some(server) = self.fleet.server_mut(index)
                && server.held_for.is_none()
            {
                server.held_for = Some((request, now));
            }
        }
        self.gang_of(waiting).held = indices;
    }

    /// Releases the servers held for a gang.
    pub(super) fn release_gang(&mut self, request: id::Request) {
        let Some(gang) = self.gangs.get_mut(&request) else {
            return;
        };
        for index in std::mem::take(&mut gang.held) {
            if let Some(server) = self.fleet.server_mut(index)
                && server.held_for.is_some_and(|(holder, _)| holder == request)
            {
                server.held_for = None;
            }
        }
    }
}
