//! `/v1/completions`, `/v1/chat/completions` and `/v1/models`.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use async_stream::stream;
use bytes::Bytes;
use rocket::http::ContentType;
use rocket::http::Header;
use rocket::request::Request;
use rocket::response;
use rocket::response::stream::ByteStream;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::time;

use super::Front;
use super::answer;
use super::auth;
use super::body;
use super::openai;
use crate::config;
use crate::edge::body as edge_body;
use crate::edge::entry;
use crate::wire::id;
use crate::wire::outcome;
use crate::wire::run;

/// Maximum time limit that a caller may set.
pub const MAX_TIME_LIMIT: Duration = Duration::from_secs(3_600);

/// How long a stream waits for its first part before it sends the status 200. Rejections
/// normally arrive sooner and so get their own status.
const COMMIT_AFTER: Duration = Duration::from_millis(1_000);

/// Interval of SSE comments on an idle stream. rocket notices only on a write that the caller has
/// disconnected.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1_000);

const TIME_LIMIT: &str = "X-Time-Limit-Ms";
const NOT_REPEATABLE: &str = "X-Not-Repeatable";
const IDEMPOTENCY_KEY: &str = "Idempotency-Key";

/// Maximum length of an idempotency key in bytes.
const MAX_KEY: usize = 256;

/// The routes, below `/v1`.
pub fn routes() -> Vec<rocket::Route> {
    rocket::routes![text, chat, models]
}

/// A request's options, from its headers.
pub struct Options {
    /// The time limit, if set.
    pub limit: Option<Duration>,
    /// Whether the request must not run twice.
    pub not_repeatable: bool,
    /// The idempotency key, if set.
    pub key: Option<String>,
}

impl Options {
    /// Parses the headers.
    pub fn read(headers: &auth::Headers<'_>) -> Result<Self, outcome::Failure> {
        let limit = match headers.0.get_one(TIME_LIMIT) {
            None => None,
            Some(text) => Some(time_limit(text)?),
        };
        let not_repeatable = match headers.0.get_one(NOT_REPEATABLE) {
            None | Some("false" | "0") => false,
            Some("true" | "1") => true,
            Some(_) => {
                return Err(answer::bad_request(&format!(
                    "{NOT_REPEATABLE}: true or false"
                )));
            }
        };
        let key = headers.0.get_one(IDEMPOTENCY_KEY);
        if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY) {
            return Err(answer::bad_request(&format!(
                "{IDEMPOTENCY_KEY}: 1 to {MAX_KEY} bytes"
            )));
        }
        Ok(Self {
            limit,
            not_repeatable,
            key: key.map(str::to_owned),
        })
    }
}

fn time_limit(text: &str) -> Result<Duration, outcome::Failure> {
    let most = MAX_TIME_LIMIT.as_millis() as u64;
    match text.trim().parse::<u64>() {
        Ok(millis) if (1..=most).contains(&millis) => Ok(Duration::from_millis(millis)),
        _ => Err(answer::bad_request(&format!(
            "{TIME_LIMIT}: a whole number from 1 to {most}"
        ))),
    }
}

/// A response to a prompt.
pub enum Response {
    /// The full response at once.
    Json(answer::Json),
    /// A stream of events.
    Stream(Stream),
}

/// A streamed response.
pub struct Stream {
    request: id::Request,
    renderer: openai::Renderer,
    include_usage: bool,
    first: Option<entry::Part>,
    rx: mpsc::Receiver<entry::Part>,
    /// The body's share of the memory pool, held until the response has ended.
    claim: edge_body::Claim,
}

impl<'r> response::Responder<'r, 'r> for Response {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        match self {
            Self::Json(json) => json.respond_to(request),
            Self::Stream(stream) => {
                let id = stream.request.to_string();
                response::Response::build_from(ByteStream(stream.events()).respond_to(request)?)
                    .header(ContentType::EventStream)
                    .header(Header::new("Cache-Control", "no-cache"))
                    .header(Header::new(answer::REQUEST_ID, id))
                    .ok()
            }
        }
    }
}

impl Stream {
    fn events(mut self) -> impl rocket::futures::Stream<Item = Bytes> + Send {
        stream! {
            let mut is_first = true;
            loop {
                let part = match self.first.take() {
                    Some(part) => Ok(Some(part)),
                    None => time::timeout(HEARTBEAT_PERIOD, self.rx.recv()).await,
                };
                match part {
                    Err(_) => yield Bytes::from_static(b": wait\n\n"),
                    Ok(Some(entry::Part::Tokens(tokens))) => {
                        yield self.renderer.chunk(&tokens.concat(), is_first).into();
                        is_first = false;
                    }
                    Ok(Some(entry::Part::Done { end, usage })) => {
                        let usage = self.include_usage.then_some(usage);
                        yield self.renderer.end(end, usage).into();
                        break;
                    }
                    Ok(Some(entry::Part::Failed(failure))) => {
                        yield self.error_event(failure);
                        break;
                    }
                    Ok(Some(entry::Part::Head { .. } | entry::Part::Bytes(_))) => {}
                    Ok(None) => {
                        yield self.error_event(answer::incomplete());
                        break;
                    }
                }
            }
            drop(self.claim);
        }
    }

    fn error_event(&self, failure: outcome::Failure) -> Bytes {
        let error = answer::Error::of(self.request, failure);
        format!("data: {}\n\n", error.json()).into()
    }
}

#[rocket::post("/completions")]
async fn text(
    front: &rocket::State<Arc<Front>>,
    headers: auth::Headers<'_>,
    body: body::Unread,
) -> Result<Response, answer::Error> {
    complete(front, openai::Form::Text, &headers, body).await
}

#[rocket::post("/chat/completions")]
async fn chat(
    front: &rocket::State<Arc<Front>>,
    headers: auth::Headers<'_>,
    body: body::Unread,
) -> Result<Response, answer::Error> {
    complete(front, openai::Form::Chat, &headers, body).await
}

async fn complete(
    front: &Front,
    form: openai::Form,
    headers: &auth::Headers<'_>,
    body: body::Unread,
) -> Result<Response, answer::Error> {
    let conf = front.node.conf();
    let workspace = front.auth.workspace(&conf, headers)?;
    let request = id::Request(rand::random());
    let reject = |failure| answer::Error::of(request, failure);
    let options = Options::read(headers).map_err(reject)?;
    let body = body.read(front).await?;
    let prompt =
        openai::parse(form, &body.bytes).map_err(|text| reject(answer::bad_request(&text)))?;
    drop(body.bytes);
    let model = model(&conf, &prompt.model).map_err(reject)?;
    let max_tokens = max_tokens(model, prompt.max_tokens).map_err(reject)?;
    let default = Duration::from_millis(model.time_limit_ms);
    let submission = entry::Submission {
        request,
        workspace,
        service: model.service.clone(),
        limit: options.limit.unwrap_or(default),
        repeatable: !options.not_repeatable,
        key: options.key,
        body: Bytes::from(prompt.text),
        work: run::Work::Prompt {
            model: prompt.model.clone(),
            prompt_tokens: 0,
            max_tokens,
            delivered: Vec::new(),
            context: Vec::new(),
        },
    };
    let Some(role) = front.node.entry() else {
        return Err(reject(answer::incomplete()));
    };
    let mut rx = role.submit(submission);
    let renderer = openai::Renderer::new(form, request, unix_seconds(), &prompt.model);
    if !prompt.stream {
        return respond_full(request, &renderer, rx)
            .await
            .map(Response::Json);
    }
    let first = time::timeout(COMMIT_AFTER, rx.recv()).await;
    let first = match first {
        Err(_) => None,
        Ok(None) => return Err(reject(answer::incomplete())),
        Ok(Some(entry::Part::Failed(failure))) => return Err(reject(failure)),
        Ok(Some(part)) => Some(part),
    };
    Ok(Response::Stream(Stream {
        request,
        renderer,
        include_usage: prompt.include_usage,
        first,
        rx,
        claim: body.claim,
    }))
}

async fn respond_full(
    request: id::Request,
    renderer: &openai::Renderer,
    mut rx: mpsc::Receiver<entry::Part>,
) -> Result<answer::Json, answer::Error> {
    let mut text = String::new();
    while let Some(part) = rx.recv().await {
        match part {
            entry::Part::Tokens(tokens) => text.extend(tokens),
            entry::Part::Done { end, usage } => {
                let text = renderer.full(&text, end, usage);
                return Ok(answer::Json { request, text });
            }
            entry::Part::Failed(failure) => return Err(answer::Error::of(request, failure)),
            entry::Part::Head { .. } | entry::Part::Bytes(_) => {}
        }
    }
    Err(answer::Error::of(request, answer::incomplete()))
}

fn model<'a>(conf: &'a config::Set, name: &str) -> Result<&'a config::Model, outcome::Failure> {
    conf.model.get(name).ok_or_else(|| {
        let text = format!("model {name:?} is not known");
        outcome::Failure::not_run(outcome::Cause::NotFound, None, &text)
    })
}

fn max_tokens(model: &config::Model, requested: Option<u32>) -> Result<u32, outcome::Failure> {
    let most = model.max_output_tokens;
    match requested {
        None => Ok(most),
        Some(requested) if requested <= most => Ok(requested),
        Some(_) => Err(answer::bad_request(&format!("max_tokens: at most {most}"))),
    }
}

fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}

#[derive(Serialize)]
struct Models<'a> {
    object: &'static str,
    data: Vec<Model<'a>>,
}

#[derive(Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'a str,
}

#[rocket::get("/models")]
fn models(
    front: &rocket::State<Arc<Front>>,
    headers: auth::Headers<'_>,
) -> Result<(ContentType, String), answer::Error> {
    let conf = front.node.conf();
    front.auth.workspace(&conf, &headers)?;
    let data = conf
        .model
        .iter()
        .map(|(name, model)| Model {
            id: name,
            object: "model",
            created: 0,
            owned_by: &model.service,
        })
        .collect();
    let list = Models {
        object: "list",
        data,
    };
    Ok((
        ContentType::JSON,
        serde_json::to_string(&list).unwrap_or_default(),
    ))
}
