//! What becomes of requests at an entry that stops before they end: by an operator's short drain
//! limit, or by a second signal.

use std::time::Duration;

use testbed::fleet;
use testbed::fleet::Fleet;

#[path = "common/caller.rs"]
mod caller;

use caller::End;
use caller::Flight;
use caller::Prompt;

/// Tokens of an answer that takes 8 s.
const TOKENS: u64 = 400;

/// Time for a request to get as far as it can.
const SETTLED: Duration = Duration::from_millis(500);

/// Longest time from a stop to the end of a process.
const ENDS: Duration = Duration::from_secs(6);

/// One engine that answers one caller, and another who waits.
async fn start(limit: &str) -> (Fleet, Flight, Flight) {
    let plan = fleet::Plan {
        engines: 1,
        entry_flags: vec!["--drain-notice-ms=200".into(), limit.into()],
        engine_flags: vec![
            "--journal={dir}/starts-{n}".into(),
            "--token-ms=20".into(),
            "--slots=1".into(),
        ],
        ..fleet::Plan::default()
    };
    let fleet = Fleet::start(&plan).await.expect("a fleet");
    let mut answered = Flight::new(&fleet.urls()[0], &Prompt::new("answered", TOKENS));
    answered.streams().await;
    let waits = Flight::new(&fleet.urls()[0], &Prompt::new("waits", TOKENS));
    tokio::time::sleep(SETTLED).await;
    assert!(!waits.is_over());
    (fleet, answered, waits)
}

async fn told(mut fleet: Fleet, answered: Flight, waits: Flight) {
    let code = fleet.get("entry-1").wait(ENDS).expect("it ends");
    assert_eq!(code, Some(0));
    let (end, _) = waits.end().await;
    assert_eq!(ran(&end), Some("not_run"), "{end:?}");
    let line = Prompt::new("waits", TOKENS).line();
    assert_eq!(caller::count(&fleet, "starts-", &line), 0);
    let (end, _) = answered.end().await;
    assert_eq!(ran(&end), Some("may_have_run"), "{end:?}");
}

/// Whether a request ran, as told by an entry that drains.
fn ran(end: &End) -> Option<&str> {
    let error = end.error().filter(|error| error.code == "draining");
    error.map(|error| error.ran.as_str())
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_limit_cuts() {
    let (mut fleet, answered, waits) = start("--drain-limit-ms=1000").await;
    fleet.get("entry-1").signal("TERM");
    told(fleet, answered, waits).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn second_signal_cuts_entry() {
    let (mut fleet, answered, waits) = start("--drain-limit-ms=3600000").await;
    fleet.get("entry-1").signal("TERM");
    tokio::time::sleep(SETTLED).await;
    fleet.get("entry-1").signal("TERM");
    told(fleet, answered, waits).await;
}
