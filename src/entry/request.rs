//! One request and its attempts: retries, at-most-once execution, and a complete response.
//!
//! A pure state machine. Its driver feeds events, carries out the actions in order, and calls
//! `step` with [`Event::Tick`] when [`Request::wake`] has come.

use std::time::Duration;

use bytes::Bytes;

use crate::wire::agree;
use crate::wire::id;
use crate::wire::outcome;
use crate::wire::run;

mod answer;
mod attempt;
mod decide;

pub use decide::Request;

/// The properties of a request that decide how it is handled.
#[derive(Clone, Debug)]
pub struct Profile {
    pub request: id::Request,
    /// Name of the workspace.
    pub workspace: String,
    /// Hash of workspace, model and body.
    pub fingerprint: id::Fingerprint,
    /// Whether it calls a plain service. Its response has a head, and another attempt cannot
    /// continue it.
    pub plain: bool,
    /// Bytes of its body. An offer sends the body to the sidecar before the sidecar replies.
    pub body_len: u64,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// When its final response is due.
    pub deadline: Duration,
    /// How long the idempotency key is remembered.
    pub claim_ttl: Duration,
}

/// A backend server chosen by the router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the backend server.
    pub server: String,
    /// Link address of its sidecar.
    pub link: std::net::SocketAddr,
    /// Incarnation of the sidecar that the choice was made for.
    pub sidecar: id::Incarnation,
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// Control decided on the claim of the idempotency key.
    ClaimResult(agree::Verdict),
    /// The router chose a backend server.
    Chosen(Target),
    /// The router rejected the request.
    Unplaced(outcome::Failure),
    /// A reply arrived, on any stream.
    Reply(run::Reply),
    /// The stream of this attempt failed or ended; no further reply arrives on it.
    Lost(id::Attempt),
    /// The caller closed its connection.
    Disconnected,
    /// This entry shuts down before the response is complete.
    ShuttingDown,
}

/// Output of the state machine, for its driver to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Claim the idempotency key at control; [`Event::ClaimResult`] follows.
    Claim,
    /// Record the outcome at control.
    Settle(outcome::Ran),
    /// Ask the router for a backend server.
    Choose {
        /// Whether this is a retry, which the retry budget must allow.
        retry: bool,
        /// Backend servers tried before, to use only if there is no other.
        avoid: Vec<String>,
    },
    /// Open a stream to the target and offer the attempt.
    Offer {
        /// Backend server to offer it to.
        target: Target,
        /// Id of the attempt.
        attempt: id::Attempt,
        /// Whether the sidecar starts it as soon as it is reserved, without a separate `Start`.
        start: bool,
        /// Texts of the tokens that the caller has already received.
        delivered: Vec<String>,
    },
    /// Send `Start`.
    Start(id::Attempt),
    /// Send `Cancel`, on the stream if it is open, else on a new one to the target.
    Cancel(Target, id::Attempt),
    /// Open a new stream to the target and query the attempt.
    Query {
        /// Backend server that has the attempt.
        target: Target,
        /// Id of the attempt.
        attempt: id::Attempt,
        /// First token or byte wanted.
        offset: u64,
    },
    /// Send the status and headers to the caller.
    Head {
        /// HTTP status.
        status: u16,
        /// HTTP headers, as name and value.
        headers: Vec<(String, String)>,
    },
    /// Send tokens to the caller.
    Tokens(Vec<String>),
    /// Send bytes to the caller.
    Bytes(Bytes),
    /// The response is complete. No action follows.
    Done {
        /// Why generation ended.
        end: run::End,
        /// Tokens used.
        usage: run::Usage,
    },
    /// The request failed. No action follows.
    Fail(outcome::Failure),
}
