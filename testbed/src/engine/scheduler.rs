//! The engine's batching: a state machine over its own time in microseconds, without I/O.
//!
//! Work goes in steps. A step decodes one token for each run in the batch that is past its prefill
//! and prefills at most `step_tokens` prompt tokens, by priority, then by arrival. It lasts
//! `token_micros` if it decodes anything, plus the prefilled tokens over `prefill_rate`. Tokens
//! come out at its end.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

use tokio::sync::watch;

use super::cache;
pub use super::work::Ask;
pub use super::work::Counts;
pub use super::work::End;
pub use super::work::Health;
pub use super::work::Kind;
pub use super::work::Progress;
pub use super::work::Refusal;
pub use super::work::State;
pub use super::work::Work;

/// How long a finished run's answer is kept, in microseconds.
pub const KEPT: u64 = 5_000_000;

const SECOND: u64 = 1_000_000;

/// Size and speed of the engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Places in the batch.
    pub slots: usize,
    /// Most work that waits for a place.
    pub queue: usize,
    /// KV memory in tokens.
    pub memory: u64,
    /// Tokens prefilled a second.
    pub prefill_rate: u64,
    /// Time of a decoding step.
    pub token_micros: u64,
    /// Most tokens prefilled in a step.
    pub step_tokens: u64,
    /// The prefix cache.
    pub cache: cache::Settings,
}

#[derive(Debug)]
struct Step {
    end: u64,
    decodes: Vec<u64>,
    /// Keys and tokens to prefill.
    prefills: Vec<(u64, u64)>,
}

/// The batching state machine.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    /// All work known, by order of arrival.
    works: BTreeMap<u64, Work>,
    /// Keys of `works` by id.
    keys: HashMap<String, u64>,
    /// Ids of runs seen in this life.
    seen: HashSet<String>,
    /// Waits for a place: highest priority first, then by arrival.
    queue: BTreeSet<(Reverse<u8>, u64)>,
    /// Has a place, in the same order; at most `slots`.
    batch: BTreeSet<(Reverse<u8>, u64)>,
    /// Deadlines, and for finished work when it is forgotten.
    timers: BTreeSet<(u64, u64)>,
    step: Option<Step>,
    /// Sum of the memory of all work; at most `settings.memory`.
    used: u64,
    next: u64,
    counts: Counts,
    cache: cache::Cache,
    /// Starts of prefill by prompt hash.
    starts: HashMap<u64, u64>,
    /// Hashes of the prompts that have begun since they were last taken.
    begun: Vec<u64>,
}

impl Scheduler {
    /// An idle engine.
    pub fn new(settings: Settings) -> Self {
        let cache = cache::Cache::new(settings.cache.clone());
        Self {
            settings,
            works: BTreeMap::new(),
            keys: HashMap::new(),
            seen: HashSet::new(),
            queue: BTreeSet::new(),
            batch: BTreeSet::new(),
            timers: BTreeSet::new(),
            step: None,
            used: 0,
            next: 0,
            counts: Counts::default(),
            cache,
            starts: HashMap::new(),
            begun: Vec::new(),
        }
    }

    /// Its size and speed.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Memory reserved, in tokens.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Work that has a place, and work that waits.
    pub fn load(&self) -> (usize, usize) {
        (self.batch.len(), self.queue.len())
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How often prompts with this hash have begun, and the most of any prompt.
    pub fn starts(&self, hash: u64) -> (u64, u64) {
        let most = self.starts.values().copied().max().unwrap_or(0);
        (self.starts.get(&hash).copied().unwrap_or(0), most)
    }

    /// Hashes of the prompts that have begun since this was last asked.
    pub fn begun(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.begun)
    }

    /// All work known, by order of arrival.
    pub fn works(&self) -> impl Iterator<Item = &Work> {
        self.works.values()
    }

    /// Work by its id or handle.
    pub fn find(&self, id: &str) -> Option<&Work> {
        self.works.get(self.keys.get(id)?)
    }

    /// The prefix cache.
    pub fn cache(&mut self) -> &mut cache::Cache {
        &mut self.cache
    }

    /// Admits work and reserves its memory.
    pub fn admit(&mut self, ask: Ask) -> Result<watch::Receiver<Progress>, Refusal> {
        if self.seen.contains(&ask.id) {
            self.counts.duplicates += 1;
            return Err(Refusal::Duplicate);
        }
        let memory = ask.memory();
        if self.used + memory > self.settings.memory {
            return Err(Refusal::Memory);
        }
        if self.batch.len() + self.queue.len() >= self.settings.slots + self.settings.queue {
            return Err(Refusal::Busy);
        }
        let key = self.next;
        self.next += 1;
        self.used += memory;
        self.seen.insert(ask.id.clone());
        self.keys.insert(ask.id.clone(), key);
        self.queue.insert((Reverse(ask.priority), key));
        self.timers.insert((ask.deadline, key));
        let (progress, watch) = watch::channel(Progress {
            state: State::Queued,
            length: ask.delivered,
            cached: 0,
        });
        let work = Work {
            ask,
            prefilled: 0,
            progress,
        };
        self.works.insert(key, work);
        Ok(watch)
    }

    /// Ends work and frees its memory; the length of its answer, or `None` if it is unknown.
    pub fn cancel(&mut self, now: u64, id: &str) -> Option<u64> {
        let key = *self.keys.get(id)?;
        self.end(now, key, End::Cancelled);
        Some(self.works.get(&key)?.progress().length)
    }

    /// Ends all segments of an owner; how many there were.
    pub fn release(&mut self, now: u64, owner: &str) -> usize {
        let keys: Vec<u64> = self
            .works
            .iter()
            .filter(|(_, work)| matches!(&work.ask.kind, Kind::Segment { owner: o } if o == owner))
            .filter(|(_, work)| !matches!(work.progress().state, State::Done(_)))
            .map(|(key, _)| *key)
            .collect();
        for key in &keys {
            self.end(now, *key, End::Cancelled);
        }
        keys.len()
    }

    /// When [`Self::advance`] has something to do next.
    pub fn wake(&self) -> Option<u64> {
        let step = self.step.as_ref().map(|step| step.end);
        let timer = self.timers.first().map(|(at, _)| *at);
        step.into_iter().chain(timer).min()
    }

    /// Does all that is due by `now`.
    pub fn advance(&mut self, now: u64) -> Health {
        loop {
            let step = self.step.as_ref().map_or(u64::MAX, |step| step.end);
            let timer = self.timers.first().map_or(u64::MAX, |(at, _)| *at);
            let due = step.min(timer);
            if due > now {
                break;
            }
            if timer <= step {
                self.fire();
            } else if let Some(step) = self.step.take() {
                self.finish(&step);
                if self.plan(step.end) == Health::Dead {
                    return Health::Dead;
                }
            }
        }
        if self.step.is_none() {
            return self.plan(now);
        }
        Health::Alive
    }

    /// Handles the first timer.
    fn fire(&mut self) {
        let Some((at, key)) = self.timers.pop_first() else {
            return;
        };
        let Some(work) = self.works.get(&key) else {
            return;
        };
        match work.progress().state {
            State::Done(_) => {
                if let Some(work) = self.works.remove(&key) {
                    self.keys.remove(&work.ask.id);
                }
            }
            // A segment that is ready is held until it is deleted.
            State::Held => {}
            _ => self.end(at, key, End::Deadline),
        }
    }

    /// Begins the next step, if there is work.
    fn plan(&mut self, now: u64) -> Health {
        while self.batch.len() < self.settings.slots {
            let Some(place) = self.queue.pop_first() else {
                break;
            };
            self.batch.insert(place);
            if self.begin(place.1) == Health::Dead {
                return Health::Dead;
            }
        }
        let mut budget = self.settings.step_tokens;
        let mut decodes = Vec::new();
        let mut prefills = Vec::new();
        for (_, key) in &self.batch {
            let work = &self.works[key];
            if work.progress().state == State::Decode {
                decodes.push(*key);
                continue;
            }
            let tokens = (work.ask.tokens - work.prefilled).min(budget);
            if tokens > 0 {
                prefills.push((*key, tokens));
                budget -= tokens;
            }
        }
        if decodes.is_empty() && prefills.is_empty() {
            return Health::Alive;
        }
        let decode = if decodes.is_empty() {
            0
        } else {
            self.settings.token_micros
        };
        let tokens = self.settings.step_tokens - budget;
        let prefill = tokens * SECOND / self.settings.prefill_rate.max(1);
        self.step = Some(Step {
            end: now + (decode + prefill).max(1),
            decodes,
            prefills,
        });
        Health::Alive
    }

    /// Work gets its place: what is cached counts as prefilled.
    fn begin(&mut self, key: u64) -> Health {
        let Some(work) = self.works.get_mut(&key) else {
            return Health::Alive;
        };
        if work.ask.kind == Kind::Run {
            self.counts.runs_started += 1;
            *self.starts.entry(work.ask.hash).or_insert(0) += 1;
            self.begun.push(work.ask.hash);
        }
        if work.ask.poison {
            return Health::Dead;
        }
        let held = self.cache.touch(&work.ask.blocks) as u64;
        // At least one token is prefilled, as the first answer token comes out of it.
        let cached = (held * cache::BLOCK_TOKENS).min(work.ask.tokens.saturating_sub(1));
        work.prefilled = cached;
        work.progress.send_modify(|progress| {
            progress.state = State::Prefill;
            progress.cached = cached;
        });
        self.counts.cached_tokens += cached;
        Health::Alive
    }

    /// Books what a step has done; work that ended within it is passed over.
    fn finish(&mut self, step: &Step) {
        for key in &step.decodes {
            self.generate(step.end, *key);
        }
        for (key, tokens) in &step.prefills {
            self.prefill(step.end, *key, *tokens);
        }
    }

    fn prefill(&mut self, now: u64, key: u64, tokens: u64) {
        let Some(work) = self.works.get_mut(&key) else {
            return;
        };
        if work.progress().state != State::Prefill {
            return;
        }
        let from = work.prefilled / cache::BLOCK_TOKENS;
        work.prefilled += tokens;
        self.counts.prompt_tokens += tokens;
        let till = (work.prefilled / cache::BLOCK_TOKENS).min(work.ask.blocks.len() as u64);
        for index in from..till {
            self.cache.insert(now, work.ask.blocks[index as usize]);
        }
        if work.prefilled < work.ask.tokens {
            return;
        }
        if work.ask.kind == Kind::Run {
            work.progress.send_modify(|p| p.state = State::Decode);
            self.generate(now, key);
        } else {
            work.progress.send_modify(|p| p.state = State::Held);
            self.batch.remove(&(Reverse(work.ask.priority), key));
        }
    }

    /// Adds a token to an answer.
    fn generate(&mut self, now: u64, key: u64) {
        let Some(work) = self.works.get(&key) else {
            return;
        };
        let progress = work.progress();
        if progress.state != State::Decode {
            return;
        }
        if progress.length < work.ask.max_tokens {
            work.progress.send_modify(|p| p.length += 1);
            self.counts.output_tokens += 1;
        }
        if work.progress().length >= work.ask.max_tokens {
            self.end(now, key, End::Length);
        }
    }

    /// Ends work that is not over yet, frees its memory and its place.
    fn end(&mut self, now: u64, key: u64, end: End) {
        let Some(work) = self.works.get(&key) else {
            return;
        };
        if matches!(work.progress().state, State::Done(_)) {
            return;
        }
        self.used -= work.ask.memory();
        work.progress.send_modify(|p| p.state = State::Done(end));
        let place = (Reverse(work.ask.priority), key);
        self.queue.remove(&place);
        self.batch.remove(&place);
        self.timers.remove(&(work.ask.deadline, key));
        self.timers.insert((now + KEPT, key));
        match end {
            End::Length => self.counts.runs_finished += 1,
            End::Cancelled => self.counts.cancelled += 1,
            End::Deadline => self.counts.expired += 1,
        }
    }
}
