//! `wigeonbarrow explain`

use std::fs;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use serde_json::Value;

use crate::util;

const USAGE: &str = "Prints the course of one request over all processes, from their logs.";

/// Events after which a caller got no whole answer: refused, left, cut.
const FAILED: [u64; 3] = [204, 205, 206];

/// Keys that each line bears and that tell nothing of the request.
const PLAIN: [&str; 6] = ["msg", "level", "ts", "node", "event", "request"];

pub fn command() -> Command {
    Command::new("explain")
        .about(USAGE)
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required(true)
                .help("The request's id"),
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .action(ArgAction::Append)
                .num_args(1..)
                .help("Log files of all processes that may have had it"),
        )
}

pub fn run(matches: &ArgMatches) -> Result<(), util::Error> {
    let id = matches.get_one::<String>("id").map_or("", String::as_str);
    let mut lines = Vec::new();
    for path in matches.get_many::<PathBuf>("file").unwrap_or_default() {
        let bytes = fs::read(path).map_err(|err| util::Error::File(path.clone(), err))?;
        lines.extend(String::from_utf8_lossy(&bytes).lines().filter_map(parse));
    }
    let mut course: Vec<&Value> = lines.iter().filter(|one| one["request"] == id).collect();
    if course.is_empty() {
        return Err(util::Error::Refused(format!("no line tells of {id}")));
    }
    course.sort_by_key(|one| one["ts"].as_str().unwrap_or_default().to_owned());
    for line in course {
        println!("{}", tell(line));
    }
    Ok(())
}

/// The object in a line, after whatever a collector put before it. Other lines are skipped.
fn parse(line: &str) -> Option<Value> {
    serde_json::from_str(&line[line.find('{')?..]).ok()
}

fn tell(line: &Value) -> String {
    let text = |key: &str| line[key].as_str().unwrap_or_default().to_owned();
    let event = line["event"].as_u64().unwrap_or_default();
    let mark = if FAILED.contains(&event) { "->" } else { "  " };
    let inputs = line.as_object().into_iter().flatten();
    let inputs = inputs.filter(|(key, _)| !PLAIN.contains(&key.as_str()));
    let inputs: Vec<String> = inputs
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    format!(
        "{mark} {} {} {event} {}: {}",
        text("ts"),
        text("node"),
        text("msg"),
        inputs.join(" ")
    )
}
