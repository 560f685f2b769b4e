//! What changes with time alone: leases end, waiting requests become urgent or hopeless.

use std::time::Duration;

use super::Action;
use super::Router;
use crate::config;
use crate::entry::fleet;
use crate::entry::queue;
use crate::wire::id;
use crate::wire::outcome;
use crate::wire::run;

/// How long a request waits before a server is held for it.
pub const HOLD_AFTER: Duration = Duration::from_millis(2_000);

/// One server in so many of a service may be held at a time, and always one.
const HELD: usize = 8;

/// A prefill that takes this many times its own length is slow: nothing more is put before it.
const SLOW: f64 = 4.0;

/// Shorter than this no prefill counts as slow.
const MIN_SLOW: Duration = Duration::from_millis(2_000);

impl Router {
    pub(super) fn age(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for index in self.fleet.expire(now) {
            self.prefix.forget(index);
        }
        self.refuse_late(now, actions);
        if self.conf.policy.routing == config::Routing::Predicted {
            self.hold(now);
            self.fleet.protect(now, SLOW, MIN_SLOW);
        }
    }

    /// Refuses what cannot have its answer in time any more: better now than at its limit.
    fn refuse_late(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let late: Vec<(id::Request, outcome::Failure)> = self
            .queue
            .iter()
            .filter_map(|waiting| Some((waiting.job.request, self.hopeless(now, waiting)?)))
            .collect();
        for (request, failure) in late {
            self.drop_waiting(request, failure, actions);
        }
    }

    fn hopeless(&self, now: Duration, waiting: &queue::Waiting) -> Option<outcome::Failure> {
        let rates = self.fleet.service(&waiting.job.service).iter();
        let fastest = rates
            .filter_map(|&index| Some(self.fleet.server(index)?.rate()))
            .max()?;
        let prefill = Duration::from_secs_f64(waiting.prompt_tokens as f64 / fastest as f64);
        (now + prefill > waiting.job.deadline).then(|| {
            outcome::Failure::not_run(
                outcome::Cause::Deadline,
                Some(super::PERIOD.as_millis() as u64 * 4),
                "the time limit cannot be met",
            )
        })
    }

    /// Holds servers for the requests that wait longest, so that those who need much memory get
    /// it in the end.
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
            let over = self
                .queue
                .get(request)
                .map(|waiting| waiting.job.workspace.clone());
            if over.is_some_and(|workspace| self.shares.is_over(now, &workspace)) {
                continue;
            }
            let Some(index) = self.holdable(now, request) else {
                continue;
            };
            if let Some(server) = self.fleet.server_mut(index) {
                server.held_for = Some((request, now));
                self.holds.insert(request, index);
            }
        }
    }

    /// The server that will soonest have room for a request, unless enough are held.
    fn holdable(&self, now: Duration, request: id::Request) -> Option<fleet::Index> {
        let waiting = self.queue.get(request)?;
        let list = self.fleet.service(&waiting.job.service);
        let servers = list.iter().filter_map(|&index| {
            let server = self.fleet.server(index)?;
            Some((index, server))
        });
        let held = servers
            .clone()
            .filter(|(_, server)| server.held_for.is_some());
        if held.count() > list.len() / HELD {
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
