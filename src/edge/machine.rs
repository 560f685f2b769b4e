//! The limits of the machine on this process, as the system reports them.

use std::fs;

use crate::overload;

/// Memory that is assumed where the system reports none, in bytes.
const ASSUMED_MEMORY: usize = 1 << 30;

/// Descriptors that are assumed where the system reports none.
const ASSUMED_DESCRIPTORS: usize = 1_024;

/// Reads the machine's memory and this process's limit on open files.
pub fn read() -> overload::Machine {
    let memory = fs::read_to_string("/proc/meminfo").ok();
    let limits = fs::read_to_string("/proc/self/limits").ok();
    overload::Machine {
        memory: memory
            .and_then(|text| field(&text, "MemTotal:"))
            .map_or(ASSUMED_MEMORY, |kib| kib << 10),
        descriptors: limits
            .and_then(|text| field(&text, "Max open files"))
            .unwrap_or(ASSUMED_DESCRIPTORS),
    }
}

/// The first number after `name`.
fn field(text: &str, name: &str) -> Option<usize> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}
