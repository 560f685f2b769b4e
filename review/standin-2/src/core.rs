//! LOST, CONFIG: a machine joins the core while one of it is down, and another one loses its disk.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::cluster::{self, Cluster};
use crate::http;
use crate::record::Record;

const CORE: usize = 3;
/// Machines without a disk.
const OTHERS: usize = 2;
/// The machine that joins.
const NEW: usize = CORE + OTHERS;

/// `recovery_s` of the sheet.
const RECOVERY: Duration = Duration::from_secs(12);

/// How long the first machine is down, with its disk kept.
const DOWN: Duration = Duration::from_millis(3_500);

/// When the new machine starts, counted from there.
const JOINS: Duration = Duration::from_millis(2_000);

/// Longest wait until the others have admitted the new machine. Without one, the wait until the second
/// machine loses its disk.
const ADMITTED: Duration = Duration::from_millis(1_000);

/// How long the second machine is down.
const RESTART: Duration = Duration::from_millis(500);

/// How long the operator tries after the time for the recovery: many times `contact_ms`.
const TRIES_FOR: Duration = Duration::from_secs(20);

const CALL: Duration = Duration::from_secs(1);

fn document(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[],\"services\":[{{\"name\":\"huvo11a\",\"health_path\":\"/health\",\
         \"max_connections\":454,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[]}}"
    )
}

/// The operator's calls, each written to the record.
struct Operator<'a> {
    cluster: &'a Cluster,
    record: &'a Record,
}

impl Operator<'_> {
    fn put(&self, at: usize, version: u64) -> u16 {
        let text = document(version);
        let addr = self.cluster.addr(at, cluster::CONTROL);
        let reply = http::call(addr, "PUT", "/v1/config", text.as_bytes(), CALL);
        let status = reply.map_or(0, |reply| reply.status);
        self.record.note(&format!(
            "PUT version {version} to machine {at}: {}",
            name(status)
        ));
        status
    }

    /// The version that a machine answers with. `None`: no 200.
    fn get(&self, at: usize) -> Option<u64> {
        let addr = self.cluster.addr(at, cluster::CONTROL);
        let reply = http::call(addr, "GET", "/v1/config", b"", CALL);
        let status = reply.as_ref().map_or(0, |reply| reply.status);
        let version = reply
            .filter(|reply| reply.status == 200)
            .and_then(|reply| version(&reply.body));
        let text = version.map_or(String::new(), |version| format!(", version {version}"));
        self.record
            .note(&format!("GET from machine {at}: {}{text}", name(status)));
        version
    }
}

fn name(status: u16) -> String {
    match status {
        0 => "no answer".to_owned(),
        status => status.to_string(),
    }
}

fn version(body: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(body);
    let (_, rest) = text.split_once("\"version\":")?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Runs the case. Whether the rule held; an error if the case could not run.
pub fn run(folder: &Path, record: &Record, trouble: bool) -> Result<bool, String> {
    let text = |err: std::io::Error| err.to_string();
    let joins = std::env::var("NEWCOMER").is_ok_and(|value| value == "0");
    let joins = !joins;
    let mut cluster = Cluster::new(folder, [127, 82, 0], CORE, OTHERS + 1).map_err(text)?;
    for at in 0..NEW {
        cluster.start(at, true).map_err(text)?;
    }
    sleep(Duration::from_secs(2));
    cluster
        .configure(0, &document(1))
        .ok_or("the first configuration was not acknowledged")?;
    sleep(Duration::from_secs(4));
    let leader = (0..CORE)
        .find(|at| cluster.leads(*at))
        .ok_or("no machine leads")?;
    let mut followers = (0..CORE).filter(|at| *at != leader);
    let (first, second) = (followers.next().unwrap_or(0), followers.next().unwrap_or(0));
    record.note(&format!(
        "machine {leader} leads control, machines {first} and {second} follow"
    ));
    let mut acknowledged = 1;
    for version in 2..=4 {
        let operator = Operator {
            cluster: &cluster,
            record,
        };
        if operator.put(version as usize % NEW, version) == 200 {
            acknowledged = version;
        }
    }
    let down = record.now();
    if trouble {
        cluster.kill(first);
        record.note(&format!("machine {first} is down, its disk is kept"));
    }
    record.sleep_until(down + JOINS);
    let operator = Operator {
        cluster: &cluster,
        record,
    };
    if operator.put(second, 5) == 200 {
        acknowledged = 5;
    }
    if joins {
        cluster.new_disk(NEW);
        cluster.start(NEW, false).map_err(text)?;
        record.note(&format!("machine {NEW} joins, with an empty disk"));
    }
    let latest = down + JOINS + ADMITTED;
    // The leader logs the members that it knows: those that only learn are listed apart.
    let learner = format!("\"learners\":\"{}:", cluster.ips[NEW]);
    let admitted = [learner.as_str(), "\"committed\":true"];
    while record.now() < latest && !cluster.has_logged(leader, &admitted) {
        sleep(Duration::from_micros(500));
    }
    if trouble {
        cluster.kill(second);
        record.note(&format!("machine {second} loses its disk"));
        cluster.new_disk(second);
        sleep(RESTART);
        cluster.start(second, false).map_err(text)?;
        record.note(&format!("machine {second} is back, with an empty disk"));
        record.sleep_until(down + DOWN);
        cluster.start(first, false).map_err(text)?;
        record.note(&format!("machine {first} is back, with its disk: all run"));
    }
    let back = record.now();
    record.sleep_until(back + RECOVERY);
    record.note("recovery_s after all are back");
    Ok(judge(&cluster, record, acknowledged))
}

/// The operator reads back, and sends one more change. The rule is broken if what was acknowledged does
/// not come from any machine in all this time, or comes in an older version.
fn judge(cluster: &Cluster, record: &Record, acknowledged: u64) -> bool {
    let operator = Operator { cluster, record };
    let until = record.now() + TRIES_FOR;
    let mut newest = None;
    let mut changed = false;
    while record.now() < until && !(changed && newest.is_some()) {
        for at in 0..cluster.len() {
            newest = newest.max(operator.get(at));
        }
        changed = changed || (0..cluster.len()).any(|at| operator.put(at, 9) == 200);
        sleep(Duration::from_millis(500));
    }
    let text = newest.map_or("nothing".to_owned(), |newest| format!("version {newest}"));
    record.note(&format!(
        "version {acknowledged} was acknowledged; {text} is read back; a further change is {}",
        if changed {
            "acknowledged"
        } else {
            "not acknowledged"
        }
    ));
    newest.is_some_and(|newest| newest >= acknowledged) && changed
}
