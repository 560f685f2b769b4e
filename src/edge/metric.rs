//! Metrics, by prometheus-client. docs/METRICS.md lists them.

use std::sync::Mutex;

use prometheus_client::encoding::text;
use prometheus_client::registry;

/// The metrics of a process.
#[derive(Default)]
pub struct Registry {
    inner: Mutex<registry::Registry>,
}

impl Registry {
    /// Registers a metric, or any other with the registry's own calls.
    pub fn with<T>(&self, register: impl FnOnce(&mut registry::Registry) -> T) -> T {
        register(&mut self.inner.lock().expect("metrics lock"))
    }

    /// All metrics in the text format of Prometheus.
    pub fn encode(&self) -> String {
        let mut out = String::new();
        let inner = self.inner.lock().expect("metrics lock");
        match text::encode(&mut out, &inner) {
            Ok(()) => out,
            Err(_) => String::new(),
        }
    }
}
