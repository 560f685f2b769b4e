//! A member that lost its disk returns: once it reports that it is a voter, one more disk may be
//! lost. The failure would be a report that comes before the membership is committed.
//!
//! At each step from uninitialized over learner to voter, a process is restarted or a change is made.
//! From the report on, the disk of another member is lost. Acknowledged data must stay, and the
//! cluster must recover.

#[path = "common/sim.rs"]
mod sim;
#[path = "common/work.rs"]
mod work;

use std::ops::Range;
use std::time::Duration;

use sim::Sim;
use sim::disk::Unsynced;
use sim::ms;
use wigeonbarrow::control::consensus::Role;
use wigeonbarrow::wire::agree::Command;
use wigeonbarrow::wire::agree::Document;
use wigeonbarrow::wire::agree::Verdict;

const LIMIT: Duration = ms(60_000);

/// Six election timeouts of 0.8 s, as in `open_schedules`.
const RECOVERY: Duration = ms(4_800);

/// Time until a killed process is restarted.
const RESTART: Duration = ms(100);

/// Power losses at the same time as the second disk loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Concurrent {
    Nothing,
    /// The returned member loses power; its unsynced writes are lost or kept.
    Returned(Unsynced),
    /// The third member loses power.
    Third(Unsynced),
    /// Both lose power.
    Both(Unsynced),
}

const CONCURRENT: [Concurrent; 7] = [
    Concurrent::Nothing,
    Concurrent::Returned(Unsynced::Lost),
    Concurrent::Returned(Unsynced::Kept),
    Concurrent::Third(Unsynced::Lost),
    Concurrent::Third(Unsynced::Kept),
    Concurrent::Both(Unsynced::Lost),
    Concurrent::Both(Unsynced::Kept),
];

/// What disturbs the return, at some step of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    Calm,
    Change,
    Restart,
    /// The leader is restarted.
    Leader,
}

const DISTURBANCES: [Disturbance; 4] = [
    Disturbance::Calm,
    Disturbance::Change,
    Disturbance::Restart,
    Disturbance::Leader,
];

struct Case {
    sim: Sim,
    /// Newest version sent.
    version: u64,
    /// The VM whose disk was lost first.
    empty: usize,
}

fn publish(version: u64) -> Command {
    let packed = format!("text of {version}").into();
    Command::Publish(Document { version, packed })
}

fn reports_voter(sim: &Sim, at: usize) -> bool {
    let replica = sim.vms[at].replica.as_ref();
    let standing = replica.map(|one| one.raft().role());
    matches!(standing, Some(Role::Follower | Role::Leader))
}

impl Case {
    /// Three members. The leader or another one has just lost its disk.
    fn new(seed: u64, leader_first: bool) -> Self {
        let mut sim = Sim::open(3, 3, seed);
        sim.add_client(vec![publish(1), publish(2)]);
        assert!(sim.run(LIMIT), "the first members agree");
        let leader = sim.leader().expect("a leader");
        let empty = if leader_first {
            leader
        } else {
            (leader + 1) % 3
        };
        sim.kill(empty, Unsynced::Lost);
        sim.lose_disk(empty);
        sim.restart_after(empty, RESTART);
        Self {
            sim,
            version: 2,
            empty,
        }
    }

    fn change(&mut self) {
        self.version += 1;
        self.sim.add_client(vec![publish(self.version)]);
    }

    fn power(&mut self, at: usize, tail: Unsynced) {
        self.sim.kill(at, tail);
        self.sim.restart_after(at, RESTART);
    }

    /// Runs `count` steps, or fewer if the returned member becomes a voter before that.
    fn steps(&mut self, count: u64) {
        let end = self.sim.steps + count;
        let empty = self.empty;
        self.sim.run_until(LIMIT, |sim| {
            sim.steps >= end || (sim.vms[empty].replica.is_some() && reports_voter(sim, empty))
        });
    }

    fn disturb(&mut self, disturbance: Disturbance) {
        match disturbance {
            Disturbance::Calm => {}
            Disturbance::Change => self.change(),
            Disturbance::Restart => {
                // Before its first restart there is no process to kill.
                if self.sim.vms[self.empty].replica.is_some() {
                    self.power(self.empty, Unsynced::Lost);
                }
            }
            Disturbance::Leader => {
                if let Some(leader) = self.sim.leader() {
                    self.power(leader, Unsynced::Lost);
                }
            }
        }
    }

    /// Runs until the returned member reports that it is a voter, and `after` more steps.
    fn run_until_voter(&mut self, after: u64) {
        let empty = self.empty;
        let voted = self.sim.run_until(LIMIT, |sim| reports_voter(sim, empty));
        assert!(voted, "it never votes");
        let end = self.sim.steps + after;
        self.sim.run_until(LIMIT, |sim| sim.steps >= end);
    }

    /// Destroys the disk of the leader or of the other member.
    fn lose_next(&mut self, loses_leader: bool, concurrent: Concurrent) {
        let others: Vec<usize> = (0..3).filter(|at| *at != self.empty).collect();
        let leader = self.sim.leader().filter(|at| *at != self.empty);
        let first = leader.unwrap_or(others[0]);
        let second = others[0] + others[1] - first;
        let (lost, third) = if loses_leader {
            (first, second)
        } else {
            (second, first)
        };
        self.sim.kill(lost, Unsynced::Lost);
        self.sim.lose_disk(lost);
        self.sim.restart_after(lost, RESTART);
        let (returned, third, tail) = match concurrent {
            Concurrent::Nothing => return,
            Concurrent::Returned(tail) => (Some(self.empty), None, tail),
            Concurrent::Third(tail) => (None, Some(third), tail),
            Concurrent::Both(tail) => (Some(self.empty), Some(third), tail),
        };
        for at in returned.into_iter().chain(third) {
            self.power(at, tail);
        }
    }

    fn acknowledged(&self) -> u64 {
        let versions = self.sim.done.iter().filter_map(|one| match &one.command {
            Command::Publish(document) => Some(document.version),
            _ => None,
        });
        versions.max().unwrap_or_default()
    }

    /// Checks that the newest version is read in time and is not older than an acknowledged one.
    fn check_recovered(&mut self) -> Result<(), String> {
        let held = self.acknowledged();
        let client = self.sim.add_client(vec![Command::Newest]);
        let answered = |sim: &Sim| sim.done.iter().any(|one| one.client == client);
        self.sim.run_until(RECOVERY, answered);
        let read = self.sim.done.iter().find(|one| one.client == client);
        let Some(read) = read else {
            return Err(format!("nobody reads {held}"));
        };
        match &read.verdict {
            Verdict::Newest(Some(document)) if document.version >= held => Ok(()),
            other => Err(format!("{held} was acknowledged, read is {other:?}")),
        }
    }
}

/// Runs all combinations. Returns the number of cases, and the failures.
fn play(seeds: Range<u64>, step_each: usize, after: &[u64]) -> (usize, Vec<String>) {
    let mut count = 0;
    let mut failed = Vec::new();
    for seed in seeds {
        for leader_first in [false, true] {
            for disturbance in DISTURBANCES {
                let moments = if disturbance == Disturbance::Calm {
                    1
                } else {
                    120
                };
                for moment in (0..moments).step_by(step_each) {
                    for &after in after {
                        for (at, concurrent) in CONCURRENT.into_iter().enumerate() {
                            // Alternates which disk is lost first: the leader's or the other's.
                            for loses_leader in [at % 2 == 0, at % 2 != 0] {
                                let mut case = Case::new(seed, leader_first);
                                case.steps(moment);
                                case.disturb(disturbance);
                                case.run_until_voter(after);
                                case.lose_next(loses_leader, concurrent);
                                count += 1;
                                if let Err(why) = case.check_recovered() {
                                    failed.push(format!(
                                        "seed {seed} leader first {leader_first} {disturbance:?} at {moment}, \
                                         {after} steps after its word, leader {loses_leader} lost, \
                                         {concurrent:?}: {why}"
                                    ));
                                }
                            }
                        }
                    }
                }
            }
        }
    }
    (count, failed)
}

#[test]
fn voter_reported_before_commit() {
    let (count, failed) = play(0..2, 11, &[0, 1, 2, 3, 5, 8, 13, 30]);
    for one in failed.iter().take(20) {
        println!("{one}");
    }
    println!("disk return: {count} cases, {} failed", failed.len());
    assert!(
        failed.is_empty(),
        "{} of {count} cases failed",
        failed.len()
    );
}
