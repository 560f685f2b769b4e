//! The data folder after crashes, corruption, loss and growth.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use assert_matches::assert_matches;
use wigeonbarrow::control::log;
use wigeonbarrow::control::member;
use wigeonbarrow::control::message::Tail;
use wigeonbarrow::control::record;
use wigeonbarrow::edge::control::disk;
use wigeonbarrow::wire::agree::Command;
use wigeonbarrow::wire::id;

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn open(path: &Path, incarnation: u64) -> Result<disk::Opened, disk::Error> {
    disk::Disk::open(path, addr(7_000), id::Incarnation(incarnation))
}

fn entry(index: u64, term: u64) -> log::Entry {
    let server = format!("wigeon-{index}-{term}");
    log::Entry {
        index,
        term,
        clock_ms: index,
        payload: log::Payload::Command {
            wall_ms: 0,
            limits: None,
            command: Command::Fence { server },
        },
    }
}

fn entries(seq: u64, indexes: std::ops::RangeInclusive<u64>, term: u64) -> log::Write {
    log::Write {
        seq,
        entries: indexes.map(|index| entry(index, term)).collect(),
        ..log::Write::default()
    }
}

fn snapshot(seq: u64, index: u64, then: std::ops::RangeInclusive<u64>) -> log::Write {
    log::Write {
        snapshot: Some(log::Snapshot {
            tail: Tail { term: 1, index },
            clock_ms: index,
            members: member::Membership::default(),
            state: vec![7; 100],
        }),
        hard: Some(log::Hard::default()),
        ..entries(seq, then, 1)
    }
}

fn log_file(path: &Path) -> PathBuf {
    let names = fs::read_dir(path).expect("the folder");
    let mut names = names.map(|one| one.expect("an item").path());
    let is_log = |one: &PathBuf| one.to_string_lossy().contains("/log-");
    names.find(is_log).expect("a log file")
}

/// Writes entries 1 to 5 in two writes. Returns the content of the log file.
fn written(path: &Path) -> Vec<u8> {
    let mut opened = open(path, 1).expect("it opens");
    opened.disk.write(&[entries(1, 1..=3, 1)]).expect("written");
    opened.disk.write(&[entries(2, 4..=5, 1)]).expect("written");
    drop(opened);
    fs::read(log_file(path)).expect("the log")
}

#[test]
fn torn_tail() {
    let dir = tempfile::tempdir().expect("a folder");
    let bytes = written(dir.path());
    let whole = record::scan(&bytes).expect("whole");
    assert_eq!(whole.saved.entries.len(), 5);
    // Cut at any byte: a prefix of the entries remains, and new entries are written after it.
    for len in 0..bytes.len() {
        let scan = record::scan(&bytes[..len]).expect("a torn tail is cut off");
        let left = scan.saved.entries;
        assert_eq!(left, whole.saved.entries[..left.len()]);
        assert!(scan.len <= len);
        // The file may also have been extended with zeros instead of its content.
        let mut zeros = bytes[..scan.len].to_vec();
        zeros.resize(bytes.len().max(scan.len + 1), 0);
        let scan = record::scan(&zeros).expect("zeros are cut off");
        assert_eq!(scan.saved.entries, left);
    }
    fs::write(log_file(dir.path()), &bytes[..bytes.len() - 1]).expect("torn");
    let mut opened = open(dir.path(), 2).expect("it opens");
    assert!(opened.torn > 0);
    assert_eq!(opened.me.life, id::Incarnation(1));
    assert_eq!(opened.saved.entries.len(), 4);
    opened.disk.write(&[entries(1, 5..=6, 2)]).expect("written");
    drop(opened);
    let opened = open(dir.path(), 3).expect("it opens");
    assert_eq!(opened.saved.entries.len(), 6);
    assert_eq!(opened.saved.entries[4].term, 2);
}

#[test]
fn flipped_bit_unnoticed() {
    let dir = tempfile::tempdir().expect("a folder");
    let bytes = written(dir.path());
    for bit in 0..bytes.len() * 8 {
        let mut corrupt = bytes.clone();
        corrupt[bit / 8] ^= 1 << (bit % 8);
        assert!(record::scan(&corrupt).is_err(), "bit {bit} went unseen");
    }
    let mut corrupt = bytes.clone();
    corrupt[bytes.len() / 2] ^= 4;
    fs::write(log_file(dir.path()), corrupt).expect("corrupt");
    let err = open(dir.path(), 2).expect_err("it is rejected");
    assert_matches!(&err, disk::Error::Corrupt(..));
    let text = err.to_string();
    assert!(text.contains("corrupt at byte"), "{text}");
}

#[test]
fn replaced_entries() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut opened = open(dir.path(), 1).expect("it opens");
    let writes = [entries(1, 1..=5, 1), entries(2, 3..=4, 2)];
    opened.disk.write(&writes).expect("written");
    drop(opened);
    let saved = open(dir.path(), 2).expect("it opens").saved;
    let terms: Vec<u64> = saved.entries.iter().map(|one| one.term).collect();
    assert_eq!(terms, [1, 1, 2, 2]);
}

#[test]
fn bounded_growth() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut opened = open(dir.path(), 1).expect("it opens");
    let mut largest = 0;
    for round in 0..50_u64 {
        let first = round * 100 + 1;
        let write = entries(round * 2, first..=first + 99, 1);
        opened.disk.write(&[write]).expect("written");
        let last = first + 99;
        let write = snapshot(round * 2 + 1, last - 10, last - 9..=last);
        opened.disk.write(&[write]).expect("written");
        let items = fs::read_dir(dir.path()).expect("the folder");
        let sizes = items.map(|one| one.expect("an item").metadata().expect("a size").len());
        largest = largest.max(sizes.sum::<u64>());
    }
    assert!(largest < 20_000, "the folder grew to {largest} bytes");
    drop(opened);
    let saved = open(dir.path(), 2).expect("it opens").saved;
    assert_eq!(saved.snapshot.expect("a snapshot").tail.index, 4_990);
    assert_eq!(saved.entries.len(), 10);
}

#[test]
fn failed_write() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut opened = open(dir.path(), 1).expect("it opens");
    opened.disk.write(&[entries(1, 1..=3, 1)]).expect("written");
    // The next generation cannot be written: none of it takes effect, and it can be retried.
    let blocked = dir.path().join("new");
    fs::create_dir(&blocked).expect("in the way");
    let write = snapshot(2, 2, 3..=5);
    let failure = opened.disk.write(std::slice::from_ref(&write));
    assert_matches!(failure, Err(disk::Failure::Retry(_)));
    let bytes = fs::read(log_file(dir.path())).expect("the log");
    let scan = record::scan(&bytes).expect("whole");
    assert_eq!(scan.saved.entries.len(), 3);
    fs::remove_dir(&blocked).expect("out of the way");
    opened.disk.write(&[write]).expect("written");
    drop(opened);
    let saved = open(dir.path(), 2).expect("it opens").saved;
    assert_eq!(saved.snapshot.expect("a snapshot").tail.index, 2);
    assert_eq!(saved.entries.len(), 3);
}

#[test]
fn unfinished_generation() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut opened = open(dir.path(), 1).expect("it opens");
    opened.disk.write(&[entries(1, 1..=3, 1)]).expect("written");
    // The process ended while it wrote the next generation, which must be ignored.
    fs::write(dir.path().join("new"), b"half").expect("written");
    drop(opened);
    let opened = open(dir.path(), 2).expect("it opens");
    assert_eq!(opened.saved.entries.len(), 3);
}

#[test]
fn lost_folder() {
    let dir = tempfile::tempdir().expect("a folder");
    let data = dir.path().join("data");
    let opened = open(&data, 1).expect("it opens");
    assert!(opened.is_new);
    drop(opened);
    let opened = open(&data, 2).expect("it opens");
    assert!(!opened.is_new);
    assert_eq!(
        opened.me.life,
        id::Incarnation(1),
        "the folder keeps its incarnation"
    );
    drop(opened);
    fs::remove_dir_all(&data).expect("lost");
    let opened = open(&data, 3).expect("it opens");
    assert!(opened.is_new);
    assert_eq!(
        opened.me.life,
        id::Incarnation(3),
        "a lost one is another member"
    );
}

#[test]
fn foreign_folder() {
    let dir = tempfile::tempdir().expect("a folder");
    written(dir.path());
    let opened = disk::Disk::open(dir.path(), addr(7_001), id::Incarnation(9));
    let opened = opened.expect("it opens");
    assert!(opened.is_new);
    assert_eq!(opened.me.life, id::Incarnation(9));
    assert_eq!(opened.saved, log::Saved::default());
    let aside = dir.path().join("foreign-1");
    let kept = record::scan(&fs::read(log_file(&aside)).expect("kept")).expect("whole");
    assert_eq!(
        kept.saved.entries.len(),
        5,
        "what it held is set aside whole"
    );
}

#[test]
fn shared_folder() {
    let dir = tempfile::tempdir().expect("a folder");
    let _opened = open(dir.path(), 1).expect("it opens");
    assert_matches!(open(dir.path(), 2), Err(disk::Error::Locked(_)));
}
