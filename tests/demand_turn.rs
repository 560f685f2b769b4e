//! Work turns from short prompts to long ones within a second: whether long prompts get the servers
//! that become free, and what that does to the streams that are still written there.

use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use wigeonbarrow::direct::congestion::Congestion;
use wigeonbarrow::direct::lane;
use wigeonbarrow::direct::lane::Lane;
use wigeonbarrow::direct::load::Load;
use wigeonbarrow::direct::model::Engine;
use wigeonbarrow::direct::place;
use wigeonbarrow::direct::place::Need;
use wigeonbarrow::direct::place::Place;
use wigeonbarrow::direct::place::Server;

#[path = "common/engines.rs"]
mod engines;

const SERVERS: usize = 45;
const SLOTS: u32 = 12;
const TIGHT_BOUND_MS: u32 = 200;
const OBJECTIVE: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(15);
/// Length of a pass, with whose end a first event comes.
const PASS: Duration = Duration::from_millis(75);
const WRITES: Duration = Duration::from_millis(1_400);

fn engine() -> Engine {
    Engine {
        slots: SLOTS,
        memory_tokens: 382_500,
        stride: 52,
        step_ms: 0.925,
        writer_ms: 0.004_83,
        context_ms_per_k: 0.002_54,
        read_per_ms: 256.0,
        pairs_ms_per_m: 0.0917,
        ..engines::engine()
    }
}

fn server(at: usize, load: Load) -> Server {
    Server {
        key: at as u64,
        near: true,
        slots: SLOTS,
        load,
        pace: 1.0,
        failing: 0.0,
    }
}

fn tight(count: u32) -> Load {
    Load {
        writers: count,
        tight: count,
        bound_ms: if count > 0 { TIGHT_BOUND_MS } else { 0 },
        context: u64::from(count) * 5_000,
        memory: u64::from(count) * 5_000,
        ..Load::default()
    }
}

fn reading(left_ms: u32) -> Load {
    Load {
        long: 1,
        backlog_ms: left_ms,
        read_ms: left_ms,
        ..Load::default()
    }
}

fn long(prompt: u64) -> Need {
    Need {
        objective: OBJECTIVE,
        bound_ms: 800,
        ..engines::long(prompt)
    }
}

fn placed(need: &Need, servers: &[Server]) -> Place {
    place::engine(&engine(), need, servers, lane::Demand::WAITING).expect("there is memory")
}

fn width(place: &Place) -> usize {
    place.helpers.len() + 1
}

fn disturbed(place: &Place, servers: &[Server]) -> u32 {
    let all = place.helpers.iter().chain([&place.writer]);
    let tight = all.map(|at| servers[*at].load.tight);
    let most_ms = f64::from(TIGHT_BOUND_MS) - PASS.as_secs_f64() * 1e3;
    if place.segment_ms > most_ms {
        tight.sum()
    } else {
        0
    }
}

/// Otherwise servers stay reserved for short prompts that do not come, while long ones wait.
#[test]
fn spare_follows_demand() {
    let servers: Vec<Server> = (0..SERVERS).map(|at| server(at, tight(2))).collect();
    let lane_at = |level: f64| {
        let demand = lane::Demand { waits: true, level };
        let lanes = lane::lanes(&servers, demand, lane::Sharing::Few);
        lane::of(&lanes, Lane::Tight).len() as u32
    };
    let streams = 2 * SERVERS as u32;
    assert!(lane_at(1.0) < lane_at(0.0));
    assert!(lane_at(1.0) * SLOTS >= streams, "each stream has a slot");
}

/// Otherwise the prompt waits for as many servers as it would get on an idle lane, and those that are
/// free stand idle.
#[test]
fn free_servers_used() {
    let servers: Vec<Server> = (0..SERVERS)
        .map(|at| {
            server(
                at,
                if at < 38 {
                    reading(700)
                } else {
                    Load::default()
                },
            )
        })
        .collect();
    let place = placed(&long(420_000), &servers);
    assert!(place.delay_ms <= 0.0, "{place:?}");
    assert!(width(&place) <= 7, "{place:?}");
    assert!(place.first_ms < 4_000.0, "{place:?}");
}

/// A prompt that would be late on the servers that are free waits for more.
#[test]
fn more_servers_awaited() {
    let servers: Vec<Server> = (0..SERVERS)
        .map(|at| {
            server(
                at,
                if at < 43 {
                    reading(400)
                } else {
                    Load::default()
                },
            )
        })
        .collect();
    let place = placed(&long(600_000), &servers);
    assert!(place.delay_ms > 0.0, "{place:?}");
    assert!(place.first_ms < 4_000.0, "{place:?}");
}

/// Streams are not stalled for a prompt that is on time after they have ended.
#[test]
fn streams_end_first() {
    let servers: Vec<Server> = (0..SERVERS).map(|at| server(at, tight(4))).collect();
    let need = Need {
        objective: Duration::from_secs(8),
        ..long(254_000)
    };
    let place = placed(&need, &servers);
    assert!(
        place.delay_ms > 0.0 || disturbed(&place, &servers) == 0,
        "{place:?}"
    );
}

/// A less urgent prompt costs more urgent streams no more than it is worth.
#[test]
fn urgent_streams_spared() {
    let servers: Vec<Server> = (0..SERVERS).map(|at| server(at, tight(1))).collect();
    let disturbs = |priority_gap: u8| {
        let need = Need {
            objective: Duration::from_millis(1_300),
            priority_gap,
            ..long(300_000)
        };
        let place = placed(&need, &servers);
        if place.delay_ms > 0.0 {
            return 0;
        }
        disturbed(&place, &servers)
    };
    assert!(disturbs(4) < disturbs(0).max(1), "{}", disturbs(0));
}

struct Caller {
    arrived: Duration,
    prompt: u64,
    draw: u64,
}

/// The fleet after short prompts at 2.5 times their usual rate: their streams end one by one.
struct Fleet {
    /// When each stream ends, by server.
    streams: Vec<Vec<Duration>>,
    free_at: Vec<Duration>,
    /// Writer, prompt, when it is read.
    runs: Vec<(Place, u64, Duration)>,
}

impl Fleet {
    fn new(draw: &mut StdRng) -> Self {
        let end = |draw: &mut StdRng| {
            let share: f64 = draw.random_range(f64::EPSILON..1.0);
            Duration::from_secs_f64((-share.ln() * 1.7).min(5.0))
        };
        let streams = |_| (0..6).map(|_| end(draw)).collect();
        Self {
            streams: (0..SERVERS).map(streams).collect(),
            free_at: vec![Duration::ZERO; SERVERS],
            runs: Vec::new(),
        }
    }

    fn servers(&self, now: Duration) -> Vec<Server> {
        let load = |at: usize| {
            let streams = self.streams[at].iter().filter(|end| now < **end).count();
            let left = self.free_at[at].saturating_sub(now);
            Load {
                backlog_ms: left.as_millis() as u32,
                read_ms: left.as_millis() as u32,
                ..tight(streams as u32)
            }
        };
        let mut out: Vec<Server> = (0..SERVERS).map(|at| server(at, load(at))).collect();
        for (place, prompt, read_at) in &self.runs {
            if now >= *read_at + WRITES {
                continue;
            }
            let writer = &mut out[place.writer].load;
            writer.memory += prompt;
            if now >= *read_at {
                writer.writers += 1;
                writer.context += prompt;
                writer.bound_ms = if writer.tight > 0 {
                    TIGHT_BOUND_MS
                } else {
                    800
                };
                continue;
            }
            writer.readers += 1;
            for at in place.helpers.iter().chain([&place.writer]) {
                out[*at].load.long += 1;
            }
        }
        out
    }

    fn start(&mut self, now: Duration, prompt: u64, place: Place) -> Duration {
        let read_time = Duration::from_secs_f64(place.segment_ms / 1e3);
        let mut read_at = now;
        for at in place.helpers.iter().chain([&place.writer]) {
            self.free_at[*at] = self.free_at[*at].max(now) + read_time;
            read_at = read_at.max(self.free_at[*at]);
        }
        self.runs.push((place, prompt, read_at + PASS));
        read_at + PASS
    }
}

/// Long prompts that came, those of them on time, and streams that were stalled.
fn simulate(seed: u64, per_s: f64) -> (u32, u32, u32) {
    let mut draw = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(&mut draw);
    let mut congestion = Congestion::default();
    let mut waiting: Vec<Caller> = Vec::new();
    let (mut came, mut on_time, mut stalled) = (0, 0, 0);
    let mut now = Duration::ZERO;
    let end = Duration::from_secs(10);
    while now < end || !waiting.is_empty() {
        if now < end && draw.random_bool(per_s * STEP.as_secs_f64()) {
            came += 1;
            waiting.push(Caller {
                arrived: now,
                prompt: draw.random_range(110_000..380_000),
                draw: draw.random(),
            });
        }
        congestion.observe(now, !waiting.is_empty());
        let demand = lane::Demand {
            waits: !waiting.is_empty(),
            level: congestion.level(),
        };
        let servers = fleet.servers(now);
        let shortest = (0..waiting.len()).min_by_key(|at| waiting[*at].prompt);
        if let Some(at) = shortest {
            let caller = &waiting[at];
            let need = Need {
                objective: OBJECTIVE.saturating_sub(now.saturating_sub(caller.arrived)),
                draw: caller.draw,
                ..long(caller.prompt)
            };
            let place = place::engine(&engine(), &need, &servers, demand);
            if let Some(place) = place.filter(|place| place.delay_ms <= 0.0) {
                stalled += disturbed(&place, &servers);
                let caller = waiting.remove(at);
                let first_at = fleet.start(now, caller.prompt, place);
                on_time += u32::from(first_at <= caller.arrived + OBJECTIVE);
            }
        }
        now += STEP;
    }
    (came, on_time, stalled)
}

/// Five long prompts a second ask for two thirds of what the fleet reads, just after its streams were
/// spread over all servers. With a fixed spare and a fixed width they wait for twice their objective.
#[test]
fn long_after_short() {
    let runs = (0..10).map(|seed| simulate(seed, 5.0));
    let (came, on_time, stalled) = runs.fold((0, 0, 0), |sum, run| {
        (sum.0 + run.0, sum.1 + run.1, sum.2 + run.2)
    });
    println!("{came} came, {on_time} on time, {stalled} streams stalled");
    assert!(on_time * 10 >= came * 9, "{on_time} of {came} on time");
    // A prompt on time is worth about 16 streams on time.
    assert!(
        stalled * 20 <= on_time * 16,
        "{stalled} streams stalled, more than a twentieth of what {on_time} prompts are worth"
    );
}
