//! Evacuation of availability zones: the order among orders, what snapshots keep, and which servers
//! get requests.
//!
//! Guards against an order that is lost or reverted, and against requests to servers of a zone after
//! its evacuation is known.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use wigeonbarrow::control::state::State;
use wigeonbarrow::direct::register::Instance;
use wigeonbarrow::direct::register::Phase;
use wigeonbarrow::direct::register::Record;
use wigeonbarrow::direct::register::Register;
use wigeonbarrow::direct::retry;
use wigeonbarrow::direct::retry::Failure;
use wigeonbarrow::direct::retry::History;
use wigeonbarrow::direct::retry::Reply;
use wigeonbarrow::edge::evacuation::Store;
use wigeonbarrow::entry::fleet::Fleet;
use wigeonbarrow::wire::agree::Command;
use wigeonbarrow::wire::agree::Evacuations;
use wigeonbarrow::wire::agree::Verdict;
use wigeonbarrow::wire::id;
use wigeonbarrow::wire::member;

#[path = "common/engines.rs"]
mod engines;

const NOW: Duration = Duration::from_secs(10);

fn zones(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn order(state: &mut State, zone: &str, evacuated: bool) -> Verdict {
    let zone = zone.to_owned();
    state.apply(1, 2, None, &Command::Evacuate { zone, evacuated })
}

#[test]
fn last_order_wins() {
    let mut state = State::default();
    order(&mut state, "a", true);
    order(&mut state, "b", true);
    order(&mut state, "a", false);
    assert_eq!(state.evacuations().zones, zones(&["b"]));
    order(&mut state, "a", true);
    assert_eq!(state.evacuations().zones, zones(&["a", "b"]));
}

/// An operator whose acknowledgement was lost sends the order again.
#[test]
fn repeated_order_changes_nothing() {
    let mut state = State::default();
    let first = order(&mut state, "a", true);
    assert_eq!(order(&mut state, "a", true), first);
    assert_eq!(state.evacuations().change, 1);
    order(&mut state, "b", false);
    assert_eq!(state.evacuations().change, 1, "b was not evacuated");
}

#[test]
fn evacuations_bounded() {
    let mut state = State::default();
    for name in ["", &"z".repeat(1_000)] {
        assert_matches!(order(&mut state, name, true), Verdict::Invalid(_));
    }
    let accepted = (0..1_000).filter(|number| {
        let verdict = order(&mut state, &format!("zone-{number}"), true);
        matches!(verdict, Verdict::Evacuations(_))
    });
    let accepted = accepted.count();
    assert!((1..1_000).contains(&accepted));
    assert_eq!(state.evacuations().zones.len(), accepted);
    order(&mut state, "zone-0", false);
    assert_matches!(order(&mut state, "other", true), Verdict::Evacuations(_));
}

#[test]
fn snapshot_keeps_evacuations() {
    let mut state = State::default();
    // Without an evacuation a snapshot is what earlier versions write and read.
    let plain = state.encode();
    let read = State::decode(&plain).expect("a snapshot");
    assert_eq!(read.evacuations(), &Evacuations::default());
    order(&mut state, "a", true);
    let read = State::decode(&state.encode()).expect("a snapshot");
    assert_eq!(read, state);
    let mut torn = state.encode();
    torn.pop();
    assert_matches!(State::decode(&torn), Err(_));
    torn = state.encode();
    torn.push(0);
    assert_matches!(State::decode(&torn), Err(_));
}

/// Datagrams with the evacuated zones arrive in any order.
#[test]
fn order_in_force_never_reverts() {
    let store = Store::default();
    let evacuations = |change: u64, names: &[&str]| Evacuations {
        change,
        changed_ms: 0,
        zones: zones(names),
    };
    assert!(store.install(evacuations(2, &["a"])));
    assert!(!store.install(evacuations(1, &["a", "b"])));
    assert!(!store.install(evacuations(2, &[])));
    assert_eq!(store.newest().zones, zones(&["a"]));
    assert!(store.install(evacuations(3, &[])));
    assert_eq!(store.newer_than(3), None);
    assert_eq!(store.newer_than(2), Some(evacuations(3, &[])));
}

/// The entry with sidecars: a server stays closed whatever it announces.
#[test]
fn announcement_does_not_reopen() {
    let announce = |server: &str, zone: &str, seq: u64| member::Announce {
        server: server.to_owned(),
        service: "pool".to_owned(),
        kind: member::Kind::Plain,
        zone: zone.to_owned(),
        link: SocketAddr::from(([10, 0, 0, 1], 7_000)),
        sidecar: id::Incarnation(1),
        engine: id::Incarnation(1),
        seq,
        models: Vec::new(),
        leaving: false,
        lease_ms: 3_000,
        load: member::Load::default(),
        cache: member::Cache::default(),
    };
    let mut fleet = Fleet::default();
    let open = |fleet: &Fleet| {
        let open = fleet.iter().filter(|(_, server)| server.is_open(NOW));
        let mut names: Vec<String> = open
            .map(|(_, server)| server.announced.server.clone())
            .collect();
        names.sort();
        names
    };
    fleet.announce(NOW, announce("a1", "a", 1));
    fleet.announce(NOW, announce("b1", "b", 1));
    fleet.set_evacuated(zones(&["a"]));
    assert_eq!(open(&fleet), ["b1"]);
    fleet.announce(NOW, announce("a1", "a", 2));
    fleet.announce(NOW, announce("a2", "a", 1));
    assert_eq!(open(&fleet), ["b1"]);
    fleet.set_evacuated(BTreeSet::new());
    assert_eq!(open(&fleet), ["a1", "a2", "b1"]);
}

fn record(id: &str, zone: &str) -> Record {
    let [first, second] = *id.as_bytes() else {
        panic!("{id} has not two letters");
    };
    let port = u16::from_be_bytes([first, second]);
    Record {
        life: Instance::new(id, None),
        service: "pool".to_owned(),
        addr: SocketAddr::from(([10, 0, 0, 1], port)),
        zone: zone.to_owned(),
        slots: 4,
        phase: Phase::Ready,
        seq: 1,
    }
}

fn ready(register: &Register) -> Vec<&str> {
    let ready = register.ready(NOW, "pool");
    let mut ids: Vec<&str> = ready.map(|(record, _)| record.life.id.as_str()).collect();
    ids.sort_unstable();
    ids
}

/// Helpers of split prompts, resumed streams and health checks are all chosen among ready servers.
#[test]
fn evacuated_servers_not_ready() {
    let mut register = Register::default();
    register.merge(NOW, record("a1", "a"), true);
    register.merge(NOW, record("b1", "b"), true);
    register.set_evacuated(zones(&["a"]));
    register.merge(NOW, record("a2", "a"), true);
    assert_eq!(ready(&register), ["b1"]);
    assert!(!register.is_ready(&Instance::new("a1", None)));
    register.set_evacuated(zones(&["a", "b"]));
    assert!(ready(&register).is_empty());
    assert!(register.has_open("pool"), "evacuated is not unknown");
    assert!(!register.has_open("portal"));
    register.set_evacuated(BTreeSet::new());
    assert_eq!(ready(&register), ["a1", "a2", "b1"]);
}

/// A request that no server may take is rejected at once: it would wait in vain until its deadline.
#[test]
fn excluded_request_not_retried() {
    use wigeonbarrow::direct::catalog::Kind;
    let left = Duration::from_secs(3);
    let route = engines::route(Kind::Unsafe, left, None);
    let none = History::default();
    assert!(!retry::is_allowed(&route, &Failure::Excluded, none, left));
    assert!(retry::is_allowed(&route, &Failure::Withdrawn, none, left));
    for failure in [Failure::Excluded, Failure::Withdrawn] {
        assert_matches!(retry::reply(&failure, none, left), Reply::Busy(_));
        let ran = History { ran: 1, tried: 2 };
        assert_eq!(retry::reply(&failure, ran, left), Reply::Failed);
    }
}
