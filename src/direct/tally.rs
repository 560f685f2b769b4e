//! What this entry sent to backend servers lately, by kind. A server counts all of it against the
//! limit that it names, whatever it was sent for.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::register;

/// How long something counts as sent lately.
pub const WINDOW: Duration = Duration::from_secs(4);

/// What something was sent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A caller's request.
    Request,
    /// A question of ours on how the server is.
    Probe,
    /// An order of ours on its memory.
    Order,
}

/// How much was sent lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Callers' requests.
    pub requests: u32,
    /// Questions on how the server is.
    pub probes: u32,
    /// Orders on its memory.
    pub orders: u32,
}

/// What was sent, by the life of its server.
#[derive(Debug, Default)]
pub struct Tally {
    by_life: HashMap<register::Instance, VecDeque<(Duration, Kind)>>,
}

impl Tally {
    /// Something was sent.
    pub fn record(&mut self, now: Duration, life: &register::Instance, kind: Kind) {
        if !self.by_life.contains_key(life) {
            self.by_life.insert(life.clone(), VecDeque::new());
        }
        let times = self.by_life.get_mut(life).expect("it was just added");
        forget(now, times);
        times.push_back((now, kind));
    }

    /// What was sent to a server lately.
    pub fn recent(&mut self, now: Duration, life: &register::Instance) -> Counts {
        let mut sent = Counts::default();
        let Some(times) = self.by_life.get_mut(life) else {
            return sent;
        };
        forget(now, times);
        for (_, kind) in times {
            match kind {
                Kind::Request => sent.requests += 1,
                Kind::Probe => sent.probes += 1,
                Kind::Order => sent.orders += 1,
            }
        }
        sent
    }

    /// Servers to which something was sent lately.
    pub fn servers(&self) -> impl Iterator<Item = &register::Instance> {
        self.by_life.keys()
    }

    /// Forgets servers to which nothing was sent lately.
    pub fn prune(&mut self, now: Duration) {
        self.by_life.retain(|_, times| {
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
