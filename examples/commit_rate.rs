//! Measures the control role on this machine: commits per second, latency, bytes written and CPU
//! time of claims with group commit, with one and three members over loopback, real folders and
//! real syncs. All members share this process and one disk.
//!
//! Run: `cargo run --release --example commit_rate [FOLDER]`

#[path = "../tests/common/cluster.rs"]
#[allow(dead_code)]
mod cluster;

use std::fmt::Write as _;
use std::fs;
use std::io::Write as _;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cluster::Process;
use wigeonbarrow::config;
use wigeonbarrow::control::state::State;
use wigeonbarrow::edge::control::Control;
use wigeonbarrow::wire::agree;

/// Duration of one measurement.
const DURATION: Duration = Duration::from_secs(4);

/// Upper bound of claims in one measurement.
const MAX_CLAIMS: u64 = 60_000;

fn main() {
    let folder = std::env::args()
        .nth(1)
        .map_or_else(std::env::temp_dir, PathBuf::from);
    let dir = tempfile::tempdir_in(folder).expect("a folder");
    sync_times(dir.path());
    scaling();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    println!("members askers via       claims/s   p50 ms   p99 ms  max ms  B/claim  cpu us/claim");
    for members in [1, 3] {
        for clients in [1, 16, 256, 2_048] {
            let data = dir.path().join(format!("{members}-{clients}"));
            runtime.block_on(rate(members, clients, false, &data));
        }
    }
    let data = dir.path().join("follower");
    runtime.block_on(rate(3, 256, true, &data));
}

/// Measures a plain write and sync, as a baseline.
fn sync_times(dir: &Path) {
    let mut file = fs::File::create(dir.join("sync")).expect("a file");
    let mut times = Vec::new();
    for _ in 0..300 {
        let start = Instant::now();
        file.write_all(&[7; 200]).expect("written");
        file.sync_data().expect("synced");
        times.push(start.elapsed());
    }
    times.sort_unstable();
    println!(
        "sync of 200 bytes: p50 {:?}, p99 {:?}",
        times[150], times[297]
    );
}

async fn rate(members: usize, clients: u64, via_follower: bool, data: &Path) {
    let addrs = cluster::free_addrs(members).await;
    let mut processes = Vec::new();
    for (at, addr) in addrs.iter().enumerate() {
        let data = data.join(at.to_string());
        processes.push(Process::start(*addr, &addrs, data).await);
    }
    let leader = cluster::leader(&processes).await;
    let asked = (leader + usize::from(via_follower)) % members;
    let before = (bytes(&data.join(leader.to_string())), cpu());
    let control = &processes[asked].control;
    let (count, mut times, elapsed) = claims(control, clients).await;
    let written = bytes(&data.join(leader.to_string())) - before.0;
    let cpu = cpu().saturating_sub(before.1);
    times.sort_unstable();
    let at = |part: usize| times[(times.len() - 1) * part / 100].as_secs_f64() * 1e3;
    let via = if via_follower { "follower" } else { "leader" };
    println!(
        "{members:>7} {clients:>6} {via:<9} {:>8.0} {:>8.2} {:>8.2} {:>7.1} {:>8.0} {:>13.1}",
        count as f64 / elapsed.as_secs_f64(),
        at(50),
        at(99),
        at(100),
        written as f64 / count as f64,
        cpu.as_secs_f64() * 1e6 / count as f64,
    );
    for process in processes {
        process.stop().await;
    }
}

/// Makes claims with `clients` concurrent tasks. Returns the number granted, the latency of
/// each, and the total time.
async fn claims(control: &Arc<Control>, clients: u64) -> (u64, Vec<Duration>, Duration) {
    let next = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let tasks = (0..clients).map(|_| {
        let control = Arc::clone(control);
        let next = Arc::clone(&next);
        tokio::spawn(async move {
            let mut times = Vec::new();
            while start.elapsed() < DURATION {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= MAX_CLAIMS {
                    break;
                }
                let asked = Instant::now();
                let claim = cluster::claim(number, u128::from(number));
                if control.propose(claim).await == agree::Verdict::Claimed {
                    times.push(asked.elapsed());
                }
            }
            times
        })
    });
    let tasks: Vec<_> = tasks.collect();
    let mut times = Vec::new();
    for task in tasks {
        times.extend(task.await.expect("a task"));
    }
    (times.len() as u64, times, start.elapsed())
}

fn bytes(dir: &Path) -> u64 {
    let items = fs::read_dir(dir).expect("the folder");
    items
        .map(|one| one.expect("an item").metadata().map_or(0, |one| one.len()))
        .sum()
}

/// CPU time of this process so far, at 100 ticks per second.
fn cpu() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").expect("proc");
    let after = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<&str> = after.split(' ').collect();
    let ticks: u64 = [11, 12]
        .iter()
        .filter_map(|at| fields[*at].parse::<u64>().ok())
        .sum();
    Duration::from_millis(ticks * 10)
}

/// Resident memory of this process in bytes, at 4 KiB per page.
fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").expect("proc");
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|one| one.parse::<u64>().ok());
    pages.unwrap_or_default() * 4_096
}

/// Measures sizes and times that grow with the deployment.
fn scaling() {
    let mut state = State::default();
    let count = 200_000;
    let before = resident();
    for number in 0..count {
        state.apply(1, 0, None, &cluster::claim(number, 1));
    }
    let held = resident().saturating_sub(before) / count;
    let start = Instant::now();
    let bytes = state.encode();
    let encoded = start.elapsed();
    let start = Instant::now();
    State::decode(&bytes).expect("it decodes");
    println!(
        "{count} claims: {held} B each in memory, {} B each in a snapshot, encoded in \
         {encoded:?}, decoded in {:?}",
        bytes.len() as u64 / count,
        start.elapsed()
    );
    let mut text = String::new();
    for number in 0..5_100 {
        let hash = config::key_hash(&number.to_string());
        writeln!(
            text,
            "[workspace.w{number}]\nkey_hash = \"{hash}\"\nshare = 2"
        )
        .expect("a text");
    }
    let files = [agree::File {
        name: "10-workspaces.toml".to_owned(),
        text,
    }];
    let start = Instant::now();
    let rounds = 20;
    for _ in 0..rounds {
        config::merge(1, &files).expect("no findings");
    }
    println!(
        "merge and check of 5100 workspaces ({} B): {:?}",
        files[0].text.len(),
        start.elapsed() / rounds
    );
}
