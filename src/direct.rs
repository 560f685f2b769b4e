//! Decisions of an entry that calls backend servers directly, without sidecars.
//!
//! A backend server reads the prompt of a request (prefill), then writes the answer (decode) and
//! streams it as events. It alone knows its free capacity and rejects what it cannot run, so acting
//! on a stale view costs one cheap rejection. Requests that must run at most once need no agreement
//! between entries: each request belongs to one entry, which sends it again only after "not run".
//! This module does no input or output and reads no clock.

pub mod admission;
pub mod backlog;
pub mod backoff;
pub mod budget;
pub mod catalog;
pub mod congestion;
pub mod deadline;
pub mod forecast;
pub mod gossip;
pub mod health;
pub mod home;
pub mod lane;
pub mod load;
pub mod membership;
pub mod model;
pub mod part;
pub mod place;
pub mod quota;
pub mod register;
pub mod rendezvous;
pub mod reporter;
pub mod retry;
pub mod spread;
pub mod sse;
pub mod subset;
pub mod suspect;
pub mod tally;
pub mod ticket;
pub mod waiting;
pub mod writing;
