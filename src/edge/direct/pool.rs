//! Connections to backend servers: one request at a time on each, kept idle for a short time.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::task;
use tokio::time;

use super::outbound;
use crate::direct::register;
use crate::edge::status;

/// Timeout for connecting: some round trips between zones. A lost SYN packet is sent again only
/// after a second; trying another server is faster.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Time that a connection is kept idle, unless the server allows less.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Share of the idle time allowed by a server after which its connection is closed here, so that no
/// request meets a connection that the server closes.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;

/// Most bytes that a connection buffers unread.
const MAX_BUFFERED: usize = 64 << 10;

/// Most bytes that are read for the head of a response, interim responses included.
const MAX_HEAD: usize = 4 * MAX_BUFFERED;

/// Most idle connections to a server.
const MAX_IDLE: usize = 8;

/// Share of the connections accepted by a server that all entries together keep idle. The rest is
/// left for requests.
const IDLE_SHARE: f64 = 0.5;

/// Most idle connections that each of `entries` keeps to a server which accepts `accepted`
/// connections from all clients together. `accepted` is 0 if not known.
pub fn max_idle(accepted: u32, entries: usize) -> usize {
    if accepted == 0 {
        return MAX_IDLE;
    }
    let share = f64::from(accepted) * IDLE_SHARE / entries.max(1) as f64;
    (share as usize).min(MAX_IDLE)
}

/// Bounds the bytes that are read for the head of a response.
#[derive(Debug, Default)]
struct Meter {
    /// Bytes that may still be read. [`usize::MAX`]: no head is awaited.
    left: AtomicUsize,
}

impl Meter {
    fn begin_head(&self) {
        self.left.store(MAX_HEAD, Ordering::Relaxed);
    }

    fn end_head(&self) {
        self.left.store(usize::MAX, Ordering::Relaxed);
    }

    /// Counts bytes that were read. Returns whether they are within the bound.
    fn count(&self, bytes: usize) -> bool {
        let left = self.left.load(Ordering::Relaxed);
        if left == usize::MAX {
            return true;
        }
        self.left
            .store(left.saturating_sub(bytes), Ordering::Relaxed);
        bytes <= left
    }
}

/// A TCP connection whose heads are bounded.
struct Metered {
    tcp: TcpStream,
    meter: Arc<Meter>,
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.tcp).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Ok(()))) && !self.meter.count(buf.filled().len() - before) {
            return Poll::Ready(Err(io::Error::other("the head of a response is too long")));
        }
        read
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}

/// A connection. Dropping it closes it, and the server cancels the request on it.
pub struct Conn {
    sender: http1::SendRequest<Full<Bytes>>,
    task: task::JoinHandle<()>,
    meter: Arc<Meter>,
    /// Whether it has carried a request before.
    pub used: bool,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why a request got no response.
#[derive(Debug)]
pub enum Failure {
    /// No byte of it was sent.
    Unsent(String),
    /// It was sent, in part or completely.
    Sent(String),
}

impl Conn {
    /// Connects to `addr` within [`CONNECT_TIMEOUT`].
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        let connecting = TcpStream::connect(addr);
        let tcp = time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        tcp.set_nodelay(true)?;
        let meter = Arc::new(Meter::default());
        let metered = Metered {
            tcp,
            meter: Arc::clone(&meter),
        };
        let (sender, conn) = http1::Builder::new()
            .max_buf_size(MAX_BUFFERED)
            .handshake(TokioIo::new(metered))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // An error shows in the request on this connection.
            let _ = conn.await;
        });
        Ok(Self {
            sender,
            task,
            meter,
            used: false,
        })
    }

    /// Waits until a request can be sent.
    pub(super) async fn ready(&mut self) -> Result<(), Failure> {
        let ready = self.sender.ready().await;
        ready.map_err(|err| Failure::Unsent(err.to_string()))
    }

    /// Sends a request and waits for the head of its response. `_permit`: shows that it may be sent.
    pub(super) async fn send(
        &mut self,
        request: http::Request<Full<Bytes>>,
        _permit: outbound::Permit,
    ) -> Result<http::Response<body::Incoming>, Failure> {
        self.used = true;
        self.meter.begin_head();
        let sent = self.sender.try_send_request(request).await;
        self.meter.end_head();
        match sent {
            Ok(response) if status::is_final(response.status().as_u16()) => Ok(response),
            Ok(response) => Err(Failure::Sent(format!("status {}", response.status()))),
            Err(mut err) => {
                let unsent = err.take_message().is_some();
                let cause = err.into_error().to_string();
                Err(if unsent {
                    Failure::Unsent(cause)
                } else {
                    Failure::Sent(cause)
                })
            }
        }
    }
}

struct Idle {
    conn: Conn,
    expires_at: Instant,
}

/// Idle connections by server instance.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<register::Instance, Vec<Idle>>>,
}

impl Pool {
    /// A connection to a server: an idle one if there is one and `reuse` allows it, else a new one.
    pub async fn conn(
        &self,
        instance: &register::Instance,
        addr: SocketAddr,
        reuse: bool,
    ) -> io::Result<Conn> {
        if reuse && let Some(conn) = self.take(instance) {
            return Ok(conn);
        }
        Conn::open(addr).await
    }

    fn take(&self, instance: &register::Instance) -> Option<Conn> {
        let now = Instant::now();
        let mut idle = self.idle.lock().expect("pool lock");
        let conns = idle.get_mut(instance)?;
        while let Some(kept) = conns.pop() {
            if now < kept.expires_at
                && !kept.conn.sender.is_closed()
                && !kept.conn.task.is_finished()
            {
                return Some(kept.conn);
            }
        }
        None
    }

    /// Keeps a connection whose last response was read completely. `allowed`: time that the server
    /// leaves it idle. `max`: see [`max_idle`].
    pub fn keep(
        &self,
        instance: &register::Instance,
        conn: Conn,
        allowed: Option<Duration>,
        max: usize,
    ) {
        let timeout = allowed.map_or(IDLE_TIMEOUT, |allowed| {
            allowed.mul_f64(IDLE_TIMEOUT_SHARE).min(IDLE_TIMEOUT)
        });
        let expires_at = Instant::now() + timeout;
        let mut idle = self.idle.lock().expect("pool lock");
        let conns = idle.entry(instance.clone()).or_default();
        if conns.len() < max {
            conns.push(Idle { conn, expires_at });
        }
    }

    /// Closes connections whose idle time is over.
    pub fn prune(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock().expect("pool lock");
        for conns in idle.values_mut() {
            conns.retain(|idle| now < idle.expires_at && !idle.conn.sender.is_closed());
        }
        idle.retain(|_, conns| !conns.is_empty());
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, instance: &register::Instance) {
        self.idle.lock().expect("pool lock").remove(instance);
    }
}
