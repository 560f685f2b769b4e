//! Reads a backend server's answer: whole, or event by event.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt as _;
use hyper::body;
use tokio::time;

use super::Direct;
use super::choose;
use super::dialect;
use super::pool;
use super::reserve;
use crate::direct::register;
use crate::direct::retry;
use crate::direct::sse;

/// Whole events that came together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chunk {
    /// Their bytes.
    pub bytes: Bytes,
    /// Id of the last of them that has one.
    pub last_id: Option<String>,
    /// How many.
    pub events: u32,
}

/// What comes next in a stream.
pub enum Next {
    /// Events.
    Chunk(Chunk),
    /// Its proper end.
    End,
    /// It broke off.
    Lost(retry::Failure),
}

/// An answer on its way.
pub struct Reader {
    direct: Arc<Direct>,
    /// The server.
    pub server: register::Record,
    /// Milliseconds until the first event, as predicted.
    pub first_ms: f64,
    guard: choose::Guard,
    conn: Option<pool::Conn>,
    /// Memory set aside for it, released with this.
    _memory: Option<reserve::Reservation>,
    body: body::Incoming,
    splitter: sse::Splitter,
    keep_alive: Option<Duration>,
    closes: bool,
    wrote: bool,
}

impl Reader {
    /// Reads `body`, which came over the connection held, with memory set aside for it.
    pub fn new(
        direct: &Arc<Direct>,
        assignment: choose::Assignment,
        held: (pool::Conn, Option<reserve::Reservation>),
        body: body::Incoming,
        answer: &dialect::Response,
    ) -> Self {
        Self {
            direct: Arc::clone(direct),
            server: assignment.server,
            first_ms: assignment.first_ms,
            guard: assignment.guard,
            conn: Some(held.0),
            _memory: held.1,
            body,
            splitter: sse::Splitter::default(),
            keep_alive: answer.keep_alive,
            closes: answer.closes,
            wrote: false,
        }
    }

    /// The whole body, `most` bytes at the most, if it comes within `limit`.
    pub async fn collect(&mut self, most: usize, limit: Duration) -> Option<Bytes> {
        let mut out = BytesMut::new();
        let reading = async {
            while let Some(frame) = self.body.frame().await {
                if let Some(data) = frame.ok()?.data_ref() {
                    out.extend_from_slice(data);
                }
                if out.len() > most {
                    return None;
                }
            }
            Some(())
        };
        time::timeout(limit, reading).await.ok()??;
        self.give_back();
        Some(out.freeze())
    }

    /// The next events. After `quiet` of silence the server is asked whether it is there; if it
    /// is not, `leaves` tells whether the request leaves it. To be called again after it was
    /// dropped.
    pub async fn next(&mut self, quiet: Duration, leaves: impl Fn() -> bool) -> Next {
        let mut stays = false;
        loop {
            let piece = self.take_events();
            if piece.events > 0 {
                if !self.wrote {
                    self.wrote = true;
                    self.guard.start_writing();
                }
                return Next::Chunk(piece);
            }
            let frame = {
                let dead = self.direct.until_unresponsive(&self.server, quiet);
                tokio::select! {
                    frame = self.body.frame() => frame,
                    () = dead, if !stays => {
                        if leaves() {
                            return Next::Lost(retry::Failure::Silent);
                        }
                        stays = true;
                        continue;
                    }
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    let data = frame.data_ref().map_or(&[][..], |data| data);
                    if !self.splitter.push(data) {
                        return Next::Lost(retry::Failure::Broken);
                    }
                }
                Some(Err(_)) => return Next::Lost(retry::Failure::Broken),
                None if self.splitter.has_partial_event() => {
                    return Next::Lost(retry::Failure::Broken);
                }
                None => {
                    self.give_back();
                    return Next::End;
                }
            }
        }
    }

    fn take_events(&mut self) -> Chunk {
        let mut piece = Chunk::default();
        let mut bytes = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            bytes.extend_from_slice(&event.bytes);
            piece.events += 1;
            if event.id.is_some() {
                piece.last_id = event.id;
            }
        }
        piece.bytes = bytes.freeze();
        piece
    }

    /// Keeps the connection of a whole answer for the next request.
    fn give_back(&mut self) {
        if let Some(conn) = self.conn.take()
            && !self.closes
        {
            let most = self.direct.max_idle(&self.server.service);
            let life = &self.server.life;
            self.direct.pool.keep(life, conn, self.keep_alive, most);
        }
    }
}
