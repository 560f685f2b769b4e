//! Fencing numbers for orders to backend servers.

use std::collections::BTreeMap;

/// Most backend servers whose last fencing number is kept.
pub const MAX_FENCES: usize = 100_000;

data! {
    /// The fencing numbers issued.
    #[derive(Default)]
    pub struct Fences {
        /// Last number issued to any backend server, so the numbers of each server ascend.
        last: u64,
        /// Last number issued for each backend server. Invariant: at most [`MAX_FENCES`] entries.
        drawn: BTreeMap<String, u64>,
        /// Largest evicted number. Current for every backend server that is not in `drawn`.
        forgotten: u64,
    }
}

impl Fences {
    /// Issues the next number for a backend server.
    pub fn issue(&mut self, server: &str) -> u64 {
        self.last += 1;
        self.drawn.insert(server.to_owned(), self.last);
        if self.drawn.len() > MAX_FENCES {
            self.evict_oldest();
        }
        self.last
    }

    /// The current number of a backend server. Orders with a lower number must be rejected.
    pub fn current(&self, server: &str) -> u64 {
        self.drawn.get(server).copied().unwrap_or(self.forgotten)
    }

    fn evict_oldest(&mut self) {
        let oldest = self.drawn.iter().min_by_key(|(_, number)| **number);
        let Some((server, number)) = oldest.map(|(server, number)| (server.clone(), *number))
        else {
            return;
        };
        self.drawn.remove(&server);
        self.forgotten = self.forgotten.max(number);
    }
}
