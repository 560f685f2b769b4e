//! Plays one case of the review: `review-standin CASE ROOT FOLDER`. With `TROUBLE=0` in its
//! environment it leaves the disruption out. Exit codes: 1 the rule was broken, 0 it held, 2 the case
//! could not run.

use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

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
    let watched = Arc::clone(&site);
    thread::spawn(move || {
        thread::sleep(MAX_RUN);
        watched.kill_all();
        eprintln!("the case could not run: it takes too long");
        process::exit(2);
    });
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
    site.kill_all();
    let broken = broken?;
    record.note(if broken {
        "RESULT: the rule was broken"
    } else {
        "RESULT: the rule held"
    });
    Ok(broken)
}
