//! What backend servers say of themselves, and what is found out about them.

use super::Direct;
use crate::direct::gossip;
use crate::direct::register;
use crate::edge::event::Event;
use crate::log_event;
use crate::wire::id;

impl Direct {
    /// Takes what a backend server says of itself, heard here. It is passed on at once if it is
    /// news. One that names no server to use is refused, with the reason.
    pub fn accept_heartbeat(&self, record: register::Record) -> Result<(), register::Rejection> {
        let taken = self.apply_record(record.clone(), true)?;
        if matches!(taken, register::Update::New | register::Update::Changed) {
            self.broadcast(gossip::Message::Records(vec![record]));
        }
        Ok(())
    }

    /// A heartbeat was refused: it cannot be read, or names no server to use.
    pub fn heartbeat_rejected(&self, id: &str, why: &str) {
        self.counts.heartbeat_rejected();
        let now = self.node.now();
        if self.log_limiter.allow(Event::HeartbeatRefused, now) {
            log_event!(self.node.log(), Event::HeartbeatRefused, "server" => id, "cause" => why);
        }
    }

    /// A backend server goes.
    pub fn server_left(&self, life: register::Instance) {
        let now = self.node.now();
        let record = self.state().register.mark_gone(now, life);
        let Some(record) = record else {
            return;
        };
        self.log_change(&record, true);
        self.pool.close_idle(&record.life);
        self.broadcast(gossip::Message::Records(vec![record]));
    }

    /// Takes a record, heard here (`direct`) or passed on.
    pub(crate) fn apply_record(
        &self,
        record: register::Record,
        direct: bool,
    ) -> Result<register::Update, register::Rejection> {
        let now = self.node.now();
        let catalog = self.catalog();
        let is_named = catalog.is_none_or(|one| one.service(&record.service).is_some());
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

    /// A backend server did not answer, or died.
    pub(crate) fn pause_server(&self, life: &register::Instance, why: &str) {
        let now = self.node.now();
        let until = self.state().healths.record_unreachable(now, life);
        self.pool.close_idle(life);
        if self.log_limiter.allow(Event::ServerOut, now) {
            log_event!(self.node.log(), Event::ServerOut, "server" => life, "cause" => why,
                "pause_ms" => until.saturating_sub(now).as_millis() as u64);
        }
    }

    /// Another life answered where `life` was expected.
    pub(crate) fn server_displaced(&self, life: &register::Instance) {
        self.state().register.mark_displaced(life);
        self.pool.close_idle(life);
        log_event!(self.node.log(), Event::ServerDisplaced, "server" => life);
    }

    /// A server died while it ran a request.
    pub(crate) fn server_died(&self, request: id::Fingerprint, server: &register::Instance) {
        let now = self.node.now();
        if self.state().suspects.record_death(now, request, server) {
            self.broadcast(gossip::Message::Died(request, server.clone()));
            if self.log_limiter.allow(Event::RequestSuspect, now) {
                log_event!(self.node.log(), Event::RequestSuspect, "server" => &server,
                    "fingerprint" => request.to_string());
            }
        }
    }
}
