//! Writes to the disk, and messages held back until a write is synced.

use std::time::Duration;

use super::Raft;
use super::RoleState;
use super::log;
use super::member;
use super::message;

impl Raft {
    /// Reports that all writes up to `seq` are synced.
    pub fn synced(&mut self, now: Duration, seq: u64) {
        self.check_quorum(now);
        self.stalled = false;
        while self.writes.front().is_some_and(|write| write.0 <= seq) {
            let (_, tail, _) = self.writes.pop_front().expect("there is a first one");
            self.durable = self.durable.max(tail);
        }
        while self.awaiting_sync.front().is_some_and(|held| held.0 <= seq) {
            let (_, env) = self
                .awaiting_sync
                .pop_front()
                .expect("there is a first one");
            self.outbox.push(env);
        }
        match &mut self.role {
            RoleState::Candidate {
                granted, own_vote, ..
            } if *own_vote <= seq => {
                granted.insert(self.settings.me);
                self.become_leader_if_elected(now);
            }
            RoleState::Leader(_) => self.advance_commit(),
            _ => {}
        }
    }

    /// Reports that the disk accepts no writes. A later [`Self::synced`] ends this.
    pub fn stall(&mut self, now: Duration) {
        self.stalled = true;
        if !matches!(self.role, RoleState::Follower) {
            self.become_follower(now, self.hard.term);
        }
    }

    /// The next write to carry out, if any.
    pub fn take_write(&mut self) -> Option<log::Write> {
        if self.write.is_empty() {
            return None;
        }
        let next = log::Write {
            seq: self.write.seq + 1,
            ..log::Write::default()
        };
        let mut write = std::mem::replace(&mut self.write, next);
        write.commit = Some(self.commit);
        self.commit_written = self.commit;
        let tail = self.log.tail().index;
        let hard = write.hard.is_some();
        self.writes.push_back((write.seq, tail, hard));
        Some(write)
    }

    /// Whether a snapshot may replace the log up to `index`: it holds no exchange of members.
    pub fn may_compact(&self, index: u64) -> bool {
        let mut newest_first = self.members.iter().rev();
        let members = newest_first.find(|(at, _)| *at <= index);
        members.is_none_or(|(_, members)| members.exchange.is_none())
    }

    /// Stores `state` as the snapshot of the log up to `index`, and drops all entries but the last
    /// `keep` before it from memory. Only if [`Self::may_compact`] allows it.
    pub fn compact(&mut self, index: u64, clock_ms: u64, state: Vec<u8>, keep: u64) {
        let Some(term) = self.log.term(index) else {
            return;
        };
        let members = self.members.iter().rev().find(|(at, _)| *at <= index);
        let members = members
            .map(|(_, membership)| membership.clone())
            .unwrap_or_default();
        let snapshot = log::Snapshot {
            tail: message::Tail { term, index },
            clock_ms,
            members,
            state,
        };
        self.log.compact(index.saturating_sub(keep));
        while self.members.get(1).is_some_and(|(at, _)| *at <= index) {
            self.members.pop_front();
        }
        self.write_snapshot(snapshot);
    }

    pub(super) fn write_snapshot(&mut self, snapshot: log::Snapshot) {
        self.write.entries = self.log.after(snapshot.tail.index, usize::MAX, usize::MAX);
        self.write.hard = Some(self.hard);
        self.write.snapshot = Some(snapshot.clone());
        self.encoded = None;
        self.snapshot = Some(snapshot);
    }

    /// Writes the commit index, unless a write is in flight: the next one will include it.
    pub(super) fn write_commit(&mut self) {
        if self.commit > self.commit_written && self.writes.is_empty() && !self.stalled {
            self.write.commit = Some(self.commit);
        }
    }

    pub(super) fn write_hard(&mut self) {
        self.write.hard = Some(self.hard);
    }

    /// Appends an entry to the log and to the next write.
    pub(super) fn push(&mut self, entry: log::Entry) {
        if let Some(next) = entry.payload.membership(self.membership()) {
            self.members.push_back((entry.index, next));
        }
        self.write.entries.push(entry.clone());
        self.log.push(entry);
    }

    /// Drops the entries from `index` on.
    pub(super) fn truncate(&mut self, index: u64) {
        assert!(index > self.commit, "a committed entry is never dropped");
        self.log.truncate(index);
        while self.members.back().is_some_and(|(at, _)| *at >= index) {
            self.members.pop_back();
        }
        self.durable = self.durable.min(index - 1);
        for write in &mut self.writes {
            write.1 = write.1.min(index - 1);
        }
    }

    /// Sends once everything written so far is synced.
    pub(super) fn send_durable(&mut self, to: member::Member, body: message::Body) {
        let env = self.envelope(to, body);
        let after = if self.write.is_empty() {
            self.writes.back().map(|write| write.0)
        } else {
            Some(self.write.seq)
        };
        match after {
            Some(seq) => self.awaiting_sync.push_back((seq, env)),
            None => self.outbox.push(env),
        }
    }
}
