//! Decisions of the entry role: routing, fair shares, retries and at-most-once execution. Pure
//! state machines without I/O.

pub mod breaker;
pub mod budget;
pub mod choice;
pub mod estimate;
pub mod fleet;
pub mod gang;
pub mod job;
pub mod prefix;
pub mod queue;
pub mod request;
pub mod router;
pub mod suspect;

pub use crate::share;
