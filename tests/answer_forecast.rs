//! How long answers are expected to be written, by what was seen of others.

use std::time::Duration;

use wigeonbarrow::direct::writing::Writing;

const SECOND: Duration = Duration::from_secs(1);

fn after(ratios: &[f64]) -> Duration {
    let mut writing = Writing::default();
    for ratio in ratios {
        writing.observe("pool", SECOND.mul_f64(*ratio), SECOND);
    }
    writing.upper_bound("pool", SECOND)
}

#[test]
fn unseen_service() {
    let writing = Writing::default();
    assert!(
        writing.upper_bound("pool", SECOND) > SECOND,
        "servers read beside writing"
    );
    assert_eq!(writing.upper_bound("pool", Duration::ZERO), Duration::ZERO);
}

#[test]
fn learns_pace() {
    let steady = after(&[3.0; 100]);
    assert!(
        steady > SECOND * 29 / 10 && steady < SECOND * 33 / 10,
        "{steady:?}"
    );
    let mixed: Vec<f64> = (0..100).map(|one| f64::from(one % 5) + 1.0).collect();
    assert!(
        after(&mixed) > SECOND * 35 / 10,
        "most of them, not the half"
    );
}

/// One answer that was far longer than its caller thought does not turn the next ones away.
#[test]
fn one_outlier() {
    let mut ratios = vec![1.0; 50];
    ratios.push(1e6);
    assert!(after(&ratios) < SECOND * 2);
}

#[test]
fn services_apart() {
    let mut writing = Writing::default();
    for _ in 0..50 {
        writing.observe("slow", SECOND * 5, SECOND);
    }
    assert!(writing.upper_bound("slow", SECOND) > SECOND * 4);
    assert_eq!(
        writing.upper_bound("pool", SECOND),
        Writing::default().upper_bound("pool", SECOND)
    );
    writing.observe("pool", SECOND, Duration::ZERO);
    assert_eq!(
        writing.upper_bound("pool", SECOND),
        Writing::default().upper_bound("pool", SECOND)
    );
}

#[test]
fn mean_below_most() {
    let mut writing = Writing::default();
    for at in 0..100 {
        writing.observe("pool", SECOND * (1 + at % 4), SECOND);
    }
    let mean = writing.mean("pool", SECOND);
    assert!(mean > SECOND * 2 && mean < SECOND * 3, "{mean:?}");
    assert!(mean < writing.upper_bound("pool", SECOND));
}
