//! Replication of entries and snapshots from the leader, and the commit index.

use std::time::Duration;

use bytes::Bytes;

use super::Incoming;
use super::Progress;
use super::Raft;
use super::RoleState;
use super::log;
use super::member;
use super::message::Body;
use super::message::Tail;
use super::watch::Rejections;

/// Limit of entries sent to a follower and not yet acknowledged.
const MAX_IN_FLIGHT_ENTRIES: u64 = 8_192;

/// Limit of entries in one message.
const MAX_BATCH_ENTRIES: usize = 1_024;

/// Limit of the bytes of entries in one message, if it holds more than one entry.
const MAX_BATCH_BYTES: usize = 1 << 20;

/// Size of a snapshot chunk.
const SNAPSHOT_CHUNK_BYTES: usize = 1 << 20;

/// Largest snapshot that a follower accepts.
const MAX_SNAPSHOT_BYTES: u64 = 512 << 20;

/// Number of uncommitted entries from which on a leader rejects proposals.
const MAX_UNCOMMITTED_ENTRIES: u64 = 16_384;

/// Number of unsynced writes from which on a follower accepts no more entries.
const MAX_UNSYNCED_WRITES: usize = 64;

impl Progress {
    pub(super) fn new(now: Duration, tail: u64) -> Self {
        Self {
            matched: 0,
            next: tail + 1,
            probing: false,
            since: now,
            last_sent: Duration::ZERO,
            last_answered: now,
            snapshot: None,
            rejections: Rejections::default(),
        }
    }

    /// The follower has synced all entries up to `index`.
    fn record_agreed(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        // An answer to an older message does not confirm the entry just before `next`.
        if self.next == self.matched + 1 {
            self.probing = false;
        }
    }

    /// The follower rejected an append; the logs may agree up to `index`.
    ///
    /// It does not matter which message was rejected: while probing, `next` only decreases, so
    /// late, duplicate and reordered rejections have no effect and each new one makes progress.
    /// Rejections must not be told apart by send time: clocks are finer than the time on the wire,
    /// so every second rejection would seem outdated and a former leader would never agree.
    fn record_rejected(&mut self, index: u64) {
        self.rejections.count += 1;
        self.rejections.may_agree = Some(index);
        let next = self.next.min(index + 1).max(self.matched + 1);
        if self.probing && next == self.next {
            self.rejections.ignored += 1;
            return;
        }
        self.next = next;
        self.probing = true;
        // Makes the next message due at once.
        self.last_sent = Duration::ZERO;
    }
}

impl Raft {
    /// Appends a payload to the log and returns its index. `None` if this member does not lead or
    /// cannot accept proposals now. The proposal succeeded once this index is committed in the
    /// current term.
    pub fn propose(&mut self, now: Duration, payload: log::Payload) -> Option<u64> {
        self.check_quorum(now);
        let RoleState::Leader(lead) = &self.role else {
            return None;
        };
        let uncommitted = self.log.tail().index - self.commit;
        if lead.successor.is_some() || self.stalled || uncommitted >= MAX_UNCOMMITTED_ENTRIES {
            return None;
        }
        self.propose_payload(now, payload)
    }

    pub(super) fn propose_payload(&mut self, now: Duration, payload: log::Payload) -> Option<u64> {
        if !matches!(self.role, RoleState::Leader(_)) {
            return None;
        }
        let index = self.log.tail().index + 1;
        let is_members = payload.membership(self.membership()).is_some();
        self.push(log::Entry {
            index,
            term: self.hard.term,
            clock_ms: self.clock_ms(now).max(self.log.clock_ms()),
            payload,
        });
        if is_members {
            self.update_peers(now);
        }
        Some(index)
    }

    /// Sends each follower the entries it lacks, or a heartbeat if one is due.
    pub fn replicate(&mut self, now: Duration) {
        let RoleState::Leader(lead) = &self.role else {
            return;
        };
        let members: Vec<member::Member> = lead.peers.keys().copied().collect();
        for member in members {
            self.replicate_to(now, member);
        }
        self.hand_over_if_ready(now);
    }

    fn replicate_to(&mut self, now: Duration, to: member::Member) {
        let heartbeat = self.settings.timing.heartbeat;
        let base = self.log.base().index;
        let tail = self.log.tail().index;
        loop {
            let RoleState::Leader(lead) = &mut self.role else {
                return;
            };
            let Some(peer) = lead.peers.get_mut(&to) else {
                return;
            };
            if peer.next <= base {
                return self.send_chunk(now, to);
            }
            peer.snapshot = None;
            let in_flight = peer.next - 1 - peer.matched;
            let has_entries_to_send =
                !peer.probing && peer.next <= tail && in_flight < MAX_IN_FLIGHT_ENTRIES;
            let due = now >= peer.last_sent + heartbeat;
            if !has_entries_to_send && !due {
                return;
            }
            self.send_append(now, to, has_entries_to_send);
        }
    }

    fn send_append(&mut self, now: Duration, to: member::Member, with_entries: bool) {
        let RoleState::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(peer) = lead.peers.get_mut(&to) else {
            return;
        };
        let index = peer.next - 1;
        let term = self.log.term(index).expect("the log holds what is next");
        let entries = if with_entries {
            self.log.after(index, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES)
        } else {
            Vec::new()
        };
        peer.next += entries.len() as u64;
        peer.last_sent = now;
        let body = Body::Append {
            prev: Tail { term, index },
            entries,
            commit: self.commit,
            sent: now.as_micros() as u64,
            clock_ms: self.clock_ms(now),
        };
        self.send(to, body);
    }

    /// Follower: handles the leader's entries.
    pub(super) fn handle_append(&mut self, now: Duration, from: member::Member, body: Body) {
        let Body::Append {
            prev,
            entries,
            commit,
            sent,
            clock_ms,
        } = body
        else {
            return;
        };
        self.observe_leader(now, from, clock_ms);
        if self.stalled || self.writes.len() >= MAX_UNSYNCED_WRITES {
            return;
        }
        let known = prev.index <= self.commit || self.log.term(prev.index) == Some(prev.term);
        if !known {
            let index = self.last_possible_match(prev.index);
            let agreed = false;
            return self.send(
                from,
                Body::Appended {
                    agreed,
                    index,
                    sent,
                },
            );
        }
        let matched = prev.index + entries.len() as u64;
        let is_heartbeat = entries.is_empty();
        for entry in entries {
            self.store_entry(entry);
        }
        self.commit = self.commit.max(commit.min(matched));
        if is_heartbeat && self.hard_is_synced() {
            let index = matched.min(self.durable);
            let agreed = true;
            return self.send(
                from,
                Body::Appended {
                    agreed,
                    index,
                    sent,
                },
            );
        }
        let agreed = true;
        let index = matched;
        self.send_durable(
            from,
            Body::Appended {
                agreed,
                index,
                sent,
            },
        );
    }

    /// Records contact with the leader.
    fn observe_leader(&mut self, now: Duration, from: member::Member, clock_ms: u64) {
        if !matches!(self.role, RoleState::Follower) {
            self.become_follower(now, self.hard.term);
        }
        self.leader = Some(from);
        self.last_heard = Some(now);
        self.clock = (self.clock_ms(now).max(clock_ms), now);
        self.reset_election_timer(now);
    }

    /// The last index below `rejected` where the leader's log may agree with this one. Skips all
    /// entries of the conflicting term, so a long tail takes one rejection for each term.
    fn last_possible_match(&self, rejected: u64) -> u64 {
        let tail = self.log.tail().index;
        if rejected > tail {
            return tail;
        }
        let term = self.log.term(rejected);
        let mut index = rejected - 1;
        while index > self.commit && self.log.term(index) == term {
            index -= 1;
        }
        index
    }

    /// Whether the newest term and vote are synced.
    pub(super) fn hard_is_synced(&self) -> bool {
        self.write.hard.is_none() && !self.writes.iter().any(|(_, _, hard)| *hard)
    }

    fn store_entry(&mut self, entry: log::Entry) {
        if entry.index <= self.commit || self.log.term(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.tail().index {
            self.truncate(entry.index);
        }
        self.push(entry);
    }

    /// Leader: handles a follower's answer to an append.
    pub(super) fn handle_appended(
        &mut self,
        now: Duration,
        from: member::Member,
        agreed: bool,
        index: u64,
        sent: u64,
    ) {
        let sent = Duration::from_micros(sent);
        let RoleState::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(peer) = lead.peers.get_mut(&from) else {
            return;
        };
        peer.last_answered = peer.last_answered.max(sent);
        if agreed {
            peer.record_agreed(index);
            self.advance_commit();
        } else {
            peer.record_rejected(index);
        }
        self.replicate_to(now, from);
        self.hand_over_if_ready(now);
    }

    /// Advances the commit index to what a quorum has synced, if that entry is of this term.
    pub(super) fn advance_commit(&mut self) {
        let RoleState::Leader(lead) = &self.role else {
            return;
        };
        let me = self.me();
        let reached = self
            .membership()
            .quorum_value(|member| match lead.peers.get(member) {
                _ if *member == me => self.durable,
                Some(peer) => peer.matched,
                None => 0,
            });
        let Some(reached) = reached else {
            return;
        };
        if reached > self.commit && self.log.term(reached) == Some(self.hard.term) {
            self.commit = reached;
        }
    }

    /// Sends the next chunk of the snapshot, or the last one again if it was not acknowledged in
    /// time.
    fn send_chunk(&mut self, now: Duration, to: member::Member) {
        let retry = self.settings.timing.heartbeat * 5;
        let Some((tail, data)) = self.encoded_snapshot() else {
            return;
        };
        let RoleState::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(peer) = lead.peers.get_mut(&to) else {
            return;
        };
        let offset = match peer.snapshot {
            Some((index, _, at)) if index == tail.index && now < at + retry => return,
            Some((index, offset, _)) if index == tail.index => offset,
            _ => 0,
        };
        peer.snapshot = Some((tail.index, offset, now));
        peer.last_sent = now;
        let start = offset as usize;
        let end = data.len().min(start + SNAPSHOT_CHUNK_BYTES);
        let body = Body::Snapshot {
            tail,
            total: data.len() as u64,
            offset,
            data: data.slice(start..end),
            sent: now.as_micros() as u64,
        };
        self.send(to, body);
    }

    fn encoded_snapshot(&mut self) -> Option<(Tail, Bytes)> {
        let snapshot = self.snapshot.as_ref()?;
        let tail = snapshot.tail;
        if let Some((index, data)) = &self.encoded
            && *index == tail.index
        {
            return Some((tail, data.clone()));
        }
        let conf = bincode::config::standard();
        let data = bincode::serde::encode_to_vec(snapshot, conf).expect("a snapshot encodes");
        let data = Bytes::from(data);
        self.encoded = Some((tail.index, data.clone()));
        Some((tail, data))
    }

    /// Follower: handles a chunk of a snapshot.
    pub(super) fn receive_chunk(&mut self, now: Duration, from: member::Member, body: Body) {
        let Body::Snapshot {
            tail,
            total,
            offset,
            data,
            sent,
        } = body
        else {
            return;
        };
        self.observe_leader(now, from, 0);
        if self.stalled || self.writes.len() >= MAX_UNSYNCED_WRITES || total > MAX_SNAPSHOT_BYTES {
            return;
        }
        if tail.index <= self.commit {
            let (agreed, index) = (true, self.commit.min(self.durable));
            return self.send_durable(
                from,
                Body::Appended {
                    agreed,
                    index,
                    sent,
                },
            );
        }
        let incoming = match &mut self.incoming {
            Some(incoming) if incoming.tail == tail => incoming,
            slot => slot.insert(Incoming {
                tail,
                data: Vec::new(),
            }),
        };
        if offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&data);
        }
        if (incoming.data.len() as u64) < total {
            let (index, offset) = (tail.index, incoming.data.len() as u64);
            return self.send(
                from,
                Body::Took {
                    index,
                    offset,
                    sent,
                },
            );
        }
        let data = std::mem::take(&mut incoming.data);
        self.incoming = None;
        if let Some(snapshot) = decode(&data) {
            self.install_snapshot(snapshot);
            let (agreed, index) = (true, tail.index);
            self.send_durable(
                from,
                Body::Appended {
                    agreed,
                    index,
                    sent,
                },
            );
        }
    }

    fn install_snapshot(&mut self, snapshot: log::Snapshot) {
        let tail = snapshot.tail;
        if self.log.term(tail.index) == Some(tail.term) {
            self.log.compact(tail.index);
            self.members.retain(|(at, _)| *at > tail.index);
        } else {
            self.log = log::Log::new(tail);
            self.members.clear();
        }
        let members = snapshot.members.clone();
        self.members.push_front((tail.index, members));
        // No entry counts as synced here until the snapshot itself is.
        self.durable = 0;
        for write in &mut self.writes {
            write.1 = 0;
        }
        self.commit = tail.index;
        self.clock.0 = self.clock.0.max(snapshot.clock_ms);
        self.write_snapshot(snapshot);
        self.restored = true;
    }

    /// Leader: handles a follower's acknowledgement of a snapshot chunk.
    pub(super) fn handle_took(
        &mut self,
        now: Duration,
        from: member::Member,
        index: u64,
        offset: u64,
        sent: u64,
    ) {
        let RoleState::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(peer) = lead.peers.get_mut(&from) else {
            return;
        };
        peer.last_answered = peer.last_answered.max(Duration::from_micros(sent));
        if let Some((under_way, arrived, at)) = &mut peer.snapshot
            && *under_way == index
            && *arrived != offset
        {
            *arrived = offset;
            *at = Duration::ZERO;
        }
        self.replicate_to(now, from);
    }
}

fn decode(data: &[u8]) -> Option<log::Snapshot> {
    let conf = bincode::config::standard().with_limit::<{ MAX_SNAPSHOT_BYTES as usize }>();
    let (snapshot, used) = bincode::serde::decode_from_slice(data, conf).ok()?;
    (used == data.len()).then_some(snapshot)
}
