//! Prompt parts that crash backend servers, at many entries that exchange news with delay and loss.
//!
//! Guards against a part that goes on crashing servers, against sound parts that are convicted for
//! the company they keep, and against verdicts that are not taken back or not known to all.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;

use wigeonbarrow::direct::gossip;
use wigeonbarrow::direct::part::Answer;
use wigeonbarrow::direct::part::Crash;
use wigeonbarrow::direct::part::Decision;
use wigeonbarrow::direct::part::Heard;
use wigeonbarrow::direct::part::News;
use wigeonbarrow::direct::part::Parts;
use wigeonbarrow::direct::part::Verdict;
use wigeonbarrow::direct::rendezvous;
use wigeonbarrow::wire::id;

const START: Duration = Duration::from_secs(100);
const FAULTY: u64 = 0xbad;
const NOBODY: [u64; 0] = [];

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(millis: u64) -> Duration {
    START + ms(millis)
}

fn crash(server: u64, request: u64, parts: &[u64]) -> Crash {
    Parts::default().crash(server, request, parts)
}

/// Crashes of `servers` under one request each, a quarter of a second apart.
fn crash_all(parts: &mut Parts, servers: std::ops::Range<u64>, under: &[u64]) {
    for server in servers {
        parts.record_crash(at(server * 250), &crash(server, 1_000 + server, under));
    }
}

#[test]
fn faulty_part_convicted() {
    let mut parts = Parts::default();
    crash_all(&mut parts, 0..3, &[FAULTY]);
    assert_eq!(
        parts.judge(at(900)),
        NOBODY,
        "too soon for news of an answer"
    );
    assert_eq!(parts.judge(at(1_000)), [FAULTY]);
    assert_eq!(
        parts.decide(at(1_000), &[1, FAULTY], |_| true),
        Decision::Reject(FAULTY)
    );
    assert_eq!(parts.decide(at(1_000), &[1], |_| true), Decision::Send);
}

#[test]
fn one_request_is_not_enough() {
    let mut parts = Parts::default();
    for server in 0..6 {
        parts.record_crash(at(server * 250), &crash(server, 1, &[FAULTY]));
    }
    assert_eq!(parts.judge(at(9_000)), NOBODY);
}

#[test]
fn one_server_is_not_enough() {
    let mut parts = Parts::default();
    for request in 0..16 {
        parts.record_crash(at(0), &crash(7, request, &[FAULTY]));
    }
    assert_eq!(parts.judge(at(9_000)), NOBODY);
    // The crowd of the first crash must not hide the next ones.
    parts.record_crash(at(300), &crash(8, 100, &[FAULTY]));
    parts.record_crash(at(600), &crash(9, 101, &[FAULTY]));
    assert_eq!(parts.judge(at(1_000)), [FAULTY]);
}

#[test]
fn answer_acquits() {
    let mut parts = Parts::default();
    crash_all(&mut parts, 0..3, &[1, FAULTY]);
    assert_eq!(parts.acquit(at(800), &[1, 2]), [1]);
    assert_eq!(parts.judge(at(1_000)), [FAULTY]);
    assert_eq!(parts.decide(at(1_000), &[1], |_| true), Decision::Send);
}

#[test]
fn verdict_explains_bystanders() {
    let mut parts = Parts::default();
    crash_all(&mut parts, 0..2, &[5, FAULTY]);
    crash_all(&mut parts, 2..4, &[FAULTY]);
    assert_eq!(parts.judge(at(1_100)), [FAULTY]);
    // A later crash under the convicted part, which a bystander of it reports first.
    parts.record_crash(at(1_200), &crash(7, 70, &[5]));
    parts.record_crash(at(1_201), &crash(7, 71, &[FAULTY]));
    parts.record_crash(at(1_202), &crash(7, 72, &[5]));
    parts.record_crash(at(1_300), &crash(8, 80, &[5]));
    parts.record_crash(at(1_400), &crash(9, 90, &[5]));
    assert_eq!(parts.judge(at(9_000)), NOBODY, "two crashes are left");
}

#[test]
fn inseparable_parts_convicted() {
    let mut parts = Parts::default();
    crash_all(&mut parts, 0..4, &[6, FAULTY]);
    assert_eq!(parts.judge(at(2_000)), NOBODY, "either may be the one");
    crash_all(&mut parts, 4..5, &[6, FAULTY]);
    let convicted: BTreeSet<u64> = parts.judge(at(2_000)).into_iter().collect();
    assert_eq!(convicted, BTreeSet::from([6, FAULTY]));
    // A request with one of them only tells them apart soon.
    let soon = at(3_000);
    assert_eq!(
        parts.decide(soon, &[6, FAULTY], |_| true),
        Decision::Reject(FAULTY)
    );
    assert_eq!(parts.decide(soon, &[6], |_| true), Decision::Try(6));
    parts.begin_trial(soon, 6);
    assert_eq!(parts.acquit(soon, &[6]), [6]);
    assert_eq!(parts.decide(soon, &[6], |_| true), Decision::Send);
    assert_eq!(
        parts.decide(soon, &[6, FAULTY], |_| true),
        Decision::Try(FAULTY)
    );
}

/// A part that was sound before and then takes part in a crash of many servers at once.
#[test]
fn mass_crash_convicts_nobody() {
    let mut parts = Parts::default();
    parts.acquit(at(0), &[1]);
    for server in 0..40 {
        parts.record_crash(at(10), &crash(server, server, &[1]));
    }
    assert_eq!(parts.judge(at(9_000)), NOBODY);
}

/// A part that becomes faulty after answers on it were written.
#[test]
fn known_part_convicted() {
    let mut parts = Parts::default();
    parts.acquit(at(0), &[FAULTY]);
    for server in 0..5 {
        parts.record_crash(at(500 + server * 600), &crash(server, server, &[FAULTY]));
    }
    assert_eq!(parts.judge(at(3_400)), NOBODY);
    assert_eq!(parts.judge(at(3_600)), [FAULTY]);
}

#[test]
fn single_trial_runs() {
    let mut parts = Parts::default();
    crash_all(&mut parts, 0..4, &[FAULTY]);
    parts.judge(at(1_000));
    let soon = at(60_900);
    let later = at(61_000);
    assert_eq!(
        parts.decide(soon, &[FAULTY], |_| true),
        Decision::Reject(FAULTY)
    );
    assert_eq!(
        parts.decide(later, &[FAULTY], |_| false),
        Decision::Reject(FAULTY),
        "another entry lets it be tried"
    );
    assert_eq!(
        parts.decide(later, &[FAULTY], |_| true),
        Decision::Try(FAULTY)
    );
    let verdict = parts.begin_trial(later, FAULTY).unwrap();
    assert_eq!(
        parts.decide(later, &[FAULTY], |_| true),
        Decision::Reject(FAULTY)
    );
    // Another entry learns that it is being tried.
    let mut other = Parts::default();
    assert_eq!(other.hear_verdict(later, verdict), Heard::New);
    let trials = [later + ms(239_000), later + ms(241_000)];
    for (now, expected) in trials
        .into_iter()
        .zip([Decision::Reject(FAULTY), Decision::Try(FAULTY)])
    {
        assert_eq!(parts.decide(now, &[FAULTY], |_| true), expected);
        assert_eq!(other.decide(now, &[FAULTY], |_| true), expected);
    }
    assert_eq!(other.acquit(later, &[FAULTY]), [FAULTY]);
    assert_eq!(other.decide(later, &[FAULTY], |_| true), Decision::Send);
}

#[test]
fn silence_proves_nothing() {
    let mut answer = Answer::default();
    assert!(answer.is_beginning(ms(90)));
    for chunk in 1..=4 {
        answer.note(ms(chunk * 20));
    }
    assert!(answer.is_beginning(ms(90)));
    answer.note(ms(3_000));
    assert!(answer.is_beginning(ms(3_000)), "it was silent");
    for chunk in 1..=10 {
        answer.note(ms(3_000 + chunk * 100));
    }
    assert!(!answer.is_beginning(ms(4_000)));
}

#[test]
fn late_verdict_overruled() {
    let mut parts = Parts::default();
    crash_all(&mut parts, 0..4, &[FAULTY]);
    parts.judge(at(1_000));
    let verdicts = parts.verdicts(at(1_000), |_| true).concat();
    let mut other = Parts::default();
    other.acquit(at(1_100), &[FAULTY]);
    assert_eq!(other.hear_verdict(at(1_200), verdicts[0]), Heard::Overruled);
    assert_eq!(other.decide(at(1_200), &[FAULTY], |_| true), Decision::Send);
}

#[test]
fn memory_bounded() {
    let mut parts = Parts::default();
    for number in 0..20_000_u64 {
        let now = at(number);
        let under: Vec<u64> = (0..8).map(|part| number * 8 + part).collect();
        parts.record_crash(now, &crash(number, number, &under));
        parts.acquit(now, &[1_000_000 + number]);
        let verdict = Verdict {
            part: 2_000_000 + number,
            trials: 0,
            trial_in_ms: 60_000,
        };
        parts.hear_verdict(now, verdict);
    }
    assert!(parts.len() <= 3 * 4_096, "{}", parts.len());
}

#[test]
fn news_fits_into_packet() {
    let large = u64::MAX;
    let mut parts = Parts::default();
    for number in 0..500 {
        let verdict = Verdict {
            part: large - number,
            trials: 9,
            trial_in_ms: u32::MAX,
        };
        parts.hear_verdict(START, verdict);
    }
    let all: Vec<u64> = (0..64).map(|number| large - number).collect();
    let mut news: Vec<News> = parts
        .verdicts(START, |_| true)
        .into_iter()
        .map(News::Verdicts)
        .collect();
    news.push(News::Crash(crash(large, large, &all)));
    news.push(News::Acquittals(all));
    for news in news {
        let datagram = gossip::Datagram {
            from: gossip::Peer {
                link: "10.1.1.1:7000".parse().unwrap(),
                life: id::Incarnation(large),
                zone: "zone-with-a-name".to_owned(),
                votes: false,
                leads: false,
                first_start: false,
                serves: true,
                version: large,
            },
            seq: large,
            relay: true,
            news: gossip::Message::Parts(news),
        };
        let bytes = gossip::encode(&datagram);
        assert!(bytes.len() <= gossip::MAX_BYTES, "{}", bytes.len());
        assert_eq!(gossip::decode(&bytes).unwrap(), datagram);
    }
}

/// What disturbs a fleet besides the faulty part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// A sixth of the servers crashes at once, and single ones now and then.
    Crashes,
    /// An entry loses all its connections and reaches no server: it takes them as crashed.
    CutEntry,
    /// Entries restart one after the other.
    Restarts,
    /// Servers are silent for a second.
    Silence,
}

#[derive(Clone, Copy, Debug)]
struct Fleet {
    entries: usize,
    servers: usize,
    /// Sound and faulty requests in a second.
    sound_rate: f64,
    faulty_rate: f64,
    trouble: Trouble,
}

#[derive(Clone, Debug)]
struct Run {
    request: u64,
    entry: usize,
    life: u64,
    parts: Vec<u64>,
    attempts: u32,
    /// Time of the first token, and of the end.
    first: Duration,
    end: Duration,
    proven: bool,
    answer: Answer,
    silent_until: Duration,
}

impl Run {
    /// Notes the events that came until `now`, one chunk each 60 ms.
    fn write(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.first);
        let due = self.first + ms(60) * self.answer.chunks();
        if now >= due && now >= self.silent_until {
            self.answer.note(elapsed);
        }
    }

    fn is_beginning(&self, now: Duration) -> bool {
        let elapsed = now.checked_sub(self.first);
        elapsed.is_none_or(|elapsed| self.answer.is_beginning(elapsed))
    }

    fn is_faulty(&self) -> bool {
        self.parts.contains(&FAULTY)
    }
}

#[derive(Clone, Debug)]
struct Server {
    life: u64,
    back_at: Duration,
    runs: Vec<Run>,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Times of the crashes under the faulty part.
    crashes: Vec<Duration>,
    /// How many of them had happened at the first verdict on it.
    before_verdict: Option<usize>,
    /// Times at which requests with it were sent, by entries that had run for three seconds.
    sent: Vec<Duration>,
    sound: u64,
    /// Sound requests rejected for a part.
    sound_rejected: u64,
    /// The same from six seconds after the fifth crash on.
    sound_rejected_later: u64,
    /// Sound parts that an entry convicted.
    false_verdicts: BTreeSet<u64>,
    messages: u64,
    most_parts: usize,
    /// Entries that know the verdict at the end.
    knowing: usize,
}

enum Event {
    News(News),
    Restart,
    Retry(Run),
    Crashed(Run),
}

struct Model {
    fleet: Fleet,
    random: u64,
    now: Duration,
    entries: Vec<(Parts, u64)>,
    /// When each entry was last started.
    restarted: Vec<Duration>,
    restart_all_at: Option<Duration>,
    servers: Vec<Server>,
    next: u64,
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    events: BTreeMap<u64, Event>,
    outcome: Outcome,
}

impl Model {
    fn new(fleet: Fleet, seed: u64) -> Self {
        let server = |number| Server {
            life: number as u64,
            back_at: START,
            runs: Vec::new(),
        };
        Self {
            fleet,
            random: (seed + 1).wrapping_mul(0xd134_2543_de82_ef95),
            now: START,
            entries: (0..fleet.entries)
                .map(|key| (Parts::default(), 0x1234_5678 * (key as u64 + 1)))
                .collect(),
            restarted: vec![START; fleet.entries],
            restart_all_at: None,
            servers: (0..fleet.servers).map(server).collect(),
            next: 1_000,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    fn draw(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn below(&mut self, count: usize) -> usize {
        (self.draw() * count as f64) as usize
    }

    fn between(&mut self, least: u64, most: u64) -> Duration {
        ms(least + (self.draw() * (most - least) as f64) as u64)
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn schedule(&mut self, at: Duration, entry: usize, event: Event) {
        let number = self.number();
        self.queue.push(Reverse((at, number, entry)));
        self.events.insert(number, event);
    }

    /// One datagram in ten is lost; each is sent five times.
    fn broadcast(&mut self, from: usize, news: &News) {
        self.outcome.messages += 1;
        for entry in (0..self.fleet.entries).filter(|entry| *entry != from) {
            for repeat in [0, 60, 200, 500, 1_000] {
                if self.draw() < 0.1 {
                    continue;
                }
                let delay = ms(repeat) + self.between(5, 120);
                self.schedule(self.now + delay, entry, Event::News(news.clone()));
                break;
            }
        }
    }

    fn owns(&self, entry: usize) -> impl Fn(u64) -> bool + use<> {
        let me = self.entries[entry].1;
        let others = self.entries.iter().map(|(_, key)| *key);
        let others: Vec<u64> = others.filter(|key| *key != me).collect();
        move |part| rendezvous::is_owner(part, me, &others)
    }

    fn decide(&mut self, run: &Run) -> bool {
        let (now, entry) = (self.now, run.entry);
        let owns = self.owns(entry);
        let parts = &mut self.entries[entry].0;
        if parts.are_clear(&run.parts) {
            return true;
        }
        let convicted = parts.judge(now);
        let verdicts = parts.verdicts(now, |part| convicted.contains(&part));
        let decision = parts.decide(now, &run.parts, owns);
        let tried = match decision {
            Decision::Try(part) => parts.begin_trial(now, part),
            Decision::Send | Decision::Reject(_) => None,
        };
        if convicted.contains(&FAULTY) {
            let crashes = self.outcome.crashes.len();
            self.outcome.before_verdict.get_or_insert(crashes);
        }
        let sound = convicted.iter().filter(|part| **part != FAULTY);
        self.outcome.false_verdicts.extend(sound);
        let tried = tried.map(|verdict| vec![verdict]);
        for verdicts in verdicts.into_iter().chain(tried) {
            self.broadcast(entry, &News::Verdicts(verdicts));
        }
        !matches!(decision, Decision::Reject(_))
    }

    fn send(&mut self, mut run: Run) {
        if !self.decide(&run) {
            if !run.is_faulty() {
                self.outcome.sound_rejected += 1;
                let fifth = self.outcome.crashes.get(4);
                if fifth.is_some_and(|at| self.now > *at + ms(6_000)) {
                    self.outcome.sound_rejected_later += 1;
                }
            }
            return;
        }
        let up: Vec<usize> = (0..self.servers.len())
            .filter(|at| self.servers[*at].back_at <= self.now)
            .filter(|at| self.servers[*at].runs.len() < 16)
            .collect();
        if up.is_empty() {
            return;
        }
        let server = up[self.below(up.len())];
        run.life = self.servers[server].life;
        run.attempts += 1;
        run.proven = false;
        run.answer = Answer::default();
        run.first = self.now + self.between(80, 600);
        run.end = if run.is_faulty() {
            if self.now >= self.restarted[run.entry] + ms(3_000) {
                self.outcome.sent.push(self.now);
            }
            run.first + self.between(40, 110)
        } else {
            run.first + self.between(800, 4_000)
        };
        self.servers[server].runs.push(run);
    }

    fn arrive(&mut self) {
        let faulty = self.draw() < self.fleet.faulty_rate * 0.005 && self.now > at(8_000);
        for is_faulty in [true, false] {
            let arrives = if is_faulty {
                faulty
            } else {
                self.draw() < self.fleet.sound_rate * 0.005
            };
            if !arrives {
                continue;
            }
            let first = 1 + self.below(3) as u64;
            // Half of the subjects are frequent, the others come a few times in a day.
            let second = if self.draw() < 0.5 {
                100 + self.below(30) as u64
            } else {
                1_000 + self.below(2_000) as u64
            };
            let mut parts = vec![first, second];
            if is_faulty {
                parts.insert(1, FAULTY);
            } else {
                self.outcome.sound += 1;
            }
            let run = Run {
                request: self.number(),
                entry: self.below(self.fleet.entries),
                life: 0,
                parts,
                attempts: 0,
                first: START,
                end: START,
                proven: false,
                answer: Answer::default(),
                silent_until: START,
            };
            self.send(run);
        }
    }

    fn crash_server(&mut self, at: usize) {
        let back_at = self.now + self.between(2_500, 4_500);
        let life = self.number();
        let server = &mut self.servers[at];
        let runs = std::mem::take(&mut server.runs);
        (server.life, server.back_at) = (life, back_at);
        for run in runs {
            self.break_run(run);
        }
    }

    /// The entry sees that the connection broke, probes the server and gets no answer.
    fn break_run(&mut self, mut run: Run) {
        run.end = self.now;
        let probed = self.now + self.between(3, 250);
        self.schedule(probed, run.entry, Event::Crashed(run.clone()));
        if run.attempts < 2 {
            let retried = self.now + self.between(2, 30);
            self.schedule(retried, run.entry, Event::Retry(run));
        }
    }

    fn run_servers(&mut self) {
        for at in 0..self.servers.len() {
            let now = self.now;
            let ended = |run: &Run| run.is_faulty() && run.end <= now;
            if self.servers[at].runs.iter().any(ended) {
                self.outcome.crashes.push(now);
                self.crash_server(at);
                continue;
            }
            let mut sound = Vec::new();
            self.servers[at].runs.retain_mut(|run| {
                run.write(now);
                let is_over = run.end <= now;
                if !run.proven && (is_over || !run.is_beginning(now)) {
                    run.proven = true;
                    sound.push((run.entry, run.parts.clone()));
                }
                !is_over
            });
            for (entry, parts) in sound {
                let cleared = self.entries[entry].0.acquit(now, &parts);
                if !cleared.is_empty() {
                    self.broadcast(entry, &News::Acquittals(cleared));
                }
            }
        }
    }

    fn handle(&mut self, entry: usize, event: Event) {
        let now = self.now;
        let parts = &mut self.entries[entry].0;
        match event {
            Event::News(News::Crash(crash)) => parts.record_crash(now, &crash),
            Event::News(News::Verdicts(verdicts)) => {
                for verdict in verdicts {
                    if parts.hear_verdict(now, verdict) == Heard::New && verdict.part != FAULTY {
                        self.outcome.false_verdicts.insert(verdict.part);
                    }
                }
            }
            Event::News(News::Acquittals(acquitted)) => {
                parts.acquit(now, &acquitted);
            }
            Event::Restart => {
                *parts = Parts::default();
                self.restarted[entry] = now;
                let other = (entry + 1) % self.fleet.entries;
                let known = self.entries[other].0.verdicts(now, |_| true);
                for verdicts in known {
                    let joined = now + ms(300);
                    self.schedule(joined, entry, Event::News(News::Verdicts(verdicts)));
                }
            }
            Event::Retry(run) => self.send(run),
            Event::Crashed(run) => {
                if !run.is_beginning(run.end) {
                    return;
                }
                let crash = parts.crash(run.life, run.request, &run.parts);
                parts.record_crash(now, &crash);
                self.broadcast(entry, &News::Crash(crash));
            }
        }
    }

    fn disturb(&mut self, step: u64) {
        let each = |seconds: u64| step.is_multiple_of(seconds * 200);
        match self.fleet.trouble {
            Trouble::None => {}
            Trouble::Crashes => {
                let count = match step / 200 {
                    7 | 9 | 20 if each(1) => self.servers.len().div_ceil(6),
                    _ => usize::from(each(3)),
                };
                for _ in 0..count {
                    let server = self.below(self.servers.len());
                    if self.servers[server].back_at <= self.now {
                        self.crash_server(server);
                    }
                }
            }
            Trouble::CutEntry if each(5) => {
                let cut = self.below(self.fleet.entries);
                let mut broken = Vec::new();
                for server in &mut self.servers {
                    let runs = server.runs.extract_if(.., |run| run.entry == cut);
                    broken.extend(runs);
                }
                for run in broken {
                    self.break_run(run);
                }
            }
            Trouble::Restarts if each(2) => {
                let entry = (step / 400) as usize % self.fleet.entries;
                self.schedule(self.now, entry, Event::Restart);
            }
            Trouble::Silence if each(1) => {
                let server = self.below(self.servers.len());
                let silent_until = self.now + ms(1_000);
                for run in &mut self.servers[server].runs {
                    run.silent_until = silent_until;
                    run.end += ms(1_000);
                    if run.first > self.now {
                        run.first += ms(1_000);
                    }
                }
            }
            Trouble::CutEntry | Trouble::Restarts | Trouble::Silence => {}
        }
    }

    fn play(mut self, seconds: u64) -> Outcome {
        for step in 1..=seconds * 200 {
            self.now = at(step * 5);
            self.disturb(step);
            if self.restart_all_at.take_if(|at| *at <= self.now).is_some() {
                for (parts, _) in &mut self.entries {
                    *parts = Parts::default();
                }
                self.restarted.fill(self.now);
            }
            self.run_servers();
            while let Some(Reverse((due, number, entry))) = self.queue.peek().copied() {
                if due > self.now {
                    break;
                }
                self.queue.pop();
                let event = self.events.remove(&number).expect("a scheduled event");
                self.handle(entry, event);
            }
            self.arrive();
            if step.is_multiple_of(160) {
                self.refresh();
            }
        }
        let knows = |(parts, _): &&(Parts, u64)| parts.is_convicted(FAULTY);
        self.outcome.knowing = self.entries.iter().filter(knows).count();
        self.outcome
    }

    fn refresh(&mut self) {
        for entry in 0..self.fleet.entries {
            let parts = &mut self.entries[entry].0;
            parts.prune(self.now);
            self.outcome.most_parts = self.outcome.most_parts.max(parts.len());
            if !parts.has_convicted() {
                continue;
            }
            let owns = self.owns(entry);
            for verdicts in self.entries[entry].0.verdicts(self.now, owns) {
                self.broadcast(entry, &News::Verdicts(verdicts));
            }
        }
    }
}

const SIZES: [(usize, usize, f64, f64); 4] = [
    (3, 10, 15.0, 1.5),
    (11, 25, 17.0, 6.0),
    (25, 54, 100.0, 5.0),
    (200, 360, 180.0, 18.0),
];

/// Plays each size of fleet, and checks the bounds.
fn check(trouble: Trouble, seeds: std::ops::Range<u64>) {
    for (entries, servers, sound_rate, faulty_rate) in SIZES {
        let fleet = Fleet {
            entries,
            servers,
            sound_rate,
            faulty_rate,
            trouble,
        };
        for seed in seeds.clone() {
            check_play(fleet, seed, 40);
        }
    }
}

fn check_play(fleet: Fleet, seed: u64, seconds: u64) {
    let outcome = Model::new(fleet, seed).play(seconds);
    let fifth = outcome.crashes.get(4).copied();
    let late = outcome.sent.iter();
    let late = late.filter(|at| fifth.is_some_and(|fifth| **at > fifth + ms(3_000)));
    let late = late.count();
    println!(
        "{fleet:?} seed {seed}: {} crashes, {:?} before the verdict, {late} sent late, sound {}, rejected {} ({} later), false verdicts {:?}, \
         {} messages, most {} parts, {} know",
        outcome.crashes.len(),
        outcome.before_verdict,
        outcome.sound,
        outcome.sound_rejected,
        outcome.sound_rejected_later,
        outcome.false_verdicts,
        outcome.messages,
        outcome.most_parts,
        outcome.knowing,
    );
    let place = format!("{fleet:?}, seed {seed}");
    assert!(late <= 3, "{place}: {late} sent after the fifth crash");
    assert_eq!(outcome.sound_rejected_later, 0, "{place}");
    assert!(
        outcome.sound_rejected * 500 <= outcome.sound,
        "{place}: {} of {} rejected",
        outcome.sound_rejected,
        outcome.sound
    );
    assert!(outcome.most_parts <= 3 * 4_096, "{place}");
    assert!(
        fifth.is_none() || outcome.knowing + 1 >= fleet.entries,
        "{place}"
    );
}

/// All entries restart while the part crashes servers: nobody knows which other parts are sound.
#[test]
fn fleet_restarts_at_once() {
    let fleet = Fleet {
        entries: 11,
        servers: 14,
        sound_rate: 17.0,
        faulty_rate: 5.0,
        trouble: Trouble::None,
    };
    for seed in 0..10 {
        let mut model = Model::new(fleet, seed);
        model.restart_all_at = Some(at(8_600));
        let outcome = model.play(40);
        println!(
            "seed {seed}: {} crashes, sound {}, rejected {} ({} later), false verdicts {:?}",
            outcome.crashes.len(),
            outcome.sound,
            outcome.sound_rejected,
            outcome.sound_rejected_later,
            outcome.false_verdicts,
        );
        assert_eq!(outcome.sound_rejected_later, 0, "seed {seed}");
    }
}

/// The faulty part comes once in some seconds, so that most crashes are far apart.
#[test]
fn rare_faulty_part() {
    for (entries, servers, sound_rate, _) in SIZES {
        for (seed, faulty_rate) in [(0, 0.2), (1, 0.5), (2, 1.0)] {
            let fleet = Fleet {
                entries,
                servers,
                sound_rate: sound_rate.min(30.0),
                faulty_rate,
                trouble: Trouble::Crashes,
            };
            check_play(fleet, seed, 100);
        }
    }
}

#[test]
fn fleet_undisturbed() {
    check(Trouble::None, 0..3);
}

#[test]
fn fleet_with_crashes() {
    check(Trouble::Crashes, 0..3);
}

#[test]
fn fleet_with_cut_entries() {
    check(Trouble::CutEntry, 0..3);
}

#[test]
fn fleet_with_restarts() {
    check(Trouble::Restarts, 0..3);
}

#[test]
fn fleet_with_silence() {
    check(Trouble::Silence, 0..3);
}
