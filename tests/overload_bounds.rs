//! What callers may hold of a process: the parts of a machine, and which connection yields.

use std::time::Duration;

use assert_matches::assert_matches;
use proptest::prelude::*;
use wigeonbarrow::overload;
use wigeonbarrow::overload::Grant;
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
        assert!(bodies + buffers + machine.responses() <= machine.memory * 9 / 10);
    }
}

/// The smallest machine of a deployment serves far more connections than its callers open.
#[test]
fn usual_callers_fit() {
    let bounds = machine(160, 4_100).bounds(overload::Users::Callers);
    assert!(bounds.connections(HEAD) >= 512);
    assert!(bounds.bodies >= 8 * (4 << 20));
}

/// A configuration with a huge limit on heads leaves room for ordinary callers.
#[test]
fn huge_heads_bounded() {
    let bounds = machine(160, 4_100).bounds(overload::Users::Callers);
    assert_eq!(bounds.head_bytes(HEAD), HEAD);
    let huge = bounds.head_bytes(1 << 30);
    assert!(bounds.connections(huge) >= 16);
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

const KIB: usize = 1 << 10;

/// Memory for bodies of 100 KiB beyond what each holds of its own.
fn memory() -> overload::Memory {
    overload::Memory::new(100 * KIB)
}

/// Begins a body and receives so many bytes at once.
fn begin(memory: &mut overload::Memory, at: u64, bytes: usize) -> u64 {
    let id = memory.begin(millis(at));
    memory.receive(millis(at), id, bytes);
    id
}

#[test]
fn stalled_body_yields() {
    let mut memory = memory();
    let held = begin(&mut memory, 0, 90 * KIB);
    assert_eq!(memory.grow(millis(0), held, 98 * KIB), Grant::Granted);
    let other = begin(&mut memory, 2_000, 20 * KIB);
    assert_eq!(
        memory.grow(millis(2_000), other, 40 * KIB),
        Grant::Yields(held)
    );
    // One that has been told to end is not told again.
    assert_eq!(memory.grow(millis(2_001), other, 40 * KIB), Grant::Waits);
    memory.abandon(held);
    assert_eq!(memory.grow(millis(2_002), other, 40 * KIB), Grant::Granted);
}

#[test]
fn slower_body_yields() {
    let mut memory = memory();
    let slow = begin(&mut memory, 0, 90 * KIB);
    assert_eq!(memory.grow(millis(0), slow, 98 * KIB), Grant::Granted);
    memory.receive(millis(9_900), slow, 4 * KIB);
    let fast = begin(&mut memory, 10_000, 20 * KIB);
    assert_eq!(
        memory.grow(millis(10_000), fast, 40 * KIB),
        Grant::Yields(slow)
    );
}

#[test]
fn faster_body_stays() {
    let mut memory = memory();
    let fast = begin(&mut memory, 0, 90 * KIB);
    assert_eq!(memory.grow(millis(0), fast, 98 * KIB), Grant::Granted);
    let slow = begin(&mut memory, 0, 10 * KIB);
    assert_eq!(memory.grow(millis(100), slow, 40 * KIB), Grant::Waits);
}

/// A request that is being served keeps its body.
#[test]
fn whole_body_stays() {
    let mut memory = memory();
    let whole = begin(&mut memory, 0, 98 * KIB);
    assert_eq!(memory.grow(millis(0), whole, 98 * KIB), Grant::Granted);
    let bytes = memory.finish(whole);
    let other = begin(&mut memory, 5_000, 20 * KIB);
    assert_eq!(memory.grow(millis(5_000), other, 40 * KIB), Grant::Waits);
    memory.release(bytes);
    assert_eq!(memory.grow(millis(5_001), other, 40 * KIB), Grant::Granted);
}

/// What a body holds of its own counts as its connection's.
#[test]
fn small_body_fits() {
    let mut memory = memory();
    let held = begin(&mut memory, 0, 100 * KIB);
    assert_eq!(memory.grow(millis(0), held, 108 * KIB), Grant::Granted);
    let small = begin(&mut memory, 0, 4 * KIB);
    assert_eq!(memory.grow(millis(0), small, 8 * KIB), Grant::Granted);
    assert_eq!(memory.used(), 100 * KIB);
}

proptest! {
    /// Whatever bodies do, no more is used than there is, and all of it is given back.
    #[test]
    fn memory_always_holds(steps in prop::collection::vec((0_u8..5, 0_u64..12, 1_usize..64), 1..200)) {
        let mut memory = memory();
        let mut whole = Vec::new();
        for (at, (step, id, kib)) in steps.into_iter().enumerate() {
            let now = millis(at as u64 * 100);
            match step {
                0 => {
                    memory.begin(now);
                }
                1 => {
                    memory.receive(now, id, kib * KIB);
                }
                2 => {
                    if let Grant::Yields(other) = memory.grow(now, id, kib * KIB) {
                        prop_assert_ne!(other, id);
                    }
                }
                3 => memory.abandon(id),
                _ => whole.push(memory.finish(id)),
            }
            prop_assert!(memory.used() <= 100 * KIB);
        }
        (0..200).for_each(|id| memory.abandon(id));
        for bytes in whole {
            memory.release(bytes);
        }
        prop_assert_eq!(memory.used(), 0);
    }
}
