//! Messages between members.

use bytes::Bytes;

use super::log;
use super::member;
use crate::wire::codec::MAX_BODY;

data! {
    /// One message.
    pub struct Envelope {
        /// The sender's cluster. 0: it belongs to none yet.
        pub cluster: u128,
        /// The sender.
        pub from: member::Member,
        /// The member it is for. Another life at that address drops it.
        pub to: member::Member,
        /// The sender's term.
        pub term: u64,
        /// What it says.
        pub body: Body,
    }

    /// Last entry of a candidate's log.
    #[derive(Copy, Default, PartialOrd, Ord)]
    pub struct Tail {
        /// Its term. Compared first.
        pub term: u64,
        /// Its index.
        pub index: u64,
    }

    /// What a message says.
    pub enum Body {
        /// Would you vote for me in `term`? Changes nothing.
        PreVote {
            /// The term to come.
            term: u64,
            /// End of the candidate's log.
            tail: Tail,
        },
        /// Answer to `PreVote`.
        PreVoted {
            /// The term asked about.
            term: u64,
            /// Whether.
            granted: bool,
        },
        /// Vote for me in the envelope's term.
        Vote {
            /// End of the candidate's log.
            tail: Tail,
            /// The leader asked the candidate to take over, so its lease does not bind.
            handover: bool,
        },
        /// Answer to `Vote`. Sent when the vote is synced.
        Voted {
            /// Whether.
            granted: bool,
        },
        /// The leader's entries; empty as heartbeat.
        Append {
            /// End of the log before `entries`.
            prev: Tail,
            /// Entries without gap.
            entries: Vec<log::Entry>,
            /// Last committed index.
            commit: u64,
            /// The leader's time of sending in microseconds, returned in the answer.
            sent: u64,
            /// The replicated clock in milliseconds.
            clock_ms: u64,
        },
        /// Answer to `Append` and to a finished `Snapshot`.
        Appended {
            /// Whether the logs agree up to `index`, and it is synced there. If not, `index`
            /// is the last that may agree.
            agreed: bool,
            /// See `agreed`.
            index: u64,
            /// From the message answered.
            sent: u64,
        },
        /// A piece of a snapshot.
        Snapshot {
            /// End of the log that it stands for.
            tail: Tail,
            /// Length of the encoded snapshot.
            total: u64,
            /// Where `data` begins in it.
            offset: u64,
            /// The piece.
            data: Bytes,
            /// As in `Append`.
            sent: u64,
        },
        /// Answer to `Snapshot`.
        Took {
            /// Index that the snapshot stands for.
            index: u64,
            /// Bytes that have arrived.
            offset: u64,
            /// From the message answered.
            sent: u64,
        },
        /// I belong to no cluster, or hear no leader.
        Hail,
        /// Answer to `Hail` of one who belongs to no cluster either.
        Unborn {
            /// Life of the one who asked.
            echo: crate::wire::id::Incarnation,
        },
        /// A snapshot of a cluster, at first that of its founding, to a voter of it that has not
        /// yet heard of it.
        Genesis(log::Snapshot),
        /// Take over the leadership at once.
        TakeOver,
    }
}

data! {
    /// What goes from one control process to another in one question.
    pub enum Packet {
        /// Messages in their order. Answered at once.
        Batch(Vec<Envelope>),
        /// A command for the leader; not forwarded again. Answered with its verdict.
        Forward(crate::wire::agree::Command),
        /// An operator's order for the leader; not forwarded again.
        Order(member::Order),
    }
}

impl Envelope {
    /// About its size in bytes.
    pub fn approx_bytes(&self) -> usize {
        match &self.body {
            Body::Append { entries, .. } => entries.iter().map(log::Entry::approx_bytes).sum(),
            Body::Snapshot { data, .. } => data.len(),
            Body::Genesis(snapshot) => snapshot.state.len(),
            _ => 64,
        }
    }
}

impl Packet {
    /// Encodes it.
    pub fn encode(&self) -> Bytes {
        let conf = bincode::config::standard();
        let bytes = bincode::serde::encode_to_vec(self, conf).expect("a packet encodes");
        Bytes::from(bytes)
    }

    /// Decodes one, if it is one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let conf = bincode::config::standard().with_limit::<MAX_BODY>();
        let (packet, used) = bincode::serde::decode_from_slice(bytes, conf).ok()?;
        (used == bytes.len()).then_some(packet)
    }
}
