//! Requests that wait at an entry for capacity on a backend server.

use std::time::Duration;

use crate::entry::job;
use crate::queue;
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

impl queue::Item for Waiting {
    type Id = id::Request;
    type Lane = (Pool, run::Class);
    type Order = u64;

    fn id(&self) -> id::Request {
        self.job.request
    }

    fn lane(&self) -> (Pool, run::Class) {
        (Pool::of(&self.job), self.class)
    }

    fn order(&self) -> u64 {
        self.tag
    }

    /// The bodies are held by the connections and bounded there.
    fn bytes(&self) -> usize {
        0
    }
}

/// The requests that wait.
#[derive(Clone, Debug)]
pub struct Queue(queue::Queue<Waiting>);

impl Default for Queue {
    fn default() -> Self {
        Self(queue::Queue::new(queue::Bounds {
            requests: MAX_WAITING,
            bytes: usize::MAX,
        }))
    }
}

impl Queue {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether more wait than [`MAX_WAITING`].
    pub fn is_over(&self) -> bool {
        self.0.is_over()
    }

    /// Whether any request of this pool and class waits.
    pub fn has(&self, pool: &Pool, class: run::Class) -> bool {
        self.0.has(&(pool.clone(), class))
    }

    /// Prompt tokens of the requests that precede one of this pool, class and tag.
    pub fn ahead(&self, pool: &Pool, class: run::Class, tag: u64) -> u64 {
        let first = (pool.clone(), run::Class::Short);
        let last = (pool.clone(), class);
        let before = self.0.before(first, last, tag);
        before.map(|waiting| waiting.prompt_tokens).sum()
    }

    pub fn push(&mut self, waiting: Waiting) {
        self.0.push(waiting);
    }

    pub fn remove(&mut self, request: id::Request) -> Option<Waiting> {
        self.0.remove(request)
    }

    /// Pools and classes of the waiting requests.
    pub fn lanes(&self) -> Vec<(Pool, run::Class)> {
        self.0.lanes().cloned().collect()
    }

    /// The first `count` requests of a lane, by tag.
    pub fn first(&self, lane: &(Pool, run::Class), count: usize) -> Vec<id::Request> {
        let first = self.0.lane(lane).take(count);
        first.map(|waiting| waiting.job.request).collect()
    }

    /// A waiting request.
    pub fn get(&self, request: id::Request) -> Option<&Waiting> {
        self.0.get(request)
    }

    /// Lowest tag of the waiting requests.
    pub fn first_tag(&self) -> Option<u64> {
        self.0.firsts().map(|waiting| waiting.tag).min()
    }

    /// The request to shed first: the latest with the highest tag, whose workspace is furthest over
    /// its share.
    pub fn shed_candidate(&self) -> Option<id::Request> {
        self.0.last().map(|waiting| waiting.job.request)
    }

    /// All waiting requests, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.0.iter()
    }
}
