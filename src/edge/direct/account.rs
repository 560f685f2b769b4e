//! What is sent to backend servers, and the limits that these name, counted and logged.

use std::time::Duration;

use super::Direct;
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
    ) {
        let now = self.node.now();
        let named = self.dialect.limit(headers);
        let mut state = self.state();
        if !state.quotas.heard(now, life, sent, named) {
            return;
        }
        let lately = state.tally.lately(now, life);
        drop(state);
        let limit = match named {
            quota::Named::Limit(rate) => rate.per_second().to_string(),
            quota::Named::Nothing | quota::Named::Unreadable => "none".to_owned(),
        };
        log_event!(self.node.log(), Event::ServerLimit, "server" => life, "limit" => limit,
            "age_ms" => now.saturating_sub(sent).as_millis() as u64, "requests" => lately.requests,
            "probes" => lately.probes, "orders" => lately.orders);
    }

    /// Logs what was sent lately to servers that name a limit. To be called each second.
    pub(super) fn tell_sent(&self) {
        let now = self.node.now();
        let mut state = self.state();
        let super::State { quotas, tally, .. } = &mut *state;
        tally.prune(now);
        let sent: Vec<_> = quotas
            .limited()
            .map(|(life, rate)| (life.clone(), rate, tally.lately(now, life)))
            .filter(|(_, _, sent)| *sent != tally::Sent::default())
            .collect();
        drop(state);
        self.counts.limited(sent.len());
        for (life, rate, sent) in sent {
            if self.lines.allow(Event::ServerSent, now) {
                log_event!(self.node.log(), Event::ServerSent, "server" => &life,
                    "limit" => rate.per_second(), "requests" => sent.requests,
                    "probes" => sent.probes, "orders" => sent.orders);
            }
        }
    }
}
