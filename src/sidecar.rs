//! Logic of the sidecar role without I/O: admission, and the ledger of runs and memory.

pub mod buffer;
pub mod capacity;
pub mod fence;
pub mod ledger;
pub mod tombstone;
