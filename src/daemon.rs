//! `wigeonbarrowd`: one process of the serving layer, with the roles that its settings give it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use signal_hook::consts;
use slog::Drain;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use wigeonbarrow::edge::conf;
use wigeonbarrow::edge::control;
use wigeonbarrow::edge::entry;
use wigeonbarrow::edge::event::Event;
use wigeonbarrow::edge::guard;
use wigeonbarrow::edge::http;
use wigeonbarrow::edge::link;
use wigeonbarrow::edge::listener as edge_listener;
use wigeonbarrow::edge::node;
use wigeonbarrow::edge::settings;
use wigeonbarrow::edge::sidecar;
use wigeonbarrow::edge::signal;
use wigeonbarrow::log_event;
use wigeonbarrow::overload;
use wigeonbarrow::wire::member;

/// Time for another control process to take the leadership over.
const HAND_OVER: Duration = Duration::from_secs(3);

/// Time for connections to end once nothing is in progress.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(4);

/// Connections that may wait for their accept.
const BACKLOG: u32 = 1_024;

/// Time for callers to be told that their requests end with the process.
const DELIVERY: Duration = Duration::from_millis(500);

/// Pause between two looks at what is still in progress.
const DRAIN_POLL: Duration = Duration::from_millis(50);

fn main() {
    let settings = match settings::read() {
        Ok(settings) => settings,
        Err(findings) => {
            for finding in findings {
                eprintln!("wigeonbarrowd: {finding}");
            }
            std::process::exit(settings::EXIT_SETTINGS);
        }
    };
    let log = logger(settings.log);
    if let Err(err) = run(&settings, &log) {
        log_event!(log, Event::RoleFailed, "cause" => format!("{err:#}"));
        // The log is written by a thread of its own: let it end before the process does.
        drop(log);
        eprintln!("wigeonbarrowd: {err:#}");
        std::process::exit(settings::EXIT_FAILED);
    }
}

fn logger(form: settings::Log) -> slog::Logger {
    let drain = match form {
        settings::Log::Json => {
            let json = slog_json::Json::default(std::io::stderr()).fuse();
            slog_async::Async::new(json).build().fuse()
        }
        settings::Log::Term => {
            let plain = slog_term::PlainDecorator::new(std::io::stderr());
            let term = slog_term::FullFormat::new(plain).build().fuse();
            slog_async::Async::new(term).build().fuse()
        }
    };
    slog::Logger::root(drain, slog::o!())
}

fn run(settings: &settings::Settings, log: &slog::Logger) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.workers)
        .thread_name("edge")
        .enable_all()
        .build()
        .context("runtime")?;
    let signals = signal::listen(&[consts::SIGTERM, consts::SIGINT]).context("signals")?;
    runtime.block_on(serve(settings, log, signals))
}

async fn serve(
    settings: &settings::Settings,
    log: &slog::Logger,
    mut signals: mpsc::Receiver<i32>,
) -> anyhow::Result<()> {
    let node = node::Node::new(settings.node.clone(), log.clone());
    let listener = TcpListener::bind(settings.link_listen)
        .await
        .with_context(|| format!("link listener {}", settings.link_listen))?;
    start_roles(&node, settings)?;
    let link_key = settings.node.process_key.clone();
    let handler = Arc::clone(&node);
    let mut links = tokio::spawn(async move { link::serve(listener, &link_key, handler).await });
    let front = http::Front::new(&node, &settings.http);
    let routes = http::dispatch::Routes::launch(http::build(&front)).await?;
    let web = edge_listener::bind(settings.http.listen, BACKLOG)
        .with_context(|| format!("HTTP listener {}", settings.http.listen))?;
    let refused = guard::Count::new(node.metrics());
    let users = overload::Users::All;
    let guard = guard::Guard::new(users, &settings.http.machine, &refused, log);
    let (stage, stages) = watch::channel(edge_listener::Stage::Open);
    let open = Arc::clone(&guard);
    tokio::spawn(edge_listener::serve(web, routes, stages, open, None));
    log_event!(log, Event::Started, "name" => &settings.node.name, "http" => settings.http.listen, "link" => settings.link_listen);
    tokio::select! {
        ended = &mut links => {
            anyhow::bail!("the link listener ended: {ended:?}");
        }
        signal = signals.recv() => {
            log_event!(log, Event::Draining, "signal" => signal.unwrap_or_default());
        }
    }
    drain(&node, &front, settings, &mut signals).await;
    if let Some(control) = node.control() {
        control.transfer_leadership(HAND_OVER).await;
    }
    // Fails only if the listener has ended already.
    let _ = stage.send(edge_listener::Stage::Closing);
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, closed(&guard)).await;
    log_event!(log, Event::Stopped, "in_progress" => node.in_progress());
    Ok(())
}

fn start_roles(node: &Arc<node::Node>, settings: &settings::Settings) -> anyhow::Result<()> {
    if let Some(control) = &settings.control {
        let role = control::Control::start(node, control.clone()).context("control role")?;
        node.set_control(role);
    }
    if settings.entry {
        node.set_entry(entry::Entry::start(node));
        let sources = Arc::clone(node);
        let follow = conf::follow(Arc::clone(node), move || sources.control_addrs());
        tokio::spawn(follow);
    }
    if let Some(sidecar) = &settings.sidecar {
        node.set_sidecar(sidecar::Sidecar::start(node, sidecar.clone()));
        if !settings.entry {
            let sources = Arc::clone(node);
            let first = sidecar.entries.clone();
            let follow = conf::follow(Arc::clone(node), move || entries(&sources, &first));
            tokio::spawn(follow);
        }
    }
    Ok(())
}

/// Entries that relay the configuration to a sidecar: those known, else the first.
fn entries(node: &node::Node, first: &[std::net::SocketAddr]) -> Vec<std::net::SocketAddr> {
    let view = node.view();
    let known: Vec<_> = view
        .peers
        .iter()
        .filter(|peer| peer.role == member::Role::Entry)
        .map(|peer| peer.link)
        .collect();
    if known.is_empty() {
        return first.to_vec();
    }
    known
}

/// Ends the process's work without cutting any: first the balancer is told, then new work is
/// refused, then what is in progress goes on to its end. What has not ended at the drain limit, or
/// at a second signal, is told so.
async fn drain(
    node: &node::Node,
    front: &http::Front,
    settings: &settings::Settings,
    signals: &mut mpsc::Receiver<i32>,
) {
    front.unready();
    let drained = async {
        if settings.entry {
            tokio::time::sleep(settings.drain_notice).await;
        }
        node.drain();
        let least = Instant::now() + settings.drain_least;
        // What has not ended by then is told so below.
        let _ = tokio::time::timeout(settings.drain_limit, idle(node, least)).await;
    };
    tokio::select! {
        () = drained => {}
        _ = signals.recv() => node.drain(),
    }
    node.lifetime().end_by(Instant::now());
    // What has not ended by then is cut.
    let _ = tokio::time::timeout(DELIVERY, idle(node, Instant::now())).await;
}

/// Waits until nothing is in progress, and until `least`: a leaving sidecar tells the entries before
/// it goes, also when it has nothing to do.
async fn idle(node: &node::Node, least: Instant) {
    while node.in_progress() > 0 || Instant::now() < least {
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

/// Waits until no connection is open.
async fn closed(guard: &guard::Guard) {
    while guard.open_connections() > 0 {
        tokio::time::sleep(DRAIN_POLL).await;
    }
}
