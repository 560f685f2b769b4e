//! A request for the router to place, and the placement that it gets.

use std::time::Duration;

use crate::entry::gang;
use crate::entry::request;
use crate::wire::id;
use crate::wire::member;
use crate::wire::outcome;
use crate::wire::run;

/// A request to be placed on a backend server.
#[derive(Clone, Debug)]
pub struct Job {
    pub request: id::Request,
    /// Name of the workspace.
    pub workspace: String,
    /// Name of the service.
    pub service: String,
    /// Name of the model. `None` for plain services.
    pub model: Option<String>,
    /// Hash of workspace, model and body.
    pub fingerprint: id::Fingerprint,
    /// Length of the body in bytes.
    pub body_len: u64,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// When the final response is due.
    pub deadline: Duration,
    /// Hashes of the prompt's complete blocks, in order; see docs/ENGINE.md.
    pub blocks: Vec<u64>,
    /// Whether an earlier attempt was made; the retry budget must allow it.
    pub retry: bool,
    /// Backend servers to use only if there is no other.
    pub avoid: Vec<String>,
}

/// Where a job is to run, or the members of its gang.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The backend server.
    pub target: request::Target,
    /// Estimated length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Class of length.
    pub class: run::Class,
    /// Priority for the engine.
    pub priority: u8,
    /// The gang, if no engine can hold the prompt alone.
    pub gang: Option<gang::plan::Plan>,
}

/// What happened to the attempt of a placed job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feedback {
    /// The sidecar refused it; the load is exact.
    Refused(outcome::Cause, member::Load),
    /// Its first token or byte arrived.
    FirstOutput,
    /// The sidecar reported that it failed.
    Failed(outcome::Cause),
    /// Contact to the sidecar was lost.
    Lost,
}
