//! Three ways to keep the limits of backend servers over many entries, played in memory: what share of
//! callers is served, and how far the most crowded window of 4 s goes beyond what is allowed.
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

const SPAN: Duration = Duration::from_secs(60);

const WINDOW: Duration = Duration::from_secs(4);

/// How long a request waits to be sent.
const PATIENCE: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, Debug)]
enum Way {
    /// Each entry has an equal part of each limit.
    Parts,
    /// As many entries as a limit has whole requests a second, and one, have equal parts.
    Holders,
    /// One entry grants for all.
    Grants,
}

const WAYS: [Way; 3] = [Way::Parts, Way::Holders, Way::Grants];

struct Case {
    entries: usize,
    servers: usize,
    per_second: f64,
    /// Requests a second over what all servers take.
    pressed: f64,
}

/// Requests a server was sent, by when.
type Sent = Vec<Vec<Duration>>;

/// One entry's part of a limit: one request at once, the rest evenly.
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
        "| entries | servers | limit | pressed | way | served of what limits allow | most over allowed |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for case in cases() {
        for way in WAYS {
            let played = (0..seeds).map(|seed| play(&case, way, seed));
            let (served, most) = played.fold((0.0, 0.0_f64), |sum, one| {
                (sum.0 + one.0 / seeds as f64, sum.1.max(one.1))
            });
            println!(
                "| {} | {} | {} | {} | {way:?} | {served:.2} | {most:.2} |",
                case.entries, case.servers, case.per_second, case.pressed
            );
        }
    }
}

fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for (entries, servers) in [(7, 3), (25, 6), (70, 5)] {
        for per_second in [1.2, 5.0] {
            for pressed in [0.7, 1.5] {
                cases.push(Case {
                    entries,
                    servers,
                    per_second,
                    pressed,
                });
            }
        }
    }
    cases
}

/// Share served of what could be, and the most in a window over what is allowed.
fn play(case: &Case, way: Way, seed: u64) -> (f64, f64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let takes = case.per_second * case.servers as f64;
    let rate = takes * case.pressed;
    let mut buckets = parts(case, way);
    let mut quotas = quota::Quotas::default();
    let named = quota::Notice::Limit(quota::Rate::new(case.per_second).expect("a rate"));
    for server in 0..case.servers as u64 {
        let none = Duration::ZERO;
        quotas.observe(none, server, none, named, quota::Source::Run);
    }
    let mut sent: Sent = vec![Vec::new(); case.servers];
    let (mut now, mut callers) = (Duration::ZERO, 0);
    while now < SPAN {
        let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
        now += Duration::from_secs_f64(gap);
        callers += 1;
        // Callers are spread unevenly: entries of lower numbers have more of them.
        let entry = (rng.random::<f64>().powi(2) * case.entries as f64) as usize;
        let slot = match way {
            Way::Grants => grant(&mut quotas, case, now),
            Way::Parts | Way::Holders => take(&mut buckets[entry], now),
        };
        if let Some((server, at)) = slot {
            sent[server].push(at);
        }
    }
    let served: usize = sent.iter().map(Vec::len).sum();
    let most_served = (takes * SPAN.as_secs_f64()).min(f64::from(callers));
    let allowed = 1.5 * case.per_second * WINDOW.as_secs_f64() + 5.0;
    let most = sent.iter().map(|times| most_in_window(times)).max();
    (
        served as f64 / most_served,
        most.unwrap_or_default() as f64 / allowed,
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
    let of = |entry: usize| {
        let servers = 0..case.servers;
        servers
            .map(|server| holds(entry, server).then_some(bucket))
            .collect()
    };
    (0..case.entries).map(of).collect()
}

fn take(buckets: &mut [Option<Bucket>], now: Duration) -> Option<(usize, Duration)> {
    let held = buckets.iter_mut().enumerate();
    let held = held.filter_map(|(server, one)| Some((server, one.as_mut()?)));
    let (server, bucket) = held.min_by_key(|(_, one)| one.next)?;
    let at = bucket.next.max(now);
    if at > now + PATIENCE {
        return None;
    }
    bucket.next = at + bucket.gap;
    Some((server, at))
}

fn grant(quotas: &mut quota::Quotas, case: &Case, now: Duration) -> Option<(usize, Duration)> {
    let servers: Vec<u64> = (0..case.servers as u64).collect();
    let slot = quotas.grant(now, "pool", &servers, PATIENCE, quota::Grantor::Primary);
    let slot = slot.ok()?;
    Some((slot.server as usize, now + slot.wait))
}

fn most_in_window(times: &[Duration]) -> usize {
    let within = |first: &Duration| {
        let last = *first + WINDOW;
        times
            .iter()
            .filter(|one| *one >= first && **one < last)
            .count()
    };
    times.iter().map(within).max().unwrap_or_default()
}
