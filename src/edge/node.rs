//! One process of the system: its settings, clock, configuration in force, links and roles.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use arc_swap::ArcSwap;
use tokio::time;

use super::conf;
use super::control;
use super::document;
use super::entry;
use super::lifetime;
use super::link;
use super::metric;
use super::sidecar;
use crate::config;
use crate::wire::agree;
use crate::wire::id;
use crate::wire::rpc;
use crate::wire::run;

/// A link to another process.
pub type Link = link::Client<Node>;

/// Time for one question to another process.
pub const ASK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause between two tries to reach a quorum.
const PROPOSE_PAUSE: Duration = Duration::from_millis(50);

/// How long suspects just told are added to views without them.
const TOLD_HOLDS: Duration = Duration::from_secs(2);

/// Settings of a process that all its roles need.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this process, unique in the fleet.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address on which other processes reach its link listener.
    pub link: SocketAddr,
    /// Shared key of the system's processes.
    pub process_key: String,
    /// Link addresses of control processes; on a sidecar also or only of entries.
    pub seeds: Vec<SocketAddr>,
}

/// One process of the system.
pub struct Node {
    settings: Settings,
    incarnation: id::Incarnation,
    started: Instant,
    log: slog::Logger,
    metrics: metric::Registry,
    conf: conf::Store,
    documents: document::Store,
    seeds: ArcSwap<Vec<SocketAddr>>,
    links: RwLock<HashMap<SocketAddr, Arc<Link>>>,
    view: ArcSwap<rpc::View>,
    /// Suspects just told, each until a time: a view without them is behind.
    told: Mutex<Vec<(agree::Suspect, Duration)>>,
    draining: AtomicBool,
    lifetime: lifetime::Lifetime,
    entry: OnceLock<Arc<entry::Entry>>,
    sidecar: OnceLock<Arc<sidecar::Sidecar>>,
    control: OnceLock<Arc<control::Control>>,
}

impl Node {
    /// A process without roles yet.
    pub fn new(settings: Settings, log: slog::Logger) -> Arc<Self> {
        let epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let metrics = metric::Registry::default();
        metrics.with(link::register);
        Arc::new(Self {
            incarnation: id::Incarnation(epoch.as_micros() as u64),
            started: Instant::now(),
            log,
            metrics,
            conf: conf::Store::default(),
            documents: document::Store::default(),
            seeds: ArcSwap::from_pointee(settings.seeds.clone()),
            links: RwLock::default(),
            view: ArcSwap::default(),
            told: Mutex::default(),
            draining: AtomicBool::new(false),
            lifetime: lifetime::Lifetime::default(),
            entry: OnceLock::new(),
            sidecar: OnceLock::new(),
            control: OnceLock::new(),
            settings,
        })
    }

    /// Its settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Link addresses at which other processes are first looked for.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.load().as_ref().clone()
    }

    /// Takes up other seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.seeds.store(Arc::new(seeds));
    }

    /// Its life.
    pub fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Time since its start: the `now` of all its decisions.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Its log.
    pub fn log(&self) -> &slog::Logger {
        &self.log
    }

    /// Its metrics.
    pub fn metrics(&self) -> &metric::Registry {
        &self.metrics
    }

    /// The configuration in force here.
    pub fn conf(&self) -> Arc<config::Set> {
        self.conf.set()
    }

    /// The store of configurations.
    pub fn conf_store(&self) -> &conf::Store {
        &self.conf
    }

    /// The newest committed document known here.
    pub fn documents(&self) -> &document::Store {
        &self.documents
    }

    /// Who else is there, as control last told.
    pub fn view(&self) -> Arc<rpc::View> {
        self.view.load_full()
    }

    /// Takes control's word on who is there.
    pub fn set_view(&self, mut view: rpc::View) {
        let now = self.now();
        let mut told = self.told.lock().expect("told lock");
        told.retain(|(_, until)| now < *until);
        for (suspect, _) in told.iter() {
            let known = view.suspects.iter_mut();
            let mut known = known.filter(|one| one.fingerprint == suspect.fingerprint);
            match known.next() {
                Some(known) if known.servers.len() >= suspect.servers.len() => {}
                Some(known) => known.clone_from(suspect),
                None => view.suspects.push(suspect.clone()),
            }
        }
        self.view.store(Arc::new(view));
    }

    /// Takes suspects of which the quorum just learned; a view made before that may still come.
    pub fn add_suspects(&self, suspects: &[agree::Suspect]) {
        let until = self.now() + TOLD_HOLDS;
        let told = suspects.iter().map(|suspect| (suspect.clone(), until));
        self.told.lock().expect("told lock").extend(told);
        self.set_view(self.view().as_ref().clone());
    }

    /// Whether it takes no new work.
    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Takes no new work from now on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// How long it goes on.
    pub fn lifetime(&self) -> &lifetime::Lifetime {
        &self.lifetime
    }

    /// Requests and attempts in progress, over its roles.
    pub fn in_progress(&self) -> usize {
        let entry = self.entry().map_or(0, |role| role.in_progress());
        let sidecar = self.sidecar().map_or(0, |role| role.in_progress());
        entry + sidecar
    }

    /// The link to the process at `addr`.
    pub fn link(self: &Arc<Self>, addr: SocketAddr) -> Arc<Link> {
        if let Some(link) = self.links.read().expect("links lock").get(&addr) {
            return Arc::clone(link);
        }
        let mut links = self.links.write().expect("links lock");
        let link = links.entry(addr).or_insert_with(|| {
            let key = &self.settings.process_key;
            Arc::new(Link::new(addr, key, Arc::clone(self)))
        });
        Arc::clone(link)
    }

    /// Forgets the link to a process that has gone.
    pub fn remove_link(&self, addr: SocketAddr) {
        self.links.write().expect("links lock").remove(&addr);
    }

    /// Puts a command to the agreed state, through this process's own control role or any
    /// control process that answers. `Unavailable` if none does within `timeout`.
    pub async fn propose(
        self: &Arc<Self>,
        command: agree::Command,
        timeout: Duration,
    ) -> agree::Verdict {
        let tries = async {
            loop {
                if let Some(verdict) = self.propose_once(&command).await {
                    return verdict;
                }
                time::sleep(PROPOSE_PAUSE).await;
            }
        };
        let verdict = time::timeout(timeout, tries).await;
        verdict.unwrap_or(agree::Verdict::Unavailable)
    }

    /// Puts a command once: to its own control role, else to each control process in turn until
    /// one answers.
    pub(crate) async fn propose_once(
        self: &Arc<Self>,
        command: &agree::Command,
    ) -> Option<agree::Verdict> {
        if let Some(control) = self.control() {
            let verdict = control.propose(command.clone()).await;
            return Some(verdict).filter(|verdict| *verdict != agree::Verdict::Unavailable);
        }
        let ask = rpc::Ask::Propose(command.clone());
        for addr in self.control_addrs() {
            match self.link(addr).ask(&ask, ASK_TIMEOUT).await {
                Ok(rpc::Answer::Verdict(agree::Verdict::Unavailable)) => {}
                Ok(rpc::Answer::Verdict(verdict)) => return Some(verdict),
                Ok(_) | Err(_) => {}
            }
        }
        None
    }

    /// Link addresses of control processes: from control's word, else the seeds.
    pub fn control_addrs(&self) -> Vec<SocketAddr> {
        let view = self.view();
        let known: Vec<SocketAddr> = view
            .peers
            .iter()
            .filter(|peer| peer.role == crate::wire::member::Role::Control)
            .map(|peer| peer.link)
            .collect();
        // The seeds last: all those known may be gone.
        let mut addrs = known;
        for seed in self.seeds() {
            if !addrs.contains(&seed) {
                addrs.push(seed);
            }
        }
        addrs
    }

    /// Adds the entry role.
    pub fn set_entry(&self, role: Arc<entry::Entry>) {
        assert!(self.entry.set(role).is_ok(), "the role is set once");
    }

    /// Adds the sidecar role.
    pub fn set_sidecar(&self, role: Arc<sidecar::Sidecar>) {
        assert!(self.sidecar.set(role).is_ok(), "the role is set once");
    }

    /// Adds the control role.
    pub fn set_control(&self, role: Arc<control::Control>) {
        assert!(self.control.set(role).is_ok(), "the role is set once");
    }

    /// Its entry role.
    pub fn entry(&self) -> Option<&Arc<entry::Entry>> {
        self.entry.get()
    }

    /// Its sidecar role.
    pub fn sidecar(&self) -> Option<&Arc<sidecar::Sidecar>> {
        self.sidecar.get()
    }

    /// Its control role.
    pub fn control(&self) -> Option<&Arc<control::Control>> {
        self.control.get()
    }
}

impl link::Handler for Node {
    fn revision(&self) -> u64 {
        self.conf.revision()
    }

    fn seen(&self, revision: u64, addr: Option<SocketAddr>) {
        self.conf.seen(revision, addr);
    }

    async fn ask(&self, ask: rpc::Ask) -> rpc::Answer {
        match ask {
            rpc::Ask::Pull { have, wait_ms } => {
                let wait = Duration::from_millis(wait_ms);
                rpc::Answer::Update(self.conf.pull(have, wait).await)
            }
            rpc::Ask::Announce(announce) => match self.entry() {
                Some(entry) => entry.announce(*announce).await,
                None => rpc::Answer::Unavailable,
            },
            rpc::Ask::Document { have } => rpc::Answer::Document(self.documents.newer_than(have)),
            rpc::Ask::Suspects(suspects) => {
                self.add_suspects(&suspects);
                rpc::Answer::Ack
            }
            rpc::Ask::Order(order) => match self.sidecar() {
                Some(sidecar) => rpc::Answer::Ordered(sidecar.order(order).await),
                None => rpc::Answer::Unavailable,
            },
            rpc::Ask::Hello(_)
            | rpc::Ask::Present(_)
            | rpc::Ask::Propose(_)
            | rpc::Ask::Consensus(_) => match self.control() {
                Some(control) => control.ask(ask).await,
                None => rpc::Answer::Unavailable,
            },
        }
    }

    async fn run(&self, tx: link::Sender<run::Reply>, rx: link::Receiver<run::Call>) {
        if let Some(sidecar) = self.sidecar() {
            sidecar.run(tx, rx).await;
        }
    }
}
