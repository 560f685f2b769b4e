//! Commands to the agreed state that the control quorum holds, and their verdicts.

use std::collections::BTreeSet;

use super::id;
use super::outcome;

data! {
    /// One configuration file.
    pub struct File {
        /// Name without folder; files are merged in the order of their names.
        pub name: String,
        /// TOML text.
        pub text: String,
    }

    /// A change of configuration: the whole folder.
    pub struct Change {
        /// Drawn by the operator's client; sent again it gets its first answer.
        pub id: id::Change,
        /// Revision that the change is based on. Of equal ones exactly one wins.
        pub expected: u64,
        /// Who changes.
        pub author: String,
        /// Why.
        pub note: String,
        /// The folder.
        pub files: Vec<File>,
    }

    /// A configuration as one whole text under a version of its author's choice. The highest
    /// version wins; what stands under a version never changes.
    pub struct Document {
        /// Its version, from 1.
        pub version: u64,
        /// Its text, packed by the process that it came to.
        pub packed: bytes::Bytes,
    }

    /// Availability zones whose backend servers get no new requests.
    #[derive(Default)]
    pub struct Evacuations {
        /// Number of changes so far. Of two values, the one with more changes is newer.
        pub change: u64,
        /// Wall clock of the leader at the last change, in milliseconds since the Unix epoch.
        pub changed_ms: u64,
        /// The evacuated zones.
        pub zones: BTreeSet<String>,
    }

    /// What to change in the agreed state.
    pub enum Command {
        /// Changes the configuration.
        Configure(Change),
        /// Publishes a document, if its version is higher than the newest one's.
        Publish(Document),
        /// Reads the newest document. A command, so that the answer has passed a quorum: a
        /// former leader that was suspended cannot tell by its clock that it leads no more.
        Newest,
        /// Claims the one run of (workspace, key) for a request, before it starts.
        Claim {
            /// Workspace.
            workspace: String,
            /// The caller's idempotency key.
            key: String,
            /// The request that wants to run.
            request: id::Request,
            /// Of its body; another one under the same key is refused.
            fingerprint: id::Fingerprint,
            /// How long the claim is remembered, in milliseconds from its commit.
            ttl_ms: u64,
        },
        /// Records the outcome of a claimed run. `NotRun` frees the claim.
        Settle {
            /// Workspace.
            workspace: String,
            /// The caller's idempotency key.
            key: String,
            /// The request that holds the claim.
            request: id::Request,
            /// Whether it ran.
            ran: outcome::Ran,
            /// HTTP status that its caller got.
            status: u16,
        },
        /// Reports the death of an engine with what ran on it.
        Crash {
            /// The backend server.
            server: String,
            /// The life of the engine that ended; a second report of it changes nothing.
            engine: id::Incarnation,
            /// Fingerprints that were running.
            running: Vec<id::Fingerprint>,
        },
        /// A suspect ran to its end.
        Clear(id::Fingerprint),
        /// Draws the next fencing number for orders to a backend server.
        Fence {
            /// The backend server.
            server: String,
        },
        /// Asks for the fencing number in force for a backend server: an order below it is old.
        Fenced {
            /// The backend server.
            server: String,
        },
        /// Asks for a slot of the fleet-wide budget of weight loads.
        Load {
            /// The backend server.
            server: String,
            /// The model.
            model: String,
        },
        /// Gives the slot back.
        Loaded {
            /// The backend server.
            server: String,
        },
        /// Evacuates a zone, or restores it. Of several orders on a zone the last one in the log
        /// wins.
        Evacuate {
            /// The zone.
            zone: String,
            /// Whether its backend servers are to get no new requests.
            evacuated: bool,
        },
        /// Reads the evacuated zones, by way of the quorum as [`Self::Newest`] does.
        Evacuations,
    }

    /// What became of a command.
    pub enum Verdict {
        /// Done. `revision` is that of the configuration after it.
        Done {
            /// Revision of the configuration.
            revision: u64,
        },
        /// Another change won.
        Conflict {
            /// The revision in force.
            revision: u64,
            /// The winner.
            author: String,
        },
        /// The configuration has findings.
        Invalid(Vec<String>),
        /// The claim is the request's own.
        Claimed,
        /// Another request holds the claim, and how it ended, if it has.
        Held {
            /// The holder.
            request: id::Request,
            /// Its recorded outcome.
            ended: Option<(outcome::Ran, u16)>,
        },
        /// The key came with another body before.
        Mismatch,
        /// The fencing number drawn.
        Number(u64),
        /// The newest document, if there is one.
        Newest(Option<Document>),
        /// No slot free; come back.
        Wait {
            /// Milliseconds.
            retry_after_ms: u64,
        },
        /// No quorum, or this process does not lead and knows no leader: not done, or not known
        /// to be done.
        Unavailable,
        /// The evacuated zones, after the command.
        Evacuations(Evacuations),
    }

    /// A suspect, as entries learn it.
    pub struct Suspect {
        /// Which requests.
        pub fingerprint: id::Fingerprint,
        /// Backend servers that died under it. Two or more: quarantined.
        pub servers: Vec<String>,
        /// When it is forgotten, in milliseconds from the report.
        pub ttl_ms: u64,
    }
}
