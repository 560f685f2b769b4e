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

    /// Number of voters needed for a decision.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
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

    /// The largest value that a quorum of voters has reached, given each voter's `value`.
    pub fn quorum_value<T: Copy + Ord>(&self, value: impl Fn(&Member) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters.iter().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied()
    }
}
