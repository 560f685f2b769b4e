//! How long requests wait, in which order long ones are served, and when the server of a request is
//! suspected.

use std::time::Duration;

use wigeonbarrow::direct::catalog::Kind;
use wigeonbarrow::direct::catalog::Route;
use wigeonbarrow::direct::deadline;
use wigeonbarrow::direct::deadline::Budget;
use wigeonbarrow::direct::deadline::Rest;
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

/// An answer that has nearly all of its time left.
fn ample(left: Duration) -> Rest {
    Rest {
        left,
        writing: ms(0),
    }
}

fn budget(waited_ms: u64) -> Budget {
    Budget::new(&long_route(), ms(waited_ms), ms(15_000 - waited_ms))
}

fn rank(need: &Need, waited_ms: u64) -> u32 {
    budget(waited_ms).rank(&engine(), need)
}

#[test]
fn rank_falls_with_wait() {
    let need = long(182_000);
    assert!(rank(&need, 0) > rank(&need, 2_000));
    let shorter = rank(&long(110_000), 0);
    assert!(shorter < rank(&need, 0) && shorter > rank(&need, 12_000));
}

/// A prompt that is late already must not make others late: all of them would be, by a little.
#[test]
fn on_time_first() {
    let late = rank(&long(110_000), 5_000);
    let large = rank(&long(400_000), 2_000);
    assert!(large < late, "{large} {late}");
    let last = rank(&long(110_000), 12_000);
    assert!(last < large, "before its caller abandons it: {last}");
}

/// Callers abandon a silent stream after the longest of 2 s, four objectives and eight gaps.
#[test]
fn callers_abandon() {
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
fn short_waits_at_entry() {
    let waits = |waited| {
        let budget = Budget::new(&short_route(), ms(waited), ms(10_000 - waited));
        budget.may_wait_at_entry(&engine(), &short(5_000))
    };
    assert!(waits(0) && waits(1_000));
    assert!(!waits(1_200), "it is sent while its caller is still there");
    assert!(
        !budget(0).may_wait_at_entry(&engine(), &long(182_000)),
        "it takes a turn"
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

/// Reading a prompt too late for its answer to be written only delays others.
#[test]
fn answer_cut_at_deadline() {
    let need = long(182_000);
    let allows = |left, first| {
        let budget = Budget::new(&long_route(), ms(15_000 - left), ms(left));
        budget.allows(&engine(), &need, ms(first))
    };
    assert!(allows(6_000, 2_000));
    assert!(!allows(4_000, 2_000), "it writes for 3.7 s");
    let mut hasty = short_route();
    hasty.max_pause = None;
    let budget = Budget::new(&hasty, ms(500), ms(14_000));
    assert!(
        !budget.allows(&engine(), &need, ms(2_000)),
        "its caller has abandoned it"
    );
}

#[test]
fn silence_limits() {
    let silence =
        |route: &Route, can_move, left| Silence::new(route, can_move, (400.0, 100.0), ample(left));
    let short = silence(&short_route(), true, ms(10_000));
    assert_eq!(short.probe_after, deadline::PROBE_AFTER);
    assert_eq!(short.move_after, ms(1_200 + 400 + 4 * 100));
    assert_eq!(
        silence(&short_route(), false, ms(10_000)).move_after,
        ms(10_000)
    );
    let call = engines::route(Kind::Safe, ms(300), None);
    assert_eq!(silence(&call, true, ms(10_000)).move_after, ms(600));
    let over = silence(&short_route(), true, ms(0));
    assert!(
        over.move_after > ms(0),
        "it would be polled without a pause: {over:?}"
    );
}

#[test]
fn stalled_streams() {
    let timeout = |route: &Route| deadline::stall_timeout(route, ample(ms(15_000)));
    assert_eq!(timeout(&short_route()), ms(1_500));
    assert_eq!(timeout(&long_route()), ms(5_000));
}

/// However many answers are written beside a long one, a step reads no more context than its server
/// holds. Counted as four times the prompt, a prompt of 455,000 tokens would be rejected on arrival, 12
/// s of writing before its deadline, though it is read in 1.3 s and written in 4 s.
#[test]
fn context_overestimated() {
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
    assert!(budget(0).may_still_start(&engine, &need));
    let longer = Need {
        answer: 9_000,
        ..need
    };
    assert!(
        !budget(0).may_still_start(&engine, &longer),
        "never complete in time"
    );
}

/// An answer that cannot be complete before its process exits is not started, however long its
/// caller waits.
#[test]
fn answer_outlives_process() {
    let at = |exit| budget(0).with_exit(exit);
    let ends = |exit, first, writing| at(exit).ends_before_exit(ms(first), ms(writing));
    assert!(ends(None, 9_000, 9_000), "no shutdown was requested");
    assert!(ends(Some(ms(5_000)), 2_000, 2_900));
    assert!(!ends(Some(ms(5_000)), 2_000, 3_000));
    assert!(!ends(Some(ms(0)), 0, 0), "the process exits now");
}

/// A shutdown gives the callers of a process no better rank among those that wait on other entries.
#[test]
fn exit_keeps_rank() {
    let need = long(182_000);
    let ranks = [None, Some(ms(7_000)), Some(ms(100))];
    let ranks = ranks.map(|exit| budget(5_000).with_exit(exit).rank(&engine(), &need));
    assert!(ranks.iter().all(|rank| *rank == ranks[0]), "{ranks:?}");
}
