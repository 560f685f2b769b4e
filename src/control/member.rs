//! Members of the control quorum.

use std::net::SocketAddr;

use crate::wire::id;

key! {
    /// A member: an address and an incarnation of its data folder.
    ///
    /// Invariant: a lost or exchanged data folder gets a new incarnation. So the process is another
    /// member, and its votes and acknowledgements never count for the lost one.
    pub struct Member {
        /// Link address.
        pub addr: SocketAddr,
        /// Incarnation of the data folder. 0 in a message's target: any.
        pub life: id::Incarnation,
    }
}

impl Member {
    /// Any member at `addr`, as a message's target.
    pub fn any(addr: SocketAddr) -> Self {
        let life = id::Incarnation(0);
        Self { addr, life }
    }
}

data! {
    /// The members of the cluster. Held in the log; the newest in the log is in force.
    #[derive(Default)]
    pub struct Membership {
        /// Members that count for elections and commits.
        pub voters: Vec<Member>,
        /// Members that receive entries and do not vote yet.
        pub learners: Vec<Member>,
        /// Addresses that an operator added and that have not joined yet.
        pub invited: Vec<Invite>,
        /// The exchange that is under way. Not encoded: an entry of its own begins it, and no
        /// snapshot is taken before it is complete.
        #[serde(skip)]
        pub exchange: Option<Box<Exchange>>,
    }

    /// A voter's place that passes to a learner, as a joint consensus: until it is complete,
    /// elections and commits need a majority of the voters before and of those after it.
    #[derive(Copy)]
    pub struct Exchange {
        /// A voter. Invariant: not at the address of the leader that began the exchange.
        pub leaving: Member,
        /// A learner, and a voter once the exchange is complete.
        pub joining: Member,
    }

    /// An address that is allowed to join.
    pub struct Invite {
        /// Its link address.
        pub addr: SocketAddr,
        /// The member that is removed once this one has caught up.
        pub replaces: Option<SocketAddr>,
    }

    /// An operator's order.
    pub enum Order {
        /// Allow the process at this address to join.
        Add(SocketAddr),
        /// Remove the member at this address.
        Remove(SocketAddr),
        /// Allow `new` to join, then remove `old`.
        Replace {
            /// Address of the member to remove.
            old: SocketAddr,
            /// Address of the process to join.
            new: SocketAddr,
        },
    }

    /// Outcome of an order.
    pub enum Outcome {
        /// Accepted: it is in the leader's log.
        Taken,
        /// Rejected, with the reason.
        Refused(String),
        /// No leader is known, or another membership change is in progress.
        Unavailable,
    }
}

impl Membership {
    /// Whether `member` votes.
    pub fn votes(&self, member: &Member) -> bool {
        self.voters.contains(member)
    }

    /// Whether `member` votes, now or once the exchange under way is complete: it may be elected.
    pub fn elects(&self, member: &Member) -> bool {
        self.electors().any(|elector| elector == member)
    }

    /// The voters, and the member that joins by the exchange under way.
    pub fn electors(&self) -> impl Iterator<Item = &Member> {
        let joining = self.exchange.as_ref().map(|exchange| &exchange.joining);
        self.voters.iter().chain(joining)
    }

    /// Voters and learners.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(&self.learners)
    }

    /// The voter at `addr`.
    pub fn voter_at(&self, addr: SocketAddr) -> Option<Member> {
        self.voters.iter().copied().find(|voter| voter.addr == addr)
    }

    /// The invite of `addr`.
    pub fn invite(&self, addr: SocketAddr) -> Option<&Invite> {
        self.invited.iter().find(|invite| invite.addr == addr)
    }

    /// This membership once the exchange under way is complete.
    #[must_use]
    pub fn exchanged(&self) -> Self {
        let mut next = self.clone();
        if let Some(Exchange { leaving, joining }) = next.exchange.take().map(|one| *one) {
            next.voters = exchanged(&self.voters, leaving, joining);
            // A machine that an operator replaced does not return at its old address.
            let replaced = self.invite(joining.addr).and_then(|invite| invite.replaces);
            let stays = |member: &Member| *member != joining && Some(member.addr) != replaced;
            next.learners.retain(stays);
            next.invited.retain(|invite| invite.addr != joining.addr);
        }
        next
    }

    /// Whether the members for which `has` holds are a quorum: a majority of the voters, and during
    /// an exchange also of the voters after it.
    pub fn has_quorum(&self, has: impl Fn(&Member) -> bool) -> bool {
        self.quorum_value(has).unwrap_or_default()
    }

    /// The largest value that a quorum has reached, given each member's `value`.
    pub fn quorum_value<T: Copy + Ord>(&self, value: impl Fn(&Member) -> T) -> Option<T> {
        let now = majority_value(&self.voters, &value)?;
        let Some(Exchange { leaving, joining }) = self.exchange.as_deref().copied() else {
            return Some(now);
        };
        let next = majority_value(&exchanged(&self.voters, leaving, joining), &value)?;
        Some(now.min(next))
    }
}

fn exchanged(voters: &[Member], leaving: Member, joining: Member) -> Vec<Member> {
    let mut next = voters.to_vec();
    next.retain(|member| *member != leaving);
    next.push(joining);
    next
}

/// The largest value that a majority of `voters` has reached.
fn majority_value<T: Copy + Ord>(voters: &[Member], value: impl Fn(&Member) -> T) -> Option<T> {
    let mut values: Vec<T> = voters.iter().map(value).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(voters.len() / 2).copied()
}
