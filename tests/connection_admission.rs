//! New connections at an entry that has a part of a core: a model of its event loop.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use wigeonbarrow::direct::admission::Admission;

/// Speed of the processor.
const CORE: f64 = 0.09;

/// Processor time of each step, on a whole core, in microseconds.
const ACCEPT_US: f64 = 30.0;
const REFUSE_US: f64 = 20.0;
const READ_US: f64 = 300.0;
const EVENT_US: f64 = 35.0;

/// Events of a response, and the time between them.
const EVENTS: u32 = 10;
const EVENT_GAP: f64 = 0.04;

/// Requests a second that the processor has time for.
const CAPACITY: f64 = CORE * 1e6 / (ACCEPT_US + READ_US + EVENT_US * EVENTS as f64);

/// Most connections that one run of the accept loop takes.
const ACCEPT_BATCH: usize = 128;

/// Refusals after which it pauses, and for how long.
const REFUSED_AT_ONCE: u32 = 32;
const REFUSAL_PAUSE: f64 = 0.03;

/// Connections that wait for the accept loop.
const QUEUE: usize = 128;

/// Time after which a caller abandons a connection of which nothing was read.
const UNREAD_PATIENCE: f64 = 1.0;

/// Time within which a response is whole that was served in time: 0.4 s without any load.
const IN_TIME: f64 = 1.2;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Request {
    arrived: f64,
    read: Option<f64>,
    ended: Option<f64>,
    is_refused: bool,
}

impl Request {
    fn in_time(&self) -> bool {
        self.ended.is_some_and(|at| at - self.arrived <= IN_TIME)
    }
}

/// A step of a request that has become ready.
#[derive(Clone, Copy, Debug)]
enum Task {
    Accept,
    First { request: usize, accepted: f64 },
    Event { request: usize, left: u32 },
}

struct Entry {
    admission: Option<Admission>,
    now: f64,
    ready: VecDeque<Task>,
    queue: VecDeque<usize>,
    /// Microsecond, request, events left.
    timers: BinaryHeap<Reverse<(u64, usize, u32)>>,
    requests: Vec<Request>,
    accepts: bool,
    accepts_from: f64,
}

impl Entry {
    fn spend(&mut self, us: f64) {
        self.now += us / 1e6 / CORE;
    }

    fn clock(&self) -> Duration {
        Duration::from_secs_f64(self.now)
    }

    fn run(&mut self, task: Task) {
        match task {
            Task::Accept => {
                self.accepts = false;
                let mut refused = 0;
                for _ in 0..ACCEPT_BATCH {
                    let Some(request) = self.queue.pop_front() else {
                        return;
                    };
                    self.spend(ACCEPT_US);
                    let now = self.clock();
                    if self.admission.as_mut().is_none_or(|one| one.admit(now)) {
                        let accepted = self.now;
                        self.ready.push_back(Task::First { request, accepted });
                    } else {
                        self.requests[request].is_refused = true;
                        self.spend(REFUSE_US);
                        refused += 1;
                        if refused == REFUSED_AT_ONCE {
                            self.accepts_from = self.now + REFUSAL_PAUSE;
                            return;
                        }
                    }
                }
            }
            Task::First { request, accepted } => {
                let delay = Duration::from_secs_f64(self.now - accepted);
                let now = self.clock();
                if let Some(admission) = &mut self.admission {
                    admission.observe(now, delay);
                }
                if self.now - self.requests[request].arrived > UNREAD_PATIENCE {
                    // Its caller has gone.
                    self.spend(ACCEPT_US);
                    return;
                }
                self.requests[request].read = Some(self.now);
                self.spend(READ_US);
                self.wait(request, EVENTS);
            }
            Task::Event { request, left } => {
                self.spend(EVENT_US);
                if left == 1 {
                    self.requests[request].ended = Some(self.now);
                } else {
                    self.wait(request, left - 1);
                }
            }
        }
    }

    fn wait(&mut self, request: usize, left: u32) {
        let at = ((self.now + EVENT_GAP) * 1e6) as u64;
        self.timers.push(Reverse((at, request, left)));
    }

    /// Makes ready what has arrived or is due.
    fn poll(&mut self, arrivals: &[f64], next: &mut usize) {
        while arrivals.get(*next).is_some_and(|at| *at <= self.now) {
            let request = Request {
                arrived: arrivals[*next],
                ..Request::default()
            };
            self.requests.push(request);
            if self.queue.len() < QUEUE {
                self.queue.push_back(self.requests.len() - 1);
            }
            *next += 1;
        }
        if !self.queue.is_empty() && !self.accepts && self.now >= self.accepts_from {
            self.accepts = true;
            self.ready.push_back(Task::Accept);
        }
        while let Some(Reverse((at, request, left))) = self.timers.peek().copied() {
            if at as f64 / 1e6 > self.now {
                break;
            }
            self.timers.pop();
            self.ready.push_back(Task::Event { request, left });
        }
    }
}

/// Plays arrivals at the given rates: each for its seconds. `pauses`: the machine stands still.
fn play(rates: &[(f64, f64)], pauses: &[(f64, f64)], admission: Option<Admission>) -> Vec<Request> {
    let mut arrivals = Vec::new();
    let mut from = 0.0;
    for (per_s, seconds) in rates {
        let count = (per_s * seconds) as usize;
        arrivals.extend((0..count).map(|at| from + at as f64 / per_s));
        from += seconds;
    }
    let mut entry = Entry {
        admission,
        now: 0.0,
        ready: VecDeque::new(),
        queue: VecDeque::new(),
        timers: BinaryHeap::new(),
        requests: Vec::new(),
        accepts: false,
        accepts_from: 0.0,
    };
    let mut next = 0;
    let mut pauses = pauses.iter().peekable();
    while entry.now < from + 5.0 {
        if let Some((_, length)) = pauses.next_if(|(at, _)| *at <= entry.now) {
            entry.now += length;
        }
        entry.poll(&arrivals, &mut next);
        match entry.ready.pop_front() {
            Some(task) => entry.run(task),
            None => entry.now += 0.000_5,
        }
    }
    entry.requests
}

/// Share of those read that were served in time, by arrival, and how many were.
fn goodput(requests: &[Request], from: f64, to: f64) -> (f64, usize) {
    let within = requests
        .iter()
        .filter(|one| (from..to).contains(&one.arrived));
    let read: Vec<&Request> = within.filter(|one| one.read.is_some()).collect();
    let good = read.iter().filter(|one| one.in_time()).count();
    (good as f64 / read.len().max(1) as f64, good)
}

const USUAL: f64 = 0.35 * CAPACITY;

/// Most connections go to one entry: from 3 s on, three quarters of what it reads is served in time.
#[test]
fn overload_serves_late() {
    let mut findings = Vec::new();
    for times in [1.0, 3.0, 10.0, 30.0] {
        let rates = [(USUAL, 5.0), (times * CAPACITY, 8.0), (USUAL, 5.0)];
        let with = play(&rates, &[], Some(Admission::default()));
        let without = play(&rates, &[], None);
        let (before, _) = goodput(&with, 1.0, 5.0);
        let (share, good) = goodput(&with, 8.0, 13.0);
        let (share_without, good_without) = goodput(&without, 8.0, 13.0);
        println!(
            "{times} x: {share:.2} of {good} with, {share_without:.2} of {good_without} without"
        );
        findings.extend((share < 0.75 * before).then(|| format!("{times} x: {share:.2} in time")));
        let is_few = times < 30.0 && (good as f64) < 0.4 * 5.0 * CAPACITY;
        findings.extend(is_few.then(|| format!("{times} x: only {good} in time")));
        let refused = with
            .iter()
            .filter(|one| one.arrived > 15.0 && one.is_refused);
        let count = refused.count();
        findings.extend((count > 0).then(|| format!("{times} x: {count} refused after the end")));
    }
    assert!(findings.is_empty(), "{findings:#?}");
}

/// Usual load, also near the capacity, refuses nothing.
#[test]
fn usual_load_refused() {
    for share in [0.1, 0.35, 0.7, 0.9] {
        let requests = play(&[(share * CAPACITY, 20.0)], &[], Some(Admission::default()));
        assert!(
            requests.iter().all(|one| !one.is_refused && one.in_time()),
            "at {share}"
        );
    }
}

/// What a short burst or a pause of the machine delays is served, not refused.
#[test]
fn short_burst_refused() {
    let burst = [(USUAL, 5.0), (1.1 * CAPACITY, 3.0), (USUAL, 8.0)];
    let spike = [(USUAL, 5.0), (4.0 * CAPACITY, 0.4), (USUAL, 8.0)];
    let steady = [(0.6 * CAPACITY, 15.0)];
    let high = [(0.85 * CAPACITY, 15.0)];
    let plays = [
        play(&burst, &[], Some(Admission::default())),
        play(&spike, &[], Some(Admission::default())),
        play(&steady, &[(5.0, 0.5)], Some(Admission::default())),
        play(&steady, &[(5.0, 3.0)], Some(Admission::default())),
        play(&high, &[(5.0, 0.5)], Some(Admission::default())),
    ];
    for (at, requests) in plays.iter().enumerate() {
        let refused = requests.iter().filter(|one| one.is_refused).count();
        assert_eq!(refused, 0, "play {at}");
    }
}
