//! Asks engines how they are, each by one entry, and tells the others.
//!
//! A server that has turned slow shows it in its report only. A prompt that is read in parts is
//! as slow as the slowest of its servers, so one such server slows all long prompts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time;

use super::Direct;
use crate::direct::gossip;
use crate::direct::load;
use crate::direct::register;
use crate::direct::rendezvous;

/// Time between two reports of a server. A server that turns slow, four times or more, harms the
/// requests of this time.
const PERIOD: Duration = Duration::from_millis(1_000);

/// Pace told of a server that does not answer.
const SILENT: u16 = 0;

/// Asks the servers that fall to this entry, until the process ends.
pub async fn run(direct: Arc<Direct>) {
    let mut period = time::interval(PERIOD);
    period.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        period.tick().await;
        for server in own_servers(&direct) {
            tokio::spawn(check(Arc::clone(&direct), server));
        }
    }
}

/// Servers that this entry asks: each server falls to the entry that ranks highest for it.
fn own_servers(direct: &Direct) -> Vec<register::Record> {
    let Some(catalog) = direct.catalog() else {
        return Vec::new();
    };
    let me = process_key(direct.node.settings().link);
    let peers = direct.peers();
    let others = peers.iter().filter(|(_, peer)| peer.serves);
    let others: Vec<u64> = others.map(|(addr, _)| process_key(*addr)).collect();
    let now = direct.node.now();
    let state = direct.state();
    let engines = catalog.services().iter().filter(|one| one.engine.is_some());
    let servers = engines.flat_map(|one| state.register.ready_with_keys(now, &one.name));
    // A server that names a limit is not asked: questions count against it.
    let open = servers.filter(|one| !state.is_limited(&one.record.life));
    let own = open.filter(|one| rendezvous::is_owner(one.key, me, &others));
    own.map(|one| one.record.clone()).collect()
}

fn process_key(addr: SocketAddr) -> u64 {
    load::key(&addr.to_string())
}

async fn check(direct: Arc<Direct>, server: register::Record) {
    let before = direct.state().healths.pace(&server.life);
    let report = direct.probe(&server).await;
    let pace = match report {
        Some(report) => (report.pace.max(1.0) * 100.0) as u16,
        None => SILENT,
    };
    if pace == SILENT {
        direct.pause_server(&server.life, "does not report");
    }
    let same = (f64::from(pace) / 100.0 - before).abs() < 0.05;
    if !same {
        let key = load::server_key(&server.life);
        direct.broadcast(gossip::Message::Paces(vec![(key, pace)]));
    }
}

impl Direct {
    /// Sends nothing new to a server for a while, and tells the others to do so.
    pub(super) fn pause_server_everywhere(&self, server: &register::Instance) {
        self.pause_server(server, "a call broke off that may not be repeated");
        let key = load::server_key(server);
        self.broadcast(gossip::Message::Paces(vec![(key, SILENT)]));
    }

    /// Takes what another entry found out about servers.
    pub(super) fn apply_paces(&self, paces: &[(u64, u16)]) {
        let told: Vec<(register::Instance, u16)> = {
            let state = self.state();
            let life = |key: u64| state.register.instance(key).cloned();
            let told = paces.iter();
            told.filter_map(|(key, pace)| Some((life(*key)?, *pace)))
                .collect()
        };
        for (life, pace) in told {
            if pace == SILENT {
                self.pause_server(&life, "does not report to another entry");
            } else {
                self.state()
                    .healths
                    .set_pace(&life, f64::from(pace) / 100.0);
            }
        }
    }
}
