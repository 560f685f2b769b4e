//! Every fault at every step of a gang, and several gangs at once over few engines: each request
//! ends by its time limit with the right answer or the truth, and all memory is given back.

mod gang_matrix {
    pub mod engine;
    pub mod world;
}

use std::time::Duration;

use gang_matrix::engine;
use gang_matrix::world;
use gang_matrix::world::World;
use gang_matrix::world::ms;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wigeonbarrow::entry::request;
use wigeonbarrow::wire::outcome::Ran;

const SERVERS: usize = 3;
const LIMIT: Duration = ms_const(30_000);

/// Replies after which all three segments were started: three reservations, then a start and a word
/// that it is held for each of the first two, and the last one's start.
const ALL_STARTED: u32 = 8;

/// After the last time limit: the sidecars' graces, and two readings of the engines' lists.
const SETTLE: Duration = ms_const(20_000);

const fn ms_const(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The engine takes no segment once.
    Refuse,
    /// The engine dies and is back after a second.
    KillEngine,
    /// The engine dies for good.
    LoseEngine,
    /// The engine stands still for a while.
    FreezeEngine,
    /// The sidecar restarts; the engine goes on.
    RestartSidecar,
    FreezeSidecar,
    /// It stands still to the time limit, and no link is cut; there is a fourth server.
    HangSidecar,
    /// The link is cut, shorter and longer than the grace.
    ShortCut,
    LongCut,
    /// The engine asks for a drain, and stays.
    Leave,
    /// The entry process dies.
    KillEntry,
    /// The caller goes away.
    CallerGone,
    /// Every reply from here on comes late; or comes twice.
    Late,
    Twice,
}

const FAULTS: [Fault; 14] = [
    Fault::Refuse,
    Fault::KillEngine,
    Fault::LoseEngine,
    Fault::FreezeEngine,
    Fault::RestartSidecar,
    Fault::FreezeSidecar,
    Fault::HangSidecar,
    Fault::ShortCut,
    Fault::LongCut,
    Fault::Leave,
    Fault::KillEntry,
    Fault::CallerGone,
    Fault::Late,
    Fault::Twice,
];

impl Fault {
    fn strike(self, world: &mut World, server: usize) {
        let now = world.now;
        match self {
            Self::Refuse => world.full[server] = true,
            Self::KillEngine | Self::LoseEngine => world.engines[server].alive = false,
            Self::FreezeEngine => world.slow[server] = now + ms(4_000),
            Self::RestartSidecar => world.restart_sidecar(server),
            Self::FreezeSidecar => world.frozen[server] = now + ms(3_000),
            Self::HangSidecar => world.frozen[server] = now + LIMIT + ms(1_000),
            Self::ShortCut => world.cut(server, ms(500)),
            Self::LongCut => world.cut(server, ms(8_000)),
            Self::Leave => world.engines[server].leaving = true,
            Self::KillEntry => {
                world.callers[0].alive = false;
                world.lose(world::HOP, |_, caller| caller == 0);
            }
            Self::CallerGone => world.request(0, request::Event::Disconnected),
            Self::Late => world.late = ms(700),
            Self::Twice => world.twice = true,
        }
    }

    fn mend(self, world: &mut World, server: usize) {
        if self == Self::KillEngine {
            let life = world.engines[server].life + 1;
            world.engines[server] = engine::Engine::new(life);
        }
    }

    /// Whether a request that may be repeated must come to its whole answer all the same.
    fn is_survived(self, step: u32) -> bool {
        match self {
            // Without the third engine the prompt cannot be held.
            Self::LoseEngine => false,
            // What was started there goes on.
            Self::Leave => step >= ALL_STARTED,
            Self::KillEntry | Self::CallerGone => false,
            _ => true,
        }
    }
}

/// What holds whatever happened.
fn check(world: &World, what: &str) {
    assert_eq!(world.over, 0, "{what}: an engine held more than it has");
    for (server, engine) in world.engines.iter().enumerate() {
        if engine.alive {
            assert_eq!(engine.used(), 0, "{what}: engine {server} lost memory");
        }
        let ledger = &world.sidecars[server].ledger;
        assert_eq!(ledger.in_progress(), 0, "{what}: ledger {server}");
        if engine.alive {
            assert_eq!(ledger.load().used_tokens, 0, "{what}: ledger {server}");
        }
    }
    for (number, caller) in world.callers.iter().enumerate() {
        if !caller.alive {
            continue;
        }
        assert_eq!(caller.finals.len(), 1, "{what}: finals of {number}");
        assert_eq!(caller.gang.members(), 0, "{what}: members of {number}");
        let (at, end) = &caller.finals[0];
        assert!(
            *at <= caller.deadline + ms(100),
            "{what}: {number} ended late"
        );
        let hash = engine::hash(0, &caller.body);
        let right = (0..u64::from(world::MAX_TOKENS)).map(|at| hash.wrapping_add(at).to_string());
        let right: Vec<String> = right.collect();
        assert!(right.starts_with(&caller.tokens), "{what}: a wrong answer");
        match end {
            Ok(()) => assert_eq!(caller.tokens, right, "{what}: {number}"),
            Err(failure) if failure.ran == Ran::NotRun => {
                assert_eq!(caller.runs, 0, "{what}: {number} ran: {failure:?}");
            }
            Err(_) => {}
        }
    }
}

/// One gang, and a fault after its `step`th reply. `None`: it had ended before.
fn cell(
    fault: Fault,
    server: usize,
    step: u32,
    repeatable: bool,
    limit: Duration,
) -> Option<World> {
    let what = format!("{fault:?} at {server} after {step}, repeatable {repeatable}");
    let servers = SERVERS + usize::from(fault == Fault::HangSidecar);
    let mut world = World::new(servers, &[(limit, repeatable)]);
    let end = world.callers[0].deadline + SETTLE;
    let is_over = |world: &World| !world.callers[0].finals.is_empty();
    if !world.run(end, |world| world.heard >= step || is_over(world)) || is_over(&world) {
        return None;
    }
    fault.strike(&mut world, server);
    let mended = world.now + ms(1_000);
    world.run(mended, |_| false);
    fault.mend(&mut world, server);
    world.run(end, |_| false);
    check(&world, &what);
    let caller = &world.callers[0];
    if !repeatable {
        assert!(caller.runs <= 1, "{what}: ran {} times", caller.runs);
    }
    if repeatable && limit == LIMIT && fault.is_survived(step) {
        assert!(caller.finals[0].1.is_ok(), "{what}: {:?}", caller.finals);
    }
    Some(world)
}

#[test]
fn every_fault_at_every_step() {
    let mut cells = 0;
    let mut whole = 0;
    for repeatable in [true, false] {
        for fault in FAULTS {
            for server in 0..SERVERS {
                for step in 0.. {
                    let Some(world) = cell(fault, server, step, repeatable, LIMIT) else {
                        assert!(step >= 12, "{fault:?}: only {step} steps");
                        break;
                    };
                    cells += 1;
                    let ends = &world.callers[0].finals;
                    whole += u32::from(ends.first().is_some_and(|(_, end)| end.is_ok()));
                }
            }
        }
    }
    println!("{cells} cells, {whole} with a whole answer");
}

#[test]
fn time_limit_at_every_step() {
    let mut cells = 0;
    for limit in (20..1_000).step_by(20) {
        let mut world = World::new(SERVERS, &[(ms(limit), true)]);
        let end = world.callers[0].deadline + SETTLE;
        world.run(end, |_| false);
        check(&world, &format!("limit of {limit} ms"));
        cells += 1;
    }
    println!("{cells} cells");
}

/// Several gangs at once, and with some seeds faults under them.
fn crowd(seed: u64) -> (u64, usize) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let gangs = rng.random_range(2..=3);
    let servers = rng.random_range(3..=4);
    let faults = if seed.is_multiple_of(2) { 0 } else { 2 };
    let limits: Vec<(Duration, bool)> = (0..gangs).map(|_| (LIMIT, true)).collect();
    let mut world = World::new(servers, &limits);
    let end = world.callers[0].deadline + SETTLE;
    for _ in 0..faults {
        let fault = FAULTS[rng.random_range(0..FAULTS.len())];
        let server = rng.random_range(0..servers);
        let strike = world.now + ms(rng.random_range(0..1_500));
        world.run(strike, |_| false);
        fault.strike(&mut world, server);
        let mended = world.now + ms(1_000);
        world.run(mended, |_| false);
        fault.mend(&mut world, server);
    }
    world.run(end, |_| false);
    check(&world, &format!("seed {seed}"));
    let whole = world.callers.iter().filter(|caller| {
        let end = caller.finals.first();
        end.is_some_and(|(_, end)| end.is_ok())
    });
    let whole = whole.count();
    if faults == 0 {
        assert_eq!(whole, gangs, "seed {seed}: {servers} servers");
    }
    (world.trace, whole)
}

#[test]
fn gangs_at_once() {
    let mut whole = 0;
    for seed in 0..400 {
        let (trace, ended) = crowd(seed);
        whole += ended;
        if seed.is_multiple_of(20) {
            assert_eq!(crowd(seed).0, trace, "seed {seed} is not the same twice");
        }
    }
    println!("400 seeds, {whole} whole answers");
}
