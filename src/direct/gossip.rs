//! What processes tell each other in datagrams: that they are there, which backend servers they
//! heard, what they have running there, which requests are suspect, and what limits servers name.
//!
//! All of it is soft: each datagram stands alone, may be lost, doubled or late, and is said
//! again. Nothing that must hold rests on it.

use std::net::SocketAddr;
use std::time::Duration;

use super::load;
use super::quota;
use super::register;
use crate::wire::id;

/// Most bytes of a datagram: fits one packet of an Ethernet.
pub const MAX_BYTES: usize = 1_400;

data! {
    /// A process, as it tells of itself.
    pub struct Peer {
        /// Its link address, on which it also takes datagrams.
        pub link: SocketAddr,
        /// Its life.
        pub life: id::Incarnation,
        /// Availability zone.
        pub zone: String,
        /// Whether it has a data folder and so may vote.
        pub votes: bool,
        /// Whether it leads.
        pub leads: bool,
        /// Whether it starts with the whole system for the first time.
        pub first_start: bool,
        /// Whether it takes callers' requests.
        pub serves: bool,
        /// Version of the newest committed document that it holds.
        pub version: u64,
    }

    /// One datagram.
    pub struct Datagram {
        /// Who sends it.
        pub from: Peer,
        /// Counts up within the sender's life, so that an older load is known as such.
        pub seq: u64,
        /// Whether the one who gets it passes it on to the others of its zone.
        pub relay: bool,
        /// What it says.
        pub news: Message,
    }

    /// What a datagram says.
    pub enum Message {
        /// I am there, and these are others that I know.
        Hello(Vec<SocketAddr>),
        /// Backend servers heard lately.
        Records(Vec<register::Record>),
        /// All that the sender has running.
        Loads {
            /// Whether it is all; else only what changed since the last.
            whole: bool,
            /// By backend server.
            loads: Vec<load::Load>,
            /// Ranks of the long prompts that wait for their turn, lowest first.
            waiting: Vec<u32>,
        },
        /// Paces of servers, in percent of their time model; 0: silent.
        Paces(Vec<(u64, u16)>),
        /// A backend server died while it ran this request.
        Died(id::Fingerprint, register::Instance),
        /// What is known of limits that backend servers name.
        Limits(Vec<quota::Report>),
        /// May one request go to one of these servers?
        Ask(Request),
        /// Whether it may.
        Grant(Grant),
        /// Something was sent, without a grant, to a server that names a limit.
        Charged(u64),
    }

    /// A question for a grant.
    pub struct Request {
        /// Counts up at the process that asks.
        pub number: u64,
        /// The service.
        pub service: String,
        /// Its servers that would do, all of which name limits.
        pub words: Vec<quota::Report>,
        /// How long its request may wait.
        pub most: Duration,
    }

    /// The answer to one.
    #[derive(Copy)]
    pub struct Grant {
        /// Number of the question.
        pub number: u64,
        /// The server that may be sent the request. `None`: none.
        pub server: Option<u64>,
        /// When it may be sent it; without a server, when its caller is to come back.
        pub wait: Duration,
    }
}

/// Encodes a datagram.
pub fn encode(datagram: &Datagram) -> Vec<u8> {
    let conf = bincode::config::standard();
    bincode::serde::encode_to_vec(datagram, conf).expect("a datagram encodes")
}

/// Decodes one, if it is one.
pub fn decode(bytes: &[u8]) -> Option<Datagram> {
    let conf = bincode::config::standard().with_limit::<65_536>();
    let (datagram, used) = bincode::serde::decode_from_slice(bytes, conf).ok()?;
    (used == bytes.len()).then_some(datagram)
}

/// Splits words on limits over datagrams that fit [`MAX_BYTES`].
pub fn report_chunks(words: &[quota::Report]) -> impl Iterator<Item = Vec<quota::Report>> {
    // A key, a number and a rate.
    const WORD_BYTES: usize = 24;
    words.chunks(MAX_BYTES / WORD_BYTES / 2).map(<[_]>::to_vec)
}

/// Splits records over datagrams that fit [`MAX_BYTES`].
pub fn record_chunks(records: Vec<register::Record>) -> Vec<Vec<register::Record>> {
    // An id, a service, a zone, an address and some numbers.
    const RECORD_BYTES: usize = 96;
    let most = MAX_BYTES / RECORD_BYTES;
    records.chunks(most).map(<[_]>::to_vec).collect()
}
