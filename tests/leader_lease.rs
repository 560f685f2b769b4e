//! A leader that is cut off must stop acting as leader in time, and the return of a member that was
//! cut off must not cause an election.

#[path = "common/sim.rs"]
mod sim;

use sim::Sim;
use sim::fault::Fault;
use sim::ms;
use wigeonbarrow::control::consensus::Role;
use wigeonbarrow::control::consensus::Timing;

fn elected(members: usize) -> (Sim, usize) {
    let mut sim = Sim::new(members, 7);
    let has_leader = |sim: &Sim| sim.leader().is_some_and(|at| sim.has_lease(at));
    assert!(sim.run_until(ms(30_000), has_leader), "no leader");
    let leader = sim.leader().expect("a leader");
    (sim, leader)
}

fn role(sim: &Sim, at: usize) -> Role {
    sim.vms[at].replica.as_ref().expect("it runs").raft().role()
}

#[test]
fn lease_outlasts_cut() {
    for fault in [Fault::LongSilence, Fault::CutIn] {
        let (mut sim, leader) = elected(3);
        let election = Timing::default().election;
        fault.strike(&mut sim, leader);
        let cut = sim.now();
        let lapsed = |sim: &Sim| !sim.has_lease(leader);
        assert!(sim.run_until(ms(10_000), lapsed));
        assert!(sim.now() <= cut + election, "its lease outlasts the cut");
        let down = |sim: &Sim| role(sim, leader) != Role::Leader;
        assert!(sim.run_until(ms(10_000), down));
        let slack = ms(100);
        assert!(sim.now() <= cut + election + slack, "it leads on");
        let next = |sim: &Sim| (0..3).any(|at| at != leader && sim.has_lease(at));
        assert!(sim.run_until(ms(10_000), next), "nobody takes over");
    }
}

#[test]
fn return_unseats_leader() {
    let (mut sim, leader) = elected(3);
    let cut = (leader + 1) % 3;
    let term = sim.term(leader);
    Fault::LongSilence.strike(&mut sim, cut);
    assert!(
        sim.run_until(ms(60_000), |sim| !sim.fault_active),
        "the cut ends"
    );
    let later = sim.now() + ms(10_000);
    assert!(sim.run_until(ms(20_000), |sim| sim.now() >= later));
    assert_eq!(sim.leader(), Some(leader), "its return unseats the leader");
    assert_eq!(sim.term(leader), term, "its return makes a new term");
    assert_eq!(sim.term(cut), term);
}

#[test]
fn handover_waits_for_timeout() {
    let (mut sim, leader) = elected(3);
    let before = sim.now();
    sim.hand_over(leader);
    let next = |sim: &Sim| (0..3).any(|at| at != leader && sim.has_lease(at));
    assert!(sim.run_until(ms(10_000), next), "nobody takes over");
    assert!(sim.now() < before + ms(200), "it waited for a timeout");
}
