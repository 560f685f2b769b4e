//! Guards against requests that miss the server with their cached prefix, use blocks that it no
//! longer has, or all go to that one server under load.

use std::collections::HashMap;

use wigeonbarrow::entry::prefix;
use wigeonbarrow::wire::member;

#[path = "common/fleet.rs"]
mod fleet;
#[path = "common/harness.rs"]
mod harness;

use harness::Harness;

fn cache_update(first: u64, held: &[u64], dropped: &[u64]) -> member::Cache {
    member::Cache {
        first,
        next: first + (held.len() + dropped.len()) as u64,
        held: held.to_vec(),
        dropped: dropped.to_vec(),
    }
}

#[test]
fn block_hashes_wrong() {
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
fn holders_without_prefix() {
    let mut prefix = prefix::Prefix::default();
    prefix.update(1, &cache_update(0, &[10, 11, 12], &[]));
    prefix.update(2, &cache_update(0, &[10], &[]));
    prefix.update(3, &cache_update(0, &[11, 12], &[]));
    let holders = prefix.holders(&[10, 11, 12, 13]);
    assert_eq!(holders, HashMap::from([(1, 3), (2, 1)]));
    prefix.update(1, &cache_update(3, &[], &[12]));
    assert_eq!(prefix.holders(&[10, 11, 12])[&1], 2);
}

#[test]
fn stale_blocks_after_gap() {
    let mut prefix = prefix::Prefix::default();
    prefix.update(1, &cache_update(0, &[10, 11], &[]));
    prefix.update(2, &cache_update(0, &[10], &[]));
    prefix.update(1, &cache_update(7, &[20], &[]));
    assert_eq!(prefix.holders(&[10, 11]), HashMap::from([(2, 1)]));
    assert_eq!(prefix.holders(&[20]), HashMap::from([(1, 1)]));
    prefix.forget(2);
    assert!(prefix.holders(&[10]).is_empty());
}

#[test]
fn pairs_unbounded() {
    let mut prefix = prefix::Prefix::default();
    let blocks: Vec<u64> = (0..prefix::MAX_PAIRS as u64 + 10_000).collect();
    for part in blocks.chunks(1_000) {
        prefix.learn(1, part);
    }
    assert_eq!(prefix.len(), prefix::MAX_PAIRS);
    assert!(prefix.holders(&[0]).is_empty(), "the oldest are evicted");
    assert_eq!(prefix.holders(&[blocks[blocks.len() - 1]]).len(), 1);
}

#[test]
fn shared_prefix_overloads_holder() {
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
        "an idle fleet must use the servers with the prefix: {servers:?}"
    );
    // Under load, when no request ends, other servers must take requests too.
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
