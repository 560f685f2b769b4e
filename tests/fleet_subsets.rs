//! On a large fleet a request is placed in a subset, so that the cost of a choice does not grow
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

fn size(subset: Subset, keys: &[u64]) -> usize {
    keys.iter().filter(|key| subset.contains(**key)).count()
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

/// Without subsets each choice compares all 12,000 servers, and an entry does nothing else.
#[test]
fn choice_grows_with_fleet() {
    for servers in [257, 301, 1_000, 3_000, 12_000] {
        let keys = keys(servers);
        for draw in draws(200) {
            let size = size(Subset::draw(servers, draw), &keys);
            // Half of MAX_SERVERS on average, with allowance for uneven keys.
            assert!(size >= subset::MAX_SERVERS / 4, "{size} of {servers}");
            assert!(size <= subset::MAX_SERVERS * 3 / 2, "{size} of {servers}");
        }
    }
}

/// Each server belongs to one subset, and all subsets are drawn about as often.
#[test]
fn all_servers_drawn() {
    let keys = keys(3_000);
    let mut drawn = vec![0_u32; keys.len()];
    let mut subsets: BTreeMap<String, u32> = BTreeMap::new();
    let count = 3_200;
    for draw in draws(count) {
        let subset = Subset::draw(keys.len(), draw);
        *subsets.entry(format!("{subset:?}")).or_default() += 1;
        for (at, key) in keys.iter().enumerate() {
            drawn[at] += u32::from(subset.contains(*key));
        }
    }
    let mean = count as u32 / subsets.len() as u32;
    assert_eq!(subsets.len(), 16);
    let fair = mean / 2..mean * 2;
    assert!(
        subsets.values().all(|count| fair.contains(count)),
        "{subsets:?}"
    );
    assert!(drawn.iter().all(|count| fair.contains(count)));
}

/// A fleet that loses most of its servers is one subset again.
#[test]
fn shrunk_fleet_whole() {
    let draw = load::key("request");
    let large = Subset::draw(3_000, draw);
    assert_ne!(large, Subset::WHOLE);
    assert_eq!(Subset::draw(200, draw), Subset::WHOLE);
    // A subset of a smaller fleet contains all servers of the same draw's subset of a larger one.
    let middle = Subset::draw(1_000, draw);
    let of_large = keys(3_000).into_iter().filter(|key| large.contains(*key));
    assert!(of_large.into_iter().all(|key| middle.contains(key)));
}
