//! What is sent to backend servers, and the limits that these name.

use std::time::Duration;

use super::Direct;
use crate::direct::gossip;
use crate::direct::load;
use crate::direct::quota;
use crate::direct::register;
use crate::direct::tally;
use crate::edge::event::Event;
use crate::log_event;

impl Direct {
    /// Something goes to a backend server: when.
    pub(super) fn record_sent(&self, life: &register::Instance, kind: tally::Kind) -> Duration {
        let now = self.node.now();
        self.counts.sent(kind);
        self.state().tally.record(now, life, kind);
        now
    }

    /// Takes what an answer to something sent at `sent` says of its server's limit.
    pub(super) fn observe_limit(
        &self,
        life: &register::Instance,
        sent: Duration,
        headers: &http::HeaderMap,
        source: quota::Source,
    ) {
        let now = self.node.now();
        let named = self.dialect.limit(headers);
        let mut state = self.state();
        if named == quota::Notice::Absent && state.quotas.is_empty() {
            return;
        }
        let server = load::server_key(life);
        let Some(word) = state.quotas.observe(now, server, sent, named, source) else {
            return;
        };
        let lately = state.tally.recent(now, life);
        drop(state);
        self.broadcast(gossip::Message::Limits(vec![word]));
        log_event!(self.node.log(), Event::ServerLimit, "server" => life, "change" => word.change,
            "limit" => shown(word.limit), "direct" => true,
            "age_ms" => now.saturating_sub(sent).as_millis() as u64, "requests" => lately.requests,
            "probes" => lately.probes, "orders" => lately.orders);
    }

    /// Takes what other entries know of limits.
    pub(super) fn receive_limit_reports(&self, words: &[quota::Report]) {
        let now = self.node.now();
        for word in words {
            if !self.state().quotas.merge(now, word) {
                continue;
            }
            let life = self.instance_of(word.server);
            log_event!(self.node.log(), Event::ServerLimit,
                "server" => life.map_or(String::new(), |one| one.to_string()),
                "change" => word.change, "limit" => shown(word.limit), "direct" => false);
        }
    }

    fn instance_of(&self, server: u64) -> Option<register::Instance> {
        self.state().register.instance(server).cloned()
    }

    /// Logs what was sent lately to servers that name a limit. To be called each second.
    pub(super) fn log_sent(&self) {
        let now = self.node.now();
        let mut state = self.state();
        state.tally.prune(now);
        let lives: Vec<register::Instance> = if state.quotas.is_empty() {
            Vec::new()
        } else {
            state.tally.servers().cloned().collect()
        };
        let mut limited = 0;
        for life in lives {
            let Some(limit) = state.quotas.limit(load::server_key(&life)) else {
                continue;
            };
            limited += 1;
            let sent = state.tally.recent(now, &life);
            if self.log_limiter.allow(Event::ServerSent, now) {
                log_event!(self.node.log(), Event::ServerSent, "server" => &life,
                    "limit" => limit.per_second(), "requests" => sent.requests,
                    "probes" => sent.probes, "orders" => sent.orders);
            }
        }
        drop(state);
        self.counts.set_limited_servers(limited);
    }

    /// Forgets limits of servers that are not known any more.
    pub(super) fn prune_limits(&self) {
        let now = self.node.now();
        let mut state = self.state();
        let super::State {
            quotas, register, ..
        } = &mut *state;
        quotas.retain(now, |server| register.contains_key(server));
    }
}

fn shown(limit: Option<quota::Rate>) -> String {
    limit.map_or_else(|| "none".to_owned(), |one| one.per_second().to_string())
}
