//! The newest committed document that a process knows.

use tokio::sync::watch;

use crate::wire::agree;

/// Holds the newest document. Invariant: its version only grows, so what is in force here never
/// reverts within a life of the process.
pub struct Store {
    newest: watch::Sender<Option<agree::Document>>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            newest: watch::Sender::new(None),
        }
    }
}

impl Store {
    /// Takes a committed document if it is newer. Whether it was.
    pub fn install(&self, document: agree::Document) -> bool {
        self.newest.send_if_modified(|newest| {
            let is_newer = document.version > newest.as_ref().map_or(0, |one| one.version);
            if is_newer {
                *newest = Some(document);
            }
            is_newer
        })
    }

    /// Version held. 0: none.
    pub fn version(&self) -> u64 {
        self.newest.borrow().as_ref().map_or(0, |one| one.version)
    }

    /// The document, if it is newer than `have`.
    pub fn newer(&self, have: u64) -> Option<agree::Document> {
        let newest = self.newest.borrow();
        newest.clone().filter(|one| one.version > have)
    }

    /// Tells of each newer document.
    pub fn watch(&self) -> watch::Receiver<Option<agree::Document>> {
        self.newest.subscribe()
    }
}
