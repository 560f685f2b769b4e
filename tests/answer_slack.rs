//! Answers with little time until their deadline: where they are placed, when they leave a silent
//! server, and which of them are rejected.

use std::time::Duration;

use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::prop_assert;
use proptest::prelude::prop_assert_eq;
use proptest::proptest;
use proptest::strategy::Strategy;
use wigeonbarrow::direct::catalog::Kind;
use wigeonbarrow::direct::catalog::Route;
use wigeonbarrow::direct::deadline;
use wigeonbarrow::direct::deadline::Budget;
use wigeonbarrow::direct::deadline::Rest;
use wigeonbarrow::direct::deadline::Silence;
use wigeonbarrow::direct::health::Health;
use wigeonbarrow::direct::lane;
use wigeonbarrow::direct::load::Load;
use wigeonbarrow::direct::place;
use wigeonbarrow::direct::place::Need;
use wigeonbarrow::direct::place::Place;
use wigeonbarrow::direct::place::Server;
use wigeonbarrow::direct::register::Instance;

#[path = "common/engines.rs"]
mod engines;

use engines::engine;
use engines::long;
use engines::short;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn server(at: usize, writers: u32, context: u64, backlog_ms: u32) -> Server {
    Server {
        key: at as u64,
        near: true,
        slots: 16,
        load: Load {
            writers,
            tight: writers,
            bound_ms: 250,
            context,
            memory: context,
            backlog_ms,
            ..Load::default()
        },
        pace: 1.0,
        failing: 0.0,
    }
}

fn placed(need: &Need, servers: &[Server]) -> Place {
    place::engine(&engine(), need, servers, lane::Demand::default()).expect("there is room")
}

/// The first server has a little to read and writes at once, the second reads at once and writes
/// slowly, beside a lot of context.
fn uneven() -> [Server; 2] {
    [server(0, 2, 10_000, 60), server(1, 2, 350_000, 0)]
}

/// Its answer takes 1.6 s at the first server, and 2.5 s at the second.
fn with_left(left: Duration) -> Need {
    Need {
        objective: ms(1_000),
        left,
        ..short(5_000)
    }
}

/// An answer that was placed by its first event alone is cut off at its deadline, although another
/// server would have written it in time.
#[test]
fn little_slack_fast_writer() {
    let writer = |left| placed(&with_left(left), &uneven()).writer;
    assert_eq!(writer(ms(10_000)), 1, "its first event comes sooner there");
    assert_eq!(writer(ms(5_000)), 1, "it ends in time at both");
    assert_eq!(writer(ms(2_600)), 0, "it ends in time here only");
}

/// Answers that are lately written slower than modelled need more slack.
#[test]
fn slow_answers_lately() {
    let need = Need {
        write_ratio: 2.0,
        ..with_left(ms(5_000))
    };
    assert_eq!(placed(&need, &uneven()).writer, 0);
    let mut servers = uneven();
    servers[1].pace = 2.0;
    let need = with_left(ms(5_000));
    assert_eq!(placed(&need, &servers).writer, 0, "a slow server");
}

/// A stream that is resumed near its end is not placed as if all of it were to be written again.
#[test]
fn written_part_counts() {
    let need = Need {
        written: 900,
        ..with_left(ms(2_600))
    };
    assert_eq!(placed(&need, &uneven()).writer, 1);
}

fn short_route() -> Route {
    engines::route(Kind::Stream, ms(300), Some(ms(250)))
}

fn long_route() -> Route {
    engines::route(Kind::Stream, ms(4_000), Some(ms(1_000)))
}

/// An answer that takes 1 s to write and has `slack` besides.
fn slack(slack: u64) -> Rest {
    Rest {
        left: ms(slack + 1_000),
        writing: ms(1_000),
    }
}

/// Streams that waited 1.5 s at a stalled server, and then moved, ended at their deadlines.
#[test]
fn stalls_by_slack() {
    let after = |route: &Route, millis| deadline::stall_timeout(route, slack(millis));
    let short = short_route();
    let limits = [10_000, 3_000, 2_000, 1_200, 300, 0].map(|millis| after(&short, millis));
    assert_eq!(limits, [1_500, 1_500, 1_000, 600, 500, 500].map(ms));
    let long = long_route();
    let limits = [12_000, 10_000, 6_000, 1_000].map(|millis| after(&long, millis));
    assert_eq!(limits, [5_000, 5_000, 3_000, 2_000].map(ms));
    let behind = Rest {
        left: ms(500),
        writing: ms(2_000),
    };
    assert_eq!(deadline::stall_timeout(&short, behind), ms(500));
    let free = engines::route(Kind::Stream, ms(300), None);
    assert_eq!(after(&free, 0), deadline::PROBE_AFTER, "no gap limit");
}

/// The same before the first event, counted from its predicted time.
#[test]
fn first_event_by_slack() {
    let after = |millis: u64| {
        let answer = slack(millis + 400);
        Silence::new(&short_route(), true, (400.0, 100.0), answer).move_after
    };
    let limits = [10_000, 3_200, 2_000, 800, 0].map(after);
    assert_eq!(limits, [2_000, 2_000, 1_400, 900, 900].map(ms));
    let stays = Silence::new(&short_route(), false, (400.0, 100.0), slack(800));
    assert_eq!(stays.move_after, ms(1_800), "it cannot move");
}

fn can_end(left: u64, prompt: u64, tokens: u64) -> bool {
    let budget = Budget::new(&long_route(), ms(15_000 - left), ms(left));
    budget.can_end(&engine(), prompt, tokens)
}

/// A request that cannot end ran until its deadline, and delayed others meanwhile.
#[test]
fn hopeless_answers() {
    assert!(can_end(900, 5_000, 600), "0.8 s of writing");
    assert!(!can_end(700, 5_000, 600));
    let need = long(400_000);
    assert!(
        can_end(1_000, need.prompt, 0),
        "17 servers read it in 0.9 s"
    );
    assert!(!can_end(700, need.prompt, 0));
    assert!(!can_end(0, 0, 0), "its deadline has passed");
}

/// A server that rejects is alive: a stream may be resumed there.
#[test]
fn unreachable_until_answer() {
    let server = Instance {
        id: "i-0".to_owned(),
        born: None,
    };
    let mut health = Health::default();
    assert!(!health.is_unreachable(ms(0), &server));
    let until = health.record_unreachable(ms(0), &server);
    assert!(health.is_unreachable(until.saturating_sub(ms(1)), &server));
    assert!(!health.is_unreachable(until, &server));
    health.record_rejection(ms(1), &server);
    assert!(!health.is_unreachable(ms(2), &server));
    health.record_unreachable(ms(3), &server);
    health.record_response(ms(4), &server, true);
    assert!(!health.is_unreachable(ms(5), &server));
}

fn arb_servers() -> impl Strategy<Value = Vec<Server>> {
    let load = (0..16_u32, 0..20_000_u64, 0..400_u32, 0..3_u32);
    prop::collection::vec(load, 1..12).prop_map(|loads| {
        let servers = loads.iter().enumerate();
        let servers = servers.map(|(at, (writers, context, backlog_ms, slow))| Server {
            pace: 1.0 + f64::from(*slow) / 2.0,
            ..server(at, *writers, u64::from(*writers) * context, *backlog_ms)
        });
        servers.collect()
    })
}

proptest! {
    /// With ample slack an answer is placed as if it had no deadline.
    #[test]
    fn ample_slack_as_before(servers in arb_servers(), draw in any::<u64>(), more in 0..60_000_u64) {
        // It is written in 8 s at the slowest of these servers, after a wait for a slot.
        let need = Need { draw, ..with_left(ms(30_000 + more)) };
        let endless = Need { left: ms(10_000_000), ..need };
        let lanes = lane::Demand::default();
        let place = |need: &Need| place::engine(&engine(), need, &servers, lanes);
        prop_assert_eq!(place(&need), place(&endless));
    }

    /// A silence is never shorter than gaps that are usual, and never longer than without slack.
    #[test]
    fn silence_bounds(
        gap in 0..3_000_u64,
        left in 0..20_000_u64,
        writing in 0..20_000_u64,
        first_ms in 0..5_000_u32,
        alone_ms in 0..4_000_u32,
    ) {
        let route = engines::route(Kind::Stream, ms(300), Some(ms(gap)));
        let answer = Rest { left: ms(left), writing: ms(writing) };
        let ample = Rest { left: ms(10_000_000), writing: ms(0) };
        let limit = deadline::stall_timeout(&route, answer);
        prop_assert!(limit >= ms(2 * gap), "{limit:?}");
        prop_assert!(limit <= deadline::stall_timeout(&route, ample), "{limit:?}");
        let predicted = (f64::from(first_ms), f64::from(alone_ms));
        let first = |answer| Silence::new(&route, true, predicted, answer).move_after;
        let usual = first(ample);
        prop_assert!(first(answer) <= usual);
        let least = ms(u64::from(first_ms) + 2 * gap).min(usual).min(ms(left));
        prop_assert!(first(answer) >= least);
    }

    /// What any set of servers could complete in time is never rejected.
    #[test]
    fn feasible_kept(
        left in 1..15_000_u64,
        prompt in 1..900_000_u64,
        tokens in 0..4_000_u64,
        width in 1..=place::MAX_WIDTH,
        writers in 1..16_u32,
        pace in 1.0..4.0_f64,
    ) {
        let engine = engine();
        let context = (prompt * u64::from(writers)).min(engine.memory_tokens);
        let reading = deadline::millis(engine.read_ms(prompt, width) * pace);
        let writing = engine.write_time(tokens, writers, context).mul_f64(pace);
        let ends = reading + writing;
        prop_assert!(can_end(left, prompt, tokens) || ends >= ms(left));
    }
}
