//! The subset of a large fleet that a request is placed in.
//!
//! Placement compares and sorts all candidate servers, and a prompt is read by 17 of them at most.
//! On a fleet of thousands that costs an entry processor time and gains nothing. So the servers are
//! split by their keys, in the same way on all entries, and each request draws its subset.

/// Most servers that are expected in a subset. Subsets are halves of halves, so most have fewer.
pub const MAX_SERVERS: usize = 256;

/// A subset of a fleet: the servers whose keys begin with the same bits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Subset {
    /// Number of leading bits that are the same. 0: the whole fleet.
    bits: u32,
    /// Value of these bits. Invariant: under `1 << bits`.
    prefix: u64,
}

impl Subset {
    /// The whole fleet.
    pub const WHOLE: Self = Self { bits: 0, prefix: 0 };

    /// Subset of a fleet of `servers` in which a request with this draw is placed.
    pub fn draw(servers: usize, draw: u64) -> Self {
        let subsets = servers.div_ceil(MAX_SERVERS).max(1).next_power_of_two();
        let bits = subsets.trailing_zeros();
        Self {
            bits,
            prefix: prefix(draw, bits),
        }
    }

    /// Whether the server with this key belongs to the subset.
    pub fn contains(self, key: u64) -> bool {
        prefix(key, self.bits) == self.prefix
    }
}

fn prefix(key: u64, bits: u32) -> u64 {
    key.checked_shr(u64::BITS - bits).unwrap_or(0)
}
