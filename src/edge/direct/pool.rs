//! Connections to backend servers: one request at a time on each, kept a short while.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task;
use tokio::time;

use crate::direct::register;

/// Time for a connection to come about: some round trips between zones. A lost opening packet
/// is sent again only after a second, when another server has long been asked.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// How long a connection is kept where the server does not say.
const KEEP: Duration = Duration::from_millis(1_500);

/// Part of the time that a server allows, so as not to meet its closing.
const KEEP_PART: f64 = 0.6;

/// Connections kept a server.
const MOST_IDLE: usize = 8;

/// Part of the connections that a server accepts which all entries together keep idle: the rest is
/// for requests.
const IDLE_PART: f64 = 0.5;

/// Idle connections that each of `entries` keeps to a server that accepts so many from all callers
/// together; 0: not known.
pub fn max_idle(accepted: u32, entries: usize) -> usize {
    if accepted == 0 {
        return MOST_IDLE;
    }
    let own = f64::from(accepted) * IDLE_PART / entries.max(1) as f64;
    (own as usize).min(MOST_IDLE)
}

/// A connection. Dropping it closes it, which ends what the server does for it.
pub struct Conn {
    sender: http1::SendRequest<Full<Bytes>>,
    task: task::JoinHandle<()>,
    /// Whether it has carried a request before.
    pub used: bool,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why a request got no answer.
#[derive(Debug)]
pub enum Failure {
    /// Nothing of it was sent.
    Unsent(String),
    /// It was sent, in part or whole.
    Sent(String),
}

impl Conn {
    /// Opens a connection.
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        let connecting = TcpStream::connect(addr);
        let tcp = time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        tcp.set_nodelay(true)?;
        let (sender, conn) = http1::handshake(TokioIo::new(tcp))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // Its failure shows in the request that it carries.
            let _ = conn.await;
        });
        Ok(Self {
            sender,
            task,
            used: false,
        })
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        &mut self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<body::Incoming>, Failure> {
        if let Err(err) = self.sender.ready().await {
            return Err(Failure::Unsent(err.to_string()));
        }
        self.used = true;
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut err) => {
                let unsent = err.take_message().is_some();
                let why = err.into_error().to_string();
                Err(if unsent {
                    Failure::Unsent(why)
                } else {
                    Failure::Sent(why)
                })
            }
        }
    }
}

struct Idle {
    conn: Conn,
    until: Instant,
}

/// Idle connections by the life of their server.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<register::Instance, Vec<Idle>>>,
}

impl Pool {
    /// A connection to a server: a kept one if `kept` allows it, else a new one.
    pub async fn conn(
        &self,
        life: &register::Instance,
        addr: SocketAddr,
        kept: bool,
    ) -> io::Result<Conn> {
        if kept && let Some(conn) = self.take(life) {
            return Ok(conn);
        }
        Conn::open(addr).await
    }

    fn take(&self, life: &register::Instance) -> Option<Conn> {
        let now = Instant::now();
        let mut idle = self.idle.lock().expect("pool lock");
        let conns = idle.get_mut(life)?;
        while let Some(one) = conns.pop() {
            if now < one.until && !one.conn.sender.is_closed() && !one.conn.task.is_finished() {
                return Some(one.conn);
            }
        }
        None
    }

    /// Keeps a connection that has carried a whole answer. `allowed`: time that its server
    /// leaves it idle. `most`: see [`max_idle`].
    pub fn keep(
        &self,
        life: &register::Instance,
        conn: Conn,
        allowed: Option<Duration>,
        most: usize,
    ) {
        let keep = allowed.map_or(KEEP, |allowed| allowed.mul_f64(KEEP_PART).min(KEEP));
        let until = Instant::now() + keep;
        let mut idle = self.idle.lock().expect("pool lock");
        let conns = idle.entry(life.clone()).or_default();
        if conns.len() < most {
            conns.push(Idle { conn, until });
        }
    }

    /// Closes connections that were idle too long.
    pub fn prune(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock().expect("pool lock");
        for conns in idle.values_mut() {
            conns.retain(|one| now < one.until && !one.conn.sender.is_closed());
        }
        idle.retain(|_, conns| !conns.is_empty());
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, life: &register::Instance) {
        self.idle.lock().expect("pool lock").remove(life);
    }
}
