//! The threads of the control role: `ctl-core` runs the replica, `ctl-disk` writes and syncs the
//! log, `ctl-install` installs committed configurations in this process.

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

/// Capacity of the core thread's input queue. When it is full, callers get `Unavailable`.
pub const INPUT_QUEUE_LEN: usize = 16_384;

/// Most inputs handled before the resulting messages and writes are sent.
const MAX_INPUT_BATCH: usize = 2_048;

/// Writes at the disk thread that are not yet synced. Entries that arrive during a sync gather for
/// the next write (group commit).
const MAX_IN_FLIGHT_WRITES: usize = 2;

/// Interval between two ticks of the consensus.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Delay before a failed write is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reads from the replica on the core thread.
type Read = Box<dyn FnOnce(&replica::Replica, Duration) + Send>;

/// Input of the core thread.
pub enum Input {
    /// Messages from other members.
    Messages(Vec<message::Envelope>),
    /// A command to propose.
    Propose(agree::Command, oneshot::Sender<agree::Verdict>),
    /// An operator's membership change.
    Order(member::Order, oneshot::Sender<member::Outcome>),
    /// A read of the replica.
    Read(Read),
    /// Possible members, and the founders of the cluster.
    Peers {
        /// Link addresses of processes that may be members.
        addrs: Vec<SocketAddr>,
        /// The founders of the cluster, at the first start.
        founders: Option<Vec<SocketAddr>>,
    },
    /// Transfer the leadership.
    TransferLeadership,
    /// Stop the thread.
    Stop,
}

/// Report of the disk thread.
pub enum Report {
    /// All writes up to this sequence number are synced.
    Synced(u64),
    /// Writes fail for now and are retried.
    Stalled(String),
    /// A sync failed. No further write is allowed.
    Failed(String),
}

/// State of the core thread.
pub struct Core {
    node: Arc<node::Node>,
    shared: Arc<Shared>,
    replica: replica::Replica,
    peers: peer::Peers,
    inputs: channel::Receiver<Input>,
    writes: channel::Sender<log::Write>,
    reports: channel::Receiver<Report>,
    committed: channel::Sender<()>,
    /// Writes at the disk thread that are not yet synced.
    in_flight: usize,
    /// Whether the disk failed permanently.
    failed: bool,
    next_token: replica::Token,
    replies: HashMap<replica::Token, oneshot::Sender<agree::Verdict>>,
    logged_standing: Option<consensus::Role>,
    /// Membership logged last: its index, and whether it was committed.
    logged_members: (u64, bool),
    ticked_at: Duration,
    suspects_published_at: Duration,
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
        let (writes, to_write) = channel::bounded(MAX_IN_FLIGHT_WRITES);
        let (report_to, reports) = channel::bounded(MAX_IN_FLIGHT_WRITES * 4);
        let (committed, to_install) = channel::bounded(1);
        let stop = Arc::new(AtomicBool::new(false));
        let core = Self {
            node: Arc::clone(node),
            shared: Arc::clone(shared),
            replica,
            peers: peer::Peers::new(node),
            inputs,
            writes,
            reports,
            committed,
            in_flight: 0,
            failed: false,
            next_token: 0,
            replies: HashMap::new(),
            logged_standing: None,
            logged_members: (0, false),
            ticked_at: Duration::ZERO,
            suspects_published_at: Duration::ZERO,
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
                .spawn(move || run_disk(disk, &to_write, &report_to, &disk_stop))?,
            thread::Builder::new()
                .name("ctl-install".to_owned())
                .spawn(move || run_installer(&installer.0, &installer.1, &to_install))?,
        ])
    }

    fn run(mut self) {
        let ticks = channel::tick(TICK_INTERVAL);
        self.dispatch_outputs();
        loop {
            channel::select! {
                recv(self.inputs) -> input => match input {
                    Ok(input) => {
                        if !self.handle_batch(input) {
                            return;
                        }
                    }
                    Err(_) => return,
                },
                recv(self.reports) -> report => match report {
                    Ok(report) => self.handle_report(report),
                    Err(_) => return,
                },
                recv(ticks) -> _ => {}
            }
            while let Ok(report) = self.reports.try_recv() {
                self.handle_report(report);
            }
            self.tick();
            self.dispatch_outputs();
        }
    }

    /// Handles `input` and further queued inputs. Returns `false` if the thread must end.
    fn handle_batch(&mut self, input: Input) -> bool {
        let mut next = Some(input);
        for _ in 0..MAX_INPUT_BATCH {
            let Some(input) = next else {
                return true;
            };
            if !self.handle(input) {
                return false;
            }
            next = self.inputs.try_recv().ok();
        }
        // The batch is full, but the input received last must still be handled.
        next.is_none_or(|input| self.handle(input))
    }

    fn handle(&mut self, input: Input) -> bool {
        let now = self.node.now();
        match input {
            Input::Messages(messages) => {
                for message in messages {
                    self.replica.receive(now, message);
                }
            }
            Input::Propose(command, reply) => {
                self.next_token += 1;
                self.replies.insert(self.next_token, reply);
                self.replica
                    .propose(now, wall_ms(), self.next_token, command);
            }
            Input::Order(order, reply) => {
                let _ = reply.send(self.replica.order(now, &order));
            }
            Input::Read(read) => read(&self.replica, now),
            Input::Peers { addrs, founders } => self.replica.set_peers(addrs, founders),
            Input::TransferLeadership => {
                self.replica.transfer_leadership(now);
            }
            Input::Stop => return false,
        }
        true
    }

    fn handle_report(&mut self, report: Report) {
        let now = self.node.now();
        match report {
            Report::Synced(seq) => {
                if self.replica.raft().stalled() {
                    log_event!(self.node.log(), Event::ControlDiskBack);
                }
                self.in_flight -= 1;
                self.replica.synced(now, seq);
            }
            Report::Stalled(why) => {
                if !self.replica.raft().stalled() {
                    log_event!(self.node.log(), Event::ControlDiskStalled, "error" => why);
                }
                self.replica.stall(now);
            }
            Report::Failed(why) => {
                log_event!(self.node.log(), Event::ControlDiskFailed, "error" => why);
                self.failed = true;
                self.replica.stall(now);
            }
        }
    }

    fn tick(&mut self) {
        let now = self.node.now();
        if now < self.ticked_at + TICK_INTERVAL {
            return;
        }
        self.ticked_at = now;
        self.replica.tick(now);
        if now >= self.suspects_published_at + Duration::from_secs(1) {
            self.publish_suspects(now);
            self.watch.update(now, &self.replica, self.node.log());
        }
    }

    fn publish_suspects(&mut self, now: Duration) {
        self.suspects_published_at = now;
        let clock_ms = self.replica.raft().clock_ms(now);
        let suspects = self.replica.state().suspects(clock_ms);
        self.shared.suspects.store(Arc::new(suspects));
    }

    /// Passes on the writes, messages and outputs that the replica produced.
    fn dispatch_outputs(&mut self) {
        let now = self.node.now();
        self.replica.flush(now);
        if self.in_flight < MAX_IN_FLIGHT_WRITES
            && !self.failed
            && let Some(write) = self.replica.take_write()
        {
            self.in_flight += 1;
            // Cannot block: the channel has capacity for all writes in flight.
            let _ = self.writes.send(write);
        }
        for message in self.replica.take_messages() {
            self.peers.send(message);
        }
        let outputs = self.replica.take_outputs();
        // Publish suspects before the verdict: its receiver may ask for them at once.
        if outputs.contains(&replica::Output::SuspectsChanged) {
            self.publish_suspects(now);
        }
        for output in outputs {
            self.handle_output(output);
        }
        self.log_members();
        self.publish_standing();
    }

    fn handle_output(&mut self, output: replica::Output) {
        match output {
            replica::Output::Verdict(token, verdict) => {
                if let Some(reply) = self.replies.remove(&token) {
                    let _ = reply.send(verdict);
                }
            }
            replica::Output::Published => {
                if let Some(document) = self.replica.state().document() {
                    self.node.documents().install(document.clone());
                }
            }
            replica::Output::Evacuated => {
                let evacuations = self.replica.state().evacuations();
                self.node.evacuations().install(evacuations.clone());
            }
            // Already published in `dispatch_outputs`.
            replica::Output::SuspectsChanged => {}
            replica::Output::Committed(revision) => {
                let Some(files) = self.replica.state().conf().files(revision) else {
                    return;
                };
                *self.shared.pending_conf.lock().expect("pending conf lock") =
                    Some((revision, files));
                // If the channel is full, the thread is already due to read the newest one.
                let _ = self.committed.try_send(());
            }
        }
    }

    /// Logged before the role that follows from the membership.
    fn log_members(&mut self) {
        let raft = self.replica.raft();
        let index = raft.membership_index();
        let members = (index, index <= raft.commit());
        if self.logged_members == members || index == 0 {
            return;
        }
        self.logged_members = members;
        let known = raft.membership();
        let exchange = known
            .exchange
            .as_deref()
            .map(|one| (one.leaving, one.joining));
        let (leaving, joining) = exchange.unzip();
        log_event!(self.node.log(), Event::ControlMembers, "index" => index,
            "committed" => members.1, "term" => raft.term(), "commit" => raft.commit(),
            "voters" => describe(&known.voters), "learners" => describe(&known.learners),
            "leaving" => describe(leaving.as_slice()), "joining" => describe(joining.as_slice()));
    }

    fn publish_standing(&mut self) {
        let raft = self.replica.raft();
        let leader = raft.leader().map(|leader| leader.addr);
        if **self.shared.leader.load() != leader {
            self.shared.leader.store(Arc::new(leader));
        }
        let standing = raft.role();
        if self.logged_standing != Some(standing) {
            self.logged_standing = Some(standing);
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
        .map(|member| format!("{}/{}", member.addr, member.life.0))
        .collect();
    texts.join(" ")
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// The disk thread: writes all queued writes, syncs once and reports.
fn run_disk(
    mut disk: disk::Disk,
    writes: &channel::Receiver<log::Write>,
    reports: &channel::Sender<Report>,
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
                    let _ = reports.try_send(Report::Stalled(err.to_string()));
                    thread::sleep(WRITE_RETRY_DELAY);
                }
                disk::Failure::Final(err) => {
                    let _ = reports.send(Report::Failed(err.to_string()));
                    // Discard further writes instead of returning: the core thread would end with this
                    // one, and its status shows the failure.
                    writes.iter().for_each(drop);
                    return;
                }
            }
            if stop.load(Ordering::Acquire) {
                return;
            }
        }
        for write in batch {
            if reports.send(Report::Synced(write.seq)).is_err() {
                return;
            }
        }
    }
}

/// The install thread: installs the newest committed configuration in this process.
fn run_installer(node: &Arc<node::Node>, shared: &Shared, committed: &channel::Receiver<()>) {
    while committed.recv().is_ok() {
        let pending = shared
            .pending_conf
            .lock()
            .expect("pending conf lock")
            .take();
        let Some((revision, files)) = pending else {
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
