//! Expected time to write an answer, learned from earlier answers.

use std::time::Duration;

use wigeonbarrow::direct::writing::Writing;

const SECOND: Duration = Duration::from_secs(1);

fn learned(ratios: &[f64]) -> Duration {
    let mut writing = Writing::default();
    for ratio in ratios {
        writing.observe("pool", SECOND.mul_f64(*ratio), SECOND);
    }
    writing.upper_bound("pool", SECOND)
}

#[test]
fn unknown_service() {
    let writing = Writing::default();
    assert!(
        writing.upper_bound("pool", SECOND) > SECOND,
        "servers read prompts while they write"
    );
    assert_eq!(writing.upper_bound("pool", Duration::ZERO), Duration::ZERO);
}

#[test]
fn learns_pace() {
    let steady = learned(&[3.0; 100]);
    assert!(
        steady > SECOND * 29 / 10 && steady < SECOND * 33 / 10,
        "{steady:?}"
    );
    let mixed: Vec<f64> = (0..100).map(|at| f64::from(at % 5) + 1.0).collect();
    assert!(
        learned(&mixed) > SECOND * 35 / 10,
        "it must cover most answers, not half of them"
    );
}

/// One answer that is far longer than its caller estimated must not cause later requests to be
/// rejected.
#[test]
fn one_outlier() {
    let mut ratios = vec![1.0; 50];
    ratios.push(1e6);
    assert!(learned(&ratios) < SECOND * 2);
}

#[test]
fn services_independent() {
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
fn mean_below_upper_bound() {
    let mut writing = Writing::default();
    for at in 0..100 {
        writing.observe("pool", SECOND * (1 + at % 4), SECOND);
    }
    let mean = writing.mean("pool", SECOND);
    assert!(mean > SECOND * 2 && mean < SECOND * 3, "{mean:?}");
    assert!(mean < writing.upper_bound("pool", SECOND));
}
