//! How a message reaches all processes, and the batches of relays.
//!
//! Guards against processes that a message does not reach or reaches twice, against relays that all
//! senders use at once, and against datagrams that go round.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use proptest::collection;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;
use proptest::test_runner;
use wigeonbarrow::direct::gossip;
use wigeonbarrow::direct::gossip::Datagram;
use wigeonbarrow::direct::gossip::Message;
use wigeonbarrow::direct::gossip::Peer;
use wigeonbarrow::direct::load;
use wigeonbarrow::direct::spread::Plan;
use wigeonbarrow::wire::id;

const ZONES: [usize; 5] = [95, 95, 94, 1, 3];

fn peer(zone: usize, number: usize) -> Peer {
    Peer {
        link: SocketAddr::from(([10, zone as u8, 0, number as u8], 7_000)),
        life: id::Incarnation(1_796_250_000_123_456),
        zone: format!("zone-{zone}"),
        votes: false,
        leads: false,
        first_start: false,
        serves: true,
        version: 7,
    }
}

fn zone_of(addr: SocketAddr) -> usize {
    match addr {
        SocketAddr::V4(addr) => usize::from(addr.ip().octets()[1]),
        SocketAddr::V6(_) => panic!("{addr} is of no process"),
    }
}

fn fleet(sizes: &[usize]) -> Vec<Peer> {
    let zones = sizes.iter().enumerate();
    zones
        .flat_map(|(zone, size)| (0..*size).map(move |number| peer(zone, number)))
        .collect()
}

fn plan(me: &Peer, all: &[Peer]) -> Plan {
    let others = all.iter().filter(|other| other.link != me.link);
    Plan::new(me.link, &me.zone, others)
}

/// How often each process gets the message with number `turn`, and its datagrams at the sender.
fn reach(sender: &Peer, all: &[Peer], turn: u64) -> (BTreeMap<SocketAddr, usize>, usize) {
    let by_addr: BTreeMap<SocketAddr, &Peer> = all.iter().map(|one| (one.link, one)).collect();
    let own = plan(sender, all);
    let relays = own.relays(turn, false);
    let mut received: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for addr in own.direct().iter().chain(&relays) {
        *received.entry(*addr).or_default() += 1;
    }
    for relay in &relays {
        for addr in plan(by_addr[relay], all).zone() {
            *received.entry(*addr).or_default() += 1;
        }
    }
    received.remove(&sender.link);
    (received, own.direct().len() + relays.len())
}

#[test]
fn each_process_once() {
    for sizes in [
        &ZONES[..],
        &[1],
        &[2, 2, 1],
        &[7],
        &[14, 14, 14, 14, 14],
        &[250],
    ] {
        let all = fleet(sizes);
        for sender in all.iter().step_by(13) {
            let (received, datagrams) = reach(sender, &all, 5);
            assert_eq!(received.len(), all.len() - 1, "{sizes:?}");
            assert!(received.values().all(|times| *times == 1), "{sizes:?}");
            assert!(datagrams <= 15 + sizes.len(), "{sizes:?}: {datagrams}");
        }
    }
}

/// The load of forwarding is shared evenly, and one relay that has died loses only some messages.
#[test]
fn relays_take_turns() {
    let all = fleet(&ZONES);
    let mut used: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for sender in &all {
        let own = plan(sender, &all);
        let mut relays = BTreeSet::new();
        for turn in 0..48 {
            for relay in own.relays(turn, false) {
                // A relay sends to its own zone through others.
                if zone_of(relay) != zone_of(sender.link) {
                    *used.entry(relay).or_default() += 1;
                }
                relays.insert(relay);
            }
        }
        // Half of each large zone, all of the small ones.
        assert!((142..=148).contains(&relays.len()), "{}", relays.len());
    }
    for zone in 0..3 {
        let of_zone = used.iter().filter(|(addr, _)| zone_of(**addr) == zone);
        let counts: Vec<usize> = of_zone.map(|(_, count)| *count).collect();
        let (least, most) = (counts.iter().min(), counts.iter().max());
        assert!(counts.len() >= 47, "half of the zone");
        assert!(most < least.map(|count| count * 2).as_ref(), "{counts:?}");
    }
}

/// A small zone that has two relays loses half of what is sent to it until the death of one is noticed.
#[test]
fn dead_process_of_small_zone() {
    for size in 2..15 {
        let all = fleet(&[1, size]);
        let own = plan(&all[0], &all);
        let relays: BTreeSet<SocketAddr> =
            (0..100).flat_map(|turn| own.relays(turn, false)).collect();
        assert_eq!(relays.len(), size);
    }
}

/// While processes join, one lost datagram must not leave them unknown to a whole zone.
#[test]
fn two_relays_while_joining() {
    let all = fleet(&ZONES);
    let own = plan(&all[0], &all);
    for turn in 0..50 {
        let (single, doubled) = (own.relays(turn, false), own.relays(turn, true));
        let distinct: BTreeSet<&SocketAddr> = doubled.iter().collect();
        assert_eq!(distinct.len(), doubled.len());
        assert_eq!(doubled.len(), 2 * single.len());
        assert!(single.iter().all(|relay| distinct.contains(relay)));
    }
}

/// However many processes there are, what each of them receives under any load is bounded.
#[test]
fn report_rate_bounded() {
    for sizes in [&[3, 3, 2][..], &[14; 5], &[95; 5], &[200; 5], &[250; 19]] {
        let all = fleet(sizes);
        let pause = plan(&all[0], &all).report_pause();
        let rate = (all.len() - 1) as f64 / pause.as_secs_f64();
        let is_batched = sizes[0] > 16;
        let most = if is_batched { 10_000.0 } else { 2_000.0 };
        assert!(rate <= most, "{sizes:?}: {rate} reports a second");
    }
}

fn datagram(number: usize, news: Message) -> Datagram {
    Datagram {
        from: peer(number % 5, number),
        seq: number as u64,
        relay: false,
        news,
    }
}

#[test]
fn batches_fit_into_packet() {
    let loads = |number: usize| Message::Loads {
        whole: true,
        loads: vec![load::Load::default(); number % 9],
        waiting: Vec::new(),
    };
    let datagrams: Vec<Datagram> = (0..200)
        .map(|number| datagram(number, loads(number)))
        .collect();
    let mut unpacked = Vec::new();
    for news in gossip::batches(datagrams.clone()) {
        let bytes = gossip::encode(&datagram(7, news));
        assert!(bytes.len() <= gossip::MAX_BYTES, "{} bytes", bytes.len());
        match gossip::decode(&bytes).expect("a datagram").news {
            Message::Batch(batch) => unpacked.extend(gossip::unbatch(batch)),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(unpacked, datagrams);
}

#[test]
fn nothing_goes_round() {
    let hello = || Message::Hello(Vec::new());
    let batch = vec![
        datagram(1, hello()),
        datagram(2, Message::Batch(vec![datagram(3, hello())])),
        Datagram {
            relay: true,
            ..datagram(4, hello())
        },
    ];
    let left: Vec<u64> = gossip::unbatch(batch)
        .map(|datagram| datagram.seq)
        .collect();
    assert_eq!(left, [1]);
}

proptest! {
    #![proptest_config(test_runner::Config { failure_persistence: None, ..Default::default() })]

    #[test]
    fn any_bytes(bytes in collection::vec(any::<u8>(), 0..400)) {
        // Whether they are read or not: nothing panics.
        let _ = gossip::decode(&bytes);
    }

    #[test]
    fn cut_short(part in 0.0..1.0_f64) {
        let batch = (0..9).map(|number| datagram(number, Message::Hello(Vec::new())));
        let bytes = gossip::encode(&datagram(9, Message::Batch(batch.collect())));
        let len = (bytes.len() as f64 * part) as usize;
        prop_assert!(gossip::decode(&bytes[..len]).is_none());
    }
}
