//! Requests over real links within one process: entry, sidecars and stand-in backend servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use testbed::engine::cache;
use testbed::engine::life;
use testbed::engine::route;
use testbed::engine::scheduler;
use testbed::http;
use testbed::proxy;
use testbed::service;
use testbed::token;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use wigeonbarrow::edge::entry;
use wigeonbarrow::edge::link;
use wigeonbarrow::edge::node;
use wigeonbarrow::edge::sidecar;
use wigeonbarrow::wire::agree;
use wigeonbarrow::wire::id;
use wigeonbarrow::wire::member;
use wigeonbarrow::wire::outcome::Cause;
use wigeonbarrow::wire::outcome::Ran;
use wigeonbarrow::wire::run;

const KEY: &str = "key-of-the-test";

/// Longest wait of the tests. No assertion depends on its length.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

async fn process(name: &str) -> Arc<node::Node> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = listener.local_addr().unwrap();
    process_at(name, listener, link)
}

/// A process that others reach at `link`.
fn process_at(name: &str, listener: TcpListener, link: SocketAddr) -> Arc<node::Node> {
    let settings = node::Settings {
        name: name.to_owned(),
        zone: "zone-1".to_owned(),
        link,
        process_key: KEY.to_owned(),
        seeds: Vec::new(),
    };
    let node = node::Node::new(settings, slog::Logger::root(slog::Discard, slog::o!()));
    let handler = Arc::clone(&node);
    tokio::spawn(async move { link::serve(listener, KEY, handler).await });
    node
}

async fn entry() -> Arc<node::Node> {
    let node = process("entry-1").await;
    let hash = wigeonbarrow::config::key_hash("w");
    let text = format!(
        "[service.pool]\nkind = \"engine\"\n[service.portal]\nkind = \"plain\"\n\
         [model.m]\nservice = \"pool\"\n[workspace.w]\nkey_hash = \"{hash}\"\n"
    );
    let file = agree::File {
        name: "10-test.toml".to_owned(),
        text,
    };
    node.conf_store().install(1, &[file]).expect("no findings");
    node.set_entry(entry::Entry::start(&node));
    node
}

/// Adds the sidecar role.
fn add_sidecar(node: &Arc<node::Node>, entry: &node::Node) {
    let settings = sidecar::Settings {
        entries: vec![entry.settings().link],
        backend_key: KEY.to_owned(),
    };
    node.set_sidecar(sidecar::Sidecar::start(node, settings));
}

/// Announces a backend server periodically until the test ends.
fn announce(node: &Arc<node::Node>, announcement: sidecar::Announcement) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        loop {
            node.sidecar().unwrap().announce(announcement.clone());
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    });
}

async fn engine(number: u32, entry: &node::Node) -> (Arc<node::Node>, Arc<life::Life>) {
    let node = process(&format!("pool-{number}")).await;
    engine_of(node, entry, 1_000).await
}

async fn engine_of(
    node: Arc<node::Node>,
    entry: &node::Node,
    token_micros: u64,
) -> (Arc<node::Node>, Arc<life::Life>) {
    add_sidecar(&node, entry);
    let name = node.settings().name.clone();
    let life = life::Life::new(life::Settings {
        scheduler: scheduler::Settings {
            slots: 8,
            queue: 8,
            memory: 400_000,
            prefill_rate: 1_000_000,
            token_micros,
            step_tokens: 4_096,
            cache: cache::Settings {
                tokens: 100_000,
                delay: 0,
                gaps: 0.0,
                seed: 1,
            },
        },
        models: vec!["m".to_owned()],
        fencing: true,
        lag: 0,
        crash_on: String::new(),
        load: Duration::ZERO,
        journal: None,
    });
    let life = Arc::new(life.expect("an engine"));
    let worker = Arc::clone(&life);
    std::thread::spawn(move || worker.work());
    let rocket = route::server(Arc::clone(&life), KEY.to_owned(), Arc::default());
    let addr = serve(rocket).await;
    announce(
        &node,
        sidecar::Announcement {
            server: name,
            service: "pool".to_owned(),
            kind: member::Kind::Engine,
            url: format!("http://{addr}"),
            incarnation: id::Incarnation(life.incarnation),
            models: vec!["m".to_owned()],
            slots: 8,
            memory_tokens: 400_000,
            ttl_ms: 3_000,
            leaving: false,
        },
    );
    (node, life)
}

async fn portal(entry: &node::Node) -> (Arc<node::Node>, Arc<service::Service>) {
    let node = process("portal-1").await;
    add_sidecar(&node, entry);
    let service = Arc::new(service::Service::open(Duration::ZERO, None).unwrap());
    let addr = serve(service::server(Arc::clone(&service), KEY.to_owned())).await;
    announce(
        &node,
        sidecar::Announcement {
            server: "portal-1".to_owned(),
            service: "portal".to_owned(),
            kind: member::Kind::Plain,
            url: format!("http://{addr}"),
            incarnation: id::Incarnation(1),
            models: Vec::new(),
            slots: 8,
            memory_tokens: 0,
            ttl_ms: 3_000,
            leaving: false,
        },
    );
    (node, service)
}

async fn serve(rocket: rocket::Rocket<rocket::Build>) -> SocketAddr {
    let listen = "127.0.0.1:0".parse().unwrap();
    http::serve(rocket, listen).await.unwrap().addr
}

fn submission(number: u128, repeatable: bool, body: &str) -> entry::Submission {
    entry::Submission {
        request: id::Request(number),
        workspace: "w".to_owned(),
        service: "pool".to_owned(),
        limit: Duration::from_secs(20),
        repeatable,
        key: None,
        body: Bytes::copy_from_slice(body.as_bytes()),
        work: run::Work::Prompt {
            model: "m".to_owned(),
            prompt_tokens: 0,
            max_tokens: 20,
            delivered: Vec::new(),
            context: Vec::new(),
        },
    }
}

async fn collect(mut parts: mpsc::Receiver<entry::Part>) -> (Vec<entry::Part>, entry::Part) {
    let mut all = Vec::new();
    loop {
        let part = tokio::time::timeout(TEST_TIMEOUT, parts.recv()).await;
        match part.expect("in time").expect("a final part") {
            part @ (entry::Part::Done { .. } | entry::Part::Failed(_)) => return (all, part),
            part => all.push(part),
        }
    }
}

fn text(parts: &[entry::Part]) -> String {
    let tokens = parts.iter().filter_map(|part| match part {
        entry::Part::Tokens(tokens) => Some(tokens.concat()),
        _ => None,
    });
    tokens.collect()
}

/// The stand-in engine's response of 20 tokens.
fn expected(body: &str) -> String {
    let hash = token::hash(0, body.as_bytes());
    (0..20).map(|at| token::text(hash, at)).collect()
}

async fn wait_until(what: &str, mut done: impl AsyncFnMut() -> bool) {
    let waited = tokio::time::timeout(TEST_TIMEOUT, async {
        while !done().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    assert!(waited.await.is_ok(), "{what}");
}

async fn wait_for_servers(entry: &node::Node, count: usize) {
    wait_until("backend servers are present", async || {
        let servers = entry.entry().unwrap().servers().await;
        servers.is_some_and(|servers| servers.len() == count)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_complete_over_links() {
    let entry = entry().await;
    let (_first, life) = engine(1, &entry).await;
    let (_second, service) = portal(&entry).await;
    wait_for_servers(&entry, 2).await;
    let long = "a long prompt ".repeat(40_000);
    for (number, repeatable, body) in [(1, true, "short"), (2, false, "once"), (3, true, &*long)] {
        let parts = entry
            .entry()
            .unwrap()
            .submit(submission(number, repeatable, body));
        let (parts, last) = collect(parts).await;
        assert_matches!(last, entry::Part::Done { usage, .. } if usage.output_tokens == 20);
        assert_eq!(text(&parts), expected(body));
    }
    wait_until("memory is free", async || {
        life.with(|scheduler, _| scheduler.used()) == 0
    })
    .await;
    let mut call = submission(4, false, "the call's body");
    call.service = "portal".to_owned();
    call.work = run::Work::Http {
        method: "POST".to_owned(),
        path: "/shifts/1".to_owned(),
        headers: vec![("x-count".to_owned(), "value".to_owned())],
    };
    let (parts, last) = collect(entry.entry().unwrap().submit(call)).await;
    assert_matches!(last, entry::Part::Done { .. });
    assert_matches!(parts[0], entry::Part::Head { status: 200, .. });
    assert_eq!(service.runs("value"), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn drained_sidecar_rejects_work() {
    let entry = entry().await;
    let (node, life) = engine(1, &entry).await;
    wait_for_servers(&entry, 1).await;
    node.drain();
    wait_until("the entry knows", async || {
        let servers = entry.entry().unwrap().servers().await.unwrap_or_default();
        servers.iter().any(|server| server.leaving)
    })
    .await;
    let mut late = submission(1, true, "late");
    late.limit = Duration::from_secs(2);
    let (_, last) = collect(entry.entry().unwrap().submit(late)).await;
    assert_matches!(last, entry::Part::Failed(failure) => {
        assert_eq!(failure.ran, Ran::NotRun);
        assert_ne!(failure.cause, Cause::Internal);
        assert!(failure.retry_after_ms.is_some());
    });
    assert_eq!(life.with(|scheduler, _| scheduler.works().count()), 0);
}

/// An engine whose sidecar is reached through a proxy; a token takes 100 ms.
async fn engine_behind(entry: &node::Node) -> (proxy::Pair, Arc<life::Life>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = listener.local_addr().unwrap();
    let listen = "127.0.0.1:0".parse().unwrap();
    let pair = proxy::Pair::open("sidecar", listen, target).await.unwrap();
    let node = process_at("pool-1", listener, pair.addr);
    let (_, life) = engine_of(node, entry, 100_000).await;
    (pair, life)
}

/// Sends a request that is not repeatable, injects link faults once its response has begun, and
/// removes them later.
async fn request_with_link_fault(modes: &[proxy::Mode]) -> (String, entry::Part, Arc<life::Life>) {
    let entry = entry().await;
    let (pair, life) = engine_behind(&entry).await;
    wait_for_servers(&entry, 1).await;
    let mut parts = entry.entry().unwrap().submit(submission(1, false, "once"));
    let mut all = Vec::new();
    loop {
        let part = tokio::time::timeout(TEST_TIMEOUT, parts.recv()).await;
        match part.expect("in time").expect("a final part") {
            part @ (entry::Part::Done { .. } | entry::Part::Failed(_)) => {
                return (text(&all), part, life);
            }
            part => all.push(part),
        }
        if all.len() == 2 {
            // Read before the fault: a reset ends the connections that are counted.
            let connections = pair.connections();
            assert!(connections > 0, "the link goes through the proxy");
            for mode in modes {
                pair.set(*mode);
            }
            if modes.last() != Some(&proxy::Mode::Pass) {
                // Longer than the heartbeat needs to detect the fault.
                tokio::time::sleep(Duration::from_millis(2_600)).await;
                pair.set(proxy::Mode::Pass);
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn response_resumes_after_link_fault() {
    // The link is reset; it drops everything; its connections freeze.
    let faults: [&[proxy::Mode]; 3] = [
        &[proxy::Mode::Reset, proxy::Mode::Pass],
        &[proxy::Mode::Drop(None)],
        &[proxy::Mode::Freeze],
    ];
    let [reset, silent, frozen] = faults.map(request_with_link_fault);
    let (reset, silent, frozen) = tokio::join!(reset, silent, frozen);
    for (text, last, life) in [reset, silent, frozen] {
        assert_matches!(last, entry::Part::Done { .. });
        assert_eq!(text, expected("once"));
        assert_eq!(life.with(|scheduler, _| scheduler.works().count()), 1);
    }
}
