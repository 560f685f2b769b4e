//! What is sent to backend servers, and the limits that these name.

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
    /// Something goes to a backend server: when.
    pub(super) fn sent(&self, life: &register::Life, kind: tally::Kind) -> Duration {
        let now = self.node.now();
        self.counts.sent(kind);
        self.state().tally.sent(now, life, kind);
        now
    }

    /// Takes what an answer to something sent at `sent` says of its server's limit.
    pub(super) fn take_limit(
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
        let Some(word) = state.quotas.heard(now, server, sent, named, source) else {
            return;
        };
        let lately = state.tally.lately(now, life);
        drop(state);
        self.broadcast(gossip::News::Limits(vec![word]));
        log_event!(self.node.log(), Event::ServerLimit, "server" => life, "change" => word.change,
            "limit" => shown(word.limit), "direct" => true,
            "age_ms" => now.saturating_sub(sent).as_millis() as u64, "requests" => lately.requests,
            "probes" => lately.probes, "orders" => lately.orders);
    }

    /// Takes what other entries know of limits.
    pub(super) fn take_words(&self, words: &[quota::Word]) {
        let now = self.node.now();
        for word in words {
            if !self.state().quotas.told(now, word) {
                continue;
            }
            let life = self.life_of(word.server);
            log_event!(self.node.log(), Event::ServerLimit,
                "server" => life.map_or(String::new(), |one| one.to_string()),
                "change" => word.change, "limit" => shown(word.limit), "direct" => false);
        }
    }

    fn life_of(&self, server: u64) -> Option<register::Life> {
        self.state().register.life(server).cloned()
    }

    /// Logs what was sent lately to servers that name a limit. To be called each second.
    pub(super) fn tell_sent(&self) {
        let now = self.node.now();
        let mut state = self.state();
        state.tally.prune(now);
        let lives: Vec<register::Life> = if state.quotas.is_empty() {
            Vec::new()
        } else {
            state.tally.servers().cloned().collect()
        };
        let mut limited = 0;
        for life in lives {
            let Some(limit) = state.quotas.limit(board::server_key(&life)) else {
                continue;
            };
            limited += 1;
            let sent = state.tally.lately(now, &life);
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
        quotas.retain(now, |server| register.has(server));
    }
}

fn shown(limit: Option<quota::Rate>) -> String {
    limit.map_or_else(|| "none".to_owned(), |one| one.per_second().to_string())
}
