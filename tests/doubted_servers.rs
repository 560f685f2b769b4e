//! Servers that calls which may not be repeated avoid: such a call is lost with its server.

use std::time::Duration;

use wigeonbarrow::direct::health;
use wigeonbarrow::direct::register;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn server(id: &str) -> register::Instance {
    register::Instance {
        id: id.to_owned(),
        born: Some(1),
    }
}

/// One that goes up and down by turns is back after each pause, and loses the next call.
#[test]
fn doubted_after_pause() {
    let (flapping, sound) = (server("a"), server("b"));
    let mut healths = health::Health::default();
    let until = healths.record_unreachable(ms(1_000), &flapping);
    let after = until + ms(1);
    assert!(!healths.is_paused(after, &flapping));
    assert!(healths.is_doubted(after, &flapping));
    assert!(!healths.is_doubted(after, &sound));
}

/// Otherwise a server that lost one call would stay without such calls although it answers others.
#[test]
fn trusted_after_answer() {
    let server = server("a");
    let mut healths = health::Health::default();
    healths.record_unreachable(ms(1_000), &server);
    healths.record_response(ms(1_200), &server, true);
    assert!(!healths.is_doubted(ms(1_300), &server));
}

/// Otherwise a service with few calls would leave a server out for good.
#[test]
fn trusted_after_time() {
    let server = server("a");
    let mut healths = health::Health::default();
    healths.record_unreachable(ms(1_000), &server);
    assert!(healths.is_doubted(ms(6_900), &server));
    assert!(!healths.is_doubted(ms(7_100), &server));
}
