//! Guards against requests placed on servers that are absent, leave, lack the model or are still
//! cold, and against announcements that arrive out of order.

use wigeonbarrow::entry::router;
use wigeonbarrow::wire::id;
use wigeonbarrow::wire::outcome;

#[path = "common/fleet.rs"]
mod fleet;
#[path = "common/harness.rs"]
mod harness;

use harness::Harness;

#[test]
fn placed_after_lease_end() {
    let mut harness = Harness::new(1);
    assert!(harness::server(&harness.place(fleet::job(1, 4_000))).is_some());
    harness.pass(2_999);
    assert!(harness::server(&harness.place(fleet::job(2, 4_000))).is_some());
    harness.pass(1);
    let causes = harness::causes(&harness.place(fleet::job(3, 4_000)));
    assert_eq!(causes, [outcome::Cause::NoServer]);
    assert!(
        harness.router.fleet().index("s00").is_some(),
        "kept while it has attempts"
    );
    harness.close(1);
    harness.close(2);
    harness.pass(1_000);
    assert_eq!(harness.router.fleet().index("s00"), None);
}

#[test]
fn placed_on_leaving_server() {
    let mut harness = Harness::new(2);
    harness.servers[0].leaving = true;
    harness.announce();
    for number in 0..20 {
        let server = harness::server(&harness.place(fleet::job(number, 4_000)));
        assert_eq!(server.as_deref(), Some("s01"));
        harness.close(number);
    }
}

#[test]
fn older_announcement_applied() {
    let mut harness = Harness::new(1);
    harness.servers[0].leaving = true;
    harness.announce();
    let mut late = harness.servers[0].clone();
    late.leaving = false;
    late.seq -= 1;
    harness.step(router::Event::Announce(Box::new(late.clone())));
    let causes = harness::causes(&harness.place(fleet::job(1, 4_000)));
    assert_eq!(
        causes,
        [outcome::Cause::NoServer],
        "an older number changes nothing"
    );
    late.sidecar = id::Incarnation(2);
    harness.step(router::Event::Announce(Box::new(late.clone())));
    assert!(harness::server(&harness.place(fleet::job(2, 4_000))).is_some());
    late.sidecar = id::Incarnation(1);
    late.seq = 99;
    late.leaving = true;
    harness.step(router::Event::Announce(Box::new(late)));
    assert!(
        harness::server(&harness.place(fleet::job(3, 4_000))).is_some(),
        "an older incarnation changes nothing"
    );
}

#[test]
fn placed_without_model() {
    let mut harness = Harness::new(3);
    harness.servers[0].models = vec!["other".to_owned()];
    harness.servers[1].models = Vec::new();
    harness.announce();
    for number in 0..10 {
        let server = harness::server(&harness.place(fleet::job(number, 400)));
        assert_eq!(server.as_deref(), Some("s02"));
    }
}

#[test]
fn cold_server_filled() {
    let mut harness = Harness::new(1);
    harness.pass(20_000);
    harness.announce();
    harness.servers.push(fleet::announce("s01", "a", 0));
    harness.announce();
    let mut on_cold = 0;
    for number in 0..20 {
        let placed = harness::placed(&harness.place(fleet::job(number, 400)));
        on_cold += placed.iter().filter(|(_, server)| server == "s01").count();
    }
    assert_eq!(on_cold, 4, "a quarter of its slots while it is new");
}
