//! The engine's HTTP routes.

use std::sync::Arc;
use std::time::Duration;

use rocket::Build;
use rocket::Data;
use rocket::Rocket;
use rocket::State;
use rocket::data::ByteUnit;
use rocket::delete;
use rocket::get;
use rocket::http::ContentType;
use rocket::http::Status;
use rocket::post;
use rocket::response::stream::ByteStream;
use rocket::routes;
use serde_json::json;
use tokio::sync::Notify;
use tokio::sync::watch;

use super::ask;
use super::cache;
use super::life::Life;
use super::scheduler;
use crate::http;
use crate::http::Answer;
use crate::http::Caller;
use crate::token;

/// KV bytes of a token, as exports tell them.
const KV_BYTES: u64 = 16_384;
/// How long to wait for an export.
const IMPORT: Duration = Duration::from_secs(5);

type Events = (Status, (ContentType, ByteStream<EventStream>));
type EventStream = std::pin::Pin<Box<dyn rocket::futures::Stream<Item = String> + Send>>;

/// Asks other engines for exports.
pub struct Peer {
    client: reqwest::Client,
    key: String,
}

impl Peer {
    /// Shows `key` to the other engines.
    pub fn new(key: String) -> Self {
        let client = reqwest::Client::new();
        Self { client, key }
    }

    /// The last segment's export and the tokens of all; `None` if any is gone.
    async fn import(&self, context: &[ask::Link]) -> Option<(u64, u64)> {
        let mut hash = 0;
        let mut tokens = 0;
        for link in context {
            let url = format!("{}/v1/kv/{}", link.url, link.handle);
            let request = self.client.get(url).bearer_auth(&self.key).timeout(IMPORT);
            let answer = request.send().await.ok()?.error_for_status().ok()?;
            let export: ask::Export = answer.json().await.ok()?;
            hash = export.hash;
            tokens += export.tokens;
        }
        Some((hash, tokens))
    }
}

/// The engine as a server; `changed` is told when an order was obeyed.
pub fn server(life: Arc<Life>, key: String, changed: Arc<Notify>) -> Rocket<Build> {
    rocket::build()
        .manage(life)
        .manage(changed)
        .manage(Peer::new(key.clone()))
        .manage(http::Key(key))
        .mount(
            "/v1",
            routes![
                start, resume, cancel, list, hold, export, drop_one, drop_all, load, events, order,
                orders, stats
            ],
        )
}

/// What a stream needs besides the progress.
struct Tail {
    hash: u64,
    offset: u64,
    max_tokens: u64,
    prompt_tokens: u64,
}

/// The events of a run from `tail.offset` on.
fn follow(tail: Tail, mut watch: watch::Receiver<scheduler::Progress>) -> EventStream {
    Box::pin(async_stream::stream! {
        let mut offset = tail.offset;
        let mut started = false;
        loop {
            let progress = *watch.borrow_and_update();
            if !started && progress.state != scheduler::State::Queued {
                started = true;
                yield line(&json!({"started": true, "cached_tokens": progress.cached}));
            }
            if progress.length > offset {
                let tokens: Vec<_> = (offset..progress.length)
                    .map(|number| token::text(tail.hash, number))
                    .collect();
                yield line(&json!({"offset": offset, "tokens": tokens}));
                offset = progress.length;
            }
            if let scheduler::State::Done(end) = progress.state {
                yield line(&last(&tail, progress, end));
                break;
            }
            if watch.changed().await.is_err() {
                break;
            }
        }
    })
}

fn last(tail: &Tail, progress: scheduler::Progress, end: scheduler::End) -> serde_json::Value {
    match end {
        scheduler::End::Length => json!({
            "done": true,
            "end": "length",
            "length": tail.max_tokens.max(progress.length),
            "usage": {
                "prompt_tokens": tail.prompt_tokens,
                "cached_tokens": progress.cached,
                "output_tokens": progress.length,
            },
        }),
        scheduler::End::Cancelled => json!({"error": "cancelled"}),
        scheduler::End::Deadline => json!({"error": "deadline"}),
    }
}

fn line(event: &serde_json::Value) -> String {
    format!("data: {event}\n\n")
}

fn refused(refusal: scheduler::Refusal) -> Answer {
    match refusal {
        scheduler::Refusal::Duplicate => http::error(Status::Conflict, "duplicate"),
        scheduler::Refusal::Busy => http::error(Status::TooManyRequests, "busy"),
        scheduler::Refusal::Memory => http::error(Status::new(507), "memory"),
    }
}

async fn body(data: Data<'_>) -> Result<Vec<u8>, Answer> {
    let limit = ByteUnit::Mebibyte(http::BODY_MIB);
    match data.open(limit).into_bytes().await {
        Ok(bytes) if bytes.is_complete() => Ok(bytes.into_inner()),
        Ok(_) => Err(http::error(Status::PayloadTooLarge, "size")),
        Err(_) => Err(http::error(Status::BadRequest, "body")),
    }
}

fn parse<'a, T: serde::Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, Answer> {
    serde_json::from_slice(bytes).map_err(|err| {
        let body = json!({"error": "body", "detail": err.to_string()});
        http::json(Status::BadRequest, &body)
    })
}

#[post("/runs", data = "<data>")]
async fn start(
    _caller: Caller,
    life: &State<Arc<Life>>,
    peer: &State<Peer>,
    data: Data<'_>,
) -> Result<Events, Answer> {
    let receipt = life.now();
    let bytes = body(data).await?;
    let run: ask::Run = parse(&bytes)?;
    if !life.posture().models.contains(&run.model) {
        return Err(http::error(Status::NotFound, "model"));
    }
    if run.prompt.is_empty() && run.context.is_empty() {
        return Err(http::error(Status::BadRequest, "prompt"));
    }
    let Some((from, before)) = peer.import(&run.context).await else {
        return Err(http::error(Status::FailedDependency, "context"));
    };
    let (blocks, hash) = cache::blocks(from, run.prompt.as_bytes());
    let delivered = run.delivered.len() as u64;
    let wrong = run
        .delivered
        .iter()
        .zip(0..)
        .any(|(text, number)| *text != token::text(hash, number));
    if wrong {
        return Err(http::error(Status::BadRequest, "delivered"));
    }
    let tokens = token::count(&run.prompt);
    let poison = poisonous(life, &run.prompt);
    let tail = Tail {
        hash,
        offset: delivered,
        max_tokens: run.max_tokens,
        prompt_tokens: before + tokens,
    };
    let ask = scheduler::Ask {
        id: run.id,
        kind: scheduler::Kind::Run,
        hash,
        blocks,
        tokens: (tokens + delivered).max(1),
        before,
        delivered,
        max_tokens: run.max_tokens,
        priority: run.priority,
        deadline: deadline(receipt, run.deadline_ms),
        poison,
    };
    drop(bytes);
    let admitted = life.with(|scheduler, _| scheduler.admit(ask));
    let watch = admitted.map_err(refused)?;
    Ok(stream(follow(tail, watch)))
}

fn stream(events: EventStream) -> Events {
    let kind = ContentType::new("text", "event-stream");
    (Status::Ok, (kind, ByteStream(events)))
}

fn deadline(receipt: u64, millis: u64) -> u64 {
    receipt.saturating_add(millis.saturating_mul(1000))
}

fn poisonous(life: &Life, text: &str) -> bool {
    let poison = &life.settings.crash_on;
    !poison.is_empty() && text.contains(poison.as_str())
}

#[get("/runs/<id>?<offset>")]
fn resume(
    _caller: Caller,
    life: &State<Arc<Life>>,
    id: &str,
    offset: Option<u64>,
) -> Result<Events, Answer> {
    let found = life.with(|scheduler, _| {
        let work = scheduler.find(id)?;
        let tail = Tail {
            hash: work.ask.hash,
            offset: offset.unwrap_or(0),
            max_tokens: work.ask.max_tokens,
            prompt_tokens: work.ask.before + work.ask.tokens - work.ask.delivered,
        };
        (work.ask.kind == scheduler::Kind::Run).then(|| (tail, work.watch()))
    });
    let (tail, watch) = found.ok_or_else(|| http::error(Status::NotFound, "run"))?;
    Ok(stream(follow(tail, watch)))
}

#[delete("/runs/<id>")]
fn cancel(_caller: Caller, life: &State<Arc<Life>>, id: &str) -> Answer {
    let length = life.with(|scheduler, now| scheduler.cancel(now, id));
    match length {
        Some(length) => http::json(Status::Ok, &json!({"length": length})),
        None => http::error(Status::NotFound, "run"),
    }
}

fn state(state: scheduler::State) -> &'static str {
    match state {
        scheduler::State::Queued => "queued",
        scheduler::State::Prefill => "prefill",
        scheduler::State::Decode => "decode",
        scheduler::State::Held => "held",
        scheduler::State::Done(_) => "done",
    }
}

#[get("/runs")]
fn list(_caller: Caller, life: &State<Arc<Life>>) -> Answer {
    let body = life.with(|scheduler, _| {
        let mut runs = Vec::new();
        let mut segments = Vec::new();
        for work in scheduler.works() {
            let progress = work.progress();
            match &work.ask.kind {
                scheduler::Kind::Run => runs.push(json!({
                    "id": work.ask.id,
                    "state": state(progress.state),
                    "length": progress.length,
                    "memory_tokens": work.memory(),
                })),
                scheduler::Kind::Segment { owner } if work.memory() > 0 => segments.push(json!({
                    "handle": work.ask.id,
                    "owner": owner,
                    "tokens": work.ask.tokens,
                    "state": state(progress.state),
                })),
                scheduler::Kind::Segment { .. } => {}
            }
        }
        json!({
            "incarnation": life.incarnation,
            "used_tokens": scheduler.used(),
            "memory_tokens": scheduler.settings().memory,
            "runs": runs,
            "segments": segments,
        })
    });
    http::json(Status::Ok, &body)
}

#[post("/kv", data = "<data>")]
async fn hold(
    _caller: Caller,
    life: &State<Arc<Life>>,
    peer: &State<Peer>,
    data: Data<'_>,
) -> Result<Answer, Answer> {
    let receipt = life.now();
    let bytes = body(data).await?;
    let segment: ask::Segment = parse(&bytes)?;
    if segment.text.is_empty() {
        return Err(http::error(Status::BadRequest, "text"));
    }
    let Some((from, before)) = peer.import(&segment.context).await else {
        return Err(http::error(Status::FailedDependency, "context"));
    };
    let (blocks, hash) = cache::blocks(from, segment.text.as_bytes());
    let tokens = token::count(&segment.text);
    let handle = life.handle();
    let poison = poisonous(life, &segment.text);
    let ask = scheduler::Ask {
        id: handle.clone(),
        kind: scheduler::Kind::Segment {
            owner: segment.owner,
        },
        hash,
        blocks,
        tokens,
        before,
        delivered: 0,
        max_tokens: 0,
        priority: segment.priority,
        deadline: deadline(receipt, segment.deadline_ms),
        poison,
    };
    drop(bytes);
    let admitted = life.with(|scheduler, _| scheduler.admit(ask));
    let mut watch = admitted.map_err(refused)?;
    loop {
        let progress = *watch.borrow_and_update();
        match progress.state {
            scheduler::State::Held => {
                let body = json!({"handle": handle, "tokens": tokens});
                return Ok(http::json(Status::Ok, &body));
            }
            scheduler::State::Done(scheduler::End::Deadline) => {
                return Err(http::error(Status::Conflict, "deadline"));
            }
            scheduler::State::Done(_) => return Err(http::error(Status::Conflict, "cancelled")),
            _ => {}
        }
        if watch.changed().await.is_err() {
            return Err(http::error(Status::Conflict, "cancelled"));
        }
    }
}

#[get("/kv/<handle>")]
fn export(_caller: Caller, life: &State<Arc<Life>>, handle: &str) -> Answer {
    let export = life.with(|scheduler, _| {
        let work = scheduler.find(handle)?;
        let scheduler::Kind::Segment { owner } = &work.ask.kind else {
            return None;
        };
        (work.progress().state == scheduler::State::Held).then(|| ask::Export {
            tokens: work.ask.tokens,
            bytes: work.ask.tokens * KV_BYTES,
            hash: work.ask.hash,
            owner: owner.clone(),
        })
    });
    match export {
        Some(export) => http::json(Status::Ok, &export),
        None => http::error(Status::NotFound, "handle"),
    }
}

#[delete("/kv/<handle>")]
fn drop_one(_caller: Caller, life: &State<Arc<Life>>, handle: &str) -> Answer {
    let known = life.with(|scheduler, now| {
        let work = scheduler.find(handle)?;
        let held = work.memory() > 0 && work.ask.kind != scheduler::Kind::Run;
        held.then(|| scheduler.cancel(now, handle)).flatten()
    });
    match known {
        Some(_) => http::json(Status::Ok, &json!({"freed": 1})),
        None => http::error(Status::NotFound, "handle"),
    }
}

#[delete("/kv?<owner>")]
fn drop_all(_caller: Caller, life: &State<Arc<Life>>, owner: &str) -> Answer {
    let freed = life.with(|scheduler, now| scheduler.release(now, owner));
    http::json(Status::Ok, &json!({"freed": freed}))
}

#[get("/load")]
fn load(_caller: Caller, life: &State<Arc<Life>>) -> Answer {
    http::json(Status::Ok, &life.load())
}

#[get("/cache?<after>")]
fn events(_caller: Caller, life: &State<Arc<Life>>, after: Option<u64>) -> Answer {
    let after = after.unwrap_or(0);
    let events = life.with(|scheduler, now| scheduler.cache().events(now, after));
    http::json(Status::Ok, &events)
}

#[post("/orders", data = "<data>")]
async fn order(
    _caller: Caller,
    life: &State<Arc<Life>>,
    changed: &State<Arc<Notify>>,
    data: Data<'_>,
) -> Result<Answer, Answer> {
    let bytes = body(data).await?;
    let order: ask::Order = parse(&bytes)?;
    let fenced = |current| {
        let body = json!({"error": "fenced", "current": current});
        http::json(Status::Conflict, &body)
    };
    life.admits(order.fence).map_err(fenced)?;
    if matches!(
        order.order.kind,
        ask::Kind::LoadModel | ask::Kind::LoadAdapter
    ) {
        tokio::time::sleep(life.settings.load).await;
    }
    life.order(order).map_err(fenced)?;
    changed.notify_one();
    Ok(http::json(Status::Ok, &json!({})))
}

#[get("/orders")]
fn orders(_caller: Caller, life: &State<Arc<Life>>) -> Answer {
    http::json(Status::Ok, &life.posture())
}

#[get("/stats?<hash>")]
fn stats(_caller: Caller, life: &State<Arc<Life>>, hash: Option<u64>) -> Answer {
    let body = life.with(|scheduler, _| {
        let (starts, most) = scheduler.starts(hash.unwrap_or(0));
        let (running, queued) = scheduler.load();
        json!({
            "incarnation": life.incarnation,
            "counts": scheduler.counts(),
            "starts": starts,
            "most_starts": most,
            "running": running,
            "queued": queued,
            "used_tokens": scheduler.used(),
        })
    });
    http::json(Status::Ok, &body)
}
