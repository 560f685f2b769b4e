//! All input and output: links, HTTP, files, clocks, threads, logs and metrics.

pub mod body;
pub mod conf;
pub mod control;
pub mod direct;
pub mod document;
pub mod entry;
pub mod evacuation;
pub mod event;
pub mod guard;
pub mod header;
pub mod http;
pub mod lifetime;
pub mod link;
pub mod listener;
pub mod machine;
pub mod metric;
pub mod node;
pub mod order;
pub mod settings;
pub mod sidecar;
pub mod signal;
pub mod status;
