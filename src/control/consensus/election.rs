//! Elections: who leads, and for how long.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::Lead;
use super::Progress;
use super::Raft;
use super::RoleState;
use super::log;
use super::member;
use super::message;

impl Raft {
    /// Whether a leader was heard so lately that this member grants no vote: the leader's
    /// lease rests on that.
    pub(super) fn is_bound(&self, now: Duration) -> bool {
        if self.is_sole_voter() {
            return false;
        }
        match self.role {
            RoleState::Leader(_) => true,
            _ => self
                .heard
                .is_some_and(|heard| now < heard + self.settings.timing.election),
        }
    }

    /// Follows in `term`, no leader known.
    pub(super) fn follow(&mut self, now: Duration, term: u64) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = None;
            self.write_hard();
        }
        if matches!(self.role, RoleState::Leader(_)) {
            // What it promised as leader binds it as long as it would bind a follower.
            self.heard = Some(now);
            self.clock = (self.clock_ms(now), now);
        }
        self.role = RoleState::Follower;
        self.leader = None;
        self.draw_deadline(now);
    }

    /// The election timer ended: asks whether it would be elected.
    ///
    /// A vote may take longer to sync than the timer, and in the next term it would be void. So
    /// whoever has one under way does not begin the next term: a candidate asks again until
    /// somebody refuses, a voter waits for its sync.
    pub(super) fn stand(&mut self, now: Duration) {
        if matches!(self.role, RoleState::Follower) && self.is_voting() {
            return;
        }
        self.draw_deadline(now);
        if self.stalled || !self.membership().votes(&self.me()) {
            return;
        }
        if let RoleState::Candidate {
            is_refused: false,
            handover,
            ..
        } = self.role
        {
            return self.ask_votes(handover);
        }
        self.leader = None;
        if self.is_sole_voter() {
            return self.campaign(now, false);
        }
        let granted = BTreeSet::from([self.me()]);
        self.role = RoleState::PreCandidate { granted };
        let term = self.hard.term + 1;
        let tail = self.log.tail();
        for to in self.other_voters() {
            self.send(to, message::Body::PreVote { term, tail });
        }
    }

    /// Whether it has voted in its term and the vote is not synced yet.
    fn is_voting(&self) -> bool {
        self.hard.vote.is_some() && !self.hard_is_synced()
    }

    /// Stands for election in the next term.
    fn campaign(&mut self, now: Duration, handover: bool) {
        self.hard.term += 1;
        self.hard.vote = Some(self.me());
        self.write_hard();
        self.leader = None;
        self.role = RoleState::Candidate {
            granted: BTreeSet::new(),
            own_vote: self.write.seq,
            is_refused: false,
            handover,
        };
        self.draw_deadline(now);
        self.ask_votes(handover);
    }

    fn ask_votes(&mut self, handover: bool) {
        let tail = self.log.tail();
        for to in self.other_voters() {
            self.send_durable(to, message::Body::Vote { tail, handover });
        }
    }

    fn other_voters(&self) -> Vec<member::Member> {
        let voters = self.membership().voters.iter();
        voters.copied().filter(|one| *one != self.me()).collect()
    }

    pub(super) fn answer_pre_vote(
        &mut self,
        now: Duration,
        from: member::Member,
        term: u64,
        tail: message::Tail,
    ) {
        let free = !self.is_bound(now) && !self.stalled && !self.is_voting();
        let granted = free && term > self.hard.term && tail >= self.log.tail();
        let is_asking = matches!(self.role, RoleState::PreCandidate { .. });
        if granted && is_asking && (tail, from) > (self.log.tail(), self.me()) {
            // Of two that ask at once one yields. If both stood, each would vote for itself, and
            // with only two of three there nobody would lead for another timeout: 2 of 4,000
            // drawn series of losses took over 4.8 s so.
            self.role = RoleState::Follower;
        }
        self.send(from, message::Body::PreVoted { term, granted });
    }

    pub(super) fn answer_vote(&mut self, now: Duration, from: member::Member, tail: message::Tail) {
        let free = self.hard.vote.is_none_or(|vote| vote == from);
        let granted = free && !self.stalled && tail >= self.log.tail();
        if granted {
            self.draw_deadline(now);
        }
        if granted && self.hard.vote != Some(from) {
            self.hard.vote = Some(from);
            self.write_hard();
        }
        self.send_durable(from, message::Body::Voted { granted });
    }

    pub(super) fn count_pre_vote(
        &mut self,
        now: Duration,
        from: member::Member,
        term: u64,
        granted: bool,
    ) {
        let next = self.hard.term + 1;
        let RoleState::PreCandidate { granted: all } = &mut self.role else {
            return;
        };
        if !granted || term != next {
            return;
        }
        all.insert(from);
        let all = all.clone();
        if self.is_quorum(&all) {
            self.campaign(now, false);
        }
    }

    pub(super) fn count_vote(&mut self, now: Duration, from: member::Member, granted: bool) {
        let RoleState::Candidate {
            granted: all,
            is_refused,
            ..
        } = &mut self.role
        else {
            return;
        };
        if !granted {
            *is_refused = true;
            return;
        }
        all.insert(from);
        self.win_if_elected(now);
    }

    fn is_quorum(&self, granted: &BTreeSet<member::Member>) -> bool {
        let members = self.membership();
        let count = granted.iter().filter(|one| members.votes(one)).count();
        count >= members.quorum()
    }

    pub(super) fn win_if_elected(&mut self, now: Duration) {
        let RoleState::Candidate { granted, .. } = &self.role else {
            return;
        };
        // Its own vote counts only once it is synced.
        if granted.contains(&self.me()) && self.is_quorum(granted) {
            self.lead(now);
        }
    }

    fn lead(&mut self, now: Duration) {
        self.clock = (self.clock_ms(now).max(self.log.clock_ms()), now);
        self.leader = Some(self.me());
        self.role = RoleState::Leader(Lead {
            peers: BTreeMap::new(),
            first: self.log.tail().index + 1,
            heir: None,
        });
        self.follow_members(now);
        self.propose_payload(now, log::Payload::Noop);
        self.replicate(now);
    }

    /// Brings the followers known to the leader in line with the members in force.
    pub(super) fn follow_members(&mut self, now: Duration) {
        let me = self.me();
        let tail = self.log.tail().index;
        let members: Vec<member::Member> = self.membership().all().copied().collect();
        let learners = self.membership().learners.clone();
        let RoleState::Leader(lead) = &mut self.role else {
            return;
        };
        lead.peers.retain(|one, _| members.contains(one));
        for member in members {
            if member != me {
                // A learner may be empty: it begins with the snapshot.
                let tail = if learners.contains(&member) { 0 } else { tail };
                lead.peers
                    .entry(member)
                    .or_insert_with(|| Progress::new(now, tail));
            }
        }
    }

    /// A leader that no quorum answered for the election timeout steps down.
    pub(super) fn check_quorum(&mut self, now: Duration) {
        let Some(answered) = self.quorum_answered(now) else {
            return;
        };
        if now >= answered + self.settings.timing.election {
            self.follow(now, self.hard.term);
        }
    }

    /// When a quorum was last known to follow this leader. `None`: it does not lead.
    fn quorum_answered(&self, now: Duration) -> Option<Duration> {
        let RoleState::Leader(lead) = &self.role else {
            return None;
        };
        let me = self.me();
        self.membership()
            .quorum_value(|one| match lead.peers.get(one) {
                _ if *one == me => now,
                Some(peer) => peer.answered,
                None => Duration::ZERO,
            })
    }

    /// Whether this member leads, holds its lease and knows all that was committed before: what
    /// it has applied is then the newest. The lease ends an eighth before a follower may vote,
    /// so clocks may run apart by that much.
    pub fn leads(&self, now: Duration) -> bool {
        let RoleState::Leader(lead) = &self.role else {
            return false;
        };
        let election = self.settings.timing.election;
        let lease = election * 7 / 8;
        let answered = self.quorum_answered(now).unwrap_or_default();
        lead.heir.is_none() && self.commit >= lead.first && now < answered + lease
    }

    /// Gives the leadership to the follower that is furthest. Proposals are refused meanwhile.
    /// `false`: there is nobody to give it to.
    pub fn hand_over(&mut self, now: Duration) -> bool {
        let voters = self.other_voters();
        let until = now + self.settings.timing.election * 2;
        let RoleState::Leader(lead) = &mut self.role else {
            return false;
        };
        let matched = |one: &member::Member| lead.peers.get(one).map(|peer| peer.matched);
        let Some(heir) = voters.into_iter().max_by_key(matched) else {
            return false;
        };
        lead.heir = Some((heir, until));
        self.hand_over_if_ready(now);
        true
    }

    pub(super) fn hand_over_if_ready(&mut self, now: Duration) {
        let tail = self.log.tail().index;
        let RoleState::Leader(lead) = &mut self.role else {
            return;
        };
        let Some((heir, until)) = lead.heir else {
            return;
        };
        if now >= until {
            lead.heir = None;
        } else if lead.peers.get(&heir).is_some_and(|one| one.matched >= tail) {
            self.send(heir, message::Body::TakeOver);
        }
    }

    pub(super) fn take_over(&mut self, now: Duration) {
        if !self.stalled && self.membership().votes(&self.me()) {
            self.campaign(now, true);
        }
    }
}
