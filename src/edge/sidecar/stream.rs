//! The stream of one attempt from an entry: passes calls to the core thread, and replies and the
//! response back. Neither direction waits for the other.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::sync::mpsc;
use tokio::time;

use super::super::link;
use super::core;
use super::flow;
use crate::sidecar::ledger;
use crate::wire::id;
use crate::wire::member;
use crate::wire::outcome;
use crate::wire::outcome::Cause;
use crate::wire::outcome::Ran;
use crate::wire::run;

/// Replies that may wait for a slow entry, the response itself not included.
pub const MAX_QUEUED_REPLIES: usize = 64;

/// How long a send to an entry may block before its stream is closed. The entry can resume with a
/// query.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest body of one attempt.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// Message from the core thread to a stream.
pub enum Out {
    /// Send a reply.
    Reply(run::Reply),
    /// Send the response of an attempt from an offset on.
    Attach(id::Attempt, Arc<flow::Flow>, u64),
}

/// Serves one stream to its end.
pub async fn serve(
    core: &core::Handle,
    number: ledger::Stream,
    tx: link::Sender<run::Reply>,
    rx: link::Receiver<run::Call>,
) {
    let (out, replies) = mpsc::channel(MAX_QUEUED_REPLIES);
    core.send(core::Message::Open(number, out.clone())).await;
    tokio::select! {
        () = read(core, number, rx, out) => {}
        () = write(tx, replies) => {}
    }
    core.send(core::Message::Event(ledger::Event::Closed(number)))
        .await;
}

/// Reads calls until the entry closes its direction or disconnects.
async fn read(
    core: &core::Handle,
    number: ledger::Stream,
    mut rx: link::Receiver<run::Call>,
    out: mpsc::Sender<Out>,
) {
    let mut body: Option<(id::Attempt, u64, BytesMut)> = None;
    while let Ok(Some(call)) = rx.recv().await {
        match call {
            run::Call::Offer(offer) => {
                let attempt = offer.attempt;
                let len = offer.body_len;
                if let Some(failure) = too_large(len) {
                    reject(&out, attempt, failure).await;
                    continue;
                }
                let message = core::Message::Event(ledger::Event::Offer(number, offer));
                if !core.try_send(message) {
                    // "Not run" is certain: the ledger did not get the offer, and there is no
                    // other copy.
                    reject(&out, attempt, busy()).await;
                    continue;
                }
                if len > 0 {
                    body = Some((attempt, len, BytesMut::new()));
                }
            }
            run::Call::Body(chunk) => {
                let Some((attempt, len, mut buf)) = body.take() else {
                    continue;
                };
                buf.extend_from_slice(&chunk);
                if (buf.len() as u64) < len {
                    body = Some((attempt, len, buf));
                    continue;
                }
                core.send(core::Message::BodyReceived(attempt, buf.freeze()))
                    .await;
            }
            call => {
                core.send(core::Message::Event(ledger::Event::Call(number, call)))
                    .await;
            }
        }
    }
}

/// Sends replies and the response until the final reply was sent or the entry disconnects.
async fn write(mut tx: link::Sender<run::Reply>, mut replies: mpsc::Receiver<Out>) {
    loop {
        match replies.recv().await {
            None => return,
            Some(Out::Reply(reply)) => {
                let is_last = is_last(&reply);
                if send(&mut tx, &reply).await.is_err() {
                    return;
                }
                if is_last {
                    let _ = tx.finish();
                    return;
                }
            }
            Some(Out::Attach(attempt, flow, offset)) => {
                if send_response(&mut tx, attempt, &flow, offset).await.is_ok() {
                    let _ = tx.finish();
                }
                return;
            }
        }
    }
}

/// Sends a response from `offset` to its end.
async fn send_response(
    tx: &mut link::Sender<run::Reply>,
    attempt: id::Attempt,
    flow: &flow::Flow,
    offset: u64,
) -> Result<(), link::Error> {
    let mut cursor = flow.cursor(offset);
    loop {
        match cursor.next().await {
            flow::Next::Send(reply) => {
                send(tx, &reply).await?;
                cursor.mark_sent();
            }
            flow::Next::End(reply) => return send(tx, &reply).await,
            flow::Next::Gone => return send(tx, &not_kept(attempt)).await,
        }
    }
}

async fn send(tx: &mut link::Sender<run::Reply>, reply: &run::Reply) -> Result<(), link::Error> {
    time::timeout(STALL_TIMEOUT, tx.send(reply))
        .await
        .unwrap_or(Err(link::Error::Timeout))
}

async fn reject(out: &mpsc::Sender<Out>, attempt: id::Attempt, failure: outcome::Failure) {
    let reply = run::Reply::Refused {
        attempt,
        failure,
        load: member::Load::default(),
    };
    let _ = out.send(Out::Reply(reply)).await;
}

fn busy() -> outcome::Failure {
    let retry = ledger::CAPACITY_RETRY_AFTER.as_millis() as u64;
    outcome::Failure::not_run(Cause::Busy, Some(retry), "the sidecar's queue is full")
}

fn too_large(len: u64) -> Option<outcome::Failure> {
    (len > MAX_BODY_BYTES)
        .then(|| outcome::Failure::not_run(Cause::TooLarge, None, "the body is too large"))
}

/// The reply if the response at the requested offset is no longer kept.
fn not_kept(attempt: id::Attempt) -> run::Reply {
    run::Reply::Failed {
        attempt,
        failure: outcome::Failure {
            cause: Cause::ServerError,
            ran: Ran::MayHaveRun,
            retry_after_ms: None,
            message: "the part of the answer asked for is no longer kept".to_owned(),
        },
    }
}

/// Whether a reply is the last one on its stream.
fn is_last(reply: &run::Reply) -> bool {
    match reply {
        run::Reply::Refused { .. }
        | run::Reply::Done { .. }
        | run::Reply::Failed { .. }
        | run::Reply::Unknown(_) => true,
        run::Reply::Reserved(_)
        | run::Reply::Started(_)
        | run::Reply::Head { .. }
        | run::Reply::Held { .. }
        | run::Reply::Chunk { .. } => false,
    }
}
