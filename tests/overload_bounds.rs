//! What callers may hold of a process: the parts of a machine, and which connection yields.

use std::time::Duration;

use assert_matches::assert_matches;
use proptest::prelude::*;
use wigeonbarrow::overload;
use wigeonbarrow::overload::Verdict;

const HEAD: usize = 16 << 10;

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn machine(memory_mb: usize, descriptors: usize) -> overload::Machine {
    overload::Machine {
        memory: memory_mb << 20,
        descriptors,
    }
}

/// All listeners of a process together stay within the machine, with a descriptor left for each
/// caller's connection to its backend server.
#[test]
fn parts_fit_machine() {
    for (memory_mb, descriptors) in [(64, 512), (160, 4_100), (260, 4_100), (512, 16_384)] {
        let machine = machine(memory_mb, descriptors);
        let connections = |users| machine.bounds(users).connections(HEAD);
        let callers = connections(overload::Users::Callers);
        let others =
            connections(overload::Users::Operators) + 2 * connections(overload::Users::Status);
        assert!(2 * callers + others <= descriptors - 200);
        let bodies = machine.bounds(overload::Users::Callers).bodies
            + machine.bounds(overload::Users::Operators).bodies;
        let buffers = (callers + others) * 3 * HEAD;
        assert!(bodies + buffers <= machine.memory * 2 / 3);
    }
}

/// The smallest machine of a deployment serves far more connections than its callers open.
#[test]
fn usual_callers_fit() {
    let bounds = machine(160, 4_100).bounds(overload::Users::Callers);
    assert!(bounds.connections(HEAD) >= 512);
    assert!(bounds.bodies >= 8 * (4 << 20));
}

#[test]
fn longest_wait_yields() {
    let mut connections = overload::Connections::default();
    for at in 0..3 {
        assert_eq!(connections.admit(millis(at), 3), Verdict::Admitted(at));
    }
    connections.serve(0);
    connections.wait(1, millis(10));
    assert_eq!(connections.admit(millis(11), 3), Verdict::Yields(2));
    assert_eq!(connections.admit(millis(12), 3), Verdict::Yields(1));
    connections.close(2);
    assert_eq!(connections.admit(millis(13), 3), Verdict::Admitted(3));
}

#[test]
fn served_never_yields() {
    let mut connections = overload::Connections::default();
    connections.admit(millis(0), 1);
    connections.serve(0);
    assert_eq!(connections.admit(millis(1), 1), Verdict::Refused);
    connections.wait(0, millis(2));
    assert_matches!(connections.admit(millis(3), 1), Verdict::Yields(0));
}

proptest! {
    /// Whatever connections do, no more are open than allowed, and only one that waits yields.
    #[test]
    fn bound_always_holds(steps in prop::collection::vec((0_u8..4, 0_u64..8), 1..200)) {
        let mut connections = overload::Connections::default();
        let mut waiting = std::collections::BTreeSet::new();
        for (at, (step, id)) in steps.into_iter().enumerate() {
            let now = millis(at as u64);
            match step {
                0 => match connections.admit(now, 4) {
                    Verdict::Admitted(id) => {
                        waiting.insert(id);
                    }
                    Verdict::Yields(id) => prop_assert!(waiting.remove(&id)),
                    Verdict::Refused => prop_assert!(waiting.is_empty()),
                },
                1 => {
                    connections.serve(id);
                    waiting.remove(&id);
                }
                2 => {
                    connections.close(id);
                    waiting.remove(&id);
                }
                _ => {}
            }
            prop_assert!(connections.len() <= 4);
        }
    }
}
