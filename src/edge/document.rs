//! The newest committed document that a process knows.
//!
//! Documents are packed once, where they come in, and travel and are stored so: a configuration
//! shrinks to an eighth, and unpacked it would take seconds to all on the smallest links (1.4 s
//! for 320 kB to 31 processes).

use std::io;
use std::io::Read as _;
use std::io::Write as _;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use tokio::sync::watch;

use crate::wire::agree;

/// Largest text of a document.
const MOST_BYTES: u64 = 64 << 20;

/// Packs a document's text.
pub fn pack(text: &[u8]) -> io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(text)?;
    Ok(Bytes::from(encoder.finish()?))
}

/// The text of a packed document.
pub fn unpack(packed: &[u8]) -> io::Result<Bytes> {
    let mut text = Vec::new();
    DeflateDecoder::new(packed)
        .take(MOST_BYTES)
        .read_to_end(&mut text)?;
    Ok(Bytes::from(text))
}

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
    pub fn newer_than(&self, have: u64) -> Option<agree::Document> {
        let newest = self.newest.borrow();
        newest.clone().filter(|one| one.version > have)
    }

    /// Tells of each newer document.
    pub fn watch(&self) -> watch::Receiver<Option<agree::Document>> {
        self.newest.subscribe()
    }
}
