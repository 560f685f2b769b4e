//! Requests suspected of crashing backend servers.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use super::register;
use super::retry;
use crate::wire::id;

/// Servers that may crash under a request. After one more crash it is rejected.
pub const MAX_CRASHES: usize = 2;

/// Time after the last crash until a request is no longer suspect.
const SUSPECT_FOR: Duration = Duration::from_secs(60);

/// Most suspect requests stored. Beyond that, the oldest are dropped.
const MAX_SUSPECTS: usize = 4_096;

/// Requests under which servers crashed.
#[derive(Debug, Default)]
pub struct Suspects {
    /// By request: the servers that crashed, and the time of the last crash.
    crashes: HashMap<id::Fingerprint, (HashSet<register::Instance>, Duration)>,
}

impl Suspects {
    /// Notes that `server` crashed while it ran the request. Returns whether that is new.
    pub fn record_crash(
        &mut self,
        now: Duration,
        request: id::Fingerprint,
        server: &register::Instance,
    ) -> bool {
        if self.crashes.len() >= MAX_SUSPECTS {
            self.prune(now);
        }
        let (servers, at) = self.crashes.entry(request).or_default();
        *at = now;
        servers.insert(server.clone())
    }

    /// Clears a request that was completed without a crash.
    pub fn clear(&mut self, request: &id::Fingerprint) {
        self.crashes.remove(request);
    }

    /// Whether so many servers crashed under the request that it must not run again.
    pub fn is_poison(&self, now: Duration, request: &id::Fingerprint) -> bool {
        let crashes = self.crashes.get(request);
        crashes.is_some_and(|(servers, at)| servers.len() > MAX_CRASHES && now < *at + SUSPECT_FOR)
    }

    fn prune(&mut self, now: Duration) {
        self.crashes.retain(|_, (_, at)| now < *at + SUSPECT_FOR);
        if self.crashes.len() < MAX_SUSPECTS {
            return;
        }
        let mut times: Vec<Duration> = self.crashes.values().map(|(_, at)| *at).collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.crashes.retain(|_, (_, at)| *at > median);
    }
}

/// Whether an attempt that failed so may have crashed its server. A server that falls silent may go on.
pub fn may_have_crashed(failure: &retry::Failure) -> bool {
    matches!(failure, retry::Failure::Broken)
}
