//! Counts what this entry recently sent to backend servers, by purpose. A server counts all of it
//! against the limit that it announces, whatever the purpose.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::register;

/// Time for which something sent is counted.
pub const WINDOW: Duration = Duration::from_secs(4);

/// The purpose of something sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A caller's request.
    Request,
    /// This entry's query for the state of the server.
    Probe,
    /// This entry's order to reserve or release memory of the server.
    Order,
}

impl Kind {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Probe => "probe",
            Self::Order => "order",
        }
    }
}

/// Numbers sent, by purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Callers' requests.
    pub requests: u32,
    /// Queries for the state of the server.
    pub probes: u32,
    /// Orders to reserve or release memory.
    pub orders: u32,
}

impl Counts {
    /// All of them together.
    pub fn total(&self) -> u32 {
        self.requests + self.probes + self.orders
    }

    /// Counts one more.
    pub fn add(&mut self, kind: Kind) {
        match kind {
            Kind::Request => self.requests += 1,
            Kind::Probe => self.probes += 1,
            Kind::Order => self.orders += 1,
        }
    }
}

/// What was sent, by instance of the receiving server.
#[derive(Debug, Default)]
pub struct Tally {
    by_instance: HashMap<register::Instance, VecDeque<(Duration, Kind)>>,
}

impl Tally {
    /// Counts something sent now.
    pub fn record(&mut self, now: Duration, instance: &register::Instance, kind: Kind) {
        if !self.by_instance.contains_key(instance) {
            self.by_instance.insert(instance.clone(), VecDeque::new());
        }
        let times = self
            .by_instance
            .get_mut(instance)
            .expect("it was just added");
        forget(now, times);
        times.push_back((now, kind));
    }

    /// Numbers sent to a server within [`WINDOW`].
    pub fn recent(&mut self, now: Duration, instance: &register::Instance) -> Counts {
        let mut counts = Counts::default();
        let Some(times) = self.by_instance.get_mut(instance) else {
            return counts;
        };
        forget(now, times);
        for (_, kind) in times {
            counts.add(*kind);
        }
        counts
    }

    /// Servers to which something was sent, until [`Tally::prune`] forgets them.
    pub fn servers(&self) -> impl Iterator<Item = &register::Instance> {
        self.by_instance.keys()
    }

    /// Forgets servers to which nothing was sent within [`WINDOW`].
    pub fn prune(&mut self, now: Duration) {
        self.by_instance.retain(|_, times| {
            forget(now, times);
            !times.is_empty()
        });
    }
}

fn forget(now: Duration, times: &mut VecDeque<(Duration, Kind)>) {
    while times.front().is_some_and(|(at, _)| *at + WINDOW <= now) {
        times.pop_front();
    }
}
