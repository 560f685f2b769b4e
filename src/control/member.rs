//! Members of the control quorum.

use std::net::SocketAddr;

use crate::wire::id;

key! {
    /// A member: an address and one life of its data folder.
    ///
    /// Invariant: a data folder that was lost or exchanged comes back as another life, so it is
    /// another member and never counts for the lost one.
    pub struct Member {
        /// Link address.
        pub addr: SocketAddr,
        /// Life of the data folder. 0 in a message's target: whichever.
        pub life: id::Incarnation,
    }
}

impl Member {
    /// Whoever is at `addr`.
    pub fn any(addr: SocketAddr) -> Self {
        let life = id::Incarnation(0);
        Self { addr, life }
    }
}

data! {
    /// Who belongs to the quorum. Held in the log; the newest in the log is in force.
    #[derive(Default)]
    pub struct Membership {
        /// Members that vote and count.
        pub voters: Vec<Member>,
        /// Members that only follow, until they have caught up.
        pub learners: Vec<Member>,
        /// Addresses that an operator added and that have not come yet.
        pub invited: Vec<Invite>,
    }

    /// An address that may join.
    pub struct Invite {
        /// Its link address.
        pub addr: SocketAddr,
        /// The member that leaves when this one has caught up.
        pub replaces: Option<SocketAddr>,
    }

    /// An operator's order.
    pub enum Order {
        /// Let the process at this address join.
        Add(SocketAddr),
        /// Remove the member at this address.
        Remove(SocketAddr),
        /// Let `new` join, then remove `old`.
        Replace {
            /// Who leaves.
            old: SocketAddr,
            /// Who joins.
            new: SocketAddr,
        },
    }

    /// What became of an order.
    pub enum Outcome {
        /// It is in the log of the leader.
        Taken,
        /// It cannot be done.
        Refused(String),
        /// No leader known, or another change of members is under way.
        Unavailable,
    }
}

impl Membership {
    /// Whether `member` votes.
    pub fn votes(&self, member: &Member) -> bool {
        self.voters.contains(member)
    }

    /// Members that count needed for a decision.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// All members.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(&self.learners)
    }

    /// The voter at `addr`.
    pub fn voter_at(&self, addr: SocketAddr) -> Option<Member> {
        self.voters.iter().copied().find(|one| one.addr == addr)
    }

    /// The invite of `addr`.
    pub fn invite(&self, addr: SocketAddr) -> Option<&Invite> {
        self.invited.iter().find(|one| one.addr == addr)
    }

    /// The largest of `values` (one a voter) that a quorum has reached.
    pub fn quorum_value<T: Copy + Ord>(&self, value: impl Fn(&Member) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters.iter().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied()
    }
}
