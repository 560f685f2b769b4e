//! Plays one case of the review: `review-standin CASE ROOT FOLDER`. With `TROUBLE=0` in its
//! environment it leaves the disruption out. Exit codes: 1 the rule was broken, 0 it held, 2 the case
//! could not run.

use std::io;
use std::os::unix;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

mod client;
mod expiry;
mod http;
mod late_beat;
mod poison;
mod record;
mod replica;
mod site;

/// Longest run.
const MAX_RUN: Duration = Duration::from_secs(105);

/// Time between two looks whether the run must end.
const WATCH_PERIOD: Duration = Duration::from_millis(500);

/// What a case sees of its run.
pub struct Run {
    pub site: Arc<site::Site>,
    pub record: Arc<record::Record>,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = args.as_slice() else {
        eprintln!("usage: review-standin CASE ROOT FOLDER");
        process::exit(2);
    };
    let code = match play(case, Path::new(root), &PathBuf::from(folder)) {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(err) => {
            eprintln!("the case could not run: {err}");
            2
        }
    };
    process::exit(code);
}

/// Returns whether the rule was broken.
fn play(case: &str, root: &Path, folder: &Path) -> io::Result<bool> {
    let record = Arc::new(record::Record::create(&folder.join("record.txt"))?);
    let machines = match case {
        "poison" => poison::MACHINES,
        "late-beat" => late_beat::MACHINES,
        "expiry" => expiry::MACHINES,
        _ => return Err(io::Error::other("no such case")),
    };
    let site = site::Site::start(root, machines, &record)?;
    watch(&site);
    let run = Run {
        site: Arc::clone(&site),
        record: Arc::clone(&record),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let broken = match case {
        "poison" => poison::play(&run),
        "expiry" => expiry::play(&run),
        _ => late_beat::play(&run),
    };
    if let Ok(logs) = std::env::var("KEEP_LOGS") {
        site.keep_logs(Path::new(&logs))?;
    }
    site.end();
    let broken = broken?;
    record.note(if broken {
        "RESULT: the rule was broken"
    } else {
        "RESULT: the rule held"
    });
    Ok(broken)
}

/// Ends all processes if the run takes too long, or if its shell has ended.
fn watch(site: &Arc<site::Site>) {
    let site = Arc::clone(site);
    let parent = unix::process::parent_id();
    let began = Instant::now();
    thread::spawn(move || {
        while began.elapsed() < MAX_RUN && unix::process::parent_id() == parent {
            thread::sleep(WATCH_PERIOD);
        }
        site.end();
        eprintln!("the case could not run: it takes too long, or its shell has ended");
        process::exit(2);
    });
}
