//! What the router places, and where it placed it.

use std::time::Duration;

use crate::entry::gang;
use crate::entry::request;
use crate::wire::id;
use crate::wire::member;
use crate::wire::outcome;
use crate::wire::run;

/// A request that wants a place on a backend server.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its id.
    pub request: id::Request,
    /// Name of the workspace.
    pub workspace: String,
    /// Name of the service.
    pub service: String,
    /// Name of the model. `None` for plain services.
    pub model: Option<String>,
    /// Of workspace, model and body.
    pub fingerprint: id::Fingerprint,
    /// Length of the body in bytes.
    pub body_len: u64,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// When the final answer is due.
    pub deadline: Duration,
    /// Hashes of the prompt's whole blocks, in order; see docs/ENGINE.md.
    pub blocks: Vec<u64>,
    /// Whether an earlier attempt was made; the retry budget must allow it.
    pub retry: bool,
    /// Backend servers to use only if there is no other.
    pub avoid: Vec<String>,
}

/// A place for a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Where.
    pub target: request::Target,
    /// Estimated length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Class of length.
    pub class: run::Class,
    /// Priority for the engine.
    pub priority: u8,
    /// The members, if no engine can hold the prompt alone.
    pub gang: Option<gang::plan::Plan>,
}

/// What became of the attempt that a place was given for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feedback {
    /// The sidecar refused it; this is the exact load there.
    Refused(outcome::Cause, member::Load),
    /// Its first token or byte came.
    FirstOutput,
    /// The sidecar says that it failed.
    Failed(outcome::Cause),
    /// Contact to the sidecar was lost.
    Lost,
}
