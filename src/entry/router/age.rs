//! Periodic work: ends leases, rejects waiting requests that are too late, holds servers for old
//! ones.

use std::time::Duration;

use super::Action;
use super::Router;
use crate::config;
use crate::entry::fleet;
use crate::entry::queue;
use crate::wire::id;
use crate::wire::outcome;
use crate::wire::run;

/// How long a medium or long request waits before a server is held for it.
pub const HOLD_AFTER: Duration = Duration::from_millis(2_000);

/// One server in this many of a service may be held at a time, and one more.
const SERVERS_PER_HOLD: usize = 8;

/// A prefill is slow when it takes this many times its predicted duration. Its server gets no
/// other work that would delay it.
const SLOW_FACTOR: f64 = 4.0;

/// A prefill is never slow before this time.
const MIN_SLOW_PREFILL: Duration = Duration::from_millis(2_000);

impl Router {
    pub(super) fn age(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for index in self.fleet.expire(now) {
            self.prefix.forget(index);
        }
        self.reject_late(now, actions);
        if self.conf.policy.routing == config::Routing::Predicted {
            self.hold(now);
            self.fleet.protect(now, SLOW_FACTOR, MIN_SLOW_PREFILL);
        }
    }

    /// Rejects waiting requests that can no longer meet their deadline, so that their callers need
    /// not wait for it.
    fn reject_late(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let late: Vec<(id::Request, outcome::Failure)> = self
            .queue
            .iter()
            .filter_map(|waiting| Some((waiting.job.request, self.missed_deadline(now, waiting)?)))
            .collect();
        for (request, failure) in late {
            self.reject_waiting(request, failure, actions);
        }
    }

    fn missed_deadline(&self, now: Duration, waiting: &queue::Waiting) -> Option<outcome::Failure> {
        let rates = self.fleet.service(&waiting.job.service).iter();
        let fastest = rates
            .filter_map(|&index| Some(self.fleet.server(index)?.rate()))
            .max()?;
        let prefill = Duration::from_secs_f64(waiting.prompt_tokens as f64 / fastest as f64);
        (now + prefill > waiting.job.deadline).then(|| {
            outcome::Failure::not_run(
                outcome::Cause::Deadline,
                Some(super::TICK_PERIOD.as_millis() as u64 * 4),
                "the time limit cannot be met",
            )
        })
    }

    /// Holds servers for the requests that have waited longest. Otherwise smaller requests could
    /// keep taking the memory that a large one needs.
    fn hold(&mut self, now: Duration) {
        let mut aged: Vec<(Duration, id::Request)> = self
            .queue
            .iter()
            .filter(|waiting| {
                waiting.class != run::Class::Short && now >= waiting.since + HOLD_AFTER
            })
            .filter(|waiting| !self.holds.contains_key(&waiting.job.request))
            .map(|waiting| (waiting.since, waiting.job.request))
            .collect();
        aged.sort_unstable();
        for (_, request) in aged {
            let workspace = self
                .queue
                .get(request)
                .map(|waiting| waiting.job.workspace.clone());
            if workspace.is_some_and(|workspace| self.shares.is_over(now, &workspace)) {
                continue;
            }
            let Some(index) = self.choose_hold(now, request) else {
                continue;
            };
            if let Some(server) = self.fleet.server_mut(index) {
                server.held_for = Some((request, now));
                self.holds.insert(request, index);
            }
        }
    }

    /// The server expected to have capacity for a request first. `None`: none suits, or too many
    /// are held already.
    fn choose_hold(&self, now: Duration, request: id::Request) -> Option<fleet::Index> {
        let waiting = self.queue.get(request)?;
        let list = self.fleet.service(&waiting.job.service);
        let servers = list.iter().filter_map(|&index| {
            let server = self.fleet.server(index)?;
            Some((index, server))
        });
        let held = servers
            .clone()
            .filter(|(_, server)| server.held_for.is_some());
        if held.count() > list.len() / SERVERS_PER_HOLD {
            return None;
        }
        servers
            .filter(|(_, server)| server.held_for.is_none() && server.is_open(now))
            .filter(|(_, server)| server.serves(waiting.job.model.as_deref()))
            .filter(|(_, server)| waiting.memory() <= server.announced.load.memory_tokens)
            .min_by_key(|(_, server)| (server.has_long(), server.used_tokens()))
            .map(|(index, _)| index)
    }
}
