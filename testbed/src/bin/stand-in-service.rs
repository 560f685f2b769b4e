//! The stand-in plain service.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use testbed::announce;
use testbed::backend;
use testbed::engine::life;
use testbed::flag;
use testbed::http;
use testbed::service;
use tokio::sync::Notify;

/// Threads that serve HTTP.
const WORKERS: usize = 2;

fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()?
        .block_on(run(&matches))
}

fn command() -> Command {
    Command::new("stand-in-service")
        .about("Echoes calls of any path; GET /runs/VALUE tells how many had `x-count: VALUE`")
        .args(backend::flags("crew-portal-1", "crew-portal"))
        .arg(flag::number(
            "slots",
            "64",
            "Calls that it takes at once, as announced",
        ))
        .arg(flag::number("delay-ms", "0", "How long each call takes"))
        .arg(
            Arg::new("journal")
                .long("journal")
                .value_parser(value_parser!(PathBuf))
                .help("File that keeps the counts"),
        )
}

async fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let delay = Duration::from_millis(flag::get(matches, "delay-ms"));
    let journal = matches.get_one::<PathBuf>("journal");
    let service = service::Service::open(delay, journal.map(PathBuf::as_path))?;
    let rocket = service::server(Arc::new(service), flag::get(matches, "backend-key"));
    let listen: SocketAddr = flag::get(matches, "listen");
    let server = http::serve(rocket, listen).await?;
    println!("listening on {}", server.addr);
    let announcement = announce::Announcement {
        server: flag::get(matches, "server"),
        service: flag::get(matches, "service"),
        kind: "plain",
        url: format!("http://{}", server.addr),
        incarnation: life::incarnation(),
        models: Vec::new(),
        slots: flag::get::<u64>(matches, "slots") as u32,
        memory_tokens: 0,
        ttl_ms: flag::get(matches, "ttl-ms"),
        leaving: false,
    };
    let describe = move || announcement.clone();
    backend::run(matches, Arc::new(Notify::new()), describe, || false).await
}
