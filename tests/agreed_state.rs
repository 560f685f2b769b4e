//! The agreed state: the result of each command.

use assert_matches::assert_matches;
use wigeonbarrow::control::state;
use wigeonbarrow::control::state::State;
use wigeonbarrow::wire::agree::Command;
use wigeonbarrow::wire::agree::Verdict;
use wigeonbarrow::wire::id;
use wigeonbarrow::wire::outcome::Ran;

#[path = "common/work.rs"]
mod work;

use work::claim;
use work::configure;
use work::settle;

const TTL_MS: u64 = 600_000;

struct Harness {
    state: State,
    clock_ms: u64,
}

impl Harness {
    fn new() -> Self {
        Self {
            state: State::default(),
            clock_ms: 1,
        }
    }

    fn apply(&mut self, command: &Command) -> Verdict {
        let verdict = self.state.apply(self.clock_ms, 0, None, command);
        // A snapshot must round-trip after every command.
        let copy = State::decode(&self.state.encode()).expect("the snapshot decodes");
        assert_eq!(copy, self.state);
        verdict
    }
}

fn fingerprint(number: u64) -> id::Fingerprint {
    id::Fingerprint::of("crew", "model", &number.to_le_bytes())
}

fn crash(server: &str, engine: u64, running: &[u64]) -> Command {
    Command::Crash {
        server: server.to_owned(),
        engine: id::Incarnation(engine),
        running: running.iter().copied().map(fingerprint).collect(),
    }
}

fn held(request: u128, ended: Option<(Ran, u16)>) -> Verdict {
    let request = id::Request(request);
    Verdict::Held { request, ended }
}

#[test]
fn concurrent_changes_get_one_revision() {
    let mut harness = Harness::new();
    let done = Verdict::Done { revision: 1 };
    let lost = Verdict::Conflict {
        revision: 1,
        author: "author-1".to_owned(),
    };
    assert_eq!(harness.apply(&configure(1, 0)), done);
    assert_eq!(harness.apply(&configure(2, 0)), lost);
    assert_eq!(
        harness.apply(&configure(3, 1)),
        Verdict::Done { revision: 2 }
    );
    // Retried changes get the recorded verdict.
    assert_eq!(harness.apply(&configure(1, 0)), done);
    assert_eq!(harness.apply(&configure(2, 0)), lost);
    assert_eq!(harness.state.conf().revision(), 2);
    let authors: Vec<_> = harness
        .state
        .conf()
        .history()
        .map(|meta| &meta.author)
        .collect();
    assert_eq!(authors, ["author-1", "author-3"]);
}

#[test]
fn old_revisions_are_dropped() {
    let mut harness = Harness::new();
    let count = state::KEPT_CONTENTS as u64 + 10;
    for revision in 0..count {
        harness.apply(&configure(u128::from(revision), revision));
    }
    let conf = harness.state.conf();
    assert!(conf.files(10).is_none());
    let files = conf.files(11).expect("kept");
    assert!(files[0].text.contains("share = 11"));
    assert!(harness.state.encode().len() < 100_000);
}

#[test]
fn file_texts_stay_bounded() {
    let mut state = State::default();
    for revision in 0..20_u64 {
        let Command::Configure(mut change) = configure(u128::from(revision), revision) else {
            panic!("a change");
        };
        change.files[0].text = format!("# {revision}\n").repeat(400_000);
        let verdict = state.apply(1, 0, None, &Command::Configure(change));
        assert_matches!(verdict, Verdict::Done { .. });
    }
    assert!(state.encode().len() < state::KEPT_BYTES + 4_000_000);
    assert!(state.conf().files(20).is_some());
    assert!(state.conf().files(19).is_some());
    assert!(state.conf().files(1).is_none());
}

#[test]
fn key_runs_at_most_once() {
    let mut harness = Harness::new();
    assert_eq!(harness.apply(&claim(1, 1)), Verdict::Claimed);
    assert_eq!(harness.apply(&claim(1, 1)), Verdict::Claimed, "a retry");
    assert_eq!(harness.apply(&claim(1, 2)), held(1, None));
    assert_matches!(harness.apply(&settle(1, 2)), Verdict::Held { .. });
    assert_matches!(harness.apply(&settle(1, 1)), Verdict::Done { .. });
    let ended = Some((Ran::Ran, 200));
    assert_eq!(harness.apply(&claim(1, 2)), held(1, ended));
    assert_eq!(
        harness.apply(&claim(1, 1)),
        held(1, ended),
        "its run has completed"
    );
    let other = Command::Claim {
        workspace: "crew".to_owned(),
        key: "key-1".to_owned(),
        request: id::Request(3),
        fingerprint: fingerprint(99),
        ttl_ms: TTL_MS,
    };
    assert_eq!(harness.apply(&other), Verdict::Mismatch);
    harness.clock_ms += TTL_MS + 1;
    assert_eq!(harness.apply(&claim(1, 4)), Verdict::Claimed, "expired");
}

#[test]
fn late_duplicate_cannot_retake_freed_claim() {
    let mut harness = Harness::new();
    let Command::Settle {
        workspace,
        key,
        request,
        ..
    } = settle(1, 1)
    else {
        panic!("a settle");
    };
    let not_run = Command::Settle {
        workspace,
        key,
        request,
        ran: Ran::NotRun,
        status: 503,
    };
    assert_eq!(harness.apply(&claim(1, 1)), Verdict::Claimed);
    assert_matches!(harness.apply(&not_run), Verdict::Done { .. });
    // A late duplicate of the first claim must not take it again: nobody would free it.
    assert_eq!(
        harness.apply(&claim(1, 1)),
        held(1, Some((Ran::NotRun, 503)))
    );
    assert_eq!(harness.apply(&claim(1, 2)), Verdict::Claimed);
    assert_eq!(harness.apply(&claim(1, 1)), held(2, None));
    assert_matches!(harness.apply(&not_run), Verdict::Held { .. });
    assert_eq!(
        harness.apply(&claim(1, 2)),
        Verdict::Claimed,
        "a retry of the new owner"
    );
}

#[test]
fn full_table_evicts_no_claim() {
    let mut state = State::default();
    for number in 0..state::MAX_CLAIMS as u64 {
        let verdict = state.apply(1, 0, None, &claim(number, 1));
        assert_eq!(verdict, Verdict::Claimed);
    }
    assert_matches!(
        state.apply(1, 0, None, &claim(u64::MAX, 1)),
        Verdict::Wait { .. }
    );
    let retried = state.apply(1, 0, None, &claim(0, 1));
    assert_eq!(retried, Verdict::Claimed, "existing claims are kept");
    let late = 2 + TTL_MS;
    assert_eq!(
        state.apply(late, 0, None, &claim(u64::MAX, 1)),
        Verdict::Claimed
    );
    assert!(state.claims().len() < state::MAX_CLAIMS);
}

#[test]
fn repeated_crash_reports_count_once() {
    let mut harness = Harness::new();
    harness.apply(&crash("wigeon-1", 10, &[1, 2]));
    harness.apply(&crash("wigeon-1", 10, &[1, 2, 3]));
    harness.apply(&crash("wigeon-1", 11, &[1]));
    let servers = |harness: &Harness, number: u64| {
        let suspects = harness.state.suspects(harness.clock_ms);
        let mut found = suspects
            .iter()
            .filter(|suspect| suspect.fingerprint == fingerprint(number));
        found.next().map_or(0, |suspect| suspect.servers.len())
    };
    assert_eq!(
        servers(&harness, 1),
        1,
        "two crashes of one backend server count once"
    );
    assert_eq!(
        servers(&harness, 3),
        0,
        "an incarnation reported twice counts once"
    );
    harness.apply(&crash("wigeon-2", 10, &[1]));
    assert_eq!(servers(&harness, 1), 2, "quarantined");
    harness.apply(&Command::Clear(fingerprint(2)));
    assert_eq!(servers(&harness, 2), 0);
    harness.clock_ms += state::Limits::default().suspect_ttl_ms;
    assert_eq!(servers(&harness, 1), 0, "expired");
}

#[test]
fn quarantined_suspect_is_not_evicted() {
    let mut state = State::default();
    state.apply(1, 0, None, &crash("wigeon-a", 1, &[7]));
    state.apply(1, 0, None, &crash("wigeon-b", 1, &[7]));
    for engine in 0..50_u64 {
        let running: Vec<u64> = (0..500).map(|at| 1_000 + engine * 500 + at).collect();
        state.apply(2, 0, None, &crash("wigeon-1", engine, &running));
    }
    let suspects = state.suspects(3);
    assert_eq!(suspects.len(), state::MAX_SUSPECTS);
    let kept = suspects
        .iter()
        .any(|suspect| suspect.fingerprint == fingerprint(7));
    assert!(kept, "a quarantined suspect is kept");
}

#[test]
fn fencing_numbers_ascend() {
    let mut harness = Harness::new();
    let mut last = 0;
    for server in [1, 2, 1, 1, 2] {
        match harness.apply(&work::fence(server)) {
            Verdict::Number(number) => {
                assert!(number > last);
                last = number;
                let server = format!("wigeon-{server}");
                let current = harness.apply(&Command::Fenced { server });
                assert_eq!(
                    current,
                    Verdict::Number(number),
                    "the current number of this server"
                );
            }
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn weight_loads_stay_limited() {
    let mut harness = Harness::new();
    let load = |server: &str| Command::Load {
        server: server.to_owned(),
        model: "model".to_owned(),
    };
    assert_matches!(harness.apply(&load("a")), Verdict::Done { .. });
    assert_matches!(harness.apply(&load("a")), Verdict::Done { .. }, "a renewal");
    assert_matches!(harness.apply(&load("b")), Verdict::Done { .. });
    assert_matches!(harness.apply(&load("c")), Verdict::Wait { .. });
    let loaded = Command::Loaded {
        server: "a".to_owned(),
    };
    harness.apply(&loaded);
    assert_matches!(harness.apply(&load("c")), Verdict::Done { .. });
    harness.clock_ms += state::LOAD_TTL_MS + 1;
    assert_matches!(
        harness.apply(&load("d")),
        Verdict::Done { .. },
        "slots expire"
    );
}

#[test]
fn older_leader_clock_revives_no_claim() {
    // A leader whose clock is behind must not revive expired claims.
    let mut harness = Harness::new();
    harness.clock_ms = 1_000;
    harness.apply(&claim(1, 1));
    harness.clock_ms = 1_000 + TTL_MS + 1;
    harness.apply(&claim(2, 1));
    harness.clock_ms = 5;
    assert_eq!(harness.apply(&claim(1, 9)), Verdict::Claimed);
    assert_eq!(harness.state.clock_ms(), 1_000 + TTL_MS + 1);
}
