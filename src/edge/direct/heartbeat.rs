//! Heartbeats of backend servers, and what entries observe of their failures.

use super::Direct;
use crate::direct::gossip;
use crate::direct::register;
use crate::edge::event::Event;
use crate::log_event;
use crate::wire::id;

impl Direct {
    /// Takes a heartbeat that a backend server sent to this process. If it changes the server's
    /// record, the record is broadcast at once. Errors: the heartbeat names no usable server.
    pub fn accept_heartbeat(&self, record: register::Record) -> Result<(), register::Rejection> {
        let taken = self.apply_record(record.clone(), true)?;
        if matches!(taken, register::Update::New | register::Update::Changed) {
            self.broadcast(gossip::Message::Records(vec![record]));
        }
        Ok(())
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
        self.broadcast(gossip::Message::Records(vec![record]));
    }

    /// Merges a record into the register. `direct`: the server sent it to this process, not gossip.
    pub(crate) fn apply_record(
        &self,
        record: register::Record,
        direct: bool,
    ) -> Result<register::Update, register::Rejection> {
        let now = self.node.now();
        let catalog = self.catalog();
        let is_named = catalog.is_none_or(|catalog| catalog.service(&record.service).is_some());
        let mut state = self.state();
        state.register.check(&record, is_named)?;
        let taken = state.register.merge(now, record.clone(), direct);
        drop(state);
        match taken {
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
        Ok(taken)
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

    /// A server died while it ran a request, which is a suspect from now on.
    pub(crate) fn server_died(&self, request: id::Fingerprint, server: &register::Instance) {
        let now = self.node.now();
        if self.state().suspects.record_crash(now, request, server) {
            self.broadcast(gossip::Message::Died(request, server.clone()));
            if self.log_limiter.allow(Event::RequestSuspect, now) {
                log_event!(self.node.log(), Event::RequestSuspect, "server" => &server,
                    "fingerprint" => request.to_string());
            }
        }
    }
}
