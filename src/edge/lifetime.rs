//! The lifetime of this process: without end, or up to a deadline once it was told to stop.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;
use tokio::time;

/// The lifetime of this process. Clones share it.
#[derive(Clone, Debug)]
pub struct Lifetime {
    /// Deadline for all responses. `None`: the process was not told to stop. Invariant: once set,
    /// it only becomes earlier.
    deadline: Arc<watch::Sender<Option<Instant>>>,
}

impl Default for Lifetime {
    fn default() -> Self {
        Self {
            deadline: Arc::new(watch::Sender::new(None)),
        }
    }
}

impl Lifetime {
    /// Stops the process: all responses must be sent by `deadline`. An earlier deadline that was
    /// set before stays.
    pub fn end_by(&self, deadline: Instant) {
        self.deadline.send_if_modified(|current| {
            let is_earlier = current.is_none_or(|current| deadline < current);
            if is_earlier {
                *current = Some(deadline);
            }
            is_earlier
        });
    }

    /// Whether the process was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.deadline.borrow().is_some()
    }

    /// Time left for responses. `None`: the process was not told to stop.
    pub fn remaining(&self) -> Option<Duration> {
        let deadline = *self.deadline.borrow();
        deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()))
    }

    /// Waits until the process is told to stop.
    pub async fn stopping(&self) {
        let mut deadline = self.deadline.subscribe();
        // Can't fail: the sender lives as long as `self`.
        let _ = deadline.wait_for(Option::is_some).await;
    }

    /// Waits until the deadline has passed. Without one, waits for it to be set.
    pub async fn expired(&self) {
        let mut changes = self.deadline.subscribe();
        loop {
            let deadline = *changes.borrow_and_update();
            let Some(deadline) = deadline else {
                let _ = changes.changed().await;
                continue;
            };
            tokio::select! {
                () = time::sleep_until(time::Instant::from_std(deadline)) => return,
                _ = changes.changed() => {}
            }
        }
    }
}
