//! Why requests are not sent again, and the ids of cut requests without a line of their own.

use std::time::Duration;

use wigeonbarrow::direct::catalog;
use wigeonbarrow::direct::retry;
use wigeonbarrow::edge::direct::cut;
use wigeonbarrow::edge::direct::progress;

const LEFT: Duration = Duration::from_secs(2);

fn route(resumable: bool) -> catalog::Route {
    catalog::Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind: catalog::Kind::Stream,
        timeout: LEFT,
        objective: LEFT,
        max_pause: None,
        priority: 0,
        targets: Vec::new(),
        max_servers: 2,
        public: false,
        resumable,
        homes: Vec::new(),
    }
}

/// The reason why a silent server may not be left after `ran` and `tried` attempts.
fn denial(resumable: bool, ran: u32, tried: u32, left: Duration) -> Option<retry::Denial> {
    let history = retry::History { ran, tried };
    retry::check(&route(resumable), &retry::Failure::Silent, history, left).err()
}

#[test]
fn denials_named() {
    assert_eq!(denial(true, 1, 1, LEFT), None);
    let late = denial(true, 1, 1, Duration::from_millis(1));
    assert_eq!(late, Some(retry::Denial::Time));
    assert_eq!(denial(true, 1, 6, LEFT), Some(retry::Denial::Attempts));
    assert_eq!(denial(true, 2, 2, LEFT), Some(retry::Denial::Servers));
    let plain = catalog::Route {
        kind: catalog::Kind::Unsafe,
        ..route(false)
    };
    let history = retry::History { ran: 1, tried: 1 };
    let denied = retry::check(&plain, &retry::Failure::Broken, history, LEFT);
    assert_eq!(denied, Err(retry::Denial::Unrepeatable));
    let denied = retry::check(&plain, &retry::Failure::Excluded, history, LEFT);
    assert_eq!(denied, Err(retry::Denial::Cause));
}

/// Labels of `direct_cut` stay apart, and only a failed attempt tells how it failed.
#[test]
fn reasons_named() {
    let failed = cut::Reason::AttemptFailed(retry::Failure::Unsent);
    assert_eq!(failed.failure(), "Unsent");
    let reasons = [
        failed,
        cut::Reason::Late,
        cut::Reason::Ending,
        cut::Reason::NoEventId,
        cut::Reason::NoStream,
        cut::Reason::Denied(retry::Denial::Budget),
        cut::Reason::Denied(retry::Denial::Time),
        cut::Reason::Denied(retry::Denial::Attempts),
        cut::Reason::Denied(retry::Denial::Cause),
        cut::Reason::Denied(retry::Denial::Unrepeatable),
        cut::Reason::Denied(retry::Denial::Servers),
    ];
    let mut names: Vec<_> = reasons.iter().map(cut::Reason::name).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), reasons.len());
    assert!(
        reasons[1..]
            .iter()
            .all(|reason| reason.failure().is_empty())
    );
}

/// Each id comes out exactly once, in lines of bounded length, with the stage of its request.
#[test]
fn ids_gathered() {
    let gathered = cut::Gathered::default();
    let mut lines = Vec::new();
    for at in 0..150 {
        let full = gathered.add(progress::Stage::Answering, &format!("r{at}"));
        lines.extend(full);
    }
    assert!(gathered.add(progress::Stage::Sent, "other").is_none());
    for (stage, ids) in gathered.take() {
        match stage {
            progress::Stage::Sent => assert_eq!(ids, ["other"]),
            _ => lines.push(ids),
        }
    }
    assert!(lines.iter().all(|ids| ids.len() <= cut::MAX_IDS_PER_LINE));
    let ids: Vec<_> = lines.concat();
    let expected: Vec<_> = (0..150).map(|at| format!("r{at}")).collect();
    assert_eq!(ids, expected);
    assert!(gathered.take().is_empty());
}
