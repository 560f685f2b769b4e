//! Clients and the operator.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use crate::http;
use crate::record::Record;
use crate::replica;
use crate::site;
use crate::site::Site;

/// How long a client waits.
const DEADLINE: Duration = Duration::from_secs(3);

/// The operator's configuration: a route of requests that may run more than once, and one of requests
/// that run once at most.
const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"lookup","hostname":"desk.example","path_prefix":"/lookup/","kind":"safe","timeout_ms":3000,"slo_ms":300,"priority":2,"service":"registry","max_attempts":2,"public":false},
{"name":"notice","hostname":"desk.example","path_prefix":"/notice/","kind":"unsafe","timeout_ms":3000,"slo_ms":300,"priority":2,"service":"registry","max_attempts":1,"public":false}],
"services":[{"name":"registry","health_path":"/health","max_connections":56,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"crew","api_keys":["key-of-crew"],"priority":1}]}"#;

/// Sends the configuration until it is acknowledged.
pub fn configure(site: &Site) -> io::Result<()> {
    site::await_that("the configuration is acknowledged", || {
        replica::call(site.control(0), "PUT", "/v1/config", CONFIG)
    })?;
    site.record.note("the configuration is acknowledged");
    Ok(())
}

/// Sends one request and records what comes of it. Returns the status, 0 if there is none.
pub fn ask(record: &Record, to: (&str, SocketAddr), method: &str, path: &str, id: &str) -> u16 {
    let (name, addr) = to;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
         X-Request-Deadline: {}\r\nAuthorization: Bearer key-of-crew\r\n\
         Connection: close\r\nContent-Length: 0\r\n\r\n",
        DEADLINE.as_millis()
    );
    record.note(&format!("client sends {id} ({method} {path}) to {name}"));
    match http::exchange(addr, text.as_bytes(), DEADLINE + Duration::from_secs(1)) {
        Ok(answer) if answer.complete => {
            let status = answer.status();
            let retry = answer.header("retry-after");
            record.note(&format!(
                "client gets {status} for {id} (Retry-After: {retry})"
            ));
            status
        }
        Ok(_) => {
            record.note(&format!("client gets a part of an answer for {id}"));
            0
        }
        Err(err) => {
            record.note(&format!("client gets no answer for {id}: {err}"));
            0
        }
    }
}
