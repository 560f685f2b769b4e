//! Reserves memory at servers for prompts that are larger than the memory of one server.
//!
//! A reservation expires soon and is renewed while its request runs. If this process crashes, the
//! memory is free again without the help of another process. [`ticket`] decides on the orders; a
//! task for each ticket sends them one after the other, also after the end of the request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::Limited;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time;

use super::Direct;
use super::outbound;
use super::pool;
use crate::direct::load;
use crate::direct::register;
use crate::direct::ticket;
use crate::direct::ticket::Answer;
use crate::direct::ticket::Order;
use crate::edge::event::Event;
use crate::log_event;

/// Timeout of an order to a server: some round trips between availability zones.
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest response to an order that is read.
const MAX_ORDER_RESPONSE: usize = 64 << 10;

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
}

/// Memory reserved for one request. Dropping it releases all of it.
pub struct Reservation {
    held: Vec<Held>,
    /// Closed when the request ends.
    running: watch::Sender<()>,
}

impl Reservation {
    /// Reserves all of `wanted` or nothing, under tickets that begin with `name`. All entries ask
    /// servers in the order of their addresses, and none waits for memory while it holds some, so
    /// that no deadlock arises. It is renewed while `writer`, the server that writes the answer, is
    /// alive, at most for `time_left`.
    ///
    /// # Errors
    ///
    /// The server that did not reserve its part.
    pub async fn take(
        direct: &Arc<Direct>,
        name: &str,
        wanted: Vec<Wanted>,
        writer: &register::Record,
        time_left: Duration,
    ) -> Result<Self, register::Instance> {
        let ttl = direct.settings.reservation_ttl;
        let now = direct.node.now();
        let deadline = now + time_left;
        let mut wanted = wanted;
        wanted.sort_by_key(|wanted| wanted.server.addr);
        let mut reservation = Self {
            held: Vec::new(),
            running: watch::Sender::new(()),
        };
        let watched = ticket::Writer::new(now, ttl, deadline);
        let alive_at = watch::Sender::new(now);
        let seen = alive_at.subscribe();
        let running = reservation.running.subscribe();
        tokio::spawn(watch_writer(
            Arc::clone(direct),
            writer.clone(),
            watched,
            alive_at,
            running,
        ));
        // A release may be repeated after the request: a ticket of its own for each reservation, as a
        // caller may send the same id again.
        let series = rand::random::<u32>();
        for (at, one) in wanted.into_iter().enumerate() {
            let held = Held {
                addr: one.server.addr,
                server: one.server.life,
                ticket: format!("{name}-{at}-{series:08x}"),
                tokens: one.tokens,
            };
            reservation.held.push(held.clone());
            let (taken, is_taken) = oneshot::channel();
            let keeper = Keeper {
                direct: Arc::clone(direct),
                ticket: ticket::Ticket::new(ttl, deadline),
                held: held.clone(),
                began: direct.node.now(),
                running: reservation.running.subscribe(),
                alive_at: seen.clone(),
                released: None,
            };
            tokio::spawn(keeper.run(taken));
            if !is_taken.await.unwrap_or(false) {
                return Err(held.server);
            }
        }
        Ok(reservation)
    }

    /// The ticket of the reservation at a server, if there is one.
    pub fn ticket(&self, addr: SocketAddr) -> Option<&str> {
        let held = self.held.iter().find(|held| held.addr == addr);
        held.map(|held| held.ticket.as_str())
    }
}

/// Publishes signs of life of the server that writes an answer until its request ends, or until they
/// are of no use any more.
async fn watch_writer(
    direct: Arc<Direct>,
    server: register::Record,
    mut writer: ticket::Writer,
    alive_at: watch::Sender<Duration>,
    mut running: watch::Receiver<()>,
) {
    let probing = async {
        while let Some(due) = writer.next_probe(direct.node.now()) {
            time::sleep(due.saturating_sub(direct.node.now())).await;
            let now = direct.node.now();
            let may_probe = direct.may_probe(&server.life);
            let is_alive = !may_probe || !direct.is_silent(&server).await;
            writer.probed(now, is_alive);
            alive_at.send_replace(writer.alive_at());
        }
    };
    tokio::select! {
        () = probing => {}
        _ = running.changed() => {}
    }
}

/// Sends the orders of one ticket.
struct Keeper {
    direct: Arc<Direct>,
    ticket: ticket::Ticket,
    held: Held,
    /// When its first order was sent.
    began: Duration,
    /// Closed when the request ends.
    running: watch::Receiver<()>,
    /// Last sign of life of the server that writes the answer.
    alive_at: watch::Receiver<Duration>,
    /// Status of the last answer to a release.
    released: Option<StatusCode>,
}

impl Keeper {
    /// Keeps the memory until the request ends, then releases it. `taken` gets whether the memory was
    /// reserved at first.
    async fn run(mut self, taken: oneshot::Sender<bool>) {
        let mut taken = Some(taken);
        let end = loop {
            if self.running.has_changed().is_err() {
                self.ticket.end();
            }
            let now = self.direct.node.now();
            let alive_at = *self.alive_at.borrow_and_update();
            let view = self.direct.ticket_view(now, alive_at, &self.held.server);
            match self.ticket.next(view) {
                ticket::Step::Send(order) => {
                    // Not cancelled by the end of the request: a release on another connection might
                    // overtake it.
                    let answer = self.send(order).await;
                    if let Some(taken) = taken.take() {
                        // Without a receiver the request has ended, which the next round notices.
                        let _ = taken.send(answer == Answer::Done);
                    }
                }
                ticket::Step::Wait(until) => self.wait(until.saturating_sub(now)).await,
                ticket::Step::Done(end) => break end,
            }
        };
        self.log_end(end);
    }

    /// Waits for `pause`, or until the request ends or its writing server gives a sign of life.
    async fn wait(&mut self, pause: Duration) {
        let has_ended = self.ticket.has_ended();
        tokio::select! {
            () = time::sleep(pause) => {}
            _ = self.running.changed(), if !has_ended => {}
            // Closed when there is nothing more to come.
            Ok(()) = self.alive_at.changed(), if !has_ended => {}
        }
    }

    async fn send(&mut self, order: Order) -> Answer {
        let direct = &self.direct;
        let held = &self.held;
        let (path, body) = match order {
            Order::Reserve(time) | Order::Renew(time) => {
                direct.dialect.reserve(&held.ticket, held.tokens, time)
            }
            Order::Release => direct.dialect.release(&held.ticket),
        };
        self.ticket.sent(direct.node.now(), order);
        let response = direct.order(held, order, path, body).await;
        let now = direct.node.now();
        let answer = match response {
            Ok(status) => answer_of(status),
            Err(answer) => answer,
        };
        self.ticket.answered(answer);
        match (order, response) {
            (Order::Release, Ok(status)) => self.released = Some(status),
            (Order::Reserve(_) | Order::Renew(_), Err(_))
                if direct.log_limiter.allow(Event::MemoryOrderUnanswered, now) =>
            {
                log_event!(direct.node.log(), Event::MemoryOrderUnanswered, "server" => &held.server,
                    "ticket" => &held.ticket, "age_ms" => self.age_ms(now),
                    "sent" => answer == Answer::Missing);
            }
            _ => {}
        }
        answer
    }

    fn age_ms(&self, now: Duration) -> u64 {
        now.saturating_sub(self.began).as_millis() as u64
    }

    fn log_end(&self, end: ticket::End) {
        let log = self.direct.node.log();
        let held = &self.held;
        let age_ms = self.age_ms(self.direct.node.now());
        match end {
            ticket::End::Unused => {}
            ticket::End::Released => {
                let status = self.released.map_or(0, |status| status.as_u16());
                log_event!(log, Event::MemoryReleased, "server" => &held.server, "ticket" => &held.ticket,
                    "tokens" => held.tokens, "status" => status, "age_ms" => age_ms);
            }
            ticket::End::Expired => {
                log_event!(log, Event::MemoryStuck, "server" => &held.server, "ticket" => &held.ticket,
                    "age_ms" => age_ms);
            }
        }
    }
}

fn answer_of(status: StatusCode) -> Answer {
    if status.is_success() {
        Answer::Done
    } else if status == StatusCode::TOO_MANY_REQUESTS || status.is_server_error() {
        Answer::Busy
    } else {
        Answer::Rejected
    }
}

impl Direct {
    fn ticket_view(
        &self,
        now: Duration,
        alive_at: Duration,
        server: &register::Instance,
    ) -> ticket::View {
        let state = self.state();
        let pause = state.backoffs.pause(now, load::server_key(server));
        ticket::View {
            now,
            alive_at,
            is_limited: state.is_limited(now, server),
            paused_until: pause.map(|pause| pause.until),
        }
    }

    /// Sends an order to a server. Returns the status of its response, or why there is none.
    async fn order(
        &self,
        held: &Held,
        order: Order,
        path: &'static str,
        body: Vec<u8>,
    ) -> Result<StatusCode, Answer> {
        let target = outbound::Target::new(&held.server, held.addr);
        let message = outbound::Message::Order(order);
        if self.check(target, message).is_err() {
            return Err(Answer::Unsent);
        }
        let mut unanswered = Answer::Unsent;
        let response = async {
            let mut conn = pool::Conn::open(held.addr).await.ok()?;
            let request = http::Request::post(path)
                .header(header::HOST, held.addr.to_string())
                .header(header::CONTENT_TYPE, "application/json")
                .body(Full::new(Bytes::from(body)))
                .ok()?;
            unanswered = Answer::Missing;
            let received = self
                .send_to_server(&mut conn, target, message, request)
                .await;
            if let Err(outbound::Failure::Withheld) = received {
                unanswered = Answer::Unsent;
            }
            let received = received.ok()?;
            // Reads the whole response: closing a connection with unread data would reset it.
            let _ = Limited::new(received.body, MAX_ORDER_RESPONSE)
                .collect()
                .await;
            Some(received.head.status)
        };
        let status = time::timeout(ORDER_TIMEOUT, response).await;
        status.ok().flatten().ok_or(unanswered)
    }
}
