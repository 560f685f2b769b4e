//! The prefix cache: hashes of prompt blocks, the least recently used dropped first, and the late
//! and gapped events that tell of them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;

use crate::token;

/// Bytes of prompt in a block.
pub const BLOCK: usize = 4096;
/// Tokens in a block.
pub const BLOCK_TOKENS: u64 = (BLOCK / token::BYTES) as u64;
/// Events kept for those who ask.
const KEPT: usize = 1 << 15;

/// How the cache behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Most tokens held.
    pub tokens: u64,
    /// Time until an event is told, in microseconds.
    pub delay: u64,
    /// Part of the answers that skip some events, 0 to 1.
    pub gaps: f64,
    /// Seed of the gaps.
    pub seed: u64,
}

/// Answer to `GET /v1/cache`.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub struct Events {
    /// Number of the first event told; above the number asked for after a gap.
    pub first: u64,
    /// Number to ask for next.
    pub next: u64,
    /// Blocks that came and are held.
    pub held: Vec<u64>,
    /// Blocks that were dropped and are not held.
    pub dropped: Vec<u64>,
}

#[derive(Debug)]
struct Event {
    at: u64,
    hash: u64,
    held: bool,
}

/// The prefix cache.
#[derive(Debug)]
pub struct Cache {
    settings: Settings,
    /// Stamp of last use by hash; the inverse of `order`.
    stamps: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
    events: VecDeque<Event>,
    /// Number of the first event in `events`.
    first: u64,
    rng: StdRng,
}

impl Cache {
    /// An empty cache.
    pub fn new(settings: Settings) -> Self {
        let rng = StdRng::seed_from_u64(settings.seed);
        Self {
            settings,
            stamps: HashMap::new(),
            order: BTreeMap::new(),
            clock: 0,
            events: VecDeque::new(),
            first: 0,
            rng,
        }
    }

    /// How many leading blocks are held; they count as used now.
    pub fn touch(&mut self, blocks: &[u64]) -> usize {
        let held = blocks
            .iter()
            .take_while(|hash| self.stamps.contains_key(hash))
            .count();
        // The end of a prefix is stamped first, so that it is dropped first.
        for hash in blocks[..held].iter().rev() {
            self.stamp(*hash);
        }
        held
    }

    /// Holds a block from now on.
    pub fn insert(&mut self, now: u64, hash: u64) {
        let capacity = (self.settings.tokens / BLOCK_TOKENS) as usize;
        if capacity == 0 {
            return;
        }
        if !self.stamps.contains_key(&hash) {
            if self.stamps.len() >= capacity {
                self.evict(now);
            }
            self.tell(now, hash, true);
        }
        self.stamp(hash);
    }

    /// Events from number `after` on that may be told by now.
    pub fn events(&mut self, now: u64, after: u64) -> Events {
        let told = self
            .events
            .partition_point(|event| event.at + self.settings.delay <= now);
        let next = self.first + told as u64;
        let mut from = after.clamp(self.first, next);
        if from < next && self.rng.random_bool(self.settings.gaps.clamp(0.0, 1.0)) {
            from = self.rng.random_range(from..=next);
        }
        let mut last = BTreeMap::new();
        for number in from..next {
            let event = &self.events[(number - self.first) as usize];
            last.insert(event.hash, event.held);
        }
        let (held, dropped): (Vec<_>, Vec<_>) = last.into_iter().partition(|(_, held)| *held);
        Events {
            first: from,
            next,
            held: held.into_iter().map(|(hash, _)| hash).collect(),
            dropped: dropped.into_iter().map(|(hash, _)| hash).collect(),
        }
    }

    fn stamp(&mut self, hash: u64) {
        self.clock += 1;
        if let Some(old) = self.stamps.insert(hash, self.clock) {
            self.order.remove(&old);
        }
        self.order.insert(self.clock, hash);
    }

    fn evict(&mut self, now: u64) {
        let Some((_, hash)) = self.order.pop_first() else {
            return;
        };
        self.stamps.remove(&hash);
        self.tell(now, hash, false);
    }

    fn tell(&mut self, at: u64, hash: u64, held: bool) {
        if self.events.len() == KEPT {
            self.events.pop_front();
            self.first += 1;
        }
        self.events.push_back(Event { at, hash, held });
    }
}

/// Hashes of the whole prompt up to each block's end, and up to its own end.
pub fn blocks(start: u64, text: &[u8]) -> (Vec<u64>, u64) {
    let mut hash = start;
    let mut ends = Vec::with_capacity(text.len() / BLOCK);
    for chunk in text.chunks(BLOCK) {
        hash = token::hash(hash, chunk);
        if chunk.len() == BLOCK {
            ends.push(hash);
        }
    }
    (ends, hash)
}
