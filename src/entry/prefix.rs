//! Prefix affinity: which server has which blocks of prompts cached.
//!
//! Only a hint: cache updates are late and have gaps. A wrong entry costs a prefill, never a
//! response.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use crate::entry::fleet;
use crate::wire::member;

/// Bytes of a block.
pub const BLOCK_BYTES: usize = 4_096;

/// Most pairs of block and server remembered; about 40 MB. The oldest are evicted first.
pub const MAX_PAIRS: usize = 400_000;

/// Most blocks of one prompt that are looked up or learned.
pub const MAX_BLOCKS: usize = 4_096;

const HASH_MODULUS: u64 = (1 << 61) - 1;
const HASH_FACTOR: u64 = 1_000_003;

/// Hashes of the complete blocks of `prompt`, in order. The hash of a block covers the prompt from
/// its start to the block's end, as docs/ENGINE.md defines it.
pub fn blocks(prompt: &[u8]) -> Vec<u64> {
    let mut hash = 0;
    prompt
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .map(|block| {
            hash = block
                .iter()
                .fold(hash, |hash, &byte| extend_hash(hash, byte));
            hash
        })
        .collect()
}

fn extend_hash(hash: u64, byte: u8) -> u64 {
    let wide = u128::from(hash) * u128::from(HASH_FACTOR) + u128::from(byte) + 1;
    let folded = (wide as u64 & HASH_MODULUS) + (wide >> 61) as u64;
    if folded >= HASH_MODULUS {
        folded - HASH_MODULUS
    } else {
        folded
    }
}

/// The blocks that one server is known to have cached.
#[derive(Clone, Debug, Default)]
struct CachedBlocks {
    blocks: HashSet<u64>,
    /// Number of the next cache event expected. `None`: no update arrived yet.
    next: Option<u64>,
}

/// Which server holds which blocks.
#[derive(Clone, Debug, Default)]
pub struct Prefix {
    /// Invariant: a server is listed under a block if and only if the block is in the server's set.
    holders: HashMap<u64, Vec<fleet::Index>>,
    servers: HashMap<fleet::Index, CachedBlocks>,
    /// Pairs in the order in which they were learned. Some may have been removed since.
    order: VecDeque<(u64, fleet::Index)>,
}

impl Prefix {
    /// Applies a server's cache update. A gap since the last one drops what was learned before.
    pub fn update(&mut self, server: fleet::Index, cache: &member::Cache) {
        let known = self.servers.entry(server).or_default();
        let gap = known.next.is_some_and(|next| cache.first != next);
        let old = known.next.is_some_and(|next| cache.next < next);
        if gap {
            self.forget(server);
        }
        self.servers.entry(server).or_default().next = Some(cache.next);
        for &hash in &cache.dropped {
            self.remove_pair(hash, server);
        }
        if !old {
            self.learn(server, &cache.held);
        }
    }

    /// Records that the server has these blocks, or will once a prompt placed there is prefilled.
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
                self.remove_pair(hash, server);
            }
        }
    }

    /// Drops everything learned about a server.
    pub fn forget(&mut self, server: fleet::Index) {
        let Some(known) = self.servers.remove(&server) else {
            return;
        };
        for hash in known.blocks {
            self.remove_holder(hash, server);
        }
    }

    /// Servers that have a prefix of `blocks` cached, with the number of blocks in that prefix.
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

    /// Pairs of block and server remembered.
    pub fn len(&self) -> usize {
        self.servers.values().map(|known| known.blocks.len()).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn remove_pair(&mut self, hash: u64, server: fleet::Index) {
        let known = self.servers.get_mut(&server);
        if known.is_some_and(|known| known.blocks.remove(&hash)) {
            self.remove_holder(hash, server);
        }
    }

    fn remove_holder(&mut self, hash: u64, server: fleet::Index) {
        let Some(holders) = self.holders.get_mut(&hash) else {
            return;
        };
        holders.retain(|&other| other != server);
        if holders.is_empty() {
            self.holders.remove(&hash);
        }
    }
}
