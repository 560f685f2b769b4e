//! Random series of losses from seeds, with open admission. Acknowledged data must stay, and once
//! the last loss has ended the cluster must recover in time.
//!
//! After a disk is lost or a VM replaced, no other disk is lost until the new member is a voter. All
//! other faults may overlap: network cuts of the leader or another member in one or both directions,
//! power loss of one or all with torn writes, freezes, and new VMs. At the end all verdicts,
//! including reads, must be linearizable.

#[path = "common/sim.rs"]
mod sim;
#[path = "common/work.rs"]
mod work;

use std::panic;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use sim::Sim;
use sim::disk::Unsynced;
use sim::ms;
use wigeonbarrow::control::consensus;
use wigeonbarrow::control::replica::Replica;
use wigeonbarrow::wire::agree::Command;
use wigeonbarrow::wire::agree::Document;
use wigeonbarrow::wire::agree::Verdict;

const FIRST_SEED: u64 = 50_000;
const CASES: u64 = 4_000;
const THREADS: usize = 4;

/// Six election timeouts of 0.8 s. An election with the longest timer takes two of them, votes may
/// be split, and a lost disk is readmitted by the leader only after that.
const RECOVERY: Duration = ms(4_800);

/// Three election timeouts of silence, after which a VM that never returns is replaced.
const REPLACEMENT: Duration = ms(2_400);

/// Upper bound of a slow sync in milliseconds: over two election timeouts.
const MAX_SLOW_MS: u64 = 2_000;

const TAILS: [Unsynced; 3] = [Unsynced::Lost, Unsynced::Torn, Unsynced::Kept];

/// Seeds with disk faults after which nothing was decided: one of two voters left lost its disk
/// before a machine that was ready took the place of the third.
const STOPPED: [u64; 3] = [3_007_447, 3_035_892, 3_038_741];

/// Upper bound of VMs, including those that are gone.
const MAX_VMS: usize = 8;

const LIMIT: Duration = ms(60_000);

#[derive(Clone, Copy, Debug)]
enum Loss {
    CutBoth,
    CutOut,
    CutIn,
    Freeze,
    Power(Unsynced),
    AllPower(Unsynced),
    Disk,
    Newcomer,
    Replace,
    /// The disk accepts no writes.
    Full,
    /// Each sync takes this much longer.
    Slow(Duration),
}

/// Kinds of losses in a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mix {
    Losses,
    /// Losses and, with equal probability, full or slow disks.
    Disks,
}

struct Case {
    sim: Sim,
    rng: StdRng,
    mix: Mix,
    /// Highest version sent.
    version: u64,
    keys: u64,
    /// The VM whose disk was lost last.
    empty: Option<usize>,
    history: Vec<String>,
}

impl Case {
    fn new(seed: u64, mix: Mix) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let members = if rng.random_range(0..4) == 0 { 5 } else { 3 };
        let mut case = Self {
            sim: Sim::open(members, 3, seed),
            rng,
            mix,
            version: 0,
            keys: 0,
            empty: None,
            history: Vec::new(),
        };
        case.work();
        assert!(
            case.sim.run_until(LIMIT, is_fully_replicated),
            "no first cluster"
        );
        case
    }

    /// Adds commands by two clients.
    fn work(&mut self) {
        for _ in 0..2 {
            let mut commands = Vec::new();
            for _ in 0..self.rng.random_range(1..6) {
                self.keys += 1;
                commands.push(work::claim(self.keys, u128::from(self.keys)));
            }
            self.version += self.rng.random_range(1..4);
            let version = self.version;
            let packed = format!("text of {version}").into();
            commands.push(Command::Publish(Document { version, packed }));
            let at = self.rng.random_range(0..commands.len());
            commands.insert(at, Command::Newest);
            self.sim.add_client(commands);
        }
    }

    fn draw(&mut self) -> Loss {
        if self.mix == Mix::Disks && self.rng.random_bool(0.5) {
            return self.draw_disk();
        }
        let tail = TAILS[self.rng.random_range(0..3)];
        match self.rng.random_range(0..12) {
            0 | 1 => Loss::CutBoth,
            2 => Loss::CutOut,
            3 => Loss::CutIn,
            4 => Loss::Freeze,
            5 | 6 => Loss::Power(tail),
            7 => Loss::AllPower(tail),
            8 => Loss::Newcomer,
            9 => Loss::Replace,
            _ => Loss::Disk,
        }
    }

    fn draw_disk(&mut self) -> Loss {
        if self.rng.random_bool(0.4) {
            return Loss::Full;
        }
        Loss::Slow(ms(self.rng.random_range(100..MAX_SLOW_MS)))
    }

    /// The leader or any VM, with equal probability.
    fn target(&mut self) -> usize {
        let any = self.rng.random_range(0..self.sim.vms.len());
        let leader = self
            .sim
            .leader()
            .filter(|_| self.rng.random_range(0..2) == 0);
        leader.unwrap_or(any)
    }

    fn strike(&mut self) {
        let loss = self.draw();
        let at = self.target();
        let back = ms(self.rng.random_range(50..4_000));
        let takes_disk = matches!(loss, Loss::Disk | Loss::Replace);
        let adds = matches!(loss, Loss::Newcomer | Loss::Replace);
        if self.sim.vms[at].gone
            || (takes_disk && !self.may_lose_disk())
            || (adds && self.sim.vms.len() >= MAX_VMS)
        {
            return;
        }
        self.history
            .push(format!("{loss:?} at {at}, back after {back:?}"));
        let others: Vec<usize> = (0..self.sim.vms.len()).filter(|one| *one != at).collect();
        match loss {
            Loss::CutBoth => {
                let both = others.iter().flat_map(|one| [(at, *one), (*one, at)]);
                self.sim.net.cut.extend(both);
            }
            Loss::CutOut => self.sim.net.cut.extend(others.iter().map(|one| (at, *one))),
            Loss::CutIn => self.sim.net.cut.extend(others.iter().map(|one| (*one, at))),
            Loss::Freeze => self.sim.vms[at].frozen = true,
            Loss::Power(tail) => self.power(at, tail, back),
            Loss::AllPower(tail) => {
                for one in 0..self.sim.vms.len() {
                    let back = ms(self.rng.random_range(50..1_000));
                    self.power(one, tail, back);
                }
            }
            Loss::Disk => {
                self.sim.kill(at, Unsynced::Lost);
                self.sim.lose_disk(at);
                self.empty = Some(at);
                self.sim.restart_after(at, ms(100));
            }
            Loss::Full => self.sim.vms[at].disk.full = true,
            Loss::Slow(slow) => self.sim.vms[at].disk.slow = slow,
            Loss::Newcomer => self.newcomer(),
            Loss::Replace => {
                self.sim.lose_for_good(at);
                self.newcomer();
                self.empty = Some(self.sim.vms.len() - 1);
            }
        }
    }

    fn newcomer(&mut self) {
        self.sim.add_vm();
        self.sim.start(self.sim.vms.len() - 1);
    }

    fn power(&mut self, at: usize, tail: Unsynced, back: Duration) {
        self.sim.kill(at, tail);
        self.sim.restart_after(at, back);
    }

    /// Whether the member that lost its disk last is a voter again and has caught up.
    fn may_lose_disk(&self) -> bool {
        let Some(empty) = self.empty else {
            return true;
        };
        let Some(leader) = self.sim.leader().filter(|at| self.sim.has_lease(*at)) else {
            return false;
        };
        let last = self.sim.vms[leader].replica.as_ref().expect("it leads");
        let one = self.sim.vms[empty].replica.as_ref();
        // An uncommitted membership may be lost together with its leader.
        let last = last.raft();
        no_gone_voter(&self.sim, last)
            && last.commit() == last.log().tail().index
            && one.is_some_and(|one| {
                last.membership().votes(&one.raft().me()) && one.raft().durable() == last.commit()
            })
    }

    fn wait(&mut self, least: u64, most: u64) {
        let time = ms(self.rng.random_range(least..most));
        self.sim.run_until(time, |_| false);
    }

    fn run(&mut self) {
        for _ in 0..self.rng.random_range(1..7) {
            self.work();
            self.wait(0, 400);
            self.strike();
            self.wait(0, 3_000);
            if self.rng.random_range(0..3) == 0 {
                self.heal();
            }
        }
        self.heal();
        self.assert_recovered("after the last loss");
        self.work();
        self.wait(20, 600);
        self.sim
            .run_until(self.recovery_limit(), is_fully_replicated);
        let left = (0..self.sim.vms.len()).filter(|at| !self.sim.vms[*at].gone);
        let left: Vec<usize> = left.collect();
        let wiped = left[self.rng.random_range(0..left.len())];
        self.history
            .push(format!("disk {wiped} lost, power of all"));
        (0..self.sim.vms.len()).for_each(|at| self.sim.kill(at, Unsynced::Lost));
        self.sim.lose_disk(wiped);
        (0..self.sim.vms.len()).for_each(|at| self.sim.start(at));
        self.assert_recovered("after the end");
        assert!(self.sim.run(LIMIT), "some commands are never decided");
        self.sim.check_end();
    }

    fn recovery_limit(&self) -> Duration {
        let is_replaced = self.sim.vms.iter().any(|vm| vm.gone);
        RECOVERY
            + if is_replaced {
                REPLACEMENT
            } else {
                Duration::ZERO
            }
    }

    fn heal(&mut self) {
        self.history.push("healed".to_owned());
        let slowest = self.sim.vms.iter().map(|vm| vm.disk.slow).max();
        self.sim
            .vms
            .iter_mut()
            .for_each(|vm| vm.disk.slow = Duration::ZERO);
        self.sim.heal_after(Duration::ZERO);
        // A slow sync that has already started still takes its time.
        self.sim
            .run_until(ms(2) + slowest.unwrap_or_default(), |_| false);
    }

    /// Asserts that a new entry is committed, all members vote and no acknowledged data is lost.
    fn assert_recovered(&mut self, when: &str) {
        let held = self.acknowledged();
        let version = self.newest();
        assert!(version.is_some(), "{when} nothing is decided");
        assert!(version >= held, "{when} {held:?} is gone: {version:?}");
        let whole = self
            .sim
            .run_until(self.recovery_limit(), is_fully_replicated);
        assert!(whole, "{when} not all vote and agree");
    }

    /// Highest version acknowledged.
    fn acknowledged(&self) -> Option<u64> {
        let versions = self.sim.done.iter().filter_map(|one| match &one.command {
            Command::Publish(document) => Some(document.version),
            _ => None,
        });
        versions.max()
    }

    /// The newest version, read through the log.
    fn newest(&mut self) -> Option<u64> {
        let client = self.sim.add_client(vec![Command::Newest]);
        let answered = |sim: &Sim| sim.done.iter().any(|one| one.client == client);
        self.sim.run_until(self.recovery_limit(), answered);
        let read = self.sim.done.iter().find(|one| one.client == client);
        match &read?.verdict {
            Verdict::Newest(document) => Some(document.as_ref().map_or(0, |one| one.version)),
            _ => None,
        }
    }
}

/// Whether no VM that is gone is still a voter. Until then it is the one tolerated loss.
fn no_gone_voter(sim: &Sim, last: &consensus::Raft) -> bool {
    let mut gone = sim.vms.iter().filter(|vm| vm.gone);
    gone.all(|vm| last.membership().voter_at(vm.addr).is_none())
}

/// Whether all are voters in their current incarnation and hold all committed entries.
fn is_fully_replicated(sim: &Sim) -> bool {
    let Some(leader) = sim.leader() else {
        return false;
    };
    let last = sim.vms[leader].replica.as_ref().expect("it leads").raft();
    let left = sim.vms.iter().filter(|vm| !vm.gone);
    let mut all = left.map(|vm| vm.replica.as_ref().map(Replica::raft));
    no_gone_voter(sim, last)
        && last.commit() == last.log().tail().index
        && all.all(|one| {
            one.is_some_and(|one| {
                last.membership().votes(&one.me()) && one.durable() == last.commit()
            })
        })
}

/// Runs a case. Returns its failure and the events before it.
fn play(seed: u64, mix: Mix) -> Result<(), String> {
    let mut history = Vec::new();
    let ended = panic::catch_unwind(panic::AssertUnwindSafe(|| {
        let mut case = Case::new(seed, mix);
        let ended = panic::catch_unwind(panic::AssertUnwindSafe(|| case.run()));
        history.append(&mut case.history);
        if let Err(why) = ended {
            panic::resume_unwind(why);
        }
    }));
    ended.map_err(|why| {
        let text = why.downcast_ref::<String>().cloned();
        let text = text.or_else(|| why.downcast_ref::<&str>().map(ToString::to_string));
        format!("{}; {}", text.unwrap_or_default(), history.join("; "))
    })
}

/// Runs the cases of `seeds`. Returns the seeds that failed, and why.
fn play_all(seeds: std::ops::Range<u64>, mix: Mix) -> Vec<(u64, String)> {
    let next = AtomicU64::new(seeds.start);
    let work = || {
        let mut failed = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds.end {
                return failed;
            }
            if let Err(why) = play(seed, mix) {
                failed.push((seed, why));
            }
        }
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        let failed = threads
            .into_iter()
            .map(|thread| thread.join().expect("a thread"));
        failed.flatten().collect()
    })
}

fn check(mix: Mix, count: u64) {
    let from_env = |name: &str, or: u64| {
        let given = std::env::var(name).ok();
        given.map_or(or, |text| text.parse().expect("a number"))
    };
    let first = from_env("OPEN_SCHEDULES_SEED", FIRST_SEED);
    let count = from_env("OPEN_SCHEDULES_CASES", count);
    println!("open schedules, {mix:?}: {count} cases from seed {first}");
    panic::set_hook(Box::new(|_| {}));
    let mut failed = play_all(first..first + count, mix);
    let _ = panic::take_hook();
    failed.sort_unstable();
    for (seed, why) in failed.iter().take(20) {
        println!("seed {seed}: {why}");
    }
    assert!(
        failed.is_empty(),
        "{} of {count} cases failed",
        failed.len()
    );
}

#[test]
fn random_losses() {
    check(Mix::Losses, CASES);
}

#[test]
fn random_losses_and_disk_faults() {
    check(Mix::Disks, CASES / 2);
}

#[test]
fn voter_removed_before_successor_votes() {
    for seed in STOPPED {
        assert_eq!(play(seed, Mix::Disks), Ok(()), "seed {seed}");
    }
}
