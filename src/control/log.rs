//! Entries, and the part of the log that a member holds in memory.

use std::collections::VecDeque;

use super::member;
use super::message::Tail;
use super::state;
use crate::wire::agree;

/// Bytes that an entry without texts is taken to have.
const PLAIN_BYTES: usize = 192;

data! {
    /// One entry of the replicated log.
    pub struct Entry {
        /// Place in the log, from 1 without gaps.
        pub index: u64,
        /// Term of the leader that made it.
        pub term: u64,
        /// Replicated clock in milliseconds. Never falls along the log.
        pub clock_ms: u64,
        /// What it says.
        pub payload: Payload,
    }

    /// What an entry says.
    pub enum Payload {
        /// A leader's first entry.
        Noop,
        /// The members from here on.
        Members(member::Membership),
        /// A command to the agreed state.
        Command {
            /// The leader's wall clock in milliseconds since the Unix epoch; for people only.
            wall_ms: u64,
            /// With `Configure`: limits of the state that the new configuration names.
            limits: Option<state::Limits>,
            /// The command.
            command: agree::Command,
        },
    }

    /// What must be durable besides the entries.
    #[derive(Copy, Default)]
    pub struct Hard {
        /// The cluster. 0: none yet.
        pub cluster: u128,
        /// Newest term seen.
        pub term: u64,
        /// Vote given in `term`.
        pub vote: Option<member::Member>,
    }

    /// Stands for all entries up to its tail.
    pub struct Snapshot {
        /// Last entry it stands for.
        pub tail: Tail,
        /// Replicated clock in milliseconds.
        pub clock_ms: u64,
        /// Members at `tail`.
        pub members: member::Membership,
        /// Encoded state. Empty: the first state.
        pub state: Vec<u8>,
    }

    /// What a data folder held at start.
    #[derive(Default)]
    pub struct Saved {
        /// The durable word.
        pub hard: Hard,
        /// The snapshot, if there is one.
        pub snapshot: Option<Snapshot>,
        /// Entries after the snapshot, without gaps.
        pub entries: Vec<Entry>,
        /// Entries up to here were known to be committed.
        pub commit: u64,
    }

    /// Something to write and sync. Writes are carried out in the order of `seq`.
    #[derive(Default)]
    pub struct Write {
        /// Counts up by one.
        pub seq: u64,
        /// Replaces all that was written before.
        pub snapshot: Option<Snapshot>,
        /// The durable word.
        pub hard: Option<Hard>,
        /// Entries up to here are committed. Lets a member that starts again apply them before
        /// it hears a leader.
        pub commit: Option<u64>,
        /// Entries. One with an index that was written before replaces it and all after it.
        pub entries: Vec<Entry>,
    }
}

impl Write {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none()
            && self.hard.is_none()
            && self.commit.is_none()
            && self.entries.is_empty()
    }
}

impl Entry {
    /// About its size in bytes.
    pub fn approx_bytes(&self) -> usize {
        let Payload::Command { command, .. } = &self.payload else {
            return PLAIN_BYTES;
        };
        let text: usize = match command {
            agree::Command::Configure(change) => change.files.iter().map(|f| f.text.len()).sum(),
            agree::Command::Crash { running, .. } => running.len() * 16,
            agree::Command::Claim { key, .. } => key.len(),
            agree::Command::Publish(document) => document.packed.len(),
            _ => 0,
        };
        PLAIN_BYTES + text
    }

    /// Its place and term.
    pub fn tail(&self) -> Tail {
        Tail {
            term: self.term,
            index: self.index,
        }
    }
}

/// The entries that a member holds in memory.
#[derive(Debug, Default)]
pub struct Log {
    /// Last entry before `entries`. Invariant: it is committed.
    base: Tail,
    /// Invariant: indexes ascend by one from `base.index + 1`.
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl Log {
    /// A log that goes on after `base`.
    pub fn new(base: Tail) -> Self {
        Self {
            base,
            ..Self::default()
        }
    }

    /// Last entry that is no longer held.
    pub fn base(&self) -> Tail {
        self.base
    }

    /// Last entry.
    pub fn tail(&self) -> Tail {
        self.entries.back().map_or(self.base, Entry::tail)
    }

    /// Clock of the last entry held.
    pub fn clock_ms(&self) -> u64 {
        self.entries.back().map_or(0, |entry| entry.clock_ms)
    }

    /// About the bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The entry at `index`, if it is held.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.base.index + 1)?;
        self.entries.get(at as usize)
    }

    /// Term of the entry at `index`, if it is known.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Entries after `index`, as many as fit both limits, but at least one if there is one.
    pub fn after(&self, index: u64, max: usize, max_bytes: usize) -> Vec<Entry> {
        let skip = index.saturating_sub(self.base.index) as usize;
        let mut bytes = 0;
        let mut out = Vec::new();
        for entry in self.entries.iter().skip(skip).take(max) {
            bytes += entry.approx_bytes();
            if !out.is_empty() && bytes > max_bytes {
                break;
            }
            out.push(entry.clone());
        }
        out
    }

    /// Appends the next entry.
    pub fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.tail().index + 1, "the log has no gaps");
        self.bytes += entry.approx_bytes();
        self.entries.push_back(entry);
    }

    /// Drops the entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        while self.entries.back().is_some_and(|last| last.index >= index) {
            let last = self.entries.pop_back().expect("there is a last one");
            self.bytes -= last.approx_bytes();
        }
    }

    /// Drops the entries up to and with `index`.
    pub fn compact(&mut self, index: u64) {
        while self.entries.front().is_some_and(|one| one.index <= index) {
            let first = self.entries.pop_front().expect("there is a first one");
            self.bytes -= first.approx_bytes();
            self.base = first.tail();
        }
    }
}
