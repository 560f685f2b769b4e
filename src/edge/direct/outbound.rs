//! The only way from this entry to a backend server: whatever is sent goes through here, and what
//! the head of a response says about its server is observed here.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::response;
use http_body_util::Full;
use hyper::body;

use super::Direct;
use super::dialect;
use super::pool;
use crate::direct::backoff;
use crate::direct::load;
use crate::direct::quota;
use crate::direct::register;
use crate::direct::tally;
use crate::direct::ticket;
use crate::direct::waiting;
use crate::edge::event::Event;
use crate::log_event;

/// Shows that something may be sent. Only this module creates it, so nothing passes by its checks.
pub(super) struct Permit(());

/// The instance that something is sent to, and its address.
#[derive(Clone, Copy)]
pub(super) struct Target<'a> {
    life: &'a register::Instance,
    addr: SocketAddr,
}

impl<'a> Target<'a> {
    /// The instance `life` at `addr`.
    pub(super) fn new(life: &'a register::Instance, addr: SocketAddr) -> Self {
        Self { life, addr }
    }
}

/// What is sent.
#[derive(Clone, Copy)]
pub(super) enum Message<'a> {
    /// A caller's request.
    Request {
        /// Its id.
        id: &'a str,
        /// The servers that read segments of its prompt.
        helpers: &'a [register::Record],
    },
    /// A query for the state of the server.
    Probe,
    /// An order on memory.
    Order(ticket::Order),
}

impl Message<'_> {
    fn purpose(&self) -> backoff::Purpose {
        match self {
            Self::Request { .. } => backoff::Purpose::Request,
            Self::Probe => backoff::Purpose::Probe,
            Self::Order(ticket::Order::Renew(_)) => backoff::Purpose::Renewal,
            Self::Order(ticket::Order::Reserve(_) | ticket::Order::Release) => {
                backoff::Purpose::Order
            }
        }
    }

    fn request(&self) -> &str {
        match self {
            Self::Request { id, .. } => id,
            Self::Probe | Self::Order(_) => "",
        }
    }
}

/// Why there is no response.
#[derive(Debug)]
pub(super) enum Failure {
    /// Not sent: a server that it concerns must not get it now.
    Withheld,
    /// The connection failed.
    Conn(pool::Failure),
}

impl From<pool::Failure> for Failure {
    fn from(failure: pool::Failure) -> Self {
        Self::Conn(failure)
    }
}

/// A response whose body is still to be read.
pub(super) struct Received {
    /// Status and headers.
    pub(super) head: response::Parts,
    /// The body.
    pub(super) body: body::Incoming,
    /// What the head says.
    pub(super) answer: dialect::Response,
}

/// The server because of which something must not be sent now, and why.
fn withholds<'a>(
    state: &super::State,
    now: Duration,
    target: Target<'a>,
    message: Message<'a>,
) -> Option<(&'a register::Instance, &'static str)> {
    let is_paused = |life: &register::Instance| {
        let server = load::server_key(life);
        !state.backoffs.allows(now, server, message.purpose())
    };
    let no_pauses = state.backoffs.is_empty();
    let Message::Request { helpers, .. } = message else {
        return (!no_pauses && is_paused(target.life)).then_some((target.life, "pause"));
    };
    let helpers = helpers.iter().map(|helper| &helper.life);
    let mut servers = std::iter::once(target.life).chain(helpers);
    servers.find_map(|life| {
        if !state.register.is_ready(life) {
            return Some((life, "not ready"));
        }
        (!no_pauses && is_paused(life)).then_some((life, "pause"))
    })
}

impl super::State {
    /// Whether a server may be probed. `server`: its key.
    pub(super) fn may_be_probed(
        &self,
        now: Duration,
        life: &register::Instance,
        server: u64,
    ) -> bool {
        !self.is_limited(now, life) && self.backoffs.allows(now, server, backoff::Purpose::Probe)
    }
}

impl Direct {
    /// Sends a request to a server on a connection to it, and waits for the head of its response.
    pub(super) async fn send_to_server(
        &self,
        conn: &mut pool::Conn,
        target: Target<'_>,
        message: Message<'_>,
        request: http::Request<Full<Bytes>>,
    ) -> Result<Received, Failure> {
        conn.ready().await?;
        let permit = self.check(target, message)?;
        let kind = message.purpose().kind();
        let sent_at = self.record_sent(target.life, kind);
        if kind == tally::Kind::Order {
            self.charge(target.life);
        }
        let response = conn.send(request, permit).await?;
        let (head, body) = response.into_parts();
        let answer = self.dialect.response(&head);
        // What another instance says is not said of the expected one.
        if !answer.displaced && !self.is_taken_over(target.life, target.addr) {
            self.observe(target.life, sent_at, kind, &head, &answer);
        }
        Ok(Received { head, body, answer })
    }

    /// Whether something may be sent now. Asked directly before it is, since the server may have asked
    /// for a pause after it was chosen. Also asked before a connection is opened, which would be of no
    /// use.
    pub(super) fn check(
        &self,
        target: Target<'_>,
        message: Message<'_>,
    ) -> Result<Permit, Failure> {
        let now = self.node.now();
        let mut state = self.state();
        let Some((at, why)) = withholds(&state, now, target, message) else {
            return Ok(Permit(()));
        };
        let kind = message.purpose().kind();
        state.backoffs.record_held(now, load::server_key(at), kind);
        drop(state);
        self.counts.withheld(kind);
        if self.log_limiter.allow(Event::SendWithheld, now) {
            log_event!(self.node.log(), Event::SendWithheld, "request" => message.request(),
                "server" => at, "kind" => kind.name(), "why" => why);
        }
        Err(Failure::Withheld)
    }

    /// Whether a server may be probed: it has neither a limit, against which probes count, nor asked
    /// for a pause.
    pub(super) fn may_probe(&self, life: &register::Instance) -> bool {
        let now = self.node.now();
        let state = self.state();
        state.may_be_probed(now, life, load::server_key(life))
    }

    /// Whether another instance than `life` is known at its address.
    pub(super) fn is_taken_over(&self, life: &register::Instance, addr: SocketAddr) -> bool {
        let state = self.state();
        let holder = state.register.at(addr);
        holder.is_some_and(|holder| holder.life != *life)
    }

    /// Observes what a response to something sent at `sent_at` says about its server.
    fn observe(
        &self,
        life: &register::Instance,
        sent_at: Duration,
        kind: tally::Kind,
        head: &response::Parts,
        answer: &dialect::Response,
    ) {
        let source = if kind == tally::Kind::Request && answer.sealed {
            quota::Source::Run
        } else {
            quota::Source::Other
        };
        self.observe_limit(life, sent_at, &head.headers, source);
        self.observe_pause(life, sent_at, kind, answer.pause);
        if answer.leaving {
            self.observe_leaving(life, kind);
        }
    }

    fn observe_pause(
        &self,
        life: &register::Instance,
        sent_at: Duration,
        kind: tally::Kind,
        notice: backoff::Notice,
    ) {
        if notice == backoff::Notice::Absent {
            return;
        }
        // A pause that has ended is not extended: the next one begins.
        self.log_ended_pauses();
        let now = self.node.now();
        let server = load::server_key(life);
        let (change, pause) = {
            let mut state = self.state();
            let change = state.backoffs.observe(now, server, notice, rand::random());
            (change, state.backoffs.pause(now, server))
        };
        self.capacity_changed(waiting::Source::Elsewhere);
        let change = match (notice, change) {
            (backoff::Notice::Invalid, _) => "unreadable",
            (_, Some(backoff::Change::Begun)) => "begins",
            (_, Some(backoff::Change::Extended)) => "extends",
            (_, None) => return,
        };
        let named = match notice {
            backoff::Notice::Pause(time) => time,
            backoff::Notice::Absent | backoff::Notice::Invalid => Duration::ZERO,
        };
        let pause = pause.unwrap_or_default();
        if self.log_limiter.allow(Event::ServerPause, now) {
            log_event!(self.node.log(), Event::ServerPause, "server" => life, "change" => change,
                "named_ms" => named.as_millis() as u64, "source" => kind.name(),
                "age_ms" => now.saturating_sub(sent_at).as_millis() as u64,
                "left_ms" => pause.until.saturating_sub(now).as_millis() as u64,
                "requests" => pause.sent.requests, "probes" => pause.sent.probes,
                "orders" => pause.sent.orders, "held" => pause.held.total());
        }
    }

    fn observe_leaving(&self, life: &register::Instance, kind: tally::Kind) {
        let now = self.node.now();
        let record = self.state().register.mark_leaving(now, life);
        let Some(record) = record else {
            return;
        };
        self.pool.close_idle(life);
        self.broadcast_records(vec![record]);
        if self.log_limiter.allow(Event::ServerLeaving, now) {
            log_event!(self.node.log(), Event::ServerLeaving, "server" => life,
                "source" => kind.name());
        }
    }

    /// Logs the pauses that have ended. To be called each second.
    pub(super) fn log_ended_pauses(&self) {
        let now = self.node.now();
        let ended = {
            let mut state = self.state();
            let ended = state.backoffs.take_ended(now);
            let named = ended.into_iter().map(|(server, pause)| {
                let life = state.register.instance(server);
                (life.map(ToString::to_string).unwrap_or_default(), pause)
            });
            named.collect::<Vec<(String, backoff::Pause)>>()
        };
        for (server, pause) in ended {
            if self.log_limiter.allow(Event::ServerPause, now) {
                log_event!(self.node.log(), Event::ServerPause, "server" => server, "change" => "ends",
                    "named_ms" => pause.until.saturating_sub(pause.began).as_millis() as u64,
                    "requests" => pause.sent.requests, "probes" => pause.sent.probes,
                    "orders" => pause.sent.orders, "held" => pause.held.total());
            }
        }
    }
}
