//! Stand-ins for the cases of the second review: clients, replicas and the platform. Uses only the
//! standard library.
//!
//! `standin-2 CASE FOLDER RECORD`: runs a case with its files in FOLDER. Exit codes: 0 the rule held,
//! 1 it was broken, 2 the case could not run.

mod client;
mod cluster;
mod core;
mod drain;
mod http;
mod record;
mod replica;

use std::path::Path;
use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, path] = args.as_slice() else {
        eprintln!("standin-2 CASE FOLDER RECORD");
        exit(2);
    };
    let record = match record::Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("{path}: {err}");
            exit(2);
        }
    };
    let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let trouble = !trouble;
    let folder = Path::new(folder);
    let held = match case.as_str() {
        "core" => core::run(folder, &record, trouble),
        "drain" => drain::run(folder, &record, trouble),
        _ => Err(format!("no case {case}")),
    };
    let code = match held {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(why) => {
            record.note(&format!("could not run: {why}"));
            2
        }
    };
    record.note(&format!("exit code {code}"));
    record.flush();
    exit(code);
}
