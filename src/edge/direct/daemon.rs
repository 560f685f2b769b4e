//! A process with an entry without sidecars, and the control role if it has a data folder: its
//! start, its reloads and its end.

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
use super::mesh;
use super::stop;
use crate::edge::control;
use crate::edge::event::Event;
use crate::edge::guard;
use crate::edge::link;
use crate::edge::listener;
use crate::edge::node;
use crate::edge::signal;
use crate::log_event;
use crate::overload;

/// Log records that may wait for standard output. Records beyond that are dropped and counted.
const LOG_QUEUE: usize = 1_024;

/// Time between two sweeps, and between two checks of the settings file.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Connections of others than callers that may wait for their accept.
const BACKLOG: u32 = 1_024;

/// Largest head of a readiness check.
const HEAD_BYTES: usize = 8 << 10;

/// All settings of a process.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Settings that all roles need.
    pub node: node::Settings,
    /// Settings of the control role. `None`: the process has none.
    pub control: Option<control::Settings>,
    /// Settings of the entry.
    pub direct: Settings,
    /// Listener address for callers.
    pub front: Option<SocketAddr>,
    /// Listener address for backend servers and operators.
    pub admin: Option<SocketAddr>,
    /// Listener address for the load balancer's readiness checks.
    pub ready: Option<SocketAddr>,
    /// Listener address for metrics.
    pub metrics: Option<SocketAddr>,
    /// Time from the stop signal until the process is killed.
    pub grace: Duration,
}

/// Reads the settings again; on failure returns their findings.
pub type Reload = Box<dyn Fn() -> Result<Setup, Vec<String>> + Send>;

/// The parts that differ from platform to platform.
pub struct Platform<A> {
    /// Header and body formats.
    pub dialect: Box<dyn dialect::Dialect>,
    /// Parses configuration documents.
    pub read: Read,
    /// Creates the handler for calls of backend servers and operators.
    pub admin: fn(&Arc<Direct>) -> Arc<A>,
    /// Reads the settings again.
    pub reload: Reload,
}

/// Runs a process until its stop signal.
pub fn run<A: listener::Handler>(setup: Setup, platform: Platform<A>) -> anyhow::Result<()> {
    let json = slog_json::Json::default(io::stdout()).fuse();
    let (drain, guard) = slog_async::Async::new(json)
        .chan_size(LOG_QUEUE)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let log = slog::Logger::root(drain.fuse(), slog::o!("node" => setup.node.name.clone()));
    let signals =
        signal::listen(&[consts::SIGTERM, consts::SIGINT, consts::SIGHUP]).context("signals")?;
    // One thread: the machines have a part of a core, and moving a task to another thread costs
    // more than the task's work.
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("runtime")?;
    let result = runtime.block_on(serve(setup, platform, &log, signals));
    if let Err(err) = &result {
        log_event!(log, Event::RoleFailed, "cause" => format!("{err:#}"));
    }
    runtime.shutdown_background();
    drop(log);
    drop(guard);
    result
}

async fn serve<A: listener::Handler>(
    setup: Setup,
    platform: Platform<A>,
    log: &slog::Logger,
    mut signals: mpsc::Receiver<i32>,
) -> anyhow::Result<()> {
    let node = node::Node::new(setup.node.clone(), log.clone());
    let link = setup.node.link;
    let links = bind(link, BACKLOG).await.context("link listener")?;
    let datagrams = UdpSocket::bind(link).await.context("datagram socket")?;
    if let Some(control) = &setup.control {
        let role = control::Control::start(&node, control.clone()).context("control role")?;
        node.set_control(role);
    }
    let direct = Direct::new(&node, setup.direct.clone(), platform.dialect);
    let refused = guard::Count::new(node.metrics());
    let guard = |users| guard::Guard::new(users, &setup.direct.machine, &refused, log);
    let (listeners, closing) = stop::Listeners::open(
        guard(overload::Users::Callers),
        guard(overload::Users::Operators),
    );
    // The callers' listener comes last: a process that fails to start accepts no connection that it
    // would then cut.
    let admin = bind_any(setup.admin, BACKLOG, "operators' listener").await?;
    let mut status_listeners = Vec::new();
    for addr in setup.ready.into_iter().chain(setup.metrics) {
        status_listeners.push(bind(addr, BACKLOG).await.context("readiness and metrics")?);
    }
    let front = bind_any(setup.front, listener::BACKLOG, "callers' listener").await?;
    if let Some(listener) = front {
        let handler = Arc::clone(&direct);
        let guard = Arc::clone(&listeners.callers);
        let gate = Some(Arc::default());
        tokio::spawn(listener::serve(
            listener,
            handler,
            closing.clone(),
            guard,
            gate,
        ));
    }
    if let Some(listener) = admin {
        let handler = (platform.admin)(&direct);
        let guard = Arc::clone(&listeners.operators);
        tokio::spawn(listener::serve(listener, handler, closing, guard, None));
    }
    let status = Arc::new(Status {
        direct: Arc::clone(&direct),
        draining: AtomicBool::new(false),
    });
    let (_sender, always_open) = watch::channel(listener::Stage::Open);
    for listener in status_listeners {
        let handler = Arc::clone(&status);
        tokio::spawn(listener::serve(
            listener,
            handler,
            always_open.clone(),
            guard(overload::Users::Status),
            None,
        ));
    }
    let key = setup.node.process_key.clone();
    let handler = Arc::clone(&node);
    tokio::spawn(async move {
        let err = link::serve(links, &key, Arc::clone(&handler)).await;
        log_event!(handler.log(), Event::RoleFailed, "cause" => err.to_string());
    });
    tokio::spawn(mesh::run(Arc::clone(&direct), datagrams));
    tokio::spawn(Arc::clone(&direct).run_queue());
    tokio::spawn(Arc::clone(&direct).follow_documents(platform.read));
    tokio::spawn(Arc::clone(&direct).follow_evacuations());
    tokio::spawn(Arc::clone(&direct).confirm());
    if setup.direct.serves {
        tokio::spawn(health_check::run(Arc::clone(&direct)));
    }
    log_event!(log, Event::Started, "link" => link, "front" => setup.front.map(|a| a.to_string()),
        "votes" => setup.direct.votes, "first_start" => setup.direct.first_start,
        "seeds" => format!("{:?}", setup.node.seeds));
    let grace = setup.grace;
    let mut settings = Reloader::new(setup, platform.reload);
    let mut sweep = time::interval(SWEEP_PERIOD);
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
                log_suppressed(&direct);
                settings.reload_quietly(&node);
            }
        }
    }
    status.draining.store(true, Ordering::Release);
    stop::drain(&direct, &listeners, grace, &mut signals).await;
    let cut = stop::log_cut(&direct);
    log_event!(log, Event::Stopped, "connections" => listeners.callers.open_connections(),
        "calls" => listeners.operators.open_connections(), "cut" => cut);
    Ok(())
}

/// The settings that may change while the process runs, and their source.
struct Reloader {
    seeds: Vec<SocketAddr>,
    reload: Reload,
    /// Whether the last reload had findings. They are logged once.
    is_rejected: bool,
}

impl Reloader {
    fn new(setup: Setup, reload: Reload) -> Self {
        let seeds = setup.node.seeds;
        Self {
            seeds,
            reload,
            is_rejected: false,
        }
    }

    /// Reloads after a signal, and logs also if nothing changed.
    fn reload(&mut self, node: &node::Node) {
        self.is_rejected = false;
        self.apply(node, true);
    }

    /// Reloads without a signal, since the file may have changed, and logs only changes.
    fn reload_quietly(&mut self, node: &node::Node) {
        self.apply(node, false);
    }

    fn apply(&mut self, node: &node::Node, logs_always: bool) {
        match (self.reload)() {
            Ok(setup) => {
                self.is_rejected = false;
                let changed = setup.node.seeds != self.seeds;
                if changed {
                    self.seeds.clone_from(&setup.node.seeds);
                    node.set_seeds(setup.node.seeds);
                }
                if changed || logs_always {
                    log_event!(node.log(), Event::SettingsLoaded, "changed" => changed,
                        "seeds" => format!("{:?}", self.seeds));
                }
            }
            Err(findings) if !self.is_rejected => {
                self.is_rejected = true;
                for finding in findings {
                    log_event!(node.log(), Event::SettingsRefused, "finding" => finding);
                }
            }
            Err(_) => {}
        }
    }
}

/// Logs how many lines of each event were suppressed.
fn log_suppressed(direct: &Direct) {
    direct.flush_cut_ids();
    for (number, count) in direct.log_limiter.take_suppressed() {
        log_event!(direct.node.log(), Event::LinesLeftOut, "of" => number, "count" => count);
    }
}

/// Serves readiness and metrics.
struct Status {
    direct: Arc<Direct>,
    draining: AtomicBool,
}

impl listener::Handler for Status {
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
        let ready = !self.draining.load(Ordering::Acquire) && self.direct.ready();
        let mut response = http::Response::new(listener::full(""));
        if !ready {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }

    fn limits(&self) -> listener::Limits {
        listener::Limits {
            idle: Duration::from_secs(10),
            head: Duration::from_secs(3),
            head_bytes: HEAD_BYTES,
        }
    }
}

async fn bind_any(
    addr: Option<SocketAddr>,
    backlog: u32,
    what: &'static str,
) -> anyhow::Result<Option<TcpListener>> {
    match addr {
        Some(addr) => bind(addr, backlog).await.context(what).map(Some),
        None => Ok(None),
    }
}

/// Binds `addr`, with retries: the former process may still be closing.
async fn bind(addr: SocketAddr, backlog: u32) -> anyhow::Result<TcpListener> {
    let mut retries = 0;
    loop {
        match listener::bind(addr, backlog) {
            Ok(listener) => return Ok(listener),
            Err(err) if retries >= 20 => return Err(err).with_context(|| addr.to_string()),
            Err(_) => retries += 1,
        }
        time::sleep(Duration::from_millis(50)).await;
    }
}
