//! Chooses a backend server for each request, or queues it. A pure state machine.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs;

use crate::config;
use crate::entry::budget;
use crate::entry::estimate;
use crate::entry::fleet;
use crate::entry::job;
use crate::entry::prefix;
use crate::entry::queue;
use crate::entry::share;
use crate::entry::suspect;
use crate::wire::agree;
use crate::wire::id;
use crate::wire::member;
use crate::wire::outcome;
use crate::wire::run;

mod age;
mod dispatch;
mod gang;

/// Time between checks of leases, waiting requests and slow prefills.
pub const TICK_PERIOD: Duration = Duration::from_millis(250);

/// Retry budget, in percent of its requests, of a service that the configuration does not name.
const RETRY_PERCENT: u32 = 10;

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A backend server announced itself.
    Announce(Box<member::Announce>),
    /// A request is to be placed.
    Place(Box<job::Job>),
    /// The progress or failure of a request's attempt.
    Feedback(id::Request, job::Feedback),
    /// The request has ended; with the tokens used, if it ran to completion.
    Close(id::Request, Option<run::Usage>),
    /// Length of a segment of a prompt for this model, in bytes and in tokens.
    Learned(String, u64, u64),
    /// Time passed.
    Tick,
}

/// Output of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request was placed.
    Placed(id::Request, job::Placement),
    /// The request was rejected.
    Unplaced(id::Request, outcome::Failure),
}

/// A request that the router tracks, from its first [`Event::Place`] to its [`Event::Close`].
#[derive(Clone, Debug)]
struct Request {
    workspace: String,
    model: Option<String>,
    body_len: u64,
    max_tokens: u32,
    /// When it arrived.
    since: Duration,
    /// Fair-share tag; kept over retries, so that the workspace is charged once.
    tag: u64,
    /// Whether its last attempt was refused. The next one then takes nothing from the retry budget.
    refused: bool,
}

/// Counts for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Placements.
    pub placed: u64,
    /// Placements after an attempt that was lost or failed.
    pub retries: u64,
    /// Placements after an attempt that was refused.
    pub refusals: u64,
    /// Requests that were queued.
    pub waited: u64,
    /// Requests shed from the full queue.
    pub shed: u64,
    /// Prompt tokens placed.
    pub prompt_tokens: u64,
    /// Of these, tokens expected in a prefix cache.
    pub cached_tokens: u64,
}

/// Chooses backend servers.
pub struct Router {
    conf: Arc<config::Set>,
    zone: String,
    rng: rngs::SmallRng,
    started: Option<Duration>,
    fleet: fleet::Fleet,
    prefix: prefix::Prefix,
    estimate: estimate::Estimate,
    shares: share::Shares,
    suspects: suspect::Suspects,
    budgets: HashMap<String, budget::Budget>,
    requests: HashMap<id::Request, Request>,
    queue: queue::Queue,
    /// Servers held for waiting requests.
    holds: HashMap<id::Request, fleet::Index>,
    /// Requests that no engine can hold alone.
    gangs: HashMap<id::Request, gang::Gang>,
    /// When a long request last arrived here or was reported by a server.
    last_long: Option<Duration>,
    /// When a request was last queued. Shares are enforced only under contention.
    last_contention: Option<Duration>,
    /// Position of the next server under round-robin routing.
    turn: usize,
    tick_at: Duration,
    counts: Counts,
}

impl Router {
    /// A router for an entry in availability zone `zone`, without servers.
    pub fn new(seed: u64, zone: &str, conf: Arc<config::Set>) -> Self {
        Self {
            conf,
            zone: zone.to_owned(),
            rng: rngs::SmallRng::seed_from_u64(seed),
            started: None,
            fleet: fleet::Fleet::default(),
            prefix: prefix::Prefix::default(),
            estimate: estimate::Estimate::default(),
            shares: share::Shares::default(),
            suspects: suspect::Suspects::default(),
            budgets: HashMap::new(),
            requests: HashMap::new(),
            queue: queue::Queue::default(),
            holds: HashMap::new(),
            gangs: HashMap::new(),
            last_long: None,
            last_contention: None,
            turn: 0,
            tick_at: Duration::ZERO,
            counts: Counts::default(),
        }
    }

    /// Applies a configuration.
    pub fn configure(&mut self, conf: Arc<config::Set>) {
        self.shares.configure(&conf);
        self.budgets
            .retain(|service, _| conf.service.contains_key(service));
        self.conf = conf;
    }

    /// Replaces the list of suspects.
    pub fn set_suspects(&mut self, list: &[agree::Suspect]) {
        self.suspects.set(list);
    }

    /// Replaces the zones whose backend servers get no new work.
    pub fn set_evacuated(&mut self, zones: BTreeSet<String>) {
        self.fleet.set_evacuated(zones);
    }

    /// The backend servers.
    pub fn fleet(&self) -> &fleet::Fleet {
        &self.fleet
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Requests in the queue.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Requests waiting or placed, and not closed.
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }

    /// When `Tick` is due next.
    pub fn wake(&self) -> Duration {
        self.tick_at
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn step(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        self.started.get_or_insert(now);
        match event {
            Event::Announce(announce) => {
                self.announce(now, *announce);
                self.dispatch(now, actions);
            }
            Event::Place(job) => self.place(now, *job, actions),
            Event::Feedback(request, feedback) => {
                self.feedback(now, request, feedback);
                self.dispatch(now, actions);
            }
            Event::Close(request, usage) => {
                self.close(request, usage);
                self.dispatch(now, actions);
            }
            Event::Learned(model, bytes, tokens) => self.estimate.learn(&model, bytes, tokens),
            Event::Tick => {}
        }
        if now >= self.tick_at {
            self.tick_at = now + TICK_PERIOD;
            self.age(now, actions);
            self.dispatch(now, actions);
        }
    }

    fn announce(&mut self, now: Duration, announce: member::Announce) {
        let cache = announce.cache.clone();
        if announce.load.long > 0 {
            self.last_long = Some(now);
        }
        match self.fleet.announce(now, announce) {
            fleet::Change::Ignored => {}
            fleet::Change::Arrived(index) => {
                self.prefix.forget(index);
                self.prefix.update(index, &cache);
            }
            fleet::Change::Updated(index) => self.prefix.update(index, &cache),
        }
    }

    fn feedback(&mut self, now: Duration, request: id::Request, feedback: job::Feedback) {
        let Some(server) = self.fleet.attempt(request).map(|attempt| attempt.server) else {
            return;
        };
        match feedback {
            job::Feedback::Refused(_, load) => {
                self.fleet.remove_attempt(request);
                self.fleet.set_load(now, server, load);
                if let Some(known) = self.requests.get_mut(&request) {
                    known.refused = true;
                }
            }
            job::Feedback::FirstOutput => {
                self.fleet.first_output(now, request);
            }
            // The attempt counts as load until the request is placed again or ends.
            job::Feedback::Failed(_) | job::Feedback::Lost => {}
        }
        let Some(server) = self.fleet.server_mut(server) else {
            return;
        };
        match feedback {
            job::Feedback::Refused(outcome::Cause::Busy | outcome::Cause::Memory, _) => {
                server.breaker.refused(now);
            }
            job::Feedback::Refused(..) => {}
            job::Feedback::FirstOutput => server.breaker.succeeded(),
            job::Feedback::Failed(cause) if is_fault(cause) => server.breaker.failed(now),
            job::Feedback::Failed(_) => {}
            job::Feedback::Lost => server.breaker.failed(now),
        }
    }

    fn close(&mut self, request: id::Request, usage: Option<run::Usage>) {
        self.queue.remove(request);
        self.release_hold(request);
        self.release_gang(request);
        self.gangs.remove(&request);
        self.fleet.remove_attempt(request);
        let Some(known) = self.requests.remove(&request) else {
            return;
        };
        self.shares.close(&known.workspace);
        if let (Some(model), Some(usage)) = (&known.model, usage) {
            self.estimate
                .observe(model, known.body_len, known.max_tokens, usage);
        }
    }

    fn budget(&mut self, service: &str) -> &mut budget::Budget {
        self.budgets.entry(service.to_owned()).or_default()
    }

    /// Releases the server held for a request.
    fn release_hold(&mut self, request: id::Request) {
        let Some(index) = self.holds.remove(&request) else {
            return;
        };
        if let Some(server) = self.fleet.server_mut(index)
            && server.held_for.is_some_and(|(holder, _)| holder == request)
        {
            server.held_for = None;
        }
    }
}

/// Whether the breaker counts a failure against the backend server.
fn is_fault(cause: outcome::Cause) -> bool {
    matches!(
        cause,
        outcome::Cause::ServerLost | outcome::Cause::ServerError | outcome::Cause::Internal
    )
}
