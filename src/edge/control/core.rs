//! The threads of the control role: `ctl-core` decides, `ctl-disk` writes and syncs,
//! `ctl-install` puts committed configurations in force here.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;

use crossbeam_channel as channel;
use tokio::sync::oneshot;

use super::Shared;
use super::disk;
use super::peer;
use super::watch;
use crate::control::consensus;
use crate::control::log;
use crate::control::member;
use crate::control::message;
use crate::control::replica;
use crate::edge::event::Event;
use crate::edge::node;
use crate::log_event;
use crate::wire::agree;

/// Inputs that may wait for the core thread. A full ring is answered `Unavailable`.
pub const INPUTS: usize = 16_384;

/// Inputs taken before what they led to is carried out.
const BATCH: usize = 2_048;

/// Writes handed to the disk thread and not yet synced. While one is synced the next gathers:
/// that is the group commit.
const WRITES: usize = 2;

/// Time between two ticks of the consensus.
const TICK: Duration = Duration::from_millis(20);

/// Pause before a failed write is tried again.
const RETRY: Duration = Duration::from_millis(500);

/// A question about the replica.
type Read = Box<dyn FnOnce(&replica::Replica, Duration) + Send>;

/// What the core thread takes.
pub enum Input {
    /// Messages of other members.
    Messages(Vec<message::Envelope>),
    /// A command.
    Propose(agree::Command, oneshot::Sender<agree::Verdict>),
    /// An operator's order.
    Order(member::Order, oneshot::Sender<member::Outcome>),
    /// A question.
    Read(Read),
    /// Others that there may be, and who founds the cluster.
    Know {
        /// Link addresses of processes that may be members.
        known: Vec<SocketAddr>,
        /// Who founds the cluster, at the first start of all.
        founders: Option<Vec<SocketAddr>>,
    },
    /// Give the leadership away.
    HandOver,
    /// End.
    Stop,
}

/// What the disk thread tells.
pub enum Synced {
    /// All up to this write is synced.
    Upto(u64),
    /// Nothing can be written now.
    Stalled(String),
    /// Nothing may be written any more.
    Failed(String),
}

/// The core thread.
pub struct Core {
    node: Arc<node::Node>,
    shared: Arc<Shared>,
    replica: replica::Replica,
    peers: peer::Peers,
    inputs: channel::Receiver<Input>,
    writes: channel::Sender<log::Write>,
    synced: channel::Receiver<Synced>,
    committed: channel::Sender<()>,
    in_flight: usize,
    /// The disk failed for good.
    failed: bool,
    next_token: replica::Token,
    waiting: HashMap<replica::Token, oneshot::Sender<agree::Verdict>>,
    standing: Option<consensus::Role>,
    /// Members last told of: their index, and whether they were committed.
    members: (u64, bool),
    ticked: Duration,
    told: Duration,
    watch: watch::Watch,
}

impl Core {
    /// Starts the three threads.
    pub fn start(
        node: &Arc<node::Node>,
        shared: &Arc<Shared>,
        replica: replica::Replica,
        disk: disk::Disk,
        inputs: channel::Receiver<Input>,
    ) -> anyhow::Result<Vec<thread::JoinHandle<()>>> {
        let (writes, to_write) = channel::bounded(WRITES);
        let (done, synced) = channel::bounded(WRITES * 4);
        let (committed, to_install) = channel::bounded(1);
        let stop = Arc::new(AtomicBool::new(false));
        let core = Self {
            node: Arc::clone(node),
            shared: Arc::clone(shared),
            replica,
            peers: peer::Peers::new(node),
            inputs,
            writes,
            synced,
            committed,
            in_flight: 0,
            failed: false,
            next_token: 0,
            waiting: HashMap::new(),
            standing: None,
            members: (0, false),
            ticked: Duration::ZERO,
            told: Duration::ZERO,
            watch: watch::Watch::new(node.metrics()),
        };
        let installer = (Arc::clone(node), Arc::clone(shared));
        let disk_stop = Arc::clone(&stop);
        Ok(vec![
            thread::Builder::new()
                .name("ctl-core".to_owned())
                .spawn(move || {
                    core.run();
                    stop.store(true, Ordering::Release);
                })?,
            thread::Builder::new()
                .name("ctl-disk".to_owned())
                .spawn(move || write_all(disk, &to_write, &done, &disk_stop))?,
            thread::Builder::new()
                .name("ctl-install".to_owned())
                .spawn(move || install_all(&installer.0, &installer.1, &to_install))?,
        ])
    }

    fn run(mut self) {
        let ticks = channel::tick(TICK);
        self.carry_out();
        loop {
            channel::select! {
                recv(self.inputs) -> input => match input {
                    Ok(input) => {
                        if !self.take_batch(input) {
                            return;
                        }
                    }
                    Err(_) => return,
                },
                recv(self.synced) -> synced => match synced {
                    Ok(synced) => self.take_synced(synced),
                    Err(_) => return,
                },
                recv(ticks) -> _ => {}
            }
            while let Ok(synced) = self.synced.try_recv() {
                self.take_synced(synced);
            }
            self.tick();
            self.carry_out();
        }
    }

    /// Takes `input` and more that wait. `false`: the thread ends.
    fn take_batch(&mut self, input: Input) -> bool {
        let mut next = Some(input);
        for _ in 0..BATCH {
            let Some(input) = next else {
                return true;
            };
            if !self.take(input) {
                return false;
            }
            next = self.inputs.try_recv().ok();
        }
        // The batch is full; what was taken last is not lost.
        next.is_none_or(|input| self.take(input))
    }

    fn take(&mut self, input: Input) -> bool {
        let now = self.node.now();
        match input {
            Input::Messages(messages) => {
                for message in messages {
                    self.replica.receive(now, message);
                }
            }
            Input::Propose(command, reply) => {
                self.next_token += 1;
                self.waiting.insert(self.next_token, reply);
                self.replica
                    .propose(now, wall_ms(), self.next_token, command);
            }
            Input::Order(order, reply) => {
                let _ = reply.send(self.replica.order(now, &order));
            }
            Input::Read(read) => read(&self.replica, now),
            Input::Know { known, founders } => self.replica.know(known, founders),
            Input::HandOver => {
                self.replica.hand_over(now);
            }
            Input::Stop => return false,
        }
        true
    }

    fn take_synced(&mut self, synced: Synced) {
        let now = self.node.now();
        match synced {
            Synced::Upto(seq) => {
                if self.replica.raft().stalled() {
                    log_event!(self.node.log(), Event::ControlDiskBack);
                }
                self.in_flight -= 1;
                self.replica.synced(now, seq);
            }
            Synced::Stalled(why) => {
                if !self.replica.raft().stalled() {
                    log_event!(self.node.log(), Event::ControlDiskStalled, "error" => why);
                }
                self.replica.stall(now);
            }
            Synced::Failed(why) => {
                log_event!(self.node.log(), Event::ControlDiskFailed, "error" => why);
                self.failed = true;
                self.replica.stall(now);
            }
        }
    }

    fn tick(&mut self) {
        let now = self.node.now();
        if now < self.ticked + TICK {
            return;
        }
        self.ticked = now;
        self.replica.tick(now);
        if now >= self.told + Duration::from_secs(1) {
            self.tell_suspects(now);
            self.watch.look(now, &self.replica, self.node.log());
        }
    }

    fn tell_suspects(&mut self, now: Duration) {
        self.told = now;
        let clock_ms = self.replica.raft().clock_ms(now);
        let suspects = self.replica.state().suspects(clock_ms);
        self.shared.suspects.store(Arc::new(suspects));
    }

    /// Carries out what the replica decided.
    fn carry_out(&mut self) {
        let now = self.node.now();
        self.replica.flush(now);
        if self.in_flight < WRITES
            && !self.failed
            && let Some(write) = self.replica.take_write()
        {
            self.in_flight += 1;
            // Cannot block: the ring has room for all in flight.
            let _ = self.writes.send(write);
        }
        for message in self.replica.take_messages() {
            self.peers.send(message);
        }
        let outputs = self.replica.take_outputs();
        // Before the verdict that lets others ask for them.
        if outputs.contains(&replica::Output::Suspected) {
            self.tell_suspects(now);
        }
        for output in outputs {
            self.tell(output);
        }
        self.tell_members();
        self.tell_standing();
    }

    fn tell(&mut self, output: replica::Output) {
        match output {
            replica::Output::Verdict(token, verdict) => {
                if let Some(reply) = self.waiting.remove(&token) {
                    let _ = reply.send(verdict);
                }
            }
            replica::Output::Published => {
                if let Some(document) = self.replica.state().document() {
                    self.node.documents().install(document.clone());
                }
            }
            // Told before all else.
            replica::Output::Suspected => {}
            replica::Output::Committed(revision) => {
                let Some(files) = self.replica.state().conf().files(revision) else {
                    return;
                };
                *self.shared.newest.lock().expect("newest lock") = Some((revision, files));
                // A full ring: the thread will find the newest anyway.
                let _ = self.committed.try_send(());
            }
        }
    }

    /// Told before the standing that rests on it.
    fn tell_members(&mut self) {
        let raft = self.replica.raft();
        let index = raft.membership_index();
        let members = (index, index <= raft.commit());
        if self.members == members || index == 0 {
            return;
        }
        self.members = members;
        let known = raft.membership();
        log_event!(self.node.log(), Event::ControlMembers, "index" => index,
            "committed" => members.1, "term" => raft.term(), "commit" => raft.commit(),
            "voters" => describe(&known.voters), "learners" => describe(&known.learners));
    }

    fn tell_standing(&mut self) {
        let raft = self.replica.raft();
        let leader = raft.leader().map(|one| one.addr);
        if **self.shared.leader.load() != leader {
            self.shared.leader.store(Arc::new(leader));
        }
        let standing = raft.role();
        if self.standing != Some(standing) {
            self.standing = Some(standing);
            let term = raft.term();
            log_event!(self.node.log(), Event::ControlStanding,
                "standing" => format!("{standing:?}"), "term" => term,
                "commit" => raft.commit(), "members" => raft.membership_index());
        }
    }
}

fn describe(members: &[member::Member]) -> String {
    let members = members.iter();
    let texts: Vec<String> = members
        .map(|one| format!("{}/{}", one.addr, one.life.0))
        .collect();
    texts.join(" ")
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// The disk thread: writes all that waits, syncs once, tells.
fn write_all(
    mut disk: disk::Disk,
    writes: &channel::Receiver<log::Write>,
    done: &channel::Sender<Synced>,
    stop: &AtomicBool,
) {
    while let Ok(first) = writes.recv() {
        let mut batch = vec![first];
        batch.extend(writes.try_iter());
        loop {
            let failure = match disk.write(&batch) {
                Ok(()) => break,
                Err(failure) => failure,
            };
            match failure {
                disk::Failure::Retry(err) => {
                    let _ = done.try_send(Synced::Stalled(err.to_string()));
                    thread::sleep(RETRY);
                }
                disk::Failure::Final(err) => {
                    let _ = done.send(Synced::Failed(err.to_string()));
                    // Stays until the core thread ends, which shows what happened.
                    writes.iter().for_each(drop);
                    return;
                }
            }
            if stop.load(Ordering::Acquire) {
                return;
            }
        }
        for write in batch {
            if done.send(Synced::Upto(write.seq)).is_err() {
                return;
            }
        }
    }
}

/// The install thread: puts the newest committed configuration in force in this process.
fn install_all(node: &Arc<node::Node>, shared: &Shared, committed: &channel::Receiver<()>) {
    while committed.recv().is_ok() {
        let newest = shared.newest.lock().expect("newest lock").take();
        let Some((revision, files)) = newest else {
            continue;
        };
        match node.conf_store().install(revision, &files) {
            Ok(true) => {
                log_event!(node.log(), Event::ConfigInstalled, "revision" => revision);
            }
            Ok(false) => {}
            Err(findings) => {
                for finding in findings {
                    log_event!(node.log(), Event::ConfigRefused, "finding" => finding.to_string());
                }
            }
        }
    }
}
