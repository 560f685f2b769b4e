//! Membership changes, one at a time through the log.
//!
//! A member that joins or rejoins is first a learner. If it takes a voter's place, an exchange
//! follows: one entry after which decisions need a majority of the voters before and after it, and
//! once that is committed one that completes it. So no step has fewer voters than the cluster, and
//! whichever member loses its disk, the others are a quorum. A member that takes no place is added
//! by a single entry, as a voter without successor is removed by one: the quorums of consecutive
//! memberships overlap.

use std::net::SocketAddr;
use std::time::Duration;

use super::Admission;
use super::Raft;
use super::RoleState;
use super::log;
use super::member;

/// Entries by which a learner may lag behind when it becomes a voter.
const MAX_LEARNER_LAG: u64 = 64;

/// Upper bound of voters with [`Admission::Open`]. A commit waits for a majority of them, and nine
/// tolerate the loss of any four.
const MAX_VOTERS: usize = 9;

/// Election timeouts of silence after which a voter may be removed: longer than a restart takes
/// (2 s), shorter than the 4 s after which the next loss must be tolerated.
const VOTER_TIMEOUT_ELECTIONS: u32 = 3;

/// Election timeouts of silence after which a learner is removed. It may call again.
const LEARNER_TIMEOUT_ELECTIONS: u32 = 12;

impl Raft {
    /// Executes an operator's order, if this member leads.
    pub fn order(&mut self, now: Duration, order: &member::Order) -> member::Outcome {
        self.check_quorum(now);
        if !self.may_change_members() {
            return member::Outcome::Unavailable;
        }
        let mut members = self.membership().clone();
        let result = match order {
            member::Order::Add(addr) => invite(&mut members, *addr, None),
            member::Order::Replace { .. } if members.voters.len() == 1 => {
                Err("the only voter cannot be replaced: add the other, then remove it".to_owned())
            }
            member::Order::Replace { old, new } => invite(&mut members, *new, Some(*old)),
            member::Order::Remove(addr) => self.remove(now, &mut members, *addr),
        };
        if let Err(why) = result {
            return member::Outcome::Refused(why);
        }
        self.change_members(now, members);
        member::Outcome::Taken
    }

    /// Whether the next membership change may begin.
    fn may_change_members(&self) -> bool {
        self.is_settled() && self.membership().exchange.is_none()
    }

    /// Whether this member leads and the last membership change and an entry of this term are
    /// committed.
    fn is_settled(&self) -> bool {
        let RoleState::Leader(lead) = &self.role else {
            return false;
        };
        let settled = self
            .members
            .back()
            .is_some_and(|(at, _)| *at <= self.commit);
        settled && self.commit >= lead.first_index && !self.stalled && lead.successor.is_none()
    }

    fn change_members(&mut self, now: Duration, members: member::Membership) {
        self.propose_payload(now, log::Payload::Members(members));
        self.replicate(now);
    }

    fn remove(
        &self,
        now: Duration,
        members: &mut member::Membership,
        addr: SocketAddr,
    ) -> Result<(), String> {
        let before = members.clone();
        members.voters.retain(|member| member.addr != addr);
        members.learners.retain(|member| member.addr != addr);
        members.invited.retain(|invite| invite.addr != addr);
        if *members == before {
            return Err(format!("{addr} is no member"));
        }
        if members.voters.is_empty() {
            return Err("the last voter cannot be removed".to_owned());
        }
        if !members.has_quorum(|member| self.answered_recently(now, member)) {
            return Err("the voters left would not be a quorum: too few answer".to_owned());
        }
        Ok(())
    }

    /// Whether a member answered this leader within two election timeouts.
    fn answered_recently(&self, now: Duration, member: &member::Member) -> bool {
        let RoleState::Leader(lead) = &self.role else {
            return false;
        };
        let recent = self.settings.timing.election * 2;
        *member == self.me()
            || lead
                .peers
                .get(member)
                .is_some_and(|peer| now < peer.last_answered + recent)
    }

    /// Admits a caller as learner if it is a known address with a new data folder, or invited, or
    /// if admission is open.
    ///
    /// A caller with an empty data folder counts as a new incarnation whatever its number is: the
    /// number comes from a clock that may have been set back.
    pub(super) fn admit(&mut self, now: Duration, who: member::Member, is_empty: bool) {
        let members = self.membership();
        let known = members.all().any(|member| *member == who);
        let is_newer = |member: &member::Member| {
            member.addr == who.addr && (is_empty || member.life < who.life)
        };
        let is_older = |member: &member::Member| {
            member.addr == who.addr && !is_empty && member.life > who.life
        };
        let is_open = self.settings.admission != Admission::Ordered;
        let expected = is_open || members.all().any(is_newer) || members.invite(who.addr).is_some();
        if known || !expected || members.all().any(is_older) || !self.may_change_members() {
            return;
        }
        let mut members = members.clone();
        members.learners.retain(|member| member.addr != who.addr);
        members.learners.push(who);
        self.change_members(now, members);
    }

    /// Carries out the membership change that is due, if any.
    pub(super) fn manage_members(&mut self, now: Duration) {
        if !self.is_settled() {
            return;
        }
        if self.membership().exchange.is_some() {
            let members = self.membership().exchanged();
            return self.change_members(now, members);
        }
        if !self.membership().votes(&self.me()) {
            // Its own removal is committed.
            return self.become_follower(now, self.hard.term);
        }
        let learners = self.membership().learners.iter().copied();
        let ready: Vec<_> = learners.filter(|one| self.is_ready(now, one)).collect();
        let exchange = ready.iter().find_map(|joining| {
            let (joining, leaving) = (*joining, self.place_for(now, joining)?);
            Some(member::Exchange { leaving, joining })
        });
        if let Some(exchange) = exchange {
            self.exchange(now, exchange);
        } else if let Some(learner) = ready.into_iter().find(|one| self.may_add(one)) {
            let mut members = self.membership().clone();
            members.learners.retain(|member| *member != learner);
            members.invited.retain(|invite| invite.addr != learner.addr);
            members.voters.push(learner);
            self.change_members(now, members);
        } else {
            self.remove_silent(now);
        }
    }
}

impl Raft {
    /// Whether a learner has caught up and answers.
    fn is_ready(&self, now: Duration, learner: &member::Member) -> bool {
        let matched = self.matched(learner).unwrap_or(0);
        matched > 0
            && matched + MAX_LEARNER_LAG > self.log.tail().index
            && self.answered_recently(now, learner)
    }

    /// The voter whose place passes to `learner`: its former incarnation, the one that an operator
    /// named, or with open admission one that is silent.
    fn place_for(&self, now: Duration, learner: &member::Member) -> Option<member::Member> {
        let members = self.membership();
        let former = members.voter_at(learner.addr);
        match (self.settings.admission, members.invite(learner.addr)) {
            _ if former.is_some() => former,
            (_, Some(invite)) => members.voter_at(invite.replaces?),
            (Admission::Open { .. }, None) => self.silent_voter(now),
            (Admission::Ordered, None) => None,
        }
    }

    /// Whether a learner that takes no voter's place may become a voter beside them.
    ///
    /// With open admission only if every voter answered since the learner was admitted. One more
    /// voter may raise the quorum: beside a voter that was lost before, the larger cluster would
    /// tolerate one loss less than its size promises. That voter answers again, or loses its place.
    fn may_add(&self, learner: &member::Member) -> bool {
        let members = self.membership();
        let is_ordered = self.settings.admission == Admission::Ordered;
        if is_ordered || members.invite(learner.addr).is_some() {
            return true;
        }
        let RoleState::Leader(lead) = &self.role else {
            return false;
        };
        let Some(since) = lead.peers.get(learner).map(|peer| peer.since) else {
            return false;
        };
        let answers = |one: &member::Member| {
            let peer = lead.peers.get(one);
            *one == self.me() || peer.is_some_and(|peer| peer.last_answered > since)
        };
        members.voters.len() < MAX_VOTERS && members.voters.iter().all(answers)
    }

    fn exchange(&mut self, now: Duration, exchange: member::Exchange) {
        if exchange.leaving.addr == self.me().addr {
            // The next leader carries out the exchange.
            self.hand_over(now);
            return;
        }
        self.propose_payload(now, log::Payload::Exchange(exchange));
        self.replicate(now);
    }

    /// Removes one silent learner, or a silent voter if enough are left.
    fn remove_silent(&mut self, now: Duration) {
        let Admission::Open { min_voters } = self.settings.admission else {
            return;
        };
        let limit = self.settings.timing.election * LEARNER_TIMEOUT_ELECTIONS;
        let mut members = self.membership().clone();
        let mut learners = members.learners.iter().copied();
        if let Some(lost) = learners.find(|one| self.is_silent(now, one, limit)) {
            members.learners.retain(|member| *member != lost);
            return self.change_members(now, members);
        }
        let is_spare = members.voters.len() > min_voters;
        let Some(silent) = self.silent_voter(now).filter(|_| is_spare) else {
            return;
        };
        let learners = members.learners.clone();
        if self.remove(now, &mut members, silent.addr).is_ok() {
            // A learner at the same address stays.
            members.learners = learners;
            self.change_members(now, members);
        }
    }

    /// A voter that has been silent for so long that it may be removed.
    fn silent_voter(&self, now: Duration) -> Option<member::Member> {
        let limit = self.settings.timing.election * VOTER_TIMEOUT_ELECTIONS;
        let mut voters = self.membership().voters.iter().copied();
        voters.find(|one| self.is_silent(now, one, limit))
    }

    /// Whether a member has not answered this leader for `limit`.
    fn is_silent(&self, now: Duration, member: &member::Member, limit: Duration) -> bool {
        let RoleState::Leader(lead) = &self.role else {
            return false;
        };
        let answered = lead.peers.get(member).map(|peer| peer.last_answered);
        answered.is_some_and(|at| now > at + limit)
    }
}

fn invite(
    members: &mut member::Membership,
    addr: SocketAddr,
    replaces: Option<SocketAddr>,
) -> Result<(), String> {
    if members.voter_at(addr).is_some() {
        return Err(format!("{addr} is a member already"));
    }
    if let Some(old) = replaces
        && members.voter_at(old).is_none()
    {
        return Err(format!("{old} is no member"));
    }
    members.invited.retain(|invite| invite.addr != addr);
    members.invited.push(member::Invite { addr, replaces });
    Ok(())
}
