//! An entry that starts again says that it is ready once it knows whoever is there.
//!
//! What callers saw: during a rolling restart a few got 503 `no_server`, though one of two engines
//! was always there. The order of events: an entry started again and was ready as soon as it knew
//! one server of each service; 0.6 s later just that server left for its own restart; the other
//! had announced itself to the entry's former life a moment before, and its next word came up to
//! a second later. The evidence: in the fleet that failed the entry started at 52.23 s, the first
//! sidecar was told to leave at 52.82 s, and an idle entry that is ready lists one or two of three.

use testbed::fleet;
use testbed::fleet::Fleet;

#[path = "common/caller.rs"]
mod caller;

const ENGINES: usize = 3;
const ROUNDS: usize = 15;

#[tokio::test(flavor = "multi_thread")]
async fn ready_knows_all() {
    let plan = fleet::Plan {
        engines: ENGINES,
        ..fleet::Plan::default()
    };
    let mut fleet = Fleet::start(&plan).await.expect("a fleet");
    for round in 0..ROUNDS {
        fleet.get("entry-1").kill();
        fleet.get("entry-1").start().expect("an entry");
        fleet.ready("entry").await.expect("it is ready");
        let url = format!("{}/admin/v1/servers", fleet.urls()[0]);
        let list = caller::page(&url, fleet::OPERATOR_KEY).await;
        let known = list.as_array().map_or(0, Vec::len);
        assert_eq!(known, ENGINES, "round {round}");
    }
}
