//! Reads the response body of a backend server: all of it, or event by event.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt as _;
use hyper::body;

use super::Direct;
use super::buffer;
use super::choose;
use super::dialect;
use super::pool;
use super::reserve;
use crate::direct::register;
use crate::direct::retry;
use crate::direct::sse;

/// Complete events that arrived together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chunk {
    /// Bytes of the events as received.
    pub bytes: Bytes,
    /// Id of the last event that has one.
    pub last_id: Option<String>,
    /// Number of events.
    pub events: u32,
}

/// The next item of a stream.
pub enum Next {
    /// Complete events.
    Chunk(Chunk),
    /// The regular end of the stream.
    End,
    /// The stream broke off.
    Lost(retry::Failure),
}

/// Reads the body of one response.
pub struct Reader {
    direct: Arc<Direct>,
    /// The server that sends it.
    pub server: register::Record,
    /// Predicted milliseconds until the first event. 0: not predicted.
    pub first_ms: f64,
    guard: choose::Guard,
    conn: Option<pool::Conn>,
    /// Memory reserved for the request, until the stream ends or breaks off.
    memory: Option<reserve::Reservation>,
    body: body::Incoming,
    splitter: sse::Splitter,
    /// Comments that are passed on with the next event.
    comments: BytesMut,
    keep_alive: Option<Duration>,
    closes: bool,
    has_started: bool,
    /// Why the stream broke off. Its body looks regularly ended afterwards.
    broken: Option<retry::Failure>,
}

impl Reader {
    /// Reads `body`. `held`: the connection that it arrives on, and the memory reserved for it.
    pub fn new(
        direct: &Arc<Direct>,
        assignment: choose::Assignment,
        held: (pool::Conn, Option<reserve::Reservation>),
        body: body::Incoming,
        response: &dialect::Response,
    ) -> Self {
        Self {
            direct: Arc::clone(direct),
            server: assignment.server,
            first_ms: assignment.first_ms,
            guard: assignment.guard,
            conn: Some(held.0),
            memory: held.1,
            body,
            splitter: sse::Splitter::default(),
            comments: BytesMut::new(),
            keep_alive: response.keep_alive,
            closes: response.closes,
            has_started: false,
            broken: None,
        }
    }

    /// Reads the whole body. `None` if it is larger than `max_bytes`, breaks off, or finds no memory.
    pub async fn collect(&mut self, max_bytes: usize) -> Option<Bytes> {
        let mut frames = Vec::new();
        let mut claim = buffer::Claim::new(&self.direct.buffers);
        while let Some(frame) = self.body.frame().await {
            if let Ok(data) = frame.ok()?.into_data() {
                if claim.bytes() + data.len() > max_bytes || !claim.grow(data.len()) {
                    return None;
                }
                frames.push(data);
            }
        }
        self.release_conn();
        Some(claim.into_bytes(&frames))
    }

    /// Reads the next events. Cancel safe: it may be called again after its future was dropped.
    pub async fn next(&mut self) -> Next {
        if let Some(cause) = &self.broken {
            return Next::Lost(cause.clone());
        }
        let next = self.read_next().await;
        match &next {
            Next::Chunk(_) => return next,
            Next::End => {}
            Next::Lost(cause) => self.broken = Some(cause.clone()),
        }
        // The run that used the memory is over.
        self.memory = None;
        next
    }

    async fn read_next(&mut self) -> Next {
        loop {
            let chunk = self.take_events();
            if chunk.events > 0 {
                if !self.has_started {
                    self.has_started = true;
                    self.guard.start_writing();
                }
                return Next::Chunk(chunk);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let data = frame.data_ref().map_or(&[][..], |data| data);
                    if !self.splitter.push(data) || self.comments.len() > sse::MAX_EVENT {
                        return Next::Lost(retry::Failure::Broken);
                    }
                }
                Some(Err(_)) => return Next::Lost(retry::Failure::Broken),
                None if self.splitter.has_partial_event() => {
                    return Next::Lost(retry::Failure::Broken);
                }
                None if !self.comments.is_empty() => {
                    let bytes = self.comments.split().freeze();
                    return Next::Chunk(Chunk {
                        bytes,
                        ..Chunk::default()
                    });
                }
                None => {
                    self.release_conn();
                    return Next::End;
                }
            }
        }
    }

    fn take_events(&mut self) -> Chunk {
        let mut chunk = Chunk::default();
        let mut bytes = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            if event.is_comment {
                self.comments.extend_from_slice(&event.bytes);
                continue;
            }
            bytes.unsplit(self.comments.split());
            bytes.extend_from_slice(&event.bytes);
            chunk.events += 1;
            if event.id.is_some() {
                chunk.last_id = event.id;
            }
        }
        chunk.bytes = bytes.freeze();
        chunk
    }

    /// Returns the connection to the pool after a complete response.
    fn release_conn(&mut self) {
        if let Some(conn) = self.conn.take()
            && !self.closes
        {
            let max_idle = self.direct.max_idle(&self.server.service);
            let life = &self.server.life;
            self.direct.pool.keep(life, conn, self.keep_alive, max_idle);
        }
    }
}
