//! Changes of members, one at a time through the log.
//!
//! A member that comes (again) first learns, then the one that it replaces leaves, then it
//! votes. Each of these is an entry of its own, so any two quorums in a row share a member.

use std::net::SocketAddr;
use std::time::Duration;

use super::Admission;
use super::Raft;
use super::RoleState;
use super::log;
use super::member;

/// Entries that a learner may lack when it becomes a voter.
const CAUGHT_UP: u64 = 64;

/// Most voters that [`Admission::Open`] leads to: a decision waits for a majority of them, and
/// nine bear the loss of any four.
const MAX_VOTERS: usize = 9;

/// Election timeouts of silence after which a voter counts as gone: longer than a restart takes
/// (2 s), shorter than the 4 s after which the next loss must be borne.
const SILENT_ELECTIONS: u32 = 3;

/// Election timeouts of silence after which a learner is dropped; it may call again.
const LOST_ELECTIONS: u32 = 12;

impl Raft {
    /// Carries out an operator's order, if this member leads.
    pub fn order(&mut self, now: Duration, order: &member::Order) -> member::Outcome {
        self.check_quorum(now);
        if !self.may_change_members() {
            return member::Outcome::Unavailable;
        }
        let mut members = self.membership().clone();
        let refused = match order {
            member::Order::Add(addr) => invite(&mut members, *addr, None),
            member::Order::Replace { .. } if members.voters.len() == 1 => {
                Err("the only voter cannot be replaced: add the other, then remove it".to_owned())
            }
            member::Order::Replace { old, new } => invite(&mut members, *new, Some(*old)),
            member::Order::Remove(addr) => self.remove(now, &mut members, *addr),
        };
        if let Err(why) = refused {
            return member::Outcome::Refused(why);
        }
        self.change_members(now, members);
        member::Outcome::Taken
    }

    /// Whether the last change of members and an entry of this term are committed.
    fn may_change_members(&self) -> bool {
        let RoleState::Leader(lead) = &self.role else {
            return false;
        };
        let settled = self
            .members
            .back()
            .is_some_and(|(at, _)| *at <= self.commit);
        settled && self.commit >= lead.first && !self.stalled && lead.heir.is_none()
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
        members.voters.retain(|one| one.addr != addr);
        members.learners.retain(|one| one.addr != addr);
        members.invited.retain(|one| one.addr != addr);
        if *members == before {
            return Err(format!("{addr} is no member"));
        }
        if members.voters.is_empty() {
            return Err("the last voter cannot be removed".to_owned());
        }
        let present = members.voters.iter().filter(|one| self.answers(now, one));
        if present.count() < members.quorum() {
            return Err("the voters left would not be a quorum: too few answer".to_owned());
        }
        Ok(())
    }

    /// Whether a member answered this leader lately.
    fn answers(&self, now: Duration, member: &member::Member) -> bool {
        let RoleState::Leader(lead) = &self.role else {
            return false;
        };
        let recent = self.settings.timing.election * 2;
        *member == self.me()
            || lead
                .peers
                .get(member)
                .is_some_and(|one| now < one.answered + recent)
    }

    /// Someone called who may be a member in a new life, or invited.
    ///
    /// One that holds nothing is in a new life whatever its number says, which is drawn from a
    /// clock that may have been set back.
    pub(super) fn admit(&mut self, now: Duration, who: member::Member, is_empty: bool) {
        let members = self.membership();
        let known = members.all().any(|one| *one == who);
        let is_newer =
            |one: &member::Member| one.addr == who.addr && (is_empty || one.life < who.life);
        let is_older =
            |one: &member::Member| one.addr == who.addr && !is_empty && one.life > who.life;
        let is_open = self.settings.admission != Admission::Ordered;
        let expected = is_open || members.all().any(is_newer) || members.invite(who.addr).is_some();
        if known || !expected || members.all().any(is_older) || !self.may_change_members() {
            return;
        }
        let mut members = members.clone();
        members.learners.retain(|one| one.addr != who.addr);
        members.learners.push(who);
        self.change_members(now, members);
    }

    /// Leads learners that have caught up on to voters, one step at a time.
    pub(super) fn manage_members(&mut self, now: Duration) {
        if !self.may_change_members() {
            return;
        }
        if !self.membership().votes(&self.me()) {
            // It removed itself, and that is committed.
            return self.follow(now, self.hard.term);
        }
        let ready = self.membership().learners.iter().find(|one| {
            let matched = self.matched(one).unwrap_or(0);
            matched > 0 && matched + CAUGHT_UP > self.log.tail().index && self.answers(now, one)
        });
        let Some(learner) = ready.copied() else {
            return self.drop_silent(now, false);
        };
        let is_back = self.membership().voter_at(learner.addr).is_some();
        let invited = self.membership().invite(learner.addr).is_some();
        if let Admission::Open { .. } = self.settings.admission
            && !is_back
            && !invited
        {
            let voters = self.membership().voters.len();
            self.drop_silent(now, true);
            if self.membership().voters.len() < voters || voters >= MAX_VOTERS {
                return;
            }
        }
        let mut members = self.membership().clone();
        let leaves = members.invite(learner.addr).and_then(|one| one.replaces);
        let leaves = leaves.unwrap_or(learner.addr);
        if leaves == self.me().addr {
            // Whoever leads next carries on.
            self.hand_over(now);
            return;
        }
        let before = members.voters.len();
        members.voters.retain(|one| one.addr != leaves);
        if members.voters.len() == before {
            members.learners.retain(|one| *one != learner);
            members.invited.retain(|one| one.addr != learner.addr);
            members.voters.push(learner);
        }
        self.change_members(now, members);
    }
}

impl Raft {
    /// Removes one member that has gone silent, if the others are enough without it.
    /// `has_successor`: another is ready to vote in its place.
    fn drop_silent(&mut self, now: Duration, has_successor: bool) {
        let Admission::Open { min_voters } = self.settings.admission else {
            return;
        };
        let election = self.settings.timing.election;
        let mut members = self.membership().clone();
        let lost = members
            .learners
            .iter()
            .find(|one| self.is_silent(now, one, election * LOST_ELECTIONS));
        if let Some(lost) = lost.copied() {
            members.learners.retain(|one| *one != lost);
            return self.change_members(now, members);
        }
        let spare = members.voters.len() > min_voters || has_successor;
        let silent = members
            .voters
            .iter()
            .find(|one| self.is_silent(now, one, election * SILENT_ELECTIONS));
        let Some(silent) = silent.copied().filter(|_| spare) else {
            return;
        };
        let learners = members.learners.clone();
        if self.remove(now, &mut members, silent.addr).is_ok() {
            // A successor at the same address stays.
            members.learners = learners;
            self.change_members(now, members);
        }
    }

    /// Whether a member has not answered this leader for `limit`.
    fn is_silent(&self, now: Duration, member: &member::Member, limit: Duration) -> bool {
        let RoleState::Leader(lead) = &self.role else {
            return false;
        };
        let answered = lead.peers.get(member).map(|one| one.answered);
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
    members.invited.retain(|one| one.addr != addr);
    members.invited.push(member::Invite { addr, replaces });
    Ok(())
}
