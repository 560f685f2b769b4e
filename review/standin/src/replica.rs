//! A replica of a plain service, as the users' pages describe it.

use std::io::Write as _;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time in which a heartbeat must be acknowledged. Then the next node is called.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Requests that a replica serves at once.
const SLOTS: u32 = 6;

/// Time from a crash to the next life.
const DOWN: Duration = Duration::from_secs(2);

/// Path of requests that crash each replica which begins to run them.
pub const POISON: &str = "poison";

/// How long a replica works.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// At a request.
    pub work: Duration,
    /// At a request that crashes it, until then.
    pub crash: Duration,
}

/// A request that reached a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub request: String,
    /// Whether it began to run.
    pub ran: bool,
}

struct Life {
    number: u32,
    seq: u64,
    /// Connections that end with this life.
    open: Vec<TcpStream>,
    /// Whether it serves. `false`: it has crashed or exited.
    is_up: bool,
}

/// A replica.
pub struct Replica {
    name: String,
    pub addr: SocketAddr,
    times: Times,
    record: Arc<Record>,
    nodes: Vec<SocketAddr>,
    life: Mutex<Life>,
    arrivals: Mutex<Vec<Arrival>>,
    /// Whether it sends heartbeats.
    beats: AtomicBool,
    /// Whether it has exited for good.
    has_exited: AtomicBool,
}

impl Replica {
    /// Starts one that sends its heartbeats to `nodes`.
    pub fn start(
        name: &str,
        addr: SocketAddr,
        times: Times,
        nodes: Vec<SocketAddr>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let life = Life {
            number: 1,
            seq: 0,
            open: Vec::new(),
            is_up: true,
        };
        let replica = Arc::new(Self {
            name: name.to_owned(),
            addr,
            times,
            record: Arc::clone(record),
            nodes,
            life: Mutex::new(life),
            arrivals: Mutex::default(),
            beats: AtomicBool::new(true),
            has_exited: AtomicBool::new(false),
        });
        let serving = Arc::clone(&replica);
        thread::spawn(move || serving.serve());
        let beating = Arc::clone(&replica);
        thread::spawn(move || beating.beat_on());
        replica
    }

    /// Id of its present life.
    pub fn id(&self) -> String {
        let number = self.life.lock().expect("life lock").number;
        self.id_of(number)
    }

    fn id_of(&self, number: u32) -> String {
        format!("i-{}-{number}", self.name)
    }

    /// Whether it serves.
    pub fn is_up(&self) -> bool {
        self.life.lock().expect("life lock").is_up
    }

    /// Requests that reached it.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("arrivals lock").clone()
    }

    /// Sends no more heartbeats.
    pub fn stop_beating(&self) {
        self.beats.store(false, Ordering::SeqCst);
    }

    /// Path and body of its next heartbeat.
    pub fn next_beat(&self) -> (String, String) {
        let mut life = self.life.lock().expect("life lock");
        life.seq += 1;
        let body = format!(
            "{{\"service\":\"registry\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{}}}",
            self.addr, life.seq
        );
        (format!("/v1/replicas/{}", self.id_of(life.number)), body)
    }

    /// Ends for good.
    pub fn exit(&self) {
        self.has_exited.store(true, Ordering::SeqCst);
        self.end_life();
    }

    /// Ends its life: its connections break, and new ones are refused. Returns whether this call did.
    fn end_life(&self) -> bool {
        let mut life = self.life.lock().expect("life lock");
        if !life.is_up {
            return false;
        }
        life.is_up = false;
        for tcp in life.open.drain(..) {
            // It may have ended already.
            let _ = tcp.shutdown(Shutdown::Both);
        }
        true
    }

    fn serve(self: Arc<Self>) {
        loop {
            let Ok(listener) = TcpListener::bind(self.addr) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            listener.set_nonblocking(true).expect("nonblocking accept");
            while self.is_up() {
                match listener.accept() {
                    Ok((tcp, _)) => self.accept(tcp),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            if self.has_exited.load(Ordering::SeqCst) {
                return;
            }
            thread::sleep(DOWN);
            let mut life = self.life.lock().expect("life lock");
            life.number += 1;
            life.seq = 0;
            life.is_up = true;
            let id = self.id_of(life.number);
            drop(life);
            self.record.note(&format!("replica {id} starts"));
        }
    }

    fn accept(self: &Arc<Self>, tcp: TcpStream) {
        if tcp.set_nonblocking(false).is_err() || tcp.set_nodelay(true).is_err() {
            return;
        }
        let number = {
            let mut life = self.life.lock().expect("life lock");
            if let Ok(clone) = tcp.try_clone() {
                life.open.push(clone);
            }
            life.number
        };
        let replica = Arc::clone(self);
        thread::spawn(move || replica.handle(tcp, number));
    }

    fn handle(self: Arc<Self>, mut tcp: TcpStream, number: u32) {
        let mut rest = Vec::new();
        while let Ok(Some(request)) = http::read(&mut tcp, &mut rest, false) {
            let Some(answer) = self.answer(&request, number) else {
                return;
            };
            if tcp.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Runs a request. `None`: the replica has ended under it.
    fn answer(&self, request: &http::Message, number: u32) -> Option<String> {
        let life = self.id_of(number);
        let path = request.path();
        if path == "/v1/report" {
            let report = "{\"stage\":\"colocated\",\"models\":[],\"busy\":false,\"sequence\":0,\
                          \"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":0,\"handles\":0}";
            return Some(whole("200 OK", &[], report));
        }
        if path == "/health" {
            return Some(whole("200 OK", &[("X-Replica-Id", &life)], ""));
        }
        let id = request.header("x-request-id");
        let expected = request.header("x-expect-instance");
        let runs = expected.is_empty() || expected == life;
        let at = self.record.note(&format!(
            "request {id} ({path}) reaches replica {life}: {}",
            if runs { "runs" } else { "421, not run" }
        ));
        self.arrivals.lock().expect("arrivals lock").push(Arrival {
            at,
            request: id.to_owned(),
            ran: runs,
        });
        let echo = [("X-Request-Id", id)];
        if !runs {
            return Some(whole("421 Misdirected Request", &echo, ""));
        }
        if path.contains(POISON) {
            thread::sleep(self.times.crash);
            if self.end_life() {
                self.record
                    .note(&format!("replica {life} crashes under request {id}"));
            }
            return None;
        }
        thread::sleep(self.times.work);
        if self.life.lock().expect("life lock").number != number || !self.is_up() {
            self.record
                .note(&format!("request {id} is lost with replica {life}"));
            return None;
        }
        let seal = format!("seal-of-{id}");
        let headers = [
            ("X-Request-Id", id),
            ("X-Response-Seal", seal.as_str()),
            ("X-Replica-Load", "1,0,6"),
        ];
        Some(whole("200 OK", &headers, "whole answer"))
    }

    fn beat_on(self: Arc<Self>) {
        let mut turn = self.addr.port() as usize;
        loop {
            if self.is_up() && self.beats.load(Ordering::SeqCst) {
                let (path, body) = self.next_beat();
                for _ in 0..self.nodes.len() {
                    turn += 1;
                    let node = self.nodes[turn % self.nodes.len()];
                    if put(node, &path, &body) {
                        break;
                    }
                }
            }
            thread::sleep(HEARTBEAT);
        }
    }
}

/// Calls a node. Returns whether it acknowledges.
pub fn call(node: SocketAddr, method: &str, path: &str, body: &str) -> bool {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {node}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    http::exchange(node, text.as_bytes(), ACK_TIMEOUT)
        .is_ok_and(|answer| (200..300).contains(&answer.status()))
}

fn put(node: SocketAddr, path: &str, body: &str) -> bool {
    call(node, "PUT", path, body)
}

fn whole(status: &str, headers: &[(&str, &str)], body: &str) -> String {
    let lines: String = headers
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect();
    format!(
        "HTTP/1.1 {status}\r\n{lines}Keep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
