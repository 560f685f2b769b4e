//! Requests go where their prefix is cached, by late news with gaps, and never all to one server.

use std::collections::HashMap;

use wigeonbarrow::entry::prefix;
use wigeonbarrow::wire::member;

#[path = "common/fleet.rs"]
mod fleet;
#[path = "common/harness.rs"]
mod harness;

use harness::Harness;

fn news(first: u64, held: &[u64], dropped: &[u64]) -> member::Cache {
    member::Cache {
        first,
        next: first + (held.len() + dropped.len()) as u64,
        held: held.to_vec(),
        dropped: dropped.to_vec(),
    }
}

#[test]
fn block_hashes() {
    let text: Vec<u8> = (0..10_000u32).map(|n| n as u8).collect();
    let blocks = prefix::blocks(&text);
    assert_eq!(blocks.len(), 2);
    let modulus = (1u128 << 61) - 1;
    let mut hash = 0u128;
    for (index, byte) in text.iter().take(2 * prefix::BLOCK_BYTES).enumerate() {
        hash = (hash * 1_000_003 + u128::from(*byte) + 1) % modulus;
        if (index + 1) % prefix::BLOCK_BYTES == 0 {
            assert_eq!(u128::from(blocks[index / prefix::BLOCK_BYTES]), hash);
        }
    }
}

#[test]
fn longest_prefix() {
    let mut prefix = prefix::Prefix::default();
    prefix.update(1, &news(0, &[10, 11, 12], &[]));
    prefix.update(2, &news(0, &[10], &[]));
    prefix.update(3, &news(0, &[11, 12], &[]));
    let holders = prefix.holders(&[10, 11, 12, 13]);
    assert_eq!(holders, HashMap::from([(1, 3), (2, 1)]));
    prefix.update(1, &news(3, &[], &[12]));
    assert_eq!(prefix.holders(&[10, 11, 12])[&1], 2);
}

#[test]
fn lost_news() {
    let mut prefix = prefix::Prefix::default();
    prefix.update(1, &news(0, &[10, 11], &[]));
    prefix.update(2, &news(0, &[10], &[]));
    prefix.update(1, &news(7, &[20], &[]));
    assert_eq!(prefix.holders(&[10, 11]), HashMap::from([(2, 1)]));
    assert_eq!(prefix.holders(&[20]), HashMap::from([(1, 1)]));
    prefix.forget(2);
    assert!(prefix.holders(&[10]).is_empty());
}

#[test]
fn bounded_memory() {
    let mut prefix = prefix::Prefix::default();
    let blocks: Vec<u64> = (0..prefix::MAX_PAIRS as u64 + 10_000).collect();
    for part in blocks.chunks(1_000) {
        prefix.learn(1, part);
    }
    assert_eq!(prefix.len(), prefix::MAX_PAIRS);
    assert!(prefix.holders(&[0]).is_empty(), "the oldest went");
    assert_eq!(prefix.holders(&[blocks[blocks.len() - 1]]).len(), 1);
}

#[test]
fn shared_prefix() {
    let mut harness = Harness::new(8);
    harness.calibrate();
    let blocks: Vec<u64> = (0..20).collect();
    let mut servers: HashMap<String, usize> = HashMap::new();
    for number in 0..200 {
        let mut job = fleet::job(number, 20 * 4_096);
        job.blocks.clone_from(&blocks);
        for (_, server) in harness::placed(&harness.place(job)) {
            *servers.entry(server).or_default() += 1;
        }
        harness.note(number, wigeonbarrow::entry::job::Feedback::FirstOutput);
        harness.close(number);
    }
    assert!(
        servers.len() <= 2,
        "idle: all go where the prefix is: {servers:?}"
    );
    // Under load, when nothing ends, the others take their part.
    let mut servers: HashMap<String, usize> = HashMap::new();
    for number in 1_000..1_060 {
        let mut job = fleet::job(number, 20 * 4_096);
        job.blocks.clone_from(&blocks);
        for (_, server) in harness::placed(&harness.place(job)) {
            *servers.entry(server).or_default() += 1;
        }
        harness.now += std::time::Duration::from_millis(50);
        harness.announce();
    }
    let most = servers.values().max().unwrap();
    assert!(servers.len() >= 4 && *most <= 14, "{servers:?}");
}
