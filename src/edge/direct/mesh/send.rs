//! Sends datagrams: to single processes, to all of them, and as a relay to those of its zone.

use std::net::SocketAddr;
use std::time::Duration;

use super::Mesh;
use crate::direct::gossip;
use crate::direct::spread;

/// Time for which a relay gathers datagrams before it forwards them.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Least time between two updates of the plan. While many processes join, each of them would cause
/// one.
const PLAN_PAUSE: Duration = Duration::from_millis(100);

/// Time from its start for which a process sends through two relays of each zone. Until all know it, a
/// report that is lost leaves it unknown to a zone.
const JOINING_FOR: Duration = Duration::from_secs(2);

impl Mesh {
    /// Sends to all processes, some of them through relays.
    pub(super) fn send_to_all(&mut self, message: gossip::Message) {
        self.update_plan();
        self.seq += 1;
        let mut datagram = gossip::Datagram {
            from: self.me(),
            seq: self.seq,
            relay: false,
            news: message,
        };
        self.send_datagram(&datagram, self.plan.direct());
        datagram.relay = true;
        self.turn += 1;
        let is_joining = self.direct.node.now() < JOINING_FOR;
        let relays = self.plan.relays(self.turn, is_joining);
        self.send_datagram(&datagram, &relays);
    }

    fn update_plan(&mut self) {
        let now = self.direct.node.now();
        if !self.plan_outdated || now < self.planned_at + PLAN_PAUSE {
            return;
        }
        let settings = self.direct.node.settings();
        let membership = self.direct.membership();
        self.plan = spread::Plan::new(settings.link, &settings.zone, membership.live());
        self.planned_at = now;
        self.plan_outdated = false;
    }

    /// Forwards a datagram to the other processes of this zone, at once or with the next batch.
    pub(super) fn relay(&mut self, datagram: &gossip::Datagram) {
        self.update_plan();
        let datagram = gossip::Datagram {
            relay: false,
            ..datagram.clone()
        };
        if !self.plan.batches() {
            return self.send_datagram(&datagram, self.plan.zone());
        }
        if self.batch.is_empty() {
            self.batch_due = self.direct.node.now() + BATCH_DELAY;
        }
        self.batch.push(datagram);
    }

    pub(super) fn forward_batch(&mut self) {
        let datagrams = std::mem::take(&mut self.batch);
        let (able, unable): (Vec<SocketAddr>, Vec<SocketAddr>) = {
            let membership = self.direct.membership();
            let zone = self.plan.zone().iter();
            zone.partition(|addr| membership.batches(addr))
        };
        for datagram in &datagrams {
            self.send_datagram(datagram, &unable);
        }
        for batch in gossip::batches(datagrams) {
            self.send(batch, &able);
        }
    }

    fn send_datagram(&self, datagram: &gossip::Datagram, targets: &[SocketAddr]) {
        if targets.is_empty() {
            return;
        }
        let bytes = gossip::encode(datagram);
        let kind = datagram.news.kind();
        self.direct
            .counts
            .datagrams_sent(kind, targets.len(), bytes.len());
        for addr in targets {
            // A datagram that can't be sent now counts as lost: all gossip is repeated.
            let _ = self.socket.try_send_to(&bytes, *addr);
        }
    }

    /// Greets some processes, and lists others.
    pub(super) fn send_hello(&mut self, mut listed: Vec<SocketAddr>, targets: &[SocketAddr]) {
        listed.push(self.direct.node.settings().link);
        self.send(gossip::Message::Hello(listed), targets);
    }

    fn me(&self) -> gossip::Peer {
        let node = &self.direct.node;
        let settings = node.settings();
        let leader = node.control().and_then(|control| control.leader());
        gossip::Peer {
            link: settings.link,
            life: node.incarnation(),
            zone: settings.zone.clone(),
            votes: self.direct.settings.votes,
            leads: leader == Some(settings.link),
            first_start: self.direct.settings.first_start,
            serves: self.direct.settings.serves && !node.draining(),
            version: node.documents().version(),
        }
    }

    pub(super) fn send(&mut self, message: gossip::Message, targets: &[SocketAddr]) {
        self.seq += 1;
        let datagram = gossip::Datagram {
            from: self.me(),
            seq: self.seq,
            relay: false,
            news: message,
        };
        self.send_datagram(&datagram, targets);
    }
}
