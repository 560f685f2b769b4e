//! KV segments of prompts that are larger than one engine; see docs/ENGINE.md.

use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::core;
use super::engine;
use super::flow;
use crate::sidecar::ledger;
use crate::wire::id;
use crate::wire::outcome::Cause;
use crate::wire::run;

#[derive(Serialize)]
struct Hold<'a> {
    owner: &'a str,
    text: &'a str,
    context: &'a [run::Context],
    priority: u8,
    deadline_ms: u64,
}

#[derive(Deserialize)]
struct Held {
    handle: String,
    tokens: u64,
}

impl engine::Engine {
    /// Prefills a segment after the segments of `context`. Returns the event that reports the
    /// outcome.
    pub async fn hold(
        &self,
        core: &core::Handle,
        offer: &run::Offer,
        context: &[run::Context],
        body: &Bytes,
        flow: &Arc<flow::Flow>,
    ) -> ledger::Event {
        let attempt = offer.attempt;
        let Ok(text) = std::str::from_utf8(body) else {
            return ledger::Event::Rejected(attempt, Cause::BadRequest);
        };
        let request = Hold {
            owner: &attempt.to_string(),
            text,
            context,
            priority: offer.priority,
            deadline_ms: offer.remaining_ms,
        };
        let sent = self
            .call(reqwest::Method::POST, "/v1/kv")
            .json(&request)
            .send()
            .await;
        let response = match sent {
            Ok(response) => response,
            Err(err) if err.is_connect() => {
                core.send(core::Message::Event(ledger::Event::Unreachable))
                    .await;
                return ledger::Event::Rejected(attempt, Cause::NoServer);
            }
            Err(_) => return ledger::Event::Disconnected(attempt),
        };
        self.observe_pause(core, &response).await;
        match response.status().as_u16() {
            200 => match engine::json::<Held>(response).await {
                Some(held) => {
                    let segment = run::Context {
                        url: self.url.clone(),
                        handle: held.handle,
                    };
                    flow.set_held(segment, held.tokens);
                    ledger::Event::Held(attempt)
                }
                None => ledger::Event::Disconnected(attempt),
            },
            400 => ledger::Event::Rejected(attempt, Cause::BadRequest),
            401 | 403 => ledger::Event::Rejected(attempt, Cause::Internal),
            409 => ledger::Event::Rejected(attempt, Cause::Deadline),
            429 => ledger::Event::Rejected(attempt, Cause::Busy),
            507 => ledger::Event::Rejected(attempt, Cause::Memory),
            // 424: a segment of its context no longer exists.
            _ => ledger::Event::Rejected(attempt, Cause::ServerError),
        }
    }

    /// Frees all segments of an attempt. Returns `Stopped` if the engine no longer holds any.
    pub async fn release(&self, attempt: id::Attempt) -> ledger::Event {
        match self.free(&format!("/v1/kv?owner={attempt}")).await {
            Ok(()) => ledger::Event::Stopped(attempt.to_string()),
            Err(event) => event,
        }
    }
}

impl core::Core {
    pub(super) fn hold(&mut self, attempt: id::Attempt, context: Vec<run::Context>) {
        let Some(engine) = self.engine() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&attempt) else {
            return;
        };
        let Some(offer) = job.offer.take() else {
            return;
        };
        let flow = Arc::new(flow::Flow::new(attempt, 0));
        job.flow = Some(Arc::clone(&flow));
        let body = std::mem::take(&mut job.body);
        let core = self.handle.clone();
        let task = self.runtime.spawn(async move {
            let event = engine.hold(&core, &offer, &context, &body, &flow).await;
            core.send(core::Message::Event(event)).await;
        });
        job.task = Some(task.abort_handle());
        self.count.segments.inc();
    }

    pub(super) fn release(&mut self, attempt: id::Attempt) {
        // A prefill request must not reach the engine after the segments were freed.
        if let Some(job) = self.jobs.get_mut(&attempt)
            && let Some(task) = job.task.take()
        {
            task.abort();
        }
        let Some(engine) = self.engine() else {
            return;
        };
        let core = self.handle.clone();
        self.runtime.spawn(async move {
            let event = engine.release(attempt).await;
            core.send(core::Message::Event(event)).await;
        });
    }
}
