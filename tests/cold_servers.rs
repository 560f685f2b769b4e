//! How processes tell each other of cold servers. Guards against a process that takes a cold server
//! as warm, and sends it as much as others.

use std::net::SocketAddr;
use std::time::Duration;

use wigeonbarrow::direct::gossip;
use wigeonbarrow::direct::gossip::Message;
use wigeonbarrow::direct::register::Instance;
use wigeonbarrow::direct::register::Phase;
use wigeonbarrow::direct::register::Record;
use wigeonbarrow::wire::id;

fn record(number: u16, phase: Phase) -> Record {
    Record {
        life: Instance::new(format!("i-{number}"), Some(1_796_250_000_123)),
        service: "pool".to_owned(),
        addr: SocketAddr::from(([10, 0, 0, 1], number)),
        zone: "a".to_owned(),
        slots: 4,
        phase,
        seq: u64::from(number),
    }
}

/// Those with an even number are cold.
fn remaining(record: &Record) -> Duration {
    if record.seq.is_multiple_of(2) {
        Duration::from_millis(2_500)
    } else {
        Duration::ZERO
    }
}

#[test]
fn cold_records_apart() {
    let records: Vec<Record> = (1..=100)
        .map(|number| record(number, Phase::Ready))
        .collect();
    let (mut warm, mut cold) = (0, 0);
    for message in gossip::record_messages(records, remaining) {
        match message {
            Message::Records(records) => {
                assert!(records.iter().all(|record| remaining(record).is_zero()));
                warm += records.len();
            }
            Message::ColdRecords(records) => {
                for (record, remaining_ms) in &records {
                    assert_eq!(remaining(record).as_millis(), u128::from(*remaining_ms));
                }
                cold += records.len();
            }
            other => panic!("{other:?}"),
        }
    }
    assert_eq!((warm, cold), (50, 50));
}

/// That a server leaves must reach processes of earlier versions too, which know no cold ones.
#[test]
fn leaving_server_told_as_before() {
    for phase in [Phase::Draining, Phase::Gone] {
        let messages = gossip::record_messages(vec![record(2, phase)], remaining);
        assert_eq!(messages, [Message::Records(vec![record(2, phase)])]);
    }
}

#[test]
fn datagrams_fit_into_packet() {
    let records: Vec<Record> = (1..=100)
        .map(|number| record(number, Phase::Ready))
        .collect();
    for news in gossip::record_messages(records, remaining) {
        let datagram = gossip::Datagram {
            from: gossip::Peer {
                link: SocketAddr::from(([10, 0, 0, 1], 7_000)),
                life: id::Incarnation(u64::MAX),
                zone: "bne-hall-a".to_owned(),
                votes: true,
                leads: true,
                first_start: true,
                serves: true,
                version: u64::MAX,
            },
            seq: u64::MAX,
            relay: false,
            news,
        };
        let bytes = gossip::encode(&datagram);
        assert!(bytes.len() <= gossip::MAX_BYTES, "{} bytes", bytes.len());
        assert_eq!(gossip::decode(&bytes), Some(datagram));
    }
}
