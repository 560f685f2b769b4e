//! A listener for HTTP/1.1, by hyper: it drops a request's work when its caller leaves, also
//! before the first byte of an answer, and breaks an answer off visibly if its body fails.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::header;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;

/// Pause after a connection could not be accepted, as when all descriptors are used.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Chunks of a body that is made while it is sent.
pub type Chunks = Pin<Box<dyn futures_core::Stream<Item = io::Result<body::Frame<Bytes>>> + Send>>;

/// Body of an answer.
pub type Body = Either<Full<Bytes>, StreamBody<Chunks>>;

/// A whole body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Either::Left(Full::new(bytes.into()))
}

/// A body that is made while it is sent.
pub fn streamed(chunks: Chunks) -> Body {
    Either::Right(StreamBody::new(chunks))
}

/// What a listener does with requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one.
    fn handle(
        self: &Arc<Self>,
        request: http::Request<body::Incoming>,
    ) -> impl Future<Output = http::Response<Body>> + Send;

    /// Time that a connection may be idle before its next request.
    fn idle_timeout(&self) -> Duration;
}

/// What ends a listener.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// It takes connections.
    #[default]
    Open,
    /// It takes connections, and ends each with its next answer.
    Draining,
    /// It takes none, and ends each with its answer, idle ones at once.
    Closing,
}

/// Counts open connections.
#[derive(Clone, Default)]
pub struct Connections(Arc<AtomicUsize>);

impl Connections {
    /// How many there are.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

struct Counted(Connections);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Serves connections until its stage is [`Stage::Closing`]: then new ones are refused, so that
/// their callers turn elsewhere at once.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    stage: watch::Receiver<Stage>,
    open: Connections,
) {
    let mut until = stage.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = until.wait_for(|one| *one == Stage::Closing) => return,
        };
        match accepted {
            Ok((tcp, _)) => {
                open.0.fetch_add(1, Ordering::AcqRel);
                let counted = Counted(open.clone());
                let conn = connection(tcp, Arc::clone(&handler), stage.clone());
                tokio::spawn(async move {
                    conn.await;
                    drop(counted);
                });
            }
            Err(_) => time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn connection<H: Handler>(
    tcp: TcpStream,
    handler: Arc<H>,
    mut stage: watch::Receiver<Stage>,
) {
    if tcp.set_nodelay(true).is_err() {
        // The caller has gone already.
        return;
    }
    let idle = handler.idle_timeout();
    let leaving = stage.clone();
    let service = service::service_fn(move |request| {
        let handler = Arc::clone(&handler);
        let leaving = leaving.clone();
        async move {
            let mut response = handler.handle(request).await;
            if *leaving.borrow() != Stage::Open {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .serve_connection(TokioIo::new(tcp), service);
    tokio::pin!(conn);
    let closing = async {
        let _ = stage.wait_for(|one| *one == Stage::Closing).await;
    };
    tokio::select! {
        // A connection that fails has no one left to tell.
        _ = conn.as_mut() => return,
        () = closing => conn.as_mut().graceful_shutdown(),
    }
    let _ = conn.await;
}
