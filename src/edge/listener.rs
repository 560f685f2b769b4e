//! A listener for HTTP/1.1 on hyper. It drops a request's handler when the caller disconnects, also
//! before the first byte of the response, and closes the connection mid-body if the body fails, so
//! that the caller sees a truncated response.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::StatusCode;
use http::header;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body;
use hyper::rt;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;

use super::guard;
use crate::direct::admission;

/// Delay after a failed accept, as when all file descriptors are in use.
const ACCEPT_DELAY: Duration = Duration::from_millis(50);

/// Answers a request head that did not come whole in time.
const TIMED_OUT: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Callers' connections that may wait for their accept. A caller abandons one that was not read within a
/// second, which is about what the smallest entry serves of them.
pub const BACKLOG: u32 = 128;

/// Refused connections after which the listener pauses, so that refusals take a small part of the
/// processor. Further ones wait, or are not established.
const REFUSED_AT_ONCE: u32 = 32;

/// Smallest buffer of a connection that hyper takes.
const MIN_BUFFER: usize = 8 << 10;

const REFUSAL_PAUSE: Duration = Duration::from_millis(30);

/// Interval of log lines while connections are refused.
const REFUSAL_REPORT: Duration = Duration::from_secs(1);

/// Chunks of a streamed body.
pub type Chunks = Pin<Box<dyn futures_core::Stream<Item = io::Result<body::Frame<Bytes>>> + Send>>;

/// Body of a response.
pub type Body = Either<Full<Bytes>, StreamBody<Chunks>>;

/// A body that is complete before it is sent.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Either::Left(Full::new(bytes.into()))
}

/// A body that is produced while it is sent.
pub fn streamed(chunks: Chunks) -> Body {
    Either::Right(StreamBody::new(chunks))
}

/// Limits on callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time that a connection may be idle.
    pub idle: Duration,
    /// Time for the rest of a request's head after its first bytes.
    pub head: Duration,
    /// Bytes of a request's head, which is also what a connection buffers.
    pub head_bytes: usize,
}

/// Handles the requests of a listener. The extensions of a request hold the [`guard::Slot`] of its
/// connection.
pub trait Handler: Send + Sync + 'static {
    fn handle(
        self: &Arc<Self>,
        request: http::Request<body::Incoming>,
    ) -> impl Future<Output = http::Response<Body>> + Send;

    /// Limits in force on callers.
    fn limits(&self) -> Limits;

    /// Logs that a connection closed with this many bytes of an incomplete request head.
    fn log_partial(&self, _bytes: usize) {}

    /// Logs that connections were closed unread since the last line, and how many are accepted a
    /// second.
    fn log_refused(&self, _refused: u32, _limit: f64) {}
}

/// How far a listener has shut down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// It accepts connections.
    #[default]
    Open,
    /// It accepts connections, and closes each after its next response.
    Draining,
    /// It accepts none, and closes each after the response in progress, idle ones at once.
    Closing,
}

/// A caller's connection. Notes that bytes have arrived.
struct Stream {
    tcp: TcpStream,
    has_read: Arc<AtomicBool>,
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.tcp).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.has_read.store(true, Ordering::Relaxed);
        }
        read
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut task::Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut task::Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs)
    }
}

/// Times the waits for request heads of one connection.
struct Timer<H> {
    handler: Arc<H>,
    has_read: Arc<AtomicBool>,
    slot: Arc<guard::Slot>,
}

impl<H: Handler> rt::Timer for Timer<H> {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn rt::Sleep>> {
        self.sleep_until(self.now() + duration)
    }

    /// A wait that begins at `began`: the connection's own timeout is zero.
    fn sleep_until(&self, began: Instant) -> Pin<Box<dyn rt::Sleep>> {
        self.has_read.store(false, Ordering::Relaxed);
        self.slot.wait_for_head();
        let due = began + self.handler.limits().idle;
        Box::pin(Wait {
            handler: Arc::clone(&self.handler),
            has_read: Arc::clone(&self.has_read),
            began,
            head_began: None,
            alarm: Box::pin(time::sleep_until(due.into())),
        })
    }
}

/// A wait for a request head. Ends when the timeouts in force have passed.
struct Wait<H> {
    handler: Arc<H>,
    /// Whether bytes have arrived since the wait began.
    has_read: Arc<AtomicBool>,
    began: Instant,
    /// When the first bytes of the head arrived.
    head_began: Option<Instant>,
    /// Due by the idle timeout that was in force when it was set. A timeout that became longer since
    /// is looked up when it fires; a shorter one counts from the next wait on, as the caller may
    /// still go by the former.
    alarm: Pin<Box<time::Sleep>>,
}

impl<H: Handler> Wait<H> {
    /// When the wait ends by the timeouts in force.
    fn due(&self) -> Instant {
        let limits = self.handler.limits();
        let idle = self.began + limits.idle;
        match self.head_began {
            Some(began) => idle.max(began + limits.head),
            None => idle,
        }
    }
}

impl<H: Handler> Future for Wait<H> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut task::Context<'_>) -> Poll<()> {
        if self.head_began.is_none() && self.has_read.load(Ordering::Relaxed) {
            self.head_began = Some(Instant::now());
        }
        loop {
            task::ready!(self.alarm.as_mut().poll(cx));
            let due = self.due();
            if due <= Instant::now() {
                return Poll::Ready(());
            }
            self.alarm.as_mut().reset(due.into());
        }
    }
}

impl<H: Handler> rt::Sleep for Wait<H> {}

/// Decides on new connections by how late the event loop runs.
pub struct Gate {
    began: Instant,
    admission: Mutex<admission::Admission>,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            began: Instant::now(),
            admission: Mutex::default(),
        }
    }
}

impl Gate {
    fn admit(&self, now: Instant) -> bool {
        self.lock().admit(now - self.began)
    }

    /// Records the first run of the task of a connection.
    fn observe(&self, accepted: Instant) {
        let now = Instant::now();
        self.lock().observe(now - self.began, now - accepted);
    }

    fn lock(&self) -> MutexGuard<'_, admission::Admission> {
        self.admission.lock().expect("admission lock")
    }
}

/// Connections refused since the last log line.
struct Refusals {
    count: u32,
    logged: Instant,
}

impl Refusals {
    /// Counts one, and logs at most one line an interval.
    fn add<H: Handler>(&mut self, handler: &H, gate: &Gate, now: Instant) {
        self.count += 1;
        if now.duration_since(self.logged) < REFUSAL_REPORT {
            return;
        }
        let limit = gate.lock().limit().unwrap_or_default();
        handler.log_refused(self.count, limit);
        *self = Self {
            count: 0,
            logged: now,
        };
    }
}

/// A listener at `addr` for which `backlog` connections may wait.
pub fn bind(addr: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(backlog)
}

/// Serves connections until `stage` is [`Stage::Closing`]. Then new connections are refused, so
/// that their callers try another process at once. `guard` bounds them; `gate` refuses some before.
/// `None`: it refuses none.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    stage: watch::Receiver<Stage>,
    guard: Arc<guard::Guard>,
    gate: Option<Arc<Gate>>,
) {
    let mut closing = stage.clone();
    let mut refusals = Refusals {
        count: 0,
        logged: Instant::now(),
    };
    let mut refused = 0;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|stage| *stage == Stage::Closing) => return,
        };
        let Ok((tcp, _)) = accepted else {
            time::sleep(ACCEPT_DELAY).await;
            continue;
        };
        let now = Instant::now();
        if let Some(gate) = gate.as_ref().filter(|gate| !gate.admit(now)) {
            // Its caller sees that nothing was read, and tries another process.
            drop(tcp);
            refusals.add(&*handler, gate, now);
            refused += 1;
            if refused % REFUSED_AT_ONCE == 0 {
                time::sleep(REFUSAL_PAUSE).await;
            }
            continue;
        }
        let Some(slot) = guard
            .admit(guard.head_bytes(handler.limits().head_bytes))
            .await
        else {
            drop(tcp);
            refused += 1;
            if refused % REFUSED_AT_ONCE == 0 {
                time::sleep(REFUSAL_PAUSE).await;
            }
            continue;
        };
        let conn = connection(tcp, Arc::clone(&handler), stage.clone(), slot);
        let gate = gate.clone();
        tokio::spawn(async move {
            if let Some(gate) = gate {
                gate.observe(now);
            }
            conn.await;
        });
    }
}

async fn connection<H: Handler>(
    tcp: TcpStream,
    handler: Arc<H>,
    mut stage: watch::Receiver<Stage>,
    slot: Arc<guard::Slot>,
) {
    if tcp.set_nodelay(true).is_err() {
        // The caller has disconnected already.
        return;
    }
    let head_bytes = slot.guard().head_bytes(handler.limits().head_bytes);
    let has_read = Arc::new(AtomicBool::new(false));
    let timer = Timer {
        handler: Arc::clone(&handler),
        has_read: Arc::clone(&has_read),
        slot: Arc::clone(&slot),
    };
    let stream = Stream { tcp, has_read };
    let current = stage.clone();
    let closed = Arc::clone(&handler);
    let served = Arc::clone(&slot);
    let service = service::service_fn(move |mut request: http::Request<body::Incoming>| {
        served.serve();
        request.extensions_mut().insert(Arc::clone(&served));
        let handler = Arc::clone(&handler);
        let current = current.clone();
        async move {
            let mut response = handler.handle(request).await;
            let is_partial = response.status() == StatusCode::REQUEST_TIMEOUT;
            if is_partial || *current.borrow() != Stage::Open {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut conn = http1::Builder::new()
        .timer(timer)
        // Each wait asks for the timeout in force when it would end.
        .header_read_timeout(Duration::ZERO)
        .max_header_size(head_bytes)
        .max_buf_size(head_bytes.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let closing = async {
        let _ = stage.wait_for(|stage| *stage == Stage::Closing).await;
    };
    let ended = tokio::select! {
        ended = &mut conn => Some(ended),
        () = closing => {
            Pin::new(&mut conn).graceful_shutdown();
            Some((&mut conn).await)
        }
        () = slot.has_to_close() => None,
    };
    match ended {
        Some(Err(err)) if err.is_parse_too_large() => {
            slot.guard().refused(guard::Cause::Head);
            return;
        }
        None => {}
        Some(Err(err)) if err.is_timeout() => {}
        // The caller of a connection that failed otherwise is gone.
        Some(_) => return,
    }
    let parts = conn.into_parts();
    if !parts.read_buf.is_empty() {
        closed.log_partial(parts.read_buf.len());
        // A few bytes fit into the socket's buffer; without room there is no answer.
        let _ = parts.io.into_inner().tcp.try_write(TIMED_OUT);
    }
}
