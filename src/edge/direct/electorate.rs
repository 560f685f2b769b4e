//! Gives the control role of this process the processes that may vote.

use std::net::SocketAddr;
use std::time::Duration;

use super::Direct;
use crate::direct::gossip;
use crate::wire::member;
use crate::wire::rpc;

/// Time from the start for processes to discover each other before they found the first cluster.
/// They start within some hundred milliseconds of each other.
const FOUNDING_DELAY: Duration = Duration::from_millis(700);

impl Direct {
    /// Gives the control role the processes that may vote, and makes them this process's view.
    pub(super) fn update_control(&self, now: Duration) {
        let node = &self.node;
        let voters = self.membership().voters();
        if let Some(control) = node.control() {
            let known = voters.iter().map(|peer| peer.link).collect();
            control.set_peers(known, self.founders(now, &voters));
        }
        let peers = voters.into_iter().map(|peer| member::Peer {
            role: member::Role::Control,
            name: peer.link.to_string(),
            zone: peer.zone,
            link: peer.link,
            incarnation: peer.life,
            revision: 0,
        });
        node.set_view(rpc::View {
            peers: peers.collect(),
            suspects: Vec::new(),
        });
    }

    /// Founders of the first cluster: the seeds that may vote, or all that may vote if no seed may.
    /// `None`: not known yet, as long as a seed is missing, or this is no first start.
    fn founders(&self, now: Duration, voters: &[gossip::Peer]) -> Option<Vec<SocketAddr>> {
        let settings = &self.settings;
        if !settings.first_start || now < FOUNDING_DELAY {
            return None;
        }
        let me = self.node.settings().link;
        let seeds = self.node.seeds();
        let membership = self.membership();
        let is_present = |addr: &SocketAddr| *addr == me || membership.contains(addr);
        if !seeds.iter().all(is_present) {
            return None;
        }
        let starting = voters.iter().filter(|peer| peer.first_start);
        let mut all: Vec<SocketAddr> = starting.map(|peer| peer.link).collect();
        if settings.votes {
            all.push(me);
        }
        let voting_seeds: Vec<SocketAddr> = all
            .iter()
            .copied()
            .filter(|addr| seeds.contains(addr))
            .collect();
        Some(if voting_seeds.is_empty() {
            all
        } else {
            voting_seeds
        })
    }
}
