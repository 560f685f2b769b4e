//! Memory for responses that are read whole before they are passed on, bounded for all of them
//! together.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;

/// Bytes that each response may take. Beyond that it takes from what all of them share.
const OWN_BYTES: usize = 64 << 10;

/// Counts the shared bytes in use.
#[derive(Debug)]
pub struct Pool {
    /// Bytes that all responses together may take beyond their own.
    most: usize,
    used: AtomicUsize,
}

impl Pool {
    /// A pool of `most` bytes.
    pub fn new(most: usize) -> Arc<Self> {
        Arc::new(Self {
            most,
            used: AtomicUsize::new(0),
        })
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}

/// The bytes of one response. Dropping it gives them back.
#[derive(Debug)]
pub struct Claim {
    pool: Arc<Pool>,
    bytes: usize,
}

impl Claim {
    /// A claim on nothing yet.
    pub fn new(pool: &Arc<Pool>) -> Self {
        Self {
            pool: Arc::clone(pool),
            bytes: 0,
        }
    }

    /// Bytes of the response so far.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Claims more bytes. Returns `false`, and claims none, if there is no memory for them.
    pub fn grow(&mut self, more: usize) -> bool {
        let grown = self.bytes + more;
        let shared = shared(grown) - shared(self.bytes);
        let used = self.pool.used.fetch_add(shared, Ordering::Relaxed);
        if shared > 0 && used + shared > self.pool.most {
            self.pool.used.fetch_sub(shared, Ordering::Relaxed);
            return false;
        }
        self.bytes = grown;
        true
    }

    /// The response as one piece, which keeps the claim as long as it is used.
    pub fn into_bytes(self, frames: &[Bytes]) -> Bytes {
        let bytes = frames.concat();
        Bytes::from_owner(Claimed {
            bytes,
            _claim: self,
        })
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.pool
            .used
            .fetch_sub(shared(self.bytes), Ordering::Relaxed);
    }
}

/// A whole response with its claim.
struct Claimed {
    bytes: Vec<u8>,
    _claim: Claim,
}

impl AsRef<[u8]> for Claimed {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

fn shared(bytes: usize) -> usize {
    bytes.saturating_sub(OWN_BYTES)
}
