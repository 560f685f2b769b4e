//! How long this process goes on: for good, or to a time that a stop has set.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;
use tokio::time;

/// How long this process goes on. Clones share it.
#[derive(Clone, Debug)]
pub struct Lifetime {
    /// By when all answers are given. `None`: no stop has been asked for. Invariant: once set, it
    /// only comes nearer.
    end: Arc<watch::Sender<Option<Instant>>>,
}

impl Default for Lifetime {
    fn default() -> Self {
        Self {
            end: Arc::new(watch::Sender::new(None)),
        }
    }
}

impl Lifetime {
    /// All answers are to be given by `end`, or by an earlier time that was set before.
    pub fn end_by(&self, end: Instant) {
        self.end.send_if_modified(|known| {
            let is_nearer = known.is_none_or(|known| end < known);
            if is_nearer {
                *known = Some(end);
            }
            is_nearer
        });
    }

    /// Whether a stop has been asked for.
    pub fn is_stopping(&self) -> bool {
        self.end.borrow().is_some()
    }

    /// Time that is left for answers. `None`: no stop has been asked for.
    pub fn remaining(&self) -> Option<Duration> {
        let end = *self.end.borrow();
        end.map(|end| end.saturating_duration_since(Instant::now()))
    }

    /// Waits until a stop is asked for.
    pub async fn stopping(&self) {
        let mut end = self.end.subscribe();
        // The sender lives as long as this.
        let _ = end.wait_for(Option::is_some).await;
    }

    /// Waits until the time for answers is over.
    pub async fn expired(&self) {
        let mut changes = self.end.subscribe();
        loop {
            let end = *changes.borrow_and_update();
            let Some(end) = end else {
                let _ = changes.changed().await;
                continue;
            };
            tokio::select! {
                () = time::sleep_until(time::Instant::from_std(end)) => return,
                _ = changes.changed() => {}
            }
        }
    }
}
