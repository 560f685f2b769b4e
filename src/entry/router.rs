//! Chooses a backend server for each request, or has it wait. A pure state machine.

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

/// Time between two looks at what has aged: leases, waiting requests, slow prefills.
pub const PERIOD: Duration = Duration::from_millis(250);

/// Retries in percent of a service that the configuration does not name.
const RETRY_PERCENT: u32 = 10;

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A backend server announced itself.
    Announce(Box<member::Announce>),
    /// A request wants a place.
    Place(Box<job::Job>),
    /// What became of the attempt of a request.
    Feedback(id::Request, job::Feedback),
    /// The request has its final answer, and what it cost, if it ran to its end.
    Close(id::Request, Option<run::Usage>),
    /// A part of a model's prompt, in bytes and in tokens.
    Learned(String, u64, u64),
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request has a place.
    Placed(id::Request, job::Placement),
    /// The request gets no place.
    Unplaced(id::Request, outcome::Failure),
}

/// A request that the router knows, from its first wish for a place to its end.
#[derive(Clone, Debug)]
struct Open {
    workspace: String,
    model: Option<String>,
    body_len: u64,
    max_tokens: u32,
    /// Since when it wants its first place.
    since: Duration,
    /// Fair-share tag; kept over retries, so that they are not paid for twice.
    tag: u64,
    /// Whether its last attempt was refused: the next costs no retry.
    refused: bool,
}

/// Counts for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Places given.
    pub placed: u64,
    /// Of these, after an attempt that was lost or failed.
    pub retries: u64,
    /// Of these, after an attempt that was refused.
    pub refusals: u64,
    /// Requests that had to wait for a place.
    pub waited: u64,
    /// Requests shed from the full queue.
    pub shed: u64,
    /// Prompt tokens placed, and of these those expected in a prefix cache.
    pub prompt_tokens: u64,
    /// Prompt tokens expected in a prefix cache.
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
    open: HashMap<id::Request, Open>,
    queue: queue::Queue,
    /// Servers held for a request that waits.
    holds: HashMap<id::Request, fleet::Index>,
    /// Requests that no engine can hold alone.
    gangs: HashMap<id::Request, gang::Gang>,
    /// When a long request came last, here or by a server's report.
    long: Option<Duration>,
    /// When a request last had to wait: shares count while there is contention.
    contended: Option<Duration>,
    /// Turn of the round-robin baseline.
    turn: usize,
    due: Duration,
    counts: Counts,
}

impl Router {
    /// A router of an entry in `zone` that knows of no server yet.
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
            open: HashMap::new(),
            queue: queue::Queue::default(),
            holds: HashMap::new(),
            gangs: HashMap::new(),
            long: None,
            contended: None,
            turn: 0,
            due: Duration::ZERO,
            counts: Counts::default(),
        }
    }

    /// Takes a configuration.
    pub fn configure(&mut self, conf: Arc<config::Set>) {
        self.shares.configure(&conf);
        self.budgets
            .retain(|service, _| conf.service.contains_key(service));
        self.conf = conf;
    }

    /// Takes the suspects in force.
    pub fn set_suspects(&mut self, list: &[agree::Suspect]) {
        self.suspects.set(list);
    }

    /// The backend servers known.
    pub fn fleet(&self) -> &fleet::Fleet {
        &self.fleet
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Requests that wait for a place.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Requests known: waiting or placed, and not closed.
    pub fn in_progress(&self) -> usize {
        self.open.len()
    }

    /// When `Tick` is due next.
    pub fn wake(&self) -> Duration {
        self.due
    }

    /// Takes an event; what to do is put at the end of `actions`.
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
        if now >= self.due {
            self.due = now + PERIOD;
            self.age(now, actions);
            self.dispatch(now, actions);
        }
    }

    fn announce(&mut self, now: Duration, announce: member::Announce) {
        let cache = announce.cache.clone();
        if announce.load.long > 0 {
            self.long = Some(now);
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
                if let Some(open) = self.open.get_mut(&request) {
                    open.refused = true;
                }
            }
            job::Feedback::FirstOutput => {
                self.fleet.first_output(now, request);
            }
            // The attempt counts until the request gets its next place or ends.
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
        let Some(open) = self.open.remove(&request) else {
            return;
        };
        self.shares.close(&open.workspace);
        if let (Some(model), Some(usage)) = (&open.model, usage) {
            self.estimate
                .observe(model, open.body_len, open.max_tokens, usage);
        }
    }

    fn budget(&mut self, service: &str) -> &mut budget::Budget {
        self.budgets.entry(service.to_owned()).or_default()
    }

    /// Lets go of the server held for a request.
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

/// Whether a failure speaks against the backend server.
fn is_fault(cause: outcome::Cause) -> bool {
    matches!(
        cause,
        outcome::Cause::ServerLost | outcome::Cause::ServerError | outcome::Cause::Internal
    )
}
