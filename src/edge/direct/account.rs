//! Accounts for what this entry sends to backend servers, and for the limits that they name.

use std::time::Duration;

use super::Direct;
use crate::direct::board;
use crate::direct::gossip;
use crate::direct::quota;
use crate::direct::register;
use crate::direct::tally;
use crate::edge::event::Event;
use crate::log_event;

impl Direct {
    /// Counts something sent to a backend server now, and returns the time.
    pub(super) fn record_sent(&self, life: &register::Life, kind: tally::Kind) -> Duration {
        let now = self.node.now();
        self.counts.sent(kind);
        self.state().tally.sent(now, life, kind);
        now
    }

    /// Updates the limit of a server from the headers of its response to something sent at `sent`.
    pub(super) fn observe_limit(
        &self,
        life: &register::Life,
        sent: Duration,
        headers: &http::HeaderMap,
        source: quota::Source,
    ) {
        let now = self.node.now();
        let named = self.dialect.limit(headers);
        let mut state = self.state();
        if named == quota::Named::Nothing && state.quotas.is_empty() {
            return;
        }
        let server = board::server_key(life);
        let Some(report) = state.quotas.heard(now, server, sent, named, source) else {
            return;
        };
        let recent = state.tally.lately(now, life);
        drop(state);
        self.tell(gossip::News::Limits(vec![report]));
        log_event!(self.node.log(), Event::ServerLimit, "server" => life, "change" => report.change,
            "limit" => limit_text(report.limit), "direct" => true,
            "age_ms" => now.saturating_sub(sent).as_millis() as u64, "requests" => recent.requests,
            "probes" => recent.probes, "orders" => recent.orders);
    }

    /// Updates limits from the reports of other entries.
    pub(super) fn receive_limit_reports(&self, reports: &[quota::Word]) {
        let now = self.node.now();
        for report in reports {
            if !self.state().quotas.told(now, report) {
                continue;
            }
            let life = self.instance_of(report.server);
            log_event!(self.node.log(), Event::ServerLimit,
                "server" => life.map_or(String::new(), |life| life.to_string()),
                "change" => report.change, "limit" => limit_text(report.limit), "direct" => false);
        }
    }

    fn instance_of(&self, server: u64) -> Option<register::Life> {
        self.state().register.life(server).cloned()
    }

    /// Logs what was sent recently to servers that name a limit. To be called each second.
    pub(super) fn log_sent(&self) {
        let now = self.node.now();
        let mut state = self.state();
        state.tally.prune(now);
        let lives: Vec<register::Life> = if state.quotas.is_empty() {
            Vec::new()
        } else {
            state.tally.servers().cloned().collect()
        };
        let mut limited_servers = 0;
        for life in lives {
            let Some(limit) = state.quotas.limit(board::server_key(&life)) else {
                continue;
            };
            limited_servers += 1;
            let sent = state.tally.lately(now, &life);
            if self.lines.allow(Event::ServerSent, now) {
                log_event!(self.node.log(), Event::ServerSent, "server" => &life,
                    "limit" => limit.per_second(), "requests" => sent.requests,
                    "probes" => sent.probes, "orders" => sent.orders);
            }
        }
        drop(state);
        self.counts.limited(limited_servers);
    }

    /// Removes the limits of servers that are no longer registered.
    pub(super) fn prune_limits(&self) {
        let now = self.node.now();
        let mut state = self.state();
        let super::State {
            quotas, register, ..
        } = &mut *state;
        quotas.retain(now, |server| register.has(server));
    }
}

fn limit_text(limit: Option<quota::Rate>) -> String {
    limit.map_or_else(|| "none".to_owned(), |rate| rate.per_second().to_string())
}
