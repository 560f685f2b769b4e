//! `wigeonbarrow zone` at a running fleet: an entry sends nothing to an evacuated zone until it is
//! restored.

use std::process::Output;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use testbed::fleet;
use testbed::fleet::Fleet;

#[path = "common/caller.rs"]
mod caller;

/// Time that a caller gives a call.
const LIMIT: Duration = Duration::from_secs(5);

fn zone(fleet: &Fleet, args: &[&str]) -> Output {
    let url = caller::url(fleet, "control-1");
    let args = [&["zone"], args, &["--json", "--url", &url]].concat();
    tokio::task::block_in_place(|| fleet.cli(&args)).expect("the command line")
}

fn evacuated(output: &Output) -> Value {
    assert!(output.status.success(), "{output:?}");
    let evacuations: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    evacuations["zones"].clone()
}

async fn status(http: &reqwest::Client, entry: &str, key: &str) -> u16 {
    let reply = caller::call(http, entry, key, LIMIT).await;
    reply.expect("an answer").status
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn evacuated_and_restored() {
    let plan = fleet::Plan {
        entries: 1,
        engines: 0,
        services: 1,
        ..fleet::Plan::default()
    };
    let fleet = Fleet::start(&plan).await.expect("a fleet");
    caller::serves(&fleet, "crew-portal-1").await;
    let entry = caller::url(&fleet, "entry-1");
    let own = caller::server(&entry, "crew-portal-1").await["zone"].clone();
    let own = own.as_str().expect("its zone").to_owned();
    let http = reqwest::Client::new();
    assert_eq!(status(&http, &entry, "before").await, 200);

    assert_eq!(
        evacuated(&zone(&fleet, &["evacuate", &own])),
        serde_json::json!([own])
    );
    assert_eq!(
        evacuated(&zone(&fleet, &["list"])),
        serde_json::json!([own])
    );
    // A key that has run once is answered with that run.
    let calls = AtomicUsize::new(0);
    let ask = || async {
        let key = format!("call-{}", calls.fetch_add(1, Ordering::Relaxed));
        status(&http, &entry, &key).await
    };
    fleet::wait_for("the entry obeys", || async { ask().await == 503 })
        .await
        .expect("a rejection");
    assert_eq!(status(&http, &entry, "evacuated").await, 503);
    assert_eq!(caller::count(&fleet, "service", "evacuated"), 0);

    assert_eq!(
        evacuated(&zone(&fleet, &["restore", &own])),
        serde_json::json!([])
    );
    fleet::wait_for("the entry sends again", || async { ask().await == 200 })
        .await
        .expect("an answer of the service");
    let unknown = zone(&fleet, &["evacuate", "nowhere"]);
    assert_eq!(unknown.status.code(), Some(1), "{unknown:?}");
}
