//! The evacuated zones that a process knows.

use tokio::sync::watch;

use crate::wire::agree;

/// Holds the newest committed evacuations. Invariant: their number of changes only grows, so an
/// order in force here never reverts while the process runs.
pub struct Store {
    newest: watch::Sender<agree::Evacuations>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            newest: watch::Sender::new(agree::Evacuations::default()),
        }
    }
}

impl Store {
    /// Stores committed evacuations if they are newer than those held. Returns whether they are.
    pub fn install(&self, evacuations: agree::Evacuations) -> bool {
        self.newest.send_if_modified(|newest| {
            let is_newer = evacuations.change > newest.change;
            if is_newer {
                *newest = evacuations;
            }
            is_newer
        })
    }

    /// Those held.
    pub fn newest(&self) -> agree::Evacuations {
        self.newest.borrow().clone()
    }

    /// Those held, if they changed more often than `have`.
    pub fn newer_than(&self, have: u64) -> Option<agree::Evacuations> {
        let newest = self.newest.borrow();
        (newest.change > have).then(|| newest.clone())
    }

    /// A receiver that is notified of each change.
    pub fn watch(&self) -> watch::Receiver<agree::Evacuations> {
        self.newest.subscribe()
    }
}
