//! Every control process tells of a crash as soon as it knows that the quorum agreed on it, not
//! only the one that was asked: entries ask any of them.

use std::time::Duration;

#[path = "common/sim.rs"]
mod sim;

use sim::Sim;
use sim::ms;
use wigeonbarrow::wire::agree::Command;
use wigeonbarrow::wire::id;

const LIMIT: Duration = ms(60_000);

/// Some heartbeats of the leader, each of which brings what is committed.
const SOON: Duration = ms(500);

#[test]
fn told_by_all() {
    for seed in 0..20 {
        let mut sim = Sim::new(3, seed);
        let print = id::Fingerprint([7; 16]);
        let crash = Command::Crash {
            server: "wigeon-pool-1".to_owned(),
            engine: id::Incarnation(1),
            running: vec![print],
        };
        sim.add_client(vec![crash, Command::Clear(print)]);
        assert!(sim.run(LIMIT), "seed {seed}: the members agree");
        let told = |sim: &Sim| sim.vms.iter().all(|vm| vm.suspect_changes >= 2);
        assert!(sim.run_until(SOON, told), "seed {seed}");
    }
}
