//! The serving layer between callers and a shared fleet of model engines.
//!
//! Layers, from the outside in: the two programs, [`edge`] (all input, output, threads and
//! clocks), the decision modules [`entry`], [`sidecar`], [`control`], [`direct`] and [`config`] (pure
//! state machines: time and randomness are arguments), what they share ([`queue`], [`share`] and
//! [`overload`]), and [`wire`] (frames and plain data). A layer imports only from those after it; [`share`] also
//! reads the weights in [`config`].

#[macro_use]
mod macros;

pub mod config;
pub mod control;
pub mod direct;
pub mod edge;
pub mod entry;
pub mod overload;
pub mod queue;
pub mod share;
pub mod sidecar;
pub mod wire;
