//! Gossip between processes in datagrams: that they are running, which backend servers sent them
//! heartbeats, the load they put on these, which requests and prompt parts are suspect, and the limits
//! that servers announce.
//!
//! All of it is best effort. Each datagram is complete in itself, may be lost, duplicated or late,
//! and is sent again. No guarantee depends on it.

use std::net::SocketAddr;
use std::time::Duration;

use super::load;
use super::part;
use super::quota;
use super::register;
use crate::wire::agree;
use crate::wire::id;

/// Most bytes of a datagram: it fits into one Ethernet packet.
pub const MAX_BYTES: usize = 1_400;

data! {
    /// What a process reports about itself.
    pub struct Peer {
        /// Its link address, which also receives datagrams.
        pub link: SocketAddr,
        /// Its incarnation, which differs after a restart.
        pub life: id::Incarnation,
        /// Availability zone.
        pub zone: String,
        /// Whether it has a data folder and so may vote.
        pub votes: bool,
        /// Whether it is the leader.
        pub leads: bool,
        /// Whether this is the first start of the whole system.
        pub first_start: bool,
        /// Whether it serves callers' requests.
        pub serves: bool,
        /// Version of the newest committed configuration document that it holds.
        pub version: u64,
    }

    /// One datagram.
    pub struct Datagram {
        /// The sender.
        pub from: Peer,
        /// Increases within the sender's incarnation, so that a load report that was overtaken is
        /// recognized.
        pub seq: u64,
        /// Whether the receiver forwards it to the other processes of its zone.
        pub relay: bool,
        /// The content.
        pub news: Message,
    }

    /// The content of a datagram.
    pub enum Message {
        /// The sender is running, and knows these processes. If it lists itself, it understands
        /// [`Self::Batch`].
        Hello(Vec<SocketAddr>),
        /// Backend servers from which the sender recently received heartbeats.
        Records(Vec<register::Record>),
        /// The load of the sender's requests.
        Loads {
            /// Whether all loads are listed; otherwise those changed since the last report.
            whole: bool,
            /// Load by backend server.
            loads: Vec<load::Load>,
            /// Ranks of the waiting long prompts, lowest first.
            waiting: Vec<u32>,
        },
        /// Servers, by key, with their time as a percentage of what their time model predicts;
        /// 0: the server is silent.
        Paces(Vec<(u64, u16)>),
        /// A backend server crashed while it ran this request.
        Died(id::Fingerprint, register::Instance),
        /// Limits that backend servers announce.
        Limits(Vec<quota::Report>),
        /// Asks for permission to send one request.
        Ask(Request),
        /// Answers such a request.
        Grant(Grant),
        /// A request was sent without a grant to this server, which has a limit.
        Charged(u64),
        /// Like [`Self::Records`], for servers that are cold, each with the milliseconds until it is
        /// warm. A record and its coldness go together: a receiver that knew only the record would
        /// take the server as warm.
        ColdRecords(Vec<(register::Record, u32)>),
        /// The evacuated zones as committed.
        Evacuations(agree::Evacuations),
        /// Datagrams of other processes that a relay forwards together. Invariant: none of them is a
        /// batch, or is to be relayed.
        Batch(Vec<Datagram>),
        /// Parts of prompts that crash backend servers.
        Parts(part::News),
    }

    /// Asks the entry that grants for a service to permit one request.
    pub struct Request {
        /// Increases at the sender.
        pub number: u64,
        /// Name of the service.
        pub service: String,
        /// Its suitable servers, all of which have limits.
        pub words: Vec<quota::Report>,
        /// Longest time that the request may wait.
        pub most: Duration,
    }

    /// The answer to a [`Request`].
    #[derive(Copy)]
    pub struct Grant {
        /// Number of the request.
        pub number: u64,
        /// The server that may be sent the request. `None`: the request is rejected.
        pub server: Option<u64>,
        /// Time until it may be sent; without a server, time until the caller is to retry.
        pub wait: Duration,
    }
}

impl Message {
    /// Its kind, as a label of metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Records(_) => "records",
            Self::Loads { .. } => "loads",
            Self::Paces(_) => "paces",
            Self::Died(..) => "died",
            Self::Limits(_) => "limits",
            Self::Ask(_) => "ask",
            Self::Grant(_) => "grant",
            Self::Charged(_) => "charged",
            Self::ColdRecords(_) => "cold_records",
            Self::Evacuations(_) => "evacuations",
            Self::Batch(_) => "batch",
            Self::Parts(_) => "parts",
        }
    }
}

/// Encodes a datagram.
pub fn encode(datagram: &Datagram) -> Vec<u8> {
    let conf = bincode::config::standard();
    bincode::serde::encode_to_vec(datagram, conf).expect("a datagram encodes")
}

/// Decodes a datagram. `None`: the bytes are not exactly one.
pub fn decode(bytes: &[u8]) -> Option<Datagram> {
    let conf = bincode::config::standard().with_limit::<65_536>();
    let (datagram, used) = bincode::serde::decode_from_slice(bytes, conf).ok()?;
    (used == bytes.len()).then_some(datagram)
}

/// Gathers datagrams that a relay forwards into batches of at most [`MAX_BYTES`].
pub fn batches(datagrams: Vec<Datagram>) -> Vec<Message> {
    // The batch's own sender, which has the size of any other, and its counts.
    const HEADER_BYTES: usize = 128;
    let mut batches = Vec::new();
    let (mut batch, mut bytes) = (Vec::new(), HEADER_BYTES);
    for datagram in datagrams {
        let more = encode(&datagram).len();
        if bytes + more > MAX_BYTES && !batch.is_empty() {
            batches.push(Message::Batch(std::mem::take(&mut batch)));
            bytes = HEADER_BYTES;
        }
        bytes += more;
        batch.push(datagram);
    }
    if !batch.is_empty() {
        batches.push(Message::Batch(batch));
    }
    batches
}

/// The datagrams of a batch. Those that must not be in one are left out: they would be forwarded again.
pub fn unbatch(datagrams: Vec<Datagram>) -> impl Iterator<Item = Datagram> {
    datagrams
        .into_iter()
        .filter(|datagram| !datagram.relay && !matches!(datagram.news, Message::Batch(_)))
}

/// Splits reports on limits into datagrams of at most [`MAX_BYTES`].
pub fn report_chunks(reports: &[quota::Report]) -> impl Iterator<Item = Vec<quota::Report>> {
    // A key, a change number and a rate.
    const REPORT_BYTES: usize = 24;
    reports
        .chunks(MAX_BYTES / REPORT_BYTES / 2)
        .map(<[_]>::to_vec)
}

/// Splits records into messages of at most [`MAX_BYTES`]. `cold_remaining`: how long a server will
/// be cold. For one that accepts no requests this does not matter.
pub fn record_messages(
    records: Vec<register::Record>,
    cold_remaining: impl Fn(&register::Record) -> Duration,
) -> Vec<Message> {
    // An id, a service, a zone, an address and some numbers.
    const RECORD_BYTES: usize = 96;
    let count = MAX_BYTES / RECORD_BYTES;
    let (mut warm, mut cold) = (Vec::new(), Vec::new());
    for record in records {
        let is_ready = record.phase == register::Phase::Ready;
        match cold_remaining(&record).as_millis() as u32 {
            remaining_ms if is_ready && remaining_ms > 0 => cold.push((record, remaining_ms)),
            _ => warm.push(record),
        }
    }
    let warm = warm
        .chunks(count)
        .map(|some| Message::Records(some.to_vec()));
    let cold = cold
        .chunks(count)
        .map(|some| Message::ColdRecords(some.to_vec()));
    warm.chain(cold).collect()
}
