//! The open-loop load tool.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use anyhow::ensure;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use testbed::flag;
use testbed::load::call;
use testbed::load::mix;
use testbed::load::plot;
use testbed::load::run;

/// Threads that send.
const WORKERS: usize = 4;

fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    let settings = settings(&matches)?;
    let report = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()?
        .block_on(run::run(&settings, |_| ()))?;
    if let Some(path) = matches.get_one::<PathBuf>("svg") {
        let svg = plot::svg(
            "Time to first token by prompt length",
            &plot::series(&report, ""),
        );
        fs::write(path, svg).with_context(|| path.display().to_string())?;
    }
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{}", report.table());
    }
    Ok(())
}

fn command() -> Command {
    let many = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .action(ArgAction::Append)
            .value_name(value)
            .help(help)
    };
    Command::new("load")
        .about("Sends requests when they are due, whatever becomes of the others, and checks all")
        .arg(many("entry", "URL", "An entry; several are used in turn"))
        .arg(many(
            "direct",
            "URL",
            "An engine to ask directly; several are used in turn",
        ))
        .arg(many(
            "workspace",
            "NAME=KEY[=WEIGHT]",
            "A workspace that sends",
        ))
        .arg(flag::real(
            "direct-part",
            "0.5",
            "Part of the requests that goes to --direct",
        ))
        .arg(flag::text("backend-key", "", "Key of the engines").env("BACKEND_KEY"))
        .arg(flag::text("model", "contract-desk", "Model to ask for"))
        .arg(flag::real("rate", "10", "Requests a second"))
        .arg(flag::real("seconds", "10", "How long requests are sent"))
        .arg(flag::number("count", "1000000", "Most requests sent"))
        .arg(flag::number(
            "in-progress",
            "4000",
            "Most requests in progress",
        ))
        .arg(flag::number(
            "seed",
            "1",
            "Seed of arrivals, lengths and prompts",
        ))
        .arg(flag::text(
            "lengths",
            "brief:300000",
            "fixed:N, uniform:MIN-MAX or brief:MAX",
        ))
        .arg(flag::number(
            "drop-longer",
            "100000000",
            "Leave longer prompts out; the others come as they would with them",
        ))
        .arg(flag::text(
            "max-tokens",
            "16-64",
            "Length of answers, N or MIN-MAX",
        ))
        .arg(flag::number(
            "prefix-groups",
            "1",
            "How many shared prefixes there are",
        ))
        .arg(flag::number(
            "prefix-tokens",
            "0",
            "Length of the shared prefixes",
        ))
        .arg(flag::text(
            "burst",
            "",
            "FACTOR,EVERY,LASTS with seconds; empty for none",
        ))
        .arg(flag::real(
            "once-part",
            "0",
            "Part of the requests marked as not repeatable",
        ))
        .arg(flag::real(
            "prefill-rate",
            "0",
            "Engines' prompt tokens a second, for the slowdown",
        ))
        .arg(flag::number(
            "time-limit-ms",
            "60000",
            "Time limit of each request",
        ))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON"),
        )
        .arg(
            Arg::new("svg")
                .long("svg")
                .value_parser(value_parser!(PathBuf))
                .help("File for a plot of the time to first token"),
        )
}

fn many(matches: &ArgMatches, name: &str) -> Vec<String> {
    let values = matches.get_many::<String>(name);
    values.into_iter().flatten().cloned().collect()
}

fn settings(matches: &ArgMatches) -> anyhow::Result<run::Settings> {
    let entries = many(matches, "entry");
    let engines = many(matches, "direct");
    ensure!(
        !entries.is_empty() || !engines.is_empty(),
        "--entry or --direct is needed"
    );
    let workspaces = many(matches, "workspace")
        .iter()
        .map(|text| workspace(text))
        .collect::<anyhow::Result<Vec<_>>>()?;
    ensure!(
        entries.is_empty() || !workspaces.is_empty(),
        "--workspace is needed"
    );
    let direct = if engines.is_empty() {
        0.0
    } else if entries.is_empty() {
        1.0
    } else {
        flag::get(matches, "direct-part")
    };
    let rate: f64 = flag::get(matches, "rate");
    ensure!(rate > 0.0, "--rate must be above 0");
    let mix = mix::Settings {
        seed: flag::get(matches, "seed"),
        rate,
        burst: burst(&flag::get::<String>(matches, "burst"))?,
        lengths: flag::get::<String>(matches, "lengths").parse()?,
        drop_longer: flag::get(matches, "drop-longer"),
        max_tokens: mix::range(&flag::get::<String>(matches, "max-tokens"))?,
        prefix_groups: flag::get(matches, "prefix-groups"),
        prefix_tokens: flag::get(matches, "prefix-tokens"),
        weights: workspaces.iter().map(|w| w.weight).collect(),
        direct,
        once: flag::get(matches, "once-part"),
    };
    let call = call::Settings {
        model: flag::get(matches, "model"),
        limit: Duration::from_millis(flag::get(matches, "time-limit-ms")),
        backend_key: flag::get(matches, "backend-key"),
        prefill_rate: flag::get(matches, "prefill-rate"),
    };
    Ok(run::Settings {
        mix,
        call,
        duration: Duration::from_secs_f64(flag::get(matches, "seconds")),
        count: flag::get(matches, "count"),
        in_progress: flag::get::<u64>(matches, "in-progress") as usize,
        entries,
        engines,
        workspaces,
    })
}

fn workspace(text: &str) -> anyhow::Result<mix::Workspace> {
    let parts: Vec<&str> = text.split('=').collect();
    let (name, key, weight) = match parts[..] {
        [name, key] => (name, key, 1.0),
        [name, key, weight] => (name, key, weight.parse()?),
        _ => anyhow::bail!("{text}: NAME=KEY[=WEIGHT]"),
    };
    Ok(mix::Workspace {
        name: name.to_owned(),
        key: key.to_owned(),
        weight,
    })
}

fn burst(text: &str) -> anyhow::Result<Option<mix::Burst>> {
    if text.is_empty() {
        return Ok(None);
    }
    let parts = text.split(',').map(str::parse::<f64>);
    let parts = parts.collect::<Result<Vec<_>, _>>()?;
    let [factor, every, lasts] = parts[..] else {
        anyhow::bail!("{text}: FACTOR,EVERY,LASTS");
    };
    Ok(Some(mix::Burst {
        factor,
        every: Duration::from_secs_f64(every),
        lasts: Duration::from_secs_f64(lasts),
    }))
}
