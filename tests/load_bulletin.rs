//! What entries know of each other's work at servers that each of them uses rarely.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use wigeonbarrow::direct::load;
use wigeonbarrow::direct::load::Table;
use wigeonbarrow::direct::reporter::Reporter;
use wigeonbarrow::wire::id;

const ENTRIES: usize = 70;
const SERVERS: u64 = 112;
/// Time between two bulletins of an entry.
const PAUSE: Duration = Duration::from_millis(40);
const SECOND: Duration = Duration::from_secs(1);
/// Bulletins from one of all to the next.
const WHOLE: u32 = 10;

#[derive(Default)]
struct Entry {
    board: Table,
    bulletin: Reporter,
    /// What runs, and when it ends.
    runs: Vec<(Duration, load::Ticket)>,
}

impl Entry {
    /// Gives servers work to read that is done at `ends`.
    fn read(&mut self, now: Duration, parts: &[(u64, f64)], ends: Duration) {
        let part = |(server, read_ms): &(u64, f64)| load::Segment {
            server: *server,
            read_ms: *read_ms,
            memory: 1_000,
        };
        let claim = load::Claim {
            segments: parts.iter().map(part).collect(),
            prompt: 1_000,
            answer: 1_000,
            bound_ms: 0,
            is_long: true,
            reads: (now, ends),
        };
        let ticket = self.board.insert(now, claim);
        self.runs.push((ends, ticket));
    }

    /// Ends what is read.
    fn end(&mut self, now: Duration) {
        for (_, ticket) in self.runs.extract_if(.., |(ends, _)| *ends <= now) {
            self.board.start_writing(ticket);
            self.board.remove(now, ticket);
        }
    }
}

fn addr(entry: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, entry as u8], 7_000))
}

/// What a server has to read, whoever gave it.
#[derive(Clone, Copy, Default)]
struct Work {
    ms: f64,
    at: Duration,
}

impl Work {
    fn left(&self, now: Duration) -> f64 {
        (self.ms - now.saturating_sub(self.at).as_secs_f64() * 1e3).max(0.0)
    }

    fn add(&mut self, now: Duration, ms: f64) {
        self.ms = self.left(now) + ms;
        self.at = now;
    }
}

/// Of the servers with much to read: how many, and how many of them look half free.
fn play(seed: u64, span: Duration) -> (u32, u32) {
    let mut draw = StdRng::seed_from_u64(seed);
    let mut entries: Vec<Entry> = (0..ENTRIES).map(|_| Entry::default()).collect();
    let mut observer = Table::default();
    let mut truth: HashMap<u64, Work> = HashMap::new();
    let (mut busy, mut missed) = (0, 0);
    let mut now = Duration::from_secs(100);
    let end = now + span;
    let mut round = 0;
    while now < end {
        // Eight prompts a second, each on six servers for half a second to a second.
        for _ in 0..u32::from(draw.random_bool(0.32)) {
            let entry = draw.random_range(0..ENTRIES);
            let parts: Vec<(u64, f64)> = (0..6)
                .map(|_| {
                    let server = draw.random_range(0..SERVERS);
                    (server, draw.random_range(500.0..1_000.0))
                })
                .collect();
            let mut ends = now;
            for (server, ms) in &parts {
                let work = truth.entry(*server).or_default();
                work.add(now, *ms);
                ends = ends.max(now + Duration::from_secs_f64(work.left(now) / 1e3));
            }
            entries[entry].read(now, &parts, ends);
        }
        round += 1;
        for (at, entry) in entries.iter_mut().enumerate() {
            entry.end(now);
            let whole = (round + at as u32).is_multiple_of(WHOLE);
            let told = entry.bulletin.next(&entry.board, now, whole);
            observer.apply(now, addr(at), id::Incarnation(1), u64::from(round), told);
        }
        let view = observer.view(now);
        for (server, work) in &truth {
            let left = work.left(now);
            if left < 300.0 {
                continue;
            }
            busy += 1;
            let known = view.get(server).map_or(0, |one| one.backlog_ms);
            missed += u32::from(f64::from(known) < left / 2.0);
        }
        now += PAUSE;
    }
    (busy, missed)
}

/// Before an entry told on what it had given a server that it uses no more, an eighth of the busy
/// servers looked half free; nearly none since.
#[test]
fn many_entries() {
    for seed in 0..4 {
        let (busy, missed) = play(seed, Duration::from_secs(20));
        println!("seed {seed}: {missed} of {busy} look half free");
        assert!(busy > 1_000, "seed {seed}: {busy}");
        assert!(missed * 100 < busy, "seed {seed}: {missed} of {busy}");
    }
}

/// An entry that has nothing at a server any more takes nothing of what others have there.
#[test]
fn gone_takes_nothing() {
    let now = Duration::from_secs(100);
    let (mut early, mut late) = (Entry::default(), Entry::default());
    let mut observer = Table::default();
    early.read(now, &[(7, 500.0)], now + SECOND);
    let first = early.bulletin.next(&early.board, now, true);
    observer.apply(now, addr(1), id::Incarnation(1), 1, first);

    let now = now + Duration::from_secs(5);
    early.end(now);
    late.read(now, &[(7, 800.0)], now + SECOND);
    let work = late.bulletin.next(&late.board, now, true);
    observer.apply(now, addr(2), id::Incarnation(1), 1, work);
    let gone = early.bulletin.next(&early.board, now, false);
    assert!(gone.loads.iter().any(|one| one.server == 7), "{gone:?}");
    observer.apply(now, addr(1), id::Incarnation(1), 2, gone);
    assert_eq!(observer.view(now)[&7].backlog_ms, 800);

    // Used again, only what is new counts.
    early.read(now, &[(7, 100.0)], now + SECOND);
    let again = early.bulletin.next(&early.board, now, false);
    observer.apply(now, addr(1), id::Incarnation(1), 3, again);
    assert_eq!(observer.view(now)[&7].backlog_ms, 900);
}
