//! Probes backend servers and pauses those that do not respond.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::Limited;
use tokio::time;

use super::Direct;
use super::dialect;
use super::outbound;
use super::pool;
use super::suspicion;
use crate::direct::register;

/// Timeout for the response to a probe: some round trips between zones.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Lateness of a probe's timeout from which this process is late itself: the response may have come.
const OWN_LATENESS: Duration = Duration::from_millis(50);

/// Time from the end of one probe to the next.
const PROBE_DELAY: Duration = Duration::from_millis(800);

/// Time from a broken connection to the first heartbeat of the server's next life, if it has one
/// already.
const REPLACED_WITHIN: Duration = Duration::from_secs(1);

/// Time for which a server that a request left for its silence is probed, and the delay between two of
/// these probes. With the silence before, it is twice as long as a sound server may be silent.
const DARK_AFTER: Duration = Duration::from_millis(900);
const DARK_PROBE_DELAY: Duration = Duration::from_millis(300);

/// Why a probe gave no report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Missing {
    /// The server does not respond, or another instance does.
    Silent,
    /// This process ran too late to tell, or must not probe the server now.
    Unknown,
}

/// Outcome of the last probe of a server that a request waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outcome {
    /// It was not probed since anything came from it.
    #[default]
    None,
    /// It answered.
    Answered,
    /// It did not answer in time.
    Unanswered,
}

impl Outcome {
    /// Name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Answered => "answered",
            Self::Unanswered => "unanswered",
        }
    }
}

impl Direct {
    /// Pauses the helper at address `at_fault`, which `server` names as the cause of its failure.
    /// Does nothing if the address is that of `server` itself.
    pub(super) fn pause_helper(&self, server: &register::Record, at_fault: Option<&str>) {
        let Some(addr) = at_fault.and_then(|addr| addr.parse().ok()) else {
            return;
        };
        if addr == server.addr {
            return;
        }
        let helper = self
            .state()
            .register
            .at(addr)
            .map(|record| record.life.clone());
        if let Some(helper) = helper {
            self.pause_server(&helper, "could not help");
        }
    }

    /// Probes a server after a connection to it broke. If it does not respond, or another life of it
    /// is soon known at its address, it has died and the request is a suspect.
    pub(super) fn check_after_disconnect(
        self: &Arc<Self>,
        run: suspicion::Run,
        server: register::Record,
    ) {
        let open = self.open_runs(&server.life);
        let may_probe = self.may_probe(&server.life);
        let direct = Arc::clone(self);
        tokio::spawn(async move {
            if may_probe && direct.is_silent(&server).await {
                direct.pause_server(&server.life, "connection broken, and no answer since");
                let evidence = "connection broken, no answer to a probe";
                return direct.server_crashed(&run, &server.life, open, evidence);
            }
            let now = direct.node.now();
            direct
                .state()
                .healths
                .record_response(now, &server.life, false);
            time::sleep(REPLACED_WITHIN).await;
            if direct.is_replaced(&server) {
                let evidence = "connection broken, another life at its address";
                direct.server_crashed(&run, &server.life, open, evidence);
            }
        });
    }

    /// Watches a server that a request has left because it is silent. If it stays silent, it has died
    /// and all requests that left it are suspects. Several watches of one server are one.
    pub(super) fn watch_silence(self: &Arc<Self>, run: suspicion::Run, server: &register::Record) {
        if !self.may_probe(&server.life) {
            return;
        }
        let is_watched = {
            let mut watches = self.watches.lock().expect("watches lock");
            let runs = watches.entry(server.life.clone()).or_default();
            runs.push(run);
            runs.len() > 1
        };
        if is_watched {
            return;
        }
        let open = self.open_runs(&server.life);
        let (direct, server) = (Arc::clone(self), server.clone());
        tokio::spawn(async move {
            let is_dark = direct.stays_silent(&server).await;
            let mut watches = direct.watches.lock().expect("watches lock");
            let runs = watches.remove(&server.life).unwrap_or_default();
            drop(watches);
            for run in runs.iter().filter(|_| is_dark) {
                direct.server_crashed(run, &server.life, open, "silent for long");
            }
        });
    }

    /// Whether a silent server stays so for longer than a sound one, or is replaced meanwhile.
    async fn stays_silent(&self, server: &register::Record) -> bool {
        let until = self.node.now() + DARK_AFTER;
        loop {
            time::sleep(DARK_PROBE_DELAY).await;
            if !self.is_silent(server).await {
                return false;
            }
            if self.node.now() >= until {
                return true;
            }
        }
    }

    /// Whether another server is known at the address of `server`.
    fn is_replaced(&self, server: &register::Record) -> bool {
        self.is_taken_over(&server.life, server.addr)
    }

    /// Returns when the server does not respond to a probe. `quiet`: time before the first probe,
    /// `last`: set to the outcome of each probe.
    pub(super) async fn until_unresponsive(
        &self,
        server: &register::Record,
        quiet: Duration,
        last: &mut Outcome,
    ) {
        time::sleep(quiet).await;
        loop {
            if self.may_probe(&server.life) {
                if self.is_silent(server).await {
                    *last = Outcome::Unanswered;
                    return;
                }
                *last = Outcome::Answered;
            }
            time::sleep(PROBE_DELAY).await;
        }
    }

    /// Whether a server does not respond to a probe. `false` also if this process can't tell.
    pub(super) async fn is_silent(&self, server: &register::Record) -> bool {
        matches!(self.probe(server).await, Err(Missing::Silent))
    }

    /// Probes a server for its report.
    pub(super) async fn probe(
        &self,
        server: &register::Record,
    ) -> Result<dialect::Report, Missing> {
        let target = outbound::Target::new(&server.life, server.addr);
        if self.check(target, outbound::Message::Probe).is_err() {
            return Err(Missing::Unknown);
        }
        let mut is_withheld = false;
        let probing = async {
            let mut conn = pool::Conn::open(server.addr).await.ok()?;
            let request = http::Request::get(self.dialect.report_path())
                .header(http::header::HOST, server.addr.to_string())
                .body(Full::new(Bytes::new()))
                .ok()?;
            let message = outbound::Message::Probe;
            let received = self
                .send_to_server(&mut conn, target, message, request)
                .await;
            is_withheld = matches!(received, Err(outbound::Failure::Withheld));
            let received = received.ok()?;
            let body = Limited::new(received.body, 64 << 10);
            let body = body.collect().await.ok()?.to_bytes();
            Some(self.dialect.report(&body).unwrap_or_default())
        };
        let began = Instant::now();
        let probed = time::timeout(PROBE_TIMEOUT, probing).await;
        let Some(report) = probed.ok().flatten() else {
            let is_late = began.elapsed() > PROBE_TIMEOUT + OWN_LATENESS;
            return Err(if is_late || is_withheld {
                Missing::Unknown
            } else {
                Missing::Silent
            });
        };
        // Reports need not tell when the server started.
        if !server.life.may_match(report.started_ms) || self.is_replaced(server) {
            return Err(Missing::Silent);
        }
        if report.pace > 0.0 {
            self.state().healths.set_pace(&server.life, report.pace);
        }
        Ok(report)
    }
}
