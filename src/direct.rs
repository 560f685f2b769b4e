//! Decisions of an entry that drives backend servers itself, with no sidecar between.
//!
//! The backend server is the last judge of its own room: it refuses truthfully what it cannot
//! run. So a stale view costs one cheap refusal, and what must run at most once needs no
//! agreement: each request has one entry, and that entry sends it a second time only after
//! "not run". No input, output or clock here.

pub mod backlog;
pub mod board;
pub mod budget;
pub mod bulletin;
pub mod catalog;
pub mod gossip;
pub mod health;
pub mod lane;
pub mod membership;
pub mod model;
pub mod patience;
pub mod place;
pub mod pressure;
pub mod quota;
pub mod register;
pub mod rendezvous;
pub mod retry;
pub mod sse;
pub mod subset;
pub mod tally;
pub mod writing;
