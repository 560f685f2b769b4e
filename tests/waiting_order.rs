//! The queue of the direct path: who goes first, who is rejected, and that nobody is forgotten.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use wigeonbarrow::direct::load;
use wigeonbarrow::direct::place;
use wigeonbarrow::direct::waiting;
use wigeonbarrow::direct::waiting::Class;
use wigeonbarrow::direct::waiting::Enqueued;
use wigeonbarrow::direct::waiting::Outcome;
use wigeonbarrow::direct::waiting::Source;
use wigeonbarrow::queue;
use wigeonbarrow::wire::id;

mod common {
    pub mod engines;
}

/// Time for which a request holds a slot.
const SERVICE: Duration = ms(100);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn item(now: Duration, priority: u8, workspace: &str) -> waiting::Item {
    waiting::Item {
        service: "s".to_owned(),
        class: Class::Short,
        priority,
        workspace: Some(workspace.to_owned()),
        arrived: now,
        objective: ms(300),
        on_time_until: now + ms(300),
        abandoned_at: now + ms(2_000),
        deadline: now + ms(10_000),
        start_by: now + ms(8_000),
        due_at: now + ms(2_000),
        bytes: 100,
        prompt: None,
    }
}

/// An entry in front of some slots.
struct Entry {
    waiting: waiting::Waiting,
    free: usize,
    /// Ends of the requests that run.
    ends: BTreeMap<Duration, usize>,
    items: HashMap<waiting::Ticket, waiting::Item>,
    /// Requests that were placed, and how long each waited.
    placed: Vec<(waiting::Item, Duration)>,
    rejected: HashSet<waiting::Ticket>,
}

impl Entry {
    fn new(free: usize, requests: usize) -> Self {
        let bytes = requests * 100;
        Self {
            waiting: waiting::Waiting::new(queue::Bounds { requests, bytes }),
            free,
            ends: BTreeMap::new(),
            items: HashMap::new(),
            placed: Vec::new(),
            rejected: HashSet::new(),
        }
    }

    fn arrive(&mut self, now: Duration, item: waiting::Item) {
        match self.waiting.enqueue(now, item.clone()) {
            Enqueued::Waits {
                ticket, rejected, ..
            } => {
                self.items.insert(ticket, item);
                self.rejected.extend(rejected);
            }
            Enqueued::Rejected => {}
        }
        let tried = self.waiting.notify(now, Source::Here);
        self.attempt(now, tried);
    }

    /// Tries requests as their tasks do. One is given up when its caller leaves.
    fn attempt(&mut self, now: Duration, mut tried: Vec<waiting::Ticket>) {
        while let Some(ticket) = tried.pop() {
            if !self.waiting.contains(ticket) {
                continue;
            }
            let item = self.items[&ticket].clone();
            let has_left = now >= item.abandoned_at;
            if !has_left && self.free == 0 {
                tried.extend(self.waiting.report(now, ticket, Outcome::Blocks));
                continue;
            }
            tried.extend(self.waiting.remove(now, ticket, !has_left));
            if !has_left {
                assert!(!self.rejected.contains(&ticket), "rejected, then run");
                self.free -= 1;
                *self.ends.entry(now + SERVICE).or_default() += 1;
                let workspace = item.workspace.clone().unwrap_or_default();
                self.waiting.charge(now, &item.service, &workspace, 1_000);
                self.placed
                    .push((item.clone(), now.saturating_sub(item.arrived)));
            }
        }
    }

    fn advance(&mut self, now: Duration) {
        let running = self.ends.split_off(&(now + ms(1)));
        let ended: usize = std::mem::replace(&mut self.ends, running).values().sum();
        self.free += ended;
        let mut tried = self.waiting.tick(now);
        if ended > 0 {
            tried.extend(self.waiting.notify(now, Source::Here));
        }
        self.attempt(now, tried);
    }

    /// Share of the `sent` requests of some that were placed within their objective.
    fn on_time(&self, sent: usize, of: impl Fn(&waiting::Item) -> bool) -> f64 {
        let placed = self.placed.iter();
        let placed = placed.filter(|(item, waited)| of(item) && *waited <= item.objective);
        placed.count() as f64 / sent as f64
    }
}

/// Guards against an overload that makes urgent requests late, and against waiting beyond the bound.
#[test]
fn twice_the_capacity() {
    let mut entry = Entry::new(10, 64);
    // 100 a second can be served; 200 come, 80 of them urgent.
    for step in 0..12_000 {
        let now = ms(step);
        if step < 10_000 && step % 5 == 0 {
            let priority = u8::from(step % 25 >= 10);
            entry.arrive(now, item(now, priority, "w"));
            assert!(entry.waiting.len() <= 64 && entry.waiting.bytes() <= 6_400);
        }
        entry.advance(now);
    }
    let urgent = entry.on_time(800, |item| item.priority == 0);
    assert!(urgent > 0.95, "{urgent} of the urgent are on time");
    assert!(entry.placed.len() > 980, "{} placed", entry.placed.len());
    assert!(entry.waiting.is_empty(), "some wait for ever");
}

/// Guards against one workspace that takes the capacity of the others.
#[test]
fn greedy_workspace() {
    let run = |greedy: bool| {
        let mut entry = Entry::new(10, 256);
        for step in 0..10_000 {
            let now = ms(step);
            // 23 workspaces take 83 % of the capacity; another asks for ten times as much as each.
            if step % 12 == 0 {
                let workspace = format!("w{}", step / 12 % 23);
                entry.arrive(now, item(now, 0, &workspace));
            }
            if greedy && step % 27 == 0 {
                entry.arrive(now, item(now, 0, "greedy"));
            }
            entry.advance(now);
        }
        entry.on_time(834, |item| item.workspace.as_deref() != Some("greedy"))
    };
    let (without, with) = (run(false), run(true));
    assert!(without - with <= 0.02, "{without} alone, {with} beside it");
}

/// Guards against requests that are lost or run twice when an entry dies with its queue.
#[test]
fn entry_dies() {
    let mut entries = [Entry::new(0, 64), Entry::new(2, 64)];
    for number in 0..20 {
        entries[0].arrive(ms(number), item(ms(number), 0, &format!("w{number}")));
    }
    let [mut dead, mut other] = entries;
    assert_eq!(dead.waiting.len(), 20);
    dead.advance(ms(50));
    assert!(dead.placed.is_empty());
    // The callers come back with the time that they have left.
    for (_, lost) in dead.items {
        other.arrive(ms(60), lost);
    }
    (61..2_000).for_each(|step| other.advance(ms(step)));
    let ran: HashSet<_> = other
        .placed
        .iter()
        .map(|(item, _)| &item.workspace)
        .collect();
    assert_eq!((ran.len(), other.placed.len()), (20, 20));
    let first = &other.placed[2].0;
    assert!(
        first.arrived <= ms(3),
        "came back first, arrived {:?}",
        first.arrived
    );
}

/// Guards against a standstill of two entries that know each other's ranks late, and against a
/// long prompt that goes before its turn for longer than a report takes.
#[test]
fn late_ranks() {
    let long = |now: Duration, prompt: u64| waiting::Item {
        class: Class::Long,
        objective: ms(4_000),
        prompt: Some(waiting::Prompt {
            engine: common::engines::engine(),
            need: common::engines::long(prompt),
        }),
        abandoned_at: now + ms(16_000),
        due_at: now + ms(16_000),
        ..item(now, 0, "w")
    };
    let mut waiting = [0, 1].map(|_| {
        waiting::Waiting::new(queue::Bounds {
            requests: 64,
            bytes: 6_400,
        })
    });
    let mut tables = [load::Table::default(), load::Table::default()];
    let mut turns = HashMap::new();
    for number in 0..8_u64 {
        let at = number as usize % 2;
        let Enqueued::Waits { ticket, .. } =
            waiting[at].enqueue(ms(number), long(ms(number), 200_000 + number * 20_000))
        else {
            panic!("the queue is not full");
        };
        let turn = tables[at].enqueue(None, u32::MAX);
        waiting[at].set_turn(ticket, Some(turn));
        turns.insert((at, ticket), (turn, number));
    }
    let mut free_at = ms(0);
    let (mut placed, mut refused) = (Vec::new(), 0);
    for step in 10..4_000 {
        let now = ms(step);
        for at in 0..2 {
            for (turn, rank) in waiting[at].ranks(now) {
                tables[at].update_rank(turn, rank);
            }
            // A report takes 120 ms, and one in three is lost.
            if step % 120 == 0 && step % 360 != 0 {
                let report = load::Report {
                    whole: true,
                    loads: Vec::new(),
                    waiting: tables[at].waiting_ranks(),
                };
                let from = SocketAddr::from(([127, 0, 0, 1], at as u16 + 1));
                tables[1 - at].apply(now, from, id::Incarnation(1), step, report);
            }
            let mut tried = waiting[at].tick(now);
            while let Some(ticket) = tried.pop() {
                let (turn, number) = turns[&(at, ticket)];
                let rank = waiting[at]
                    .ranks(now)
                    .into_iter()
                    .find(|(one, _)| *one == turn);
                let is_first = rank.is_some_and(|(_, rank)| tables[at].is_first(now, turn, rank));
                if is_first && now >= free_at {
                    free_at = now + ms(200);
                    tables[at].dequeue(turn);
                    tried.extend(waiting[at].remove(now, ticket, true));
                    placed.push(number);
                } else {
                    refused += u32::from(is_first);
                    tried.extend(waiting[at].report(now, ticket, Outcome::Blocks));
                }
            }
        }
    }
    assert_eq!(placed.len(), 8, "{placed:?}, {refused} found no place");
    let unsorted = placed.windows(2).filter(|pair| pair[0] > pair[1]).count();
    assert!(unsorted <= 2, "{placed:?}");
}

/// Guards against a call that is sent to a full server while it could wait, and against one that
/// waits until it is late.
#[test]
fn plain_calls() {
    let server = |readers: u32| place::Server {
        key: u64::from(readers),
        near: true,
        slots: 6,
        load: load::Load {
            readers,
            ..load::Load::default()
        },
        pace: 1.0,
        failing: 0.0,
    };
    assert!(waiting::are_full(&[server(6), server(7)]));
    assert!(!waiting::are_full(&[server(6), server(5)]));
    let objective = ms(200);
    let lasts = waiting::longest(objective, |after| {
        waiting::may_hold(objective, ms(30) + after)
    });
    assert_eq!(lasts, ms(69), "to half of the objective");
    let mut waiting = waiting::Waiting::new(queue::Bounds {
        requests: 4,
        bytes: 400,
    });
    let call = waiting::Item {
        class: Class::Plain,
        due_at: ms(100),
        ..item(ms(0), 2, "w")
    };
    for _ in 0..2 {
        waiting.enqueue(ms(0), call.clone());
    }
    let first = waiting.notify(ms(1), Source::Here);
    assert!(waiting.report(ms(1), first[0], Outcome::Blocks).is_empty());
    assert_eq!(waiting.tick(ms(99)).len(), 0);
    // Both are sent when their time comes, the second not only once the first is gone.
    assert_eq!(waiting.tick(ms(100)).len(), 2);
}

/// One step of a random course.
#[derive(Clone, Debug)]
enum Step {
    Arrive(u8, u64, u8),
    Leave(usize),
    Pass(u64),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let arrive = (0..4_u8, 0..600_u64, 0..4_u8);
    let arrive =
        arrive.prop_map(|(priority, slack, workspace)| Step::Arrive(priority, slack, workspace));
    proptest::prop_oneof![
        4 => arrive,
        1 => (0..50_usize).prop_map(Step::Leave),
        1 => (1..80_u64).prop_map(Step::Pass),
        3 => (1..60_u64).prop_map(Step::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against requests that are forgotten, rejected and run, or kept beyond the bounds, in
    /// any order of arrivals, departures and tries.
    #[test]
    fn nobody_starves(steps in proptest::collection::vec(step(), 1..120), free in 1..4_usize) {
        let mut entry = Entry::new(free, 12);
        let mut now = ms(0);
        let mut left = HashSet::new();
        for step in steps {
            match step {
                Step::Arrive(priority, slack, workspace) => {
                    let start_by = now + ms(slack);
                    let abandoned_at = now + ms(3_600_000);
                    let item = item(now, priority, &format!("w{workspace}"));
                    entry.arrive(now, waiting::Item { start_by, abandoned_at, due_at: abandoned_at, ..item });
                }
                Step::Leave(at) => {
                    let ticket = entry.items.keys().copied().filter(|one| entry.waiting.contains(*one)).nth(at);
                    if let Some(ticket) = ticket {
                        left.insert(ticket);
                        let tried = entry.waiting.remove(now, ticket, false);
                        entry.attempt(now, tried);
                    }
                }
                Step::Pass(time) => {
                    if let Some(ticket) = entry.waiting.tick(now).pop() {
                        let tried = entry.waiting.report(now, ticket, Outcome::Passes(now + ms(time)));
                        entry.attempt(now, tried);
                    }
                }
                Step::Advance(time) => (0..time).for_each(|_| {
                    now += ms(1);
                    entry.advance(now);
                }),
            }
            prop_assert!(entry.waiting.len() <= 12 && entry.waiting.bytes() <= 1_200);
        }
        // A steady stream of urgent requests goes on; the others are still served, those of a workspace
        // over its share once its use counts less.
        let before: Vec<_> = entry.items.keys().copied().filter(|one| entry.waiting.contains(*one)).collect();
        for turn in 0..12_000 + 600 * before.len() {
            now += ms(1);
            if entry.waiting.len() < 12 && turn % (100 / free) == 0 {
                entry.arrive(now, item(now, 0, &format!("u{}", turn % 7)));
            }
            entry.advance(now);
        }
        let still: Vec<_> = before.iter().filter(|one| entry.waiting.contains(**one)).collect();
        prop_assert!(still.is_empty(), "{still:?} of {} still wait", before.len());
        let rest = entry.items.keys().filter(|one| entry.waiting.contains(**one)).count();
        let gone = entry.placed.len() + entry.rejected.len() + left.len() + rest;
        prop_assert!(gone <= entry.items.len());
        prop_assert_eq!(entry.waiting.len(), rest);
    }
}
