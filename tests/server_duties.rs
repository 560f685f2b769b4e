//! Which entry probes a backend server. Guards against servers that no entry or several entries
//! probe, and against entries that probe too many.

use wigeonbarrow::direct::load;
use wigeonbarrow::direct::rendezvous;

const SERVERS: usize = 3_000;
const ENTRIES: usize = 77;

fn keys(name: &str, count: usize) -> Vec<u64> {
    (0..count)
        .map(|at| load::key(&format!("{name}-{at}")))
        .collect()
}

fn others(entries: &[u64], me: u64) -> Vec<u64> {
    entries
        .iter()
        .copied()
        .filter(|entry| *entry != me)
        .collect()
}

/// Entries that consider themselves responsible for a server.
fn owners(server: u64, entries: &[u64]) -> Vec<u64> {
    let all = entries.iter().copied();
    all.filter(|me| rendezvous::is_owner(server, *me, &others(entries, *me)))
        .collect()
}

#[test]
fn one_owner_each() {
    let entries = keys("entry", ENTRIES);
    for server in keys("server", 300) {
        assert_eq!(owners(server, &entries).len(), 1);
    }
    let alone = &entries[..1];
    assert_eq!(owners(1, alone), alone);
}

/// The mean is 39 servers an entry; with twice as many the probes would be a burden for one entry.
#[test]
fn even_shares() {
    let entries = keys("entry", ENTRIES);
    let servers = keys("server", SERVERS);
    for me in &entries {
        let others = others(&entries, *me);
        let own = servers
            .iter()
            .filter(|server| rendezvous::is_owner(**server, *me, &others));
        let own = own.count();
        assert!((10..=78).contains(&own), "{own} servers for one entry");
    }
}

#[test]
fn owners_stay() {
    let entries = keys("entry", 20);
    let fewer = &entries[1..];
    for server in keys("server", 300) {
        let before = owners(server, &entries);
        if before != entries[..1] {
            assert_eq!(owners(server, fewer), before);
        }
    }
}
