//! Tests of the sidecar's logic without I/O: capacity, tombstones, fencing of orders, and
//! reconciliation with the engine's list.

use std::time::Duration;

use assert_matches::assert_matches;
use wigeonbarrow::sidecar::buffer;
use wigeonbarrow::sidecar::capacity;
use wigeonbarrow::sidecar::fence;
use wigeonbarrow::sidecar::ledger;
use wigeonbarrow::sidecar::ledger::Action;
use wigeonbarrow::sidecar::ledger::Event;
use wigeonbarrow::sidecar::tombstone;
use wigeonbarrow::wire::id;
use wigeonbarrow::wire::member;
use wigeonbarrow::wire::outcome::Cause;
use wigeonbarrow::wire::outcome::Ran;
use wigeonbarrow::wire::run;

const INCARNATION: id::Incarnation = id::Incarnation(7);
const SLOTS: u32 = 8;
const MEMORY: u64 = 18_000;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn attempt(number: u128) -> id::Attempt {
    id::Attempt {
        request: id::Request(number),
        number: 1,
    }
}

fn offer(number: u128, class: run::Class, prompt_tokens: u64) -> run::Offer {
    run::Offer {
        attempt: attempt(number),
        entry: id::Incarnation(1),
        sidecar: INCARNATION,
        service: "pool".to_owned(),
        workspace: "w".to_owned(),
        fingerprint: id::Fingerprint([number as u8; 16]),
        suspect: false,
        class,
        priority: 0,
        remaining_ms: 60_000,
        repeatable: true,
        start: true,
        body_len: 0,
        work: run::Work::Prompt {
            model: "m".to_owned(),
            prompt_tokens,
            max_tokens: 100,
            delivered: Vec::new(),
            context: Vec::new(),
        },
    }
}

fn backend(incarnation: u64) -> ledger::Backend {
    ledger::Backend {
        incarnation: id::Incarnation(incarnation),
        kind: member::Kind::Engine,
        models: vec!["m".to_owned()],
        capacity: capacity::Capacity {
            slots: SLOTS,
            memory: MEMORY,
        },
        ttl: Duration::from_secs(3_600),
        leaving: false,
    }
}

fn ledger_with_backend(max_tombstones: usize) -> ledger::Ledger {
    let mut ledger = ledger::Ledger::new(INCARNATION, max_tombstones);
    ledger.step(ms(0), Event::Announced(backend(1)));
    ledger
}

fn offer_to(ledger: &mut ledger::Ledger, now: Duration, offer: run::Offer) -> Vec<Action> {
    ledger.step(now, Event::Offer(1, Box::new(offer)))
}

fn rejection(actions: &[Action]) -> Option<Cause> {
    actions.iter().find_map(|action| match action {
        Action::Reply(_, run::Reply::Refused { failure, .. }) => {
            assert_eq!(failure.ran, Ran::NotRun);
            assert!(failure.retry_after_ms.is_some());
            Some(failure.cause)
        }
        _ => None,
    })
}

fn has_run(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Run(_)))
}

#[test]
fn reservations_match_capacity() {
    let mut ledger = ledger_with_backend(64);
    assert!(has_run(&offer_to(
        &mut ledger,
        ms(1),
        offer(1, run::Class::Long, 10_000)
    )));
    // The whole context and a margin of 1/50 of the prompt.
    assert_eq!(ledger.load().used_tokens, 10_000 + 100 + 200);
    assert_eq!(
        (ledger.load().all_ahead, ledger.load().short_ahead),
        (10_000, 0)
    );
    // 1/16 of the memory and one slot are reserved for short work.
    let rejected = offer_to(&mut ledger, ms(1), offer(2, run::Class::Long, 6_500));
    assert_eq!(rejection(&rejected), Some(Cause::Memory));
    assert!(has_run(&offer_to(
        &mut ledger,
        ms(1),
        offer(3, run::Class::Short, 6_500)
    )));
    for number in 4..9 {
        assert!(has_run(&offer_to(
            &mut ledger,
            ms(1),
            offer(number, run::Class::Short, 10)
        )));
    }
    let last = offer_to(&mut ledger, ms(1), offer(9, run::Class::Medium, 10));
    assert_eq!(rejection(&last), Some(Cause::Busy));
    assert!(has_run(&offer_to(
        &mut ledger,
        ms(1),
        offer(10, run::Class::Short, 10)
    )));
    let full = offer_to(&mut ledger, ms(1), offer(11, run::Class::Short, 10));
    assert_eq!(rejection(&full), Some(Cause::Busy));
    // Everything is freed, to the token.
    for number in [1, 3, 4, 5, 6, 7, 8, 10] {
        let done = run::Reply::Done {
            attempt: attempt(number),
            length: 1,
            end: run::End::Stop,
            usage: run::Usage::default(),
        };
        ledger.step(ms(2), Event::Ended(done));
    }
    let load = ledger.load();
    assert_eq!((load.used_tokens, load.running, load.all_ahead), (0, 0, 0));
}

#[test]
fn suspects_never_share_server() {
    let suspect = |number, fingerprint| {
        let mut suspect = offer(number, run::Class::Short, 10);
        suspect.suspect = true;
        suspect.fingerprint = id::Fingerprint([fingerprint; 16]);
        suspect
    };
    let mut ledger = ledger_with_backend(64);
    assert_eq!(
        rejection(&offer_to(&mut ledger, ms(1), suspect(1, 1))),
        None
    );
    assert_eq!(
        rejection(&offer_to(&mut ledger, ms(2), suspect(2, 2))),
        Some(Cause::Busy),
        "two different suspects must not run on one engine"
    );
    assert_eq!(
        rejection(&offer_to(&mut ledger, ms(3), suspect(3, 1))),
        None,
        "the same suspect again is admitted"
    );
    let ordinary = offer(4, run::Class::Short, 10);
    assert_eq!(rejection(&offer_to(&mut ledger, ms(4), ordinary)), None);
}

#[test]
fn rejected_offer_never_runs() {
    let mut ledger = ledger_with_backend(64);
    let mut other = offer(1, run::Class::Short, 10);
    other.sidecar = id::Incarnation(6);
    assert_eq!(
        rejection(&offer_to(&mut ledger, ms(1), other)),
        Some(Cause::NoServer)
    );
    let mut unrepeatable = offer(2, run::Class::Short, 10);
    unrepeatable.repeatable = false;
    assert_eq!(
        rejection(&offer_to(&mut ledger, ms(1), unrepeatable)),
        Some(Cause::BadRequest)
    );
    let mut model = offer(3, run::Class::Short, 10);
    model.work = run::Work::Prompt {
        model: "other".to_owned(),
        prompt_tokens: 1,
        max_tokens: 1,
        delivered: Vec::new(),
        context: Vec::new(),
    };
    assert_eq!(
        rejection(&offer_to(&mut ledger, ms(1), model)),
        Some(Cause::NoServer)
    );
    // A rejected attempt never runs, even if the backend server could take it later.
    ledger.step(ms(2), Event::Drain);
    let leaving = offer_to(&mut ledger, ms(2), offer(4, run::Class::Short, 10));
    assert_eq!(rejection(&leaving), Some(Cause::Draining));
    let again = offer_to(&mut ledger, ms(3), offer(4, run::Class::Short, 10));
    assert_eq!(rejection(&again), Some(Cause::Tombstoned));
}

#[test]
fn start_long_after_drain_is_rejected() {
    let mut ledger = ledger_with_backend(64);
    let mut runs_after = |number: u128, wait: Duration| {
        let mut unrepeatable = offer(number, run::Class::Short, 10);
        (unrepeatable.repeatable, unrepeatable.start) = (false, false);
        let actions = offer_to(&mut ledger, ms(1), unrepeatable);
        assert_matches!(&actions[..], [Action::Reply(1, run::Reply::Reserved(_))]);
        let mut leaving = ledger.clone();
        leaving.step(ms(2), Event::Drain);
        let start = Event::Call(1, run::Call::Start(attempt(number)));
        let actions = leaving.step(ms(2) + wait, start);
        (has_run(&actions), rejection(&actions))
    };
    assert_eq!(runs_after(1, ms(100)), (true, None));
    let late = runs_after(2, ledger::LEAVING_GRACE);
    assert_eq!(late, (false, Some(Cause::Leaving)));
}

#[test]
fn withdrawn_attempt_never_runs() {
    let mut ledger = ledger_with_backend(64);
    let mut incomplete = offer(1, run::Class::Short, 10);
    incomplete.body_len = 5;
    assert_eq!(offer_to(&mut ledger, ms(1), incomplete.clone()), []);
    let cancel = Event::Call(2, run::Call::Cancel(attempt(1)));
    assert_eq!(
        rejection(&ledger.step(ms(2), cancel)),
        Some(Cause::Cancelled)
    );
    // A late copy with its full body never starts.
    let late = offer_to(&mut ledger, ms(3), incomplete);
    assert_eq!(rejection(&late), Some(Cause::Tombstoned));
    assert!(!has_run(
        &ledger.step(ms(3), Event::BodyReceived(attempt(1)))
    ));
    // A reservation ends with its stream, and a later start is rejected.
    let mut unrepeatable = offer(2, run::Class::Short, 10);
    (unrepeatable.repeatable, unrepeatable.start) = (false, false);
    offer_to(&mut ledger, ms(4), unrepeatable);
    assert_eq!(ledger.load().reserved, 1);
    ledger.step(ms(5), Event::Closed(1));
    assert_eq!(ledger.load().reserved, 0);
    let start = Event::Call(3, run::Call::Start(attempt(2)));
    let actions = ledger.step(ms(6), start);
    assert_eq!(rejection(&actions), Some(Cause::Tombstoned));
    assert!(!has_run(&actions));
}

#[test]
fn full_tombstones_admit_nothing() {
    let mut ledger = ledger_with_backend(4);
    for number in 1..=4 {
        let query = run::Call::Query {
            attempt: attempt(number),
            offset: 0,
            sidecar: INCARNATION,
        };
        let actions = ledger.step(ms(1), Event::Call(1, query));
        assert_eq!(rejection(&actions), Some(Cause::Tombstoned));
    }
    // No tombstone is evicted, no outcome is promised that would need one, and nothing runs.
    assert_eq!(
        offer_to(&mut ledger, ms(2), offer(5, run::Class::Short, 10)),
        []
    );
    let mut unrepeatable = offer(6, run::Class::Short, 10);
    (unrepeatable.repeatable, unrepeatable.start) = (false, false);
    assert_eq!(
        rejection(&offer_to(&mut ledger, ms(2), unrepeatable)),
        Some(Cause::Busy)
    );
    let query = run::Call::Query {
        attempt: attempt(7),
        offset: 0,
        sidecar: INCARNATION,
    };
    let actions = ledger.step(ms(2), Event::Call(1, query));
    assert_matches!(&actions[..], [Action::Reply(1, run::Reply::Unknown(_))]);
    for number in 1..=4 {
        let late = offer_to(&mut ledger, ms(3), offer(number, run::Class::Short, 10));
        assert_eq!(rejection(&late), Some(Cause::Tombstoned));
    }
}

#[test]
fn freeze_keeps_tombstones() {
    let mut tombstones = tombstone::Tombstones::new(8);
    tombstones.tick(ms(0));
    tombstones.insert(attempt(1), Ran::NotRun);
    // A freeze of a day does not age it: frames as old as the freeze may still be queued.
    tombstones.tick(Duration::from_secs(86_400));
    assert_eq!(tombstones.outcome(attempt(1)), Some(Ran::NotRun));
    let mut now = Duration::from_secs(86_400);
    for _ in 0..=tombstone::TTL.as_secs() {
        now += Duration::from_secs(1);
        tombstones.tick(now);
    }
    assert_eq!(tombstones.outcome(attempt(1)), None);
    assert!(tombstones.is_empty());
}

#[test]
fn stale_order_is_fenced() {
    let mut fence = fence::Fence::default();
    assert_eq!(fence.pass(9), Err(Cause::NoQuorum));
    fence.learn(5);
    assert_eq!(fence.pass(4), Err(Cause::Fenced));
    assert_eq!(fence.pass(6), Ok(()));
    fence.learn(5);
    assert_eq!(fence.pass(5), Err(Cause::Fenced));
    assert_eq!(fence.current(), Some(6));
}

fn list(runs: &[(&str, bool)], segments: &[&str]) -> Event {
    let runs = runs.iter().map(|(id, live)| ledger::Listed {
        id: (*id).to_owned(),
        memory: 50,
        live: *live,
    });
    let segments = segments.iter().map(|handle| ledger::Segment {
        handle: (*handle).to_owned(),
        owner: "gone.1".to_owned(),
        tokens: 70,
    });
    Event::List {
        incarnation: id::Incarnation(1),
        runs: runs.collect(),
        segments: segments.collect(),
    }
}

#[test]
fn orphan_memory_is_counted_and_freed() {
    let mut ledger = ledger_with_backend(64);
    let actions = ledger.step(ms(10), list(&[("stray", true)], &["k1"]));
    assert_eq!(actions, []);
    // It counts as used until the list no longer has it.
    assert_eq!(ledger.load().used_tokens, 120);
    let late = ms(10) + ledger::ORPHAN_GRACE;
    let actions = ledger.step(late, list(&[("stray", true)], &["k1"]));
    assert!(actions.contains(&Action::Stop("stray".to_owned())));
    assert!(actions.contains(&Action::FreeSegment("k1".to_owned())));
    ledger.step(late, list(&[], &[]));
    assert_eq!(ledger.load().used_tokens, 0);
}

#[test]
fn crash_reports_only_started_runs() {
    let mut ledger = ledger_with_backend(64);
    for number in [1, 2] {
        offer_to(&mut ledger, ms(1), offer(number, run::Class::Short, 10));
    }
    let mut unrepeatable = offer(3, run::Class::Short, 10);
    (unrepeatable.repeatable, unrepeatable.start) = (false, false);
    offer_to(&mut ledger, ms(1), unrepeatable);
    let actions = ledger.step(ms(5), Event::Announced(backend(2)));
    // Only started runs are suspect; the reservation stays.
    let running = vec![id::Fingerprint([1; 16]), id::Fingerprint([2; 16])];
    assert!(actions.contains(&Action::Crash {
        engine: id::Incarnation(1),
        running
    }));
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::End(_)))
    );
    let actions = ledger.step(ms(6), Event::CrashReported);
    let ends = actions.iter().filter(|action| {
        matches!(action, Action::End(run::Reply::Failed { failure, .. })
            if failure.ran == Ran::MayHaveRun && failure.cause == Cause::ServerLost)
    });
    assert_eq!(ends.count(), 2);
    assert_eq!(ledger.load().reserved, 1);
    assert_eq!(ledger.step(ms(7), Event::Announced(backend(1))), []);
    assert_eq!(ledger.load().running, 0);
}

#[test]
fn later_crash_reports_lost_run() {
    let mut ledger = ledger_with_backend(64);
    offer_to(&mut ledger, ms(1), offer(1, run::Class::Short, 10));
    ledger.step(ms(2), Event::NotFound(attempt(1)));
    // No list arrives: the run is lost, and the cause shows later.
    let deadline = ms(2) + ledger::REPORT_TIMEOUT;
    let actions = ledger.step(deadline, Event::Tick);
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::End(_)))
    );
    let actions = ledger.step(deadline + ms(900), Event::Announced(backend(2)));
    assert!(actions.contains(&Action::Crash {
        engine: id::Incarnation(1),
        running: vec![id::Fingerprint([1; 16])]
    }));
    // A list of the same incarnation shows that it was no crash.
    offer_to(
        &mut ledger,
        deadline + ms(901),
        offer(2, run::Class::Short, 10),
    );
    ledger.step(deadline + ms(902), Event::NotFound(attempt(2)));
    let same = Event::List {
        incarnation: id::Incarnation(2),
        runs: Vec::new(),
        segments: Vec::new(),
    };
    let actions = ledger.step(deadline + ms(903), same);
    assert_matches!(&actions[..], [Action::End(run::Reply::Failed { failure, .. })]
        if failure.cause == Cause::ServerError && failure.ran == Ran::MayHaveRun);
}

#[test]
fn buffer_serves_only_kept_offsets() {
    let mut buffer = buffer::Buffer::new(attempt(1), 3);
    assert!(buffer.push_tokens(3, vec!["d".to_owned(), "e".to_owned()]));
    assert!(buffer.push_tokens(4, vec!["e".to_owned(), "f".to_owned()]));
    assert!(!buffer.push_tokens(9, vec!["z".to_owned()]));
    assert_matches!(buffer.next(false, 4), buffer::Next::Send(run::Reply::Chunk { offset: 4, tokens, .. }, 6) => {
        assert_eq!(tokens, ["e", "f"]);
    });
    assert_eq!(buffer.next(false, 2), buffer::Next::Gone);
    assert_eq!(buffer.next(false, 6), buffer::Next::Wait);
    // A plain service's response: bytes sent long ago are dropped, the rest can be resumed.
    let mut bytes = buffer::Buffer::new(attempt(2), 0);
    let chunk = bytes::Bytes::from(vec![1; buffer::KEPT_BYTES]);
    bytes.set_head(200, Vec::new());
    for _ in 0..3 {
        bytes.push_bytes(&chunk);
    }
    assert!(!bytes.has_capacity(0));
    bytes.mark_sent(3 * buffer::KEPT_BYTES as u64);
    assert_eq!(bytes.next(true, 0), buffer::Next::Gone);
    assert_matches!(
        bytes.next(true, 2 * buffer::KEPT_BYTES as u64),
        buffer::Next::Send(..)
    );
}

#[test]
fn paused_engine_started() {
    let mut ledger = ledger_with_backend(64);
    let reserved = run::Offer {
        start: false,
        ..offer(1, run::Class::Short, 10)
    };
    offer_to(&mut ledger, ms(1), reserved);
    ledger.step(ms(2), Event::Paused(ms(3_000)));
    ledger.step(ms(3), Event::Paused(ms(500)));
    let rejected = offer_to(&mut ledger, ms(1_000), offer(2, run::Class::Short, 10));
    assert_eq!(rejection(&rejected), Some(Cause::Busy));
    let returns = rejected.iter().find_map(|action| match action {
        Action::Reply(_, run::Reply::Refused { failure, .. }) => failure.retry_after_ms,
        _ => None,
    });
    assert_eq!(returns, Some(2_002));
    // It was reserved before the pause.
    let started = ledger.step(ms(1_000), Event::Call(1, run::Call::Start(attempt(1))));
    assert!(!has_run(&started), "{started:?}");
    assert_eq!(rejection(&started), Some(Cause::Busy));
    let after = offer_to(&mut ledger, ms(3_002), offer(3, run::Class::Short, 10));
    assert!(has_run(&after));
}

#[test]
fn next_engine_paused() {
    let mut ledger = ledger_with_backend(64);
    ledger.step(ms(1), Event::Paused(ms(60_000)));
    ledger.step(ms(2), Event::Announced(backend(2)));
    let offered = offer_to(&mut ledger, ms(3), offer(1, run::Class::Short, 10));
    assert!(has_run(&offered));
}
