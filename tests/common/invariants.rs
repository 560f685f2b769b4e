//! Invariants of the simulated cluster.

use std::collections::BTreeMap;

use wigeonbarrow::control::log;
use wigeonbarrow::control::member::Member;
use wigeonbarrow::control::message::Body;
use wigeonbarrow::control::message::Envelope;
use wigeonbarrow::control::replica::Replica;
use wigeonbarrow::control::state::State;
use wigeonbarrow::wire::agree::Command;

use super::Sim;
use super::fault::Fault;

impl Sim {
    /// Checks the invariants that hold after every event.
    pub fn check(&mut self, at: usize) {
        let vm = &self.vms[at];
        let replica = vm.replica.as_ref().expect("it runs");
        let raft = replica.raft();
        if raft.is_leader() {
            let leader = self.leaders.entry(raft.term()).or_insert(raft.me());
            assert_eq!(*leader, raft.me(), "two leaders in term {}", raft.term());
            if raft.commit() > vm.commit {
                self.check_quorum(replica);
            }
        }
        for index in vm.applied + 1..=replica.applied() {
            if let Some(entry) = raft.log().get(index) {
                let first = self
                    .first_applied
                    .entry(index)
                    .or_insert_with(|| entry.clone());
                assert_eq!(first, entry, "members applied different entries at {index}");
            }
        }
        assert!(replica.applied() >= vm.applied, "the state was reverted");
        let (commit, applied) = (raft.commit(), replica.applied());
        if raft.membership_index() <= commit {
            let members = raft.membership();
            let known = self.memberships.entry((raft.cluster(), commit));
            let known = known.or_insert_with(|| members.clone());
            assert_eq!(known, members, "two memberships are in force at {commit}");
        }
        // With open admission, reads go through the log and do not rely on a lease.
        if self.open.is_none() && !matches!(self.plan, Some((_, Fault::ClockJump, _))) {
            let leases = (0..self.vms.len()).filter(|one| self.has_lease(*one));
            assert!(leases.count() <= 1, "two members hold a lease at once");
        }
        self.vms[at].commit = commit;
        self.vms[at].applied = applied;
    }

    /// Whether a member would serve reads as the leader now.
    pub fn has_lease(&self, at: usize) -> bool {
        let vm = &self.vms[at];
        let replica = vm.replica.as_ref().filter(|_| !vm.frozen);
        replica.is_some_and(|one| one.raft().leads(self.local_time(at)))
    }

    /// Checks that a committed entry is synced on a quorum, by the incarnations in the membership:
    /// during an exchange on a majority of the voters before and after it.
    fn check_quorum(&self, leader: &Replica) {
        let members = leader.raft().membership();
        let index = leader.raft().commit();
        let holds = |one: &Member| {
            let mut disks = self.vms.iter().map(|vm| &vm.disk).chain(&self.lost_disks);
            disks.any(|disk| disk.holds(one, index))
        };
        let mut sets = vec![members.voters.clone()];
        if let Some(exchange) = &members.exchange {
            let mut next = members.voters.clone();
            next.retain(|one| *one != exchange.leaving);
            next.push(exchange.joining);
            sets.push(next);
        }
        for voters in sets {
            let count = voters.iter().filter(|one| holds(one)).count();
            assert!(
                count > voters.len() / 2,
                "{index} committed on {count} disks"
            );
        }
    }

    /// Checks that votes and acknowledgements are sent only after their sync.
    pub fn check_promise(&self, at: usize, message: &Envelope) {
        let disk = &self.vms[at].disk;
        match &message.body {
            Body::Voted { granted: true } => {
                let hard = disk.hard();
                let kept = hard.term > message.term
                    || (hard.term == message.term && hard.vote == Some(message.to));
                assert!(kept, "a vote was sent before its sync");
            }
            Body::Appended {
                agreed: true,
                index,
                ..
            } if *index > 0 => {
                let kept = disk.holds(&message.from, *index);
                assert!(kept, "entry {index} was acknowledged before its sync");
            }
            _ => {}
        }
    }

    /// Checks at the end that all results are linearizable and every member has the same state.
    pub fn check_end(&self) {
        let mut state = State::default();
        let mut verdicts = BTreeMap::new();
        let last = self.first_applied.keys().max().copied().unwrap_or(1);
        for index in 2..=last {
            let entry = self.first_applied.get(&index).expect("the log has no gap");
            if let log::Payload::Command {
                wall_ms,
                limits,
                command,
            } = &entry.payload
            {
                let verdict = state.apply(entry.clock_ms, *wall_ms, *limits, command);
                verdicts.insert(index, verdict);
            }
        }
        for done in &self.done {
            let is_it = |index: &u64| match &self.first_applied[index].payload {
                log::Payload::Command { command, .. } => *command == done.command,
                _ => false,
            };
            let indexes = verdicts.keys().filter(|index| is_it(index));
            // A retried change gets the verdict of its first attempt. Other commands may take effect
            // again.
            let is_change = matches!(done.command, Command::Configure(_));
            let mut indexes = indexes.take(if is_change { 1 } else { usize::MAX });
            let found =
                indexes.find(|index| verdicts[*index] == done.verdict && **index > done.floor);
            assert!(
                found.is_some(),
                "no order in time gives {:?} to {:?}",
                done.verdict,
                done.command
            );
        }
        for vm in self.vms.iter().filter(|vm| !vm.gone) {
            let replica = vm.replica.as_ref().expect("it runs");
            assert_eq!(*replica.state(), state, "a member's state differs");
        }
    }
}
