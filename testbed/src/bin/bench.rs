//! Runs a scenario over a fleet of real processes and prints its figures.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use testbed::bench;
use testbed::bench::Size;
use testbed::flag;
use testbed::http;

const SCENARIOS: [(&str, &str); 7] = [
    (
        "idle",
        "What a fleet without work costs, per role, at several sizes",
    ),
    (
        "cost",
        "Added time to first token, processor time and memory of the layer",
    ),
    (
        "routing",
        "The policy against its baselines, with a mix like the brief's",
    ),
    ("shares", "One workspace at ten times its share"),
    ("overload", "Goodput up to three times the capacity"),
    ("soak", "Traffic under random faults, with an account of it"),
    (
        "propagation",
        "Time from an accepted change to its being in force everywhere",
    ),
];

fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(run(&matches))
}

fn command() -> Command {
    let scenario = |(name, about): (&'static str, &'static str)| {
        Command::new(name)
            .about(about)
            .arg(flag::number(
                "engines",
                "8",
                "Stand-in engines, each with a sidecar",
            ))
            .arg(flag::number("entries", "2", "Entries"))
            .arg(flag::number("controls", "1", "Control processes"))
            .arg(flag::real(
                "time-scale",
                "4",
                "How many times as fast the engines run",
            ))
            .arg(flag::real("seconds", "10", "Length of each measurement"))
            .arg(flag::number("seed", "1", "Seed of loads and faults"))
            .arg(
                Arg::new("policy")
                    .long("policy")
                    .default_value("")
                    .value_name("KEY = VALUE,...")
                    .help("More of the configuration's policy"),
            )
    };
    Command::new("bench")
        .about("Measures the whole path over a fleet of real processes on loopback")
        .after_help(
            "The programs are taken from this program's own folder: build the workspace first.",
        )
        .subcommand_required(true)
        .subcommands(SCENARIOS.map(scenario))
}

async fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let Some((name, matches)) = matches.subcommand() else {
        return Ok(());
    };
    let count = |name| flag::get::<u64>(matches, name) as usize;
    let size = Size {
        engines: count("engines"),
        entries: count("entries"),
        controls: count("controls"),
        scale: flag::get(matches, "time-scale"),
        seconds: flag::get(matches, "seconds"),
        seed: flag::get(matches, "seed"),
        policy: flag::get(matches, "policy"),
    };
    // The fleet is dropped, and so ended, also when this is interrupted.
    tokio::select! {
        result = scenario(name, &size) => result,
        result = http::terminated() => result,
    }
}

async fn scenario(name: &str, size: &Size) -> anyhow::Result<()> {
    match name {
        "cost" => bench::cost::run(size).await,
        "routing" => bench::routing::run(size).await,
        "shares" => bench::shares::run(size).await,
        "overload" => bench::overload::run(size).await,
        "soak" => bench::soak::run(size).await,
        "idle" => bench::idle::run(size).await,
        "propagation" => bench::propagation::run(size).await,
        _ => anyhow::bail!("no such scenario: {name}"),
    }
}
