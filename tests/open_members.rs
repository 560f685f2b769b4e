//! Open admission, where members join and leave by themselves: no series of single losses may lose
//! acknowledged data or need an operator.

#[path = "common/sim.rs"]
mod sim;
#[path = "common/work.rs"]
mod work;

use sim::Sim;
use sim::disk::Unsynced;
use sim::ms;
use wigeonbarrow::control::consensus::Role;
use wigeonbarrow::wire::agree::Command;
use wigeonbarrow::wire::agree::Document;
use wigeonbarrow::wire::agree::Verdict;

const LIMIT: std::time::Duration = ms(120_000);

fn publish(version: u64) -> Command {
    let packed = format!("text of {version}").into();
    Command::Publish(Document { version, packed })
}

fn cluster(seed: u64) -> Sim {
    let mut sim = Sim::open(3, 3, seed);
    sim.add_client(
        (1..=20)
            .map(|key| work::claim(key, u128::from(key)))
            .collect(),
    );
    assert!(sim.run(LIMIT), "the first members agree");
    sim
}

fn voters(sim: &Sim) -> Vec<usize> {
    let leader = sim.leader().expect("a leader");
    let replica = sim.vms[leader].replica.as_ref().expect("it runs");
    let members = replica.raft().membership();
    let all = 0..sim.vms.len();
    all.filter(|at| members.voter_at(sim.vms[*at].addr).is_some())
        .collect()
}

fn has_voters(expected: &[usize]) -> impl Fn(&Sim) -> bool {
    let expected = expected.to_vec();
    move |sim: &Sim| sim.leader().is_some() && voters(sim) == expected
}

fn assert_progress(sim: &mut Sim, from: u64) {
    sim.add_client(
        (from..from + 10)
            .map(|key| work::claim(key, u128::from(key)))
            .collect(),
    );
    let before = sim.done.len();
    let decided = |sim: &Sim| sim.done.len() >= before + 10;
    assert!(sim.run_until(LIMIT, decided), "nothing is decided any more");
}

#[test]
fn newcomer_joins() {
    for seed in 0..20 {
        let mut sim = cluster(seed);
        sim.add_vm();
        sim.start(3);
        assert!(
            sim.run_until(LIMIT, has_voters(&[0, 1, 2, 3])),
            "seed {seed}"
        );
        assert_progress(&mut sim, 100);
    }
}

#[test]
fn lost_voter_replaced() {
    for seed in 0..20 {
        for lost in 0..3 {
            let mut sim = cluster(seed);
            sim.lose_for_good(lost);
            sim.add_vm();
            sim.start(3);
            let mut left: Vec<usize> = (0..4).filter(|at| *at != lost).collect();
            left.sort_unstable();
            assert!(
                sim.run_until(LIMIT, has_voters(&left)),
                "seed {seed} lost {lost}"
            );
            assert_progress(&mut sim, 100);
            // The next loss is tolerated too, with a replacement only afterwards.
            let next = left[0];
            sim.lose_for_good(next);
            assert_progress(&mut sim, 200);
            sim.add_vm();
            sim.start(4);
            left.retain(|at| *at != next);
            left.push(4);
            assert!(
                sim.run_until(LIMIT, has_voters(&left)),
                "seed {seed} lost {lost}, {next}"
            );
            assert_progress(&mut sim, 300);
        }
    }
}

#[test]
fn empty_disk_returns() {
    for seed in 0..20 {
        let mut sim = cluster(seed);
        for lost in [0, 1, 2, 0] {
            sim.kill(lost, Unsynced::Lost);
            sim.lose_disk(lost);
            sim.start(lost);
            assert!(sim.run_until(LIMIT, has_voters(&[0, 1, 2])));
            let is_voter = move |sim: &Sim| {
                let replica = sim.vms[lost].replica.as_ref().expect("it runs");
                matches!(replica.raft().role(), Role::Follower | Role::Leader)
            };
            assert!(sim.run_until(LIMIT, is_voter), "seed {seed}");
        }
        assert_progress(&mut sim, 100);
    }
}

#[test]
fn voter_removed_during_restart() {
    let mut sim = cluster(3);
    for at in 0..3 {
        sim.kill(at, Unsynced::Kept);
        sim.restart_after(at, ms(6_000));
        assert_progress(&mut sim, 100 * (at as u64 + 1));
        let back = move |sim: &Sim| sim.vms[at].replica.is_some();
        assert!(sim.run_until(LIMIT, back));
        assert!(
            sim.run_until(LIMIT, has_voters(&[0, 1, 2])),
            "one that came back is out"
        );
    }
}

#[test]
fn silent_spare_voter_stays() {
    let mut sim = Sim::open(4, 3, 5);
    assert!(sim.run_until(LIMIT, has_voters(&[0, 1, 2, 3])));
    sim.lose_for_good(2);
    assert!(sim.run_until(LIMIT, has_voters(&[0, 1, 3])));
    sim.lose_for_good(0);
    assert_progress(&mut sim, 100);
}

/// All members are killed at once: after their restart, a leader with all acknowledged data must
/// be elected soon.
#[test]
fn document_lost_when_all_killed() {
    for seed in 0..20 {
        let mut sim = cluster(seed);
        sim.add_client(vec![publish(3), publish(7), publish(5)]);
        let published = |sim: &Sim| {
            let done = sim
                .done
                .iter()
                .filter(|one| matches!(one.command, Command::Publish(_)));
            done.count() == 3
        };
        assert!(sim.run_until(LIMIT, published));
        (0..3).for_each(|at| sim.kill(at, Unsynced::Lost));
        let killed = sim.now();
        (0..3).for_each(|at| sim.start(at));
        let leads = |sim: &Sim| {
            sim.leader().is_some_and(|at| {
                let replica = sim.vms[at].replica.as_ref().expect("it runs");
                replica.state().document_version() == 7
            })
        };
        assert!(
            sim.run_until(LIMIT, leads),
            "seed {seed}: an acknowledged document is gone"
        );
        assert!(
            sim.now() < killed + ms(1_500),
            "seed {seed}: too long without a leader"
        );
    }
}

#[test]
fn evacuation_lost_when_all_killed() {
    for seed in 0..20 {
        let mut sim = cluster(seed);
        let order = |zone: &str, evacuated: bool| Command::Evacuate {
            zone: zone.to_owned(),
            evacuated,
        };
        sim.add_client(vec![order("a", true), order("b", true), order("a", false)]);
        let ordered = |sim: &Sim| {
            let orders = sim
                .done
                .iter()
                .filter(|done| matches!(done.command, Command::Evacuate { .. }));
            orders.count() == 3
        };
        assert!(sim.run_until(LIMIT, ordered));
        (0..3).for_each(|at| sim.kill(at, Unsynced::Lost));
        (0..3).for_each(|at| sim.start(at));
        let is_known = |sim: &Sim| {
            sim.leader().is_some_and(|at| {
                let replica = sim.vms[at].replica.as_ref().expect("it runs");
                let zones = &replica.state().evacuations().zones;
                zones.len() == 1 && zones.contains("b")
            })
        };
        assert!(
            sim.run_until(LIMIT, is_known),
            "seed {seed}: an acknowledged evacuation is gone"
        );
    }
}

#[test]
fn highest_version_wins() {
    let mut sim = cluster(1);
    sim.add_client(vec![publish(9), publish(4), publish(9), Command::Newest]);
    let answered = |sim: &Sim| sim.done.iter().any(|one| one.command == Command::Newest);
    assert!(sim.run_until(LIMIT, answered));
    for done in &sim.done {
        match &done.verdict {
            Verdict::Newest(Some(document)) => assert_eq!(document.version, 9),
            Verdict::Done { revision } if matches!(done.command, Command::Publish(_)) => {
                assert_eq!(*revision, 9);
            }
            _ => {}
        }
    }
}
