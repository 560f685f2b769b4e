//! A process with an entry that drives backend servers itself, and control where it has a data
//! folder: its start, its reloads and its end.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use http::StatusCode;
use http::header;
use hyper::body;
use signal_hook::consts;
use slog::Drain;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::runtime;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;

use super::Direct;
use super::Read;
use super::Settings;
use super::dialect;
use super::health_check;
use super::listener;
use super::mesh;
use super::stop;
use crate::edge::control;
use crate::edge::event::Event;
use crate::edge::link;
use crate::edge::node;
use crate::edge::signal;
use crate::log_event;

/// Log records that may wait for standard output; what is over is dropped and counted.
const LOG_RING: usize = 1_024;

/// Time between two sweeps, and two looks at the settings file.
const SWEEP: Duration = Duration::from_secs(1);

/// All that a process is set up with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// For all roles.
    pub node: node::Settings,
    /// The control role.
    pub control: Option<control::Settings>,
    /// The entry.
    pub direct: Settings,
    /// Where callers come.
    pub front: Option<SocketAddr>,
    /// Where backend servers and operators call.
    pub admin: Option<SocketAddr>,
    /// Where the balancer asks whether callers may come.
    pub ready: Option<SocketAddr>,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
}

/// Reads the settings again.
pub type Reload = Box<dyn Fn() -> Result<Setup, Vec<String>> + Send>;

/// What a platform brings.
pub struct Platform<A> {
    /// Its language.
    pub dialect: Box<dyn dialect::Dialect>,
    /// Reads its configuration documents.
    pub read: Read,
    /// Makes the handler of calls of backend servers and operators.
    pub admin: fn(&Arc<Direct>) -> Arc<A>,
    /// Reads its settings again.
    pub reload: Reload,
}

/// Runs a process until it is told to stop.
pub fn run<A: listener::Handler>(setup: Setup, platform: Platform<A>) -> anyhow::Result<()> {
    let json = slog_json::Json::default(io::stdout()).fuse();
    let (drain, guard) = slog_async::Async::new(json)
        .chan_size(LOG_RING)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let log = slog::Logger::root(drain.fuse(), slog::o!("node" => setup.node.name.clone()));
    let signals =
        signal::listen(&[consts::SIGTERM, consts::SIGINT, consts::SIGHUP]).context("signals")?;
    // One thread: the machines have a part of a core, and a task's hop to another thread costs
    // more than the work it brings.
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("runtime")?;
    let ended = runtime.block_on(serve(setup, platform, &log, signals));
    if let Err(err) = &ended {
        log_event!(log, Event::RoleFailed, "cause" => format!("{err:#}"));
    }
    runtime.shutdown_background();
    drop(log);
    drop(guard);
    ended
}

async fn serve<A: listener::Handler>(
    setup: Setup,
    platform: Platform<A>,
    log: &slog::Logger,
    mut signals: mpsc::Receiver<i32>,
) -> anyhow::Result<()> {
    let node = node::Node::new(setup.node.clone(), log.clone());
    let link = setup.node.link;
    let links = bind(link).await.context("link listener")?;
    let datagrams = UdpSocket::bind(link).await.context("datagram socket")?;
    if let Some(control) = &setup.control {
        let role = control::Control::start(&node, control.clone()).context("control role")?;
        node.set_control(role);
    }
    let direct = Direct::new(&node, setup.direct.clone(), platform.dialect);
    let (doors, closing) = stop::Listeners::open();
    // Callers' comes last: a process that fails to start takes no connection that it would cut.
    let admin = bind_any(setup.admin, "operators' listener").await?;
    let mut looks = Vec::new();
    for addr in setup.ready.into_iter().chain(setup.metrics) {
        looks.push(bind(addr).await.context("readiness and metrics")?);
    }
    let front = bind_any(setup.front, "callers' listener").await?;
    if let Some(listener) = front {
        let handler = Arc::clone(&direct);
        let open = doors.callers.clone();
        tokio::spawn(listener::serve(listener, handler, closing.clone(), open));
    }
    if let Some(listener) = admin {
        let handler = (platform.admin)(&direct);
        let open = doors.operators.clone();
        tokio::spawn(listener::serve(listener, handler, closing, open));
    }
    let look = Arc::new(Look {
        direct: Arc::clone(&direct),
        leaving: AtomicBool::new(false),
    });
    let (_always, never) = watch::channel(listener::Stage::Open);
    for listener in looks {
        let handler = Arc::clone(&look);
        let open = listener::Connections::default();
        tokio::spawn(listener::serve(listener, handler, never.clone(), open));
    }
    let key = setup.node.process_key.clone();
    let handler = Arc::clone(&node);
    tokio::spawn(async move {
        let err = link::serve(links, &key, Arc::clone(&handler)).await;
        log_event!(handler.log(), Event::RoleFailed, "cause" => err.to_string());
    });
    tokio::spawn(mesh::run(Arc::clone(&direct), datagrams));
    tokio::spawn(Arc::clone(&direct).follow_documents(platform.read));
    tokio::spawn(Arc::clone(&direct).confirm());
    if setup.direct.serves {
        tokio::spawn(health_check::run(Arc::clone(&direct)));
    }
    log_event!(log, Event::Started, "link" => link, "front" => setup.front.map(|a| a.to_string()),
        "votes" => setup.direct.votes, "first_start" => setup.direct.first_start,
        "seeds" => format!("{:?}", setup.node.seeds));
    let grace = setup.grace;
    let mut settings = Reloaded::new(setup, platform.reload);
    let mut sweep = time::interval(SWEEP);
    sweep.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            signal = signals.recv() => match signal {
                Some(consts::SIGHUP) => settings.reload(&node),
                signal => {
                    log_event!(log, Event::Draining, "signal" => signal.unwrap_or_default());
                    break;
                }
            },
            _ = sweep.tick() => {
                direct.sweep();
                tell_left_out(&direct);
                settings.reload_quietly(&node);
            }
        }
    }
    look.leaving.store(true, Ordering::Release);
    stop::drain(&direct, &doors, grace, &mut signals).await;
    let cut = stop::log_cut(&direct);
    log_event!(log, Event::Stopped, "connections" => doors.callers.count(),
        "calls" => doors.operators.count(), "cut" => cut);
    Ok(())
}

/// The settings that a process runs with, and where newer ones come from.
struct Reloaded {
    seeds: Vec<SocketAddr>,
    reload: Reload,
    /// Whether the last reading had findings, which are logged once.
    refused: bool,
}

impl Reloaded {
    fn new(setup: Setup, reload: Reload) -> Self {
        let seeds = setup.node.seeds;
        Self {
            seeds,
            reload,
            refused: false,
        }
    }

    fn reload(&mut self, node: &node::Node) {
        self.refused = false;
        self.take(node, true);
    }

    /// The file may also change without a signal.
    fn reload_quietly(&mut self, node: &node::Node) {
        self.take(node, false);
    }

    fn take(&mut self, node: &node::Node, loud: bool) {
        match (self.reload)() {
            Ok(setup) => {
                self.refused = false;
                let changed = setup.node.seeds != self.seeds;
                if changed {
                    self.seeds.clone_from(&setup.node.seeds);
                    node.set_seeds(setup.node.seeds);
                }
                if changed || loud {
                    log_event!(node.log(), Event::SettingsLoaded, "changed" => changed,
                        "seeds" => format!("{:?}", self.seeds));
                }
            }
            Err(findings) if !self.refused => {
                self.refused = true;
                for finding in findings {
                    log_event!(node.log(), Event::SettingsRefused, "finding" => finding);
                }
            }
            Err(_) => {}
        }
    }
}

fn tell_left_out(direct: &Direct) {
    for (number, count) in direct.log_limiter.take_suppressed() {
        log_event!(direct.node.log(), Event::LinesLeftOut, "of" => number, "count" => count);
    }
}

/// Answers the balancer, and whoever reads metrics.
struct Look {
    direct: Arc<Direct>,
    leaving: AtomicBool,
}

impl listener::Handler for Look {
    async fn handle(
        self: &Arc<Self>,
        request: http::Request<body::Incoming>,
    ) -> http::Response<listener::Body> {
        if request.uri().path().ends_with("/metrics") {
            let text = self.direct.node.metrics().encode();
            let mut response = http::Response::new(listener::full(text));
            let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
            let kind = header::HeaderValue::from_static(kind);
            response.headers_mut().insert(header::CONTENT_TYPE, kind);
            return response;
        }
        let ready = !self.leaving.load(Ordering::Acquire) && self.direct.ready();
        let mut response = http::Response::new(listener::full(""));
        if !ready {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }

    fn idle_timeout(&self) -> Duration {
        Duration::from_secs(10)
    }
}

async fn bind_any(
    addr: Option<SocketAddr>,
    what: &'static str,
) -> anyhow::Result<Option<TcpListener>> {
    match addr {
        Some(addr) => bind(addr).await.context(what).map(Some),
        None => Ok(None),
    }
}

/// Binds `addr`; a former life of the process may still be closing.
async fn bind(addr: SocketAddr) -> anyhow::Result<TcpListener> {
    let mut tries = 0;
    loop {
        match TcpListener::bind(addr).await {
            Ok(listener) => return Ok(listener),
            Err(err) if tries >= 20 => return Err(err).with_context(|| addr.to_string()),
            Err(_) => tries += 1,
        }
        time::sleep(Duration::from_millis(50)).await;
    }
}
