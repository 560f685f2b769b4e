//! The control role: consensus and the replicated state. Performs no I/O.
//!
//! [`replica::Replica`] combines a member's [`consensus::Raft`] with the [`state::State`] that
//! results from applying its log. The caller performs the writes and sends, and reports completed
//! syncs.

pub mod consensus;
pub mod log;
pub mod member;
pub mod message;
pub mod record;
pub mod replica;
pub mod state;
