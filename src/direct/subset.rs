//! The part of a large fleet that a request is placed in.
//!
//! Placing weighs and sorts all servers that it may take, and a prompt is read by 17 of them at
//! most. On a fleet of thousands that costs an entry its processor time and gains nothing, so the
//! servers are split by their keys, alike at all entries, and each request draws its part.

/// Most servers of a part that are expected. Parts are halves of halves, so most have fewer.
pub const MAX_SERVERS: usize = 256;

/// A part of a fleet: the servers whose keys begin with the same bits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Subset {
    /// How many leading bits are the same. 0: the whole fleet.
    bits: u32,
    /// These bits. Invariant: under `1 << bits`.
    lead: u64,
}

impl Subset {
    /// The whole fleet.
    pub const WHOLE: Self = Self { bits: 0, lead: 0 };

    /// The part of a fleet of `servers` in which a request with this draw is placed.
    pub fn draw(servers: usize, draw: u64) -> Self {
        let parts = servers.div_ceil(MAX_SERVERS).max(1).next_power_of_two();
        let bits = parts.trailing_zeros();
        Self {
            bits,
            lead: lead(draw, bits),
        }
    }

    /// Whether the server with this key belongs to it.
    pub fn contains(self, key: u64) -> bool {
        lead(key, self.bits) == self.lead
    }
}

fn lead(key: u64, bits: u32) -> u64 {
    key.checked_shr(u64::BITS - bits).unwrap_or(0)
}
