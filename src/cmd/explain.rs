//! `wigeonbarrow explain`

use std::collections::BTreeMap;
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
const FAILED: [u64; 4] = [204, 205, 206, 219];

/// A backend server's limit changed.
const LIMIT: u64 = 216;

/// A request found no backend server that takes more: all of its service name limits.
const LIMITED: u64 = 218;

/// A pause that a backend server asked for began, was extended or ended.
const PAUSE: u64 = 260;

/// A request found no backend server that takes it in time: all of its service asked for a pause.
const PAUSED: u64 = 262;

/// The evacuated zones in force at a process changed.
const ZONES: u64 = 236;

/// A request waits for its turn among the long prompts of all entries.
const WAITS: u64 = 208;

/// A request was refused or failed.
const REFUSED: u64 = 204;

/// A request waits for a backend server with capacity.
const QUEUED: u64 = 264;

/// A request was rejected while it waited.
const SHED: u64 = 265;

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
    let mut course: Vec<&Value> = lines.iter().filter(|one| names(one, id)).collect();
    if course.is_empty() {
        return Err(util::Error::Refused(format!("no line tells of {id}")));
    }
    course.sort_by_key(|one| ts(one));
    let limits = limits(&lines, &course);
    let pauses = pauses(&lines, &course);
    let zones = zones(&lines, &course);
    for line in &course {
        println!("{}", tell(line));
    }
    for line in waits(&course) {
        println!("{line}");
    }
    for line in limits.into_iter().chain(pauses).chain(zones) {
        println!("{}", tell(line));
    }
    Ok(())
}

/// Why a request waited, how many went before it, and how its wait ended if it was rejected. Empty: it
/// did not wait.
fn waits(course: &[&Value]) -> Vec<String> {
    let number = |line: &Value, key: &str| line[key].as_u64().unwrap_or_default();
    let mut told: Vec<String> = Vec::new();
    for line in course {
        let ahead = number(line, "ahead");
        match line["event"].as_u64().unwrap_or_default() {
            WAITS => told.push(format!(
                "== waited for its turn to be read: {ahead} long prompts of all entries went first"
            )),
            QUEUED => told.push(format!(
                "== waited for a backend server with capacity: {ahead} of its service and class at \
                 this entry went first, {} waited in all",
                number(line, "waiting")
            )),
            SHED => told.push(match line["cause"].as_str().unwrap_or_default() {
                "full" => format!(
                    "== rejected: the queue was full with {} requests, and its rejection lost least",
                    number(line, "waiting")
                ),
                cause => format!("== rejected: {cause} while it waited"),
            }),
            REFUSED if !told.is_empty() && line["status"] == 503 => told.push(format!(
                "== told to come back after {:.3} s (Retry-After)",
                number(line, "retry_after_ms") as f64 / 1e3
            )),
            _ => {}
        }
    }
    told
}

/// Whether a line tells of a request, by itself or among others.
fn names(line: &Value, id: &str) -> bool {
    let among = line["requests"].as_str().unwrap_or_default();
    line["request"] == id || among.split(' ').any(|one| one == id)
}

/// The limits, as last told, that servers of a request named up to its end: those that it was sent
/// to, or all if it was refused for limits.
fn limits<'a>(lines: &'a [Value], course: &[&Value]) -> Vec<&'a Value> {
    let end = course.last().map_or("", |one| ts(one));
    let is_limited = course.iter().any(|one| one["event"] == LIMITED);
    let is_sent = |server: &Value| course.iter().any(|one| one["server"] == *server);
    let mut last: BTreeMap<&str, &Value> = BTreeMap::new();
    for line in lines.iter().filter(|one| one["event"] == LIMIT) {
        let server = &line["server"];
        if ts(line) > end || !(is_limited || is_sent(server)) {
            continue;
        }
        let known = last.entry(server.as_str().unwrap_or_default());
        let known = known.or_insert(line);
        if ts(line) >= ts(known) {
            *known = line;
        }
    }
    let named = last.into_values().filter(|one| one["limit"] != "none");
    named.collect()
}

/// The pauses in progress at the end of a request, as last told by the processes of its course: those of
/// the servers that it was sent to, or all if it was refused for pauses.
fn pauses<'a>(lines: &'a [Value], course: &[&Value]) -> Vec<&'a Value> {
    let end = course.last().map_or("", |one| ts(one));
    let is_paused = course.iter().any(|one| one["event"] == PAUSED);
    let is_on_course = |key: &str, line: &Value| course.iter().any(|one| one[key] == line[key]);
    let mut last: BTreeMap<(&str, &str), &Value> = BTreeMap::new();
    for line in lines.iter().filter(|one| one["event"] == PAUSE) {
        let concerns = is_on_course("node", line) && (is_paused || is_on_course("server", line));
        if ts(line) > end || !concerns {
            continue;
        }
        let text = |key: &str| line[key].as_str().unwrap_or_default();
        let known = last.entry((text("node"), text("server"))).or_insert(line);
        if ts(line) >= ts(known) {
            *known = line;
        }
    }
    let in_progress = last.into_values().filter(|one| one["change"] != "ends");
    in_progress.collect()
}

/// The evacuated zones whose servers were left out, as last told by each process of the course up to
/// its end.
fn zones<'a>(lines: &'a [Value], course: &[&Value]) -> Vec<&'a Value> {
    let end = course.last().map_or("", |one| ts(one));
    let is_on_course = |node: &Value| course.iter().any(|one| one["node"] == *node);
    let mut last: BTreeMap<&str, &Value> = BTreeMap::new();
    for line in lines.iter().filter(|one| one["event"] == ZONES) {
        let node = &line["node"];
        if ts(line) > end || !is_on_course(node) {
            continue;
        }
        let known = last.entry(node.as_str().unwrap_or_default());
        let known = known.or_insert(line);
        if ts(line) >= ts(known) {
            *known = line;
        }
    }
    last.into_values()
        .filter(|one| one["zones"] != "")
        .collect()
}

fn ts(line: &Value) -> &str {
    line["ts"].as_str().unwrap_or_default()
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
