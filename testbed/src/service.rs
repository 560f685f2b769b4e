//! The stand-in plain service: echoes calls and counts them by the value of a header.

use std::collections::BTreeMap;
use std::fs;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use anyhow::Context;
use rocket::Build;
use rocket::Data;
use rocket::Request;
use rocket::Rocket;
use rocket::State;
use rocket::data::ByteUnit;
use rocket::get;
use rocket::http::Method;
use rocket::http::Status;
use rocket::route::Handler;
use rocket::route::Outcome;
use rocket::route::Route;
use rocket::routes;
use serde_json::json;

use crate::http;
use crate::http::Answer;
use crate::http::Caller;

/// Header whose values are counted.
pub const COUNT: &str = "x-count";

/// Header that asks for an answer of so many bytes.
pub const ANSWER_BYTES: &str = "x-answer-bytes";

/// Counts of calls, kept in memory and in a journal if there is one.
pub struct Service {
    /// How long each call takes.
    delay: Duration,
    counts: Mutex<Counts>,
}

struct Counts {
    /// Calls by value of the header; the journal has a line for each.
    runs: BTreeMap<String, u64>,
    journal: Option<fs::File>,
}

impl Service {
    /// A service that goes on from what its journal holds.
    pub fn open(delay: Duration, journal: Option<&Path>) -> anyhow::Result<Self> {
        let mut runs = BTreeMap::new();
        let file = journal.map(|path| recover(path, &mut runs)).transpose()?;
        let counts = Mutex::new(Counts {
            runs,
            journal: file,
        });
        Ok(Self { delay, counts })
    }

    /// Counts a call, in the journal first; the calls so far.
    fn count(&self, value: &str) -> std::io::Result<u64> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(journal) = &mut counts.journal {
            journal.write_all(format!("{value}\n").as_bytes())?;
        }
        let runs = counts.runs.entry(value.to_owned()).or_insert(0);
        *runs += 1;
        Ok(*runs)
    }

    /// Calls with this value so far.
    pub fn runs(&self, value: &str) -> u64 {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.runs.get(value).copied().unwrap_or(0)
    }
}

/// Reads the journal's counts and opens it for more.
fn recover(path: &Path, runs: &mut BTreeMap<String, u64>) -> anyhow::Result<fs::File> {
    let old = match fs::read_to_string(path) {
        Ok(old) => old,
        Err(err) if err.kind() == std::io::ErrorKind::NotFound => String::new(),
        Err(err) => return Err(err).context(path.display().to_string()),
    };
    for value in old.lines() {
        *runs.entry(value.to_owned()).or_insert(0) += 1;
    }
    let file = fs::OpenOptions::new().append(true).create(true).open(path);
    file.context(path.display().to_string())
}

/// The service as a server.
pub fn server(service: Arc<Service>, key: String) -> Rocket<Build> {
    let methods = [
        Method::Get,
        Method::Post,
        Method::Put,
        Method::Patch,
        Method::Delete,
    ];
    let echo: Vec<_> = methods
        .into_iter()
        .map(|method| Route::ranked(10, method, "/<path..>", Echo))
        .collect();
    rocket::build()
        .manage(service)
        .manage(http::Key(key))
        .mount("/", routes![runs])
        .mount("/", echo)
}

#[get("/runs/<value>")]
fn runs(_caller: Caller, service: &State<Arc<Service>>, value: &str) -> Answer {
    let body = json!({"value": value, "runs": service.runs(value)});
    http::json(Status::Ok, &body)
}

/// Answers a call of any path with what it was.
#[derive(Clone)]
struct Echo;

#[rocket::async_trait]
impl Handler for Echo {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        if request.guard::<Caller>().await.is_error() {
            return Outcome::from(request, http::error(Status::Unauthorized, "key"));
        }
        let answer = echo(request, data).await;
        Outcome::from(request, answer)
    }
}

/// Bytes that the caller wants the answer filled with.
fn filler(request: &Request<'_>) -> usize {
    let bytes = request.headers().get_one(ANSWER_BYTES);
    bytes.and_then(|bytes| bytes.parse().ok()).unwrap_or(0)
}

async fn echo(request: &Request<'_>, data: Data<'_>) -> Answer {
    let limit = ByteUnit::Mebibyte(http::BODY_MIB);
    let body = match data.open(limit).into_bytes().await {
        Ok(bytes) if bytes.is_complete() => bytes.into_inner(),
        Ok(_) => return http::error(Status::PayloadTooLarge, "size"),
        Err(_) => return http::error(Status::BadRequest, "body"),
    };
    let Some(service) = request.rocket().state::<Arc<Service>>() else {
        return http::error(Status::InternalServerError, "state");
    };
    let value = request.headers().get_one(COUNT);
    let Ok(runs) = value.map(|value| service.count(value)).transpose() else {
        return http::error(Status::InternalServerError, "journal");
    };
    tokio::time::sleep(service.delay).await;
    let echo = json!({
        "method": request.method().as_str(),
        "path": request.uri().path().as_str(),
        "query": request.uri().query().map(|query| query.as_str()),
        "body_blake3": blake3::hash(&body).to_hex().as_str(),
        "body_bytes": body.len(),
        "value": value,
        "runs": runs,
        "filler": "x".repeat(filler(request)),
    });
    http::json(Status::Ok, &echo)
}
