//! Prints the table of docs/ROUTING.md: the routers over a model of the stand-in engine's own
//! batching. Trials, not measurements.

use std::time::Duration;

use wigeonbarrow::config;

#[path = "../tests/common/fleet.rs"]
mod fleet;
#[path = "../tests/common/model.rs"]
mod model;

const SHORT: u64 = 8_000;
const LONG: u64 = 100_000;

struct Figures {
    short_alone: f64,
    short: f64,
    medium: f64,
    long: f64,
    whole: f64,
    attempts: f64,
}

fn figures(
    routing: config::Routing,
    weight: u32,
    engines: usize,
    rate: f64,
    seconds: u64,
) -> Figures {
    let mut settings = model::Settings {
        engines,
        ..model::Settings::default()
    };
    settings.conf.policy.routing = routing;
    settings.conf.policy.short_weight = weight;
    let arrivals = model::mix(7, rate, Duration::from_secs(seconds));
    let mut without = arrivals.clone();
    without.retain(|arrival| arrival.tokens < LONG);
    let count = arrivals.len() as f64;
    let with = model::Model::new(settings.clone(), arrivals).run();
    let alone = model::Model::new(settings, without).run();
    let short = |arrival: &model::Arrival| arrival.tokens <= SHORT;
    let stretch =
        |low: u64, high: u64| with.stretch(|arrival| arrival.tokens > low && arrival.tokens < high);
    Figures {
        short_alone: model::quantile(&alone.ttft(short), 0.99),
        short: model::quantile(&with.ttft(short), 0.99),
        medium: model::quantile(&stretch(SHORT, LONG), 0.95),
        long: model::quantile(&stretch(LONG, u64::MAX), 0.95),
        whole: with.whole() as f64 / with.end().as_secs_f64(),
        attempts: f64::from(with.attempts()) / count,
    }
}

fn main() {
    let seconds = 300;
    for engines in [15, 25] {
        for part in [0.5, 0.7, 0.85] {
            let rate = part * engines as f64 * 22_000.0 / 25_800.0;
            for (routing, weight) in [
                (config::Routing::RoundRobin, 50),
                (config::Routing::LeastRequests, 50),
                (config::Routing::Predicted, 100),
                (config::Routing::Predicted, 50),
                (config::Routing::Predicted, 0),
            ] {
                let f = figures(routing, weight, engines, rate, seconds);
                println!(
                    "{engines} {part} {routing:?} {weight}: short p99 {:.3}s alone {:.3}s x{:.2}, \
                     medium stretch p95 {:.2}, long stretch p95 {:.2}, whole {:.2}/s, attempts {:.3}",
                    f.short,
                    f.short_alone,
                    f.short / f.short_alone,
                    f.medium,
                    f.long,
                    f.whole,
                    f.attempts
                );
            }
        }
    }
}
