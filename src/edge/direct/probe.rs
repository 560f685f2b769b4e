//! Asks servers whether they are there, and draws conclusions.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::Limited;
use tokio::time;

use super::Direct;
use super::dialect;
use super::pool;
use crate::direct::quota;
use crate::direct::register;
use crate::direct::tally;
use crate::wire::id;

/// Time for a server to answer a question about itself; some round trips between zones.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time between two such questions.
const PROBE_PAUSE: Duration = Duration::from_millis(800);

impl Direct {
    /// Another server than the one asked was at fault: it could not help.
    pub(super) fn pause_helper(&self, server: &register::Record, at_fault: Option<&str>) {
        let Some(addr) = at_fault.and_then(|one| one.parse().ok()) else {
            return;
        };
        if addr == server.addr {
            return;
        }
        let helper = self.state().register.at(addr).map(|one| one.life.clone());
        if let Some(helper) = helper {
            self.pause_server(&helper, "could not help");
        }
    }

    /// After a connection broke: asks whether the server is still there.
    pub(super) fn check_after_disconnect(
        self: &Arc<Self>,
        fingerprint: id::Fingerprint,
        server: register::Record,
    ) {
        if self.state().is_limited(&server.life) {
            let now = self.node.now();
            self.state()
                .healths
                .record_response(now, &server.life, false);
            return;
        }
        let direct = Arc::clone(self);
        tokio::spawn(async move {
            if direct.probe(&server).await.is_none() {
                direct.pause_server(&server.life, "connection broken, and no answer since");
                direct.server_died(fingerprint, &server.life);
            } else {
                let now = direct.node.now();
                direct
                    .state()
                    .healths
                    .record_response(now, &server.life, false);
            }
        });
    }

    /// Ends when the server answers no question about itself.
    pub(super) async fn until_unresponsive(&self, server: &register::Record, quiet: Duration) {
        time::sleep(quiet).await;
        // A server that names a limit is not asked: questions count against it.
        loop {
            let limited = self.state().is_limited(&server.life);
            if !limited && self.probe(server).await.is_none() {
                return;
            }
            time::sleep(PROBE_PAUSE).await;
        }
    }

    /// Asks a server about itself. `None`: it does not answer, or another life of it does.
    pub(super) async fn probe(&self, server: &register::Record) -> Option<dialect::Report> {
        let asking = async {
            let mut conn = pool::Conn::open(server.addr).await.ok()?;
            let request = http::Request::get(self.dialect.report_path())
                .header(http::header::HOST, server.addr.to_string())
                .body(Full::new(Bytes::new()))
                .ok()?;
            let sent = self.record_sent(&server.life, tally::Kind::Probe);
            let response = conn.send(request).await.ok()?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, 64 << 10);
            let body = body.collect().await.ok()?.to_bytes();
            let report = self.dialect.report(&body).unwrap_or_default();
            Some((report, sent, head.headers))
        };
        let (report, sent, headers) = time::timeout(PROBE_TIMEOUT, asking).await.ok()??;
        if !server.life.may_match(report.started_ms) {
            return None;
        }
        self.observe_limit(&server.life, sent, &headers, quota::Source::Other);
        if report.pace > 0.0 {
            self.state().healths.set_pace(&server.life, report.pace);
        }
        Some(report)
    }
}
