//! The agreed state: what the entries of the log lead to, alike on every member.
//!
//! Nothing here reads a clock: time is the replicated clock that stands in each entry. Every
//! part is bounded.

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

/// How long a slot for loading weights is held without a `Loaded`, in milliseconds.
pub const LOAD_TTL_MS: u64 = 300_000;

/// When to come back for such a slot, in milliseconds.
const LOAD_RETRY_MS: u64 = 1_000;

data! {
    /// Limits of the state that the configuration names. The leader that took the
    /// configuration puts them into its entry, so no member has to read it.
    #[derive(Copy)]
    pub struct Limits {
        /// How long a suspect is remembered, in milliseconds.
        pub suspect_ttl_ms: u64,
        /// Weight loads that may run at once.
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
        /// Slots for loading weights: server, and when its slot ends.
        loads: BTreeMap<String, u64>,
        /// Newest document. Invariant: its version only grows.
        document: Option<agree::Document>,
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
    /// Encodes the whole state.
    pub fn encode(&self) -> Vec<u8> {
        bincode::serde::encode_to_vec(self, bincode::config::standard()).expect("a state encodes")
    }

    /// The state that [`Self::encode`] was given. Empty: the first state.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let conf = bincode::config::standard();
        let (mut state, used): (Self, usize) =
            bincode::serde::decode_from_slice(bytes, conf).map_err(|err| err.to_string())?;
        if used != bytes.len() {
            return Err(format!("{} bytes too many", bytes.len() - used));
        }
        state.claims.index();
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

    /// Version of the newest document. 0: none yet.
    pub fn published(&self) -> u64 {
        self.document.as_ref().map_or(0, |one| one.version)
    }

    /// Claims held.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Replicated clock of the last command.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Suspects in force at `clock_ms`.
    pub fn suspects(&self, clock_ms: u64) -> Vec<agree::Suspect> {
        self.suspects.list(clock_ms)
    }

    /// The first verdict on a change that was put before.
    pub fn answered(&self, change: id::Change) -> Option<agree::Verdict> {
        self.conf.answered(change)
    }

    /// Carries out a command at `clock_ms`. `wall_ms` is for people only.
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
                let place = (workspace.as_str(), key.as_str());
                self.claims
                    .claim(clock_ms, place, *request, *fingerprint, until_ms)
            }
            Command::Settle {
                workspace,
                key,
                request,
                ran,
                status,
            } => {
                let place = (workspace.as_str(), key.as_str());
                match self.claims.settle(clock_ms, place, *request, *ran, *status) {
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
                    .crash(clock_ms, ttl_ms, server, *engine, running);
                self.done()
            }
            Command::Clear(fingerprint) => {
                self.suspects.clear(fingerprint);
                self.done()
            }
            Command::Fence { server } => agree::Verdict::Number(self.fences.draw(server)),
            Command::Fenced { server } => agree::Verdict::Number(self.fences.current(server)),
            Command::Publish(document) => {
                if document.version > self.published() {
                    self.document = Some(document.clone());
                }
                agree::Verdict::Done {
                    revision: self.published(),
                }
            }
            Command::Newest => agree::Verdict::Newest(self.document.clone()),
            Command::Load { server, .. } => self.load(server),
            Command::Loaded { server } => {
                self.loads.remove(server);
                self.done()
            }
        }
    }

    fn done(&self) -> agree::Verdict {
        agree::Verdict::Done {
            revision: self.conf.revision(),
        }
    }

    /// Grants a slot, or the one that the backend server holds already, for a new time.
    fn load(&mut self, server: &str) -> agree::Verdict {
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
