//! Calls to a plain service.

use std::sync::Arc;

use bytes::Bytes;

use super::core;
use super::engine;
use super::flow;
use crate::edge::header;
use crate::edge::status;
use crate::sidecar::ledger;
use crate::wire::outcome::Cause;
use crate::wire::run;

/// Most bytes that are held of a response without a length.
const MAX_HELD_BYTES: usize = 16 << 20;

/// Why a response could not be held.
enum Held {
    /// It broke off.
    Broken,
    /// It is longer than [`MAX_HELD_BYTES`].
    TooLong,
}

/// Reads a response without a length to its end. Before that nothing of it is passed on: a call whose
/// response has begun cannot go on at another server.
async fn hold(response: &mut reqwest::Response) -> Result<Vec<Bytes>, Held> {
    let mut held = Vec::new();
    let mut bytes = 0;
    while let Some(chunk) = response.chunk().await.map_err(|_| Held::Broken)? {
        bytes += chunk.len();
        if bytes > MAX_HELD_BYTES {
            return Err(Held::TooLong);
        }
        held.push(chunk);
    }
    Ok(held)
}

/// Calls the service and reads its response. Returns the event that reports how it ended.
pub async fn call(
    client: &reqwest::Client,
    url: &str,
    key: &str,
    core: &core::Handle,
    offer: &run::Offer,
    body: Bytes,
    flow: &Arc<flow::Flow>,
) -> ledger::Event {
    let attempt = offer.attempt;
    let run::Work::Http {
        method,
        path,
        headers,
    } = &offer.work
    else {
        return ledger::Event::Rejected(attempt, Cause::BadRequest);
    };
    let Ok(method) = reqwest::Method::from_bytes(method.as_bytes()) else {
        return ledger::Event::Rejected(attempt, Cause::BadRequest);
    };
    let mut request = client.request(method, format!("{url}{path}")).body(body);
    for (name, value) in headers {
        if !header::stays_of_request(name) {
            request = request.header(name, value);
        }
    }
    if !key.is_empty() {
        request = request.bearer_auth(key);
    }
    let Ok(request) = request.build() else {
        return ledger::Event::Rejected(attempt, Cause::BadRequest);
    };
    let mut response = match client.execute(request).await {
        Ok(response) => response,
        Err(err) if err.is_connect() => {
            core.send(core::Message::Event(ledger::Event::Unreachable))
                .await;
            return ledger::Event::Rejected(attempt, Cause::NoServer);
        }
        // The service may have received the request.
        Err(_) => return ledger::Event::Disconnected(attempt),
    };
    let answered = response.status().as_u16();
    if !status::is_final(answered) {
        let message = format!("the service answered with status {answered}");
        let reply = engine::failure_reply(attempt, Cause::ServerError, &message);
        return ledger::Event::Ended(reply);
    }
    core.send(core::Message::Event(ledger::Event::FirstOutput(attempt)))
        .await;
    let held = match response.content_length() {
        Some(_) => Vec::new(),
        None => match hold(&mut response).await {
            Ok(held) => held,
            Err(Held::Broken) => return ledger::Event::Disconnected(attempt),
            Err(Held::TooLong) => {
                let message =
                    format!("an answer without a length is held up to {MAX_HELD_BYTES} bytes");
                let reply = engine::failure_reply(attempt, Cause::ServerError, &message);
                return ledger::Event::Ended(reply);
            }
        },
    };
    let passed = response.headers().iter().filter_map(|(name, value)| {
        let name = name.as_str();
        let value = value.to_str().ok()?;
        (!header::stays_of_answer(name)).then(|| (name.to_owned(), value.to_owned()))
    });
    flow.set_head(answered, passed.collect());
    for chunk in &held {
        flow.push_bytes(chunk).await;
    }
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) => flow.push_bytes(&chunk).await,
            Ok(None) => break,
            Err(_) => return ledger::Event::Disconnected(attempt),
        }
    }
    ledger::Event::Ended(run::Reply::Done {
        attempt,
        length: flow.length(),
        end: run::End::Stop,
        usage: run::Usage::default(),
    })
}
