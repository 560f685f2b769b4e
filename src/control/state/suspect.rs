//! Suspects: requests that were running on an engine when it crashed.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::wire::agree;
use crate::wire::id;

/// Most suspects kept. Above it, those with the fewest crashed servers are evicted first, and of
/// these the ones that expire first.
pub const MAX_SUSPECTS: usize = 20_000;

/// Most backend servers kept for one suspect.
const MAX_SERVERS: usize = 8;

/// Most crashed engine incarnations kept.
const MAX_CRASHES: usize = 10_000;

data! {
    struct Suspect {
        servers: Vec<String>,
        until_ms: u64,
    }

    /// The suspects by request fingerprint.
    #[derive(Default)]
    pub struct Suspects {
        suspects: BTreeMap<id::Fingerprint, Suspect>,
        /// Crashed engine incarnations that were counted, oldest first.
        lives: VecDeque<(String, id::Incarnation)>,
    }
}

impl Suspects {
    /// The suspects that have not expired at `clock_ms`.
    pub(super) fn list(&self, clock_ms: u64) -> Vec<agree::Suspect> {
        let suspects = self.suspects.iter();
        suspects
            .filter(|(_, suspect)| suspect.until_ms > clock_ms)
            .map(|(fingerprint, suspect)| agree::Suspect {
                fingerprint: *fingerprint,
                servers: suspect.servers.clone(),
                ttl_ms: suspect.until_ms - clock_ms,
            })
            .collect()
    }

    /// Records an engine crash. Each incarnation of an engine counts once.
    pub(super) fn record_crash(
        &mut self,
        clock_ms: u64,
        ttl_ms: u64,
        server: &str,
        engine: id::Incarnation,
        running: &[id::Fingerprint],
    ) {
        let crashed = (server.to_owned(), engine);
        if self.lives.contains(&crashed) {
            return;
        }
        self.lives.push_back(crashed);
        if self.lives.len() > MAX_CRASHES {
            self.lives.pop_front();
        }
        self.suspects
            .retain(|_, suspect| suspect.until_ms > clock_ms);
        for fingerprint in running {
            let suspect = self.suspects.entry(*fingerprint).or_insert(Suspect {
                servers: Vec::new(),
                until_ms: 0,
            });
            suspect.until_ms = clock_ms.saturating_add(ttl_ms);
            let is_new = !suspect.servers.iter().any(|known| known == server);
            if is_new && suspect.servers.len() < MAX_SERVERS {
                suspect.servers.push(server.to_owned());
            }
        }
        self.evict();
    }

    /// Removes a suspect after a request with its fingerprint has completed.
    pub(super) fn clear(&mut self, fingerprint: &id::Fingerprint) {
        self.suspects.remove(fingerprint);
    }

    fn evict(&mut self) {
        let over = self.suspects.len().saturating_sub(MAX_SUSPECTS);
        if over == 0 {
            return;
        }
        let mut order: Vec<(usize, u64, id::Fingerprint)> = self
            .suspects
            .iter()
            // Evict suspects of a single crash before quarantined ones.
            .map(|(fingerprint, suspect)| (suspect.servers.len(), suspect.until_ms, *fingerprint))
            .collect();
        order.sort_unstable();
        for (_, _, fingerprint) in order.into_iter().take(over) {
            self.suspects.remove(&fingerprint);
        }
    }
}
