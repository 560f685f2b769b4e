//! Placement of prompts, and what entries know of each other's load.

use std::net::SocketAddr;
use std::time::Duration;

use wigeonbarrow::direct::lane;
use wigeonbarrow::direct::lane::Lane;
use wigeonbarrow::direct::load;
use wigeonbarrow::direct::load::Load;
use wigeonbarrow::direct::load::Table;
use wigeonbarrow::direct::place;
use wigeonbarrow::direct::place::Need;
use wigeonbarrow::direct::place::Server;
use wigeonbarrow::wire::id;

#[path = "common/engines.rs"]
mod engines;

use engines::engine;
use engines::long;
use engines::short;

const NOW: Duration = Duration::from_secs(100);

fn servers(count: usize) -> Vec<Server> {
    let server = |at: usize| Server {
        key: at as u64,
        near: true,
        slots: 16,
        load: Load::default(),
        pace: 1.0,
        failing: 0.0,
    };
    (0..count).map(server).collect()
}

fn write_tight(server: &mut Server, writers: u32) {
    server.load = Load {
        writers,
        bound_ms: 250,
        tight: writers,
        context: u64::from(writers) * 6_000,
        memory: u64::from(writers) * 6_000,
        ..Load::default()
    };
}

fn placed(need: &Need, servers: &[Server]) -> place::Place {
    let demand = lane::Demand {
        waits: !need.is_tight(),
        level: 0.0,
    };
    place::engine(&engine(), need, servers, demand).expect("there is room")
}

/// The published time model, within two percent.
#[test]
fn reading_times() {
    let engine = engine();
    for (prompt, width, seconds) in [
        (5_000, 1, 0.034),
        (45_000, 1, 0.456),
        (182_000, 1, 3.87),
        (182_000, 4, 0.97),
        (405_000, 16, 1.0),
        (900_000, 16, 4.47),
    ] {
        let read = engine.read_ms(prompt, width) / 1e3;
        assert!(
            (read - seconds).abs() < seconds * 0.02,
            "{prompt} on {width}: {read}"
        );
    }
}

#[test]
fn short_stays_alone() {
    let place = placed(&short(5_000), &servers(8));
    assert!(place.helpers.is_empty());
    assert!(place.first_ms < 150.0, "{place:?}");
}

/// Where gap limits are tight, nothing long is read and no answer with a long gap limit is written.
#[test]
fn long_keeps_apart() {
    let mut servers = servers(14);
    for server in &mut servers[..4] {
        write_tight(server, 8);
    }
    let place = placed(&long(182_000), &servers);
    let lanes = lane::lanes(&servers, lane::Demand::WAITING, lane::Sharing::Few);
    for at in place.helpers.iter().chain([&place.writer]) {
        assert_ne!(lanes[*at], Lane::Tight, "{place:?}");
    }
    assert_eq!(lanes[place.writer], Lane::Write);
    assert!(place.helpers.len() > 4, "{place:?}");
    assert!(place.first_ms < 1_000.0, "{place:?}");
}

#[test]
fn short_avoids_reads() {
    let mut servers = servers(6);
    write_tight(&mut servers[0], 3);
    write_tight(&mut servers[1], 3);
    servers[0].load.backlog_ms = 800;
    let place = placed(&short(5_000), &servers);
    assert_eq!(place.writer, 1, "{place:?}");
}

/// While short requests occupy every server, a long prompt must not be read beside all of them: 14
/// servers with 15 writers each would pause for 0.2 s and more, and 210 requests would be late for
/// one.
#[test]
fn long_in_burst() {
    let mut servers = servers(14);
    for server in &mut servers {
        write_tight(server, 15);
    }
    let need = long(112_000);
    let place =
        place::engine(&engine(), &need, &servers, lane::Demand::default()).expect("there is room");
    assert!(place.helpers.is_empty(), "{place:?}");
}

/// A prompt that would stretch the gaps of other answers over their limit is split into segments.
#[test]
fn large_short_split() {
    let mut servers = servers(10);
    for server in &mut servers[..3] {
        write_tight(server, 6);
    }
    let place = placed(&short(23_000), &servers);
    assert!(!place.helpers.is_empty());
    let pass = engine().pass_ms(7, 60_000);
    assert!(pass + place.segment_ms < 250.0 * 0.85, "{place:?}");
}

/// A burst of short requests leaves one server to the reading lane, so segments go to other lanes
/// as well.
#[test]
fn split_beside_writers() {
    let mut servers = servers(14);
    for server in &mut servers[..11] {
        write_tight(server, 15);
    }
    let lanes = lane::lanes(&servers, lane::Demand::WAITING, lane::Sharing::Few);
    let reading = lanes.iter().filter(|lane| **lane == Lane::Read).count();
    assert_eq!(reading, 1, "{lanes:?}");
    let need = Need {
        bound_ms: 600,
        objective: Duration::from_millis(1_500),
        ..short(45_000)
    };
    let place = placed(&need, &servers);
    assert_eq!(place.helpers.len(), 6, "{place:?}");
    assert!(place.segment_ms < 70.0, "{place:?}");
}

/// Several reads in quick succession stretch a gap as much as one read of the same total.
#[test]
fn reads_add_up() {
    let mut table = Table::default();
    for at in 0..6 {
        let now = NOW + Duration::from_millis(40) * at;
        let ticket = table.insert(now, claim(1, 35.0));
        table.start_writing(ticket);
    }
    let now = NOW + Duration::from_millis(210);
    let load = table.view(now)[&1];
    assert!(load.backlog_ms < 40, "the rest has been read: {load:?}");
    assert!(load.lately_ms > 120, "{load:?}");
    let later = table.view(now + Duration::from_secs(1))[&1];
    assert!(later.lately_ms < 10, "{later:?}");

    let mut servers = servers(2);
    for server in &mut servers {
        write_tight(server, 8);
    }
    servers[0].load.lately_ms = 150;
    let place = placed(&short(5_000), &servers);
    assert_eq!(place.writer, 1, "{place:?}");
}

#[test]
fn lanes_follow_load() {
    let mut servers = servers(14);
    let tight_servers = |servers: &[Server], waits: bool| {
        let lanes = lane::lanes(
            servers,
            lane::Demand { waits, level: 0.0 },
            lane::Sharing::Few,
        );
        lanes.iter().filter(|lane| **lane == Lane::Tight).count()
    };
    assert_eq!(
        tight_servers(&servers, true),
        2,
        "at least two, since one may fail"
    );
    for server in &mut servers {
        write_tight(server, 14);
    }
    assert_eq!(
        tight_servers(&servers, false),
        14,
        "all, while there is nothing long"
    );
    assert_eq!(
        tight_servers(&servers, true),
        13,
        "at least one is left to long prompts"
    );
}

/// The server where a long answer is written stays in the writing lane when the borders between
/// lanes move.
#[test]
fn writer_stays() {
    let mut servers = servers(14);
    servers[9].load.writers = 1;
    servers[9].load.bound_ms = 1_000;
    for busy in [2, 4, 6] {
        for server in &mut servers[..busy] {
            write_tight(server, 12);
        }
        let lanes = lane::lanes(&servers, lane::Demand::WAITING, lane::Sharing::Few);
        assert_eq!(lanes[9], Lane::Write, "{busy} busy: {lanes:?}");
        let place = placed(&long(182_000), &servers);
        assert!(!place.helpers.contains(&9), "{place:?}");
    }
}

/// Segments of shorter prompts avoid servers where a long read fills the passes of a writer.
#[test]
fn segments_avoid_passes() {
    let mut servers = servers(14);
    for server in &mut servers[3..] {
        server.load.long = 1;
        server.load.backlog_ms = 2_000;
    }
    for server in &mut servers[6..12] {
        server.load.writers = 1;
        server.load.bound_ms = 1_000;
    }
    for draw in 0..20 {
        let need = Need {
            bound_ms: 600,
            draw,
            ..short(28_000)
        };
        let place = placed(&need, &servers);
        assert!(!place.helpers.is_empty(), "{place:?}");
        let writes = |at: &usize| servers[*at].load.writers > 0;
        assert!(!place.helpers.iter().any(writes), "{place:?}");
    }
}

/// A long prompt is not read beside writers whose gaps it would stretch while other servers are
/// free.
#[test]
fn calm_servers_read() {
    let mut servers = servers(14);
    for server in &mut servers[..2] {
        write_tight(server, 12);
    }
    write_tight(&mut servers[12], 2);
    let place = placed(&long(182_000), &servers);
    assert!(
        place.helpers.len() > 5 && !place.helpers.contains(&12),
        "{place:?}"
    );
}

/// The next long prompt starts when the first event of the previous one has come, not when it was
/// predicted. Otherwise both would end with the later one.
#[test]
fn turn_after_first_event() {
    let mut servers = servers(14);
    for server in &mut servers {
        server.load.long = 1;
    }
    let waits = placed(&long(182_000), &servers);
    assert!(waits.delay_ms > 0.0, "{waits:?}");
    for server in &mut servers {
        server.load.long = 0;
    }
    let goes = placed(&long(182_000), &servers);
    assert!(goes.delay_ms <= 0.0, "{goes:?}");
}

/// A server that leaves the lane for tight gap limits is not read on before its writers are done.
#[test]
fn drains_before_reading() {
    let mut servers = servers(14);
    for server in &mut servers[..5] {
        write_tight(server, 8);
    }
    let lanes = lane::lanes(&servers, lane::Demand::WAITING, lane::Sharing::Few);
    assert_eq!(lanes[4], Lane::Drain, "{lanes:?}");
    let place = placed(&long(182_000), &servers);
    assert!(
        place.writer != 4 && !place.helpers.contains(&4),
        "{place:?}"
    );
    write_tight(&mut servers[4], 1);
    assert_ne!(
        lane::lanes(&servers, lane::Demand::WAITING, lane::Sharing::Few)[4],
        Lane::Drain
    );
}

#[test]
fn waits_for_turn() {
    let mut servers = servers(8);
    for server in &mut servers {
        server.load.backlog_ms = 400;
        server.load.long = 1;
    }
    assert!(placed(&long(182_000), &servers).delay_ms > 0.0);
    assert!(
        placed(&short(5_000), &servers).delay_ms <= 0.0,
        "a short prompt never waits"
    );
}

#[test]
fn slow_left_out() {
    let mut servers = servers(12);
    servers[9].pace = 4.0;
    let place = placed(&long(182_000), &servers);
    assert!(
        !place.helpers.contains(&9) && place.writer != 9,
        "{place:?}"
    );
}

/// What exceeds the memory of one server is reserved at helpers: enough, and at no helper more than
/// it has.
#[test]
fn larger_than_memory() {
    let mut servers = servers(14);
    servers[12].load.memory = 300_000;
    let need = long(900_000);
    let place = placed(&need, &servers);
    let reserved: u64 = place.reserved.iter().sum();
    assert!(reserved + 405_000 >= need.prompt + need.answer, "{place:?}");
    assert!(place.helpers.len() < place::MAX_WIDTH);
    for (at, tokens) in place.helpers.iter().zip(&place.reserved) {
        let free = 405_000 - servers[*at].load.memory;
        assert!(*tokens <= free, "{at}: {tokens} of {free}");
    }
}

#[test]
fn no_memory_waits() {
    let mut servers = servers(8);
    for server in &mut servers {
        server.load.memory = 400_000;
    }
    assert_eq!(
        place::engine(&engine(), &long(182_000), &servers, lane::Demand::WAITING),
        None
    );
}

#[test]
fn most_helpers() {
    let place = placed(&long(400_000), &servers(60));
    assert!(
        place.helpers.len() < place::MAX_WIDTH,
        "{}",
        place.helpers.len()
    );
}

#[test]
fn plain_least_taken() {
    let mut servers = servers(3);
    servers[0].load.readers = 2;
    servers[1].load.readers = 1;
    servers[2].load.readers = 1;
    servers[2].near = false;
    assert_eq!(place::plain(&servers, 1), Some(1));
    servers[1].failing = 0.9;
    assert_eq!(place::plain(&servers, 1), Some(2));
}

#[test]
fn equals_shared() {
    let servers = servers(3);
    let chosen: std::collections::BTreeSet<_> = (0..50)
        .map(|draw| place::plain(&servers, draw * 77_777_777))
        .collect();
    assert_eq!(
        chosen.len(),
        3,
        "all calls go to one of three equal servers"
    );
}

fn claim(server: u64, read_ms: f64) -> load::Claim {
    load::Claim {
        segments: vec![load::Segment {
            server,
            read_ms,
            memory: 1_000,
        }],
        prompt: 900,
        answer: 100,
        bound_ms: 250,
        is_long: false,
        reads: (NOW, NOW + Duration::from_millis(read_ms as u64)),
    }
}

fn report(table: &Table, now: Duration, whole: bool) -> load::Report {
    load::Report {
        whole,
        loads: table.own_loads(now),
        waiting: table.waiting_ranks(),
    }
}

fn from(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

const INCARNATION: id::Incarnation = id::Incarnation(1);

/// Lost, duplicated and late reports make no difference in the end.
#[test]
fn lost_reports() {
    let mut here = Table::default();
    let mut there = Table::default();
    let mut reports = Vec::new();
    for _ in 0..5 {
        there.insert(NOW, claim(7, 100.0));
        reports.push(report(&there, NOW, true));
    }
    for (seq, at) in [(1, 0), (4, 3), (2, 1), (4, 3), (5, 4)] {
        here.apply(NOW, from(1), INCARNATION, seq, reports[at].clone());
    }
    let load = here.view(NOW)[&7];
    assert_eq!((load.readers, load.backlog_ms), (5, 500));
}

#[test]
fn backlog_shrinks() {
    let mut table = Table::default();
    let ticket = table.insert(NOW, claim(7, 400.0));
    let later = NOW + Duration::from_millis(300);
    assert_eq!(table.view(later)[&7].backlog_ms, 100);
    table.remove(later, ticket);
    assert_eq!(
        table.view(later).get(&7).map_or(0, |load| load.backlog_ms),
        0
    );
}

/// A server that takes longer than predicted does not look idle at once, nor busy for good.
#[test]
fn overdue_read() {
    let mut table = Table::default();
    table.insert(NOW, claim(7, 400.0));
    let just_over = NOW + Duration::from_millis(450);
    assert_eq!(table.view(just_over)[&7].backlog_ms, 200);
    let long_over = NOW + Duration::from_secs(5);
    assert_eq!(table.view(long_over)[&7].backlog_ms, 0);
}

#[test]
fn shortest_first() {
    let mut here = Table::default();
    let ticket = here.enqueue(None, 900);
    assert!(here.is_first(NOW, ticket, 900));
    let mut there = Table::default();
    there.enqueue(None, 300);
    here.apply(NOW, from(1), INCARNATION, 1, report(&there, NOW, true));
    assert!(!here.is_first(NOW, ticket, 900));
    // The other entry has crashed and blocks this one no longer.
    assert!(here.is_first(NOW + Duration::from_secs(2), ticket, 900));
}

/// A new prompt does not go before shorter ones that already wait.
#[test]
fn newcomer_waits() {
    let mut here = Table::default();
    here.enqueue(None, 300);
    let mut there = Table::default();
    there.enqueue(None, 500);
    here.apply(NOW, from(1), INCARNATION, 1, report(&there, NOW, true));
    assert_eq!(here.ahead(NOW, 200), 0);
    assert_eq!(here.ahead(NOW, 400), 1);
    assert_eq!(here.ahead(NOW, 600), 2);
    assert_eq!(
        here.ahead(NOW + Duration::from_secs(2), 600),
        1,
        "the other entry has crashed"
    );
}

/// While all servers are slow, a request stays where it is.
#[test]
fn moves_if_better() {
    let objective = Duration::from_millis(300);
    let mut servers = servers(4);
    assert!(placed(&short(5_000), &servers).is_worth_moving(objective));
    for server in &mut servers {
        write_tight(server, 18);
    }
    let place = placed(&short(5_000), &servers);
    assert!(!place.is_worth_moving(objective), "{place:?}");
    let mut waits = place;
    waits.first_ms = 100.0;
    waits.delay_ms = 50.0;
    assert!(!waits.is_worth_moving(objective));
}

/// In an overload short prompts wait on the entry, not in the queues of servers.
#[test]
fn full_servers_queue() {
    let objective = Duration::from_millis(300);
    let mut servers = servers(4);
    for server in &mut servers {
        write_tight(server, 16);
    }
    assert!(
        !placed(&short(5_000), &servers).is_full(objective),
        "a short queue is no overload"
    );
    for server in &mut servers {
        write_tight(server, 24);
    }
    let place = placed(&short(5_000), &servers);
    assert!(place.is_full(objective), "{place:?}");
}
