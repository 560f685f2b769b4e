//! The newest committed document that a process knows.

use std::io::Read as _;
use std::io::Write as _;
use std::sync::Mutex;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use tokio::sync::watch;

use crate::wire::agree;

/// Largest text taken from another process.
const MOST_BYTES: u64 = 64 << 20;

/// Holds the newest document. Invariant: its version only grows, so what is in force here never
/// reverts within a life of the process.
pub struct Store {
    newest: watch::Sender<Option<agree::Document>>,
    /// The newest one as it goes to others: a configuration shrinks to an eighth, and on the
    /// smallest links the whole of it would take seconds to all (1.4 s for 320 kB to 31).
    packed: Mutex<Option<agree::Document>>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            newest: watch::Sender::new(None),
            packed: Mutex::new(None),
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

    /// The document, packed, if it is newer than `have`.
    pub fn newer(&self, have: u64) -> Option<agree::Document> {
        let newest = self.newest.borrow().clone();
        let newest = newest.filter(|one| one.version > have)?;
        let mut packed = self.packed.lock().expect("document lock");
        if packed.as_ref().map(|one| one.version) != Some(newest.version) {
            *packed = pack(&newest);
        }
        packed.clone()
    }

    /// Takes a document as [`Self::newer`] gives it. Whether it was newer.
    pub fn install_packed(&self, packed: &agree::Document) -> bool {
        let mut text = Vec::new();
        let unpacked = DeflateDecoder::new(packed.text.as_ref())
            .take(MOST_BYTES)
            .read_to_end(&mut text);
        // What cannot be unpacked was never packed here; the next that asks gets it whole.
        unpacked.is_ok()
            && self.install(agree::Document {
                version: packed.version,
                text: Bytes::from(text),
            })
    }

    /// Tells of each newer document.
    pub fn watch(&self) -> watch::Receiver<Option<agree::Document>> {
        self.newest.subscribe()
    }
}

fn pack(document: &agree::Document) -> Option<agree::Document> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&document.text).ok()?;
    let text = encoder.finish().ok()?;
    Some(agree::Document {
        version: document.version,
        text: Bytes::from(text),
    })
}
