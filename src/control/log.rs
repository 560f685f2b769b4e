//! Log entries, what is made durable, and the part of the log that a member holds in memory.

use std::collections::VecDeque;

use super::member;
use super::message::Tail;
use super::state;
use crate::wire::agree;

/// Assumed size of an entry besides its variable-length fields.
const BASE_ENTRY_BYTES: usize = 192;

data! {
    /// One entry of the replicated log.
    pub struct Entry {
        /// Index in the log, from 1 without gaps.
        pub index: u64,
        /// Term of the leader that created it.
        pub term: u64,
        /// Replicated clock in milliseconds. Never decreases along the log.
        pub clock_ms: u64,
        /// Content.
        pub payload: Payload,
    }

    /// Content of an entry.
    pub enum Payload {
        /// First entry of a leader's term.
        Noop,
        /// The membership from this entry on.
        Members(member::Membership),
        /// A command to the replicated state.
        Command {
            /// The leader's wall clock in milliseconds since the Unix epoch. For display only.
            wall_ms: u64,
            /// With `Configure`: limits that the new configuration sets for the state.
            limits: Option<state::Limits>,
            /// The command.
            command: agree::Command,
        },
        /// Begins an exchange of the membership in force. A `Members` entry completes it.
        Exchange(member::Exchange),
    }

    /// Raft's hard state: what must be durable besides the entries.
    #[derive(Copy, Default)]
    pub struct Hard {
        /// Identifier of the cluster. 0: none yet.
        pub cluster: u128,
        /// Newest term seen.
        pub term: u64,
        /// Vote given in `term`.
        pub vote: Option<member::Member>,
    }

    /// Replaces all entries up to and including its tail.
    pub struct Snapshot {
        /// Last entry that it replaces.
        pub tail: Tail,
        /// Replicated clock in milliseconds.
        pub clock_ms: u64,
        /// Membership at `tail`.
        pub members: member::Membership,
        /// Encoded state. Empty: the initial state.
        pub state: Vec<u8>,
    }

    /// What a data folder held at start.
    #[derive(Default)]
    pub struct Saved {
        /// The hard state.
        pub hard: Hard,
        /// The newest snapshot, if any.
        pub snapshot: Option<Snapshot>,
        /// Entries after the snapshot, without gaps.
        pub entries: Vec<Entry>,
        /// Entries up to here were known to be committed.
        pub commit: u64,
    }

    /// Data to write and sync. Writes are carried out in the order of `seq`.
    #[derive(Default)]
    pub struct Write {
        /// Sequence number, without gaps.
        pub seq: u64,
        /// Replaces everything written before.
        pub snapshot: Option<Snapshot>,
        /// The hard state, if it changed.
        pub hard: Option<Hard>,
        /// Entries up to here are committed. Lets a restarted member apply them before it has
        /// contact with a leader.
        pub commit: Option<u64>,
        /// Entries. An entry whose index was written before replaces that entry and all after it.
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

impl Payload {
    /// The membership from this entry on, if it changes. `current`: the one before it.
    pub fn membership(&self, current: &member::Membership) -> Option<member::Membership> {
        match self {
            Self::Members(next) => Some(next.clone()),
            Self::Exchange(exchange) => Some(member::Membership {
                exchange: Some(Box::new(*exchange)),
                ..current.clone()
            }),
            Self::Noop | Self::Command { .. } => None,
        }
    }
}

impl Entry {
    /// Approximate size in bytes.
    pub fn approx_bytes(&self) -> usize {
        let Payload::Command { command, .. } = &self.payload else {
            return BASE_ENTRY_BYTES;
        };
        let text: usize = match command {
            agree::Command::Configure(change) => change.files.iter().map(|f| f.text.len()).sum(),
            agree::Command::Crash { running, .. } => running.len() * 16,
            agree::Command::Claim { key, .. } => key.len(),
            agree::Command::Publish(document) => document.packed.len(),
            _ => 0,
        };
        BASE_ENTRY_BYTES + text
    }

    /// Its term and index.
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
    /// An empty log that continues after `base`.
    pub fn new(base: Tail) -> Self {
        Self {
            base,
            ..Self::default()
        }
    }

    /// Last entry before those held.
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

    /// Approximate size of the entries held.
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

    /// Entries after `index` within both limits, but at least one if there is any.
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

    /// Drops the entries up to and including `index`.
    pub fn compact(&mut self, index: u64) {
        while self
            .entries
            .front()
            .is_some_and(|first| first.index <= index)
        {
            let first = self.entries.pop_front().expect("there is a first one");
            self.bytes -= first.approx_bytes();
            self.base = first.tail();
        }
    }
}
