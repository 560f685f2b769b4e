//! An entry that drives backend servers itself: callers' requests in, one client of backend
//! servers, and the datagrams between processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time;

use super::document;
use super::event::Event;
use super::node;
use crate::direct::budget;
use crate::direct::catalog;
use crate::direct::congestion;
use crate::direct::gossip;
use crate::direct::health;
use crate::direct::load;
use crate::direct::membership;
use crate::direct::quota;
use crate::direct::register;
use crate::direct::tally;
use crate::direct::writing;
use crate::log_event;
use crate::wire::agree;

mod account;
pub mod attempt;
pub mod choose;
pub mod context;
pub mod count;
pub mod daemon;
pub mod dialect;
mod electorate;
mod eligibility;
mod grant;
pub mod health_check;
pub mod heartbeat;
pub mod listener;
pub mod log_limit;
pub mod mesh;
pub mod pool;
mod probe;
pub mod progress;
pub mod publish;
pub mod relay;
pub mod reserve;
mod span;
mod stop;
pub mod stream;
mod turn;

/// Time after a start from which the others are known that share a budget.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);

/// Entries that a process reckons with until then.
const ASSUMED_ENTRIES: usize = 40;

/// Settings of an entry without sidecars.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Bound on requests that are sent again.
    pub retries: budget::Limit,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Whether this process has a data folder and so may vote.
    pub votes: bool,
    /// Whether it takes callers' requests.
    pub serves: bool,
    /// Time for which memory at a backend server is set aside without renewal.
    pub reservation_ttl: Duration,
}

/// What requests share.
pub struct State {
    /// Backend servers.
    pub register: register::Register,
    /// How they did lately.
    pub healths: health::Health,
    /// Requests under which servers died.
    pub suspects: health::Suspects,
    /// Requests sent again.
    pub budget: budget::Budget,
    /// What runs where.
    pub board: load::Table,
    /// How much long prompts waited lately.
    pub pressure: congestion::Congestion,
    /// Limits that backend servers name.
    pub quotas: quota::Quotas,
    /// What was sent to backend servers lately.
    pub tally: tally::Tally,
    /// How long answers took to be written.
    pub writing: writing::Writing,
}

impl State {
    /// Takes note of whether long prompts wait.
    pub fn observe_congestion(&mut self, now: Duration) {
        let waits = self.board.has_waiting(now);
        self.pressure.observe(now, waits);
    }
}

/// The entry.
pub struct Direct {
    node: Arc<node::Node>,
    settings: Settings,
    dialect: Box<dyn dialect::Dialect>,
    catalog: ArcSwapOption<catalog::Catalog>,
    /// Newest version as a quorum told it once since the start. `None`: none has told yet.
    confirmed: watch::Sender<Option<u64>>,
    state: Mutex<State>,
    pool: pool::Pool,
    roster: Mutex<membership::Membership>,
    log_limiter: log_limit::Limiter,
    counts: count::Counts,
    /// Requests in progress.
    progress: progress::Table,
    /// Something of interest to other entries changed in what runs here.
    loads_changed: Notify,
    /// Records to pass on at once.
    news: Mutex<Vec<gossip::Message>>,
    news_came: Notify,
    /// What to tell single processes, once.
    letters: Mutex<Vec<(SocketAddr, gossip::Message)>>,
    grant_requests: Mutex<grant::Requests>,
    /// A configuration came into force, or a backend server became known.
    availability_changed: Notify,
}

/// Reads a published document: the catalog, or all that is wrong with it.
pub type Read = fn(&[u8]) -> Result<catalog::Catalog, Vec<catalog::Finding>>;

impl Direct {
    /// An entry of `node` that speaks `dialect`.
    pub fn new(
        node: &Arc<node::Node>,
        settings: Settings,
        dialect: Box<dyn dialect::Dialect>,
    ) -> Arc<Self> {
        let state = State {
            register: register::Register::default(),
            healths: health::Health::default(),
            suspects: health::Suspects::default(),
            budget: budget::Budget::new(settings.retries),
            board: load::Table::default(),
            pressure: congestion::Congestion::default(),
            quotas: quota::Quotas::default(),
            tally: tally::Tally::default(),
            writing: writing::Writing::default(),
        };
        Arc::new(Self {
            node: Arc::clone(node),
            dialect,
            catalog: ArcSwapOption::empty(),
            confirmed: watch::Sender::new(None),
            state: Mutex::new(state),
            pool: pool::Pool::default(),
            roster: Mutex::default(),
            log_limiter: log_limit::Limiter::default(),
            counts: count::Counts::new(node.metrics()),
            progress: progress::Table::default(),
            loads_changed: Notify::new(),
            news: Mutex::default(),
            news_came: Notify::new(),
            letters: Mutex::default(),
            grant_requests: Mutex::default(),
            availability_changed: Notify::new(),
            settings,
        })
    }

    /// The process.
    pub fn node(&self) -> &Arc<node::Node> {
        &self.node
    }

    /// Its settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The configuration in force here.
    pub fn catalog(&self) -> Option<Arc<catalog::Catalog>> {
        self.catalog.load_full()
    }

    /// What requests share.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("entry state lock")
    }

    /// The configuration in force here, or the first one if it comes within `limit`.
    pub(crate) async fn await_catalog(&self, limit: Duration) -> Option<Arc<catalog::Catalog>> {
        let waiting = async {
            loop {
                let availability_changed = self.availability_changed.notified();
                if let Some(catalog) = self.catalog() {
                    return catalog;
                }
                availability_changed.await;
            }
        };
        self.unless_ending(limit, waiting).await
    }

    /// What `waiting` gives within `limit`, unless this process is told to stop meanwhile.
    async fn unless_ending<T>(
        &self,
        limit: Duration,
        waiting: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::select! {
            biased;
            got = time::timeout(limit, waiting) => got.ok(),
            () = self.node.lifetime().stopping() => None,
        }
    }

    /// Whether `catalog` is the newest, or was so at some time since the start. What a process
    /// reads from its own disk, or gets from whoever answers first, may be older than what was
    /// acknowledged while it was away.
    pub(crate) fn is_confirmed(&self, catalog: &catalog::Catalog) -> bool {
        let told = *self.confirmed.borrow();
        told.is_some_and(|version| catalog.version() >= version)
    }

    /// The configuration in force here once it is confirmed, `limit` at the most.
    pub(crate) async fn await_confirmed(&self, limit: Duration) -> Option<Arc<catalog::Catalog>> {
        let mut told = self.confirmed.subscribe();
        let waiting = async {
            // The sender lives as long as this entry.
            let _ = told.wait_for(Option::is_some).await;
            loop {
                let availability_changed = self.availability_changed.notified();
                if let Some(catalog) = self.catalog().filter(|one| self.is_confirmed(one)) {
                    return catalog;
                }
                availability_changed.await;
            }
        };
        self.unless_ending(limit, waiting).await
    }

    /// Waits until a backend server of `service` is known, `limit` at the most.
    pub(crate) async fn await_server(&self, service: &str, limit: Duration) {
        let waiting = async {
            loop {
                let availability_changed = self.availability_changed.notified();
                let now = self.node.now();
                if self.state().register.ready(now, service).next().is_some() {
                    return;
                }
                availability_changed.await;
            }
        };
        // Whoever waits finds out by itself what is known then.
        let _ = self.unless_ending(limit, waiting).await;
    }

    /// Whether callers' requests can be served: the configuration is known, and servers of at
    /// least one service.
    pub fn ready(&self) -> bool {
        let Some(catalog) = self.catalog() else {
            return false;
        };
        let now = self.node.now();
        let state = self.state();
        let mut services = catalog.services().iter();
        services.any(|one| state.register.ready(now, &one.name).next().is_some())
    }

    /// Puts each newer committed document in force. Never ends.
    pub async fn follow_documents(self: Arc<Self>, read: Read) {
        let mut documents = self.node.documents().watch();
        loop {
            let document = documents.borrow_and_update().clone();
            if let Some(document) = document {
                self.install(&document, read);
            }
            if documents.changed().await.is_err() {
                return;
            }
        }
    }

    fn install(&self, document: &agree::Document, read: Read) {
        let version = document.version;
        let text = match document::unpack(&document.packed) {
            Ok(text) => text,
            Err(err) => {
                log_event!(self.node.log(), Event::DocumentUnread, "version" => version,
                    "finding" => err.to_string());
                return;
            }
        };
        match read(&text) {
            Ok(catalog) => {
                self.catalog.store(Some(Arc::new(catalog)));
                self.availability_changed.notify_waiters();
                log_event!(self.node.log(), Event::DocumentInForce, "version" => version,
                    "bytes" => text.len());
            }
            Err(findings) => {
                let finding = findings.first().map(ToString::to_string);
                log_event!(self.node.log(), Event::DocumentUnread, "version" => version,
                    "finding" => finding.unwrap_or_default());
            }
        }
    }

    /// Tells all other processes at once.
    pub(crate) fn broadcast(&self, news: gossip::Message) {
        self.news.lock().expect("news lock").push(news);
        self.news_came.notify_one();
    }

    /// Tells one other process at once, and once.
    pub(crate) fn send_to(&self, to: SocketAddr, news: gossip::Message) {
        self.letters.lock().expect("letters lock").push((to, news));
        self.news_came.notify_one();
    }

    /// Processes that take callers' requests, this one among them.
    pub(crate) fn entry_count(&self) -> usize {
        let known = 1 + self.roster().all().filter(|one| one.serves).count();
        // A process that has just started again knows few of the others, or none.
        if !self.settings.first_start && self.node.now() < DISCOVERY_TIME {
            return known.max(ASSUMED_ENTRIES);
        }
        known
    }

    /// Idle connections kept to each server of a service.
    pub(crate) fn max_idle(&self, service: &str) -> usize {
        let catalog = self.catalog();
        let service = catalog.as_ref().and_then(|one| one.service(service));
        let accepted = service.map_or(0, |one| one.max_connections);
        pool::max_idle(accepted, self.entry_count())
    }

    /// Closes idle connections and forgets what has long gone. To be called each second.
    pub fn sweep(&self) {
        self.pool.prune();
        self.log_sent();
        self.prune_grants();
        let now = self.node.now();
        let mut state = self.state();
        state.register.prune(now);
        let State {
            register, healths, ..
        } = &mut *state;
        healths.retain(|life| register.get(life).is_some());
        drop(state);
        self.prune_limits();
    }
}
