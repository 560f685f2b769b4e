//! Calls to a model engine; see docs/ENGINE.md.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time;

use super::core;
use super::flow;
use crate::direct::backoff;
use crate::edge::header;
use crate::sidecar::ledger;
use crate::wire::id;
use crate::wire::member;
use crate::wire::outcome;
use crate::wire::outcome::Cause;
use crate::wire::outcome::Ran;
use crate::wire::run;

/// Timeout of a call that does not stream.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest report of an engine.
const MAX_REPORT_BYTES: usize = 16 << 20;

/// Longest line of an engine's stream.
const MAX_LINE_BYTES: usize = 4 << 20;

/// A model engine.
#[derive(Clone)]
pub struct Engine {
    /// Shared by all calls.
    pub client: reqwest::Client,
    /// Base URL, without a trailing slash.
    pub url: String,
    /// Bearer token of each call; empty for none.
    pub key: String,
}

#[derive(Serialize)]
struct Start<'a> {
    id: &'a str,
    model: &'a str,
    prompt: &'a str,
    delivered: &'a [String],
    max_tokens: u32,
    priority: u8,
    deadline_ms: u64,
    context: &'a [run::Context],
}

/// One event of a run's stream.
#[derive(Deserialize)]
#[serde(untagged)]
enum Line {
    Tokens {
        offset: u64,
        tokens: Vec<String>,
    },
    Done {
        #[allow(dead_code)]
        done: bool,
        end: End,
        length: u64,
        usage: Usage,
    },
    Started {
        #[allow(dead_code)]
        started: bool,
    },
    Error {
        error: String,
    },
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum End {
    Stop,
    Length,
}

#[derive(Clone, Copy, Deserialize)]
#[allow(clippy::struct_field_names)]
struct Usage {
    prompt_tokens: u64,
    #[serde(default)]
    cached_tokens: u64,
    output_tokens: u64,
}

#[derive(Deserialize)]
struct Error {
    error: String,
}

#[derive(Deserialize)]
struct List {
    incarnation: id::Incarnation,
    runs: Vec<Run>,
    #[serde(default)]
    segments: Vec<Segment>,
}

#[derive(Deserialize)]
struct Run {
    id: String,
    state: String,
    memory_tokens: u64,
}

#[derive(Deserialize)]
struct Segment {
    handle: String,
    owner: String,
    tokens: u64,
}

#[derive(Deserialize)]
struct Load {
    #[serde(default)]
    prefill_rate: u64,
    #[serde(default)]
    token_micros: u64,
}

#[derive(Deserialize)]
struct CacheReport {
    first: u64,
    next: u64,
    #[serde(default)]
    held: Vec<u64>,
    #[serde(default)]
    dropped: Vec<u64>,
}

/// An HTTP client for calls to backend servers.
pub fn client() -> reqwest::Client {
    reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .redirect(reqwest::redirect::Policy::none())
        .no_proxy()
        .build()
        .expect("a client without TLS can be built")
}

impl Engine {
    pub(super) fn call(&self, method: reqwest::Method, path: &str) -> reqwest::RequestBuilder {
        let request = self.client.request(method, format!("{}{path}", self.url));
        if self.key.is_empty() {
            return request;
        }
        request.bearer_auth(&self.key)
    }

    /// Starts a run and reads its stream. Returns the event that reports how it ended.
    pub async fn start(
        &self,
        core: &core::Handle,
        offer: &run::Offer,
        body: &Bytes,
        flow: &Arc<flow::Flow>,
    ) -> ledger::Event {
        let attempt = offer.attempt;
        let run::Work::Prompt {
            model,
            max_tokens,
            delivered,
            context,
            ..
        } = &offer.work
        else {
            return ledger::Event::Rejected(attempt, Cause::BadRequest);
        };
        let Ok(prompt) = std::str::from_utf8(body) else {
            return ledger::Event::Rejected(attempt, Cause::BadRequest);
        };
        let start = Start {
            id: &attempt.to_string(),
            model,
            prompt,
            delivered,
            max_tokens: *max_tokens,
            priority: offer.priority,
            deadline_ms: offer.remaining_ms,
            context,
        };
        let sent = self
            .call(reqwest::Method::POST, "/v1/runs")
            .json(&start)
            .send()
            .await;
        match sent {
            Ok(response) if response.status().is_success() => {
                read(core, attempt, response, flow).await
            }
            Ok(response) => self.rejected(core, attempt, response, flow).await,
            Err(err) if err.is_connect() => {
                core.send(core::Message::Event(ledger::Event::Unreachable))
                    .await;
                ledger::Event::Rejected(attempt, Cause::NoServer)
            }
            // The engine may have received the request.
            Err(_) => ledger::Event::Disconnected(attempt),
        }
    }

    async fn rejected(
        &self,
        core: &core::Handle,
        attempt: id::Attempt,
        response: reqwest::Response,
        flow: &Arc<flow::Flow>,
    ) -> ledger::Event {
        let status = response.status().as_u16();
        self.observe_pause(core, &response).await;
        let error = time::timeout(CALL_TIMEOUT, json::<Error>(response)).await;
        let error = error
            .ok()
            .flatten()
            .map_or_else(String::new, |error| error.error);
        let cause = match (status, error.as_str()) {
            // An earlier request, on a connection that failed, has started it.
            (409, "duplicate") => return self.resume(core, attempt, flow).await,
            (404, "model") => Cause::NoServer,
            (429, _) => Cause::Busy,
            (507, _) => Cause::Memory,
            (400, _) => Cause::BadRequest,
            (401 | 403, _) => Cause::Internal,
            // A segment of its context no longer exists.
            (424, _) => Cause::ServerError,
            _ => {
                return ledger::Event::Ended(failure_reply(
                    attempt,
                    Cause::ServerError,
                    &format!("the engine answered {status} {error}"),
                ));
            }
        };
        ledger::Event::Rejected(attempt, cause)
    }

    /// Tells the ledger if a rejection names a time in which the engine wants to be started nothing.
    pub(super) async fn observe_pause(&self, core: &core::Handle, response: &reqwest::Response) {
        let status = response.status();
        let is_rejection = status == reqwest::StatusCode::TOO_MANY_REQUESTS
            || status == reqwest::StatusCode::SERVICE_UNAVAILABLE;
        if let backoff::Notice::Pause(time) = header::pause(response.headers())
            && is_rejection
        {
            core.send(core::Message::Event(ledger::Event::Paused(time)))
                .await;
        }
    }

    /// Reopens the stream of a run at the end of the response received so far.
    pub async fn resume(
        &self,
        core: &core::Handle,
        attempt: id::Attempt,
        flow: &Arc<flow::Flow>,
    ) -> ledger::Event {
        let path = format!("/v1/runs/{attempt}?offset={}", flow.length());
        match self.call(reqwest::Method::GET, &path).send().await {
            Ok(response) if response.status().is_success() => {
                read(core, attempt, response, flow).await
            }
            Ok(response) if response.status().as_u16() == 404 => ledger::Event::NotFound(attempt),
            Ok(_) => ledger::Event::Disconnected(attempt),
            Err(err) => {
                if err.is_connect() {
                    core.send(core::Message::Event(ledger::Event::Unreachable))
                        .await;
                }
                ledger::Event::Disconnected(attempt)
            }
        }
    }

    /// Stops a run. Returns `Stopped` if the engine no longer holds it.
    pub async fn stop(&self, run: &str) -> ledger::Event {
        match self.free(&format!("/v1/runs/{run}")).await {
            Ok(()) => ledger::Event::Stopped(run.to_owned()),
            Err(event) => event,
        }
    }

    /// Frees a KV segment.
    pub async fn free_segment(&self, handle: &str) -> Option<ledger::Event> {
        self.free(&format!("/v1/kv/{handle}")).await.err()
    }

    pub(super) async fn free(&self, path: &str) -> Result<(), ledger::Event> {
        let call = self.call(reqwest::Method::DELETE, path);
        match call.timeout(CALL_TIMEOUT).send().await {
            Ok(response) if response.status().is_success() => Ok(()),
            Ok(response) if response.status().as_u16() == 404 => Ok(()),
            Ok(_) => Err(ledger::Event::Tick),
            Err(err) if err.is_connect() => Err(ledger::Event::Unreachable),
            Err(_) => Err(ledger::Event::Tick),
        }
    }

    /// Reads the engine's list of runs and segments.
    pub async fn list(&self) -> Option<ledger::Event> {
        let list: List = match self.get("/v1/runs").await {
            Ok(list) => list,
            Err(Some(err)) if err.is_connect() => return Some(ledger::Event::Unreachable),
            Err(_) => return None,
        };
        let runs = list.runs.into_iter().map(|run| ledger::Listed {
            live: run.state != "done",
            id: run.id,
            memory: run.memory_tokens,
        });
        let segments = list.segments.into_iter().map(|segment| ledger::Segment {
            handle: segment.handle,
            owner: segment.owner,
            tokens: segment.tokens,
        });
        Some(ledger::Event::List {
            incarnation: list.incarnation,
            runs: runs.collect(),
            segments: segments.collect(),
        })
    }

    /// Reads the engine's speed.
    pub async fn measure(&self) -> Option<ledger::Event> {
        let load: Load = self.get("/v1/load").await.ok()?;
        Some(ledger::Event::Measured(
            load.prefill_rate,
            load.token_micros,
        ))
    }

    /// Reads changes of the engine's prefix cache since number `after`.
    pub async fn cache(&self, after: u64) -> Option<member::Cache> {
        let report: CacheReport = self.get(&format!("/v1/cache?after={after}")).await.ok()?;
        Some(member::Cache {
            first: report.first,
            next: report.next,
            held: report.held,
            dropped: report.dropped,
        })
    }

    /// Reads a report. `Err(None)`: it is none.
    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Option<reqwest::Error>> {
        let sent = self
            .call(reqwest::Method::GET, path)
            .timeout(CALL_TIMEOUT)
            .send()
            .await;
        let response = sent.and_then(reqwest::Response::error_for_status)?;
        json(response).await.ok_or(None)
    }
}

/// Reads a body of at most [`MAX_REPORT_BYTES`].
pub(super) async fn json<T: DeserializeOwned>(mut response: reqwest::Response) -> Option<T> {
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await.ok()? {
        if body.len() + chunk.len() > MAX_REPORT_BYTES {
            return None;
        }
        body.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&body).ok()
}

/// Reads a run's stream to its end.
async fn read(
    core: &core::Handle,
    attempt: id::Attempt,
    mut response: reqwest::Response,
    flow: &Arc<flow::Flow>,
) -> ledger::Event {
    let mut buf = BytesMut::new();
    let mut has_output = false;
    loop {
        let Ok(Some(chunk)) = response.chunk().await else {
            return ledger::Event::Disconnected(attempt);
        };
        buf.extend_from_slice(&chunk);
        let mut first = 0;
        let mut tokens: Vec<String> = Vec::new();
        let mut ended = None;
        while let Some(line) = take_line(&mut buf) {
            match line {
                Line::Started { .. } => {}
                Line::Tokens {
                    offset,
                    tokens: more,
                } => {
                    if tokens.is_empty() {
                        first = offset;
                        tokens = more;
                    } else if first + tokens.len() as u64 == offset {
                        tokens.extend(more);
                    } else {
                        return ledger::Event::Disconnected(attempt);
                    }
                }
                Line::Done {
                    end, length, usage, ..
                } => ended = Some(Ok((end, length, usage))),
                Line::Error { error } => ended = Some(Err(error)),
            }
        }
        if !tokens.is_empty() {
            if !has_output {
                has_output = true;
                core.send(core::Message::Event(ledger::Event::FirstOutput(attempt)))
                    .await;
            }
            if !flow.push_tokens(first, tokens) {
                return ledger::Event::Disconnected(attempt);
            }
        }
        if let Some(ended) = ended {
            return ledger::Event::Ended(final_reply(attempt, ended, flow.length()));
        }
        if buf.len() > MAX_LINE_BYTES {
            let message = "the engine sent a line that is too long";
            return ledger::Event::Ended(failure_reply(attempt, Cause::ServerError, message));
        }
    }
}

/// The final reply of a run. A response is complete only if its length matches.
fn final_reply(
    attempt: id::Attempt,
    ended: Result<(End, u64, Usage), String>,
    received: u64,
) -> run::Reply {
    match ended {
        Ok((_, length, _)) if length != received => failure_reply(
            attempt,
            Cause::ServerError,
            "the engine's answer is shorter or longer than it says",
        ),
        Ok((end, length, usage)) => run::Reply::Done {
            attempt,
            length,
            end: match end {
                End::Stop => run::End::Stop,
                End::Length => run::End::Length,
            },
            usage: run::Usage {
                prompt_tokens: usage.prompt_tokens,
                cached_tokens: usage.cached_tokens,
                output_tokens: usage.output_tokens,
            },
        },
        Err(error) => {
            let cause = match error.as_str() {
                "deadline" => Cause::Deadline,
                "cancelled" => Cause::Cancelled,
                _ => Cause::ServerError,
            };
            failure_reply(attempt, cause, &format!("the engine ended it: {error}"))
        }
    }
}

/// The final reply of an attempt that may have run and failed.
pub(super) fn failure_reply(attempt: id::Attempt, cause: Cause, message: &str) -> run::Reply {
    run::Reply::Failed {
        attempt,
        failure: outcome::Failure {
            cause,
            ran: Ran::MayHaveRun,
            retry_after_ms: None,
            message: message.to_owned(),
        },
    }
}

/// Takes the next event off the buffer. Lines that are not events are skipped.
fn take_line(buf: &mut BytesMut) -> Option<Line> {
    loop {
        let end = buf.iter().position(|byte| *byte == b'\n')?;
        let line = buf.split_to(end + 1);
        let Some(data) = line.strip_prefix(b"data:") else {
            continue;
        };
        match serde_json::from_slice(data) {
            Ok(line) => return Some(line),
            Err(err) => {
                return Some(Line::Error {
                    error: format!("malformed event: {err}"),
                });
            }
        }
    }
}
