//! The sidecar's ledger on its own: room, tombstones, orders' fence, reconciliation.

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

const LIFE: id::Incarnation = id::Incarnation(7);
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
        sidecar: LIFE,
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

fn backend(life: u64) -> ledger::Backend {
    ledger::Backend {
        incarnation: id::Incarnation(life),
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

fn present(tombs: usize) -> ledger::Ledger {
    let mut ledger = ledger::Ledger::new(LIFE, tombs);
    ledger.step(ms(0), Event::Announced(backend(1)));
    ledger
}

fn take(ledger: &mut ledger::Ledger, now: Duration, offer: run::Offer) -> Vec<Action> {
    ledger.step(now, Event::Offer(1, Box::new(offer)))
}

fn refusal(actions: &[Action]) -> Option<Cause> {
    actions.iter().find_map(|action| match action {
        Action::Reply(_, run::Reply::Refused { failure, .. }) => {
            assert_eq!(failure.ran, Ran::NotRun);
            assert!(failure.retry_after_ms.is_some());
            Some(failure.cause)
        }
        _ => None,
    })
}

fn runs(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Run(_)))
}

#[test]
fn exact_room() {
    let mut ledger = present(64);
    assert!(runs(&take(
        &mut ledger,
        ms(1),
        offer(1, run::Class::Long, 10_000)
    )));
    // The whole context and a margin of one in fifty.
    assert_eq!(ledger.load().used_tokens, 10_000 + 100 + 200);
    assert_eq!(
        (ledger.load().all_ahead, ledger.load().short_ahead),
        (10_000, 0)
    );
    // Long work leaves a sixteenth of the memory and a slot; short work takes them.
    let refused = take(&mut ledger, ms(1), offer(2, run::Class::Long, 6_500));
    assert_eq!(refusal(&refused), Some(Cause::Memory));
    assert!(runs(&take(
        &mut ledger,
        ms(1),
        offer(3, run::Class::Short, 6_500)
    )));
    for number in 4..9 {
        assert!(runs(&take(
            &mut ledger,
            ms(1),
            offer(number, run::Class::Short, 10)
        )));
    }
    let last = take(&mut ledger, ms(1), offer(9, run::Class::Medium, 10));
    assert_eq!(refusal(&last), Some(Cause::Busy));
    assert!(runs(&take(
        &mut ledger,
        ms(1),
        offer(10, run::Class::Short, 10)
    )));
    let full = take(&mut ledger, ms(1), offer(11, run::Class::Short, 10));
    assert_eq!(refusal(&full), Some(Cause::Busy));
    // All comes back, to the token.
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
fn suspects_apart() {
    let suspect = |number, fingerprint| {
        let mut suspect = offer(number, run::Class::Short, 10);
        suspect.suspect = true;
        suspect.fingerprint = id::Fingerprint([fingerprint; 16]);
        suspect
    };
    let mut ledger = present(64);
    assert_eq!(refusal(&take(&mut ledger, ms(1), suspect(1, 1))), None);
    assert_eq!(
        refusal(&take(&mut ledger, ms(2), suspect(2, 2))),
        Some(Cause::Busy),
        "two that may kill the engine never meet"
    );
    assert_eq!(
        refusal(&take(&mut ledger, ms(3), suspect(3, 1))),
        None,
        "the same one again"
    );
    let innocent = offer(4, run::Class::Short, 10);
    assert_eq!(refusal(&take(&mut ledger, ms(4), innocent)), None);
}

#[test]
fn refusing_offers() {
    let mut ledger = present(64);
    let mut other = offer(1, run::Class::Short, 10);
    other.sidecar = id::Incarnation(6);
    assert_eq!(
        refusal(&take(&mut ledger, ms(1), other)),
        Some(Cause::NoServer)
    );
    let mut folded = offer(2, run::Class::Short, 10);
    folded.repeatable = false;
    assert_eq!(
        refusal(&take(&mut ledger, ms(1), folded)),
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
        refusal(&take(&mut ledger, ms(1), model)),
        Some(Cause::NoServer)
    );
    // What was refused never runs, also when its backend server could take it later.
    ledger.step(ms(2), Event::Drain);
    let leaving = take(&mut ledger, ms(2), offer(4, run::Class::Short, 10));
    assert_eq!(refusal(&leaving), Some(Cause::Draining));
    let again = take(&mut ledger, ms(3), offer(4, run::Class::Short, 10));
    assert_eq!(refusal(&again), Some(Cause::Tombstoned));
}

#[test]
fn late_start() {
    let mut ledger = present(64);
    let mut runs_after = |number: u128, wait: Duration| {
        let mut once = offer(number, run::Class::Short, 10);
        (once.repeatable, once.start) = (false, false);
        let actions = take(&mut ledger, ms(1), once);
        assert_matches!(&actions[..], [Action::Reply(1, run::Reply::Reserved(_))]);
        let mut leaving = ledger.clone();
        leaving.step(ms(2), Event::Drain);
        let start = Event::Call(1, run::Call::Start(attempt(number)));
        let actions = leaving.step(ms(2) + wait, start);
        (runs(&actions), refusal(&actions))
    };
    assert_eq!(runs_after(1, ms(100)), (true, None));
    let late = runs_after(2, ledger::LEAVING_GRACE);
    assert_eq!(late, (false, Some(Cause::Leaving)));
}

#[test]
fn withdrawn_attempts() {
    let mut ledger = present(64);
    let mut filling = offer(1, run::Class::Short, 10);
    filling.body_len = 5;
    assert_eq!(take(&mut ledger, ms(1), filling.clone()), []);
    let cancel = Event::Call(2, run::Call::Cancel(attempt(1)));
    assert_eq!(refusal(&ledger.step(ms(2), cancel)), Some(Cause::Cancelled));
    // A late copy, with its whole body, never starts.
    let late = take(&mut ledger, ms(3), filling);
    assert_eq!(refusal(&late), Some(Cause::Tombstoned));
    assert!(!runs(&ledger.step(ms(3), Event::BodyReceived(attempt(1)))));
    // A reservation goes with its stream, at once, and its start comes too late.
    let mut once = offer(2, run::Class::Short, 10);
    (once.repeatable, once.start) = (false, false);
    take(&mut ledger, ms(4), once);
    assert_eq!(ledger.load().reserved, 1);
    ledger.step(ms(5), Event::Closed(1));
    assert_eq!(ledger.load().reserved, 0);
    let start = Event::Call(3, run::Call::Start(attempt(2)));
    let actions = ledger.step(ms(6), start);
    assert_eq!(refusal(&actions), Some(Cause::Tombstoned));
    assert!(!runs(&actions));
}

#[test]
fn full_tombstones() {
    let mut ledger = present(4);
    for number in 1..=4 {
        let query = run::Call::Query {
            attempt: attempt(number),
            offset: 0,
            sidecar: LIFE,
        };
        let actions = ledger.step(ms(1), Event::Call(1, query));
        assert_eq!(refusal(&actions), Some(Cause::Tombstoned));
    }
    // Nothing is forgotten, nothing is claimed that would need a place, nothing runs.
    assert_eq!(
        take(&mut ledger, ms(2), offer(5, run::Class::Short, 10)),
        []
    );
    let mut once = offer(6, run::Class::Short, 10);
    (once.repeatable, once.start) = (false, false);
    assert_eq!(refusal(&take(&mut ledger, ms(2), once)), Some(Cause::Busy));
    let query = run::Call::Query {
        attempt: attempt(7),
        offset: 0,
        sidecar: LIFE,
    };
    let actions = ledger.step(ms(2), Event::Call(1, query));
    assert_matches!(&actions[..], [Action::Reply(1, run::Reply::Unknown(_))]);
    for number in 1..=4 {
        let late = take(&mut ledger, ms(3), offer(number, run::Class::Short, 10));
        assert_eq!(refusal(&late), Some(Cause::Tombstoned));
    }
}

#[test]
fn frozen_tombstones() {
    let mut tombs = tombstone::Tombstones::new(8);
    tombs.tick(ms(0));
    tombs.insert(attempt(1), Ran::NotRun);
    // A freeze of a day does not age it: frames as old as the freeze may wait.
    tombs.tick(Duration::from_secs(86_400));
    assert_eq!(tombs.outcome(attempt(1)), Some(Ran::NotRun));
    let mut now = Duration::from_secs(86_400);
    for _ in 0..=tombstone::TTL.as_secs() {
        now += Duration::from_secs(1);
        tombs.tick(now);
    }
    assert_eq!(tombs.outcome(attempt(1)), None);
    assert!(tombs.is_empty());
}

#[test]
fn orders_fence() {
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
fn unowned_memory() {
    let mut ledger = present(64);
    let actions = ledger.step(ms(10), list(&[("stray", true)], &["k1"]));
    assert_eq!(actions, []);
    // It counts as used until it is gone.
    assert_eq!(ledger.load().used_tokens, 120);
    let late = ms(10) + ledger::ORPHAN_GRACE;
    let actions = ledger.step(late, list(&[("stray", true)], &["k1"]));
    assert!(actions.contains(&Action::Stop("stray".to_owned())));
    assert!(actions.contains(&Action::FreeSegment("k1".to_owned())));
    ledger.step(late, list(&[], &[]));
    assert_eq!(ledger.load().used_tokens, 0);
}

#[test]
fn crash_report() {
    let mut ledger = present(64);
    for number in [1, 2] {
        take(&mut ledger, ms(1), offer(number, run::Class::Short, 10));
    }
    let mut once = offer(3, run::Class::Short, 10);
    (once.repeatable, once.start) = (false, false);
    take(&mut ledger, ms(1), once);
    let actions = ledger.step(ms(5), Event::Announced(backend(2)));
    // Only what ran is suspect; the reservation stands.
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
fn late_crash() {
    let mut ledger = present(64);
    take(&mut ledger, ms(1), offer(1, run::Class::Short, 10));
    ledger.step(ms(2), Event::NotFound(attempt(1)));
    // The list does not come: the run is lost, why shows later.
    let past = ms(2) + ledger::REPORT_TIMEOUT;
    let actions = ledger.step(past, Event::Tick);
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::End(_)))
    );
    let actions = ledger.step(past + ms(900), Event::Announced(backend(2)));
    assert!(actions.contains(&Action::Crash {
        engine: id::Incarnation(1),
        running: vec![id::Fingerprint([1; 16])]
    }));
    // A list of the same life says that it is no crash.
    take(&mut ledger, past + ms(901), offer(2, run::Class::Short, 10));
    ledger.step(past + ms(902), Event::NotFound(attempt(2)));
    let same = Event::List {
        incarnation: id::Incarnation(2),
        runs: Vec::new(),
        segments: Vec::new(),
    };
    let actions = ledger.step(past + ms(903), same);
    assert_matches!(&actions[..], [Action::End(run::Reply::Failed { failure, .. })]
        if failure.cause == Cause::ServerError && failure.ran == Ran::MayHaveRun);
}

#[test]
fn buffer_offsets() {
    let mut buffer = buffer::Buffer::new(attempt(1), 3);
    assert!(buffer.push_tokens(3, vec!["d".to_owned(), "e".to_owned()]));
    assert!(buffer.push_tokens(4, vec!["e".to_owned(), "f".to_owned()]));
    assert!(!buffer.push_tokens(9, vec!["z".to_owned()]));
    assert_matches!(buffer.next(false, 4), buffer::Next::Send(run::Reply::Chunk { offset: 4, tokens, .. }, 6) => {
        assert_eq!(tokens, ["e", "f"]);
    });
    assert_eq!(buffer.next(false, 2), buffer::Next::Gone);
    assert_eq!(buffer.next(false, 6), buffer::Next::Wait);
    // A plain service's answer: what was sent long ago is dropped, the rest can be resumed.
    let mut bytes = buffer::Buffer::new(attempt(2), 0);
    let part = bytes::Bytes::from(vec![1; buffer::KEPT_BYTES]);
    bytes.set_head(200, Vec::new());
    for _ in 0..3 {
        bytes.push_bytes(&part);
    }
    assert!(!bytes.has_capacity(0));
    bytes.mark_sent(3 * buffer::KEPT_BYTES as u64);
    assert_eq!(bytes.next(true, 0), buffer::Next::Gone);
    assert_matches!(
        bytes.next(true, 2 * buffer::KEPT_BYTES as u64),
        buffer::Next::Send(..)
    );
}
