//! Memory set aside at servers for prompts that are larger than one server's memory.
//!
//! A reservation is short and renewed while its request runs. So whatever becomes of this
//! process, the memory is free again soon, and no other has to know of it.

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

/// Time for a server to answer an order; some round trips between zones.
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);

/// Renewals in the time for which memory is held: two may be lost.
const RENEWALS: u32 = 3;

/// Pause before a release that got no answer is tried again.
const RELEASE_PAUSE: Duration = Duration::from_millis(300);

/// Tokens to set aside at a server.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// The server.
    pub server: register::Record,
    /// How many.
    pub tokens: u64,
}

#[derive(Clone, Debug)]
struct Held {
    addr: SocketAddr,
    server: register::Instance,
    ticket: String,
    tokens: u64,
}

/// Memory set aside for one request. Dropping it releases all of it.
pub struct Reservation {
    direct: Arc<Direct>,
    held: Vec<Held>,
    renewing: Option<task::JoinHandle<()>>,
}

impl Reservation {
    /// Sets all of `wanted` aside under tickets that begin with `name`, or nothing. Servers are
    /// asked in the order of their addresses, by everyone, and nobody waits for memory while it
    /// holds some.
    pub async fn take(direct: &Arc<Direct>, name: &str, wanted: Vec<Wanted>) -> Option<Self> {
        let mut wanted = wanted;
        wanted.sort_by_key(|one| one.server.addr);
        let mut taken = Self {
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
            };
            // An order without an answer may yet be carried out: it is released with the rest.
            taken.held.push(held.clone());
            if !direct.set_aside(&held).await {
                return None;
            }
        }
        taken.renewing = Some(tokio::spawn(renew(Arc::clone(direct), taken.held.clone())));
        Some(taken)
    }

    /// The ticket at a server, if there is one.
    pub fn ticket(&self, addr: SocketAddr) -> Option<&str> {
        let held = self.held.iter().find(|one| one.addr == addr);
        held.map(|one| one.ticket.as_str())
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
        time::sleep(direct.hold() / RENEWALS).await;
        for one in &held {
            // Orders count against a limit: where there is one every other round will do.
            let spares = direct.state().is_limited(&one.server);
            if spares && !round.is_multiple_of(2) {
                continue;
            }
            // One that fails is tried again with the next round, before it has run out.
            let renewed = direct.set_aside(one).await;
            if spares && !renewed {
                direct.set_aside(one).await;
            }
        }
    }
}

async fn release(direct: Arc<Direct>, held: Held) {
    let tries = direct.hold().as_millis() / RELEASE_PAUSE.as_millis().max(1);
    for _ in 0..=tries {
        let (path, body) = direct.dialect.release(&held.ticket);
        if direct.order(&held, path, body).await.is_some() {
            log_event!(direct.node.log(), Event::MemoryReleased, "server" => &held.server,
                "ticket" => &held.ticket, "tokens" => held.tokens);
            return;
        }
        time::sleep(RELEASE_PAUSE).await;
    }
    // By now it has run out by itself.
    log_event!(direct.node.log(), Event::MemoryStuck, "server" => &held.server,
        "ticket" => &held.ticket);
}

impl Direct {
    /// Time for which memory is held without renewal.
    fn hold(&self) -> Duration {
        self.settings.reservation_ttl
    }

    async fn set_aside(&self, held: &Held) -> bool {
        let (path, body) = self.dialect.reserve(&held.ticket, held.tokens, self.hold());
        let status = self.order(held, path, body).await;
        status.is_some_and(|status| status.is_success())
    }

    /// Gives a server an order: the status of its answer.
    async fn order(
        &self,
        held: &Held,
        path: &'static str,
        body: Vec<u8>,
    ) -> Option<http::StatusCode> {
        let ordering = async {
            let mut conn = pool::Conn::open(held.addr).await.ok()?;
            let request = http::Request::post(path)
                .header(header::HOST, held.addr.to_string())
                .header(header::CONTENT_TYPE, "application/json")
                .body(Full::new(Bytes::from(body)))
                .ok()?;
            let sent = self.record_sent(&held.server, tally::Kind::Order);
            self.charge(&held.server);
            let response = conn.send(request).await.ok()?;
            let status = response.status();
            let headers = response.headers();
            self.observe_limit(&held.server, sent, headers, quota::Source::Other);
            // The connection is closed with its answer read, so that nothing resets it.
            let _ = response.into_body().collect().await;
            Some(status)
        };
        time::timeout(ORDER_TIMEOUT, ordering).await.ok()?
    }
}
