//! The control role: disk, timers and links around [`crate::control`].

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

/// Time for a proposal here, below the time that its asker gives.
const PROPOSE_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Time for a question to the core thread.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long an answer to `Hello` is used for others that ask.
const VIEW_HOLDS: Duration = Duration::from_millis(100);

/// Settings of the control role.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The data folder.
    pub data: PathBuf,
    /// Link addresses of the first members, this process's own among them. Used only when the
    /// data folder is made.
    pub members: Vec<SocketAddr>,
    /// Whether the members above found the first cluster. `false`: they are told later, by
    /// [`Control::know`].
    pub founds: bool,
    /// How members come and go.
    pub admission: consensus::Admission,
    /// Bytes of entries after which a snapshot is taken. Half of it bounds what a restart reads.
    pub compact_bytes: usize,
}

/// What the threads and tasks of the role share.
#[derive(Default)]
pub struct Shared {
    /// The leader known here.
    pub(crate) leader: ArcSwap<Option<SocketAddr>>,
    /// Suspects in force.
    pub(crate) suspects: ArcSwap<Vec<agree::Suspect>>,
    /// Newest committed configuration that is not yet installed here.
    pub(crate) newest: Mutex<Option<(u64, Vec<agree::File>)>>,
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
    /// Opens the data folder and starts the role's threads and tasks. To be called within a
    /// runtime, which carries its links.
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
        replica.compact_each(settings.compact_bytes);
        let shared = Arc::new(Shared::default());
        let (inputs, taken) = channel::bounded(core::INPUTS);
        let threads = core::Core::start(node, &shared, replica, opened.disk, taken)?;
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
                self.presence.told(self.node.now(), peers);
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
                rpc::Answer::Verdict(self.propose_here(command).await)
            }
            message::Packet::Order(order) => {
                let verdict = match self.order_here(order).await {
                    member::Outcome::Taken => agree::Verdict::Done { revision: 0 },
                    member::Outcome::Refused(why) => agree::Verdict::Invalid(vec![why]),
                    member::Outcome::Unavailable => agree::Verdict::Unavailable,
                };
                rpc::Answer::Verdict(verdict)
            }
        }
    }

    /// Puts a command to the agreed state, at the leader. `Unavailable`: not done, or not known
    /// to be done; every command may be put again.
    pub async fn propose(&self, command: agree::Command) -> agree::Verdict {
        match self.other_leader() {
            None => self.propose_here(command).await,
            Some(addr) => {
                let packet = message::Packet::Forward(command);
                self.forward(addr, &packet).await
            }
        }
    }

    async fn propose_here(&self, command: agree::Command) -> agree::Verdict {
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

    /// The leader, if it is another process.
    fn other_leader(&self) -> Option<SocketAddr> {
        let leader = **self.shared.leader.load();
        leader.filter(|addr| *addr != self.node.settings().link)
    }

    async fn forward(&self, addr: SocketAddr, packet: &message::Packet) -> agree::Verdict {
        let ask = rpc::Ask::Consensus(packet.encode());
        match self.node.link(addr).ask(&ask, PROPOSE_TIMEOUT).await {
            Ok(rpc::Answer::Verdict(verdict)) => verdict,
            _ => agree::Verdict::Unavailable,
        }
    }

    fn hello(&self, peer: wire_member::Peer) -> rpc::View {
        let now = self.node.now();
        self.presence.hello(now, peer);
        let mut view = self.view.lock().expect("view lock");
        if let Some((at, view)) = &*view
            && now < *at + VIEW_HOLDS
        {
            return view.clone();
        }
        let made = self.make_view(now);
        *view = Some((now, made.clone()));
        made
    }

    fn make_view(&self, now: Duration) -> rpc::View {
        let me = self.me();
        let mut peers = self.presence.list(now, |peer| {
            peer.role != wire_member::Role::Sidecar && peer.name != me.name
        });
        peers.push(me);
        // The leader first: whoever proposes asks in this order.
        let leader = **self.shared.leader.load();
        peers.sort_by_key(|peer| Some(peer.link) != leader);
        let suspects = self.shared.suspects.load();
        rpc::View {
            peers,
            suspects: suspects.as_ref().clone(),
        }
    }

    fn me(&self) -> wire_member::Peer {
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

    /// All processes that said hello lately, with the revision in force there.
    pub fn present(&self) -> Vec<wire_member::Peer> {
        self.presence.list(self.node.now(), |_| true)
    }

    /// What this member knows of itself and the others. `None`: its core thread ended or is
    /// overloaded.
    pub async fn status(&self) -> Option<replica::Status> {
        self.read(replica::Replica::status).await
    }

    /// The last `count` revisions of the configuration, newest first, as far as this member
    /// knows.
    pub async fn history(&self, count: usize) -> Option<Vec<state::Meta>> {
        self.read(move |replica, _| {
            let history = replica.state().conf().history().rev();
            history.take(count).cloned().collect()
        })
        .await
    }

    /// The files of a revision. `Some(None)`: it is not kept.
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

    /// Carries out an operator's order on the members, at the leader. `Taken` means begun:
    /// [`Self::status`] shows when it is done.
    pub async fn order(&self, order: member::Order) -> member::Outcome {
        let Some(addr) = self.other_leader() else {
            return self.order_here(order).await;
        };
        match self.forward(addr, &message::Packet::Order(order)).await {
            agree::Verdict::Done { .. } => member::Outcome::Taken,
            agree::Verdict::Invalid(why) => member::Outcome::Refused(why.join("; ")),
            _ => member::Outcome::Unavailable,
        }
    }

    async fn order_here(&self, order: member::Order) -> member::Outcome {
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

    /// The leader known here.
    pub fn leader(&self) -> Option<SocketAddr> {
        **self.shared.leader.load()
    }

    /// Tells the member which others there may be, and, at the first start of all, who founds
    /// the cluster.
    pub fn know(&self, known: Vec<SocketAddr>, founders: Option<Vec<SocketAddr>>) {
        // A full ring: the next call, half a second later, says the same.
        let _ = self.inputs.try_send(core::Input::Know { known, founders });
    }

    /// Gives the leadership away if this process has it and another can take it; waits for
    /// that, `timeout` at the most. To be called when the process drains.
    pub async fn hand_over(&self, timeout: Duration) {
        let end = time::Instant::now() + timeout;
        let alone = self.status().await.is_none_or(|one| one.members.len() < 2);
        while !alone && time::Instant::now() < end {
            match self.status().await {
                Some(status) if status.standing == consensus::Role::Leader => {}
                _ => return,
            }
            let _ = self.inputs.try_send(core::Input::HandOver);
            time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Ends the role's threads and closes the data folder. Blocks until they have ended. A
    /// process may also just exit: nothing was acknowledged that is not synced.
    pub fn stop(&self) {
        let _ = self.inputs.send(core::Input::Stop);
        let threads = std::mem::take(&mut *self.threads.lock().expect("threads lock"));
        for thread in threads {
            let _ = thread.join();
        }
    }
}
