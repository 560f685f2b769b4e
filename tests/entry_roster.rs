//! Simulated processes that discover each other by greetings, and hear of each other by reports.
//! Guards against processes that stay unknown to others after a start, a restart or a cut, or are
//! considered gone while they run, and against datagrams whose number or size grows with that of the
//! processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use wigeonbarrow::direct::gossip::Peer;
use wigeonbarrow::direct::membership::Membership;
use wigeonbarrow::direct::spread::Plan;
use wigeonbarrow::wire::id;

/// Time between a process's regular greetings.
const GREETING_INTERVAL: Duration = Duration::from_millis(400);
/// Time between greetings of seeds that were not heard from yet.
const SEED_INTERVAL: Duration = Duration::from_millis(100);
/// Network latency of a datagram.
const LATENCY: Duration = Duration::from_millis(1);
/// Time for which a relay gathers what it forwards.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// Time from its start for which a process reports through two relays.
const JOINING_FOR: Duration = Duration::from_secs(2);
/// Fraction of the datagrams that are lost.
const LOSS: f64 = 0.05;
const SEEDS: usize = 3;
/// Time within which all processes of a simulation start.
const START_MS: u64 = 300;

struct Process {
    peer: Peer,
    membership: Membership,
    starts: Duration,
    /// Number of reports so far.
    turn: u64,
    /// Whom its reports go to, as of its last greeting.
    plan: Plan,
    /// Reports to be forwarded.
    gathered: Vec<Peer>,
    /// Datagrams sent and received.
    datagrams: u64,
    /// Reports of other processes that it forwarded, once for each receiver, and that it received.
    forwarded: u64,
    received: u64,
}

enum Event {
    /// A process sends its regular greeting.
    Greet,
    /// A process greets the seeds that it has not heard from.
    GreetSeeds,
    /// A greeting arrives: its sender and the addresses that it lists.
    Hello(Peer, Vec<SocketAddr>),
    /// A report arrives, which shows that this process is running: whether it is to be forwarded.
    Report(Peer, bool),
    /// A relay forwards what it has gathered.
    Forward,
    /// A batch of reports arrives.
    Batch(Vec<Peer>),
}

impl Event {
    fn is_datagram(&self) -> bool {
        matches!(self, Self::Hello(..) | Self::Report(..) | Self::Batch(_))
    }
}

struct Net {
    processes: Vec<Process>,
    /// The process and its event, by time and a sequence number.
    queue: BTreeMap<(Duration, u64), (usize, Event)>,
    seq: u64,
    rng: StdRng,
    /// Number of addresses listed in regular greetings, and of these greetings.
    listed: (usize, usize),
    /// Number of availability zones. Processes are in them by turns.
    zones: usize,
    /// Until when the first half of the processes is cut off from the second.
    cut_until: Duration,
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

fn zone(index: usize, zones: usize) -> String {
    format!("zone-{}", index % zones)
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
        Self::in_zones(seed, count, 1)
    }

    fn in_zones(seed: u64, count: usize, zones: usize) -> Self {
        let mut net = Self {
            processes: Vec::new(),
            queue: BTreeMap::new(),
            seq: 0,
            rng: StdRng::seed_from_u64(seed),
            listed: (0, 0),
            zones,
            cut_until: Duration::ZERO,
        };
        for index in 0..count {
            let starts = Duration::from_millis(net.rng.random_range(0..START_MS));
            net.start(index, 1, starts);
        }
        net
    }

    fn start(&mut self, index: usize, incarnation: u64, starts: Duration) {
        let process = Process {
            peer: Peer {
                zone: zone(index, self.zones),
                ..peer(index, incarnation)
            },
            membership: Membership::default(),
            starts,
            turn: 0,
            plan: Plan::default(),
            gathered: Vec::new(),
            datagrams: 0,
            forwarded: 0,
            received: 0,
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
            let event = Event::Hello(self.processes[from].peer.clone(), listed.to_vec());
            self.deliver(now, from, *target, event);
        }
    }

    /// Sends a datagram, which may be lost.
    fn deliver(&mut self, now: Duration, from: usize, to: SocketAddr, event: Event) {
        let half = self.processes.len() / 2;
        let is_cut = now < self.cut_until && (from < half) != (index(to) < half);
        self.processes[from].datagrams += 1;
        if !is_cut && !self.rng.random_bool(LOSS) {
            self.schedule(now + LATENCY, index(to), event);
        }
    }

    /// Tells all that this process is running.
    fn report(&mut self, now: Duration, index: usize) {
        let process = &mut self.processes[index];
        let live = process.membership.live();
        process.plan = Plan::new(addr(index), &process.peer.zone, live);
        process.turn += 1;
        let (plan, turn) = (process.plan.clone(), process.turn);
        let is_joining = now < self.processes[index].starts + JOINING_FOR;
        let relays = plan.relays(turn, is_joining);
        for (targets, relay) in [(plan.direct().to_vec(), false), (relays, true)] {
            for target in targets {
                let event = Event::Report(self.processes[index].peer.clone(), relay);
                self.deliver(now, index, target, event);
            }
        }
    }

    fn relay(&mut self, now: Duration, index: usize, from: Peer) {
        let plan = self.processes[index].plan.clone();
        if plan.batches() {
            if self.processes[index].gathered.is_empty() {
                self.schedule(now + BATCH_DELAY, index, Event::Forward);
            }
            self.processes[index].gathered.push(from);
            return;
        }
        for target in plan.zone() {
            self.deliver(now, index, *target, Event::Report(from.clone(), false));
        }
    }

    fn forward(&mut self, now: Duration, index: usize) {
        let gathered = std::mem::take(&mut self.processes[index].gathered);
        let plan = self.processes[index].plan.clone();
        // Some ten reports fit into a packet.
        for batch in gathered.chunks(10) {
            self.processes[index].forwarded += (batch.len() * plan.zone().len()) as u64;
            for target in plan.zone() {
                self.deliver(now, index, *target, Event::Batch(batch.to_vec()));
            }
        }
    }

    fn observe(&mut self, now: Duration, index: usize, from: &Peer) {
        if from.link == addr(index) {
            return;
        }
        let process = &mut self.processes[index];
        if process.membership.observe(now, from) {
            let lists_all = index < SEEDS;
            let pages = process.membership.welcome(lists_all);
            for page in pages {
                self.send(now, index, &page, &[from.link]);
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
                Event::Forward => self.forward(now, index),
                _ if now < self.processes[index].starts => {}
                received => {
                    self.processes[index].datagrams += 1;
                    self.handle(now, index, received);
                }
            }
        }
    }

    fn handle(&mut self, now: Duration, index: usize, received: Event) {
        match received {
            Event::Hello(from, listed) => self.receive(now, index, &from, &listed),
            Event::Report(from, relay) => {
                self.observe(now, index, &from);
                if relay {
                    self.relay(now, index, from);
                }
            }
            Event::Batch(reports) => {
                self.processes[index].received += reports.len() as u64;
                for from in reports {
                    self.observe(now, index, &from);
                }
            }
            Event::Greet | Event::GreetSeeds | Event::Forward => {}
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
        self.report(now, index);
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
        self.observe(now, index, from);
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

/// The same in several availability zones, up to the size of a whole fleet. All keep knowing each
/// other, and what each of them sends and receives does not grow with their number.
#[test]
fn datagrams_stay_few() {
    let mut rates = Vec::new();
    for count in [60, 240, 480] {
        let mut net = Net::in_zones(4, count, 5);
        net.run(Duration::from_secs(3));
        assert_eq!(net.unknown_pairs(), 0, "{count}");
        for process in &mut net.processes {
            (process.datagrams, process.forwarded, process.received) = (0, 0, 0);
        }
        net.run(Duration::from_secs(5));
        assert_eq!(net.unknown_pairs(), 0, "{count}: considered gone");
        let total: u64 = net.processes.iter().map(|process| process.datagrams).sum();
        let mean = total as f64 / count as f64 / 2.0;
        let most = net.processes.iter().map(|process| process.forwarded).max();
        let received: u64 = net.processes.iter().map(|process| process.received).sum();
        let ratio = most.unwrap_or_default() as f64 / (received as f64 / count as f64).max(1.0);
        println!("{count}: {mean:.0} datagrams a second at each process, relays {ratio:.1}");
        // A thousand processes receive 0.4 MB a second each, and a link of 20 Mbit/s carries 2.5 MB. One
        // that is two thirds full delays callers as well.
        assert!(
            ratio < 4.0,
            "{count}: a relay sends {ratio} times what others receive"
        );
        assert!(mean < 1_000.0, "{count}: {mean}");
        rates.push(mean);
    }
    assert!(rates[2] < rates[1] * 2.0, "{rates:?}");
}

/// Two halves that were cut off from each other know each other again soon after the cut.
#[test]
fn halves_meet_again() {
    for (count, zones) in [(20, 2), (200, 5)] {
        let mut net = Net::in_zones(5, count, zones);
        net.run(Duration::from_secs(3));
        net.cut_until = Duration::from_secs(9);
        net.run(net.cut_until);
        assert_eq!(net.unknown_pairs(), count / 2 * count, "{count}");
        net.run(net.cut_until + Duration::from_secs(3));
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
            .retain(|_, (to, event)| *to != index || event.is_datagram());
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

/// When many join at once, each running process would send each of them the list of all.
#[test]
fn welcome_stays_small() {
    for count in [20, 96, 97, 474, 1_000] {
        let mut membership = Membership::default();
        for index in 0..count {
            membership.observe(Duration::ZERO, &peer(index, 1));
        }
        let listed = |pages: &[Vec<SocketAddr>]| -> usize { pages.iter().map(Vec::len).sum() };
        let all = membership.welcome(true);
        assert_eq!(listed(&all), count, "those that vote list all");
        assert!(all.iter().all(|page| page.len() <= 96), "{count}");
        let few = membership.welcome(false);
        assert_eq!(few.len(), 1, "{count}");
        let most = if count <= 96 { count } else { 8 };
        assert_eq!(listed(&few), most, "{count}");
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
