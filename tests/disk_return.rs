//! A member that lost its disk comes back: once it says that it votes, one more disk may be lost.
//!
//! At each moment of its way from unborn over learner to voter, a process is restarted or a change is
//! made; from the moment of its word on, the disk of another is lost. What was acknowledged stays, and
//! the members go on.

#[path = "common/sim.rs"]
mod sim;
#[path = "common/work.rs"]
mod work;

use std::ops::Range;
use std::time::Duration;

use sim::Sim;
use sim::disk::Tail;
use sim::ms;
use wigeonbarrow::control::consensus::Role;
use wigeonbarrow::wire::agree::Command;
use wigeonbarrow::wire::agree::Document;
use wigeonbarrow::wire::agree::Verdict;

const LIMIT: Duration = ms(60_000);

/// Six election timeouts of 0.8 s, as for any series of losses.
const GO_ON: Duration = ms(4_800);

/// Time after which a process that was ended runs again.
const RESTART: Duration = ms(100);

/// What happens beside the second lost disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Beside {
    Nothing,
    /// The one that came back loses its power with what it has not synced.
    Returned(Tail),
    /// The third one does.
    Third(Tail),
    /// Both do.
    Both(Tail),
}

const BESIDE: [Beside; 7] = [
    Beside::Nothing,
    Beside::Returned(Tail::Lost),
    Beside::Returned(Tail::Kept),
    Beside::Third(Tail::Lost),
    Beside::Third(Tail::Kept),
    Beside::Both(Tail::Lost),
    Beside::Both(Tail::Kept),
];

/// What happens on the way, at some step of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Calm,
    Change,
    Restart,
    /// The leader ends, and comes back.
    Leader,
}

const WAYS: [Way; 4] = [Way::Calm, Way::Change, Way::Restart, Way::Leader];

struct Case {
    sim: Sim,
    /// Newest version sent.
    version: u64,
    /// Whoever lost its disk first.
    empty: usize,
}

fn publish(version: u64) -> Command {
    let packed = format!("text of {version}").into();
    Command::Publish(Document { version, packed })
}

fn says_that_it_votes(sim: &Sim, at: usize) -> bool {
    let replica = sim.vms[at].replica.as_ref();
    let standing = replica.map(|one| one.raft().role());
    matches!(standing, Some(Role::Follower | Role::Leader))
}

impl Case {
    /// Three members, of which the leader or another has just lost its disk.
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
        sim.kill(empty, Tail::Lost);
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

    fn power(&mut self, at: usize, tail: Tail) {
        self.sim.kill(at, tail);
        self.sim.restart_after(at, RESTART);
    }

    /// Lets `count` steps pass, or fewer if the one that came back votes before that.
    fn steps(&mut self, count: u64) {
        let end = self.sim.steps + count;
        let empty = self.empty;
        self.sim.run_until(LIMIT, |sim| {
            sim.steps >= end || (sim.vms[empty].replica.is_some() && says_that_it_votes(sim, empty))
        });
    }

    fn happen(&mut self, way: Way) {
        match way {
            Way::Calm => {}
            Way::Change => self.change(),
            Way::Restart => {
                // Before it runs again for the first time there is nothing to end.
                if self.sim.vms[self.empty].replica.is_some() {
                    self.power(self.empty, Tail::Lost);
                }
            }
            Way::Leader => {
                if let Some(leader) = self.sim.leader() {
                    self.power(leader, Tail::Lost);
                }
            }
        }
    }

    /// Waits for the word of the one that came back, and `after` steps more.
    fn until_word(&mut self, after: u64) {
        let empty = self.empty;
        let voted = self
            .sim
            .run_until(LIMIT, |sim| says_that_it_votes(sim, empty));
        assert!(voted, "it never votes");
        let end = self.sim.steps + after;
        self.sim.run_until(LIMIT, |sim| sim.steps >= end);
    }

    /// The disk of the leader or of the other one is lost.
    fn lose_next(&mut self, loses_leader: bool, beside: Beside) {
        let others: Vec<usize> = (0..3).filter(|at| *at != self.empty).collect();
        let leader = self.sim.leader().filter(|at| *at != self.empty);
        let first = leader.unwrap_or(others[0]);
        let second = others[0] + others[1] - first;
        let (lost, third) = if loses_leader {
            (first, second)
        } else {
            (second, first)
        };
        self.sim.kill(lost, Tail::Lost);
        self.sim.lose_disk(lost);
        self.sim.restart_after(lost, RESTART);
        let (returned, third, tail) = match beside {
            Beside::Nothing => return,
            Beside::Returned(tail) => (Some(self.empty), None, tail),
            Beside::Third(tail) => (None, Some(third), tail),
            Beside::Both(tail) => (Some(self.empty), Some(third), tail),
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

    /// Whether the newest is read in time, and is no older than what was acknowledged.
    fn goes_on(&mut self) -> Result<(), String> {
        let held = self.acknowledged();
        let client = self.sim.add_client(vec![Command::Newest]);
        let answered = |sim: &Sim| sim.done.iter().any(|one| one.client == client);
        self.sim.run_until(GO_ON, answered);
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

/// Plays all of a kind: how many cases, and what failed.
fn play(seeds: Range<u64>, step_each: usize, after: &[u64]) -> (usize, Vec<String>) {
    let mut count = 0;
    let mut failed = Vec::new();
    for seed in seeds {
        for leader_first in [false, true] {
            for way in WAYS {
                let moments = if way == Way::Calm { 1 } else { 120 };
                for moment in (0..moments).step_by(step_each) {
                    for &after in after {
                        for (at, beside) in BESIDE.into_iter().enumerate() {
                            // The lost disk is the leader's and the other's in turn.
                            for loses_leader in [at % 2 == 0, at % 2 != 0] {
                                let mut case = Case::new(seed, leader_first);
                                case.steps(moment);
                                case.happen(way);
                                case.until_word(after);
                                case.lose_next(loses_leader, beside);
                                count += 1;
                                if let Err(why) = case.goes_on() {
                                    failed.push(format!(
                                        "seed {seed} leader first {leader_first} {way:?} at {moment}, \
                                         {after} steps after its word, leader {loses_leader} lost, \
                                         {beside:?}: {why}"
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
fn word_outruns_commit() {
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
