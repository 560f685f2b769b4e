//! Scenarios that measure the whole path, each over a fleet of real processes in one run.

use std::time::Duration;

use crate::fleet;
use crate::load::call;
use crate::load::mix;
use crate::load::report;
use crate::load::run;

pub mod cost;
pub mod idle;
pub mod overload;
pub mod propagation;
pub mod routing;
pub mod shares;
pub mod soak;

/// Size of a run.
#[derive(Clone, Debug)]
pub struct Size {
    /// Engines, each with a sidecar.
    pub engines: usize,
    /// Entries.
    pub entries: usize,
    /// Control processes.
    pub controls: usize,
    /// How many times as fast the engines run.
    pub scale: f64,
    /// Seconds of each measurement.
    pub seconds: f64,
    /// Seed of loads and faults.
    pub seed: u64,
    /// More of the configuration's policy.
    pub policy: String,
}

/// Prompt tokens that an engine prefills a second at scale 1.
pub const PREFILL_RATE: f64 = 40_000.0;

impl Size {
    /// A fleet of this size, with engines of the stand-in's usual kind.
    pub fn plan(&self, flags: &[&str]) -> fleet::Plan {
        let mut engine_flags: Vec<String> = flags.iter().map(|&flag| flag.to_owned()).collect();
        engine_flags.push(format!("--time-scale={}", self.scale));
        fleet::Plan {
            controls: self.controls,
            entries: self.entries,
            engines: self.engines,
            services: 0,
            engine_flags,
            config: self.policy(""),
            ..fleet::Plan::default()
        }
    }

    /// The policy's table of the configuration.
    pub fn policy(&self, more: &str) -> String {
        format!("[policy]\n{}\n{more}\n", self.policy.replace(',', "\n"))
    }

    /// A load over all entries of a fleet, of the workspace `demo`.
    pub fn load(&self, fleet: &fleet::Fleet, rate: f64, lengths: mix::Lengths) -> run::Settings {
        let demo = mix::Workspace {
            name: "demo".to_owned(),
            key: fleet::WORKSPACE_KEY.to_owned(),
            weight: 1.0,
        };
        run::Settings {
            mix: mix::Settings {
                seed: self.seed,
                rate,
                burst: None,
                lengths,
                drop_longer: u64::MAX,
                max_tokens: (16, 64),
                prefix_groups: 1,
                prefix_tokens: 0,
                weights: vec![demo.weight],
                direct: 0.0,
                once: 0.0,
            },
            call: call::Settings {
                model: "contract-desk".to_owned(),
                limit: Duration::from_secs(60),
                backend_key: fleet::BACKEND_KEY.to_owned(),
                prefill_rate: PREFILL_RATE * self.scale,
            },
            duration: Duration::from_secs_f64(self.seconds),
            count: u64::MAX >> 1,
            in_progress: 8_000,
            entries: fleet.urls(),
            engines: Vec::new(),
            workspaces: vec![demo],
        }
    }

    /// Prompt tokens a second that all engines prefill when they do nothing else.
    pub fn prefill_rate(&self) -> f64 {
        PREFILL_RATE * self.scale * self.engines as f64
    }

    /// Requests a second of a load's mix that would fill [`Self::prefill_rate`]; what the fleet can
    /// do is below, as decoding takes time too.
    pub fn capacity(&self, load: &run::Settings) -> f64 {
        let calls: Vec<_> = mix::Source::new(load.mix.clone()).take(20_000).collect();
        let sum: f64 = calls.iter().map(|call| call.recipe.tokens as f64).sum();
        let mean = sum / calls.len() as f64;
        self.prefill_rate() / mean
    }
}

/// Base URLs of a fleet's engines.
pub fn engines(fleet: &fleet::Fleet) -> Vec<String> {
    let engines = fleet
        .processes
        .iter()
        .filter(|p| p.name.starts_with("engine-"));
    engines
        .map(|engine| format!("http://{}", engine.http))
        .collect()
}

/// Sum of the memory that the engines say is in use, in tokens; waits for them to come to rest.
pub async fn rest(fleet: &fleet::Fleet) -> anyhow::Result<u64> {
    let http = reqwest::Client::new();
    let mut used = 0;
    // Their runs end at their deadlines at the latest; what is left then is lost.
    for _ in 0..100 {
        used = 0;
        for url in engines(fleet) {
            let request = http
                .get(format!("{url}/v1/runs"))
                .bearer_auth(fleet::BACKEND_KEY);
            let list: serde_json::Value = request.send().await?.json().await?;
            used += list["used_tokens"].as_u64().unwrap_or(0);
        }
        if used == 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    Ok(used)
}

/// Runs a load and says its table.
pub async fn measure(what: &str, load: &run::Settings) -> anyhow::Result<report::Report> {
    watch(what, load, |_| ()).await
}

/// Runs a load, lets `each` see its records, and says its table.
pub async fn watch(
    what: &str,
    load: &run::Settings,
    each: impl FnMut(&call::Record),
) -> anyhow::Result<report::Report> {
    let rate = load.mix.rate;
    fleet::say(&format!("\n-- {what}: {rate:.1} requests/s offered"));
    let report = run::run(load, each).await?;
    fleet::say(report.table().trim_end());
    Ok(report)
}

/// Prompt tokens of right answers a second, from the start to the last end.
pub fn prompt_rate(report: &report::Report) -> f64 {
    report.all.prompt_tokens as f64 / report.seconds
}

/// The p99 time to first token of a lane in milliseconds.
pub fn first_p99(report: &report::Report, lane: &str) -> f64 {
    report.lanes.get(lane).map_or(0.0, |group| group.first.p99)
}
