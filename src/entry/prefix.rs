//! Prefix affinity: which server holds which blocks of prompts.
//!
//! A hint only: news is late and has gaps, so a wrong entry costs a prefill, never an answer.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use crate::entry::fleet;
use crate::wire::member;

/// Bytes of a block.
pub const BLOCK_BYTES: usize = 4_096;

/// Most pairs of block and server remembered; about 40 MB. The oldest go first.
pub const MAX_PAIRS: usize = 400_000;

/// Most blocks of one prompt that are looked up or learned.
pub const MAX_BLOCKS: usize = 4_096;

const MODULUS: u64 = (1 << 61) - 1;
const FACTOR: u64 = 1_000_003;

/// Hashes of the whole blocks of `prompt`, in order: that of block `i` is the hash of the
/// prompt up to the block's end, as docs/ENGINE.md defines it.
pub fn blocks(prompt: &[u8]) -> Vec<u64> {
    let mut hash = 0;
    prompt
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .map(|block| {
            hash = block.iter().fold(hash, |hash, &byte| push(hash, byte));
            hash
        })
        .collect()
}

fn push(hash: u64, byte: u8) -> u64 {
    let wide = u128::from(hash) * u128::from(FACTOR) + u128::from(byte) + 1;
    let folded = (wide as u64 & MODULUS) + (wide >> 61) as u64;
    if folded >= MODULUS {
        folded - MODULUS
    } else {
        folded
    }
}

/// What is known of one server's cache.
#[derive(Clone, Debug, Default)]
struct Known {
    blocks: HashSet<u64>,
    /// Number of the next event expected. `None`: none came yet.
    next: Option<u64>,
}

/// Which server holds which blocks.
#[derive(Clone, Debug, Default)]
pub struct Prefix {
    /// Invariant: a server stands under a block if and only if the block is in its set.
    holders: HashMap<u64, Vec<fleet::Index>>,
    servers: HashMap<fleet::Index, Known>,
    /// Pairs in the order in which they were learned; some may be gone meanwhile.
    order: VecDeque<(u64, fleet::Index)>,
}

impl Prefix {
    /// Takes a server's news. A gap drops what was learned from it before.
    pub fn update(&mut self, server: fleet::Index, cache: &member::Cache) {
        let known = self.servers.entry(server).or_default();
        let gap = known.next.is_some_and(|next| cache.first != next);
        let old = known.next.is_some_and(|next| cache.next < next);
        if gap {
            self.forget(server);
        }
        self.servers.entry(server).or_default().next = Some(cache.next);
        for &hash in &cache.dropped {
            self.drop_pair(hash, server);
        }
        if !old {
            self.learn(server, &cache.held);
        }
    }

    /// The server holds these blocks, or will once a prompt placed there was prefilled.
    pub fn learn(&mut self, server: fleet::Index, blocks: &[u64]) {
        for &hash in blocks.iter().take(MAX_BLOCKS) {
            let known = self.servers.entry(server).or_default();
            if known.blocks.insert(hash) {
                self.holders.entry(hash).or_default().push(server);
                self.order.push_back((hash, server));
            }
        }
        while self.order.len() > MAX_PAIRS {
            if let Some((hash, server)) = self.order.pop_front() {
                self.drop_pair(hash, server);
            }
        }
    }

    /// Drops all that was learned from a server.
    pub fn forget(&mut self, server: fleet::Index) {
        let Some(known) = self.servers.remove(&server) else {
            return;
        };
        for hash in known.blocks {
            self.drop_holder(hash, server);
        }
    }

    /// Servers that hold a prefix of `blocks`, with the number of leading blocks.
    pub fn holders(&self, blocks: &[u64]) -> HashMap<fleet::Index, usize> {
        let mut found = HashMap::new();
        for (index, hash) in blocks.iter().enumerate() {
            let Some(holders) = self.holders.get(hash) else {
                break;
            };
            let mut grown = false;
            for &server in holders {
                if found.get(&server).copied().unwrap_or(0) == index {
                    found.insert(server, index + 1);
                    grown = true;
                }
            }
            if !grown {
                break;
            }
        }
        found
    }

    /// Pairs of block and server known.
    pub fn len(&self) -> usize {
        self.servers.values().map(|known| known.blocks.len()).sum()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn drop_pair(&mut self, hash: u64, server: fleet::Index) {
        let known = self.servers.get_mut(&server);
        if known.is_some_and(|known| known.blocks.remove(&hash)) {
            self.drop_holder(hash, server);
        }
    }

    fn drop_holder(&mut self, hash: u64, server: fleet::Index) {
        let Some(holders) = self.holders.get_mut(&hash) else {
            return;
        };
        holders.retain(|&other| other != server);
        if holders.is_empty() {
            self.holders.remove(&hash);
        }
    }
}
