//! Random schedules of several faults from fixed seeds, on three and five simulated members, with
//! many concurrent clients.

#[path = "common/sim.rs"]
mod sim;
#[path = "common/work.rs"]
mod work;

use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::strategy::ValueTree as _;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use sim::Sim;
use sim::fault::Fault;
use sim::fault::Target;
use sim::ms;

const LIMIT: u64 = 300_000;

#[derive(Clone, Debug)]
struct Schedule {
    seed: u64,
    members: usize,
    /// Steps since the previous fault, the fault, its target.
    strikes: Vec<(u64, Fault, Target)>,
}

/// Whether a fault may overlap with others. Faults that destroy a disk are left to
/// `consensus_matrix`, one at a time: two at once are not a minority of three.
fn may_overlap(fault: Fault) -> bool {
    !matches!(
        fault,
        Fault::BitFlip | Fault::LoseDisk | Fault::LoseDiskThenAnother
    )
}

fn schedules() -> impl Strategy<Value = Schedule> {
    let faults: Vec<Fault> = Fault::ALL
        .iter()
        .copied()
        .filter(|one| may_overlap(*one))
        .collect();
    let fault = proptest::sample::select(faults);
    let target = proptest::sample::select(vec![Target::Here, Target::Next]);
    let strikes = proptest::collection::vec((1_u64..250, fault, target), 2..7);
    let members = proptest::sample::select(vec![3_usize, 5]);
    (0_u64..1_000_000, members, strikes).prop_map(|(seed, members, strikes)| Schedule {
        seed,
        members,
        strikes,
    })
}

fn run(schedule: &Schedule) {
    let mut sim = Sim::new(schedule.members, schedule.seed);
    for commands in work::racing(4, 4) {
        sim.add_client(commands);
    }
    let mut strikes = schedule.strikes.iter();
    let mut next = |sim: &mut Sim| {
        let strike = strikes.next();
        sim.plan = strike.map(|(after, fault, target)| (sim.steps + after, *fault, *target));
        strike.is_some()
    };
    // The next fault is planned as soon as the previous one has struck, so faults often overlap.
    while next(&mut sim) {
        sim.struck = false;
        if sim.run_until_struck(ms(LIMIT)) {
            break;
        }
    }
    assert!(sim.run(ms(LIMIT)), "no progress after the faults have gone");
    sim.check_end();
}

#[test]
fn progress_after_overlapping_faults() {
    const SEED: [u8; 32] = *b"wigeonbarrow consensus schedules";
    const CASES: u32 = 400;
    println!(
        "schedules: {CASES} cases from seed {:?}",
        std::str::from_utf8(&SEED)
    );
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let config = ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let mut strikes = 0;
    for case in 0..CASES {
        let schedule = schedules()
            .new_tree(&mut runner)
            .expect("a schedule")
            .current();
        strikes += schedule.strikes.len();
        let ended = std::panic::catch_unwind(|| run(&schedule));
        assert!(ended.is_ok(), "case {case} failed: {schedule:?}");
    }
    println!("schedules: {strikes} faults");
}

/// 50 clients compete for the same revisions and claims while members are cut off. Exactly one
/// change for each expected revision may succeed.
#[test]
fn one_winner_of_concurrent_changes() {
    for members in [3, 5] {
        let mut sim = Sim::new(members, 50);
        for commands in work::racing(50, 2) {
            sim.add_client(commands);
        }
        let cuts = [
            Fault::CutBoth,
            Fault::CutOut,
            Fault::CutIn,
            Fault::LongSilence,
        ];
        for (at, fault) in cuts.into_iter().cycle().take(8).enumerate() {
            let target = if at % 2 == 0 {
                Target::Here
            } else {
                Target::Next
            };
            sim.plan = Some((sim.steps + 400, fault, target));
            sim.struck = false;
            if sim.run_until_struck(ms(LIMIT)) {
                break;
            }
        }
        assert!(sim.run(ms(LIMIT)), "no progress after the cuts");
        sim.check_end();
        assert_eq!(sim.done.len(), 50 * 2 * 4, "every command has its verdict");
        let won = sim.winners();
        println!(
            "fifty clients: {members} members, {} commands, {won} changes won",
            sim.done.len()
        );
        assert_eq!(won, 2, "of equal expected revisions exactly one wins");
    }
}

/// A member misses so many changes that the others have dropped the entries: it must catch up with
/// a snapshot and the entries after it.
#[test]
fn lagging_member_gets_snapshot() {
    for fault in [Fault::LongSilence, Fault::LongFreeze] {
        let mut sim = Sim::new(3, 9);
        let has_leader = |sim: &Sim| sim.leader().is_some_and(|at| sim.has_lease(at));
        assert!(sim.run_until(ms(LIMIT), has_leader), "no leader");
        let behind = (sim.leader().expect("a leader") + 1) % 3;
        fault.strike(&mut sim, behind);
        for commands in work::racing(4, 80) {
            sim.add_client(commands);
        }
        let before = sim.applied(behind);
        assert!(sim.run(ms(LIMIT)), "it does not catch up");
        sim.check_end();
        let base = sim.vms[behind]
            .replica
            .as_ref()
            .expect("it runs")
            .raft()
            .log()
            .base();
        assert!(
            base.index > before + 512,
            "it got {base:?} by entries alone"
        );
        assert_eq!(sim.winners(), 80);
    }
}

/// One member is cut off while the cluster is founded, and the founder is lost for good before the
/// cut ends. The other two must continue.
#[test]
fn founder_lost_before_last_member_joins() {
    let mut sim = Sim::new(3, 4);
    let is_founded = |sim: &Sim| {
        let founder = sim.vms[0].replica.as_ref();
        founder.is_some_and(|one| one.raft().cluster() != 0)
    };
    assert!(sim.run_until(ms(LIMIT), is_founded), "nothing founded");
    sim.net.cut.extend([(0, 2), (2, 0), (1, 2), (2, 1)]);
    for commands in work::racing(3, 2) {
        sim.add_client(commands);
    }
    assert!(
        sim.run_until(ms(LIMIT), |sim| sim.done.len() == 24),
        "no progress of two"
    );
    sim.lose_for_good(0);
    sim.net.cut.clear();
    let mut more = work::racing(1, 3);
    sim.add_client(more.remove(0).split_off(8));
    assert!(sim.run(ms(LIMIT)), "the two that are left do not go on");
    sim.check_end();
}
