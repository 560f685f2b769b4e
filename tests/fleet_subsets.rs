//! On a large fleet a request is placed in a part of it: what choosing costs an entry does not grow
//! with the fleet.

use std::collections::BTreeMap;

use wigeonbarrow::direct::load;
use wigeonbarrow::direct::subset;
use wigeonbarrow::direct::subset::Subset;

fn keys(count: usize) -> Vec<u64> {
    (0..count).map(|at| load::key(&format!("i-{at}"))).collect()
}

fn draws(count: usize) -> Vec<u64> {
    (0..count)
        .map(|at| load::key(&format!("request-{at}")))
        .collect()
}

fn size(part: Subset, keys: &[u64]) -> usize {
    keys.iter().filter(|key| part.contains(**key)).count()
}

#[test]
fn small_fleet_whole() {
    for servers in [0, 1, 14, 117, subset::MAX_SERVERS] {
        for draw in draws(20) {
            assert_eq!(Subset::draw(servers, draw), Subset::WHOLE);
        }
    }
    assert!(keys(20).into_iter().all(|key| Subset::WHOLE.contains(key)));
}

/// Without parts each choice weighs all 12,000, and an entry does nothing else.
#[test]
fn choice_grows_with_fleet() {
    for servers in [257, 301, 1_000, 3_000, 12_000] {
        let keys = keys(servers);
        for draw in draws(200) {
            let size = size(Subset::draw(servers, draw), &keys);
            // A fair half of MOST, with room for uneven keys.
            assert!(size >= subset::MAX_SERVERS / 4, "{size} of {servers}");
            assert!(size <= subset::MAX_SERVERS * 3 / 2, "{size} of {servers}");
        }
    }
}

/// Each server belongs to one part, and all parts are drawn about as often.
#[test]
fn all_servers_drawn() {
    let keys = keys(3_000);
    let mut drawn = vec![0_u32; keys.len()];
    let mut parts: BTreeMap<String, u32> = BTreeMap::new();
    let count = 3_200;
    for draw in draws(count) {
        let part = Subset::draw(keys.len(), draw);
        *parts.entry(format!("{part:?}")).or_default() += 1;
        for (at, key) in keys.iter().enumerate() {
            drawn[at] += u32::from(part.contains(*key));
        }
    }
    let mean = count as u32 / parts.len() as u32;
    assert_eq!(parts.len(), 16);
    let fair = mean / 2..mean * 2;
    assert!(parts.values().all(|one| fair.contains(one)), "{parts:?}");
    assert!(drawn.iter().all(|one| fair.contains(one)));
}

/// A fleet that loses most of its servers is one part again.
#[test]
fn shrunk_fleet_whole() {
    let draw = load::key("request");
    let large = Subset::draw(3_000, draw);
    assert_ne!(large, Subset::WHOLE);
    assert_eq!(Subset::draw(200, draw), Subset::WHOLE);
    // A part of a smaller fleet holds all servers of the same draw's part of a larger one.
    let middle = Subset::draw(1_000, draw);
    let of_large = keys(3_000).into_iter().filter(|key| large.contains(*key));
    assert!(of_large.into_iter().all(|key| middle.contains(key)));
}
