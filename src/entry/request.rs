//! One request on its way over its attempts: retries, at most once, and the whole answer.
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

/// What a request is, for its decisions.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Its id.
    pub request: id::Request,
    /// Name of the workspace.
    pub workspace: String,
    /// Of workspace, model and body.
    pub fingerprint: id::Fingerprint,
    /// Whether it is a call of a plain service, whose answer has a head and cannot go on elsewhere.
    pub plain: bool,
    /// Bytes of its body, which an offer brings to the sidecar before it is answered.
    pub body_len: u64,
    /// Whether a second run does no harm.
    pub repeatable: bool,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// When it must have its final answer.
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
    /// Life of the sidecar that is meant.
    pub sidecar: id::Incarnation,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// Control's verdict on the claim.
    ClaimResult(agree::Verdict),
    /// The router chose.
    Chosen(Target),
    /// The router found no place.
    Unplaced(outcome::Failure),
    /// A reply came, on whatever stream.
    Reply(run::Reply),
    /// The stream of this attempt failed or ended. Nothing more comes on it.
    Lost(id::Attempt),
    /// The caller went away.
    Disconnected,
    /// This entry ends before the answer.
    ShuttingDown,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Put the claim to control; its verdict comes back as an event.
    Claim,
    /// Record the outcome at control.
    Settle(outcome::Ran),
    /// Ask the router for a place; servers in `avoid` only if there is no other.
    Choose {
        /// Whether this is a retry, which the retry budget must allow.
        retry: bool,
        /// Backend servers tried before.
        avoid: Vec<String>,
    },
    /// Open a stream to the target and offer. `start`: start as soon as it is reserved.
    Offer {
        /// Where.
        target: Target,
        /// As what.
        attempt: id::Attempt,
        /// Folded start.
        start: bool,
        /// Texts of tokens that the caller has.
        delivered: Vec<String>,
    },
    /// Send `Start`.
    Start(id::Attempt),
    /// Send `Cancel`, on the stream if it is open, else on a new one to the target.
    Cancel(Target, id::Attempt),
    /// Open a new stream to the target and query.
    Query {
        /// Where.
        target: Target,
        /// What.
        attempt: id::Attempt,
        /// First token or byte wanted.
        offset: u64,
    },
    /// Pass on status and headers.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<(String, String)>,
    },
    /// Pass on tokens.
    Tokens(Vec<String>),
    /// Pass on bytes.
    Bytes(Bytes),
    /// The answer is whole. The last action.
    Done {
        /// Why it ended.
        end: run::End,
        /// What it cost.
        usage: run::Usage,
    },
    /// The final word. The last action.
    Fail(outcome::Failure),
}
