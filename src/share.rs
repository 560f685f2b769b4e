//! Weighted fair shares of workspaces, by start-time fair queuing over estimated tokens, and by
//! their mean use.

use std::collections::HashMap;
use std::time::Duration;

use crate::config;

/// Most workspaces remembered. Idle ones are evicted first.
pub const MAX_WORKSPACES: usize = 16_384;

/// Virtual cost of a token for a workspace with weight 1.
const TOKEN_COST: u64 = 1_000;

/// How far a workspace's virtual time may run ahead of the common one. It bounds how long a
/// workspace pays for what it used while the entry was idle.
const MAX_LEAD: u64 = 2_000_000 * TOKEN_COST;

/// Time constant of the mean use. It is long enough that a single large request does not put a
/// small workspace over its share.
const MEAN_TIME: Duration = Duration::from_secs(20);

/// A workspace counts as over its share when it uses more than this many times the share.
const OVER_SHARE_FACTOR: f64 = 2.0;

/// Mean use, in tokens a second, below which a workspace does not count as active.
const MIN_ACTIVE_RATE: f64 = 1.0;

/// An exponentially decaying mean rate.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    value: f64,
    at: Duration,
}

impl Rate {
    fn get(&self, now: Duration, mean_time: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.value * (-age / mean_time.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Duration, mean_time: Duration, amount: f64) {
        self.value = self.get(now, mean_time) + amount / mean_time.as_secs_f64();
        self.at = now;
    }
}

#[derive(Clone, Debug)]
struct Workspace {
    weight: u32,
    max_in_progress: u32,
    in_progress: u32,
    /// Virtual finish time of its work so far.
    finish: u64,
    used: Rate,
}

/// The workspaces' use of this entry.
#[derive(Clone, Debug)]
pub struct Shares {
    workspaces: HashMap<String, Workspace>,
    /// Time constant of the mean use. Invariant: not 0.
    mean_time: Duration,
    /// Virtual time: the highest start tag of placed work. Invariant: never decreases.
    virtual_now: u64,
    used: Rate,
    /// Sum of the weights of recently active workspaces, as of `counted_at`.
    active_weight: u64,
    counted_at: Option<Duration>,
}

impl Default for Shares {
    fn default() -> Self {
        Self::new(MEAN_TIME)
    }
}

impl Shares {
    /// Shares by the mean use with this time constant, at least a millisecond.
    pub fn new(mean_time: Duration) -> Self {
        Self {
            workspaces: HashMap::new(),
            mean_time: mean_time.max(Duration::from_millis(1)),
            virtual_now: 0,
            used: Rate::default(),
            active_weight: 0,
            counted_at: None,
        }
    }

    /// Applies the weights and limits of a configuration.
    pub fn configure(&mut self, conf: &config::Set) {
        for (name, state) in &mut self.workspaces {
            let (weight, limit) = weight_and_limit(conf, name);
            state.weight = weight;
            state.max_in_progress = limit;
        }
    }

    /// Counts a new request of `workspace`. `false`: the workspace is at its limit.
    pub fn open(&mut self, conf: &config::Set, workspace: &str) -> bool {
        if !self.workspaces.contains_key(workspace) {
            self.evict();
            let (weight, max_in_progress) = weight_and_limit(conf, workspace);
            self.insert(workspace, weight, max_in_progress);
        }
        let Some(state) = self.workspaces.get_mut(workspace) else {
            return false;
        };
        if state.in_progress >= state.max_in_progress {
            return false;
        }
        state.in_progress += 1;
        true
    }

    fn insert(&mut self, workspace: &str, weight: u32, max_in_progress: u32) {
        let state = Workspace {
            weight,
            max_in_progress,
            in_progress: 0,
            finish: 0,
            used: Rate::default(),
        };
        self.workspaces.insert(workspace.to_owned(), state);
    }

    /// Records use by a workspace of weight 1 without a limit, of which only the use is counted.
    pub fn charge(&mut self, now: Duration, workspace: &str, cost: u64) {
        if !self.workspaces.contains_key(workspace) {
            if self.workspaces.len() >= MAX_WORKSPACES {
                let mean_time = self.mean_time;
                self.workspaces
                    .retain(|_, state| state.used.get(now, mean_time) >= MIN_ACTIVE_RATE);
            }
            if self.workspaces.len() < MAX_WORKSPACES {
                self.insert(workspace, 1, u32::MAX);
            }
        }
        self.placed(now, workspace, 0, cost);
    }

    /// Counts the end of a request.
    pub fn close(&mut self, workspace: &str) {
        if let Some(state) = self.workspaces.get_mut(workspace) {
            state.in_progress = state.in_progress.saturating_sub(1);
        }
    }

    /// Start tag of work that costs `tokens`. Waiting work is placed in ascending order of tags.
    pub fn tag(&mut self, workspace: &str, tokens: u64) -> u64 {
        let now = self.virtual_now;
        let Some(state) = self.workspaces.get_mut(workspace) else {
            return now;
        };
        let start = state.finish.clamp(now, now + MAX_LEAD);
        state.finish = start + tokens * TOKEN_COST / u64::from(state.weight);
        start
    }

    /// Records that work with this tag was placed.
    pub fn placed(&mut self, now: Duration, workspace: &str, tag: u64, tokens: u64) {
        self.virtual_now = self.virtual_now.max(tag);
        self.used.add(now, self.mean_time, tokens as f64);
        if let Some(state) = self.workspaces.get_mut(workspace) {
            state.used.add(now, self.mean_time, tokens as f64);
        }
    }

    /// Whether a workspace recently used more than its share among the active ones.
    pub fn is_over(&mut self, now: Duration, workspace: &str) -> bool {
        self.sum_active(now);
        let Some(state) = self.workspaces.get(workspace) else {
            return false;
        };
        let weight = u64::from(state.weight);
        let total = self.used.get(now, self.mean_time);
        if self.active_weight <= weight || total < MIN_ACTIVE_RATE {
            return false;
        }
        let fair = total * weight as f64 / self.active_weight as f64;
        state.used.get(now, self.mean_time) > OVER_SHARE_FACTOR * fair
    }

    /// Sums the weights of active workspaces, at most once a second.
    fn sum_active(&mut self, now: Duration) {
        let is_recent = |at: Duration| now < at + Duration::from_secs(1);
        if self.counted_at.is_some_and(is_recent) {
            return;
        }
        self.counted_at = Some(now);
        self.active_weight = self
            .workspaces
            .values()
            .filter(|state| state.used.get(now, self.mean_time) >= MIN_ACTIVE_RATE)
            .map(|state| u64::from(state.weight))
            .sum();
    }

    /// Workspaces remembered.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    /// Evicts idle workspaces if the table is full.
    fn evict(&mut self) {
        if self.workspaces.len() < MAX_WORKSPACES {
            return;
        }
        let now = self.virtual_now;
        self.workspaces
            .retain(|_, state| state.in_progress > 0 || state.finish > now);
        if self.workspaces.len() < MAX_WORKSPACES {
            return;
        }
        self.workspaces.retain(|_, state| state.in_progress > 0);
    }
}

/// Weight and limit of a workspace.
fn weight_and_limit(conf: &config::Set, workspace: &str) -> (u32, u32) {
    match conf.workspace.get(workspace) {
        Some(found) => (found.share.max(1), found.max_in_progress),
        None => (1, u32::MAX),
    }
}
