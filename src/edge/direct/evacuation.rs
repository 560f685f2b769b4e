//! Evacuation of availability zones: operators' orders, and how they come into force here.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;
use std::time::SystemTime;

use super::Direct;
use super::publish;
use crate::direct::gossip;
use crate::direct::register;
use crate::edge::event::Event;
use crate::log_event;
use crate::wire::agree;

/// Why an order was not carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The deployment has no such zone.
    UnknownZone,
    /// The order is not valid, for this reason.
    Invalid(String),
    /// No quorum answered in time. Whether the order is in force is not known; it may be sent again.
    Unknown,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownZone => f.write_str("no such zone"),
            Self::Invalid(finding) => f.write_str(finding),
            Self::Unknown => f.write_str("no quorum answered in time"),
        }
    }
}

impl std::error::Error for Failure {}

impl Direct {
    /// Evacuates a zone, or restores it. Returns once the order is durable at a quorum. Repeating an
    /// order changes nothing, and of several orders on a zone the last one that a quorum stored wins.
    pub async fn evacuate(&self, zone: &str, evacuated: bool) -> Result<(), Failure> {
        let outcome = self.order_evacuation(zone, evacuated).await;
        log_event!(self.node.log(), Event::ZoneOrdered, "zone" => zone, "evacuated" => evacuated,
            "outcome" => outcome.as_ref().err().map_or("done".to_owned(), ToString::to_string));
        outcome
    }

    async fn order_evacuation(&self, zone: &str, evacuated: bool) -> Result<(), Failure> {
        let zones = &self.settings.zones;
        if !zones.is_empty() && !zones.contains_key(zone) {
            return Err(Failure::UnknownZone);
        }
        let command = agree::Command::Evacuate {
            zone: zone.to_owned(),
            evacuated,
        };
        let timeout = publish::QUORUM_TIMEOUT;
        match self.node.propose_evacuation(command, timeout).await {
            agree::Verdict::Evacuations(_) => Ok(()),
            agree::Verdict::Invalid(findings) => Err(Failure::Invalid(findings.join("; "))),
            _ => Err(Failure::Unknown),
        }
    }

    /// Puts each change of the evacuated zones in force. Does not return while the process runs.
    pub async fn follow_evacuations(self: Arc<Self>) {
        let mut evacuations = self.node.evacuations().watch();
        loop {
            let newest = evacuations.borrow_and_update().clone();
            if newest.change > 0 {
                self.set_evacuations(&newest);
            }
            if evacuations.changed().await.is_err() {
                return;
            }
        }
    }

    fn set_evacuations(&self, evacuations: &agree::Evacuations) {
        let zones = &evacuations.zones;
        let left_out = {
            let mut state = self.state();
            state.register.set_evacuated(zones.clone());
            in_zones(&state.register, zones)
        };
        for server in &left_out {
            self.pool.close_idle(server);
        }
        if self.settings.votes {
            self.broadcast(gossip::Message::Evacuations(evacuations.clone()));
        }
        self.availability_changed.notify_waiters();
        self.counts.set_evacuated_zones(zones.len());
        let names: Vec<&str> = zones.iter().map(String::as_str).collect();
        log_event!(self.node.log(), Event::ZonesInForce, "zones" => names.join(","),
            "change" => evacuations.change, "servers" => left_out.len(),
            "age_ms" => wall_ms().saturating_sub(evacuations.changed_ms));
    }
}

fn in_zones(register: &register::Register, zones: &BTreeSet<String>) -> Vec<register::Instance> {
    let records = register.all();
    let records = records.filter(|record| zones.contains(&record.zone));
    records.map(|record| record.life.clone()).collect()
}

fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}
