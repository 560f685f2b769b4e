//! The router's choice of a backend server.

use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use wigeonbarrow::config;
use wigeonbarrow::entry::job;
use wigeonbarrow::entry::router;
use wigeonbarrow::wire::outcome;

#[path = "common/fleet.rs"]
mod fleet;

const NOW: Duration = Duration::from_secs(100);

#[test]
fn announced_server() {
    let mut router = router::Router::new(1, "a", Arc::new(config::Set::default()));
    let mut actions = Vec::new();
    let job = fleet::job(1, 4_000);
    router.step(
        NOW,
        router::Event::Place(Box::new(job.clone())),
        &mut actions,
    );
    assert_matches!(&actions[..], [router::Action::Unplaced(_, failure)] => {
        assert_eq!(failure.cause, outcome::Cause::NoServer);
        assert_eq!(failure.ran, outcome::Ran::NotRun);
        assert!(failure.retry_after_ms.is_some());
    });
    actions.clear();
    let announce = fleet::announce("s1", "a", 1);
    router.step(
        NOW,
        router::Event::Announce(Box::new(announce)),
        &mut actions,
    );
    router.step(NOW, router::Event::Place(Box::new(job)), &mut actions);
    assert_matches!(&actions[..], [router::Action::Placed(_, place)] => {
        assert_eq!(place.target.server, "s1");
    });
}

#[test]
fn less_work() {
    let mut router = router::Router::new(1, "a", Arc::new(config::Set::default()));
    let mut actions = Vec::new();
    for (name, ahead) in [("s1", 50_000), ("s2", 1_000), ("s3", 90_000)] {
        let mut announce = fleet::announce(name, "a", 1);
        announce.load.short_ahead = ahead;
        announce.load.all_ahead = ahead;
        router.step(
            NOW,
            router::Event::Announce(Box::new(announce)),
            &mut actions,
        );
    }
    let job = fleet::job(1, 4_000);
    router.step(NOW, router::Event::Place(Box::new(job)), &mut actions);
    assert_matches!(&actions[..], [router::Action::Placed(_, place)] => {
        assert_eq!(place.target.server, "s2");
    });
    router.step(
        NOW,
        router::Event::Feedback(fleet::id(1), job::Feedback::FirstOutput),
        &mut actions,
    );
    router.step(NOW, router::Event::Close(fleet::id(1), None), &mut actions);
    let index = router.fleet().index("s2").unwrap();
    assert_eq!(router.fleet().server(index).unwrap().own_attempts, 0);
}
