//! Start and end of simulated processes, and faults of their disks and clocks.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng as _;
use wigeonbarrow::control::consensus;
use wigeonbarrow::control::member::Member;
use wigeonbarrow::control::replica::Replica;
use wigeonbarrow::wire::id;

use super::Event;
use super::Net;
use super::Sim;
use super::disk;
use super::ms;

impl Sim {
    /// Starts the process on a VM with the data on its disk. A corrupt disk is replaced by an empty
    /// one, as an operator would do.
    pub fn start(&mut self, at: usize) {
        if self.vms[at].replica.is_some() || self.vms[at].gone {
            return;
        }
        if self.vms[at].disk.is_corrupt() {
            assert!(self.vms[at].disk.scan().is_err(), "a rotten log was used");
            self.lose_disk(at);
        }
        let addr = self.vms[at].addr;
        self.last_incarnation += 1;
        let me = Member {
            addr,
            life: id::Incarnation(self.last_incarnation),
        };
        let (me, saved) = self.vms[at].disk.open(me);
        let (founders, admission) = match self.open {
            Some((founders, least)) => (founders, consensus::Admission::Open { min_voters: least }),
            None => (self.vms.len(), consensus::Admission::Ordered),
        };
        let settings = consensus::Settings {
            me,
            founders: self.vms[..founders].iter().map(|vm| vm.addr).collect(),
            seed: self.rng.random(),
            timing: consensus::Timing::default(),
            may_found: self.open.is_none() || self.last_incarnation <= founders as u64,
            admission,
        };
        let replica = Replica::new(self.local_time(at), settings, saved);
        let mut replica = replica.expect("the snapshot decodes");
        replica.set_compact_bytes(self.compact);
        if self.open.is_some() {
            // Stands in for gossip: all processes learn each other's addresses.
            let addrs: Vec<SocketAddr> = self.vms.iter().map(|vm| vm.addr).collect();
            let others = self.vms.iter_mut().filter_map(|vm| vm.replica.as_mut());
            others.for_each(|other| other.set_peers(addrs.clone(), None));
            replica.set_peers(addrs, None);
        }
        let vm = &mut self.vms[at];
        vm.epoch += 1;
        vm.writing = false;
        vm.commit = replica.raft().commit();
        vm.applied = replica.applied();
        vm.revision = 0;
        vm.replica = Some(replica);
        let epoch = vm.epoch;
        self.after(ms(1), Event::Tick(at, epoch));
    }

    /// Kills the process on a VM. `tail`: what happens to its unsynced bytes.
    pub fn kill(&mut self, at: usize, tail: disk::Unsynced) {
        let cut = self.rng.random_range(0.0..1.0);
        let vm = &mut self.vms[at];
        vm.replica = None;
        vm.epoch += 1;
        vm.frozen = false;
        vm.backlog.clear();
        vm.disk.crash(tail, cut);
    }

    pub fn lose_for_good(&mut self, at: usize) {
        self.kill(at, disk::Unsynced::Lost);
        self.lose_disk(at);
        self.vms[at].gone = true;
    }

    pub fn lose_disk(&mut self, at: usize) {
        let disk = std::mem::take(&mut self.vms[at].disk);
        self.lost_disks.push(disk);
    }

    pub fn restart_after(&mut self, at: usize, delay: Duration) {
        self.after(delay, Event::Restart(at));
    }

    pub fn heal_after(&mut self, delay: Duration) {
        self.fault_active = true;
        self.after(delay, Event::Heal);
    }

    pub(super) fn heal(&mut self) {
        self.fault_active = false;
        self.net = Net::default();
        for at in 0..self.vms.len() {
            self.vms[at].disk.full = false;
            self.thaw(at);
            self.start(at);
        }
    }

    pub fn thaw(&mut self, at: usize) {
        self.vms[at].frozen = false;
        for event in std::mem::take(&mut self.vms[at].backlog) {
            self.after(Duration::ZERO, event);
        }
    }

    pub fn jump(&mut self, at: usize, by: Duration) {
        self.vms[at].jump += by;
    }

    pub fn set_rate(&mut self, at: usize, percent: u32) {
        // The clock continues from its current value.
        let before = self.local_time(at);
        self.vms[at].rate = percent;
        let after = self.local_time(at);
        self.vms[at].jump += before.saturating_sub(after);
    }
}
