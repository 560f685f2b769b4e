//! Periodic health checks of engines. Each engine is probed by one entry, which broadcasts changes.
//!
//! Only its report shows that a server has become slow. A prompt that several servers read in
//! segments is as slow as the slowest of them, so one slow server slows all long prompts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time;

use super::Direct;
use super::probe;
use crate::direct::gossip;
use crate::direct::load;
use crate::direct::register;
use crate::direct::rendezvous;
use crate::direct::waiting;

/// Time between two health checks of a server. A server that becomes slow, by a factor of four or
/// more, delays the requests that are sent to it within this time.
const PERIOD: Duration = Duration::from_millis(1_000);

/// Pace reported of a server that does not respond. Else a pace is the factor by which a server is
/// slower than its model, in percent.
const UNRESPONSIVE: u16 = 0;

/// Checks the servers assigned to this entry, until the process ends.
pub async fn run(direct: Arc<Direct>) {
    let mut period = time::interval(PERIOD);
    period.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        period.tick().await;
        for server in assigned_servers(&direct) {
            tokio::spawn(check(Arc::clone(&direct), server));
        }
    }
}

/// Servers that this entry checks. Each server is assigned to one entry by rendezvous hashing.
fn assigned_servers(direct: &Direct) -> Vec<register::Record> {
    let Some(catalog) = direct.catalog() else {
        return Vec::new();
    };
    let me = rendezvous_key(direct.node.settings().link);
    let peers = direct.peers();
    let others = peers.iter().filter(|(_, peer)| peer.serves);
    let others: Vec<u64> = others.map(|(addr, _)| rendezvous_key(*addr)).collect();
    let now = direct.node.now();
    let state = direct.state();
    let engines = catalog
        .services()
        .iter()
        .filter(|service| service.engine.is_some());
    let servers = engines.flat_map(|service| state.register.ready_with_keys(now, &service.name));
    let assigned = servers.filter(|server| rendezvous::is_owner(server.key, me, &others));
    let assigned =
        assigned.filter(|server| state.may_be_probed(now, &server.record.life, server.key));
    assigned.map(|server| server.record.clone()).collect()
}

fn rendezvous_key(addr: SocketAddr) -> u64 {
    load::key(&addr.to_string())
}

async fn check(direct: Arc<Direct>, server: register::Record) {
    let before = direct.state().healths.pace(&server.life);
    let report = direct.probe(&server).await;
    let pace = match report {
        Ok(report) => (report.pace.max(1.0) * 100.0) as u16,
        Err(probe::Missing::Silent) => UNRESPONSIVE,
        Err(probe::Missing::Unknown) => return,
    };
    if pace == UNRESPONSIVE {
        direct.pause_server(&server.life, "does not report");
    }
    let is_same = (f64::from(pace) / 100.0 - before).abs() < 0.05;
    if !is_same {
        let key = load::server_key(&server.life);
        direct.broadcast(gossip::Message::Paces(vec![(key, pace)]));
    }
}

impl Direct {
    /// Sends nothing new to a server for a while, and has all other entries do the same.
    pub(super) fn pause_server_everywhere(&self, server: &register::Instance, cause: &str) {
        self.pause_server(server, cause);
        let key = load::server_key(server);
        self.broadcast(gossip::Message::Paces(vec![(key, UNRESPONSIVE)]));
    }

    /// Applies the results of another entry's health checks. Unknown servers are skipped.
    pub(super) fn apply_paces(&self, paces: &[(u64, u16)]) {
        let known: Vec<(register::Instance, u16)> = {
            let state = self.state();
            let instance = |key: u64| state.register.instance(key).cloned();
            let paces = paces.iter();
            paces
                .filter_map(|(key, pace)| Some((instance(*key)?, *pace)))
                .collect()
        };
        for (instance, pace) in known {
            if pace == UNRESPONSIVE {
                self.pause_server(&instance, "does not report to another entry");
            } else {
                self.state()
                    .healths
                    .set_pace(&instance, f64::from(pace) / 100.0);
            }
        }
        self.capacity_changed(waiting::Source::Elsewhere);
    }
}
