//! The stand-in model engine; see docs/ENGINE.md.

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
use testbed::engine::cache;
use testbed::engine::life;
use testbed::engine::route;
use testbed::engine::scheduler;
use testbed::flag;
use testbed::http;
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
    Command::new("stand-in-engine")
        .about("A model engine that counts one token per 8 bytes and answers with known tokens")
        .args(backend::flags("wigeon-pool-1", "wigeon-pool"))
        .arg(flag::text(
            "models",
            "contract-desk",
            "Models loaded at the start, with commas",
        ))
        .arg(flag::number("slots", "16", "Places in the batch"))
        .arg(flag::number(
            "queue",
            "64",
            "Most runs that wait for a place",
        ))
        .arg(flag::number("memory-tokens", "400000", "KV memory"))
        .arg(flag::number(
            "prefill-rate",
            "40000",
            "Prompt tokens prefilled a second",
        ))
        .arg(flag::real("token-ms", "20", "Time of a decoding step"))
        .arg(flag::number(
            "step-tokens",
            "1024",
            "Most prompt tokens prefilled in a step",
        ))
        .arg(flag::real(
            "time-scale",
            "1",
            "How many times as fast the engine runs",
        ))
        .arg(flag::switch(
            "fencing",
            "on",
            "Whether an order with an old fence is refused",
        ))
        .arg(flag::number(
            "load-ms",
            "0",
            "How long loading a model or adapter takes",
        ))
        .arg(flag::number(
            "cache-tokens",
            "200000",
            "Size of the prefix cache",
        ))
        .arg(flag::number(
            "cache-delay-ms",
            "0",
            "How late cache events are told",
        ))
        .arg(flag::real(
            "cache-gap-rate",
            "0",
            "Part of the answers on cache events with a gap",
        ))
        .arg(flag::number("seed", "1", "Seed of the gaps"))
        .arg(flag::number(
            "load-lag-ms",
            "0",
            "How late the load is told",
        ))
        .arg(flag::text(
            "crash-on",
            "",
            "A prompt that holds this text kills the process",
        ))
        .arg(
            Arg::new("journal")
                .long("journal")
                .value_parser(value_parser!(PathBuf))
                .help("File that gets the prompt's hash for each run that begins"),
        )
}

fn settings(matches: &ArgMatches) -> life::Settings {
    let number = |name| flag::get::<u64>(matches, name);
    let real = |name| flag::get::<f64>(matches, name);
    let scale = real("time-scale").max(f64::MIN_POSITIVE);
    let cache = cache::Settings {
        tokens: number("cache-tokens"),
        delay: number("cache-delay-ms") * 1000,
        gaps: real("cache-gap-rate"),
        seed: number("seed"),
    };
    let scheduler = scheduler::Settings {
        slots: number("slots").max(1) as usize,
        queue: number("queue") as usize,
        memory: number("memory-tokens"),
        prefill_rate: (number("prefill-rate") as f64 * scale) as u64,
        token_micros: (real("token-ms") * 1000.0 / scale) as u64,
        step_tokens: number("step-tokens").max(1),
        cache,
    };
    life::Settings {
        scheduler,
        models: flag::list(matches, "models"),
        fencing: flag::get::<String>(matches, "fencing") == "on",
        lag: number("load-lag-ms") * 1000,
        crash_on: flag::get(matches, "crash-on"),
        journal: matches.get_one::<PathBuf>("journal").cloned(),
        load: Duration::from_millis(number("load-ms")),
    }
}

async fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let life = Arc::new(life::Life::new(settings(matches))?);
    let worker = Arc::clone(&life);
    let thread = std::thread::Builder::new().name("steps".into());
    thread.spawn(move || worker.work())?;

    let changed = Arc::new(Notify::new());
    let key = flag::get(matches, "backend-key");
    let rocket = route::server(Arc::clone(&life), key, Arc::clone(&changed));
    let listen: SocketAddr = flag::get(matches, "listen");
    let server = http::serve(rocket, listen).await?;
    println!("listening on {}", server.addr);

    let announcement = announce::Announcement {
        server: flag::get(matches, "server"),
        service: flag::get(matches, "service"),
        kind: "engine",
        url: format!("http://{}", server.addr),
        incarnation: life.incarnation,
        models: Vec::new(),
        slots: life.settings.scheduler.slots as u32,
        memory_tokens: life.settings.scheduler.memory,
        ttl_ms: flag::get(matches, "ttl-ms"),
        leaving: false,
    };
    let posture = Arc::clone(&life);
    let describe = move || announce::Announcement {
        models: posture.posture().models.into_iter().collect(),
        ..announcement.clone()
    };
    let busy = || life.with(|scheduler, _| scheduler.load()) != (0, 0);
    backend::run(matches, changed, describe, busy).await
}
