//! Decisions of the sidecar role: admission, the ledger of runs and memory. No input or output.

pub mod buffer;
pub mod capacity;
pub mod fence;
pub mod ledger;
pub mod tombstone;
