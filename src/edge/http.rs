//! The HTTP listener of a process, by rocket: callers, backend servers, operators and health.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rocket::config;
use rocket::http::ContentType;
use rocket::http::Status;

use super::node;
use crate::wire::outcome;

pub mod admin;
pub mod announce;
pub mod answer;
pub mod auth;
pub mod body;
pub mod completions;
pub mod openai;
pub mod services;

/// Grace and mercy of rocket's shutdown in seconds. The drain is ours: when rocket is told to
/// stop, nothing is in progress any more, or the drain limit has passed.
const STOP_SECONDS: u32 = 2;

/// Seconds that an idle connection is kept.
const KEEP_ALIVE_SECONDS: u32 = 30;

/// How long a fresh entry waits for backend servers of every service to announce themselves before
/// it says that it is ready: a lease, in which whoever is there has done so.
const GATHER: Duration = Duration::from_secs(3);

/// Time from a start in which whoever is there announces itself: a sidecar that told the entry's
/// former life does so again after a second at the latest, and looks each quarter of one. An entry
/// that was ready sooner refused all (`no_server`) when the one server that it knew left.
const SETTLE: Duration = Duration::from_millis(1_250);

/// Settings of the HTTP listener.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Key of operators and of whoever reads metrics.
    pub operator_key: String,
    /// Key of the backend server beside a sidecar.
    pub backend_key: String,
    /// Most bytes of callers' bodies held at once.
    pub body_memory: usize,
    /// Time for a body to come.
    pub body_timeout: Duration,
}

/// What all routes share.
pub struct Front {
    node: Arc<node::Node>,
    auth: auth::Auth,
    bodies: body::Pool,
    ready: AtomicBool,
}

impl Front {
    /// What the routes of `node` share.
    pub fn new(node: &Arc<node::Node>, settings: &Settings) -> Arc<Self> {
        Arc::new(Self {
            node: Arc::clone(node),
            auth: auth::Auth::new(&settings.operator_key, &settings.backend_key),
            bodies: body::Pool::new(settings.body_memory, settings.body_timeout),
            ready: AtomicBool::new(true),
        })
    }

    /// The process.
    pub fn node(&self) -> &Arc<node::Node> {
        &self.node
    }

    /// Tells the balancer, through `/readyz`, to send no more; what still comes is served.
    pub fn unready(&self) {
        self.ready.store(false, Ordering::Release);
    }
}

/// Builds the listener with the routes of the process's roles.
pub fn build(front: &Arc<Front>, settings: &Settings) -> rocket::Rocket<rocket::Build> {
    let shutdown = config::Shutdown {
        ctrlc: false,
        signals: HashSet::new(),
        grace: STOP_SECONDS,
        mercy: STOP_SECONDS,
        force: false,
        ..config::Shutdown::default()
    };
    let conf = rocket::Config {
        address: settings.listen.ip(),
        port: settings.listen.port(),
        keep_alive: KEEP_ALIVE_SECONDS,
        log_level: config::LogLevel::Off,
        shutdown,
        ..rocket::Config::release_default()
    };
    let mut rocket = rocket::custom(conf)
        .manage(Arc::clone(front))
        .mount("/", rocket::routes![healthz, readyz, metrics])
        .mount("/admin/v1", admin::routes())
        .register("/", rocket::catchers![unmatched]);
    if front.node.entry().is_some() {
        rocket = rocket
            .mount("/v1", completions::routes())
            .mount("/services", services::routes());
    }
    if front.node.sidecar().is_some() {
        rocket = rocket.mount("/v1", announce::routes());
    }
    rocket
}

/// Whether the process lives.
#[rocket::get("/healthz")]
fn healthz() -> &'static str {
    "ok\n"
}

/// Whether the balancer may send work here.
#[rocket::get("/readyz")]
async fn readyz(front: &rocket::State<Arc<Front>>) -> (Status, &'static str) {
    let node = &front.node;
    if !front.ready.load(Ordering::Acquire) || node.draining() {
        return (Status::ServiceUnavailable, "draining\n");
    }
    if node.entry().is_some() && node.conf_store().revision() == 0 {
        return (Status::ServiceUnavailable, "no configuration yet\n");
    }
    let now = node.now();
    let is_settling = node.entry().is_some() && now < SETTLE;
    if is_settling || (now < GATHER && !gathered(node).await) {
        return (
            Status::ServiceUnavailable,
            "backend servers not known yet\n",
        );
    }
    (Status::Ok, "ready\n")
}

/// Whether an entry knows a backend server of every service.
async fn gathered(node: &node::Node) -> bool {
    let Some(entry) = node.entry() else {
        return true;
    };
    let present = entry.servers().await.unwrap_or_default();
    let conf = node.conf();
    let mut services = conf.service.keys();
    services.all(|name| present.iter().any(|server| server.service == *name))
}

#[rocket::get("/metrics")]
fn metrics(
    front: &rocket::State<Arc<Front>>,
    headers: auth::Headers<'_>,
) -> Result<(ContentType, String), answer::Refusal> {
    front.auth.operator(&headers)?;
    let kind = ContentType::new("application", "openmetrics-text")
        .with_params([("version", "1.0.0"), ("charset", "utf-8")]);
    Ok((kind, front.node.metrics().encode()))
}

#[rocket::catch(default)]
fn unmatched(status: Status, request: &rocket::Request<'_>) -> answer::Refusal {
    let cause = match status.code {
        401 => outcome::Cause::Unauthorized,
        404 | 405 => outcome::Cause::NotFound,
        413 => outcome::Cause::TooLarge,
        400..=499 => outcome::Cause::BadRequest,
        _ => outcome::Cause::Internal,
    };
    let text = format!("{} {}: {status}", request.method(), request.uri().path());
    answer::Refusal::new(outcome::Failure::not_run(cause, None, &text))
}
