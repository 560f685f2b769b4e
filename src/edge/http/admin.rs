//! `/admin/v1`: the operators' API, which the command-line tool uses.

use std::sync::Arc;
use std::time::Duration;

use rocket::http::ContentType;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Front;
use super::answer;
use super::auth;
use super::body;
use crate::control::replica;
use crate::control::state;
use crate::edge::control as edge_control;
use crate::edge::node;
use crate::edge::order;
use crate::wire::agree;
use crate::wire::member;
use crate::wire::outcome;
use crate::wire::rpc;

/// Timeout for committing a configuration change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before an operator should retry after a busy process, in milliseconds.
const BUSY_RETRY_MS: u64 = 200;

/// Maximum number of revisions in the history.
const MAX_HISTORY: usize = 100;

type Json = Result<(ContentType, String), answer::Error>;

/// The routes, below `/admin/v1`.
pub fn routes() -> Vec<rocket::Route> {
    rocket::routes![
        status,
        config,
        change,
        drain,
        servers,
        orders,
        history,
        revision_files,
        members,
        change_members,
        zones,
        evacuate_zone,
        restore_zone
    ]
}

/// The status of a process.
#[derive(Serialize)]
struct Status<'a> {
    name: &'a str,
    zone: &'a str,
    roles: Vec<&'static str>,
    incarnation: u64,
    uptime_seconds: u64,
    /// Revision of the configuration that this process uses.
    revision: u64,
    /// Newest revision reported by any process.
    heard: u64,
    draining: bool,
    in_progress: usize,
    view: &'a rpc::View,
    /// All processes that recently sent a hello to this control process.
    present: Vec<member::Peer>,
    control: Option<replica::Status>,
}

#[rocket::get("/status")]
async fn status(front: &rocket::State<Arc<Front>>, headers: auth::Headers<'_>) -> Json {
    front.auth.operator(&headers)?;
    let node = front.node();
    let roles = [
        ("entry", node.entry().is_some()),
        ("sidecar", node.sidecar().is_some()),
        ("control", node.control().is_some()),
    ];
    let control_status = match node.control() {
        Some(role) => role.status().await,
        None => None,
    };
    let status = Status {
        name: &node.settings().name,
        zone: &node.settings().zone,
        roles: roles.iter().filter(|r| r.1).map(|r| r.0).collect(),
        incarnation: node.incarnation().0,
        uptime_seconds: node.now().as_secs(),
        revision: node.conf_store().revision(),
        heard: node.conf_store().heard(),
        draining: node.draining(),
        in_progress: node.in_progress(),
        view: &node.view(),
        present: node.control().map(|role| role.live()).unwrap_or_default(),
        control: control_status,
    };
    json(&status)
}

/// A backend server, by its last announcement to this entry.
#[derive(Serialize)]
struct Server {
    name: String,
    service: String,
    kind: member::Kind,
    zone: String,
    link: std::net::SocketAddr,
    models: Vec<String>,
    leaving: bool,
    load: member::Load,
}

#[rocket::get("/servers")]
async fn servers(front: &rocket::State<Arc<Front>>, headers: auth::Headers<'_>) -> Json {
    front.auth.operator(&headers)?;
    let Some(role) = front.node().entry() else {
        return Err(answer::Error::bad_request(
            "only an entry lists backend servers",
        ));
    };
    let Some(live) = role.servers().await else {
        return Err(busy());
    };
    let mut list: Vec<Server> = live.into_iter().map(Server::from).collect();
    list.sort_by(|a, b| a.name.cmp(&b.name));
    json(&list)
}

impl From<member::Announce> for Server {
    fn from(announce: member::Announce) -> Self {
        Self {
            name: announce.server,
            service: announce.service,
            kind: announce.kind,
            zone: announce.zone,
            link: announce.link,
            models: announce.models,
            leaving: announce.leaving,
            load: announce.load,
        }
    }
}

/// The files of a revision of the configuration.
#[derive(Serialize)]
struct Folder {
    revision: u64,
    files: Vec<agree::File>,
}

#[rocket::get("/config")]
fn config(front: &rocket::State<Arc<Front>>, headers: auth::Headers<'_>) -> Json {
    front.auth.operator(&headers)?;
    let store = front.node().conf_store();
    json(&Folder {
        revision: store.revision(),
        files: store.files(),
    })
}

/// A revision in the history.
#[derive(Serialize)]
struct Row {
    revision: u64,
    author: String,
    note: String,
    unix_ms: u64,
}

/// The latest revisions, newest first.
#[rocket::get("/history")]
async fn history(front: &rocket::State<Arc<Front>>, headers: auth::Headers<'_>) -> Json {
    front.auth.operator(&headers)?;
    let rows = control(front)?
        .history(MAX_HISTORY)
        .await
        .ok_or_else(busy)?;
    let rows: Vec<Row> = rows.into_iter().map(Row::from).collect();
    json(&rows)
}

impl From<state::Meta> for Row {
    fn from(meta: state::Meta) -> Self {
        Self {
            revision: meta.revision,
            author: meta.author,
            note: meta.note,
            unix_ms: meta.wall_ms,
        }
    }
}

/// The files of an earlier revision.
#[rocket::get("/config/<revision>")]
async fn revision_files(
    front: &rocket::State<Arc<Front>>,
    headers: auth::Headers<'_>,
    revision: u64,
) -> Json {
    front.auth.operator(&headers)?;
    let files = control(front)?.files(revision).await.ok_or_else(busy)?;
    let Some(files) = files else {
        let text = format!("the content of revision {revision} is not kept");
        let failure = outcome::Failure::not_run(outcome::Cause::NotFound, None, &text);
        return Err(answer::Error::new(failure));
    };
    json(&Folder { revision, files })
}

/// The status of this control process, with the members that it knows.
#[rocket::get("/members")]
async fn members(front: &rocket::State<Arc<Front>>, headers: auth::Headers<'_>) -> Json {
    front.auth.operator(&headers)?;
    json(&control(front)?.status().await.ok_or_else(busy)?)
}

/// Adds, removes or replaces a member.
#[rocket::post("/members")]
async fn change_members(
    front: &rocket::State<Arc<Front>>,
    headers: auth::Headers<'_>,
    body: body::Unread,
) -> Json {
    let order = read_json(front, &headers, body).await?;
    json(&control(front)?.order(order).await)
}

/// Checks the operators' key and parses the JSON body.
async fn read_json<T: DeserializeOwned>(
    front: &Front,
    headers: &auth::Headers<'_>,
    body: body::Unread,
) -> Result<T, answer::Error> {
    front.auth.operator(headers)?;
    let body = body.read(front).await?;
    serde_json::from_slice(&body.bytes).map_err(|err| answer::Error::bad_request(&err.to_string()))
}

fn control(front: &Front) -> Result<&Arc<edge_control::Control>, answer::Error> {
    let role = front.node().control();
    role.ok_or_else(|| answer::Error::bad_request("this is not a control process"))
}

fn busy() -> answer::Error {
    let text = "the process is busy";
    let failure = outcome::Failure::not_run(outcome::Cause::Busy, Some(BUSY_RETRY_MS), text);
    answer::Error::new(failure)
}

#[rocket::post("/config")]
async fn change(
    front: &rocket::State<Arc<Front>>,
    headers: auth::Headers<'_>,
    body: body::Unread,
) -> Json {
    let change: agree::Change = read_json(front, &headers, body).await?;
    let command = agree::Command::Configure(change);
    let verdict = front.node().propose(command, CHANGE_TIMEOUT).await;
    json(&verdict)
}

/// Sends an order to a backend server. Returns its fencing number.
#[rocket::post("/orders")]
async fn orders(
    front: &rocket::State<Arc<Front>>,
    headers: auth::Headers<'_>,
    body: body::Unread,
) -> Json {
    let wish: order::Wish = read_json(front, &headers, body).await?;
    let Some(role) = front.node().entry() else {
        return Err(answer::Error::bad_request("orders are given at an entry"));
    };
    let live = role.servers().await.unwrap_or_default();
    let Some(server) = live.iter().find(|announce| announce.server == wish.server) else {
        let text = format!("no backend server {:?} is present", wish.server);
        let failure = outcome::Failure::not_run(outcome::Cause::NoServer, None, &text);
        return Err(answer::Error::new(failure));
    };
    let placed = order::place(front.node(), server.link, wish).await;
    json(&placed.map_err(answer::Error::new)?)
}

/// The evacuated zones, read through the quorum.
#[rocket::get("/zones")]
async fn zones(front: &rocket::State<Arc<Front>>, headers: auth::Headers<'_>) -> Json {
    front.auth.operator(&headers)?;
    propose_evacuation(front, agree::Command::Evacuations).await
}

/// Evacuates a zone: its backend servers get no new work. Returns the verdict with the evacuated zones.
#[rocket::post("/zones/<zone>/evacuate")]
async fn evacuate_zone(
    front: &rocket::State<Arc<Front>>,
    headers: auth::Headers<'_>,
    zone: String,
) -> Json {
    front.auth.operator(&headers)?;
    if !is_known_zone(front.node(), &zone).await {
        let text = format!("no process or backend server is known in zone {zone:?}");
        return Err(answer::Error::bad_request(&text));
    }
    let evacuated = true;
    propose_evacuation(front, agree::Command::Evacuate { zone, evacuated }).await
}

/// Withdraws the evacuation of a zone. Returns the verdict with the evacuated zones.
#[rocket::post("/zones/<zone>/restore")]
async fn restore_zone(
    front: &rocket::State<Arc<Front>>,
    headers: auth::Headers<'_>,
    zone: String,
) -> Json {
    front.auth.operator(&headers)?;
    let evacuated = false;
    propose_evacuation(front, agree::Command::Evacuate { zone, evacuated }).await
}

async fn propose_evacuation(front: &Front, command: agree::Command) -> Json {
    let node = front.node();
    json(&node.propose_evacuation(command, CHANGE_TIMEOUT).await)
}

/// Whether a process or a backend server in this zone is known here.
async fn is_known_zone(node: &node::Node, zone: &str) -> bool {
    let present = node.control().map(|role| role.live()).unwrap_or_default();
    let servers = match node.entry() {
        Some(role) => role.servers().await.unwrap_or_default(),
        None => Vec::new(),
    };
    let view = node.view();
    let mut processes = view.peers.iter().chain(&present);
    node.settings().zone == zone
        || processes.any(|peer| peer.zone == zone)
        || servers.iter().any(|server| server.zone == zone)
}

/// Drains this process: no new work is accepted, and work in progress continues. Returns the number
/// of requests in progress.
#[rocket::post("/drain")]
fn drain(front: &rocket::State<Arc<Front>>, headers: auth::Headers<'_>) -> Json {
    front.auth.operator(&headers)?;
    front.node().drain();
    json(&front.node().in_progress())
}

fn json<T: Serialize>(value: &T) -> Json {
    match serde_json::to_string(value) {
        Ok(text) => Ok((ContentType::JSON, text)),
        Err(err) => Err(answer::Error::new(outcome::Failure::not_run(
            outcome::Cause::Internal,
            None,
            &err.to_string(),
        ))),
    }
}
