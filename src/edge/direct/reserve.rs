//! Reserves memory at servers for prompts that are larger than the memory of one server.
//!
//! A reservation expires soon and is renewed while its request runs. If this process crashes, the
//! memory is free again without the help of another process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use tokio::task;
use tokio::time;

use super::Direct;
use super::pool;
use crate::direct::quota;
use crate::direct::register;
use crate::direct::tally;
use crate::edge::event::Event;
use crate::log_event;

/// Timeout of an order to a server: some round trips between availability zones.
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);

/// Renewals within the time after which a reservation expires: two may be lost.
const RENEWALS_PER_HOLD: u32 = 3;

/// Pause before a release without an answer is retried.
const RELEASE_PAUSE: Duration = Duration::from_millis(300);

/// Memory to reserve at a server.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// Where to reserve it.
    pub server: register::Record,
    /// Tokens that it must hold.
    pub tokens: u64,
}

#[derive(Clone, Debug)]
struct Held {
    addr: SocketAddr,
    server: register::Instance,
    ticket: String,
    tokens: u64,
    /// When its first order was sent.
    began: Duration,
}

/// Why an order got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unanswered {
    /// There was no connection, so it can't be carried out.
    Unsent,
    /// It was sent, and may still be carried out.
    Sent,
}

/// Memory reserved for one request. Dropping it releases all of it.
pub struct Reservation {
    direct: Arc<Direct>,
    held: Vec<Held>,
    renewing: Option<task::JoinHandle<()>>,
}

impl Reservation {
    /// Reserves all of `wanted` or nothing, under tickets that begin with `name`. All entries ask
    /// servers in the order of their addresses, and none waits for memory while it holds some, so
    /// that no deadlock arises.
    pub async fn take(direct: &Arc<Direct>, name: &str, wanted: Vec<Wanted>) -> Option<Self> {
        let mut wanted = wanted;
        wanted.sort_by_key(|wanted| wanted.server.addr);
        let mut reservation = Self {
            direct: Arc::clone(direct),
            held: Vec::new(),
            renewing: None,
        };
        for (at, one) in wanted.into_iter().enumerate() {
            let held = Held {
                addr: one.server.addr,
                server: one.server.life,
                ticket: format!("{name}-{at}"),
                tokens: one.tokens,
                began: direct.node.now(),
            };
            // Recorded before the order is sent: one without an answer may still be carried out, and
            // must be released with the rest.
            reservation.held.push(held.clone());
            if !direct.reserve_memory(&held).await {
                return None;
            }
        }
        reservation.renewing = Some(tokio::spawn(renew(
            Arc::clone(direct),
            reservation.held.clone(),
        )));
        Some(reservation)
    }

    /// The ticket of the reservation at a server, if there is one.
    pub fn ticket(&self, addr: SocketAddr) -> Option<&str> {
        let held = self.held.iter().find(|held| held.addr == addr);
        held.map(|held| held.ticket.as_str())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(renewing) = &self.renewing {
            renewing.abort();
        }
        for held in std::mem::take(&mut self.held) {
            tokio::spawn(release(Arc::clone(&self.direct), held));
        }
    }
}

async fn renew(direct: Arc<Direct>, held: Vec<Held>) {
    for round in 1_u32.. {
        time::sleep(direct.hold() / RENEWALS_PER_HOLD).await;
        for one in &held {
            // Orders count against a limit of the server: with one, every other round is skipped.
            let is_limited = direct.state().is_limited(direct.node.now(), &one.server);
            if is_limited && !round.is_multiple_of(2) {
                continue;
            }
            // A renewal that fails is retried in the next round, before the reservation expires.
            let renewed = direct.reserve_memory(one).await;
            if is_limited && !renewed {
                direct.reserve_memory(one).await;
            }
        }
    }
}

async fn release(direct: Arc<Direct>, held: Held) {
    let tries = direct.hold().as_millis() / RELEASE_PAUSE.as_millis().max(1);
    for _ in 0..=tries {
        let (path, body) = direct.dialect.release(&held.ticket);
        if let Ok(status) = direct.order(&held, path, body).await {
            log_event!(direct.node.log(), Event::MemoryReleased, "server" => &held.server,
                "ticket" => &held.ticket, "tokens" => held.tokens, "status" => status.as_u16(),
                "age_ms" => held.age_ms(&direct));
            return;
        }
        time::sleep(RELEASE_PAUSE).await;
    }
    // By now the reservation has expired.
    log_event!(direct.node.log(), Event::MemoryStuck, "server" => &held.server,
        "ticket" => &held.ticket, "age_ms" => held.age_ms(&direct));
}

impl Held {
    fn age_ms(&self, direct: &Direct) -> u64 {
        direct.node.now().saturating_sub(self.began).as_millis() as u64
    }
}

impl Direct {
    /// Time after which a reservation expires unless renewed.
    fn hold(&self) -> Duration {
        self.settings.reservation_ttl
    }

    async fn reserve_memory(&self, held: &Held) -> bool {
        let (path, body) = self.dialect.reserve(&held.ticket, held.tokens, self.hold());
        let answer = self.order(held, path, body).await;
        if let Err(why) = answer
            && (self.log_limiter).allow(Event::MemoryOrderUnanswered, self.node.now())
        {
            log_event!(self.node.log(), Event::MemoryOrderUnanswered, "server" => &held.server,
                "ticket" => &held.ticket, "age_ms" => held.age_ms(self),
                "sent" => why == Unanswered::Sent);
        }
        answer.is_ok_and(|status| status.is_success())
    }

    /// Sends an order to a server, and returns the status of its response.
    async fn order(
        &self,
        held: &Held,
        path: &'static str,
        body: Vec<u8>,
    ) -> Result<http::StatusCode, Unanswered> {
        let mut unanswered = Unanswered::Unsent;
        let response = async {
            let mut conn = pool::Conn::open(held.addr).await.ok()?;
            let request = http::Request::post(path)
                .header(header::HOST, held.addr.to_string())
                .header(header::CONTENT_TYPE, "application/json")
                .body(Full::new(Bytes::from(body)))
                .ok()?;
            let sent = self.record_sent(&held.server, tally::Kind::Order);
            self.charge(&held.server);
            unanswered = Unanswered::Sent;
            let response = conn.send(request).await.ok()?;
            let status = response.status();
            let headers = response.headers();
            self.observe_limit(&held.server, sent, headers, quota::Source::Other);
            // Reads the whole response: closing a connection with unread data would reset it.
            let _ = response.into_body().collect().await;
            Some(status)
        };
        let status = time::timeout(ORDER_TIMEOUT, response).await;
        status.ok().flatten().ok_or(unanswered)
    }
}
