//! Membership changes, one at a time through the log.
//!
//! A member that joins or rejoins is first a learner, then the member that it replaces leaves,
//! then it becomes a voter. Each step is a separate entry, so quorums of consecutive memberships
//! overlap.

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

    /// Whether this member leads and the last membership change and an entry of this term are
    /// committed.
    fn may_change_members(&self) -> bool {
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
        let present = members
            .voters
            .iter()
            .filter(|member| self.answered_recently(now, member));
        if present.count() < members.quorum() {
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

    /// Promotes learners that have caught up to voters, one step at a time.
    pub(super) fn manage_members(&mut self, now: Duration) {
        if !self.may_change_members() {
            return;
        }
        if !self.membership().votes(&self.me()) {
            // Its own removal is committed.
            return self.become_follower(now, self.hard.term);
        }
        let ready = self.membership().learners.iter().find(|member| {
            let matched = self.matched(member).unwrap_or(0);
            matched > 0
                && matched + MAX_LEARNER_LAG > self.log.tail().index
                && self.answered_recently(now, member)
        });
        let Some(learner) = ready.copied() else {
            return self.remove_silent(now, false);
        };
        let is_back = self.membership().voter_at(learner.addr).is_some();
        let invited = self.membership().invite(learner.addr).is_some();
        if let Admission::Open { .. } = self.settings.admission
            && !is_back
            && !invited
        {
            let voters = self.membership().voters.len();
            self.remove_silent(now, true);
            if self.membership().voters.len() < voters || voters >= MAX_VOTERS {
                return;
            }
        }
        let mut members = self.membership().clone();
        let leaving = members
            .invite(learner.addr)
            .and_then(|invite| invite.replaces);
        let leaving = leaving.unwrap_or(learner.addr);
        if leaving == self.me().addr {
            // The next leader continues the replacement.
            self.hand_over(now);
            return;
        }
        let before = members.voters.len();
        members.voters.retain(|member| member.addr != leaving);
        if members.voters.len() == before {
            members.learners.retain(|member| *member != learner);
            members.invited.retain(|invite| invite.addr != learner.addr);
            members.voters.push(learner);
        }
        self.change_members(now, members);
    }
}

impl Raft {
    /// Removes one silent member, if enough voters are left. `has_replacement`: a learner is ready
    /// to become a voter in its place.
    fn remove_silent(&mut self, now: Duration, has_replacement: bool) {
        let Admission::Open { min_voters } = self.settings.admission else {
            return;
        };
        let election = self.settings.timing.election;
        let mut members = self.membership().clone();
        let lost = members
            .learners
            .iter()
            .find(|member| self.is_silent(now, member, election * LEARNER_TIMEOUT_ELECTIONS));
        if let Some(lost) = lost.copied() {
            members.learners.retain(|member| *member != lost);
            return self.change_members(now, members);
        }
        let spare = members.voters.len() > min_voters || has_replacement;
        let silent = members
            .voters
            .iter()
            .find(|member| self.is_silent(now, member, election * VOTER_TIMEOUT_ELECTIONS));
        let Some(silent) = silent.copied().filter(|_| spare) else {
            return;
        };
        let learners = members.learners.clone();
        if self.remove(now, &mut members, silent.addr).is_ok() {
            // A learner at the same address stays.
            members.learners = learners;
            self.change_members(now, members);
        }
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
