//! A backend server that starts again under its id: nothing of the life before holds for it.

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

fn life(id: &str, born: u64) -> Instance {
    Instance::new(id, Some(born))
}

fn record(life: Instance, port: u16, seq: u64, phase: Phase) -> Record {
    Record {
        life,
        service: "pool".to_owned(),
        addr: SocketAddr::from(([10, 0, 0, 1], port)),
        zone: "a".to_owned(),
        slots: 4,
        phase,
        seq,
    }
}

fn beat(born: u64, seq: u64, phase: Phase) -> Record {
    record(life("a", born), 1, seq, phase)
}

fn ready(register: &Register) -> Vec<Instance> {
    let ready = register.ready(NOW, "pool");
    let mut lives: Vec<Instance> = ready.map(|(one, _)| one.life.clone()).collect();
    lives.sort_by_key(ToString::to_string);
    lives
}

#[test]
fn while_draining() {
    let mut register = Register::default();
    register.merge(NOW, beat(100, 900, Phase::Draining), true);
    assert!(ready(&register).is_empty());
    let taken = register.merge(NOW, beat(200, 1, Phase::Ready), true);
    assert_eq!(taken, Update::New);
    assert_eq!(ready(&register), [life("a", 200)], "its counts start anew");
}

#[test]
fn after_leave() {
    let mut register = Register::default();
    register.merge(NOW, beat(100, 9, Phase::Ready), true);
    for word in [Some(100), None] {
        let mut register = register_of(&register);
        register.mark_gone(NOW, Instance::new("a", word));
        assert!(ready(&register).is_empty(), "{word:?}");
        register.merge(NOW, beat(100, 10, Phase::Ready), true);
        assert!(ready(&register).is_empty(), "the life that left is over");
        register.merge(NOW, beat(200, 1, Phase::Ready), true);
        assert_eq!(ready(&register), [life("a", 200)], "{word:?}");
    }
}

/// Another register with what one holds.
fn register_of(one: &Register) -> Register {
    let mut other = Register::default();
    for record in one.all() {
        other.merge(NOW, record.clone(), false);
    }
    other
}

#[test]
fn former_delayed() {
    let mut register = Register::default();
    register.merge(NOW, beat(200, 1, Phase::Ready), true);
    for (seq, phase) in [(900, Phase::Ready), (901, Phase::Draining)] {
        let taken = register.merge(NOW, beat(100, seq, phase), true);
        assert_eq!(taken, Update::Stale);
    }
    assert_eq!(register.mark_gone(NOW, life("a", 100)), None);
    assert_eq!(ready(&register), [life("a", 200)]);
    let next = register.merge(NOW, beat(200, 2, Phase::Ready), true);
    assert_eq!(next, Update::Same, "its own count goes on");
}

#[test]
fn unsettled_word() {
    let mut register = Register::default();
    register.merge(NOW, beat(200, 1, Phase::Ready), true);
    let word = Register::default().mark_gone(NOW, Instance::new("a", None));
    let word = word.expect("a record");
    assert_eq!(register.merge(NOW, word.clone(), false), Update::Stale);
    assert_eq!(ready(&register).len(), 1, "it may be on the life before");
    assert_eq!(register.merge(LATER, word, false), Update::Changed);
    assert!(ready(&register).is_empty(), "no other life can be meant");
}

#[test]
fn told_apart() {
    // Two processes heard different lives; in whatever order words come, all agree.
    let words = [
        beat(100, 7, Phase::Ready),
        beat(100, 8, Phase::Draining),
        beat(200, 1, Phase::Ready),
        beat(200, 2, Phase::Ready),
    ];
    for first in 0..words.len() {
        for second in 0..words.len() {
            let mut order: Vec<usize> = vec![first, second];
            order.extend(0..words.len());
            let mut register = Register::default();
            for at in &order {
                register.merge(NOW, words[*at].clone(), false);
            }
            assert_eq!(ready(&register), [life("a", 200)], "{order:?}");
            assert_eq!(register.latest("a").map(|one| one.seq), Some(2));
        }
    }
}

#[test]
fn address_taken() {
    let mut register = Register::default();
    register.merge(NOW, beat(100, 5, Phase::Ready), true);
    let mut other = record(life("b", 150), 1, 1, Phase::Ready);
    other.service = "portal".to_owned();
    register.merge(NOW, other, true);
    assert!(ready(&register).is_empty(), "its address is another's");
    register.merge(NOW, record(life("a", 200), 2, 1, Phase::Ready), true);
    assert_eq!(ready(&register), [life("a", 200)]);
    register.merge(NOW, beat(100, 6, Phase::Ready), true);
    let holder = register.at(SocketAddr::from(([10, 0, 0, 1], 1)));
    assert_eq!(holder.map(|one| one.life.id.as_str()), Some("b"));
    // And the other way round: it comes back to an address that was taken meanwhile.
    register.merge(NOW, beat(300, 1, Phase::Ready), true);
    assert_eq!(ready(&register), [life("a", 300)]);
    assert!(register.at(SocketAddr::from(([10, 0, 0, 1], 2))).is_none());
}

#[test]
fn other_writers() {
    let mut register = Register::default();
    register.merge(NOW, beat(100, 5, Phase::Ready), true);
    let unborn = record(Instance::new("a", None), 1, 99, Phase::Draining);
    assert_eq!(register.check(&unborn, true), Err(Rejection::MissingStart));
    let mut unnamed = record(life("c", 1), 1, 1, Phase::Ready);
    unnamed.service = "elsewhere".to_owned();
    assert_eq!(
        register.check(&unnamed, false),
        Err(Rejection::UnknownService)
    );
    // A server that is known leaves also after its service was taken away.
    let leaving = beat(100, 6, Phase::Draining);
    assert_eq!(register.check(&leaving, false), Ok(()));
    let mut renamed = beat(100, 7, Phase::Ready);
    renamed.service = "elsewhere".to_owned();
    assert_eq!(
        register.check(&renamed, false),
        Err(Rejection::UnknownService)
    );
}

#[test]
fn nothing_inherited() {
    let (former, next) = (life("a", 100), life("a", 200));
    let mut healths = Health::default();
    healths.record_unreachable(NOW, &former);
    healths.set_pace(&former, 4.0);
    (0..10).for_each(|_| healths.record_response(NOW, &former, false));
    assert!(!healths.is_paused(NOW, &next));
    assert!((healths.pace(&next) - 1.0).abs() < 1e-9);
    assert!(healths.failure_rate(NOW, &next) <= 0.0);
    let mut board = load::Table::default();
    let part = load::Segment {
        server: load::server_key(&former),
        read_ms: 900.0,
        memory: 5_000,
    };
    board.insert(
        NOW,
        load::Claim {
            segments: vec![part],
            prompt: 5_000,
            answer: 100,
            bound_ms: 250,
            is_long: false,
            reads: (NOW, LATER),
        },
    );
    let view = board.view(NOW);
    assert!(view.contains_key(&load::server_key(&former)));
    assert!(!view.contains_key(&load::server_key(&next)));
}

#[test]
fn report_of_another() {
    let known = life("a", 100);
    assert!(known.may_match(Some(100)) && known.may_match(None));
    assert!(!known.may_match(Some(200)));
    assert!(Instance::new("a", None).may_match(Some(200)));
}
