//! The control role: runs [`crate::control`] with a disk, timers and links.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam_channel as channel;
use tokio::sync::oneshot;
use tokio::time;

use super::event::Event;
use super::node;
use crate::control::consensus;
use crate::control::member;
use crate::control::message;
use crate::control::replica;
use crate::control::state;
use crate::log_event;
use crate::wire::agree;
use crate::wire::member as wire_member;
use crate::wire::rpc;

pub mod core;
pub mod disk;
mod peer;
pub mod presence;
mod share;
mod watch;

/// Timeout of a proposal at this member. Shorter than the timeout of the process that sent it.
const PROPOSE_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Timeout of a request to the core thread.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long an answer to `Hello` is cached.
const VIEW_TTL: Duration = Duration::from_millis(100);

/// Settings of the control role.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The data folder.
    pub data: PathBuf,
    /// Link addresses of the initial members, including this process. Used only when the data
    /// folder is created.
    pub members: Vec<SocketAddr>,
    /// Whether `members` found the cluster. If `false`, [`Control::set_peers`] sets the founders
    /// later.
    pub founds: bool,
    /// How members are admitted and removed.
    pub admission: consensus::Admission,
    /// Bytes of entries after which a snapshot is taken. Half of it bounds what a restart reads.
    pub compact_bytes: usize,
}

/// State shared by the threads and tasks of the role.
#[derive(Default)]
pub struct Shared {
    /// The known leader.
    pub(crate) leader: ArcSwap<Option<SocketAddr>>,
    /// Suspects that have not expired.
    pub(crate) suspects: ArcSwap<Vec<agree::Suspect>>,
    /// Newest committed configuration that the install thread has not yet taken: revision, files.
    pub(crate) pending_conf: Mutex<Option<(u64, Vec<agree::File>)>>,
}

/// The control role.
pub struct Control {
    node: Arc<node::Node>,
    shared: Arc<Shared>,
    presence: presence::Presence,
    view: Mutex<Option<(Duration, rpc::View)>>,
    inputs: channel::Sender<core::Input>,
    threads: Mutex<Vec<thread::JoinHandle<()>>>,
}

impl Control {
    /// Opens the data folder and starts the role's threads and tasks. Must be called within a
    /// Tokio runtime, which then runs the links.
    pub fn start(node: &Arc<node::Node>, settings: Settings) -> anyhow::Result<Arc<Self>> {
        let addr = node.settings().link;
        let opened = disk::Disk::open(&settings.data, addr, node.incarnation())?;
        let me = opened.me;
        if opened.is_new {
            log_event!(node.log(), Event::ControlNew, "life" => me.life.0);
        }
        log_event!(node.log(), Event::ControlOpened, "life" => me.life.0,
            "entries" => opened.saved.entries.len(), "torn_bytes" => opened.torn);
        let mut listed = settings.members.clone();
        if !listed.contains(&addr) {
            listed.push(addr);
        }
        let consensus = consensus::Settings {
            me,
            founders: listed,
            seed: rand::random(),
            timing: consensus::Timing::default(),
            may_found: settings.founds,
            admission: settings.admission,
        };
        let mut replica = replica::Replica::new(node.now(), consensus, opened.saved)
            .map_err(|why| anyhow::anyhow!("snapshot of the agreed state: {why}"))?;
        replica.set_compact_bytes(settings.compact_bytes);
        let shared = Arc::new(Shared::default());
        let (inputs, input_queue) = channel::bounded(core::INPUT_QUEUE_LEN);
        let threads = core::Core::start(node, &shared, replica, opened.disk, input_queue)?;
        let control = Arc::new(Self {
            node: Arc::clone(node),
            shared,
            presence: presence::Presence::default(),
            view: Mutex::new(None),
            inputs,
            threads: Mutex::new(threads),
        });
        tokio::spawn(share::run(Arc::downgrade(&control)));
        Ok(control)
    }

    /// Answers `Hello`, `Present`, `Propose` and `Consensus`.
    pub async fn ask(&self, ask: rpc::Ask) -> rpc::Answer {
        match ask {
            rpc::Ask::Hello(peer) => rpc::Answer::View(self.hello(peer)),
            rpc::Ask::Present(peers) => {
                self.presence.merge(self.node.now(), peers);
                rpc::Answer::Ack
            }
            rpc::Ask::Propose(command) => rpc::Answer::Verdict(self.propose(command).await),
            rpc::Ask::Consensus(bytes) => match message::Packet::decode(&bytes) {
                Some(packet) => self.packet(packet).await,
                None => rpc::Answer::Unavailable,
            },
            _ => rpc::Answer::Unavailable,
        }
    }

    async fn packet(&self, packet: message::Packet) -> rpc::Answer {
        match packet {
            message::Packet::Batch(messages) => {
                match self.inputs.try_send(core::Input::Messages(messages)) {
                    Ok(()) => rpc::Answer::Ack,
                    Err(_) => rpc::Answer::Unavailable,
                }
            }
            message::Packet::Forward(command) => {
                rpc::Answer::Verdict(self.propose_locally(command).await)
            }
            message::Packet::Order(order) => {
                let verdict = match self.order_locally(order).await {
                    member::Outcome::Taken => agree::Verdict::Done { revision: 0 },
                    member::Outcome::Refused(why) => agree::Verdict::Invalid(vec![why]),
                    member::Outcome::Unavailable => agree::Verdict::Unavailable,
                };
                rpc::Answer::Verdict(verdict)
            }
        }
    }

    /// Proposes a command to the leader. After `Unavailable` the command may or may not have been
    /// applied. Every command may be retried.
    pub async fn propose(&self, command: agree::Command) -> agree::Verdict {
        match self.other_leader() {
            None => self.propose_locally(command).await,
            Some(addr) => {
                let packet = message::Packet::Forward(command);
                self.forward(addr, &packet).await
            }
        }
    }

    async fn propose_locally(&self, command: agree::Command) -> agree::Verdict {
        let (reply, verdict) = oneshot::channel();
        let input = core::Input::Propose(command, reply);
        if self.inputs.try_send(input).is_err() {
            return agree::Verdict::Unavailable;
        }
        match time::timeout(PROPOSE_TIMEOUT, verdict).await {
            Ok(Ok(verdict)) => verdict,
            _ => agree::Verdict::Unavailable,
        }
    }

    /// The known leader, if it is another process.
    fn other_leader(&self) -> Option<SocketAddr> {
        let leader = **self.shared.leader.load();
        leader.filter(|addr| *addr != self.node.settings().link)
    }

    async fn forward(&self, addr: SocketAddr, packet: &message::Packet) -> agree::Verdict {
        let request = rpc::Ask::Consensus(packet.encode());
        match self.node.link(addr).ask(&request, PROPOSE_TIMEOUT).await {
            Ok(rpc::Answer::Verdict(verdict)) => verdict,
            _ => agree::Verdict::Unavailable,
        }
    }

    fn hello(&self, peer: wire_member::Peer) -> rpc::View {
        let now = self.node.now();
        self.presence.hello(now, peer);
        let mut view = self.view.lock().expect("view lock");
        if let Some((built_at, view)) = &*view
            && now < *built_at + VIEW_TTL
        {
            return view.clone();
        }
        let built = self.build_view(now);
        *view = Some((now, built.clone()));
        built
    }

    fn build_view(&self, now: Duration) -> rpc::View {
        let own = self.own_peer();
        let mut peers = self.presence.list(now, |peer| {
            peer.role != wire_member::Role::Sidecar && peer.name != own.name
        });
        peers.push(own);
        // Leader first: processes try the peers in this order when they propose.
        let leader = **self.shared.leader.load();
        peers.sort_by_key(|peer| Some(peer.link) != leader);
        let suspects = self.shared.suspects.load();
        rpc::View {
            peers,
            suspects: suspects.as_ref().clone(),
        }
    }

    fn own_peer(&self) -> wire_member::Peer {
        let settings = self.node.settings();
        wire_member::Peer {
            role: wire_member::Role::Control,
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            link: settings.link,
            incarnation: self.node.incarnation(),
            revision: self.node.conf_store().revision(),
        }
    }

    /// All processes with a valid presence lease, with the configuration revision that each runs.
    pub fn live(&self) -> Vec<wire_member::Peer> {
        self.presence.list(self.node.now(), |_| true)
    }

    /// Status of this member, or `None` if its core thread has ended or is overloaded.
    pub async fn status(&self) -> Option<replica::Status> {
        self.read(replica::Replica::status).await
    }

    /// The last `count` revisions of the configuration that this member has applied, newest
    /// first.
    pub async fn history(&self, count: usize) -> Option<Vec<state::Meta>> {
        self.read(move |replica, _| {
            let history = replica.state().conf().history().rev();
            history.take(count).cloned().collect()
        })
        .await
    }

    /// The files of a revision, or `Some(None)` if they are not kept.
    pub async fn files(&self, revision: u64) -> Option<Option<Vec<agree::File>>> {
        self.read(move |replica, _| replica.state().conf().files(revision))
            .await
    }

    async fn read<T: Send + 'static>(
        &self,
        read: impl FnOnce(&replica::Replica, Duration) -> T + Send + 'static,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        let read = Box::new(move |replica: &replica::Replica, now: Duration| {
            let _ = reply.send(read(replica, now));
        });
        self.inputs.try_send(core::Input::Read(read)).ok()?;
        time::timeout(READ_TIMEOUT, answer).await.ok()?.ok()
    }

    /// Sends an operator's membership change to the leader. `Taken` means that it has started:
    /// [`Self::status`] shows when it is complete.
    pub async fn order(&self, order: member::Order) -> member::Outcome {
        let Some(addr) = self.other_leader() else {
            return self.order_locally(order).await;
        };
        match self.forward(addr, &message::Packet::Order(order)).await {
            agree::Verdict::Done { .. } => member::Outcome::Taken,
            agree::Verdict::Invalid(why) => member::Outcome::Refused(why.join("; ")),
            _ => member::Outcome::Unavailable,
        }
    }

    async fn order_locally(&self, order: member::Order) -> member::Outcome {
        let (reply, ordered) = oneshot::channel();
        let input = core::Input::Order(order, reply);
        if self.inputs.try_send(input).is_err() {
            return member::Outcome::Unavailable;
        }
        match time::timeout(READ_TIMEOUT, ordered).await {
            Ok(Ok(ordered)) => ordered,
            _ => member::Outcome::Unavailable,
        }
    }

    /// The known leader.
    pub fn leader(&self) -> Option<SocketAddr> {
        **self.shared.leader.load()
    }

    /// Sets the addresses of possible members and, at the first start, of the cluster's founders.
    pub fn set_peers(&self, addrs: Vec<SocketAddr>, founders: Option<Vec<SocketAddr>>) {
        // If the queue is full, the next call half a second later passes the same addresses.
        let _ = self.inputs.try_send(core::Input::Peers { addrs, founders });
    }

    /// Transfers the leadership if this process is the leader and another member exists. Waits
    /// for that up to `timeout`. To be called when the process drains.
    pub async fn transfer_leadership(&self, timeout: Duration) {
        let deadline = time::Instant::now() + timeout;
        let is_single = self
            .status()
            .await
            .is_none_or(|status| status.members.len() < 2);
        while !is_single && time::Instant::now() < deadline {
            match self.status().await {
                Some(status) if status.standing == consensus::Role::Leader => {}
                _ => return,
            }
            let _ = self.inputs.try_send(core::Input::TransferLeadership);
            time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Stops the role's threads, waits for them and closes the data folder. A process may also
    /// exit without it: nothing is acknowledged before it is synced.
    pub fn stop(&self) {
        let _ = self.inputs.send(core::Input::Stop);
        let threads = std::mem::take(&mut *self.threads.lock().expect("threads lock"));
        for thread in threads {
            let _ = thread.join();
        }
    }
}
