//! Messages between members.

use bytes::Bytes;

use super::log;
use super::member;
use crate::wire::codec::MAX_BODY;

data! {
    /// A message with its sender and target.
    pub struct Envelope {
        /// The sender's cluster. 0: none yet.
        pub cluster: u128,
        /// The sender.
        pub from: member::Member,
        /// The target. Another incarnation at that address drops the message.
        pub to: member::Member,
        /// The sender's term.
        pub term: u64,
        /// Content.
        pub body: Body,
    }

    /// Term and index of an entry, usually the last one of a log. The greater, the more up to date
    /// the log is.
    #[derive(Copy, Default, PartialOrd, Ord)]
    pub struct Tail {
        /// Its term. Compared first.
        pub term: u64,
        /// Its index.
        pub index: u64,
    }

    /// Content of a message.
    pub enum Body {
        /// Asks whether the receiver would vote for the sender in `term`. Changes no state.
        PreVote {
            /// The sender's next term.
            term: u64,
            /// Last entry of the candidate's log.
            tail: Tail,
        },
        /// Answer to `PreVote`.
        PreVoted {
            /// The term of the `PreVote`.
            term: u64,
            /// Whether the receiver would vote for the candidate.
            granted: bool,
        },
        /// Requests a vote for the sender in the envelope's term.
        Vote {
            /// Last entry of the candidate's log.
            tail: Tail,
            /// The leader handed over to the candidate, so the leader's lease does not bind voters.
            handover: bool,
        },
        /// Answer to `Vote`. Sent once the vote is synced.
        Voted {
            /// Whether the vote is granted.
            granted: bool,
        },
        /// Entries from the leader. Empty in a heartbeat or a probe.
        Append {
            /// The entry just before `entries`.
            prev: Tail,
            /// Entries without gaps.
            entries: Vec<log::Entry>,
            /// Last committed index.
            commit: u64,
            /// Send time on the leader's clock in microseconds, echoed in the answer.
            sent: u64,
            /// The replicated clock in milliseconds.
            clock_ms: u64,
        },
        /// Answer to `Append` and to the last chunk of a `Snapshot`.
        Appended {
            /// Whether the logs agree up to `index` and the sender has synced it. If not, `index` is
            /// the last one where they may agree.
            agreed: bool,
            /// See `agreed`.
            index: u64,
            /// Copied from the message that is answered.
            sent: u64,
        },
        /// A chunk of a snapshot.
        Snapshot {
            /// Last entry that the snapshot replaces.
            tail: Tail,
            /// Length of the encoded snapshot.
            total: u64,
            /// Offset of `data` in the encoded snapshot.
            offset: u64,
            /// The bytes of the chunk.
            data: Bytes,
            /// As in `Append`.
            sent: u64,
        },
        /// Acknowledges a chunk of a `Snapshot` that is not complete yet.
        Took {
            /// Index of the last entry that the snapshot replaces.
            index: u64,
            /// Bytes received so far.
            offset: u64,
            /// Copied from the message that is answered.
            sent: u64,
        },
        /// The sender belongs to no cluster, or has no contact with a leader.
        Hail,
        /// Answer to `Hail`: the sender belongs to no cluster either.
        Unborn {
            /// Incarnation of the process that sent the `Hail`.
            echo: crate::wire::id::Incarnation,
        },
        /// A snapshot of a cluster, for a voter that does not know the cluster yet. Right after the
        /// founding, the initial snapshot.
        Genesis(log::Snapshot),
        /// Asks the receiver to start an election at once and take over the leadership.
        TakeOver,
    }
}

data! {
    /// A request from one control process to another.
    pub enum Packet {
        /// Messages in order. Answered at once.
        Batch(Vec<Envelope>),
        /// A command for the leader. Not forwarded again. Answered with the command's verdict.
        Forward(crate::wire::agree::Command),
        /// An operator's order for the leader. Not forwarded again.
        Order(member::Order),
    }
}

impl Envelope {
    /// Approximate size in bytes.
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
    pub fn encode(&self) -> Bytes {
        let conf = bincode::config::standard();
        let bytes = bincode::serde::encode_to_vec(self, conf).expect("a packet encodes");
        Bytes::from(bytes)
    }

    /// Decodes a packet. `None` if `bytes` is not exactly one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let conf = bincode::config::standard().with_limit::<MAX_BODY>();
        let (packet, used) = bincode::serde::decode_from_slice(bytes, conf).ok()?;
        (used == bytes.len()).then_some(packet)
    }
}
