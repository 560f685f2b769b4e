//! One disk is lost at each state of a membership change: the others must recover with all
//! acknowledged data, without an operator.
//!
//! The failure: a voter was removed before the member that takes its place was a voter. In between
//! two voters were left of three, and with the disk of one of them no leader was elected again.
//!
//! A state lies between two changes of what any process knows of the members: the entry in force,
//! whether it is synced and committed there, and the process's role. In each of them each disk is
//! lost whose loss is tolerated then, while the others go on or lose power as well. A machine that
//! was down with its disk returns.

#[path = "common/sim.rs"]
mod sim;
#[path = "common/work.rs"]
mod work;

use std::cell::Cell;
use std::cell::RefCell;
use std::panic;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use sim::Sim;
use sim::disk::Unsynced;
use sim::ms;
use wigeonbarrow::control::consensus::Role;
use wigeonbarrow::control::member;
use wigeonbarrow::wire::agree::Command;
use wigeonbarrow::wire::agree::Document;
use wigeonbarrow::wire::agree::Verdict;

const LIMIT: Duration = ms(60_000);

/// Time to recover after all machines are back.
const RECOVERY: Duration = ms(12_000);

/// Time until a lost machine is back.
const RESTART: Duration = ms(100);

/// When a machine that was down with its disk returns.
const RETURN: Duration = ms(1_200);

/// Silence after which a voter's place may pass to another machine, and a little more.
const SILENCE: Duration = ms(2_500);

/// Time from the loss of a machine until another one joins, less than that.
const JOIN: Duration = ms(2_000);

const THREADS: usize = 4;

const SEEDS: u64 = 2;

/// How the membership changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Path {
    /// The first members found the cluster.
    Founding,
    /// A machine joins while all voters answer.
    Addition,
    /// A machine joins while a voter is down, at first not for long enough to lose its place.
    DownVoter,
    /// A machine joins while a voter is silent.
    SilentVoter,
    /// A machine joins in place of one that never returns.
    GoneVoter,
    /// Two machines join at once while a voter is silent.
    TwoNewcomers,
    /// A machine with a slow disk joins while a voter is silent, beside changes and snapshots.
    SlowNewcomer,
    /// A follower returns with an empty disk.
    EmptyFollower,
    /// The leader returns with an empty disk.
    EmptyLeader,
    /// An operator replaces a follower.
    NamedFollower,
    /// An operator replaces the leader.
    NamedLeader,
    /// The leader hands over while a machine joins in place of a silent voter.
    Handover,
    /// One of four voters is silent.
    SpareVoter,
    /// A learner falls silent.
    SilentLearner,
    /// A machine joins while one of five voters is silent, and two losses are tolerated.
    FiveVoters,
}

const PATHS: [Path; 14] = [
    Path::Addition,
    Path::DownVoter,
    Path::SilentVoter,
    Path::GoneVoter,
    Path::TwoNewcomers,
    Path::SlowNewcomer,
    Path::EmptyFollower,
    Path::EmptyLeader,
    Path::NamedFollower,
    Path::NamedLeader,
    Path::Handover,
    Path::SpareVoter,
    Path::SilentLearner,
    Path::FiveVoters,
];

/// What the machines do that keep their disks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Others {
    Run,
    /// All lose power, with their unsynced writes lost or kept.
    Power(Unsynced),
}

const OTHERS: [Others; 3] = [
    Others::Run,
    Others::Power(Unsynced::Lost),
    Others::Power(Unsynced::Kept),
];

/// A loss before the strike that counts until its successor votes.
#[derive(Clone, Copy, Debug)]
struct Spent {
    lost: usize,
    successor: usize,
}

struct Case {
    sim: Sim,
    version: u64,
    /// A machine that is down with its disk.
    down: Option<usize>,
    spent: Option<Spent>,
    /// The operator's replacement: the machine that leaves, and the one that joins.
    replacement: Option<(usize, usize)>,
    /// Disks that are lost at the strike.
    losses: usize,
}

/// What a process knows of the members.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Known {
    role: Role,
    index: u64,
    is_synced: bool,
    is_committed: bool,
}

fn known(sim: &Sim) -> Vec<Option<Known>> {
    let known = sim.vms.iter().map(|vm| {
        let raft = vm.replica.as_ref()?.raft();
        let index = raft.membership_index();
        Some(Known {
            role: raft.role(),
            index,
            is_synced: index <= raft.durable(),
            is_committed: index <= raft.commit(),
        })
    });
    known.collect()
}

fn publish(version: u64) -> Command {
    let packed = format!("text of {version}").into();
    Command::Publish(Document { version, packed })
}

fn raft(sim: &Sim, at: usize) -> Option<&wigeonbarrow::control::consensus::Raft> {
    Some(sim.vms[at].replica.as_ref()?.raft())
}

fn reports_voter(sim: &Sim, at: usize) -> bool {
    raft(sim, at).is_some_and(|one| matches!(one.role(), Role::Follower | Role::Leader))
}

impl Case {
    fn new(path: Path, seed: u64) -> Self {
        let sim = match path {
            Path::Founding => Sim::open(3, 3, seed),
            Path::NamedFollower | Path::NamedLeader => Sim::new(3, seed),
            Path::SpareVoter => Sim::open(4, 3, seed),
            Path::FiveVoters => Sim::open(5, 5, seed),
            _ => Sim::open(3, 3, seed),
        };
        let mut case = Self {
            sim,
            version: 0,
            down: None,
            spent: None,
            replacement: None,
            losses: if path == Path::FiveVoters { 2 } else { 1 },
        };
        if path == Path::SlowNewcomer {
            // Nearly every entry is followed by a snapshot.
            for vm in &mut case.sim.vms {
                let replica = vm.replica.as_mut().expect("it runs");
                replica.set_compact_bytes(1);
            }
            case.sim.compact = 1;
        }
        if path != Path::Founding {
            case.change();
            assert!(case.sim.run(LIMIT), "no first cluster");
            case.begin(path);
        }
        case
    }

    fn begin(&mut self, path: Path) {
        let leader = self.sim.leader().expect("a leader");
        let voters = self.sim.vms.len();
        let follower = (leader + 1) % voters;
        match path {
            Path::Founding => {}
            Path::Addition => {
                self.join();
            }
            Path::DownVoter => {
                self.lose_power(follower, JOIN);
                self.join();
            }
            Path::SilentVoter | Path::FiveVoters => {
                self.lose_power(follower, SILENCE);
                self.join();
            }
            Path::TwoNewcomers => {
                self.lose_power(follower, SILENCE);
                self.join();
                self.join();
            }
            Path::SlowNewcomer => {
                self.lose_power(follower, SILENCE);
                let joining = self.join();
                self.sim.vms[joining].disk.slow = ms(150);
                let versions = self.version + 1..self.version + 200;
                self.version = versions.end - 1;
                self.sim.add_client(versions.map(publish).collect());
            }
            Path::GoneVoter => {
                self.sim.lose_for_good(follower);
                let successor = self.join();
                self.spent = Some(Spent {
                    lost: follower,
                    successor,
                });
            }
            Path::EmptyFollower => self.lose_disk_first(follower),
            Path::EmptyLeader => self.lose_disk_first(leader),
            Path::NamedFollower | Path::NamedLeader => {
                let leaving = if path == Path::NamedLeader {
                    leader
                } else {
                    follower
                };
                let joining = self.join();
                self.replacement = Some((leaving, joining));
                self.order();
            }
            Path::Handover => {
                self.lose_power(follower, SILENCE);
                let joining = self.join();
                let learns = |sim: &Sim| {
                    raft(sim, leader).is_some_and(|one| {
                        let mut learners = one.membership().learners.iter();
                        learners.any(|member| member.addr == sim.vms[joining].addr)
                    })
                };
                assert!(self.sim.run_until(LIMIT, learns), "it is not admitted");
                self.sim.hand_over(leader);
            }
            Path::SpareVoter => self.lose_power(follower, JOIN),
            Path::SilentLearner => {
                let joining = self.join();
                let learns =
                    |sim: &Sim| raft(sim, joining).is_some_and(|one| one.role() == Role::Learner);
                assert!(self.sim.run_until(LIMIT, learns), "it is not admitted");
                self.sim.kill(joining, Unsynced::Lost);
                self.down = Some(joining);
            }
        }
    }

    /// A machine joins. Returns it.
    fn join(&mut self) -> usize {
        let at = self.sim.vms.len();
        self.sim.add_vm();
        self.sim.start(at);
        at
    }

    /// A machine loses power and keeps its disk. Another one joins after some time.
    fn lose_power(&mut self, at: usize, joins: Duration) {
        self.sim.kill(at, Unsynced::Lost);
        self.down = Some(at);
        self.change();
        self.sim.run_until(joins, |_| false);
    }

    fn lose_disk_first(&mut self, at: usize) {
        self.lose_disk(at);
        self.spent = Some(Spent {
            lost: at,
            successor: at,
        });
    }

    fn lose_disk(&mut self, at: usize) {
        self.sim.kill(at, Unsynced::Lost);
        self.sim.lose_disk(at);
        self.sim.restart_after(at, RESTART);
    }

    fn change(&mut self) {
        self.version += 1;
        self.sim.add_client(vec![publish(self.version)]);
    }

    /// The operator's order, unless it is carried out or under way.
    fn order(&mut self) {
        let Some((leaving, joining)) = self.replacement else {
            return;
        };
        let Some(leader) = self.sim.leader() else {
            return;
        };
        let order = member::Order::Replace {
            old: self.sim.vms[leaving].addr,
            new: self.sim.vms[joining].addr,
        };
        self.sim.order(leader, &order);
    }

    /// Runs into the state after `count` changes of what the processes know. `false`: the change of
    /// the members is complete before.
    fn run_to_state(&mut self, count: usize) -> bool {
        let changes = Cell::new(0);
        let last = RefCell::new(known(&self.sim));
        let expected = self.expected();
        if count > 0 {
            self.sim.run_until(LIMIT, |sim| {
                let now = known(sim);
                if now != *last.borrow() {
                    *last.borrow_mut() = now;
                    changes.set(changes.get() + 1);
                }
                changes.get() == count || is_complete(sim, &expected)
            });
        }
        let is_reached = changes.get() == count;
        assert!(
            is_reached || is_complete(&self.sim, &expected),
            "the change is not complete"
        );
        is_reached
    }

    /// Machines that vote in the end. One that is still down does not.
    fn expected(&self) -> Vec<usize> {
        let all = 0..self.sim.vms.len();
        let leaving = self.replacement.map(|(leaving, _)| leaving);
        let left = all.filter(|at| !self.sim.vms[*at].gone && Some(*at) != leaving);
        left.filter(|at| Some(*at) != self.down || self.sim.vms[*at].replica.is_some())
            .collect()
    }

    /// Whether the loss before the strike still counts.
    fn is_spent(&self) -> bool {
        let Some(spent) = self.spent else {
            return false;
        };
        let Some(leader) = self.sim.leader() else {
            return true;
        };
        let gone = &self.sim.vms[spent.lost];
        let is_out = !gone.gone
            || raft(&self.sim, spent.successor)
                .is_some_and(|one| one.membership().voter_at(gone.addr).is_none());
        let lead = raft(&self.sim, leader).expect("it leads");
        let is_committed = lead.membership_index() <= lead.commit();
        !(reports_voter(&self.sim, spent.successor) && is_out && is_committed)
    }

    /// Disks whose loss is tolerated now.
    fn tolerated(&self) -> Vec<Vec<usize>> {
        if self.is_spent() {
            let successor = self.spent.expect("a loss before").successor;
            return vec![vec![successor]];
        }
        let left: Vec<usize> = (0..self.sim.vms.len())
            .filter(|at| !self.sim.vms[*at].gone)
            .collect();
        let one = left.iter().map(|at| vec![*at]);
        if self.losses == 1 {
            return one.collect();
        }
        let pairs = left.iter().flat_map(|first| {
            let later = left.iter().filter(move |second| *second > first);
            later.map(|second| vec![*first, *second])
        });
        pairs.collect()
    }

    fn strike(&mut self, lost: &[usize], others: Others) {
        if let Others::Power(tail) = others {
            for at in (0..self.sim.vms.len()).filter(|at| !lost.contains(at)) {
                if self.sim.vms[at].replica.is_some() {
                    self.sim.kill(at, tail);
                    self.sim.restart_after(at, RESTART);
                }
            }
        }
        for at in lost {
            self.lose_disk(*at);
        }
        if let Some(down) = self.down.take().filter(|at| !lost.contains(at)) {
            self.sim.restart_after(down, RETURN);
        }
        self.sim.run_until(RETURN + ms(1), |_| false);
        self.sim
            .vms
            .iter_mut()
            .for_each(|vm| vm.disk.slow = Duration::ZERO);
    }

    fn assert_recovered(&mut self) {
        let held = self.acknowledged();
        let version = self.newest();
        assert!(version.is_some(), "nothing is decided");
        assert!(version >= held, "{held:?} is gone: {version:?}");
        let deadline = self.sim.now() + LIMIT;
        loop {
            let expected = self.expected();
            let complete = |sim: &Sim| is_complete(sim, &expected);
            if self.sim.run_until(ms(1_000), complete) {
                break;
            }
            assert!(self.sim.now() < deadline, "not all vote and agree");
            self.order();
        }
        self.change();
        assert!(self.newest() >= Some(self.version), "no change is taken");
    }

    fn acknowledged(&self) -> Option<u64> {
        let versions = self.sim.done.iter().filter_map(|one| match &one.command {
            Command::Publish(document) => Some(document.version),
            _ => None,
        });
        versions.max()
    }

    fn newest(&mut self) -> Option<u64> {
        let client = self.sim.add_client(vec![Command::Newest]);
        let answered = |sim: &Sim| sim.done.iter().any(|one| one.client == client);
        self.sim.run_until(RECOVERY, answered);
        let read = self.sim.done.iter().find(|one| one.client == client);
        match &read?.verdict {
            Verdict::Newest(document) => Some(document.as_ref().map_or(0, |one| one.version)),
            _ => None,
        }
    }
}

/// Whether exactly the expected machines vote, and hold all committed entries.
fn is_complete(sim: &Sim, expected: &[usize]) -> bool {
    let Some(leader) = sim.leader() else {
        return false;
    };
    let last = raft(sim, leader).expect("it leads");
    let members = last.membership();
    last.commit() == last.log().tail().index
        && members.learners.is_empty()
        && members.voters.len() == expected.len()
        && expected.iter().all(|at| {
            raft(sim, *at)
                .is_some_and(|one| members.votes(&one.me()) && one.durable() == last.commit())
        })
}

/// A state of a path, the disks lost there, and what the others do.
#[derive(Clone, Debug)]
struct Strike {
    path: Path,
    seed: u64,
    state: usize,
    lost: Vec<usize>,
    others: Others,
}

/// All strikes of a path.
fn strikes(path: Path, seed: u64) -> Vec<Strike> {
    let mut strikes = Vec::new();
    for state in 0.. {
        let mut case = Case::new(path, seed);
        if !case.run_to_state(state) {
            break;
        }
        for lost in case.tolerated() {
            strikes.extend(OTHERS.map(|others| Strike {
                path,
                seed,
                state,
                lost: lost.clone(),
                others,
            }));
        }
    }
    strikes
}

fn run(strike: &Strike) {
    let mut case = Case::new(strike.path, strike.seed);
    assert!(case.run_to_state(strike.state), "the state is not reached");
    case.strike(&strike.lost, strike.others);
    case.assert_recovered();
}

/// Runs `work` for each of `items` on some threads.
fn map<'a, T: Sync, R: Send>(items: &'a [T], work: impl Fn(&'a T) -> R + Sync) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let run = || {
        let mut results = Vec::new();
        while let Some(item) = items.get(next.fetch_add(1, Ordering::Relaxed)) {
            results.push(work(item));
        }
        results
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(run)).collect();
        let results = threads
            .into_iter()
            .map(|thread| thread.join().expect("a thread"));
        results.flatten().collect()
    })
}

fn failure(strike: &Strike) -> Option<(&Strike, String)> {
    let why = panic::catch_unwind(|| run(strike)).err()?;
    let text = why.downcast_ref::<String>().cloned();
    let text = text.or_else(|| why.downcast_ref::<&str>().map(ToString::to_string));
    Some((strike, text.unwrap_or_default()))
}

/// Tries all strikes of some paths.
fn check(paths: &[Path]) {
    let seeds = paths
        .iter()
        .flat_map(|path| (0..SEEDS).map(|seed| (*path, seed)));
    let seeds: Vec<(Path, u64)> = seeds.collect();
    panic::set_hook(Box::new(|_| {}));
    let strikes = map(&seeds, |(path, seed)| strikes(*path, *seed)).concat();
    let failed: Vec<_> = map(&strikes, failure).into_iter().flatten().collect();
    let _ = panic::take_hook();
    for path in paths {
        let of_path = || strikes.iter().filter(|strike| strike.path == *path);
        let states = of_path().map(|strike| strike.state + 1).max();
        let failed = failed.iter().filter(|(strike, _)| strike.path == *path);
        let failed: Vec<_> = failed.collect();
        println!(
            "{path:?}: {} states, {} strikes, {} failed",
            states.unwrap_or_default(),
            of_path().count(),
            failed.len()
        );
        assert!(of_path().count() > 0, "{path:?} has no state");
        for (strike, why) in failed.iter().take(5) {
            println!("  {strike:?}: {why}");
        }
    }
    let (failed, all) = (failed.len(), strikes.len());
    assert!(failed == 0, "{failed} of {all} strikes failed");
}

#[test]
fn disk_lost_between_changes() {
    check(&PATHS);
}

/// The cluster is never founded: its founder lost its disk or started again before that.
#[test]
fn founder_lost_before_founding() {
    check(&[Path::Founding]);
}
