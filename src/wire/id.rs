//! Identifiers.

use std::fmt;

key! {
    /// One request of a caller, over all its attempts. Random, drawn by the entry.
    pub struct Request(pub u128);

    /// One attempt of a request on one backend server.
    pub struct Attempt {
        /// The request it belongs to.
        pub request: Request,
        /// Counts from 1 within the request. Invariant: a number is offered to one backend
        /// server only, once.
        pub number: u32,
    }

    /// One life of a process or of a data folder: drawn anew at each start (microseconds since
    /// the Unix epoch), so a later life of the same process has a larger number.
    pub struct Incarnation(pub u64);

    /// First half of a BLAKE3 hash over workspace, model and body: equal requests sent again
    /// have equal fingerprints.
    pub struct Fingerprint(pub [u8; 16]);

    /// A change of configuration, drawn by the operator's client. The same number sent again
    /// gets the first answer again.
    pub struct Change(pub u128);
}

impl Fingerprint {
    /// Computes the fingerprint of a request. `model` is the service name for plain services.
    pub fn of(workspace: &str, model: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [workspace.as_bytes(), model.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut out = [0; 16];
        out.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(out)
    }
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.number)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}
