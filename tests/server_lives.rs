//! Backend servers that restart with the same id: nothing known about the previous instance may
//! apply to the next one, and late messages about it must not end the next one.

use std::net::SocketAddr;
use std::time::Duration;

use wigeonbarrow::direct::health::Health;
use wigeonbarrow::direct::load;
use wigeonbarrow::direct::register::Instance;
use wigeonbarrow::direct::register::Phase;
use wigeonbarrow::direct::register::Record;
use wigeonbarrow::direct::register::Register;
use wigeonbarrow::direct::register::Rejection;
use wigeonbarrow::direct::register::Update;

const NOW: Duration = Duration::from_secs(10);
const LATER: Duration = Duration::from_secs(20);

fn instance(id: &str, born: u64) -> Instance {
    Instance::new(id, Some(born))
}

fn record(instance: Instance, port: u16, seq: u64, phase: Phase) -> Record {
    Record {
        life: instance,
        service: "pool".to_owned(),
        addr: SocketAddr::from(([10, 0, 0, 1], port)),
        zone: "a".to_owned(),
        slots: 4,
        phase,
        seq,
    }
}

fn heartbeat(born: u64, seq: u64, phase: Phase) -> Record {
    record(instance("a", born), 1, seq, phase)
}

fn ready(register: &Register) -> Vec<Instance> {
    let ready = register.ready(NOW, "pool");
    let mut instances: Vec<Instance> = ready.map(|(record, _)| record.life.clone()).collect();
    instances.sort_by_key(ToString::to_string);
    instances
}

#[test]
fn restart_while_draining() {
    let mut register = Register::default();
    register.merge(NOW, heartbeat(100, 900, Phase::Draining), true);
    assert!(ready(&register).is_empty());
    let update = register.merge(NOW, heartbeat(200, 1, Phase::Ready), true);
    assert_eq!(update, Update::New);
    assert_eq!(
        ready(&register),
        [instance("a", 200)],
        "its sequence numbers start anew"
    );
}

#[test]
fn restart_after_leave() {
    let mut register = Register::default();
    register.merge(NOW, heartbeat(100, 9, Phase::Ready), true);
    for born in [Some(100), None] {
        let mut register = copy_of(&register);
        register.mark_gone(NOW, Instance::new("a", born));
        assert!(ready(&register).is_empty(), "{born:?}");
        register.merge(NOW, heartbeat(100, 10, Phase::Ready), true);
        assert!(
            ready(&register).is_empty(),
            "the instance that left stays gone"
        );
        register.merge(NOW, heartbeat(200, 1, Phase::Ready), true);
        assert_eq!(ready(&register), [instance("a", 200)], "{born:?}");
    }
}

/// A new register with the same records.
fn copy_of(register: &Register) -> Register {
    let mut copy = Register::default();
    for record in register.all() {
        copy.merge(NOW, record.clone(), false);
    }
    copy
}

#[test]
fn late_heartbeat_of_former_instance() {
    let mut register = Register::default();
    register.merge(NOW, heartbeat(200, 1, Phase::Ready), true);
    for (seq, phase) in [(900, Phase::Ready), (901, Phase::Draining)] {
        let update = register.merge(NOW, heartbeat(100, seq, phase), true);
        assert_eq!(update, Update::Stale);
    }
    assert_eq!(register.mark_gone(NOW, instance("a", 100)), None);
    assert_eq!(ready(&register), [instance("a", 200)]);
    let next = register.merge(NOW, heartbeat(200, 2, Phase::Ready), true);
    assert_eq!(next, Update::Same, "its own sequence numbers continue");
}

#[test]
fn leave_without_start_may_be_older() {
    let mut register = Register::default();
    register.merge(NOW, heartbeat(200, 1, Phase::Ready), true);
    let gone = Register::default().mark_gone(NOW, Instance::new("a", None));
    let gone = gone.expect("a record");
    assert_eq!(register.merge(NOW, gone.clone(), false), Update::Stale);
    assert_eq!(
        ready(&register).len(),
        1,
        "it may be about the previous instance"
    );
    assert_eq!(register.merge(LATER, gone, false), Update::Changed);
    assert!(
        ready(&register).is_empty(),
        "it can only be about this instance"
    );
}

#[test]
fn instances_in_any_order() {
    // Two processes know different instances; they converge in any order of records.
    let records = [
        heartbeat(100, 7, Phase::Ready),
        heartbeat(100, 8, Phase::Draining),
        heartbeat(200, 1, Phase::Ready),
        heartbeat(200, 2, Phase::Ready),
    ];
    for first in 0..records.len() {
        for second in 0..records.len() {
            let mut order: Vec<usize> = vec![first, second];
            order.extend(0..records.len());
            let mut register = Register::default();
            for index in &order {
                register.merge(NOW, records[*index].clone(), false);
            }
            assert_eq!(ready(&register), [instance("a", 200)], "{order:?}");
            assert_eq!(register.latest("a").map(|record| record.seq), Some(2));
        }
    }
}

#[test]
fn address_taken_by_other_server() {
    let mut register = Register::default();
    register.merge(NOW, heartbeat(100, 5, Phase::Ready), true);
    let mut other = record(instance("b", 150), 1, 1, Phase::Ready);
    other.service = "portal".to_owned();
    register.merge(NOW, other, true);
    assert!(
        ready(&register).is_empty(),
        "another server has its address"
    );
    register.merge(NOW, record(instance("a", 200), 2, 1, Phase::Ready), true);
    assert_eq!(ready(&register), [instance("a", 200)]);
    register.merge(NOW, heartbeat(100, 6, Phase::Ready), true);
    let holder = register.at(SocketAddr::from(([10, 0, 0, 1], 1)));
    assert_eq!(holder.map(|record| record.life.id.as_str()), Some("b"));
    // The next instance takes the address back.
    register.merge(NOW, heartbeat(300, 1, Phase::Ready), true);
    assert_eq!(ready(&register), [instance("a", 300)]);
    assert!(register.at(SocketAddr::from(([10, 0, 0, 1], 2))).is_none());
}

#[test]
fn unusable_records_rejected() {
    let mut register = Register::default();
    register.merge(NOW, heartbeat(100, 5, Phase::Ready), true);
    let without_start = record(Instance::new("a", None), 1, 99, Phase::Draining);
    assert_eq!(
        register.check(&without_start, true),
        Err(Rejection::MissingStart)
    );
    let mut unknown = record(instance("c", 1), 1, 1, Phase::Ready);
    unknown.service = "elsewhere".to_owned();
    assert_eq!(
        register.check(&unknown, false),
        Err(Rejection::UnknownService)
    );
    // A known server can leave after its service was removed.
    let leaving = heartbeat(100, 6, Phase::Draining);
    assert_eq!(register.check(&leaving, false), Ok(()));
    let mut renamed = heartbeat(100, 7, Phase::Ready);
    renamed.service = "elsewhere".to_owned();
    assert_eq!(
        register.check(&renamed, false),
        Err(Rejection::UnknownService)
    );
}

#[test]
fn health_and_load_not_inherited() {
    let (former, next) = (instance("a", 100), instance("a", 200));
    let mut health = Health::default();
    health.record_unreachable(NOW, &former);
    health.set_pace(&former, 4.0);
    (0..10).for_each(|_| health.record_response(NOW, &former, false));
    assert!(!health.is_paused(NOW, &next));
    assert!((health.pace(&next) - 1.0).abs() < 1e-9);
    assert!(health.failure_rate(NOW, &next) <= 0.0);
    let mut table = load::Table::default();
    let segment = load::Segment {
        server: load::server_key(&former),
        read_ms: 900.0,
        memory: 5_000,
    };
    table.insert(
        NOW,
        load::Claim {
            segments: vec![segment],
            prompt: 5_000,
            answer: 100,
            bound_ms: 250,
            is_long: false,
            reads: (NOW, LATER),
        },
    );
    let view = table.view(NOW);
    assert!(view.contains_key(&load::server_key(&former)));
    assert!(!view.contains_key(&load::server_key(&next)));
}

#[test]
fn start_time_tells_instances_apart() {
    let known = instance("a", 100);
    assert!(known.may_match(Some(100)) && known.may_match(None));
    assert!(!known.may_match(Some(200)));
    assert!(Instance::new("a", None).may_match(Some(200)));
}
