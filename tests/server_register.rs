//! The register of backend servers: heartbeats that arrive late or out of order must not revive a
//! server, undo its draining or take over an address.

use std::net::SocketAddr;
use std::time::Duration;

use wigeonbarrow::direct::register::FORGET_AFTER;
use wigeonbarrow::direct::register::Instance;
use wigeonbarrow::direct::register::Phase;
use wigeonbarrow::direct::register::Record;
use wigeonbarrow::direct::register::Register;
use wigeonbarrow::direct::register::Update;

const NOW: Duration = Duration::from_secs(10);

fn instance(id: &str) -> Instance {
    Instance::new(id, None)
}

fn record(id: &str, port: u16, seq: u64, phase: Phase) -> Record {
    Record {
        life: instance(id),
        service: "pool".to_owned(),
        addr: SocketAddr::from(([10, 0, 0, 1], port)),
        zone: "a".to_owned(),
        slots: 4,
        phase,
        seq,
    }
}

fn ready(register: &Register) -> Vec<String> {
    let mut ids: Vec<String> = register
        .ready(NOW, "pool")
        .map(|(record, _)| record.life.id.clone())
        .collect();
    ids.sort();
    ids
}

#[test]
fn late_heartbeat_ignored() {
    let mut register = Register::default();
    register.merge(NOW, record("a", 1, 5, Phase::Draining), true);
    let late = record("a", 1, 4, Phase::Ready);
    assert_eq!(register.merge(NOW, late, true), Update::Stale);
    assert!(
        ready(&register).is_empty(),
        "a late heartbeat undid the draining"
    );
}

#[test]
fn heartbeats_in_any_order() {
    let records = [
        record("a", 1, 1, Phase::Ready),
        record("a", 1, 2, Phase::Ready),
        record("a", 1, 3, Phase::Draining),
    ];
    for order in [
        [0, 1, 2],
        [0, 2, 1],
        [1, 0, 2],
        [1, 2, 0],
        [2, 0, 1],
        [2, 1, 0],
    ] {
        let mut register = Register::default();
        for index in order {
            register.merge(NOW, records[index].clone(), false);
        }
        assert!(ready(&register).is_empty(), "{order:?}");
    }
}

#[test]
fn gone_server_not_revived() {
    let mut register = Register::default();
    register.merge(NOW, record("a", 1, 5, Phase::Ready), true);
    register.mark_gone(NOW, instance("a"));
    register.merge(NOW, record("a", 1, 9, Phase::Ready), true);
    assert!(ready(&register).is_empty());
    // Neither is one that was unknown until it left.
    register.mark_gone(NOW, instance("b"));
    register.merge(NOW, record("b", 2, 3, Phase::Ready), true);
    assert!(ready(&register).is_empty());
}

#[test]
fn delayed_heartbeat_of_former_holder() {
    let mut register = Register::default();
    register.merge(NOW, record("old", 1, 5, Phase::Ready), true);
    register.merge(NOW, record("new", 1, 1, Phase::Ready), true);
    assert_eq!(ready(&register), ["new"]);
    // One heartbeat of the former holder of the address was delayed.
    register.merge(NOW, record("old", 1, 6, Phase::Ready), true);
    assert_eq!(
        ready(&register),
        ["new"],
        "a delayed heartbeat took the address back"
    );
}

#[test]
fn displaced_but_running_returns() {
    let mut register = Register::default();
    register.merge(NOW, record("old", 1, 5, Phase::Ready), true);
    register.merge(NOW, record("new", 1, 1, Phase::Ready), false);
    register.merge(NOW, record("old", 1, 6, Phase::Ready), true);
    register.merge(NOW, record("old", 1, 7, Phase::Ready), true);
    assert_eq!(
        ready(&register),
        ["old"],
        "a server that keeps sending heartbeats is running"
    );
}

#[test]
fn only_own_heartbeats_passed_on() {
    let mut register = Register::default();
    let span = Duration::from_secs(3);
    register.merge(NOW, record("near", 1, 1, Phase::Ready), true);
    register.merge(NOW, record("far", 2, 1, Phase::Ready), false);
    let recent = register.recent(NOW, span);
    assert_eq!(recent.len(), 1, "records from others are not passed on");
    assert_eq!(recent[0].life, instance("near"));
    assert!(register.recent(NOW + span, span).is_empty());
}

#[test]
fn leaving_taken_back() {
    let mut register = Register::default();
    register.merge(NOW, record("a", 1, 5, Phase::Ready), true);
    let told = register.mark_leaving(NOW, &instance("a"));
    assert_eq!(told.map(|record| record.phase), Some(Phase::Draining));
    assert_eq!(register.mark_leaving(NOW, &instance("a")), None, "no news");
    for seq in [4, 6, 7] {
        register.merge(NOW, record("a", 1, seq, Phase::Ready), seq == 6);
        assert!(ready(&register).is_empty(), "heartbeat {seq}");
    }
    // Others are told its state with their next heartbeats.
    let recent = register.recent(NOW, Duration::from_secs(1));
    assert!(recent.iter().all(|record| record.phase == Phase::Draining));
}

#[test]
fn leaving_forgotten_with_its_record() {
    let mut register = Register::default();
    register.merge(NOW, record("a", 1, 5, Phase::Ready), true);
    register.mark_leaving(NOW, &instance("a"));
    register.prune(NOW + FORGET_AFTER * 2);
    assert_eq!(register.get(&instance("a")), None);
    register.merge(NOW, record("a", 1, 6, Phase::Ready), false);
    assert!(ready(&register).is_empty(), "a late heartbeat revived it");
    // An instance that was not known yet when it answered.
    register.mark_leaving(NOW, &instance("b"));
    register.merge(NOW, record("b", 2, 1, Phase::Ready), true);
    assert!(ready(&register).is_empty());
}

#[test]
fn leaving_of_former_instance() {
    let life = |born| Instance::new("a", Some(born));
    let at = |born, seq| Record {
        life: life(born),
        ..record("a", 1, seq, Phase::Ready)
    };
    let mut register = Register::default();
    register.merge(NOW, at(1, 5), true);
    register.mark_leaving(NOW, &life(1));
    register.merge(NOW, at(2, 1), true);
    assert_eq!(ready(&register), ["a"], "the next instance is another one");
    assert_eq!(register.mark_leaving(NOW, &life(1)), None);
    assert_eq!(ready(&register), ["a"]);
}
