//! Simulated processes that discover each other by greetings. Guards against processes that stay
//! unknown to others after a start or restart, and against greetings that grow with their number.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use wigeonbarrow::direct::gossip::Peer;
use wigeonbarrow::direct::membership::Membership;
use wigeonbarrow::wire::id;

/// Time between a process's regular greetings.
const GREETING_INTERVAL: Duration = Duration::from_millis(400);
/// Time between greetings of seeds that were not heard from yet.
const SEED_INTERVAL: Duration = Duration::from_millis(100);
/// Network latency of a datagram.
const LATENCY: Duration = Duration::from_millis(1);
/// Fraction of the datagrams that are lost.
const LOSS: f64 = 0.05;
const SEEDS: usize = 3;
/// Time within which all processes of a simulation start.
const START_MS: u64 = 300;

struct Process {
    peer: Peer,
    membership: Membership,
    starts: Duration,
}

enum Event {
    /// A process sends its regular greeting.
    Greet,
    /// A process greets the seeds that it has not heard from.
    GreetSeeds,
    /// A greeting arrives: its sender and the addresses that it lists.
    Hello(Peer, Vec<SocketAddr>),
}

struct Net {
    processes: Vec<Process>,
    /// The process and its event, by time and a sequence number.
    queue: BTreeMap<(Duration, u64), (usize, Event)>,
    seq: u64,
    rng: StdRng,
    /// Number of addresses listed in regular greetings, and of these greetings.
    listed: (usize, usize),
}

fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7_000))
}

fn index(addr: SocketAddr) -> usize {
    let SocketAddr::V4(addr) = addr else {
        panic!("{addr} is not an address of the simulation");
    };
    let [_, _, high, low] = addr.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

fn peer(index: usize, incarnation: u64) -> Peer {
    Peer {
        link: addr(index),
        life: id::Incarnation(incarnation),
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
            queue: BTreeMap::new(),
            seq: 0,
            rng: StdRng::seed_from_u64(seed),
            listed: (0, 0),
        };
        for index in 0..count {
            let starts = Duration::from_millis(net.rng.random_range(0..START_MS));
            net.start(index, 1, starts);
        }
        net
    }

    fn start(&mut self, index: usize, incarnation: u64, starts: Duration) {
        let process = Process {
            peer: peer(index, incarnation),
            membership: Membership::default(),
            starts,
        };
        if index < self.processes.len() {
            self.processes[index] = process;
        } else {
            self.processes.push(process);
        }
        self.schedule(starts, index, Event::Greet);
        for round in 1..20 {
            self.schedule(starts + SEED_INTERVAL * round, index, Event::GreetSeeds);
        }
    }

    fn schedule(&mut self, at: Duration, to: usize, event: Event) {
        self.seq += 1;
        self.queue.insert((at, self.seq), (to, event));
    }

    fn send(&mut self, now: Duration, from: usize, listed: &[SocketAddr], to: &[SocketAddr]) {
        for target in to {
            if !self.rng.random_bool(LOSS) {
                let event = Event::Hello(self.processes[from].peer.clone(), listed.to_vec());
                self.schedule(now + LATENCY, index(*target), event);
            }
        }
    }

    /// Runs the simulation until `end`.
    fn run(&mut self, end: Duration) {
        while let Some(entry) = self.queue.first_entry() {
            let now = entry.key().0;
            if now > end {
                return;
            }
            let (index, event) = entry.remove();
            match event {
                Event::Greet => self.greet(now, index),
                Event::GreetSeeds => self.greet_seeds(now, index),
                Event::Hello(from, listed) if now >= self.processes[index].starts => {
                    self.receive(now, index, &from, &listed);
                }
                Event::Hello(..) => {}
            }
        }
    }

    fn greet(&mut self, now: Duration, index: usize) {
        let seeds: Vec<SocketAddr> = (0..SEEDS).map(addr).collect();
        let membership = &mut self.processes[index].membership;
        membership.expire(now);
        let listed = membership.next_greeting(now);
        let targets = membership.greeting_targets(addr(index), &seeds);
        self.listed.0 += listed.len();
        self.listed.1 += 1;
        self.send(now, index, &listed, &targets);
        self.schedule(now + GREETING_INTERVAL, index, Event::Greet);
    }

    fn greet_seeds(&mut self, now: Duration, index: usize) {
        let seeds: Vec<SocketAddr> = (0..SEEDS).map(addr).collect();
        let unheard = self.processes[index]
            .membership
            .unheard_seeds(addr(index), &seeds);
        self.send(now, index, &[], &unheard);
    }

    fn receive(&mut self, now: Duration, index: usize, from: &Peer, listed: &[SocketAddr]) {
        let membership = &mut self.processes[index].membership;
        if membership.observe(now, from) {
            let all: Vec<SocketAddr> = membership.live().map(|peer| peer.link).collect();
            self.send(now, index, &all, &[from.link]);
        }
        let membership = &mut self.processes[index].membership;
        let unknown = membership.add_reported(now, addr(index), listed);
        self.send(now, index, &[], &unknown);
    }

    /// Number of pairs in which the first process does not know the second.
    fn unknown_pairs(&self) -> usize {
        let count = self.processes.len();
        let unknown = self
            .processes
            .iter()
            .map(|process| count - 1 - process.membership.live().count());
        unknown.sum()
    }
}

/// Processes that start within 0.3 s know nearly all others 0.15 s later, despite lost datagrams, and
/// all within 2 s, before any is considered gone.
#[test]
fn simultaneous_start_discovers_all() {
    for count in [5, 70, 200] {
        let mut net = Net::new(1, count);
        net.run(Duration::from_millis(START_MS + 150));
        let pairs = count * (count - 1);
        let early = net.unknown_pairs();
        net.run(Duration::from_millis(START_MS + 2_000));
        println!(
            "{count}: {early} of {pairs} pairs unknown after 0.15 s, then {}",
            net.unknown_pairs()
        );
        assert!(early * 10 <= pairs, "{count}: {early} of {pairs}");
        assert_eq!(net.unknown_pairs(), 0, "{count}");
    }
}

/// The size of a greeting does not grow with the number of processes once they know each other.
#[test]
fn greetings_stay_small() {
    for count in [20, 70, 200] {
        let mut net = Net::new(2, count);
        net.run(Duration::from_secs(4));
        net.listed = (0, 0);
        net.run(Duration::from_secs(8));
        let per_greeting = net.listed.0 as f64 / net.listed.1 as f64;
        assert!(per_greeting <= 8.0, "{count}: {per_greeting}");
        assert_eq!(net.unknown_pairs(), 0, "{count}");
    }
}

/// A tenth of the processes restart. Within 0.2 s they know nearly all others and are known to them,
/// despite lost datagrams, and fully within 2 s.
#[test]
fn restarted_tenth_rediscovered() {
    let mut net = Net::new(3, 70);
    net.run(Duration::from_secs(4));
    let restart = Duration::from_secs(4);
    for index in (5..70).step_by(10) {
        // Its own scheduled events end with the old process.
        net.queue
            .retain(|_, (to, event)| *to != index || matches!(event, Event::Hello(..)));
        net.start(index, 2, restart);
    }
    net.run(restart + Duration::from_millis(200));
    let unknown = net.unknown_pairs();
    assert!(unknown <= 70, "{unknown}");
    net.run(restart + Duration::from_secs(2));
    assert_eq!(net.unknown_pairs(), 0);
    let restarted = |process: &Process| {
        process
            .membership
            .live()
            .filter(|peer| peer.life.0 == 2)
            .count()
    };
    for (index, process) in net.processes.iter().enumerate() {
        let own = usize::from(index >= 5 && (index - 5).is_multiple_of(10));
        assert_eq!(restarted(process), 7 - own, "{index}");
    }
}

/// A leader that is gone is asked after the running voters while it is still known, so that requests
/// don't wait for it.
#[test]
fn gone_leader_asked_last() {
    let mut membership = Membership::default();
    let voter = |index: usize, leads: bool| Peer {
        votes: true,
        leads,
        ..peer(index, 1)
    };
    let order = |membership: &Membership| -> Vec<usize> {
        let voters = membership.voters();
        voters.iter().map(|voter| index(voter.link)).collect()
    };
    membership.observe(Duration::ZERO, &voter(2, true));
    membership.observe(Duration::ZERO, &voter(1, false));
    membership.observe(Duration::ZERO, &peer(0, 1));
    assert_eq!(order(&membership), [2, 1]);
    let later = Duration::from_secs(4);
    membership.observe(later, &voter(1, false));
    membership.observe(later, &voter(3, true));
    membership.expire(later);
    assert_eq!(order(&membership), [3, 1, 2]);
}
