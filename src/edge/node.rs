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
use super::evacuation;
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

/// Timeout for one request to another process.
pub const ASK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Delay before a proposal that reached no quorum is retried.
const PROPOSE_DELAY: Duration = Duration::from_millis(50);

/// How long suspects reported directly are added to views that lack them.
const REPORTED_SUSPECT_TTL: Duration = Duration::from_secs(2);

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
    /// Link addresses of control processes. A sidecar may have entries as seeds as well, or only
    /// entries.
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
    evacuations: evacuation::Store,
    seeds: ArcSwap<Vec<SocketAddr>>,
    links: RwLock<HashMap<SocketAddr, Arc<Link>>>,
    view: ArcSwap<rpc::View>,
    /// Recently reported suspects and when each expires. A view without them is outdated.
    reported_suspects: Mutex<Vec<(agree::Suspect, Duration)>>,
    draining: AtomicBool,
    lifetime: lifetime::Lifetime,
    entry: OnceLock<Arc<entry::Entry>>,
    sidecar: OnceLock<Arc<sidecar::Sidecar>>,
    control: OnceLock<Arc<control::Control>>,
}

impl Node {
    /// Creates a process without roles.
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
            evacuations: evacuation::Store::default(),
            seeds: ArcSwap::from_pointee(settings.seeds.clone()),
            links: RwLock::default(),
            view: ArcSwap::default(),
            reported_suspects: Mutex::default(),
            draining: AtomicBool::new(false),
            lifetime: lifetime::Lifetime::default(),
            entry: OnceLock::new(),
            sidecar: OnceLock::new(),
            control: OnceLock::new(),
            settings,
        })
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Link addresses at which this process first looks for others.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.load().as_ref().clone()
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.seeds.store(Arc::new(seeds));
    }

    /// Identifies this run of the process: its start time in microseconds since 1970.
    pub fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Time since the start of the process. All its decisions use this clock.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn log(&self) -> &slog::Logger {
        &self.log
    }

    pub fn metrics(&self) -> &metric::Registry {
        &self.metrics
    }

    /// The configuration in force here.
    pub fn conf(&self) -> Arc<config::Set> {
        self.conf.set()
    }

    /// The store behind [`Self::conf`].
    pub fn conf_store(&self) -> &conf::Store {
        &self.conf
    }

    /// The newest committed document known here.
    pub fn documents(&self) -> &document::Store {
        &self.documents
    }

    /// The evacuated zones as known here.
    pub fn evacuations(&self) -> &evacuation::Store {
        &self.evacuations
    }

    /// The newest view of the other processes from control.
    pub fn view(&self) -> Arc<rpc::View> {
        self.view.load_full()
    }

    /// Replaces the view, and adds the recently reported suspects to it.
    pub fn set_view(&self, mut view: rpc::View) {
        let now = self.now();
        let mut reported = self.reported_suspects.lock().expect("suspects lock");
        reported.retain(|(_, expires_at)| now < *expires_at);
        for (suspect, _) in reported.iter() {
            let known = view.suspects.iter_mut();
            let mut known = known.filter(|known| known.fingerprint == suspect.fingerprint);
            match known.next() {
                Some(known) if known.servers.len() >= suspect.servers.len() => {}
                Some(known) => known.clone_from(suspect),
                None => view.suspects.push(suspect.clone()),
            }
        }
        self.view.store(Arc::new(view));
    }

    /// Adds suspects that the quorum has just committed. Until they expire, they are also added to
    /// later views, which may have been made before.
    pub fn add_suspects(&self, suspects: &[agree::Suspect]) {
        let expires_at = self.now() + REPORTED_SUSPECT_TTL;
        let reported = suspects.iter().map(|suspect| (suspect.clone(), expires_at));
        self.reported_suspects
            .lock()
            .expect("suspects lock")
            .extend(reported);
        self.set_view(self.view().as_ref().clone());
    }

    /// Whether this process accepts no new work.
    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Accepts no new work from now on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    pub fn lifetime(&self) -> &lifetime::Lifetime {
        &self.lifetime
    }

    /// Number of requests and attempts in progress, over all roles.
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

    /// Drops the link to a process that is gone.
    pub fn remove_link(&self, addr: SocketAddr) {
        self.links.write().expect("links lock").remove(&addr);
    }

    /// Proposes a command to the quorum, through the control role of this process or any control
    /// process that answers, with retries. `Unavailable` if none answers within `timeout`.
    pub async fn propose(
        self: &Arc<Self>,
        command: agree::Command,
        timeout: Duration,
    ) -> agree::Verdict {
        let attempts = async {
            loop {
                if let Some(verdict) = self.propose_once(&command).await {
                    return verdict;
                }
                time::sleep(PROPOSE_DELAY).await;
            }
        };
        let verdict = time::timeout(timeout, attempts).await;
        verdict.unwrap_or(agree::Verdict::Unavailable)
    }

    /// Proposes a command on evacuated zones. They are in force here once a quorum has stored it.
    pub async fn propose_evacuation(
        self: &Arc<Self>,
        command: agree::Command,
        timeout: Duration,
    ) -> agree::Verdict {
        let verdict = self.propose(command, timeout).await;
        if let agree::Verdict::Evacuations(evacuations) = &verdict {
            self.evacuations.install(evacuations.clone());
        }
        verdict
    }

    /// Proposes a command without retries: to the control role of this process, or else to each
    /// control process in turn until one answers. `None`: none answered.
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

    /// Link addresses of control processes: those of the view, then the seeds.
    pub fn control_addrs(&self) -> Vec<SocketAddr> {
        let view = self.view();
        let known: Vec<SocketAddr> = view
            .peers
            .iter()
            .filter(|peer| peer.role == crate::wire::member::Role::Control)
            .map(|peer| peer.link)
            .collect();
        // The seeds are included in case all processes of the view are gone.
        let mut addrs = known;
        for seed in self.seeds() {
            if !addrs.contains(&seed) {
                addrs.push(seed);
            }
        }
        addrs
    }

    /// Adds the entry role. Panics if it is set already.
    pub fn set_entry(&self, role: Arc<entry::Entry>) {
        assert!(self.entry.set(role).is_ok(), "role set twice");
    }

    /// Adds the sidecar role. Panics if it is set already.
    pub fn set_sidecar(&self, role: Arc<sidecar::Sidecar>) {
        assert!(self.sidecar.set(role).is_ok(), "role set twice");
    }

    /// Adds the control role. Panics if it is set already.
    pub fn set_control(&self, role: Arc<control::Control>) {
        assert!(self.control.set(role).is_ok(), "role set twice");
    }

    /// The entry role, if this process has it.
    pub fn entry(&self) -> Option<&Arc<entry::Entry>> {
        self.entry.get()
    }

    /// The sidecar role, if this process has it.
    pub fn sidecar(&self) -> Option<&Arc<sidecar::Sidecar>> {
        self.sidecar.get()
    }

    /// The control role, if this process has it.
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
            rpc::Ask::Evacuations { have } => {
                rpc::Answer::Evacuations(self.evacuations.newer_than(have))
            }
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
