//! The conversation between entry and sidecar over one attempt: one h2 stream each.
//!
//! The entry sends [`Call`]s, the sidecar [`Reply`]s. The order is `Offer`, `Body`s until
//! `body_len` bytes are sent, then `Reserved` or `Refused`, then `Start`, `Started`, `Head` and
//! `Chunk`s by offset, then `Done` or `Failed`. An offer with `start` set starts as soon as it
//! is reserved. On a new stream after lost contact the entry sends `Query`.

use bytes::Bytes;

use super::id;
use super::member;
use super::outcome;

key! {
    /// Class of length of a prompt; decides priority and reserved room.
    #[serde(rename_all = "snake_case")]
    pub enum Class {
        /// Up to the policy's `short_tokens`.
        Short,
        /// In between.
        Medium,
        /// From the policy's `long_tokens` on.
        Long,
    }
}

impl Class {
    /// Lowest priority of a short request that is within its share.
    pub const SHORT_PRIORITY: u8 = 170;

    /// Lowest priority of a medium request that is within its share.
    pub const MEDIUM_PRIORITY: u8 = 97;

    /// The class with whose prompts an engine prefills at this priority: a workspace over its
    /// share goes with the long ones, a request that has waited long with the shorter ones.
    pub fn at(priority: u8) -> Self {
        match priority {
            Self::SHORT_PRIORITY.. => Self::Short,
            Self::MEDIUM_PRIORITY.. => Self::Medium,
            _ => Self::Long,
        }
    }
}

data! {
    /// What is to be run.
    pub enum Work {
        /// A prompt for a model engine. The body is the prompt's text.
        Prompt {
            /// Name of the model.
            model: String,
            /// Estimated length of the prompt in tokens.
            prompt_tokens: u64,
            /// Most tokens to generate.
            max_tokens: u32,
            /// Tokens of the answer that the caller already has from an earlier attempt. The
            /// engine goes on from prompt + `delivered`; the first chunk has their count as
            /// its offset.
            delivered: Vec<String>,
            /// KV segments that come before the prompt, in order. Empty for an ordinary run.
            context: Vec<Context>,
        },
        /// A call of a plain service. The body is the call's body.
        Http {
            /// HTTP method, upper case.
            method: String,
            /// Path and query below the service's address, with a leading slash.
            path: String,
            /// Headers to pass on, names in lower case.
            headers: Vec<(String, String)>,
        },
        /// Part of a prompt that is larger than one engine: its KV is prefilled on
        /// [`Call::Hold`] and held until the attempt is cancelled. The body is the part's text.
        Segment {
            /// Name of the model.
            model: String,
            /// Estimated length of the part in tokens.
            prompt_tokens: u64,
            /// Tokens reserved besides, for the request's final run on the same engine. 0: it
            /// runs elsewhere.
            room: u64,
        },
    }

    /// A KV segment held by an engine.
    pub struct Context {
        /// Address of the engine.
        pub url: String,
        /// Name of the segment there.
        pub handle: String,
    }

    /// An attempt offered to a sidecar.
    pub struct Offer {
        /// Its id.
        pub attempt: id::Attempt,
        /// Life of the entry that offers.
        pub entry: id::Incarnation,
        /// Life of the sidecar that is meant. Another life refuses.
        pub sidecar: id::Incarnation,
        /// Name of the service.
        pub service: String,
        /// Name of the workspace.
        pub workspace: String,
        /// Fingerprint of the request.
        pub fingerprint: id::Fingerprint,
        /// Whether a backend server died under the request, as control knows. Two such requests
        /// never run on one backend server at a time.
        pub suspect: bool,
        /// Class of length.
        pub class: Class,
        /// Priority for the engine, higher goes first.
        pub priority: u8,
        /// Time left until the request's time limit, in milliseconds, as the offer is sent.
        pub remaining_ms: u64,
        /// Whether a second run does no harm.
        pub repeatable: bool,
        /// Start as soon as it is reserved. Invariant: only if `repeatable`.
        pub start: bool,
        /// Bytes of the body that follow in [`Call::Body`]s.
        pub body_len: u64,
        /// What to run.
        pub work: Work,
    }

    /// From entry to sidecar.
    pub enum Call {
        /// Offers an attempt.
        Offer(Box<Offer>),
        /// The next part of the offer's body.
        Body(Bytes),
        /// Starts a reserved attempt.
        Start(id::Attempt),
        /// Withdraws or stops an attempt. Before `Started` it is answered by `Refused` (never
        /// ran, never will) or by `Failed`.
        Cancel(id::Attempt),
        /// Asks what became of an attempt and, if it runs, for its chunks from `offset` on.
        /// An attempt that the sidecar does not know is tombstoned by this.
        Query {
            /// The attempt.
            attempt: id::Attempt,
            /// Number of the first token (prompts) or byte (plain services) wanted.
            offset: u64,
            /// Life of the sidecar that the attempt was offered to. This life can rule out that
            /// an attempt it does not know ever ran; a later one cannot.
            sidecar: id::Incarnation,
        },
        /// Starts the prefill of a reserved segment.
        Hold {
            /// The attempt.
            attempt: id::Attempt,
            /// The segments before it, in order.
            context: Vec<Context>,
        },
    }

    /// What a run cost, as the engine reports it.
    #[derive(Copy, Default)]
    pub struct Usage {
        /// Tokens of the prompt.
        pub prompt_tokens: u64,
        /// Of these, found in the prefix cache.
        pub cached_tokens: u64,
        /// Tokens generated.
        pub output_tokens: u64,
    }

    /// Why generation ended.
    #[derive(Copy)]
    pub enum End {
        /// The model ended its answer.
        Stop,
        /// `max_tokens` were generated.
        Length,
    }

    /// From sidecar to entry. Every reply carries the attempt, so that a late one of an earlier
    /// attempt is known and dropped.
    pub enum Reply {
        /// Memory and a slot are held for the attempt until `Start`, `Cancel` or its deadline.
        Reserved(id::Attempt),
        /// The attempt was not run and never will be.
        Refused {
            /// The attempt.
            attempt: id::Attempt,
            /// Why, with when to come back.
            failure: outcome::Failure,
            /// The exact load at the refusal.
            load: member::Load,
        },
        /// The attempt was handed to the backend server: from here on it may have run.
        Started(id::Attempt),
        /// Status and headers of a plain service's answer.
        Head {
            /// The attempt.
            attempt: id::Attempt,
            /// HTTP status.
            status: u16,
            /// Headers to pass on, names in lower case.
            headers: Vec<(String, String)>,
        },
        /// Part of the answer.
        Chunk {
            /// The attempt.
            attempt: id::Attempt,
            /// For prompts the number of the first token in `tokens`, for plain services the
            /// number of the first byte in `bytes`.
            offset: u64,
            /// Texts of the tokens. Empty for plain services.
            tokens: Vec<String>,
            /// Bytes of a plain service's answer. Empty for prompts.
            bytes: Bytes,
        },
        /// The whole answer was sent. Without this mark an answer is not whole.
        Done {
            /// The attempt.
            attempt: id::Attempt,
            /// Tokens (prompts) or bytes (plain services) of the whole answer.
            length: u64,
            /// Why it ended.
            end: End,
            /// What it cost.
            usage: Usage,
        },
        /// The attempt ended without a whole answer.
        Failed {
            /// The attempt.
            attempt: id::Attempt,
            /// Why, and whether it ran.
            failure: outcome::Failure,
        },
        /// Answer to a query of an attempt that the sidecar has no memory of and cannot rule
        /// out (it restarted): unknown, never "not run".
        Unknown(id::Attempt),
        /// The segment is prefilled, and held.
        Held {
            /// The attempt.
            attempt: id::Attempt,
            /// Where it is held.
            segment: Context,
            /// Its length in tokens.
            tokens: u64,
        },
    }
}

impl Reply {
    /// The attempt that the reply speaks of.
    pub fn attempt(&self) -> id::Attempt {
        match self {
            Self::Reserved(attempt) | Self::Started(attempt) | Self::Unknown(attempt) => *attempt,
            Self::Refused { attempt, .. }
            | Self::Head { attempt, .. }
            | Self::Chunk { attempt, .. }
            | Self::Done { attempt, .. }
            | Self::Failed { attempt, .. }
            | Self::Held { attempt, .. } => *attempt,
        }
    }
}
