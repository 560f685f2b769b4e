//! Which backend servers there are, whatever the order in which their heartbeats arrive.

use std::net::SocketAddr;
use std::time::Duration;

use wigeonbarrow::direct::register::Instance;
use wigeonbarrow::direct::register::Phase;
use wigeonbarrow::direct::register::Record;
use wigeonbarrow::direct::register::Register;
use wigeonbarrow::direct::register::Update;

const NOW: Duration = Duration::from_secs(10);

fn life(id: &str) -> Instance {
    Instance::new(id, None)
}

fn record(id: &str, port: u16, seq: u64, phase: Phase) -> Record {
    Record {
        life: life(id),
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
        .map(|(one, _)| one.life.id.clone())
        .collect();
    ids.sort();
    ids
}

#[test]
fn late_heartbeat() {
    let mut register = Register::default();
    register.merge(NOW, record("a", 1, 5, Phase::Draining), true);
    let late = record("a", 1, 4, Phase::Ready);
    assert_eq!(register.merge(NOW, late, true), Update::Stale);
    assert!(
        ready(&register).is_empty(),
        "a late word undid the draining"
    );
}

#[test]
fn any_order() {
    let words = [
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
        for at in order {
            register.merge(NOW, words[at].clone(), false);
        }
        assert!(ready(&register).is_empty(), "{order:?}");
    }
}

#[test]
fn gone_stays() {
    let mut register = Register::default();
    register.merge(NOW, record("a", 1, 5, Phase::Ready), true);
    register.mark_gone(NOW, life("a"));
    register.merge(NOW, record("a", 1, 9, Phase::Ready), true);
    assert!(ready(&register).is_empty());
    // One that was never heard of before it left does not come back either.
    register.mark_gone(NOW, life("b"));
    register.merge(NOW, record("b", 2, 3, Phase::Ready), true);
    assert!(ready(&register).is_empty());
}

#[test]
fn next_life() {
    let mut register = Register::default();
    register.merge(NOW, record("old", 1, 5, Phase::Ready), true);
    register.merge(NOW, record("new", 1, 1, Phase::Ready), true);
    assert_eq!(ready(&register), ["new"]);
    // One heartbeat of the life before was under way.
    register.merge(NOW, record("old", 1, 6, Phase::Ready), true);
    assert_eq!(
        ready(&register),
        ["new"],
        "a delayed word took the address back"
    );
}

#[test]
fn living_returns() {
    let mut register = Register::default();
    register.merge(NOW, record("old", 1, 5, Phase::Ready), true);
    register.merge(NOW, record("new", 1, 1, Phase::Ready), false);
    register.merge(NOW, record("old", 1, 6, Phase::Ready), true);
    register.merge(NOW, record("old", 1, 7, Phase::Ready), true);
    assert_eq!(ready(&register), ["old"], "who goes on speaking is there");
}

#[test]
fn passed_on() {
    let mut register = Register::default();
    let span = Duration::from_secs(3);
    register.merge(NOW, record("near", 1, 1, Phase::Ready), true);
    register.merge(NOW, record("far", 2, 1, Phase::Ready), false);
    let heard = register.recent(NOW, span);
    assert_eq!(heard.len(), 1, "only what was heard here is passed on");
    assert_eq!(heard[0].life, life("near"));
    assert!(register.recent(NOW + span, span).is_empty());
}
