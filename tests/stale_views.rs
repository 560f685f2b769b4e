//! Short requests on a large fleet, placed by entries that know the load of other entries with a
//! delay.

use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use wigeonbarrow::direct::lane;
use wigeonbarrow::direct::load::Load;
use wigeonbarrow::direct::model::Engine;
use wigeonbarrow::direct::place;
use wigeonbarrow::direct::place::Need;
use wigeonbarrow::direct::place::Server;

#[path = "common/engines.rs"]
mod engines;

const SERVERS: usize = 112;
const SLOTS: u32 = 10;
/// Age of what entries know of each other: 43 ms between two reports of one of 70 entries, and the
/// transmission.
const AGE: Duration = Duration::from_millis(50);
const OBJECTIVE: Duration = Duration::from_millis(400);
/// Events of an answer, one per pass.
const EVENTS: u32 = 26;

#[derive(Clone, Copy)]
struct Run {
    server: usize,
    arrived: Duration,
    read_ms: f64,
    first_at: Duration,
    ends: Duration,
}

fn servers(now: Duration, runs: &[Run]) -> Vec<Server> {
    let server = |at: usize| Server {
        key: at as u64,
        near: true,
        slots: SLOTS,
        load: Load::default(),
        pace: 1.0,
        failing: 0.0,
    };
    let mut out: Vec<Server> = (0..SERVERS).map(server).collect();
    for run in runs
        .iter()
        .filter(|run| run.arrived <= now && now < run.ends)
    {
        let load = &mut out[run.server].load;
        load.tight += 1;
        load.bound_ms = 300;
        load.memory += 6_000;
        if now < run.first_at {
            load.readers += 1;
            let left = run.read_ms - now.saturating_sub(run.arrived).as_secs_f64() * 1e3;
            load.backlog_ms += left.max(0.0) as u32;
        } else {
            load.writers += 1;
            load.context += 6_000;
        }
    }
    out
}

/// When a server serves a prompt that arrives now: after all reads that wait there, and once a slot
/// is free.
fn serve(engine: &Engine, now: Duration, prompt: u64, at: usize, runs: &[Run]) -> Run {
    let read_ms = engine.read_ms(prompt, 1);
    let there: Vec<&Run> = runs
        .iter()
        .filter(|run| run.server == at && now < run.ends)
        .collect();
    let ahead: f64 = there
        .iter()
        .filter(|run| now < run.first_at)
        .map(|run| run.read_ms)
        .sum();
    let pass_ms = engine.pass_ms(there.len() as u32, 50_000);
    let mut ends: Vec<Duration> = there.iter().map(|run| run.ends).collect();
    ends.sort_unstable();
    let over = (there.len() + 1).saturating_sub(SLOTS as usize);
    let slot_at = if over > 0 { ends[over - 1] } else { now };
    let ms = |ms: f64| Duration::from_secs_f64(ms / 1e3);
    let first_at = slot_at + ms(ahead + read_ms + pass_ms * 1.5);
    Run {
        server: at,
        arrived: now,
        read_ms,
        first_at,
        ends: first_at + ms(pass_ms * f64::from(EVENTS)),
    }
}

/// Requests in total, and those whose first event arrived in time.
fn burst(seed: u64, per_s: f64, span: Duration) -> (u32, u32) {
    let engine = Engine {
        slots: SLOTS,
        stride: 53,
        ..engines::engine()
    };
    let mut draw = StdRng::seed_from_u64(seed);
    let mut runs: Vec<Run> = Vec::new();
    let (mut now, mut requests, mut on_time) = (Duration::from_secs(1), 0, 0);
    let end = now + span;
    while now < end {
        let view = servers(now.saturating_sub(AGE), &runs);
        let prompt = draw.random_range(2_000..8_000);
        let need = Need {
            objective: OBJECTIVE,
            bound_ms: 300,
            draw: draw.random(),
            ..engines::short(prompt)
        };
        let place =
            place::engine(&engine, &need, &view, lane::Demand::default()).expect("there is room");
        let run = serve(&engine, now, prompt, place.writer, &runs);
        requests += 1;
        on_time += u32::from(run.first_at.saturating_sub(now) <= OBJECTIVE);
        runs.push(run);
        runs.retain(|run| now < run.ends + AGE);
        now += Duration::from_secs_f64(-draw.random_range(f64::EPSILON..1.0_f64).ln() / per_s);
    }
    (requests, on_time)
}

/// A burst of 2.5 times the usual rate, which takes two thirds of the slots. If entries compare all
/// servers, they choose the same ones, and of 2,272 requests (seed 0) 1,591 are on time; 2,187 if
/// each compares four of its own.
#[test]
fn short_burst() {
    for seed in 0..3 {
        let (requests, on_time) = burst(seed, 380.0, Duration::from_secs(6));
        println!("seed {seed}: {on_time} of {requests} on time");
        assert!(
            on_time * 100 >= requests * 95,
            "seed {seed}: {on_time} of {requests}"
        );
    }
}
