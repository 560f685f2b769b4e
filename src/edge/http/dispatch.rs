//! Brings requests from the listener to rocket's routes. rocket's own listener bounds neither what a
//! connection buffers nor the number of connections.

use std::io;
use std::str::FromStr as _;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use bytes::Bytes;
use bytes::BytesMut;
use http::StatusCode;
use http::header;
use hyper::body;
use rocket::http::ContentType;
use rocket::http::Header;
use rocket::http::Method;
use rocket::local::asynchronous as local;
use tokio::io::AsyncReadExt as _;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::body::Unread;
use crate::edge::guard;
use crate::edge::listener;

/// Idle timeout of a connection.
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// Time for the rest of a request's head after its first bytes.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest request head.
const HEAD_BYTES: usize = 32 << 10;

/// Bytes that are read at once of a streamed response.
const READ_BYTES: usize = 16 << 10;

/// The routes of a process.
pub struct Routes {
    rocket: local::Client,
}

impl Routes {
    /// Launches `rocket` without a listener of its own.
    pub async fn launch(rocket: rocket::Rocket<rocket::Build>) -> anyhow::Result<Arc<Self>> {
        let rocket = local::Client::untracked(rocket);
        let rocket = rocket.await.context("HTTP routes")?;
        Ok(Arc::new(Self { rocket }))
    }

    /// Handles a request and sends its response.
    async fn respond(
        self: Arc<Self>,
        request: http::Request<body::Incoming>,
        tx: oneshot::Sender<http::Response<listener::Body>>,
    ) {
        let (mut head, body) = request.into_parts();
        let slot = head.extensions.remove::<Arc<guard::Slot>>();
        let (Some(slot), Ok(method)) = (slot, Method::from_str(head.method.as_str())) else {
            // The caller may have left.
            let _ = tx.send(status(StatusCode::BAD_REQUEST));
            return;
        };
        let unread = Unread::new(body, &slot);
        let target = head.uri.path_and_query();
        let target = target.map_or("/", http::uri::PathAndQuery::as_str);
        let mut request = self.rocket.req(method, target.to_owned());
        for (name, value) in &head.headers {
            if let Ok(value) = value.to_str() {
                request.add_header(Header::new(name.as_str().to_owned(), value.to_owned()));
            }
        }
        unread.attach(request.inner());
        let response = request.dispatch().await;
        unread.discard().await;
        pass_on(response, tx).await;
    }
}

impl listener::Handler for Routes {
    async fn handle(
        self: &Arc<Self>,
        request: http::Request<body::Incoming>,
    ) -> http::Response<listener::Body> {
        let (tx, rx) = oneshot::channel();
        // A task of its own: a handler goes on when its caller leaves before the response.
        tokio::spawn(Arc::clone(self).respond(request, tx));
        let failed = |_| status(StatusCode::INTERNAL_SERVER_ERROR);
        rx.await.unwrap_or_else(failed)
    }

    fn limits(&self) -> listener::Limits {
        listener::Limits {
            idle: KEEP_ALIVE,
            head: HEAD_TIMEOUT,
            head_bytes: HEAD_BYTES,
        }
    }
}

fn status(status: StatusCode) -> http::Response<listener::Body> {
    let mut response = http::Response::new(listener::full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Passes a response on: whole if its length is not known and it is no stream of events, else as it
/// is produced.
async fn pass_on(
    mut response: local::LocalResponse<'_>,
    tx: oneshot::Sender<http::Response<listener::Body>>,
) {
    let mut head = http::Response::new(());
    *head.status_mut() = StatusCode::from_u16(response.status().code).unwrap_or_default();
    for header in response.headers().iter() {
        let name = header::HeaderName::from_str(header.name.as_str());
        let value = header::HeaderValue::from_str(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            head.headers_mut().append(name, value);
        }
    }
    let is_events = response
        .content_type()
        .is_some_and(|kind| kind == ContentType::EventStream);
    if !is_events && !head.headers().contains_key(header::CONTENT_LENGTH) {
        let response = match response.into_bytes().await {
            Some(bytes) => head.map(|()| listener::full(bytes)),
            None => status(StatusCode::INTERNAL_SERVER_ERROR),
        };
        // The caller may have left.
        let _ = tx.send(response);
        return;
    }
    let (parts, mut rx) = mpsc::channel::<io::Result<Bytes>>(1);
    let chunks = async_stream::stream! {
        while let Some(part) = rx.recv().await {
            yield part.map(body::Frame::data);
        }
    };
    if tx
        .send(head.map(|()| listener::streamed(Box::pin(chunks))))
        .is_err()
    {
        return;
    }
    let mut buf = BytesMut::new();
    loop {
        buf.reserve(READ_BYTES);
        let read = tokio::select! {
            read = response.read_buf(&mut buf) => read,
            () = parts.closed() => return,
        };
        let part = match read {
            Ok(0) => return,
            Ok(_) => Ok(buf.split().freeze()),
            Err(err) => Err(err),
        };
        let is_last = part.is_err();
        if parts.send(part).await.is_err() || is_last {
            return;
        }
    }
}
