//! A voter whose disk takes longer for a sync than an election lasts: its vote still counts.
//!
//! What operators saw: with one of three control processes gone and the disk of another slow, no
//! change was acknowledged as long as the disk was slow.

#[path = "common/sim.rs"]
mod sim;
#[path = "common/work.rs"]
mod work;

use std::time::Duration;

use sim::Sim;
use sim::ms;

const LIMIT: Duration = ms(60_000);

/// Time for an election that takes several syncs: that after which all is to be served again.
const RECOVERED: Duration = ms(12_000);

/// A sync lasts this long, in milliseconds: below an election timeout, about one, and over two.
const SYNCS: [u64; 4] = [500, 1_000, 1_500, 2_500];

fn cluster(seed: u64) -> Sim {
    let mut sim = Sim::open(3, 3, seed);
    sim.add_client(vec![work::claim(1, 1)]);
    assert!(sim.run(LIMIT), "the first members agree");
    sim
}

fn leads(sim: &Sim) -> bool {
    sim.leader().is_some_and(|at| sim.has_lease(at))
}

/// A candidate that began the next term before the slow vote came was never elected.
#[test]
fn late_vote_elects() {
    let mut failed = Vec::new();
    for seed in 0..20 {
        for sync in SYNCS {
            let mut sim = cluster(seed);
            let leader = sim.leader().expect("a leader");
            sim.vms[(leader + 1) % 3].disk.slow = ms(sync);
            sim.lose_for_good(leader);
            if !sim.run_until(RECOVERED, leads) {
                failed.push((seed, sync));
            }
        }
    }
    assert!(failed.is_empty(), "nobody leads: {failed:?}");
}
