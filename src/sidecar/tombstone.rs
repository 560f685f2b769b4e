//! Attempts that are over and must never start: rejected, withdrawn or finished.
//!
//! Memory is bounded and no tombstone is evicted before its TTL: when the set is full, the ledger
//! admits no attempt that would need one.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::wire::id;
use crate::wire::outcome;

/// Lifetime of a tombstone, counted only while this process runs. Longer than
/// [`super::ledger::MAX_TIME_LIMIT`], so no frame of an attempt outlives its tombstone.
pub const TTL: Duration = Duration::from_secs(2 * 60 * 60);

/// Most tombstones, attempts in progress included. About 80 bytes each.
pub const CAPACITY: usize = 1 << 18;

/// Longest clock step that is counted in full. After a freeze, frames as old as the freeze may
/// still be queued, so the frozen time must not age the tombstones.
const MAX_STEP: Duration = Duration::from_secs(1);

/// Tombstones by attempt.
#[derive(Clone, Debug)]
pub struct Tombstones {
    outcomes: HashMap<id::Attempt, outcome::Ran>,
    /// When each expires, in running time. Invariant: ascending, one for each key of `outcomes`.
    expiries: VecDeque<(Duration, id::Attempt)>,
    capacity: usize,
    running_time: Duration,
    last_tick: Duration,
}

impl Tombstones {
    /// An empty set of at most `capacity` tombstones.
    pub fn new(capacity: usize) -> Self {
        Self {
            outcomes: HashMap::new(),
            expiries: VecDeque::new(),
            capacity,
            running_time: Duration::ZERO,
            last_tick: Duration::ZERO,
        }
    }

    /// Whether there is room for one more beside `reserved` attempts in progress.
    pub fn has_capacity(&self, reserved: usize) -> bool {
        self.outcomes.len() + reserved < self.capacity
    }

    /// How an attempt ended, if it has a tombstone.
    pub fn outcome(&self, attempt: id::Attempt) -> Option<outcome::Ran> {
        self.outcomes.get(&attempt).copied()
    }

    /// Records how an attempt ended. The first outcome is kept.
    pub fn insert(&mut self, attempt: id::Attempt, ran: outcome::Ran) {
        if self.outcomes.contains_key(&attempt) {
            return;
        }
        self.outcomes.insert(attempt, ran);
        self.expiries.push_back((self.running_time + TTL, attempt));
    }

    /// Advances the clock and drops expired tombstones.
    pub fn tick(&mut self, now: Duration) {
        self.running_time += now.saturating_sub(self.last_tick).min(MAX_STEP);
        self.last_tick = self.last_tick.max(now);
        while let Some((until, attempt)) = self.expiries.front().copied() {
            if until > self.running_time {
                return;
            }
            self.expiries.pop_front();
            self.outcomes.remove(&attempt);
        }
    }

    pub fn len(&self) -> usize {
        self.outcomes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.outcomes.is_empty()
    }
}
