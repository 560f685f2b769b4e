//! Processes that find each other by greetings, in memory: how soon all know all, and what a greeting
//! names once they do.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use wigeonbarrow::direct::gossip::Peer;
use wigeonbarrow::direct::membership::Membership;
use wigeonbarrow::wire::id;

const HELLO: Duration = Duration::from_millis(400);
const KNOCK: Duration = Duration::from_millis(100);
/// Way of a datagram.
const WAY: Duration = Duration::from_millis(1);
/// Share of the datagrams that are lost.
const LOSS: f64 = 0.05;
const SEEDS: usize = 3;
/// Time within which processes of one start begin.
const START: u64 = 300;

struct Process {
    peer: Peer,
    roster: Membership,
    starts: Duration,
}

enum What {
    Greet,
    Knock,
    Hello(Peer, Vec<SocketAddr>),
}

struct Net {
    processes: Vec<Process>,
    /// By time and a number that keeps them apart: to whom, and what.
    due: BTreeMap<(Duration, u64), (usize, What)>,
    count: u64,
    draw: StdRng,
    /// Names sent in periodic greetings, and such greetings.
    named: (usize, usize),
}

fn addr(at: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (at >> 8) as u8, at as u8], 7_000))
}

fn index(addr: SocketAddr) -> usize {
    let SocketAddr::V4(addr) = addr else {
        panic!("{addr} is one of ours");
    };
    let [_, _, high, low] = addr.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

fn peer(at: usize, life: u64) -> Peer {
    Peer {
        link: addr(at),
        life: id::Incarnation(life),
        zone: "a".to_owned(),
        votes: false,
        leads: false,
        first_start: true,
        serves: true,
        version: 0,
    }
}

impl Net {
    fn new(seed: u64, count: usize) -> Self {
        let mut net = Self {
            processes: Vec::new(),
            due: BTreeMap::new(),
            count: 0,
            draw: StdRng::seed_from_u64(seed),
            named: (0, 0),
        };
        for at in 0..count {
            let starts = Duration::from_millis(net.draw.random_range(0..START));
            net.start(at, 1, starts);
        }
        net
    }

    fn start(&mut self, at: usize, life: u64, starts: Duration) {
        let process = Process {
            peer: peer(at, life),
            roster: Membership::default(),
            starts,
        };
        if at < self.processes.len() {
            self.processes[at] = process;
        } else {
            self.processes.push(process);
        }
        self.plan(starts, at, What::Greet);
        for knock in 1..20 {
            self.plan(starts + KNOCK * knock, at, What::Knock);
        }
    }

    fn plan(&mut self, now: Duration, to: usize, what: What) {
        self.count += 1;
        self.due.insert((now, self.count), (to, what));
    }

    fn hello(&mut self, now: Duration, from: usize, names: &[SocketAddr], to: &[SocketAddr]) {
        for target in to {
            if !self.draw.random_bool(LOSS) {
                let what = What::Hello(self.processes[from].peer.clone(), names.to_vec());
                self.plan(now + WAY, index(*target), what);
            }
        }
    }

    /// Plays until `end`.
    fn play(&mut self, end: Duration) {
        while let Some(entry) = self.due.first_entry() {
            let now = entry.key().0;
            if now > end {
                return;
            }
            let (at, what) = entry.remove();
            match what {
                What::Greet => self.greet(now, at),
                What::Knock => self.knock(now, at),
                What::Hello(from, names) if now >= self.processes[at].starts => {
                    self.take(now, at, &from, &names);
                }
                What::Hello(..) => {}
            }
        }
    }

    fn greet(&mut self, now: Duration, at: usize) {
        let seeds: Vec<SocketAddr> = (0..SEEDS).map(addr).collect();
        let roster = &mut self.processes[at].roster;
        roster.expire(now);
        let names = roster.next_greeting(now);
        let targets = roster.greeting_targets(addr(at), &seeds);
        self.named.0 += names.len();
        self.named.1 += 1;
        self.hello(now, at, &names, &targets);
        self.plan(now + HELLO, at, What::Greet);
    }

    fn knock(&mut self, now: Duration, at: usize) {
        let seeds: Vec<SocketAddr> = (0..SEEDS).map(addr).collect();
        let unheard = self.processes[at].roster.unheard_seeds(addr(at), &seeds);
        self.hello(now, at, &[], &unheard);
    }

    fn take(&mut self, now: Duration, at: usize, from: &Peer, names: &[SocketAddr]) {
        let roster = &mut self.processes[at].roster;
        if roster.observe(now, from) {
            let all: Vec<SocketAddr> = roster.live().map(|one| one.link).collect();
            self.hello(now, at, &all, &[from.link]);
        }
        let roster = &mut self.processes[at].roster;
        let strangers = roster.add_reported(now, addr(at), names);
        self.hello(now, at, &[], &strangers);
    }

    /// Pairs of which one does not know the other.
    fn strangers(&self) -> usize {
        let count = self.processes.len();
        let known = self
            .processes
            .iter()
            .map(|one| count - 1 - one.roster.live().count());
        known.sum()
    }
}

/// All that start within 0.3 s know each other 0.15 s later but for what was lost, and all
/// within 2 s, before silence counts.
#[test]
fn started_together() {
    for count in [5, 70, 200] {
        let mut net = Net::new(1, count);
        net.play(Duration::from_millis(START + 150));
        let pairs = count * (count - 1);
        let early = net.strangers();
        net.play(Duration::from_millis(START + 2_000));
        println!(
            "{count}: {early} of {pairs} strangers after 0.15 s, then {}",
            net.strangers()
        );
        assert!(early * 10 <= pairs, "{count}: {early} of {pairs}");
        assert_eq!(net.strangers(), 0, "{count}");
    }
}

/// What a greeting names does not grow with the processes once they know each other.
#[test]
fn greetings_stay_small() {
    for count in [20, 70, 200] {
        let mut net = Net::new(2, count);
        net.play(Duration::from_secs(4));
        net.named = (0, 0);
        net.play(Duration::from_secs(8));
        let a_greeting = net.named.0 as f64 / net.named.1 as f64;
        assert!(a_greeting <= 8.0, "{count}: {a_greeting}");
        assert_eq!(net.strangers(), 0, "{count}");
    }
}

/// A tenth that start again under new lives are known again, and know all, within 0.2 s but for
/// what was lost, and then within 2 s.
#[test]
fn tenth_restarts() {
    let mut net = Net::new(3, 70);
    net.play(Duration::from_secs(4));
    let again = Duration::from_secs(4);
    for at in (5..70).step_by(10) {
        // What it had planned goes with it.
        net.due
            .retain(|_, (to, what)| *to != at || matches!(what, What::Hello(..)));
        net.start(at, 2, again);
    }
    net.play(again + Duration::from_millis(200));
    let strangers = net.strangers();
    assert!(strangers <= 70, "{strangers}");
    net.play(again + Duration::from_secs(2));
    assert_eq!(net.strangers(), 0);
    let life = |one: &Process| one.roster.live().filter(|peer| peer.life.0 == 2).count();
    for (at, process) in net.processes.iter().enumerate() {
        let own = usize::from(at >= 5 && (at - 5).is_multiple_of(10));
        assert_eq!(life(process), 7 - own, "{at}");
    }
}

/// A leader that has gone is asked after those that are there, also while it is still remembered.
#[test]
fn gone_leader_last() {
    let mut roster = Membership::default();
    let voter = |at: usize, leads: bool| Peer {
        votes: true,
        leads,
        ..peer(at, 1)
    };
    let order = |roster: &Membership| -> Vec<usize> {
        let voters = roster.voters();
        voters.iter().map(|one| index(one.link)).collect()
    };
    roster.observe(Duration::ZERO, &voter(2, true));
    roster.observe(Duration::ZERO, &voter(1, false));
    roster.observe(Duration::ZERO, &peer(0, 1));
    assert_eq!(order(&roster), [2, 1]);
    let later = Duration::from_secs(4);
    roster.observe(later, &voter(1, false));
    roster.observe(later, &voter(3, true));
    roster.expire(later);
    assert_eq!(order(&roster), [3, 1, 2]);
}
