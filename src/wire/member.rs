//! Membership: who is there, and how loaded. Nothing is listed; presence is a lease.

use std::net::SocketAddr;

use super::id;

key! {
    /// What stands behind a sidecar.
    #[serde(rename_all = "snake_case")]
    pub enum Kind {
        /// A model engine.
        Engine,
        /// A plain service.
        Plain,
    }

    /// Role of a process of the system.
    #[serde(rename_all = "snake_case")]
    pub enum Role {
        /// Takes callers' requests.
        Entry,
        /// Guards one backend server.
        Sidecar,
        /// Holds the agreed state.
        Control,
    }
}

data! {
    /// Exact load of one backend server, as its sidecar counts it.
    #[derive(Copy, Default)]
    pub struct Load {
        /// Attempts running.
        pub running: u32,
        /// Attempts reserved and not yet started.
        pub reserved: u32,
        /// Attempts that may run at once.
        pub slots: u32,
        /// KV memory of the engine, in tokens.
        pub memory_tokens: u64,
        /// KV memory reserved by running and reserved attempts, in tokens.
        pub used_tokens: u64,
        /// Prompt tokens not yet prefilled, of attempts with the priority of short ones.
        pub short_ahead: u64,
        /// Prompt tokens not yet prefilled, of attempts with the priority of short and medium ones.
        pub medium_ahead: u64,
        /// Prompt tokens not yet prefilled, of all attempts.
        pub all_ahead: u64,
        /// Attempts of long prompts not yet prefilled.
        pub long: u32,
        /// Prefill speed measured lately, in tokens a second. 0: not yet known.
        pub prefill_rate: u64,
        /// Time between tokens measured lately, in microseconds. 0: not yet known.
        pub token_micros: u64,
    }

    /// Blocks of prompt prefixes that an engine holds or dropped, by hash.
    #[derive(Default)]
    pub struct Cache {
        /// Number of the first event in this report. A gap to the last report's `next` means
        /// that events were lost.
        pub first: u64,
        /// Number after the last event in this report.
        pub next: u64,
        /// Hashes of blocks now held.
        pub held: Vec<u64>,
        /// Hashes of blocks dropped.
        pub dropped: Vec<u64>,
    }

    /// A backend server's presence, sent by its sidecar to every entry each period.
    pub struct Announce {
        /// Name of the backend server, unique in the fleet.
        pub server: String,
        /// Service that it belongs to.
        pub service: String,
        /// What it is.
        pub kind: Kind,
        /// Availability zone.
        pub zone: String,
        /// Address of the sidecar's link listener.
        pub link: SocketAddr,
        /// Life of the sidecar.
        pub sidecar: id::Incarnation,
        /// Life of the engine, as it announced it.
        pub engine: id::Incarnation,
        /// Counts up within a life of the sidecar; an older one that comes late is dropped.
        pub seq: u64,
        /// Models loaded. Empty for plain services.
        pub models: Vec<String>,
        /// No new work.
        pub leaving: bool,
        /// How long this presence is valid, in milliseconds from its receipt.
        pub lease_ms: u64,
        /// The load.
        pub load: Load,
        /// News of the prefix cache.
        pub cache: Cache,
    }

    /// A process of the system that others may call.
    pub struct Peer {
        /// Its role.
        pub role: Role,
        /// Name of the VM or process, unique in the fleet.
        pub name: String,
        /// Availability zone.
        pub zone: String,
        /// Address of its link listener.
        pub link: SocketAddr,
        /// Its life.
        pub incarnation: id::Incarnation,
        /// Revision of the configuration in force there.
        pub revision: u64,
    }
}
