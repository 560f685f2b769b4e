//! Who may vote, told to the control role of this process.

use std::net::SocketAddr;
use std::time::Duration;

use super::Direct;
use crate::direct::gossip;
use crate::wire::member;
use crate::wire::rpc;

/// Time that processes have to find each other before the first cluster is founded. They start
/// within some hundred milliseconds of each other.
const GATHER: Duration = Duration::from_millis(700);

impl Direct {
    /// Tells the control role, and whoever asks it, who may vote and who leads.
    pub(super) fn update_control(&self, now: Duration) {
        let node = &self.node;
        let voters = self.roster().voters();
        if let Some(control) = node.control() {
            let known = voters.iter().map(|one| one.link).collect();
            control.set_peers(known, self.founders(now, &voters));
        }
        let peers = voters.into_iter().map(|one| member::Peer {
            role: member::Role::Control,
            name: one.link.to_string(),
            zone: one.zone,
            link: one.link,
            incarnation: one.life,
            revision: 0,
        });
        node.set_view(rpc::View {
            peers: peers.collect(),
            suspects: Vec::new(),
        });
    }

    /// Who founds the cluster, once that is clear: the seeds that may vote, all of which must be
    /// there; without any such, all that may vote.
    fn founders(&self, now: Duration, voters: &[gossip::Peer]) -> Option<Vec<SocketAddr>> {
        let settings = &self.settings;
        if !settings.first_start || now < GATHER {
            return None;
        }
        let me = self.node.settings().link;
        let seeds = self.node.seeds();
        let roster = self.roster();
        let is_there = |addr: &SocketAddr| *addr == me || roster.contains(addr);
        if !seeds.iter().all(is_there) {
            return None;
        }
        let first = voters.iter().filter(|one| one.first_start);
        let mut all: Vec<SocketAddr> = first.map(|one| one.link).collect();
        if settings.votes {
            all.push(me);
        }
        let seeded: Vec<SocketAddr> = all
            .iter()
            .copied()
            .filter(|addr| seeds.contains(addr))
            .collect();
        Some(if seeded.is_empty() { all } else { seeded })
    }
}
