//! The agreed state: the deterministic state machine that every member applies the log to.
//!
//! Nothing here reads a local clock: time comes from the replicated clock in each entry. The
//! size of every part is bounded.

use std::collections::BTreeMap;

use crate::wire::agree;
use crate::wire::id;

mod claim;
mod conf;
mod fence;
mod suspect;

pub use claim::Claims;
pub use claim::MAX_CLAIMS;
pub use conf::Conf;
pub use conf::KEPT_BYTES;
pub use conf::KEPT_CONTENTS;
pub use conf::Meta;
pub use fence::Fences;
pub use fence::MAX_FENCES;
pub use suspect::MAX_SUSPECTS;
pub use suspect::Suspects;

/// Time after which a weight loading slot expires without a `Loaded`, in milliseconds.
pub const LOAD_TTL_MS: u64 = 300_000;

/// Most zones that may be evacuated at once, and bytes of a zone's name.
const MAX_EVACUATED: usize = 64;
const MAX_ZONE_BYTES: usize = 200;

/// Retry delay when no weight loading slot is free, in milliseconds.
const LOAD_RETRY_MS: u64 = 1_000;

data! {
    /// Limits of the state, as set by the configuration. The leader that accepted the
    /// configuration copies them into its entry, so members need not parse the files.
    #[derive(Copy)]
    pub struct Limits {
        /// How long a suspect is kept, in milliseconds.
        pub suspect_ttl_ms: u64,
        /// Most weight loads that may run at once.
        pub weight_loads: u32,
    }

    /// The agreed state.
    #[derive(Default)]
    pub struct State {
        clock_ms: u64,
        conf: Conf,
        claims: Claims,
        suspects: Suspects,
        fences: Fences,
        /// Weight loading slots in use: backend server to expiry time.
        loads: BTreeMap<String, u64>,
        /// Newest document. Invariant: its version never decreases.
        document: Option<agree::Document>,
        /// Evacuated zones. Encoded after the other fields, and only once there was a change, since
        /// snapshots of earlier versions lack it.
        #[serde(skip)]
        evacuations: agree::Evacuations,
    }
}

impl Default for Limits {
    fn default() -> Self {
        let policy = crate::config::Policy::default();
        Self {
            suspect_ttl_ms: policy.suspect_ttl_ms,
            weight_loads: policy.weight_loads,
        }
    }
}

impl State {
    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        let conf = bincode::config::standard();
        let mut bytes =
            bincode::serde::encode_to_vec(self, conf).expect("the state can be encoded");
        if self.evacuations.change > 0 {
            bincode::serde::encode_into_std_write(&self.evacuations, &mut bytes, conf)
                .expect("the state can be encoded");
        }
        bytes
    }

    /// Decodes what [`Self::encode`] returned. Empty input gives the initial state.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let conf = bincode::config::standard();
        let (mut state, mut used): (Self, usize) =
            bincode::serde::decode_from_slice(bytes, conf).map_err(|err| err.to_string())?;
        if used < bytes.len() {
            let (evacuations, more) = bincode::serde::decode_from_slice(&bytes[used..], conf)
                .map_err(|err| err.to_string())?;
            state.evacuations = evacuations;
            used += more;
        }
        if used != bytes.len() {
            return Err(format!("{} bytes too many", bytes.len() - used));
        }
        state.claims.rebuild_index();
        Ok(state)
    }

    /// The configuration and its history.
    pub fn conf(&self) -> &Conf {
        &self.conf
    }

    /// The newest document.
    pub fn document(&self) -> Option<&agree::Document> {
        self.document.as_ref()
    }

    /// Version of the newest document, or 0 if there is none.
    pub fn document_version(&self) -> u64 {
        self.document
            .as_ref()
            .map_or(0, |document| document.version)
    }

    /// The evacuated zones.
    pub fn evacuations(&self) -> &agree::Evacuations {
        &self.evacuations
    }

    /// The claims held.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Replicated clock as of the last command, in milliseconds.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Suspects in force at `clock_ms`.
    pub fn suspects(&self, clock_ms: u64) -> Vec<agree::Suspect> {
        self.suspects.list(clock_ms)
    }

    /// The recorded verdict on a change that was proposed before.
    pub fn recorded_verdict(&self, change: id::Change) -> Option<agree::Verdict> {
        self.conf.recorded_verdict(change)
    }

    /// Applies a command at `clock_ms`. `wall_ms` is only recorded for display.
    pub fn apply(
        &mut self,
        clock_ms: u64,
        wall_ms: u64,
        limits: Option<Limits>,
        command: &agree::Command,
    ) -> agree::Verdict {
        use agree::Command;
        self.clock_ms = self.clock_ms.max(clock_ms);
        let clock_ms = self.clock_ms;
        self.claims.expire(clock_ms);
        match command {
            Command::Configure(change) => self.conf.change(wall_ms, limits, change),
            Command::Claim {
                workspace,
                key,
                request,
                fingerprint,
                ttl_ms,
            } => {
                let until_ms = clock_ms.saturating_add(*ttl_ms);
                let scoped_key = (workspace.as_str(), key.as_str());
                self.claims
                    .claim(clock_ms, scoped_key, *request, *fingerprint, until_ms)
            }
            Command::Settle {
                workspace,
                key,
                request,
                ran,
                status,
            } => {
                let scoped_key = (workspace.as_str(), key.as_str());
                match self
                    .claims
                    .settle(clock_ms, scoped_key, *request, *ran, *status)
                {
                    Some(held) => held,
                    None => self.done(),
                }
            }
            Command::Crash {
                server,
                engine,
                running,
            } => {
                let ttl_ms = self.conf.limits().suspect_ttl_ms;
                self.suspects
                    .record_crash(clock_ms, ttl_ms, server, *engine, running);
                self.done()
            }
            Command::Clear(fingerprint) => {
                self.suspects.clear(fingerprint);
                self.done()
            }
            Command::Fence { server } => agree::Verdict::Number(self.fences.issue(server)),
            Command::Fenced { server } => agree::Verdict::Number(self.fences.current(server)),
            Command::Publish(document) => {
                if document.version > self.document_version() {
                    self.document = Some(document.clone());
                }
                agree::Verdict::Done {
                    revision: self.document_version(),
                }
            }
            Command::Newest => agree::Verdict::Newest(self.document.clone()),
            Command::Evacuate { zone, evacuated } => self.evacuate(wall_ms, zone, *evacuated),
            Command::Evacuations => agree::Verdict::Evacuations(self.evacuations.clone()),
            Command::Load { server, .. } => self.acquire_load_slot(server),
            Command::Loaded { server } => {
                self.loads.remove(server);
                self.done()
            }
        }
    }

    /// Evacuates or restores a zone. Repeating an order changes nothing.
    fn evacuate(&mut self, wall_ms: u64, zone: &str, evacuated: bool) -> agree::Verdict {
        let zones = &mut self.evacuations.zones;
        if evacuated && !zones.contains(zone) {
            if zone.is_empty() || zone.len() > MAX_ZONE_BYTES {
                let text = format!("a zone's name has 1 to {MAX_ZONE_BYTES} bytes");
                return agree::Verdict::Invalid(vec![text]);
            }
            if zones.len() >= MAX_EVACUATED {
                let text = format!("{MAX_EVACUATED} zones are evacuated already");
                return agree::Verdict::Invalid(vec![text]);
            }
        }
        let is_changed = if evacuated {
            zones.insert(zone.to_owned())
        } else {
            zones.remove(zone)
        };
        if is_changed {
            self.evacuations.change += 1;
            self.evacuations.changed_ms = wall_ms;
        }
        agree::Verdict::Evacuations(self.evacuations.clone())
    }

    fn done(&self) -> agree::Verdict {
        agree::Verdict::Done {
            revision: self.conf.revision(),
        }
    }

    /// Grants a weight loading slot, or renews the one that the backend server already holds.
    fn acquire_load_slot(&mut self, server: &str) -> agree::Verdict {
        let clock_ms = self.clock_ms;
        self.loads.retain(|_, until| *until > clock_ms);
        let slots = self.conf.limits().weight_loads as usize;
        if !self.loads.contains_key(server) && self.loads.len() >= slots {
            return agree::Verdict::Wait {
                retry_after_ms: LOAD_RETRY_MS,
            };
        }
        self.loads.insert(server.to_owned(), clock_ms + LOAD_TTL_MS);
        self.done()
    }
}
