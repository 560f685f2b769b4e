//! One question, one answer, each on an h2 stream of its own.

use super::agree;
use super::member;
use super::order;
use super::outcome;

data! {
    /// A question.
    pub enum Ask {
        /// Sidecar to entry: presence and load.
        Announce(Box<member::Announce>),
        /// Any process to control, each period: its presence. Also a heartbeat.
        Hello(member::Peer),
        /// Control to control, each period: itself and those who said hello to it.
        Present(Vec<member::Peer>),
        /// Any process to one with a newer revision: what is new since `have`.
        Pull {
            /// Revision in force at the one who asks. 0: none.
            have: u64,
            /// How long to hold the question while there is nothing new, in milliseconds.
            wait_ms: u64,
        },
        /// To control: a command for the agreed state.
        Propose(agree::Command),
        /// Between control processes: a consensus message, encoded by that module.
        Consensus(bytes::Bytes),
        /// To a sidecar: an order to its backend server.
        Order(order::Order),
        /// Any process to any other: a document newer than this version, if there is one.
        Document {
            /// Version held by the one who asks. 0: none.
            have: u64,
        },
        /// Entry to entry: suspects of which the quorum just learned.
        Suspects(Vec<agree::Suspect>),
        /// Entry to control: the evacuated zones, if they changed more often than this.
        Evacuations {
            /// Changes known to the one who asks.
            have: u64,
        },
    }

    /// An answer.
    pub enum Answer {
        /// Done, nothing to say.
        Ack,
        /// To `Announce` and `Hello`: who else is there.
        View(View),
        /// To `Pull`.
        Update(Update),
        /// To `Propose`.
        Verdict(agree::Verdict),
        /// To `Document`.
        Document(Option<agree::Document>),
        /// To `Order`.
        Ordered(Result<(), outcome::Failure>),
        /// This process has no such role, or is not ready.
        Unavailable,
        /// To `Evacuations`. `None`: no more changes are known.
        Evacuations(Option<agree::Evacuations>),
    }

    /// Who is there, as control knows it.
    #[derive(Default)]
    pub struct View {
        /// Entries and control processes.
        pub peers: Vec<member::Peer>,
        /// Suspects in force.
        pub suspects: Vec<agree::Suspect>,
    }

    /// News of the configuration.
    pub enum Update {
        /// Nothing newer is known.
        Same,
        /// Files that changed since the revision asked for.
        Delta {
            /// The revision that this leads from.
            from: u64,
            /// The revision that this leads to.
            revision: u64,
            /// New and changed files.
            changed: Vec<agree::File>,
            /// Names of removed files.
            removed: Vec<String>,
        },
        /// The whole folder.
        Snapshot {
            /// Its revision.
            revision: u64,
            /// The folder.
            files: Vec<agree::File>,
        },
    }
}
