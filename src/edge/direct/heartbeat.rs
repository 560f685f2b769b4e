//! Heartbeats of backend servers, and what entries observe of their failures.

use std::time::Duration;

use super::Direct;
use crate::direct::gossip;
use crate::direct::load;
use crate::direct::quota;
use crate::direct::register;
use crate::direct::waiting;
use crate::edge::event::Event;
use crate::log_event;

/// The effect of a heartbeat.
pub(crate) struct Update {
    /// On the register.
    record: register::Update,
    /// Whether the server is cold and was taken as warm before.
    cooled: bool,
}

impl Direct {
    /// Takes a heartbeat that a backend server sent to this process. If it changes the server's
    /// record, or the server has become cold, the record is broadcast at once. Errors: the heartbeat
    /// names no usable server.
    pub fn accept_heartbeat(
        &self,
        heartbeat: register::Heartbeat,
    ) -> Result<(), register::Rejection> {
        let update = self.apply_heartbeat(heartbeat.clone(), true)?;
        let is_news = match update.record {
            register::Update::New | register::Update::Changed => true,
            register::Update::Same => update.cooled,
            register::Update::Stale => false,
        };
        if is_news {
            self.broadcast_records(vec![heartbeat.record]);
        }
        Ok(())
    }

    /// Tells the other processes of servers at once.
    pub(super) fn broadcast_records(&self, records: Vec<register::Record>) {
        for message in self.record_messages(records) {
            self.broadcast(message);
        }
    }

    /// Messages with records of servers, and how long each will be cold.
    pub(super) fn record_messages(&self, records: Vec<register::Record>) -> Vec<gossip::Message> {
        let now = self.node.now();
        let state = self.state();
        let is_none_cold = state.quotas.is_empty(now);
        gossip::record_messages(records, |record| {
            if is_none_cold {
                return Duration::ZERO;
            }
            let key = load::server_key(&record.life);
            state.quotas.cold_remaining(now, key)
        })
    }

    /// Counts and logs a heartbeat that cannot be read, or names no usable server.
    pub fn heartbeat_rejected(&self, id: &str, cause: &str) {
        self.counts.heartbeat_rejected();
        let now = self.node.now();
        if self.log_limiter.allow(Event::HeartbeatRefused, now) {
            log_event!(self.node.log(), Event::HeartbeatRefused, "server" => id, "cause" => cause);
        }
    }

    /// A backend server announced that it leaves.
    pub fn server_left(&self, instance: register::Instance) {
        let now = self.node.now();
        let record = self.state().register.mark_gone(now, instance);
        let Some(record) = record else {
            return;
        };
        self.log_change(&record, true);
        self.pool.close_idle(&record.life);
        self.broadcast_records(vec![record]);
    }

    /// Merges a heartbeat into the register. `direct`: the server sent it to this process, not
    /// gossip.
    pub(crate) fn apply_heartbeat(
        &self,
        heartbeat: register::Heartbeat,
        direct: bool,
    ) -> Result<Update, register::Rejection> {
        let register::Heartbeat { record, cold } = heartbeat;
        let now = self.node.now();
        let catalog = self.catalog();
        let service = catalog
            .as_ref()
            .map(|catalog| catalog.service(&record.service));
        let is_named = service.is_none_or(|service| service.is_some());
        let mut state = self.state();
        state.register.check(&record, is_named)?;
        let update = state.register.merge(now, record.clone(), direct);
        let cold_rate = match service {
            // How many requests it takes is not known before the first configuration.
            None => Some(quota::UNKNOWN_COLD_RATE),
            Some(service) => service.and_then(|service| service.cold_rate),
        };
        let cold_rate = cold_rate.map(|rate| rate.while_cold(self.settings.cold_overshoot));
        let mut cooled = false;
        // Hashing the key of each warm server would cost more than the rest of its heartbeat.
        let may_matter = !cold.is_zero() || !state.quotas.is_empty(now);
        if let Some(rate) = cold_rate
            && update != register::Update::Stale
            && may_matter
        {
            let key = load::server_key(&record.life);
            cooled = state.quotas.set_cold(now, key, record.seq, cold, rate);
        }
        drop(state);
        if update == register::Update::New || update == register::Update::Changed {
            self.capacity_changed(waiting::Source::Elsewhere);
        }
        match update {
            register::Update::New => {
                self.availability_changed.notify_waiters();
                log_event!(self.node.log(), Event::ServerKnown, "server" => &record.life,
                    "service" => &record.service, "addr" => record.addr, "zone" => &record.zone,
                    "seq" => record.seq, "direct" => direct);
            }
            register::Update::Changed => {
                self.log_change(&record, direct);
                self.pool.close_idle(&record.life);
            }
            register::Update::Same | register::Update::Stale => {}
        }
        if cooled && self.log_limiter.allow(Event::ServerCold, now) {
            log_event!(self.node.log(), Event::ServerCold, "server" => &record.life,
                "remaining_ms" => cold.as_millis() as u64,
                "rate" => cold_rate.map_or(0.0, quota::Rate::per_second), "direct" => direct);
        }
        Ok(Update {
            record: update,
            cooled,
        })
    }

    fn log_change(&self, record: &register::Record, direct: bool) {
        log_event!(self.node.log(), Event::ServerChanged, "server" => &record.life,
            "phase" => format!("{:?}", record.phase), "seq" => record.seq, "direct" => direct);
    }

    /// Sends nothing new to a backend server for a while, since it did not answer or died.
    pub(crate) fn pause_server(&self, instance: &register::Instance, cause: &str) {
        let now = self.node.now();
        let until = self.state().healths.record_unreachable(now, instance);
        self.pool.close_idle(instance);
        if self.log_limiter.allow(Event::ServerOut, now) {
            log_event!(self.node.log(), Event::ServerOut, "server" => instance, "cause" => cause,
                "pause_ms" => until.saturating_sub(now).as_millis() as u64);
        }
    }

    /// Another instance answers at the address of `instance`: the server restarted or was replaced.
    pub(crate) fn server_displaced(&self, instance: &register::Instance) {
        self.state().register.mark_displaced(instance);
        self.pool.close_idle(instance);
        log_event!(self.node.log(), Event::ServerDisplaced, "server" => instance);
    }
}
