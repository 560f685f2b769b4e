//! A voter whose disk takes longer to sync than an election timeout must still be able to vote.
//! Otherwise, with one of three control processes lost and the disk of another slow, nobody is
//! elected and no change is acknowledged as long as the disk stays slow.

#[path = "common/sim.rs"]
mod sim;
#[path = "common/work.rs"]
mod work;

use std::time::Duration;

use sim::Sim;
use sim::ms;

const LIMIT: Duration = ms(60_000);

/// Time limit of an election that takes several syncs: when all requests must be served again.
const RECOVERED: Duration = ms(12_000);

/// Sync times in milliseconds: below one election timeout, about one, and over two.
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

/// A candidate that starts the next term before a slow vote arrives is never elected.
#[test]
fn slow_vote_counts() {
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
