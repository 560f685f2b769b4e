//! Simulates three ways for many entries to keep the rate limits of backend servers. Prints the
//! fraction of callers served, and the requests in the fullest window of 4 s relative to the allowed
//! number.
//!
//! `cargo run --release --example limit_ways -- [--seeds N]`

use std::time::Duration;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use wigeonbarrow::direct::quota;

/// Simulated time.
const DURATION: Duration = Duration::from_secs(60);

/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Longest time that a request waits to be sent.
const MAX_WAIT: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, Debug)]
enum Way {
    /// Each entry may use an equal part of each limit.
    Parts,
    /// Each limit is divided over as many entries as it allows whole requests per second, plus one.
    Holders,
    /// One entry grants all requests.
    Grants,
}

const WAYS: [Way; 3] = [Way::Parts, Way::Holders, Way::Grants];

struct Case {
    entries: usize,
    servers: usize,
    per_second: f64,
    /// Requests per second relative to the servers' limits together.
    load: f64,
}

/// Times of the requests sent to each server.
type Sent = Vec<Vec<Duration>>;

/// One entry's part of a limit: one request at once, the others evenly spaced.
#[derive(Clone, Copy)]
struct Bucket {
    gap: Duration,
    next: Duration,
}

fn main() {
    let seeds = Arg::new("seeds")
        .long("seeds")
        .default_value("20")
        .value_parser(value_parser!(u64).range(1..))
        .help("Seeds of each case");
    let matches = Command::new("limit_ways").arg(seeds).get_matches();
    let seeds = *matches.get_one::<u64>("seeds").expect("it has a default");
    println!(
        "| entries | servers | limit | load | way | served of what limits allow | most over allowed |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for case in cases() {
        for way in WAYS {
            let results = (0..seeds).map(|seed| simulate(&case, way, seed));
            let (served, max) = results.fold((0.0, 0.0_f64), |sum, result| {
                (sum.0 + result.0 / seeds as f64, sum.1.max(result.1))
            });
            println!(
                "| {} | {} | {} | {} | {way:?} | {served:.2} | {max:.2} |",
                case.entries, case.servers, case.per_second, case.load
            );
        }
    }
}

fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for (entries, servers) in [(7, 3), (25, 6), (70, 5)] {
        for per_second in [1.2, 5.0] {
            for load in [0.7, 1.5] {
                cases.push(Case {
                    entries,
                    servers,
                    per_second,
                    load,
                });
            }
        }
    }
    cases
}

/// Requests served relative to the limits, and the most in a window relative to the allowed number.
fn simulate(case: &Case, way: Way, seed: u64) -> (f64, f64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let limit = case.per_second * case.servers as f64;
    let rate = limit * case.load;
    let mut buckets = parts(case, way);
    let mut quotas = quota::Quotas::default();
    let notice = quota::Notice::Limit(quota::Rate::new(case.per_second).expect("a rate"));
    for server in 0..case.servers as u64 {
        let start = Duration::ZERO;
        quotas.observe(start, server, start, notice, quota::Source::Run);
    }
    let mut sent: Sent = vec![Vec::new(); case.servers];
    let (mut now, mut callers) = (Duration::ZERO, 0);
    while now < DURATION {
        let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
        now += Duration::from_secs_f64(gap);
        callers += 1;
        // Callers are distributed unevenly: entries with lower numbers get more of them.
        let entry = (rng.random::<f64>().powi(2) * case.entries as f64) as usize;
        let granted = match way {
            Way::Grants => grant(&mut quotas, case, now),
            Way::Parts | Way::Holders => take(&mut buckets[entry], now),
        };
        if let Some((server, at)) = granted {
            sent[server].push(at);
        }
    }
    let served: usize = sent.iter().map(Vec::len).sum();
    let max_served = (limit * DURATION.as_secs_f64()).min(f64::from(callers));
    let allowed = 1.5 * case.per_second * WINDOW.as_secs_f64() + 5.0;
    let max = sent.iter().map(|times| max_in_window(times)).max();
    (
        served as f64 / max_served,
        max.unwrap_or_default() as f64 / allowed,
    )
}

fn parts(case: &Case, way: Way) -> Vec<Vec<Option<Bucket>>> {
    let holders = match way {
        Way::Parts | Way::Grants => case.entries,
        Way::Holders => (case.per_second as usize + 1).min(case.entries),
    };
    let bucket = Bucket {
        gap: Duration::from_secs_f64(holders as f64 / case.per_second),
        next: Duration::ZERO,
    };
    let holds = |entry: usize, server: usize| (entry + server * holders) % case.entries < holders;
    let buckets = |entry: usize| {
        let servers = 0..case.servers;
        servers
            .map(|server| holds(entry, server).then_some(bucket))
            .collect()
    };
    (0..case.entries).map(buckets).collect()
}

fn take(buckets: &mut [Option<Bucket>], now: Duration) -> Option<(usize, Duration)> {
    let held = buckets.iter_mut().enumerate();
    let held = held.filter_map(|(server, bucket)| Some((server, bucket.as_mut()?)));
    let (server, bucket) = held.min_by_key(|(_, bucket)| bucket.next)?;
    let at = bucket.next.max(now);
    if at > now + MAX_WAIT {
        return None;
    }
    bucket.next = at + bucket.gap;
    Some((server, at))
}

fn grant(quotas: &mut quota::Quotas, case: &Case, now: Duration) -> Option<(usize, Duration)> {
    let servers: Vec<u64> = (0..case.servers as u64).collect();
    let grant = quotas.grant(now, "pool", &servers, MAX_WAIT, quota::Grantor::Primary);
    let grant = grant.ok()?;
    Some((grant.server as usize, now + grant.wait))
}

/// The largest number of requests in any window.
fn max_in_window(times: &[Duration]) -> usize {
    let within = |first: &Duration| {
        let end = *first + WINDOW;
        times
            .iter()
            .filter(|time| *time >= first && **time < end)
            .count()
    };
    times.iter().map(within).max().unwrap_or_default()
}
