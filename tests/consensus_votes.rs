//! Single decisions of one member, tested message by message.

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use wigeonbarrow::control::consensus;
use wigeonbarrow::control::consensus::Raft;
use wigeonbarrow::control::consensus::Role;
use wigeonbarrow::control::log;
use wigeonbarrow::control::member;
use wigeonbarrow::control::member::Member;
use wigeonbarrow::control::message::Body;
use wigeonbarrow::control::message::Envelope;
use wigeonbarrow::control::message::Tail;
use wigeonbarrow::wire::id;

const CLUSTER: u128 = 9;
const START: Duration = Duration::from_secs(10);
/// Long after any leader's lease has ended.
const LATER: Duration = Duration::from_secs(20);

fn member_at(number: u8) -> Member {
    Member {
        addr: SocketAddr::from(([10, 0, 0, number], 7_000)),
        life: id::Incarnation(u64::from(number)),
    }
}

/// Saved data of the first of three members. Its log has these terms from index 2 on.
fn saved(term: u64, terms: &[u64]) -> log::Saved {
    let entries = terms.iter().zip(2..).map(|(term, index)| log::Entry {
        index,
        term: *term,
        clock_ms: 0,
        payload: log::Payload::Noop,
    });
    log::Saved {
        hard: log::Hard {
            cluster: CLUSTER,
            term,
            vote: None,
        },
        snapshot: Some(log::Snapshot {
            tail: Tail { term: 1, index: 1 },
            clock_ms: 0,
            members: member::Membership {
                voters: (1..=3).map(member_at).collect(),
                ..member::Membership::default()
            },
            state: Vec::new(),
        }),
        entries: entries.collect(),
        commit: 0,
    }
}

fn raft(saved: log::Saved) -> Raft {
    let settings = consensus::Settings {
        me: member_at(1),
        founders: (1..=3).map(|number| member_at(number).addr).collect(),
        seed: 1,
        timing: consensus::Timing::default(),
        may_found: true,
        admission: consensus::Admission::Ordered,
    };
    Raft::new(START, settings, saved)
}

fn from(number: u8, term: u64, body: Body) -> Envelope {
    Envelope {
        cluster: CLUSTER,
        from: member_at(number),
        to: member_at(1),
        term,
        body,
    }
}

fn vote(number: u8, term: u64, tail: (u64, u64)) -> Envelope {
    let tail = Tail {
        term: tail.0,
        index: tail.1,
    };
    let handover = false;
    from(number, term, Body::Vote { tail, handover })
}

/// Completes all pending writes.
fn sync(raft: &mut Raft) {
    while let Some(write) = raft.take_write() {
        raft.synced(LATER, write.seq);
    }
}

/// Whether the requested vote is granted, once everything is synced.
fn granted(raft: &mut Raft, env: Envelope) -> bool {
    raft.receive(LATER, env);
    sync(raft);
    let is_yes = |env: &Envelope| matches!(env.body, Body::Voted { granted: true });
    raft.take_messages().iter().any(is_yes)
}

#[test]
fn vote_for_outdated_log() {
    // Its log: terms 1, 2, 3 up to index 4.
    let fresh = || raft(saved(3, &[2, 3, 3]));
    assert!(!granted(&mut fresh(), vote(2, 4, (3, 3))), "shorter");
    assert!(
        !granted(&mut fresh(), vote(2, 4, (2, 9))),
        "longer, of an older term"
    );
    assert!(granted(&mut fresh(), vote(2, 4, (3, 4))), "equal");
    assert!(granted(&mut fresh(), vote(2, 4, (4, 2))), "of a newer term");
}

#[test]
fn second_vote_in_term() {
    let mut raft = raft(saved(1, &[]));
    assert!(granted(&mut raft, vote(2, 2, (1, 1))));
    assert!(
        !granted(&mut raft, vote(3, 2, (1, 1))),
        "another of the term"
    );
    assert!(granted(&mut raft, vote(2, 2, (1, 1))), "the same again");
    assert!(granted(&mut raft, vote(3, 3, (1, 1))), "the next term");
}

#[test]
fn vote_sent_before_sync() {
    let mut raft = raft(saved(1, &[]));
    raft.receive(LATER, vote(2, 2, (1, 1)));
    assert!(raft.take_messages().is_empty(), "sent before it is written");
    let write = raft.take_write().expect("the vote is written");
    assert_eq!(write.hard.and_then(|hard| hard.vote), Some(member_at(2)));
    assert!(raft.take_messages().is_empty(), "sent before it is synced");
    raft.synced(LATER, write.seq);
    assert_eq!(raft.take_messages().len(), 1);
}

#[test]
fn vote_during_lease() {
    let mut raft = raft(saved(1, &[]));
    let append = Body::Append {
        prev: Tail { term: 1, index: 1 },
        entries: Vec::new(),
        commit: 1,
        sent: 0,
        clock_ms: 0,
    };
    raft.receive(LATER, from(2, 2, append));
    sync(&mut raft);
    raft.take_messages();
    assert!(
        !granted(&mut raft, vote(3, 3, (5, 5))),
        "it follows a leader"
    );
    assert_eq!(raft.term(), 2, "nor does it go to the new term");
}

#[test]
fn message_for_lost_folder() {
    let mut raft = raft(saved(1, &[]));
    let mut env = vote(2, 2, (1, 1));
    env.to.life = id::Incarnation(77);
    assert!(
        !granted(&mut raft, env),
        "it was for a lost folder's incarnation"
    );
    let mut env = vote(2, 2, (1, 1));
    env.cluster = CLUSTER + 1;
    assert!(!granted(&mut raft, env), "it was of another cluster");
}

/// Has the member win the election of the next term. Returns this term.
fn elect(raft: &mut Raft) -> u64 {
    raft.tick(LATER);
    let term = raft.term() + 1;
    let granted = true;
    raft.receive(LATER, from(2, term - 1, Body::PreVoted { term, granted }));
    assert_eq!(raft.role(), Role::Candidate);
    raft.receive(LATER, from(2, term, Body::Voted { granted }));
    assert_ne!(raft.role(), Role::Leader, "its own vote is not synced");
    let write = raft.take_write().expect("its vote is written");
    raft.synced(LATER, write.seq);
    assert_eq!(raft.role(), Role::Leader);
    raft.take_messages();
    term
}

fn appended(term: u64, index: u64) -> Envelope {
    let body = Body::Appended {
        agreed: true,
        index,
        sent: LATER.as_micros() as u64,
    };
    from(2, term, body)
}

#[test]
fn commit_by_count_of_former_term() {
    // Entries of former terms may be replaced even when a quorum holds them. They are committed
    // only together with an entry of the leader's own term.
    let mut raft = raft(saved(3, &[2, 2]));
    let term = elect(&mut raft);
    sync(&mut raft);
    raft.receive(LATER, appended(term, 3));
    assert_eq!(raft.commit(), 1);
    raft.receive(LATER, appended(term, 4));
    assert_eq!(raft.commit(), 4);
}

#[test]
fn commit_with_unsynced_leader() {
    let mut raft = raft(saved(3, &[2, 2]));
    let term = elect(&mut raft);
    raft.receive(LATER, appended(term, 4));
    assert_eq!(
        raft.commit(),
        1,
        "one follower and an unsynced leader are no quorum"
    );
    sync(&mut raft);
    assert_eq!(raft.commit(), 4);
}

#[test]
fn promise_with_stalled_disk() {
    let mut raft = raft(saved(3, &[2, 2]));
    let term = elect(&mut raft);
    raft.stall(LATER);
    assert_ne!(raft.role(), Role::Leader, "it leads on without a disk");
    raft.receive(LATER, vote(2, term + 1, (9, 9)));
    raft.tick(LATER * 2);
    let messages = raft.take_messages();
    let promises = messages.iter().filter(|env| {
        matches!(
            env.body,
            Body::Voted { granted: true } | Body::PreVote { .. }
        )
    });
    assert_eq!(promises.count(), 0);
    // Its vote was rejected, not delayed.
    sync(&mut raft);
    let votes = raft.take_messages();
    assert!(
        !votes
            .iter()
            .any(|env| matches!(env.body, Body::Voted { granted: true }))
    );
}

#[test]
fn acknowledgement_of_replaced_entries() {
    // Entries 3 and 4 were synced, then replaced by entries that are not synced yet.
    let mut raft = raft(saved(3, &[2, 2, 2]));
    let append = |prev: (u64, u64), entries: &[u64]| {
        let (term, index) = prev;
        let entries = entries.iter().map(|index| log::Entry {
            index: *index,
            term: 4,
            clock_ms: 0,
            payload: log::Payload::Noop,
        });
        let body = Body::Append {
            prev: Tail { term, index },
            entries: entries.collect(),
            commit: 1,
            sent: 0,
            clock_ms: 0,
        };
        from(2, 4, body)
    };
    raft.receive(LATER, append((2, 2), &[]));
    sync(&mut raft);
    raft.take_messages();
    raft.receive(LATER, append((2, 2), &[3, 4]));
    raft.receive(LATER, append((4, 4), &[]));
    for env in raft.take_messages() {
        assert_matches!(env.body, Body::Appended { index: 0..=2, .. });
    }
    sync(&mut raft);
    assert_eq!(raft.durable(), 4);
}

#[test]
fn vote_without_cluster() {
    // A member without a cluster answers only a leader that sends it a snapshot.
    let mut raft = raft(log::Saved::default());
    assert!(!granted(&mut raft, vote(2, 2, (5, 5))));
    raft.tick(LATER);
    assert_matches!(raft.role(), Role::Unborn);
    let messages = raft.take_messages();
    assert!(messages.iter().all(|env| env.body == Body::Hail));
    assert!(!messages.is_empty());
}

/// Of two simultaneous pre-candidates, the one with the more recent log continues, or else the one
/// with the higher address. If both continued, each would vote for itself, which costs a whole
/// election timeout.
#[test]
fn simultaneous_pre_votes() {
    for (other, terms, yields) in [(2, &[2, 3][..], true), (2, &[2, 3, 3][..], false)] {
        let mut raft = raft(saved(3, terms));
        raft.tick(LATER);
        assert_eq!(raft.role(), Role::Candidate, "it asks");
        let tail = Tail { term: 3, index: 3 };
        let ask = Body::PreVote { term: 4, tail };
        raft.receive(LATER, from(other, 3, ask));
        let (term, granted) = (4, true);
        raft.receive(LATER, from(3, 3, Body::PreVoted { term, granted }));
        sync(&mut raft);
        let stands = raft.term() == 4;
        assert_eq!(stands, !yields, "own log {terms:?}");
    }
}

/// A member must not grant a pre-vote while its own vote is being synced: a new term would void
/// that vote, and the time for the sync would be wasted.
#[test]
fn pre_vote_during_unsynced_vote() {
    let helps = |raft: &mut Raft| {
        let tail = Tail { term: 1, index: 1 };
        let ask = Body::PreVote { term: 3, tail };
        raft.receive(LATER, from(3, 1, ask));
        let is_yes = |env: &Envelope| matches!(env.body, Body::PreVoted { granted: true, .. });
        raft.take_messages().iter().any(is_yes)
    };
    let mut raft = raft(saved(1, &[]));
    raft.receive(LATER, vote(2, 2, (1, 1)));
    let write = raft.take_write().expect("its vote");
    assert!(!helps(&mut raft), "its vote is being synced");
    raft.synced(LATER, write.seq);
    assert!(helps(&mut raft), "its vote is synced");
}
