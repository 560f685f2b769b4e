//! Stand-ins for what wigeonbarrow meets, and the tools that try it: a model engine, a plain
//! service, a fault-injecting TCP proxy and a load tool. Nothing here depends on the product; its
//! protocols are in docs/ENGINE.md.

pub mod announce;
pub mod backend;
pub mod bench;
pub mod engine;
pub mod flag;
pub mod fleet;
pub mod http;
pub mod load;
pub mod proxy;
pub mod replica;
pub mod script;
pub mod service;
pub mod token;
