//! A client that keeps one connection to one machine and sends one request after the other.

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use crate::http;
use crate::record::{Record, Sent};

static NEXT: AtomicU64 = AtomicU64::new(1);

/// What a client sends, and where.
#[derive(Clone)]
pub struct Setup {
    pub machine: usize,
    pub front: SocketAddr,
    pub method: &'static str,
    pub host: String,
    pub path: String,
    pub deadline: Duration,
    /// Time between two requests.
    pub period: Duration,
}

/// The id of a new client attempt.
pub fn new_id() -> String {
    format!(
        "{:016x}",
        0x9c41_0000_0000_0000 + NEXT.fetch_add(1, Ordering::Relaxed)
    )
}

/// Sends one request and notes how it ended.
pub fn send(
    setup: &Setup,
    conn: &mut Option<BufReader<TcpStream>>,
    record: &Record,
) -> Option<http::Response> {
    let request = new_id();
    let at = record.now();
    let deadline = setup.deadline.as_millis().to_string();
    let headers = [
        ("host", setup.host.as_str()),
        ("x-request-id", request.as_str()),
        ("x-request-deadline", deadline.as_str()),
    ];
    let bytes = http::request(setup.method, &setup.path, &headers, b"");
    let outcome = match conn.take() {
        Some(conn) => Ok(conn),
        None => http::connect(setup.front, Duration::from_secs(1)),
    }
    .and_then(|mut stream| {
        let timeout = setup.deadline + Duration::from_secs(1);
        stream.get_ref().set_read_timeout(Some(timeout))?;
        let response = http::exchange(&mut stream, &bytes)?;
        let closes = response
            .head
            .get("connection")
            .is_some_and(|one| one.contains("close"));
        Ok((response, (!closes).then_some(stream)))
    });
    let (result, response) = match outcome {
        Ok((response, kept)) => {
            *conn = kept;
            (response.status.to_string(), Some(response))
        }
        Err(err) => (format!("no answer: {err}"), None),
    };
    record.sent(Sent {
        at,
        answered: record.now(),
        machine: setup.machine,
        request,
        result,
    });
    response
}

/// Sends requests while `on`, until `stop`.
pub fn run(setup: Setup, on: Arc<AtomicBool>, stop: Arc<AtomicBool>, record: Record) {
    std::thread::spawn(move || {
        let mut conn = None;
        while !stop.load(Ordering::Relaxed) {
            if !on.load(Ordering::Relaxed) {
                conn = None;
                std::thread::sleep(Duration::from_millis(20));
                continue;
            }
            let began = record.now();
            send(&setup, &mut conn, &record);
            std::thread::sleep((began + setup.period).saturating_sub(record.now()));
        }
    });
}
