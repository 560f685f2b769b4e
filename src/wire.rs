//! Frames between the system's processes, their codec, and the plain data types in them.
//!
//! Nothing here does input or output. Names follow the brief: VM, availability zone,
//! workspace, backend server.

pub mod agree;
pub mod codec;
pub mod id;
pub mod member;
pub mod order;
pub mod outcome;
pub mod rpc;
pub mod run;
