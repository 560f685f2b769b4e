//! Where prompts are placed, and what entries know of each other's work.

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

fn put(need: &Need, servers: &[Server]) -> place::Place {
    place::engine(&engine(), need, servers, !need.is_tight()).expect("there is room")
}

/// The arithmetic of the published time model, to a part in fifty.
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
    let place = put(&short(5_000), &servers(8));
    assert!(place.helpers.is_empty());
    assert!(place.first_ms < 150.0, "{place:?}");
}

/// Nothing long is read, and nobody with long pauses writes, where pauses are tight.
#[test]
fn long_keeps_apart() {
    let mut servers = servers(14);
    for server in &mut servers[..4] {
        write_tight(server, 8);
    }
    let place = put(&long(182_000), &servers);
    let lanes = lane::lanes(&servers, true, lane::Sharing::Few);
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
    let place = put(&short(5_000), &servers);
    assert_eq!(place.writer, 1, "{place:?}");
}

/// While short work holds every server, a long prompt that comes is not read beside all of it: 14
/// servers with 15 writers each would pause for 0.2 s and more, 210 requests late for one.
#[test]
fn long_in_burst() {
    let mut servers = servers(14);
    for server in &mut servers {
        write_tight(server, 15);
    }
    let need = long(112_000);
    let place = place::engine(&engine(), &need, &servers, false).expect("there is room");
    assert!(place.helpers.is_empty(), "{place:?}");
}

/// A prompt that would stretch its neighbours' pauses over their bound is read in parts.
#[test]
fn large_short_split() {
    let mut servers = servers(10);
    for server in &mut servers[..3] {
        write_tight(server, 6);
    }
    let place = put(&short(23_000), &servers);
    assert!(!place.helpers.is_empty());
    let pass = engine().pass_ms(7, 60_000);
    assert!(pass + place.segment_ms < 250.0 * 0.85, "{place:?}");
}

/// A burst of short work leaves one server to the lane of reading: parts go to others as well.
#[test]
fn split_beside_writers() {
    let mut servers = servers(14);
    for server in &mut servers[..11] {
        write_tight(server, 15);
    }
    let lanes = lane::lanes(&servers, true, lane::Sharing::Few);
    let reading = lanes.iter().filter(|lane| **lane == Lane::Read).count();
    assert_eq!(reading, 1, "{lanes:?}");
    let need = Need {
        bound_ms: 600,
        objective: Duration::from_millis(1_500),
        ..short(45_000)
    };
    let place = put(&need, &servers);
    assert_eq!(place.helpers.len(), 6, "{place:?}");
    assert!(place.segment_ms < 70.0, "{place:?}");
}

/// Reads that follow each other closely stretch a pause as one of their sum does.
#[test]
fn reads_add_up() {
    let mut board = Table::default();
    for at in 0..6 {
        let now = NOW + Duration::from_millis(40) * at;
        let ticket = board.insert(now, claim(1, 35.0));
        board.start_writing(ticket);
    }
    let now = NOW + Duration::from_millis(210);
    let load = board.view(now)[&1];
    assert!(load.backlog_ms < 40, "the rest is read: {load:?}");
    assert!(load.lately_ms > 120, "{load:?}");
    let later = board.view(now + Duration::from_secs(1))[&1];
    assert!(later.lately_ms < 10, "{later:?}");

    let mut servers = servers(2);
    for server in &mut servers {
        write_tight(server, 8);
    }
    servers[0].load.lately_ms = 150;
    let place = put(&short(5_000), &servers);
    assert_eq!(place.writer, 1, "{place:?}");
}

#[test]
fn lanes_follow_load() {
    let mut servers = servers(14);
    let kept = |servers: &[Server], waits: bool| {
        let lanes = lane::lanes(servers, waits, lane::Sharing::Few);
        lanes.iter().filter(|lane| **lane == Lane::Tight).count()
    };
    assert_eq!(kept(&servers, true), 2, "two at least, that one may fail");
    for server in &mut servers {
        write_tight(server, 14);
    }
    assert_eq!(
        kept(&servers, false),
        14,
        "all, while nothing long is there"
    );
    assert_eq!(
        kept(&servers, true),
        13,
        "one at least is left to long ones"
    );
}

/// A server given back by the lane of tight pauses is not read on before its writers are done.
/// Where a long answer is written stays the lane of writing when the border between lanes moves.
#[test]
fn writer_stays() {
    let mut servers = servers(14);
    servers[9].load.writers = 1;
    servers[9].load.bound_ms = 1_000;
    for busy in [2, 4, 6] {
        for server in &mut servers[..busy] {
            write_tight(server, 12);
        }
        let lanes = lane::lanes(&servers, true, lane::Sharing::Few);
        assert_eq!(lanes[9], Lane::Write, "{busy} busy: {lanes:?}");
        let place = put(&long(182_000), &servers);
        assert!(!place.helpers.contains(&9), "{place:?}");
    }
}

/// Parts of shorter prompts keep away from servers where a long read fills a writer's pass.
#[test]
fn parts_avoid_passes() {
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
        let place = put(&need, &servers);
        assert!(!place.helpers.is_empty(), "{place:?}");
        let holds = |at: &usize| servers[*at].load.writers > 0;
        assert!(!place.helpers.iter().any(holds), "{place:?}");
    }
}

/// A long prompt is not read beside writers whose pauses it would stretch while others are free.
#[test]
fn calm_servers_read() {
    let mut servers = servers(14);
    for server in &mut servers[..2] {
        write_tight(server, 12);
    }
    write_tight(&mut servers[12], 2);
    let place = put(&long(182_000), &servers);
    assert!(
        place.helpers.len() > 5 && !place.helpers.contains(&12),
        "{place:?}"
    );
}

/// The next long prompt begins when the first event of the one before has come, not when it was
/// expected: else both end with the later.
#[test]
fn turn_after_first() {
    let mut servers = servers(14);
    for server in &mut servers {
        server.load.long = 1;
    }
    let waits = put(&long(182_000), &servers);
    assert!(waits.delay_ms > 0.0, "{waits:?}");
    for server in &mut servers {
        server.load.long = 0;
    }
    let goes = put(&long(182_000), &servers);
    assert!(goes.delay_ms <= 0.0, "{goes:?}");
}

#[test]
fn drains_before_reads() {
    let mut servers = servers(14);
    for server in &mut servers[..5] {
        write_tight(server, 8);
    }
    let lanes = lane::lanes(&servers, true, lane::Sharing::Few);
    assert_eq!(lanes[4], Lane::Drain, "{lanes:?}");
    let place = put(&long(182_000), &servers);
    assert!(
        place.writer != 4 && !place.helpers.contains(&4),
        "{place:?}"
    );
    write_tight(&mut servers[4], 1);
    assert_ne!(
        lane::lanes(&servers, true, lane::Sharing::Few)[4],
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
    assert!(put(&long(182_000), &servers).delay_ms > 0.0);
    assert!(
        put(&short(5_000), &servers).delay_ms <= 0.0,
        "a short one never waits"
    );
}

#[test]
fn slow_left_out() {
    let mut servers = servers(12);
    servers[9].pace = 4.0;
    let place = put(&long(182_000), &servers);
    assert!(
        !place.helpers.contains(&9) && place.writer != 9,
        "{place:?}"
    );
}

/// What does not fit one server's memory is set aside at helpers: enough, and no more there than
/// they have.
#[test]
fn larger_than_memory() {
    let mut servers = servers(14);
    servers[12].load.memory = 300_000;
    let need = long(900_000);
    let place = put(&need, &servers);
    let aside: u64 = place.reserved.iter().sum();
    assert!(aside + 405_000 >= need.prompt + need.answer, "{place:?}");
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
        place::engine(&engine(), &long(182_000), &servers, true),
        None
    );
}

#[test]
fn most_helpers() {
    let place = put(&long(400_000), &servers(60));
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

fn told(board: &Table, now: Duration, whole: bool) -> load::Report {
    load::Report {
        whole,
        loads: board.own_loads(now),
        waiting: board.waiting_ranks(),
    }
}

fn from(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

const LIFE: id::Incarnation = id::Incarnation(1);

/// Words that are lost, doubled or late change nothing in the end.
#[test]
fn lost_words() {
    let mut here = Table::default();
    let mut there = Table::default();
    let mut words = Vec::new();
    for _ in 0..5 {
        there.insert(NOW, claim(7, 100.0));
        words.push(told(&there, NOW, true));
    }
    for (seq, at) in [(1, 0), (4, 3), (2, 1), (4, 3), (5, 4)] {
        here.apply(NOW, from(1), LIFE, seq, words[at].clone());
    }
    let load = here.view(NOW)[&7];
    assert_eq!((load.readers, load.backlog_ms), (5, 500));
}

#[test]
fn work_runs_off() {
    let mut board = Table::default();
    let ticket = board.insert(NOW, claim(7, 400.0));
    let later = NOW + Duration::from_millis(300);
    assert_eq!(board.view(later)[&7].backlog_ms, 100);
    board.remove(later, ticket);
    assert_eq!(board.view(later).get(&7).map_or(0, |one| one.backlog_ms), 0);
}

/// A server that takes longer than predicted does not look free at once, nor busy for good.
#[test]
fn overdue_read() {
    let mut board = Table::default();
    board.insert(NOW, claim(7, 400.0));
    let just_over = NOW + Duration::from_millis(450);
    assert_eq!(board.view(just_over)[&7].backlog_ms, 200);
    let long_over = NOW + Duration::from_secs(5);
    assert_eq!(board.view(long_over)[&7].backlog_ms, 0);
}

#[test]
fn shortest_first() {
    let mut here = Table::default();
    let ticket = here.enqueue(None, 900);
    assert!(here.is_first(NOW, ticket, 900));
    let mut there = Table::default();
    there.enqueue(None, 300);
    here.apply(NOW, from(1), LIFE, 1, told(&there, NOW, true));
    assert!(!here.is_first(NOW, ticket, 900));
    // The other entry has died: nobody waits for it for long.
    assert!(here.is_first(NOW + Duration::from_secs(2), ticket, 900));
}

/// Who has just come does not go before those that wait and are shorter.
#[test]
fn newcomer_waits() {
    let mut here = Table::default();
    here.enqueue(None, 300);
    let mut there = Table::default();
    there.enqueue(None, 500);
    here.apply(NOW, from(1), LIFE, 1, told(&there, NOW, true));
    assert_eq!(here.ahead(NOW, 200), 0);
    assert_eq!(here.ahead(NOW, 400), 1);
    assert_eq!(here.ahead(NOW, 600), 2);
    assert_eq!(
        here.ahead(NOW + Duration::from_secs(2), 600),
        1,
        "it has died"
    );
}

/// While all servers are slow a request stays where it is.
#[test]
fn moves_if_better() {
    let objective = Duration::from_millis(300);
    let mut servers = servers(4);
    assert!(put(&short(5_000), &servers).is_worth_moving(objective));
    for server in &mut servers {
        write_tight(server, 18);
    }
    let place = put(&short(5_000), &servers);
    assert!(!place.is_worth_moving(objective), "{place:?}");
    let mut waits = place;
    waits.first_ms = 100.0;
    waits.delay_ms = 50.0;
    assert!(!waits.is_worth_moving(objective));
}

/// In an overload short prompts wait at the entry, not in the queues of servers.
#[test]
fn full_servers_hold() {
    let objective = Duration::from_millis(300);
    let mut servers = servers(4);
    for server in &mut servers {
        write_tight(server, 16);
    }
    assert!(!put(&short(5_000), &servers).is_full(objective), "a moment");
    for server in &mut servers {
        write_tight(server, 24);
    }
    let place = put(&short(5_000), &servers);
    assert!(place.is_full(objective), "{place:?}");
}
