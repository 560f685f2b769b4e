//! The HTTP interface of a process, based on rocket: routes for callers, backend servers, operators
//! and health checks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rocket::config;
use rocket::http::ContentType;
use rocket::http::Status;

use super::body as edge_body;
use super::node;
use crate::overload;
use crate::wire::outcome;

pub mod admin;
pub mod announce;
pub mod answer;
pub mod auth;
pub mod body;
pub mod completions;
pub mod dispatch;
pub mod openai;
pub mod services;

/// How long a starting entry waits for a backend server of every service to announce itself before
/// it reports ready anyway. One lease: every live server announces itself within it.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Minimum time from the start until an entry reports ready, so that it knows all live servers. A
/// sidecar that last announced its server to the previous process at this address repeats the
/// announcement within 1 s, and checks every 250 ms. An entry that was ready earlier rejected all
/// requests with `no_server` when the only server that it knew left.
const MIN_DISCOVERY: Duration = Duration::from_millis(1_250);

/// Settings of the HTTP listener.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Key for operator routes and for `/metrics`.
    pub operator_key: String,
    /// Key of the backend server next to a sidecar.
    pub backend_key: String,
    /// Limits of the machine on this process.
    pub machine: overload::Machine,
    /// Maximum total bytes of callers' bodies in memory. The machine may allow less.
    pub body_memory: usize,
    /// Timeout for receiving a body.
    pub body_timeout: Duration,
}

/// State shared by all routes.
pub struct Front {
    node: Arc<node::Node>,
    auth: auth::Auth,
    bodies: Arc<edge_body::Pool>,
    /// Bytes of the pool of bodies.
    body_memory: usize,
    body_timeout: Duration,
    ready: AtomicBool,
}

impl Front {
    /// Creates the shared state for the routes of `node`.
    pub fn new(node: &Arc<node::Node>, settings: &Settings) -> Arc<Self> {
        let bounds = settings.machine.bounds(overload::Users::All);
        let body_memory = bounds.bodies.min(settings.body_memory);
        Arc::new(Self {
            node: Arc::clone(node),
            auth: auth::Auth::new(&settings.operator_key, &settings.backend_key),
            bodies: edge_body::Pool::new(body_memory),
            body_memory,
            body_timeout: settings.body_timeout,
            ready: AtomicBool::new(true),
        })
    }

    pub fn node(&self) -> &Arc<node::Node> {
        &self.node
    }

    /// Makes `/readyz` fail, so that the load balancer stops sending requests. Requests that still
    /// arrive are served.
    pub fn unready(&self) {
        self.ready.store(false, Ordering::Release);
    }
}

/// Builds the routes of the process's roles.
pub fn build(front: &Arc<Front>) -> rocket::Rocket<rocket::Build> {
    let conf = rocket::Config {
        log_level: config::LogLevel::Off,
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

/// Liveness check.
#[rocket::get("/healthz")]
fn healthz() -> &'static str {
    "ok\n"
}

/// Readiness check of the load balancer.
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
    let is_starting = node.entry().is_some() && now < MIN_DISCOVERY;
    if is_starting || (now < DISCOVERY_TIMEOUT && !knows_all_services(node).await) {
        return (
            Status::ServiceUnavailable,
            "backend servers not known yet\n",
        );
    }
    (Status::Ok, "ready\n")
}

/// Whether the entry knows a live backend server of every service. True without the entry role.
async fn knows_all_services(node: &node::Node) -> bool {
    let Some(entry) = node.entry() else {
        return true;
    };
    let live = entry.servers().await.unwrap_or_default();
    let conf = node.conf();
    let mut services = conf.service.keys();
    services.all(|name| live.iter().any(|server| server.service == *name))
}

#[rocket::get("/metrics")]
fn metrics(
    front: &rocket::State<Arc<Front>>,
    headers: auth::Headers<'_>,
) -> Result<(ContentType, String), answer::Error> {
    front.auth.operator(&headers)?;
    let kind = ContentType::new("application", "openmetrics-text")
        .with_params([("version", "1.0.0"), ("charset", "utf-8")]);
    Ok((kind, front.node.metrics().encode()))
}

#[rocket::catch(default)]
fn unmatched(status: Status, request: &rocket::Request<'_>) -> answer::Error {
    let cause = match status.code {
        401 => outcome::Cause::Unauthorized,
        404 | 405 => outcome::Cause::NotFound,
        413 => outcome::Cause::TooLarge,
        400..=499 => outcome::Cause::BadRequest,
        _ => outcome::Cause::Internal,
    };
    let text = format!("{} {}: {status}", request.method(), request.uri().path());
    answer::Error::new(outcome::Failure::not_run(cause, None, &text))
}
