//! The stand-in model engine.

pub mod ask;
pub mod cache;
pub mod life;
pub mod route;
pub mod scheduler;
pub mod work;
