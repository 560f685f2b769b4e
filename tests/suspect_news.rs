//! Guards against a control process that does not report a crash as soon as it knows that the
//! quorum committed it. Every process must report it, not only the one that got the command, since
//! entries ask any of them.

use std::time::Duration;

#[path = "common/sim.rs"]
mod sim;

use sim::Sim;
use sim::ms;
use wigeonbarrow::wire::agree::Command;
use wigeonbarrow::wire::id;

const LIMIT: Duration = ms(60_000);

/// A few heartbeats of the leader, each of which carries the commit index.
const REPORT_WITHIN: Duration = ms(500);

#[test]
fn crash_unreported_by_follower() {
    for seed in 0..20 {
        let mut sim = Sim::new(3, seed);
        let fingerprint = id::Fingerprint([7; 16]);
        let crash = Command::Crash {
            server: "wigeon-pool-1".to_owned(),
            engine: id::Incarnation(1),
            running: vec![fingerprint],
        };
        sim.add_client(vec![crash, Command::Clear(fingerprint)]);
        assert!(sim.run(LIMIT), "seed {seed}: the members agree");
        let reported = |sim: &Sim| sim.vms.iter().all(|vm| vm.suspect_changes >= 2);
        assert!(sim.run_until(REPORT_WITHIN, reported), "seed {seed}");
    }
}
