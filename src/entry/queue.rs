//! Requests that wait at an entry for capacity on a backend server.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::entry::job;
use crate::wire::id;
use crate::wire::run;

/// Most requests that wait at an entry.
pub const MAX_WAITING: usize = 8_192;

/// A waiting request, with the router's estimates.
#[derive(Clone, Debug)]
pub struct Waiting {
    pub job: job::Job,
    /// When it started to wait; the time of its arrival if it is placed at once.
    pub since: Duration,
    /// Estimated length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Estimated length of the response in tokens.
    pub output_tokens: u64,
    /// Class of length.
    pub class: run::Class,
    /// Fair-share tag; the lowest is placed first.
    pub tag: u64,
    /// Whether its placement takes a retry from the retry budget.
    pub needs_retry_budget: bool,
}

impl Waiting {
    /// Estimated tokens that its workspace is charged.
    pub fn cost(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }

    /// Most memory that it may use, in tokens.
    pub fn memory(&self) -> u64 {
        self.prompt_tokens + u64::from(self.job.max_tokens)
    }
}

/// What a request requires of a backend server. Requests with the same requirements are queued
/// together, since each server that suits one of them suits all.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Pool {
    /// Name of the service.
    pub service: String,
    /// Name of the model.
    pub model: Option<String>,
}

impl Pool {
    /// The pool of a job's requirements.
    pub fn of(job: &job::Job) -> Self {
        Self {
            service: job.service.clone(),
            model: job.model.clone(),
        }
    }
}

/// Position in a lane: fair-share tag, then order of arrival.
type Key = (u64, u64);

/// Requests of one pool and class.
type Lane = BTreeMap<Key, Waiting>;

/// The requests that wait.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<(Pool, run::Class), Lane>,
    positions: HashMap<id::Request, ((Pool, run::Class), Key)>,
    next_number: u64,
}

impl Queue {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Whether any request of this pool and class waits.
    pub fn has(&self, pool: &Pool, class: run::Class) -> bool {
        self.lanes.contains_key(&(pool.clone(), class))
    }

    /// Prompt tokens of the requests that precede one of this pool, class and tag.
    pub fn ahead(&self, pool: &Pool, class: run::Class, tag: u64) -> u64 {
        let first = (pool.clone(), run::Class::Short);
        let last = (pool.clone(), class);
        let lanes = self.lanes.range(first..=last);
        let before = lanes.flat_map(|(_, lane)| lane.range(..(tag, 0)));
        before.map(|(_, waiting)| waiting.prompt_tokens).sum()
    }

    pub fn push(&mut self, waiting: Waiting) {
        let lane = (Pool::of(&waiting.job), waiting.class);
        let key = (waiting.tag, self.next_number);
        self.next_number += 1;
        self.positions
            .insert(waiting.job.request, (lane.clone(), key));
        self.lanes.entry(lane).or_default().insert(key, waiting);
    }

    pub fn remove(&mut self, request: id::Request) -> Option<Waiting> {
        let (name, key) = self.positions.remove(&request)?;
        let lane = self.lanes.get_mut(&name)?;
        let waiting = lane.remove(&key)?;
        if lane.is_empty() {
            self.lanes.remove(&name);
        }
        Some(waiting)
    }

    /// Pools and classes of the waiting requests.
    pub fn lanes(&self) -> Vec<(Pool, run::Class)> {
        self.lanes.keys().cloned().collect()
    }

    /// The first `count` requests of a lane, by tag.
    pub fn first(&self, lane: &(Pool, run::Class), count: usize) -> Vec<id::Request> {
        self.lanes.get(lane).map_or_else(Vec::new, |lane| {
            let first = lane.values().take(count);
            first.map(|waiting| waiting.job.request).collect()
        })
    }

    /// A waiting request.
    pub fn get(&self, request: id::Request) -> Option<&Waiting> {
        let (lane, key) = self.positions.get(&request)?;
        self.lanes.get(lane)?.get(key)
    }

    /// Lowest tag of the waiting requests.
    pub fn first_tag(&self) -> Option<u64> {
        let firsts = self.lanes.values();
        firsts
            .filter_map(|lane| Some(lane.first_key_value()?.0.0))
            .min()
    }

    /// The request to shed first: the latest with the highest tag, whose workspace is furthest over
    /// its share.
    pub fn shed_candidate(&self) -> Option<id::Request> {
        let lasts = self.lanes.values();
        let lasts = lasts.filter_map(|lane| lane.last_key_value());
        let (_, waiting) = lasts.max_by_key(|(key, _)| **key)?;
        Some(waiting.job.request)
    }

    /// All waiting requests, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.lanes.values().flat_map(|lane| lane.values())
    }
}
