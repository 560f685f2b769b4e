//! Replication: entries from the leader to its followers, and what is committed.

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
use super::watch::Refusals;

/// Entries sent to a follower and not yet acknowledged.
const MAX_IN_FLIGHT: u64 = 8_192;

/// Entries in one message.
const MAX_BATCH: usize = 1_024;

/// Bytes of entries in one message, if it holds more than one entry.
const MAX_BATCH_BYTES: usize = 1 << 20;

/// Bytes in one piece of a snapshot.
const PIECE: usize = 1 << 20;

/// Largest snapshot taken in.
const MAX_SNAPSHOT: u64 = 512 << 20;

/// Entries in the leader's log that are not committed; above, proposals are refused.
const MAX_UNCOMMITTED: u64 = 16_384;

/// Writes handed out and not synced; above, a follower takes nothing more.
const MAX_WRITES: usize = 64;

impl Progress {
    pub(super) fn new(now: Duration, tail: u64) -> Self {
        Self {
            matched: 0,
            next: tail + 1,
            probing: false,
            sent: Duration::ZERO,
            answered: now,
            snapshot: None,
            refusals: Refusals::default(),
        }
    }

    /// All up to `index` is synced there.
    fn agreed(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        // An answer to an older message says nothing of what comes just before `next`.
        if self.next == self.matched + 1 {
            self.probing = false;
        }
    }

    /// It refused a message; the logs may agree up to `index`.
    ///
    /// Which message it was is not asked: while it is probed `next` falls and never rises, so
    /// late, doubled and reordered refusals change nothing and each new one brings it nearer.
    /// Told apart by their time of sending they must not be: where clocks are finer than the time
    /// on the wire, every second one seems too old, and a former leader never agrees.
    fn refused(&mut self, index: u64) {
        self.refusals.count += 1;
        self.refusals.may_agree = Some(index);
        let next = self.next.min(index + 1).max(self.matched + 1);
        if self.probing && next == self.next {
            self.refusals.ignored += 1;
            return;
        }
        self.next = next;
        self.probing = true;
        // The next message goes at once.
        self.sent = Duration::ZERO;
    }
}

impl Raft {
    /// Appends a command, if this member leads and has room: its index. It is done when that
    /// index is committed in this term.
    pub fn propose(&mut self, now: Duration, payload: log::Payload) -> Option<u64> {
        self.check_quorum(now);
        let RoleState::Leader(lead) = &self.role else {
            return None;
        };
        let uncommitted = self.log.tail().index - self.commit;
        if lead.heir.is_some() || self.stalled || uncommitted >= MAX_UNCOMMITTED {
            return None;
        }
        self.propose_payload(now, payload)
    }

    pub(super) fn propose_payload(&mut self, now: Duration, payload: log::Payload) -> Option<u64> {
        if !matches!(self.role, RoleState::Leader(_)) {
            return None;
        }
        let index = self.log.tail().index + 1;
        let is_members = matches!(payload, log::Payload::Members(_));
        self.push(log::Entry {
            index,
            term: self.hard.term,
            clock_ms: self.clock_ms(now).max(self.log.clock_ms()),
            payload,
        });
        if is_members {
            self.follow_members(now);
        }
        Some(index)
    }

    /// Sends each follower what it lacks, and a heartbeat where nothing was sent lately.
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
                return self.send_piece(now, to);
            }
            peer.snapshot = None;
            let in_flight = peer.next - 1 - peer.matched;
            let room = !peer.probing && peer.next <= tail && in_flight < MAX_IN_FLIGHT;
            let due = now >= peer.sent + heartbeat;
            if !room && !due {
                return;
            }
            self.send_append(now, to, room);
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
            self.log.after(index, MAX_BATCH, MAX_BATCH_BYTES)
        } else {
            Vec::new()
        };
        peer.next += entries.len() as u64;
        peer.sent = now;
        let body = Body::Append {
            prev: Tail { term, index },
            entries,
            commit: self.commit,
            sent: now.as_micros() as u64,
            clock_ms: self.clock_ms(now),
        };
        self.send(to, body);
    }

    /// A follower takes the leader's entries.
    pub(super) fn append(&mut self, now: Duration, from: member::Member, body: Body) {
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
        self.hear(now, from, clock_ms);
        if self.stalled || self.writes.len() >= MAX_WRITES {
            return;
        }
        let known = prev.index <= self.commit || self.log.term(prev.index) == Some(prev.term);
        if !known {
            let index = self.may_agree(prev.index);
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
            self.take_entry(entry);
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

    /// Takes the leader's word for being there.
    fn hear(&mut self, now: Duration, from: member::Member, clock_ms: u64) {
        if !matches!(self.role, RoleState::Follower) {
            self.follow(now, self.hard.term);
        }
        self.leader = Some(from);
        self.heard = Some(now);
        self.clock = (self.clock_ms(now).max(clock_ms), now);
        self.draw_deadline(now);
    }

    /// The last index below `refused` at which a leader's log may equal this one: before all
    /// entries of the term that differs there, so that a long tail takes one refusal a term.
    fn may_agree(&self, refused: u64) -> u64 {
        let tail = self.log.tail().index;
        if refused > tail {
            return tail;
        }
        let term = self.log.term(refused);
        let mut index = refused - 1;
        while index > self.commit && self.log.term(index) == term {
            index -= 1;
        }
        index
    }

    /// Whether its newest term and vote are synced.
    pub(super) fn hard_is_synced(&self) -> bool {
        self.write.hard.is_none() && !self.writes.iter().any(|(_, _, hard)| *hard)
    }

    fn take_entry(&mut self, entry: log::Entry) {
        if entry.index <= self.commit || self.log.term(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.tail().index {
            self.truncate(entry.index);
        }
        self.push(entry);
    }

    /// The leader takes a follower's answer.
    pub(super) fn appended(
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
        peer.answered = peer.answered.max(sent);
        if agreed {
            peer.agreed(index);
            self.advance_commit();
        } else {
            peer.refused(index);
        }
        self.replicate_to(now, from);
        self.hand_over_if_ready(now);
    }

    /// Commits what a quorum has synced, if it is of this term.
    pub(super) fn advance_commit(&mut self) {
        let RoleState::Leader(lead) = &self.role else {
            return;
        };
        let me = self.me();
        let reached = self
            .membership()
            .quorum_value(|one| match lead.peers.get(one) {
                _ if *one == me => self.durable,
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

    /// Sends the next piece of the snapshot, or the last one again after a while.
    fn send_piece(&mut self, now: Duration, to: member::Member) {
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
        peer.sent = now;
        let start = offset as usize;
        let end = data.len().min(start + PIECE);
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

    /// A follower takes a piece of a snapshot.
    pub(super) fn take_piece(&mut self, now: Duration, from: member::Member, body: Body) {
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
        self.hear(now, from, 0);
        if self.stalled || self.writes.len() >= MAX_WRITES || total > MAX_SNAPSHOT {
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
            self.install(snapshot);
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

    fn install(&mut self, snapshot: log::Snapshot) {
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
        // Nothing counts as synced here until the snapshot itself is.
        self.durable = 0;
        for write in &mut self.writes {
            write.1 = 0;
        }
        self.commit = tail.index;
        self.clock.0 = self.clock.0.max(snapshot.clock_ms);
        self.write_snapshot(snapshot);
        self.restored = true;
    }

    /// The leader hears how far a snapshot has arrived.
    pub(super) fn took(
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
        peer.answered = peer.answered.max(Duration::from_micros(sent));
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
    let conf = bincode::config::standard().with_limit::<{ MAX_SNAPSHOT as usize }>();
    let (snapshot, used) = bincode::serde::decode_from_slice(data, conf).ok()?;
    (used == data.len()).then_some(snapshot)
}
