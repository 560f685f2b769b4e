//! Settings of the daemon, from flags and environment, checked before anything starts.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use super::control;
use super::http;
use super::machine;
use super::node;
use super::sidecar;
use crate::control::consensus;
use crate::control::replica;
use crate::overload;

/// Exit code: the settings have findings.
pub const EXIT_SETTINGS: i32 = 2;

/// Exit code: the process could not go on.
pub const EXIT_FAILED: i32 = 1;

/// Shortest key accepted, in bytes.
const MIN_KEY: usize = 16;

/// Form of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Log {
    /// A JSON object a line.
    Json,
    /// For people.
    Term,
}

/// All settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// For all roles.
    pub node: node::Settings,
    /// Where the link listener listens.
    pub link_listen: SocketAddr,
    /// The HTTP listener.
    pub http: http::Settings,
    /// Whether it has the entry role.
    pub entry: bool,
    /// The sidecar role.
    pub sidecar: Option<sidecar::Settings>,
    /// The control role.
    pub control: Option<control::Settings>,
    /// Form of the log.
    pub log: Log,
    /// Threads for input and output.
    pub workers: usize,
    /// Time between telling the balancer and refusing new work.
    pub drain_notice: Duration,
    /// Shortest time that new work is refused before the process ends.
    pub drain_least: Duration,
    /// Longest wait for work in progress.
    pub drain_limit: Duration,
}

/// The command line.
pub fn command() -> Command {
    Command::new("wigeonbarrowd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("One process of the serving layer. Every flag can also be set in the environment.")
        .after_help(
            "Keys come from the environment or from files, never from flags:\n  \
             WIGEONBARROW_PROCESS_KEY or --process-key-file   shared by all processes\n  \
             WIGEONBARROW_OPERATOR_KEY or --operator-key-file operators and metrics\n  \
             WIGEONBARROW_BACKEND_KEY or --backend-key-file   sidecar and its backend server\n\n\
             SIGTERM drains: work in progress goes on to its end. A second one ends the wait.\n\
             Exit codes: 0 drained, 1 failed, 2 settings refused.",
        )
        .args(common_args())
        .args(role_args())
        .args(drain_args())
}

fn common_args() -> Vec<Arg> {
    vec![
        arg(
            "role",
            "ROLE",
            "Roles: entry, sidecar, control; several with commas",
        )
        .value_delimiter(',')
        .value_parser(["entry", "sidecar", "control"])
        .action(ArgAction::Append)
        .required(true),
        arg("name", "NAME", "Name of this process, unique in the fleet").required(true),
        arg("zone", "ZONE", "Availability zone").required(true),
        addr("http", "Address of the HTTP listener").required(true),
        addr("link", "Address of the listener for other processes").required(true),
        addr(
            "advertise",
            "Address at which others reach the link listener [default: --link]",
        ),
        addr("seeds", "Link addresses of control processes, with commas")
            .value_delimiter(',')
            .action(ArgAction::Append),
        arg("process-key-file", "FILE", "File with the processes' key")
            .value_parser(value_parser!(PathBuf)),
        arg("operator-key-file", "FILE", "File with the operators' key")
            .value_parser(value_parser!(PathBuf)),
        arg(
            "backend-key-file",
            "FILE",
            "File with the backend server's key",
        )
        .value_parser(value_parser!(PathBuf)),
        arg("log", "FORM", "Form of the log on standard error")
            .value_parser(["json", "term"])
            .default_value("json"),
        number("workers", "Threads for input and output", "2"),
        arg(
            "memory-mb",
            "N",
            "Memory that this process may use, in MB [default: the machine's]",
        )
        .value_parser(value_parser!(u64).range(1..)),
        number("body-memory-mb", "Memory for callers' bodies in MB", "1024"),
        number(
            "body-timeout-ms",
            "Time for a caller's body to come",
            "60000",
        ),
    ]
}

fn role_args() -> Vec<Arg> {
    vec![
        addr(
            "entries",
            "sidecar: link addresses of entries, with commas; others are learnt",
        )
        .value_delimiter(',')
        .action(ArgAction::Append),
        arg("data", "FOLDER", "control: the data folder").value_parser(value_parser!(PathBuf)),
        addr(
            "members",
            "control: link addresses of the first members, with commas",
        )
        .value_delimiter(',')
        .action(ArgAction::Append),
    ]
}

fn drain_args() -> Vec<Arg> {
    vec![
        number(
            "drain-notice-ms",
            "entry: time between telling the balancer and refusing new work",
            "5000",
        ),
        number(
            "drain-least-ms",
            "Shortest time that new work is refused before the process ends",
            "1000",
        ),
        number(
            "drain-limit-ms",
            "Longest wait for work in progress",
            "3600000",
        ),
    ]
}

fn arg(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .env(env_name(name))
        .value_name(value)
        .help(help)
}

fn addr(name: &'static str, help: &'static str) -> Arg {
    arg(name, "IP:PORT", help).value_parser(value_parser!(SocketAddr))
}

fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    arg(name, "N", help)
        .value_parser(value_parser!(u64))
        .default_value(default)
}

/// `WIGEONBARROW_` and the flag's name in upper case.
fn env_name(name: &str) -> clap::builder::OsStr {
    format!("WIGEONBARROW_{}", name.to_uppercase().replace('-', "_")).into()
}

/// Reads and checks the settings of this process. All findings come back at once.
pub fn read() -> Result<Settings, Vec<String>> {
    check(&command().get_matches())
}

fn check(matches: &ArgMatches) -> Result<Settings, Vec<String>> {
    let mut findings = Vec::new();
    let roles: Vec<&str> = strings(matches, "role");
    let has = |role: &str| roles.contains(&role);
    let process_key = key(matches, "process", true, &mut findings);
    let operator_key = key(matches, "operator", true, &mut findings);
    let backend_key = key(matches, "backend", has("sidecar"), &mut findings);
    let seeds = addrs(matches, "seeds");
    let entries = addrs(matches, "entries");
    let members = addrs(matches, "members");
    let link_listen = one_addr(matches, "link");
    let link = matches.get_one::<SocketAddr>("advertise").copied();
    let link = link.unwrap_or(link_listen);
    let data = matches.get_one::<PathBuf>("data").cloned();
    if has("entry") && seeds.is_empty() {
        findings.push("--seeds: an entry needs the address of a control process".to_owned());
    }
    if has("sidecar") && entries.is_empty() && !has("entry") {
        findings.push("--entries: a sidecar needs the address of an entry".to_owned());
    }
    if has("control") && data.is_none() {
        findings.push("--data: control needs a data folder".to_owned());
    }
    if has("control") && !members.contains(&link) {
        findings.push(format!(
            "--members: must hold this process's own address {link}"
        ));
    }
    if link.ip().is_unspecified() {
        findings.push(format!("--advertise: others cannot reach {link}"));
    }
    let workers = count(matches, "workers") as usize;
    if workers == 0 {
        findings.push("--workers: at least 1".to_owned());
    }
    if !findings.is_empty() {
        return Err(findings);
    }
    let log = match strings(matches, "log")[..] {
        ["term"] => Log::Term,
        _ => Log::Json,
    };
    Ok(Settings {
        node: node::Settings {
            name: string(matches, "name"),
            zone: string(matches, "zone"),
            link,
            process_key,
            seeds,
        },
        link_listen,
        http: http::Settings {
            listen: one_addr(matches, "http"),
            operator_key,
            backend_key: backend_key.clone(),
            body_timeout: Duration::from_millis(count(matches, "body-timeout-ms")),
            machine: machine(matches),
            body_memory: (count(matches, "body-memory-mb") as usize) << 20,
        },
        entry: has("entry"),
        sidecar: has("sidecar").then_some(sidecar::Settings {
            entries,
            backend_key,
        }),
        control: data
            .filter(|_| has("control"))
            .map(|data| control::Settings {
                data,
                members,
                founds: true,
                admission: consensus::Admission::Ordered,
                compact_bytes: replica::COMPACT_BYTES,
            }),
        log,
        workers,
        drain_notice: Duration::from_millis(count(matches, "drain-notice-ms")),
        drain_least: Duration::from_millis(count(matches, "drain-least-ms")),
        drain_limit: Duration::from_millis(count(matches, "drain-limit-ms")),
    })
}

/// The machine's limits, with what the settings say of its memory.
fn machine(matches: &ArgMatches) -> overload::Machine {
    let found = machine::read();
    let memory = matches.get_one::<u64>("memory-mb");
    overload::Machine {
        memory: memory.map_or(found.memory, |mb| (*mb as usize) << 20),
        ..found
    }
}

/// A key from the environment or its file.
fn key(matches: &ArgMatches, name: &str, needed: bool, findings: &mut Vec<String>) -> String {
    let flag = format!("{name}-key-file");
    let variable = format!("WIGEONBARROW_{}_KEY", name.to_uppercase());
    let given = env::var(&variable).ok();
    let key = match (matches.get_one::<PathBuf>(&flag), given) {
        (Some(path), _) => match fs::read_to_string(path) {
            Ok(text) => text.trim().to_owned(),
            Err(err) => {
                findings.push(format!("--{flag} {}: {err}", path.display()));
                return String::new();
            }
        },
        (None, Some(key)) => key,
        (None, None) if needed => {
            findings.push(format!("{variable} or --{flag}: a key is needed"));
            return String::new();
        }
        // A random key that nobody holds.
        (None, None) => format!("{:032x}", rand::random::<u128>()),
    };
    if key.len() < MIN_KEY {
        findings.push(format!("{variable}: a key has at least {MIN_KEY} bytes"));
    }
    key
}

fn strings<'a>(matches: &'a ArgMatches, name: &str) -> Vec<&'a str> {
    let values = matches.get_many::<String>(name);
    values.unwrap_or_default().map(String::as_str).collect()
}

fn string(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

fn addrs(matches: &ArgMatches, name: &str) -> Vec<SocketAddr> {
    let values = matches.get_many::<SocketAddr>(name);
    values.unwrap_or_default().copied().collect()
}

fn one_addr(matches: &ArgMatches, name: &str) -> SocketAddr {
    let addr = matches.get_one::<SocketAddr>(name).copied();
    addr.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
}

fn count(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}
