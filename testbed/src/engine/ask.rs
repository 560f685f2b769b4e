//! What a sidecar asks of an engine, as JSON bodies.

use std::borrow::Cow;

use serde::Deserialize;
use serde::Serialize;

/// Body of `POST /v1/runs`; borrows the prompt from the body where it can.
#[derive(Debug, Deserialize)]
pub struct Run<'a> {
    /// Attempt id.
    pub id: String,
    /// Model to run on.
    pub model: String,
    /// Text to answer.
    #[serde(borrow)]
    pub prompt: Cow<'a, str>,
    /// Tokens of the answer that are already given.
    #[serde(default)]
    pub delivered: Vec<String>,
    /// Length of the whole answer in tokens, delivered ones included.
    pub max_tokens: u64,
    /// Higher goes first.
    #[serde(default)]
    pub priority: u8,
    /// Milliseconds from receipt until the run is dropped.
    pub deadline_ms: u64,
    /// Segments that come before the prompt.
    #[serde(default)]
    pub context: Vec<Link>,
}

/// Body of `POST /v1/kv`.
#[derive(Debug, Deserialize)]
pub struct Segment<'a> {
    /// Attempt id that it belongs to.
    pub owner: String,
    /// Text to prefill.
    #[serde(borrow)]
    pub text: Cow<'a, str>,
    /// Segments that come before it.
    #[serde(default)]
    pub context: Vec<Link>,
    /// Higher goes first.
    #[serde(default)]
    pub priority: u8,
    /// Milliseconds from receipt until the prefill is dropped.
    pub deadline_ms: u64,
}

/// Where a segment is held.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Link {
    /// URL of the engine that holds it.
    pub url: String,
    /// Its handle there.
    pub handle: String,
}

/// The exported state of a segment.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Export {
    /// Tokens of this segment.
    pub tokens: u64,
    /// Size of its KV.
    pub bytes: u64,
    /// Where the next text's hash starts.
    pub hash: u64,
    /// Attempt id that it belongs to.
    pub owner: String,
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Order {
    /// Fencing number.
    pub fence: u64,
    /// What to do.
    pub order: Task,
}

/// What an order asks.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Task {
    /// What to change.
    pub kind: Kind,
    /// Model, adapter or role.
    pub name: String,
}

/// Kinds of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Load a model.
    LoadModel,
    /// Unload a model.
    UnloadModel,
    /// Load an adapter.
    LoadAdapter,
    /// Unload an adapter.
    UnloadAdapter,
    /// Change the role.
    SetRole,
}
