//! Load reports between entries, for servers that each entry uses rarely. Guards against busy
//! servers that look idle.

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
/// Time between two reports of an entry.
const REPORT_INTERVAL: Duration = Duration::from_millis(40);
const SECOND: Duration = Duration::from_secs(1);
/// Reports from one complete report to the next.
const REPORTS_PER_COMPLETE: u32 = 10;

#[derive(Default)]
struct Entry {
    table: Table,
    reporter: Reporter,
    /// What runs, and when it ends.
    runs: Vec<(Duration, load::Ticket)>,
}

impl Entry {
    /// Gives servers segments to read that are done at `ends`.
    fn read(&mut self, now: Duration, segments: &[(u64, f64)], ends: Duration) {
        let segment = |(server, read_ms): &(u64, f64)| load::Segment {
            server: *server,
            read_ms: *read_ms,
            memory: 1_000,
        };
        let claim = load::Claim {
            segments: segments.iter().map(segment).collect(),
            prompt: 1_000,
            answer: 1_000,
            bound_ms: 0,
            is_long: true,
            reads: (now, ends),
        };
        let ticket = self.table.insert(now, claim);
        self.runs.push((ends, ticket));
    }

    /// Ends the requests that are due.
    fn end(&mut self, now: Duration) {
        for (_, ticket) in self.runs.extract_if(.., |(ends, _)| *ends <= now) {
            self.table.start_writing(ticket);
            self.table.remove(now, ticket);
        }
    }
}

fn addr(entry: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, entry as u8], 7_000))
}

/// Reading work of a server, whoever gave it.
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

/// Returns how many observations of a server with much to read there are, and in how many of them
/// it looks half idle.
fn simulate(seed: u64, span: Duration) -> (u32, u32) {
    let mut draw = StdRng::seed_from_u64(seed);
    let mut entries: Vec<Entry> = (0..ENTRIES).map(|_| Entry::default()).collect();
    let mut observer = Table::default();
    let mut truth: HashMap<u64, Work> = HashMap::new();
    let (mut busy, mut underestimated) = (0, 0);
    let mut now = Duration::from_secs(100);
    let end = now + span;
    let mut round = 0;
    while now < end {
        // Eight prompts a second, each on six servers for half a second to a second.
        for _ in 0..u32::from(draw.random_bool(0.32)) {
            let entry = draw.random_range(0..ENTRIES);
            let segments: Vec<(u64, f64)> = (0..6)
                .map(|_| {
                    let server = draw.random_range(0..SERVERS);
                    (server, draw.random_range(500.0..1_000.0))
                })
                .collect();
            let mut ends = now;
            for (server, ms) in &segments {
                let work = truth.entry(*server).or_default();
                work.add(now, *ms);
                ends = ends.max(now + Duration::from_secs_f64(work.left(now) / 1e3));
            }
            entries[entry].read(now, &segments, ends);
        }
        round += 1;
        for (at, entry) in entries.iter_mut().enumerate() {
            entry.end(now);
            let whole = (round + at as u32).is_multiple_of(REPORTS_PER_COMPLETE);
            let report = entry.reporter.next(&entry.table, now, whole);
            observer.apply(now, addr(at), id::Incarnation(1), u64::from(round), report);
        }
        let view = observer.view(now);
        for (server, work) in &truth {
            let left = work.left(now);
            if left < 300.0 {
                continue;
            }
            busy += 1;
            let known = view.get(server).map_or(0, |load| load.backlog_ms);
            underestimated += u32::from(f64::from(known) < left / 2.0);
        }
        now += REPORT_INTERVAL;
    }
    (busy, underestimated)
}

/// An eighth of the busy servers looked half idle if entries stopped reporting the total work given
/// to a server that they no longer use. With these reports nearly none does.
#[test]
fn busy_servers_look_idle() {
    for seed in 0..4 {
        let (busy, underestimated) = simulate(seed, Duration::from_secs(20));
        println!("seed {seed}: {underestimated} of {busy} look half idle");
        assert!(busy > 1_000, "seed {seed}: {busy}");
        assert!(
            underestimated * 100 < busy,
            "seed {seed}: {underestimated} of {busy}"
        );
    }
}

/// The report of an entry that no longer uses a server must not subtract work that others have
/// there.
#[test]
fn unused_server_subtracts_work() {
    let now = Duration::from_secs(100);
    let (mut early, mut late) = (Entry::default(), Entry::default());
    let mut observer = Table::default();
    early.read(now, &[(7, 500.0)], now + SECOND);
    let first = early.reporter.next(&early.table, now, true);
    observer.apply(now, addr(1), id::Incarnation(1), 1, first);

    let now = now + Duration::from_secs(5);
    early.end(now);
    late.read(now, &[(7, 800.0)], now + SECOND);
    let work = late.reporter.next(&late.table, now, true);
    observer.apply(now, addr(2), id::Incarnation(1), 1, work);
    let unused = early.reporter.next(&early.table, now, false);
    assert!(
        unused.loads.iter().any(|load| load.server == 7),
        "{unused:?}"
    );
    observer.apply(now, addr(1), id::Incarnation(1), 2, unused);
    assert_eq!(observer.view(now)[&7].backlog_ms, 800);

    // When the server is used again, only the new work counts.
    early.read(now, &[(7, 100.0)], now + SECOND);
    let again = early.reporter.next(&early.table, now, false);
    observer.apply(now, addr(1), id::Incarnation(1), 3, again);
    assert_eq!(observer.view(now)[&7].backlog_ms, 900);
}
