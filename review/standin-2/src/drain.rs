//! DRAIN: a machine stands still for some seconds while a replica leaves.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::client;
use crate::cluster::{self, Cluster};
use crate::record::Record;
use crate::replica::{self, Replica};

/// `drain_ms` and `contact_ms` of the sheet.
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);

/// How long the machine stands still: the longest that the site file names.
const FREEZE: Duration = Duration::from_millis(6_800);

/// When the replica says that it is gone, counted from the freeze. The core is stable again
/// `contact_ms` after the freeze, so the machine that acknowledges is in touch.
const LEAVES: Duration = Duration::from_millis(3_300);

/// How long the replica serves on after that: "at times many seconds".
const SERVES_ON: Duration = Duration::from_millis(9_500);

/// Added to each bound, so that a request on its way is not counted.
const MARGIN: Duration = Duration::from_millis(100);

const CORE: usize = 3;
const OTHERS: usize = 5;

/// Clients a machine, and the pause between two requests of one.
const CLIENTS: usize = 3;
const PERIOD: Duration = Duration::from_millis(660);

const HOST: &str = "ficu95.example";

fn document() -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeout_ms\":3000,\"slo_ms\":300,\"priority\":1,\"service\":\"huvo11a\",\"max_attempts\":2,\
             \"public\":true,\"stream_resume\":true,\"gap_target_ms\":250}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"huvo11a\",\"health_path\":\"/health\",\
         \"max_connections\":454,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[]}}",
        route("r-call", "/call/", "safe"),
        route("r-stream", "/stream/", "streaming"),
    )
}

/// Runs the case. Whether the rule held; an error if the case could not run.
pub fn run(folder: &Path, record: &Record, trouble: bool) -> Result<bool, String> {
    let text = |err: std::io::Error| err.to_string();
    let mut cluster = Cluster::new(folder, [127, 81, 0], CORE, OTHERS).map_err(text)?;
    for at in 0..cluster.len() {
        cluster.start(at, true).map_err(text)?;
    }
    std::thread::sleep(Duration::from_secs(2));
    cluster
        .configure(0, &document())
        .ok_or("the configuration was not acknowledged")?;
    let mut replicas = Vec::new();
    for at in 0..4_usize {
        let reports_to = (at + 1) % CORE;
        let controls = (0..cluster.len())
            .map(|turn| cluster.addr((reports_to + turn) % cluster.len(), cluster::CONTROL));
        let setup = replica::Setup {
            id: format!("i-7f3a91c{at}"),
            service: "huvo11a".to_owned(),
            zone: cluster.zone(at),
            addr: SocketAddr::from(([127, 81, 64, at as u8 + 1], 8120)),
            slots: 16,
            call: Duration::from_millis(20),
            events: 4,
            pause: Duration::from_millis(15),
            controls: controls.collect(),
        };
        replicas.push(Replica::start(setup, record).map_err(text)?);
    }
    std::thread::sleep(Duration::from_secs(3));
    for at in 0..cluster.len() {
        if !cluster.is_ready(at) {
            return Err(format!("machine {at} is not ready"));
        }
    }
    // The frozen machine belongs to the core; the leaving replica reports to another one.
    let frozen = 0;
    let leaving = replicas[0].clone();
    let stop = Arc::new(AtomicBool::new(false));
    let mut on = Vec::new();
    for machine in 0..cluster.len() {
        let of_machine = Arc::new(AtomicBool::new(true));
        for number in 0..CLIENTS {
            let path = if number == 0 { "/call/a" } else { "/stream/a" };
            let setup = client::Setup {
                machine,
                front: cluster.addr(machine, cluster::FRONT),
                method: "GET",
                host: HOST.to_owned(),
                path: path.to_owned(),
                deadline: Duration::from_secs(3),
                period: PERIOD,
            };
            client::run(
                setup,
                Arc::clone(&of_machine),
                Arc::clone(&stop),
                record.clone(),
            );
            std::thread::sleep(Duration::from_millis(17));
        }
        on.push(of_machine);
    }
    std::thread::sleep(Duration::from_secs(3));
    let freeze = record.now();
    if trouble {
        // The balancer takes it out of rotation after two missed checks.
        on[frozen].store(false, Ordering::Relaxed);
        cluster.signal(frozen, "STOP");
        record.note(&format!("machine {frozen} stands still"));
    }
    record.sleep_until(freeze + LEAVES);
    if !leaving.leave() {
        return Err("the leaving replica got no acknowledgement".to_owned());
    }
    let acknowledged = record.now();
    record.note(&format!(
        "{} has said that it is gone, acknowledged, and serves on",
        leaving.setup.id
    ));
    record.sleep_until(freeze + FREEZE);
    let dropped = cluster.dropped_datagrams(frozen);
    if trouble {
        cluster.signal(frozen, "CONT");
        record.note(&format!(
            "machine {frozen} goes on; datagrams dropped at its socket: {dropped}"
        ));
    }
    let thawed = record.now();
    let until = acknowledged + SERVES_ON;
    // It gets clients again after the next check that it answers.
    while trouble && record.now() < until && !cluster.is_ready(frozen) {
        std::thread::sleep(Duration::from_millis(100));
    }
    record.sleep_until(thawed + Duration::from_secs(1));
    on[frozen].store(true, Ordering::Relaxed);
    record.sleep_until(until);
    leaving.exit();
    record.note(&format!("{} ends", leaving.setup.id));
    std::thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    std::thread::sleep(Duration::from_secs(4));
    Ok(judge(
        record,
        &leaving.setup.id,
        acknowledged,
        if trouble { thawed } else { freeze },
    ))
}

/// Counts the requests that reached the replica too late, taken from their clients by machines that
/// were in touch: the freeze and the thaw of a core machine put all out of touch for `contact_ms`.
fn judge(record: &Record, replica: &str, acknowledged: Duration, thawed: Duration) -> bool {
    let from = (acknowledged + DRAIN).max(thawed + CONTACT) + MARGIN;
    let sent = record.all_sent();
    let mut late = 0;
    for run in record.runs() {
        if run.server != replica || run.at < from {
            continue;
        }
        late += 1;
        let by = sent.iter().find(|one| one.request == run.request);
        let machine = by.map_or("?".to_owned(), |one| one.machine.to_string());
        record.note(&format!(
            "too late: request {} of a client of machine {machine} reached {replica} at {:.3} s, {:.3} s \
             after the acknowledgement",
            run.request,
            run.at.as_secs_f64(),
            (run.at - acknowledged).as_secs_f64()
        ));
    }
    let answered = sent.iter().filter(|one| one.result == "200").count();
    record.note(&format!(
        "{} requests sent, {answered} answered 200; {late} reached the replica that had left, later than \
         drain_ms, by machines in touch",
        sent.len()
    ));
    late == 0
}
