//! Accounts for what this entry sends to backend servers, and for the limits that they name.

use std::time::Duration;

use super::Direct;
use crate::direct::gossip;
use crate::direct::load;
use crate::direct::quota;
use crate::direct::register;
use crate::direct::tally;
use crate::direct::waiting;
use crate::edge::event::Event;
use crate::log_event;

impl Direct {
    /// Counts something sent to a backend server now, and returns the time.
    pub(super) fn record_sent(&self, instance: &register::Instance, kind: tally::Kind) -> Duration {
        let now = self.node.now();
        self.counts.sent(kind);
        let mut state = self.state();
        state.tally.record(now, instance, kind);
        if !state.backoffs.is_empty()
            && state.backoffs.record(now, load::server_key(instance), kind)
        {
            self.counts.sent_in_pause(kind);
        }
        now
    }

    /// Updates the limit of a server from the headers of its response to something sent at `sent`.
    pub(super) fn observe_limit(
        &self,
        instance: &register::Instance,
        sent: Duration,
        headers: &http::HeaderMap,
        source: quota::Source,
    ) {
        let now = self.node.now();
        let named = self.dialect.limit(headers);
        let mut state = self.state();
        if named == quota::Notice::Absent && state.quotas.is_empty(now) {
            return;
        }
        let server = load::server_key(instance);
        let Some(report) = state.quotas.observe(now, server, sent, named, source) else {
            return;
        };
        let recent = state.tally.recent(now, instance);
        drop(state);
        self.capacity_changed(waiting::Source::Elsewhere);
        self.broadcast(gossip::Message::Limits(vec![report]));
        log_event!(self.node.log(), Event::ServerLimit, "server" => instance, "change" => report.change,
            "limit" => limit_text(report.limit), "direct" => true,
            "age_ms" => now.saturating_sub(sent).as_millis() as u64, "requests" => recent.requests,
            "probes" => recent.probes, "orders" => recent.orders);
    }

    /// Updates limits from the reports of other entries.
    pub(super) fn receive_limit_reports(&self, reports: &[quota::Report]) {
        let now = self.node.now();
        for report in reports {
            if !self.state().quotas.merge(now, report) {
                continue;
            }
            self.capacity_changed(waiting::Source::Elsewhere);
            let instance = self.instance_of(report.server);
            log_event!(self.node.log(), Event::ServerLimit,
                "server" => instance.map_or(String::new(), |instance| instance.to_string()),
                "change" => report.change, "limit" => limit_text(report.limit), "direct" => false);
        }
    }

    fn instance_of(&self, server: u64) -> Option<register::Instance> {
        self.state().register.instance(server).cloned()
    }

    /// Logs what was sent recently to servers that name a limit. To be called each second.
    pub(super) fn log_sent(&self) {
        let now = self.node.now();
        let mut state = self.state();
        state.tally.prune(now);
        let instances: Vec<register::Instance> = if state.quotas.is_empty(now) {
            Vec::new()
        } else {
            state.tally.servers().cloned().collect()
        };
        let mut limited_servers = 0;
        for instance in instances {
            let Some(limit) = state.quotas.limit(now, load::server_key(&instance)) else {
                continue;
            };
            limited_servers += 1;
            let sent = state.tally.recent(now, &instance);
            if self.log_limiter.allow(Event::ServerSent, now) {
                log_event!(self.node.log(), Event::ServerSent, "server" => &instance,
                    "limit" => limit.per_second(), "requests" => sent.requests,
                    "probes" => sent.probes, "orders" => sent.orders);
            }
        }
        drop(state);
        self.counts.set_limited_servers(limited_servers);
    }

    /// Removes the limits of servers that are no longer registered.
    pub(super) fn prune_limits(&self) {
        let now = self.node.now();
        let mut state = self.state();
        let super::State {
            quotas, register, ..
        } = &mut *state;
        quotas.retain(now, |server| register.contains_key(server));
    }
}

fn limit_text(limit: Option<quota::Rate>) -> String {
    limit.map_or_else(|| "none".to_owned(), |rate| rate.per_second().to_string())
}
