//! Presence leases of a control process.

use std::net::SocketAddr;
use std::time::Duration;

use wigeonbarrow::edge::control::presence::LEASE_DURATION;
use wigeonbarrow::edge::control::presence::Presence;
use wigeonbarrow::wire::id;
use wigeonbarrow::wire::member::Peer;
use wigeonbarrow::wire::member::Role;

const NOW: Duration = Duration::from_secs(100);

fn peer(name: &str, incarnation: u64, revision: u64) -> Peer {
    Peer {
        role: Role::Entry,
        name: name.to_owned(),
        zone: "bne-hall-a".to_owned(),
        link: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        incarnation: id::Incarnation(incarnation),
        revision,
    }
}

fn all(presence: &Presence, now: Duration) -> Vec<(String, u64)> {
    let peers = presence.list(now, |_| true);
    peers
        .into_iter()
        .map(|peer| (peer.name, peer.revision))
        .collect()
}

#[test]
fn expired_lease_is_not_listed() {
    let presence = Presence::default();
    presence.hello(NOW, peer("b", 1, 1));
    presence.hello(NOW, peer("a", 1, 1));
    presence.hello(NOW + LEASE_DURATION / 2, peer("a", 1, 2));
    let expected = [("a".to_owned(), 2), ("b".to_owned(), 1)];
    assert_eq!(all(&presence, NOW + LEASE_DURATION / 2), expected);
    assert_eq!(all(&presence, NOW + LEASE_DURATION), expected[..1]);
    assert!(all(&presence, NOW + LEASE_DURATION * 2).is_empty());
}

#[test]
fn late_hello_of_older_incarnation_is_ignored() {
    let presence = Presence::default();
    presence.hello(NOW, peer("a", 5, 7));
    presence.hello(NOW, peer("a", 4, 3));
    assert_eq!(all(&presence, NOW), [("a".to_owned(), 7)], "a late hello");
    presence.hello(NOW, peer("a", 6, 0));
    assert_eq!(all(&presence, NOW), [("a".to_owned(), 0)]);
    // A clock set back gives a smaller incarnation. It is accepted after the former lease expires.
    presence.hello(NOW + LEASE_DURATION, peer("a", 2, 9));
    assert_eq!(all(&presence, NOW + LEASE_DURATION), [("a".to_owned(), 9)]);
}

#[test]
fn reported_lease_is_not_passed_on() {
    let presence = Presence::default();
    presence.merge(NOW, vec![peer("a", 5, 1), peer("b", 5, 1)]);
    assert_eq!(
        all(&presence, NOW),
        [("a".to_owned(), 1), ("b".to_owned(), 1)]
    );
    assert!(
        presence.direct(NOW).is_empty(),
        "a reported lease would be renewed forever"
    );
    presence.hello(NOW + LEASE_DURATION / 2, peer("a", 5, 2));
    presence.merge(
        NOW + LEASE_DURATION / 2,
        vec![peer("a", 5, 1), peer("a", 4, 9)],
    );
    let known = all(&presence, NOW + LEASE_DURATION / 2);
    assert_eq!(
        known[0],
        ("a".to_owned(), 2),
        "its own hello takes precedence"
    );
    let direct = presence.direct(NOW + LEASE_DURATION / 2);
    assert_eq!(direct.len(), 1);
    assert_eq!(direct[0].name, "a");
    // The process moved to another control process: it is present while that one reports it.
    presence.merge(NOW + LEASE_DURATION * 2, vec![peer("a", 5, 3)]);
    assert_eq!(
        all(&presence, NOW + LEASE_DURATION * 2),
        [("a".to_owned(), 3)]
    );
    assert!(presence.direct(NOW + LEASE_DURATION * 2).is_empty());
}
