//! The operators' configuration: a folder of TOML files, merged in the order of their names.

use std::collections::BTreeMap;
use std::fmt;

use crate::wire::agree;

mod check;
mod draft;
mod rule;
mod schema;

data! {
    /// A merged and checked configuration.
    #[derive(Default)]
    pub struct Set {
        /// Revision that it has in the agreed state. 0: not from there.
        #[serde(skip)]
        pub revision: u64,
        /// Services by name.
        #[serde(default)]
        pub service: BTreeMap<String, Service>,
        /// Models by name. Invariant: each names an engine service.
        #[serde(default)]
        pub model: BTreeMap<String, Model>,
        /// Workspaces by name. Invariant: no two share a key hash.
        #[serde(default)]
        pub workspace: BTreeMap<String, Workspace>,
        /// Routes by name. Invariant: no two of one service have equal prefix and method.
        #[serde(default)]
        pub route: BTreeMap<String, Route>,
        /// The policy.
        #[serde(default)]
        pub policy: Policy,
    }

    /// What stands behind a service's backend servers.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum Kind {
        /// Model engines.
        Engine,
        /// Plain services.
        Plain,
    }

    /// A service: a pool of alike backend servers.
    #[serde(deny_unknown_fields)]
    pub struct Service {
        /// What it is.
        pub kind: Kind,
        /// Whether its backend servers refuse orders with an old fencing number. If not, the
        /// sidecar does.
        #[serde(default)]
        pub fencing: bool,
        /// Retries, in percent of the requests sent.
        #[serde(default = "default_retry_percent")]
        pub retry_percent: u32,
    }

    /// A model.
    #[serde(deny_unknown_fields)]
    pub struct Model {
        /// Service that serves it.
        pub service: String,
        /// Longest prompt in tokens.
        #[serde(default = "default_max_prompt")]
        pub max_prompt_tokens: u64,
        /// Most tokens of one answer.
        #[serde(default = "default_max_output")]
        pub max_output_tokens: u32,
        /// Time limit in milliseconds where the caller names none.
        #[serde(default = "default_time_limit")]
        pub time_limit_ms: u64,
    }

    /// A workspace: a customer's share of the fleet.
    #[serde(deny_unknown_fields)]
    pub struct Workspace {
        /// BLAKE3 hash of its key, in hex. Keys themselves are never stored.
        pub key_hash: String,
        /// Weight of its fair share.
        #[serde(default = "default_share")]
        pub share: u32,
        /// Most requests in progress at one entry.
        #[serde(default = "default_in_progress")]
        pub max_in_progress: u32,
    }

    /// How calls of a plain service are treated. The longest matching prefix decides.
    #[serde(deny_unknown_fields)]
    pub struct Route {
        /// The plain service.
        pub service: String,
        /// Path prefix, with a leading slash.
        pub prefix: String,
        /// HTTP method; all if none is given.
        #[serde(default)]
        pub method: Option<String>,
        /// Whether a second run does no harm. Without a route: GET, HEAD, OPTIONS.
        #[serde(default)]
        pub repeatable: bool,
        /// Time limit in milliseconds where the caller names none.
        #[serde(default = "default_time_limit")]
        pub time_limit_ms: u64,
    }

    /// How a backend server is chosen.
    #[derive(Copy, Default)]
    #[serde(rename_all = "kebab-case")]
    pub enum Routing {
        /// By predicted time to first token.
        #[default]
        Predicted,
        /// In turn. A baseline.
        RoundRobin,
        /// Fewest requests in progress. A baseline.
        LeastRequests,
    }

    /// Weights and borders of the policy.
    #[serde(default, deny_unknown_fields)]
    pub struct Policy {
        /// How a backend server is chosen.
        pub routing: Routing,
        /// Longest short prompt, in tokens.
        pub short_tokens: u64,
        /// Shortest long prompt, in tokens.
        pub long_tokens: u64,
        /// 0 to 100: 100 weighs only the slowdown of short requests, 0 only the time to first
        /// token of long prompts.
        pub short_weight: u32,
        /// How long a suspect is remembered, in milliseconds.
        pub suspect_ttl_ms: u64,
        /// How long an idempotency key is remembered, in milliseconds.
        pub claim_ttl_ms: u64,
        /// Weight loads that may run at once over the whole fleet.
        pub weight_loads: u32,
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            routing: Routing::Predicted,
            short_tokens: 8_000,
            long_tokens: 100_000,
            short_weight: 50,
            suspect_ttl_ms: 600_000,
            claim_ttl_ms: 86_400_000,
            weight_loads: 2,
        }
    }
}

fn default_retry_percent() -> u32 {
    10
}

fn default_max_prompt() -> u64 {
    1_048_576
}

fn default_max_output() -> u32 {
    4_096
}

fn default_time_limit() -> u64 {
    120_000
}

fn default_share() -> u32 {
    1
}

fn default_in_progress() -> u32 {
    1_000
}

data! {
    /// Something wrong in a configuration file.
    pub struct Finding {
        /// The file's name.
        pub file: String,
        /// Line, from 1. 0: the file as a whole.
        pub line: u64,
        /// What is wrong, and what would be right.
        pub text: String,
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.text)
    }
}

/// Merges `files` in the order of their names and checks the whole. A later file's value goes
/// before an earlier one's, key by key. All findings come back at once.
pub fn merge(revision: u64, files: &[agree::File]) -> Result<Set, Vec<Finding>> {
    check::merge(revision, files)
}

/// The hash under which a key is stored.
pub fn key_hash(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}
