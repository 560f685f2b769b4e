//! Control processes within one test process, with real links on loopback and real data folders.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use wigeonbarrow::control::consensus::Role;
use wigeonbarrow::edge::control;
use wigeonbarrow::edge::link;
use wigeonbarrow::edge::node;
use wigeonbarrow::wire::agree;
use wigeonbarrow::wire::id;

pub const TIMEOUT: Duration = Duration::from_secs(30);

pub struct Process {
    pub node: Arc<node::Node>,
    pub control: Arc<control::Control>,
    /// A runtime of its own: when it shuts down, its links close, as when a process exits.
    runtime: tokio::runtime::Runtime,
}

impl Process {
    pub async fn start(addr: SocketAddr, listed: &[SocketAddr], data: PathBuf) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime");
        let bound = runtime.spawn(bind(addr));
        let listener = bound.await.expect("a listener");
        let settings = node::Settings {
            name: format!("control-{addr}"),
            zone: "bne-hall-a".to_owned(),
            link: addr,
            process_key: "key".to_owned(),
            seeds: listed.to_vec(),
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let node = node::Node::new(settings, log);
        let settings = control::Settings {
            data,
            members: listed.to_vec(),
            founds: true,
            admission: wigeonbarrow::control::consensus::Admission::Ordered,
            compact_bytes: wigeonbarrow::control::replica::COMPACT_BYTES,
        };
        let control = {
            let _guard = runtime.enter();
            control::Control::start(&node, settings).expect("control starts")
        };
        node.set_control(Arc::clone(&control));
        let handler = Arc::clone(&node);
        runtime.spawn(async move {
            link::serve(listener, "key", handler).await;
        });
        Self {
            node,
            control,
            runtime,
        }
    }

    pub async fn stop(self) {
        self.runtime.shutdown_background();
        let control = self.control;
        tokio::task::spawn_blocking(move || control.stop())
            .await
            .expect("control stops");
    }
}

/// Binds `addr`, with retries: the former owner may still be closing its socket.
async fn bind(addr: SocketAddr) -> TcpListener {
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    loop {
        match TcpListener::bind(addr).await {
            Ok(listener) => return listener,
            Err(err) => assert!(tokio::time::Instant::now() < deadline, "bind {addr}: {err}"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Loopback addresses with ports that are currently free.
pub async fn free_addrs(count: usize) -> Vec<SocketAddr> {
    let mut listeners = Vec::new();
    for _ in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        listeners.push(listener);
    }
    let addrs = listeners.iter().map(TcpListener::local_addr);
    addrs.map(|addr| addr.expect("an address")).collect()
}

/// Proposes `command` until it gets a verdict other than `Unavailable`.
pub async fn decide(process: &Process, command: &agree::Command) -> agree::Verdict {
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    loop {
        match process.control.propose(command.clone()).await {
            agree::Verdict::Unavailable => {}
            verdict => return verdict,
        }
        assert!(tokio::time::Instant::now() < deadline, "no verdict in time");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until `done` accepts the status of the process. `what` names the condition in a failure.
pub async fn until(
    process: &Process,
    what: &str,
    done: impl Fn(&wigeonbarrow::control::replica::Status) -> bool,
) {
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    loop {
        if let Some(status) = process.control.status().await {
            if done(&status) {
                return;
            }
            assert!(tokio::time::Instant::now() < deadline, "{what}: {status:?}");
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

pub async fn leader(processes: &[Process]) -> usize {
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    loop {
        for (at, process) in processes.iter().enumerate() {
            let status = process.control.status().await;
            if status.is_some_and(|status| status.standing == Role::Leader && status.leads) {
                return at;
            }
        }
        assert!(tokio::time::Instant::now() < deadline, "no leader in time");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

pub fn configure(id: u128, expected: u64, share: u32) -> agree::Command {
    let hash = wigeonbarrow::config::key_hash("crew");
    agree::Command::Configure(agree::Change {
        id: id::Change(id),
        expected,
        author: format!("author-{id}"),
        note: String::new(),
        files: vec![agree::File {
            name: "10-crew.toml".to_owned(),
            text: format!("[workspace.crew]\nkey_hash = \"{hash}\"\nshare = {share}\n"),
        }],
    })
}

pub fn claim(key: u64, request: u128) -> agree::Command {
    agree::Command::Claim {
        workspace: "crew".to_owned(),
        key: format!("key-{key}"),
        request: id::Request(request),
        fingerprint: id::Fingerprint::of("crew", "model", &key.to_le_bytes()),
        ttl_ms: 60_000,
    }
}
