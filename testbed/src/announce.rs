//! How a backend server announces itself to its sidecar.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::watch;

/// Body of `POST /v1/announce`.
#[derive(Clone, Debug, Serialize)]
pub struct Announcement {
    /// Name of the backend server.
    pub server: String,
    /// Service that it belongs to.
    pub service: String,
    /// `engine` or `plain`.
    pub kind: &'static str,
    /// Where it is reached.
    pub url: String,
    /// Its life.
    pub incarnation: u64,
    /// Models loaded.
    pub models: Vec<String>,
    /// Runs that it takes at once.
    pub slots: u32,
    /// KV memory in tokens.
    pub memory_tokens: u64,
    /// How long this is valid.
    pub ttl_ms: u64,
    /// Asks for a drain.
    pub leaving: bool,
}

/// The sidecar's answer.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Presence {
    /// Attempts in progress.
    pub in_progress: u32,
    /// Whether the backend server gets no new work.
    pub leaving: bool,
}

/// Where and how often to announce.
#[derive(Clone, Debug)]
pub struct Settings {
    /// URL of the sidecar.
    pub sidecar: String,
    /// Key to show.
    pub key: String,
}

/// Announces what `current` gives, each third of its TTL and when `changed` says so, for ever.
pub async fn run(
    settings: Settings,
    current: impl Fn() -> Announcement + Send + 'static,
    changed: Arc<Notify>,
    presence: watch::Sender<Option<Presence>>,
) {
    let client = reqwest::Client::new();
    let url = format!("{}/v1/announce", settings.sidecar);
    loop {
        let body = current();
        let period = Duration::from_millis((body.ttl_ms / 3).max(1));
        let request = client
            .post(&url)
            .bearer_auth(&settings.key)
            .timeout(period)
            .json(&body);
        let answer = match request.send().await {
            Ok(answer) if answer.status().is_success() => answer.json().await.ok(),
            _ => None,
        };
        if let Some(answer) = answer
            && body.leaving == current().leaving
        {
            presence.send_replace(Some(answer));
        }
        tokio::select! {
            () = tokio::time::sleep(period) => {}
            () = changed.notified() => {}
        }
    }
}
