//! How long requests wait, in which order long ones are served, and when a server is doubted.

use std::time::Duration;

use wigeonbarrow::direct::catalog::Kind;
use wigeonbarrow::direct::catalog::Route;
use wigeonbarrow::direct::deadline;
use wigeonbarrow::direct::deadline::Budget;
use wigeonbarrow::direct::deadline::Silence;
use wigeonbarrow::direct::place::Need;

#[path = "common/engines.rs"]
mod engines;

use engines::engine;
use engines::long;
use engines::short;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn long_route() -> Route {
    engines::route(Kind::Stream, ms(4_000), Some(ms(1_000)))
}

fn short_route() -> Route {
    engines::route(Kind::Stream, ms(300), Some(ms(250)))
}

fn wait(waited_ms: u64) -> Budget {
    Budget::new(&long_route(), ms(waited_ms), ms(15_000 - waited_ms))
}

fn rank(need: &Need, waited_ms: u64) -> u32 {
    wait(waited_ms).rank(&engine(), need)
}

#[test]
fn waiting_gains() {
    let need = long(182_000);
    assert!(rank(&need, 0) > rank(&need, 2_000));
    let shorter = rank(&long(110_000), 0);
    assert!(shorter < rank(&need, 0) && shorter > rank(&need, 12_000));
}

/// Who is late already must not make others late: all would be, by a little.
#[test]
fn on_time_first() {
    let late = rank(&long(110_000), 5_000);
    let large = rank(&long(400_000), 2_000);
    assert!(large < late, "{large} {late}");
    let last = rank(&long(110_000), 12_000);
    assert!(last < large, "before its caller gives it up: {last}");
}

/// Callers give up a silent stream after the longest of 2 s, four objectives and eight pauses.
#[test]
fn callers_give_up() {
    let left = |route: &Route, waited| Budget::new(route, ms(waited), ms(10_000)).until_abandoned;
    assert_eq!(left(&short_route(), 500), ms(1_500));
    let mut slow = short_route();
    slow.max_pause = Some(ms(600));
    assert_eq!(left(&slow, 500), ms(4_300));
    slow.objective = ms(1_500);
    assert_eq!(left(&slow, 500), ms(5_500));
    assert_eq!(
        left(&long_route(), 500),
        ms(10_000),
        "its deadline comes first"
    );
    assert_eq!(left(&short_route(), 3_000), ms(0));
}

#[test]
fn short_holds() {
    let holds = |waited| {
        let wait = Budget::new(&short_route(), ms(waited), ms(10_000 - waited));
        wait.may_wait_at_entry(&engine(), &short(5_000))
    };
    assert!(holds(0) && holds(1_000));
    assert!(!holds(1_200), "it is sent while its caller is still there");
    assert!(
        !wait(0).may_wait_at_entry(&engine(), &long(182_000)),
        "it takes turns"
    );
}

#[test]
fn too_late_to_begin() {
    let engine = engine();
    let may = |need: &Need, left| {
        Budget::new(&long_route(), ms(15_000 - left), ms(left)).may_still_start(&engine, need)
    };
    assert!(may(&long(400_000), 10_000));
    assert!(!may(&long(400_000), 1_000), "17 engines read it for 0.9 s");
    assert!(
        !may(&long(4_000_000), 15_000),
        "half of their memory at most"
    );
}

/// Reading that ends too late for the answer to be written takes others' time for nothing.
#[test]
fn whole_in_time() {
    let need = long(182_000);
    let allows = |left, first| {
        let wait = Budget::new(&long_route(), ms(15_000 - left), ms(left));
        wait.allows(&engine(), &need, ms(first))
    };
    assert!(allows(6_000, 2_000));
    assert!(!allows(4_000, 2_000), "it writes for 3.7 s");
    let mut hasty = short_route();
    hasty.max_pause = None;
    let wait = Budget::new(&hasty, ms(500), ms(14_000));
    assert!(
        !wait.allows(&engine(), &need, ms(2_000)),
        "its caller has left"
    );
}

#[test]
fn doubts() {
    let doubt = |route: &Route, can_move, left| Silence::new(route, can_move, (400.0, 100.0), left);
    let short = doubt(&short_route(), true, ms(10_000));
    assert_eq!(short.probe_after, deadline::PROBE_AFTER);
    assert_eq!(short.move_after, ms(1_200 + 400 + 4 * 100));
    assert_eq!(
        doubt(&short_route(), false, ms(10_000)).move_after,
        ms(10_000)
    );
    let call = engines::route(Kind::Safe, ms(300), None);
    assert_eq!(doubt(&call, true, ms(10_000)).move_after, ms(600));
    let over = doubt(&short_route(), true, ms(0));
    assert!(
        over.move_after > ms(0),
        "it would be asked for without a pause: {over:?}"
    );
}

#[test]
fn stuck_streams() {
    assert_eq!(deadline::stall_timeout(&short_route()), ms(1_500));
    assert_eq!(deadline::stall_timeout(&long_route()), ms(5_000));
}

/// Beside however many others a long answer is written, a step reads no more context than its server
/// holds. Counted as four times the prompt, a prompt of 455,000 tokens was refused as it came, 12 s
/// of writing before its deadline, though it is read in 1.3 s and written in 4 s.
#[test]
fn context_is_bounded() {
    let engine = wigeonbarrow::direct::model::Engine {
        memory_tokens: 267_750,
        step_ms: 0.85,
        context_ms_per_k: 0.002_85,
        read_per_ms: 177.0,
        pairs_ms_per_m: 0.184,
        ..engine()
    };
    let need = Need {
        answer: 2_600,
        ..long(455_000)
    };
    assert!(wait(0).may_still_start(&engine, &need));
    let longer = Need {
        answer: 9_000,
        ..need
    };
    assert!(
        !wait(0).may_still_start(&engine, &longer),
        "never whole in time"
    );
}

/// An answer that cannot be whole before its process ends is not begun, however long its caller waits.
#[test]
fn within_life() {
    let at = |life| wait(0).with_exit(life);
    let ends = |life, first, writing| at(life).ends_before_exit(ms(first), ms(writing));
    assert!(ends(None, 9_000, 9_000), "no stop was asked for");
    assert!(ends(Some(ms(5_000)), 2_000, 2_900));
    assert!(!ends(Some(ms(5_000)), 2_000, 3_000));
    assert!(!ends(Some(ms(0)), 0, 0), "the end has come");
}

/// The end of a process gives its callers no better place among those that wait elsewhere.
#[test]
fn life_keeps_rank() {
    let need = long(182_000);
    let ranks = [None, Some(ms(7_000)), Some(ms(100))];
    let ranks = ranks.map(|life| wait(5_000).with_exit(life).rank(&engine(), &need));
    assert!(ranks.iter().all(|one| *one == ranks[0]), "{ranks:?}");
}
