//! Requests suspected of crashing engines: kept on separate servers, and rejected after two
//! crashes.

use std::collections::HashMap;

use crate::wire::agree;
use crate::wire::id;

/// Crashes of different backend servers after which a request is quarantined.
pub const QUARANTINE_CRASHES: usize = 2;

/// The current suspects, as reported by control.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    /// The suspect with the servers that crashed, and its rank among those not quarantined.
    by_fingerprint: HashMap<id::Fingerprint, (agree::Suspect, usize)>,
    /// Suspects that are not quarantined.
    running: usize,
}

impl Suspects {
    /// Replaces the suspects by control's list.
    pub fn set(&mut self, list: &[agree::Suspect]) {
        let mut sorted: Vec<&agree::Suspect> = list.iter().collect();
        sorted.sort_by_key(|suspect| suspect.fingerprint);
        self.by_fingerprint.clear();
        self.running = 0;
        for suspect in sorted {
            let entry = (suspect.clone(), self.running);
            self.by_fingerprint.insert(suspect.fingerprint, entry);
            if suspect.servers.len() < QUARANTINE_CRASHES {
                self.running += 1;
            }
        }
    }

    /// After how many milliseconds a quarantined request may be retried. `None`: not quarantined.
    pub fn quarantined(&self, fingerprint: id::Fingerprint) -> Option<u64> {
        let (suspect, _) = self.by_fingerprint.get(&fingerprint)?;
        (suspect.servers.len() >= QUARANTINE_CRASHES).then_some(suspect.ttl_ms)
    }

    /// Whether a request is a suspect.
    pub fn has(&self, fingerprint: id::Fingerprint) -> bool {
        self.by_fingerprint.contains_key(&fingerprint)
    }

    /// Whether a backend server crashed while running the request.
    pub fn crashed(&self, fingerprint: id::Fingerprint, server: &str) -> bool {
        let found = self.by_fingerprint.get(&fingerprint);
        found.is_some_and(|(suspect, _)| suspect.servers.iter().any(|crashed| crashed == server))
    }

    /// Whether a suspect may use the server at `position`, by name, of the `count` present. All
    /// entries compute the same servers for each suspect, so two suspects never share one although
    /// entries do not coordinate. If there are more suspects than servers, some have none until
    /// others are cleared.
    pub fn is_assigned(&self, fingerprint: id::Fingerprint, position: usize, count: usize) -> bool {
        let Some((_, rank)) = self.by_fingerprint.get(&fingerprint) else {
            return true;
        };
        let groups = self.running.min(count).max(1);
        position % groups == *rank
    }

    /// Suspects that are not quarantined.
    pub fn len(&self) -> usize {
        self.running
    }

    /// Whether all suspects, if any, are quarantined.
    pub fn is_empty(&self) -> bool {
        self.running == 0
    }
}
