//! Links between the system's processes: h2 over TCP, bincode frames on its streams.
//!
//! A link is judged by pings, never by TCP close alone. Flow control is per stream, so one slow
//! reader does not stall the others.

use std::fmt;
use std::future::Future;
use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::LazyLock;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use prometheus_client::metrics::counter;
use prometheus_client::registry;
use serde::Serialize;
use serde::de::DeserializeOwned;
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time;

use crate::wire::codec;
use crate::wire::rpc;
use crate::wire::run;

/// Bytes in flight on one stream before its reader must have taken some.
const STREAM_WINDOW: u32 = 1 << 20;

/// Bytes in flight on one link. Far above a stream's, so that a slow stream stalls only itself.
const LINK_WINDOW: u32 = 256 << 20;

/// Largest h2 frame.
const FRAME_SIZE: u32 = 256 << 10;

/// Time between two pings.
const PING_PERIOD: Duration = Duration::from_millis(500);

/// A ping not answered in this time ends the link.
const PING_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time to open a link.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time of the first try to connect, doubled for each further one within [`OPEN_TIMEOUT`]. What is
/// sent to a machine that is still down is lost, and the system sends it again a second later: after
/// a restart of all, 40 of 70 entries had their configuration a second later for it than the others.
const FIRST_CONNECT: Duration = Duration::from_millis(150);

/// Largest headers of a stream.
const HEADER_BYTES: u32 = 16 << 10;

/// Most streams that one link may have open.
const MAX_STREAMS: u32 = 20_000;

const ASK_PATH: &str = "/ask";
const RUN_PATH: &str = "/run";

/// Bytes of frames that this process sent and received, without h2's and TCP's own.
static SENT: LazyLock<counter::Counter> = LazyLock::new(counter::Counter::default);
static RECEIVED: LazyLock<counter::Counter> = LazyLock::new(counter::Counter::default);

/// Registers the metrics of this process's links.
pub fn register(registry: &mut registry::Registry) {
    let sub = registry.sub_registry_with_prefix("link");
    sub.register("sent_bytes", "Bytes of frames sent", SENT.clone());
    sub.register(
        "received_bytes",
        "Bytes of frames received",
        RECEIVED.clone(),
    );
}

/// Why a link or stream failed.
#[derive(Debug)]
pub enum Error {
    /// The connection could not be opened, or was lost.
    Io(io::Error),
    /// The h2 layer failed.
    H2(h2::Error),
    /// A frame could not be encoded or decoded.
    Codec(codec::Error),
    /// The other side refused the stream, with this HTTP status.
    Status(u16),
    /// No answer in time.
    Timeout,
    /// The stream ended where a frame was due.
    Ended,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(err) => write!(f, "connection: {err}"),
            Self::H2(err) => write!(f, "h2: {err}"),
            Self::Codec(err) => write!(f, "{err}"),
            Self::Status(status) => write!(f, "refused with status {status}"),
            Self::Timeout => write!(f, "no answer in time"),
            Self::Ended => write!(f, "stream ended early"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(err: io::Error) -> Self {
        Self::Io(err)
    }
}

impl From<h2::Error> for Error {
    fn from(err: h2::Error) -> Self {
        Self::H2(err)
    }
}

impl From<codec::Error> for Error {
    fn from(err: codec::Error) -> Self {
        Self::Codec(err)
    }
}

/// What a process does with what comes over its links, and the revision it puts on frames.
pub trait Handler: Send + Sync + 'static {
    /// Revision of the configuration in force here.
    fn revision(&self) -> u64;

    /// Learns the revision in force at another process, of which `addr` is the link address if
    /// it is known.
    fn seen(&self, revision: u64, addr: Option<SocketAddr>);

    /// Answers a question.
    fn ask(&self, ask: rpc::Ask) -> impl Future<Output = rpc::Answer> + Send;

    /// Serves one attempt's stream to its end.
    fn run(
        &self,
        tx: Sender<run::Reply>,
        rx: Receiver<run::Call>,
    ) -> impl Future<Output = ()> + Send;
}

/// Sending half of a stream.
pub struct Sender<T> {
    stream: h2::SendStream<Bytes>,
    revision: u64,
    kind: PhantomData<fn(T)>,
}

impl<T: Serialize> Sender<T> {
    fn new(stream: h2::SendStream<Bytes>, revision: u64) -> Self {
        Self {
            stream,
            revision,
            kind: PhantomData,
        }
    }

    /// Sends one frame. Waits while the stream's window is full.
    pub async fn send(&mut self, body: &T) -> Result<(), Error> {
        let mut buf = codec::encode(self.revision, body)?;
        SENT.inc_by(buf.len() as u64);
        while !buf.is_empty() {
            self.stream.reserve_capacity(buf.len());
            if self.stream.capacity() == 0 {
                match std::future::poll_fn(|cx| self.stream.poll_capacity(cx)).await {
                    Some(Ok(_)) => {}
                    Some(Err(err)) => return Err(err.into()),
                    None => return Err(Error::Ended),
                }
            }
            let len = self.stream.capacity().min(buf.len());
            self.stream.send_data(buf.split_to(len), false)?;
        }
        Ok(())
    }

    /// Ends this direction of the stream.
    pub fn finish(mut self) -> Result<(), Error> {
        self.stream.send_data(Bytes::new(), true)?;
        Ok(())
    }
}

/// Receiving half of a stream.
pub struct Receiver<T> {
    stream: Option<h2::RecvStream>,
    opening: Option<h2::client::ResponseFuture>,
    buf: BytesMut,
    /// Newest revision seen on this stream's frames.
    revision: u64,
    kind: PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned> Receiver<T> {
    fn opened(stream: h2::RecvStream) -> Self {
        Self {
            stream: Some(stream),
            opening: None,
            buf: BytesMut::new(),
            revision: 0,
            kind: PhantomData,
        }
    }

    fn opening(response: h2::client::ResponseFuture) -> Self {
        Self {
            stream: None,
            opening: Some(response),
            buf: BytesMut::new(),
            revision: 0,
            kind: PhantomData,
        }
    }

    /// Newest revision seen on this stream's frames.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The next frame; `None` at the orderly end of the stream. Cancel safe.
    pub async fn recv(&mut self) -> Result<Option<T>, Error> {
        if let Some(opening) = &mut self.opening {
            let response = opening.await?;
            self.opening = None;
            let status = response.status().as_u16();
            if status != http::StatusCode::OK.as_u16() {
                return Err(Error::Status(status));
            }
            self.stream = Some(response.into_body());
        }
        let Some(stream) = &mut self.stream else {
            return Err(Error::Ended);
        };
        loop {
            if let Some((revision, value)) = codec::decode(&mut self.buf)? {
                self.revision = self.revision.max(revision);
                return Ok(Some(value));
            }
            match stream.data().await {
                Some(Ok(data)) => {
                    RECEIVED.inc_by(data.len() as u64);
                    self.buf.extend_from_slice(&data);
                    stream.flow_control().release_capacity(data.len())?;
                }
                Some(Err(err)) => return Err(err.into()),
                None if self.buf.is_empty() => return Ok(None),
                None => return Err(Error::Ended),
            }
        }
    }
}

type SendRequest = h2::client::SendRequest<Bytes>;

/// A link to one process, opened when first used and again after it was lost.
pub struct Client<H> {
    addr: SocketAddr,
    key: String,
    handler: Arc<H>,
    link: Mutex<Option<SendRequest>>,
}

impl<H: Handler> Client<H> {
    /// A link to the process at `addr`, with the processes' shared `key`. Opens nothing yet.
    pub fn new(addr: SocketAddr, key: &str, handler: Arc<H>) -> Self {
        Self {
            addr,
            key: key.to_owned(),
            handler,
            link: Mutex::new(None),
        }
    }

    /// The other process's link address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Asks one question and waits for its answer, `timeout` at the most.
    pub async fn ask(&self, ask: &rpc::Ask, timeout: Duration) -> Result<rpc::Answer, Error> {
        let answer = async {
            let (mut tx, mut rx) = self.open::<rpc::Ask, rpc::Answer>(ASK_PATH).await?;
            tx.send(ask).await?;
            tx.finish()?;
            let answer = rx.recv().await?.ok_or(Error::Ended)?;
            self.handler.seen(rx.revision(), Some(self.addr));
            Ok(answer)
        };
        if let Ok(answer) = time::timeout(timeout, answer).await {
            return answer;
        }
        // A connection may have gone silent for good while new ones work: the next question
        // opens one instead of waiting for the ping to find out.
        *self.link.lock().await = None;
        Err(Error::Timeout)
    }

    /// Opens the stream of one attempt.
    pub async fn run(&self) -> Result<(Sender<run::Call>, Receiver<run::Reply>), Error> {
        self.open(RUN_PATH).await
    }

    async fn open<S, R>(&self, path: &str) -> Result<(Sender<S>, Receiver<R>), Error>
    where
        S: Serialize,
        R: DeserializeOwned,
    {
        let request = http::Request::builder()
            .method(http::Method::POST)
            .uri(format!("http://{}{path}", self.addr))
            .header(http::header::AUTHORIZATION, format!("Bearer {}", self.key))
            .body(())
            .map_err(|err| Error::Io(io::Error::other(err)))?;
        let mut link = self.link().await?;
        let (response, stream) = link.send_request(request, false)?;
        let tx = Sender::new(stream, self.handler.revision());
        Ok((tx, Receiver::opening(response)))
    }

    async fn link(&self) -> Result<SendRequest, Error> {
        let mut slot = self.link.lock().await;
        if let Some(link) = slot.take() {
            let ready = time::timeout(OPEN_TIMEOUT, link.ready()).await;
            if let Ok(Ok(link)) = ready {
                *slot = Some(link.clone());
                return Ok(link);
            }
        }
        let link = time::timeout(OPEN_TIMEOUT, connect(self.addr))
            .await
            .unwrap_or(Err(Error::Timeout))?;
        *slot = Some(link.clone());
        Ok(link)
    }
}

async fn dial(addr: SocketAddr) -> io::Result<TcpStream> {
    let mut limit = FIRST_CONNECT;
    loop {
        if let Ok(tcp) = time::timeout(limit, TcpStream::connect(addr)).await {
            return tcp;
        }
        limit *= 2;
    }
}

async fn connect(addr: SocketAddr) -> Result<SendRequest, Error> {
    let tcp = dial(addr).await?;
    tcp.set_nodelay(true)?;
    let (link, mut connection) = h2::client::Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(LINK_WINDOW)
        .max_frame_size(FRAME_SIZE)
        .handshake(tcp)
        .await?;
    let pings = connection.ping_pong();
    tokio::spawn(async move {
        // Either end of the select drops the connection, which fails all its streams.
        tokio::select! {
            _ = connection => {}
            () = heartbeat(pings) => {}
        }
    });
    Ok(link.ready().await?)
}

/// Returns when a ping was not answered in time.
async fn heartbeat(pings: Option<h2::PingPong>) {
    let Some(mut pings) = pings else {
        return;
    };
    loop {
        let ping = pings.ping(h2::Ping::opaque());
        match time::timeout(PING_TIMEOUT, ping).await {
            Ok(Ok(_)) => time::sleep(PING_PERIOD).await,
            _ => return,
        }
    }
}

/// Serves links on `listener` until it fails.
pub async fn serve<H: Handler>(listener: TcpListener, key: &str, handler: Arc<H>) -> io::Error {
    let key: Arc<str> = format!("Bearer {key}").into();
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                let link = serve_link(tcp, Arc::clone(&key), Arc::clone(&handler));
                tokio::spawn(link);
            }
            Err(err) if is_passing(&err) => time::sleep(PING_PERIOD).await,
            Err(err) => return err,
        }
    }
}

/// Whether accepting may work again later (files used up, peer gone).
fn is_passing(err: &io::Error) -> bool {
    !matches!(
        err.kind(),
        io::ErrorKind::InvalidInput | io::ErrorKind::NotConnected
    )
}

async fn serve_link<H: Handler>(
    tcp: TcpStream,
    key: Arc<str>,
    handler: Arc<H>,
) -> Result<(), Error> {
    tcp.set_nodelay(true)?;
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(LINK_WINDOW)
        .max_frame_size(FRAME_SIZE)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(HEADER_BYTES)
        .handshake::<_, Bytes>(tcp);
    let mut connection = time::timeout(OPEN_TIMEOUT, handshake)
        .await
        .map_err(|_| Error::Timeout)??;
    let pings = connection.ping_pong();
    let accept = async {
        while let Some(stream) = connection.accept().await {
            let (request, respond) = stream?;
            let stream = serve_stream(request, respond, Arc::clone(&key), Arc::clone(&handler));
            tokio::spawn(stream);
        }
        Ok(())
    };
    tokio::select! {
        ended = accept => ended,
        () = heartbeat(pings) => Err(Error::Timeout),
    }
}

async fn serve_stream<H: Handler>(
    request: http::Request<h2::RecvStream>,
    mut respond: h2::server::SendResponse<Bytes>,
    key: Arc<str>,
    handler: Arc<H>,
) -> Result<(), Error> {
    let given = request.headers().get(http::header::AUTHORIZATION);
    let given = given.map_or(&[][..], http::HeaderValue::as_bytes);
    if !bool::from(given.ct_eq(key.as_bytes())) {
        respond.send_response(status(http::StatusCode::UNAUTHORIZED), true)?;
        return Ok(());
    }
    let path = request.uri().path().to_owned();
    let body = request.into_body();
    match path.as_str() {
        ASK_PATH => {
            let mut rx = Receiver::<rpc::Ask>::opened(body);
            let Some(ask) = rx.recv().await? else {
                return Err(Error::Ended);
            };
            handler.seen(rx.revision(), None);
            let answer = handler.ask(ask).await;
            let stream = respond.send_response(status(http::StatusCode::OK), false)?;
            let mut tx = Sender::new(stream, handler.revision());
            tx.send(&answer).await?;
            tx.finish()
        }
        RUN_PATH => {
            let stream = respond.send_response(status(http::StatusCode::OK), false)?;
            let tx = Sender::new(stream, handler.revision());
            handler.run(tx, Receiver::opened(body)).await;
            Ok(())
        }
        _ => {
            respond.send_response(status(http::StatusCode::NOT_FOUND), true)?;
            Ok(())
        }
    }
}

fn status(code: http::StatusCode) -> http::Response<()> {
    let mut response = http::Response::new(());
    *response.status_mut() = code;
    response
}
