//! Decisions of an entry that drives backend servers itself, with no sidecar between.
//!
//! The backend server is the last judge of its own room: it refuses truthfully what it cannot
//! run. So a stale view costs one cheap refusal, and what must run at most once needs no
//! agreement: each request has one entry, and that entry sends it a second time only after
//! "not run". No input, output or clock here.

pub mod backlog;
pub mod budget;
pub mod catalog;
pub mod congestion;
pub mod deadline;
pub mod gossip;
pub mod health;
pub mod lane;
pub mod load;
pub mod membership;
pub mod model;
pub mod place;
pub mod quota;
pub mod register;
pub mod rendezvous;
pub mod reporter;
pub mod retry;
pub mod sse;
pub mod subset;
pub mod tally;
pub mod writing;
