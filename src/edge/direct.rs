//! An entry that sends requests to backend servers directly, without sidecars: the listener for
//! callers, the client of backend servers, and the gossip datagrams between processes.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time;

use super::body;
use super::document;
use super::event::Event;
use super::node;
use crate::direct::backoff;
use crate::direct::budget;
use crate::direct::catalog;
use crate::direct::congestion;
use crate::direct::forecast;
use crate::direct::gossip;
use crate::direct::health;
use crate::direct::lane;
use crate::direct::load;
use crate::direct::membership;
use crate::direct::part;
use crate::direct::quota;
use crate::direct::register;
use crate::direct::suspect;
use crate::direct::tally;
use crate::direct::waiting;
use crate::direct::writing;
use crate::log_event;
use crate::overload;
use crate::wire::agree;

mod account;
pub mod attempt;
pub mod buffer;
pub mod choose;
pub mod context;
pub mod count;
pub mod cut;
pub mod daemon;
pub mod dialect;
mod electorate;
mod eligibility;
pub mod evacuation;
mod grant;
pub mod health_check;
pub mod heartbeat;
pub mod log_limit;
pub mod mesh;
pub mod outbound;
pub mod pending;
pub mod pool;
pub mod probe;
pub mod progress;
pub mod publish;
mod queue;
mod rejection;
pub mod relay;
pub mod reserve;
mod resume;
pub mod silence;
mod span;
mod stop;
pub mod stream;
mod suspicion;
mod turn;

/// Time after a start by which the other entries are known. The retry budget is shared with them.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);

/// Entries that a restarted process assumes until then.
const ASSUMED_ENTRIES: usize = 40;

/// Settings of an entry without sidecars.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Limit on retries.
    pub retries: budget::Limit,
    /// Whether the whole system starts for the first time, not only this process.
    pub first_start: bool,
    /// Whether this process has a data folder and so may vote in the control quorum.
    pub votes: bool,
    /// Whether it accepts callers' requests.
    pub serves: bool,
    /// Time after which a backend server drops a memory reservation that is not renewed.
    pub reservation_ttl: Duration,
    /// How many times the rate of requests that a cold server is meant to take it survives.
    pub cold_overshoot: f64,
    /// Limits of the machine on this process.
    pub machine: overload::Machine,
    /// Bounds of the requests that wait here for a place.
    pub waiting: crate::queue::Bounds,
    /// Availability zones of the deployment, each with its region. Empty: not known.
    pub zones: BTreeMap<String, String>,
}

/// State shared by all requests.
pub struct State {
    /// Known backend servers.
    pub register: register::Register,
    /// Recent failures and slowness of each backend server.
    pub healths: health::Health,
    /// Requests during which backend servers died.
    pub suspects: suspect::Suspects,
    /// Parts of prompts under which backend servers crashed.
    pub parts: part::Parts,
    /// Budget for retries.
    pub budget: budget::Budget,
    /// Load of each backend server, from all entries.
    pub loads: load::Table,
    /// Share of recent time in which long prompts waited.
    pub congestion: congestion::Congestion,
    /// By service: when a waiting long prompt starts.
    pub forecasts: HashMap<String, forecast::Forecast>,
    /// Request limits that backend servers announce.
    pub quotas: quota::Quotas,
    /// Pauses that backend servers asked for.
    pub backoffs: backoff::Backoffs,
    /// Counts of what was recently sent to backend servers.
    pub tally: tally::Tally,
    /// How long responses took to generate after their first event.
    pub writing: writing::Writing,
}

impl State {
    /// Samples whether a long prompt waits now. Returns the demand for the reading of long prompts.
    pub fn observe_demand(&mut self, now: Duration) -> lane::Demand {
        let waits = self.loads.has_waiting(now);
        self.congestion.observe(now, waits);
        let level = self.congestion.level();
        lane::Demand { waits, level }
    }
}

/// An entry without sidecars.
pub struct Direct {
    node: Arc<node::Node>,
    settings: Settings,
    dialect: Box<dyn dialect::Dialect>,
    catalog: ArcSwapOption<catalog::Catalog>,
    /// Newest version as a quorum confirmed it once since the start. `None`: not confirmed yet.
    confirmed: watch::Sender<Option<u64>>,
    state: Mutex<State>,
    pool: pool::Pool,
    membership: Mutex<membership::Membership>,
    log_limiter: log_limit::Limiter,
    cut_ids: cut::Gathered,
    counts: count::Counts,
    /// Requests that wait for a place.
    queue: queue::Queue,
    /// Requests in progress.
    progress: progress::Table,
    /// Memory of callers' bodies.
    bodies: Arc<body::Pool>,
    /// Memory of responses that are read whole.
    buffers: Arc<buffer::Pool>,
    /// Notified when load that other entries should know of changed here.
    loads_changed: Notify,
    /// Messages to send to all other processes at once, with repeats.
    broadcasts: Mutex<Vec<gossip::Message>>,
    message_queued: Notify,
    /// Messages to send once, each to one process.
    unicasts: Mutex<Vec<(SocketAddr, gossip::Message)>>,
    grant_requests: Mutex<grant::Requests>,
    /// Silent servers that are watched, each with the requests that left it.
    watches: Mutex<HashMap<register::Instance, Vec<suspicion::Run>>>,
    /// Notified when a configuration came into force or a backend server became known.
    availability_changed: Notify,
}

/// Parses a published document into a catalog, or returns all its findings.
pub type Read = fn(&[u8]) -> Result<catalog::Catalog, Vec<catalog::Finding>>;

impl Direct {
    /// Creates an entry of `node` that uses the header and body formats of `dialect`.
    pub fn new(
        node: &Arc<node::Node>,
        settings: Settings,
        dialect: Box<dyn dialect::Dialect>,
    ) -> Arc<Self> {
        let state = State {
            register: register::Register::default(),
            healths: health::Health::default(),
            suspects: suspect::Suspects::default(),
            parts: part::Parts::default(),
            budget: budget::Budget::new(settings.retries),
            loads: load::Table::default(),
            congestion: congestion::Congestion::default(),
            forecasts: HashMap::new(),
            quotas: quota::Quotas::default(),
            backoffs: backoff::Backoffs::default(),
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
            membership: Mutex::default(),
            log_limiter: log_limit::Limiter::default(),
            cut_ids: cut::Gathered::default(),
            counts: count::Counts::new(node.metrics()),
            queue: queue::Queue::new(settings.waiting),
            progress: progress::Table::default(),
            bodies: body::Pool::new(settings.machine.bounds(overload::Users::Callers).bodies),
            buffers: buffer::Pool::new(settings.machine.responses()),
            loads_changed: Notify::new(),
            broadcasts: Mutex::default(),
            message_queued: Notify::new(),
            unicasts: Mutex::default(),
            grant_requests: Mutex::default(),
            watches: Mutex::default(),
            availability_changed: Notify::new(),
            settings,
        })
    }

    /// The process that this entry runs in.
    pub fn node(&self) -> &Arc<node::Node> {
        &self.node
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The configuration in force here.
    pub fn catalog(&self) -> Option<Arc<catalog::Catalog>> {
        self.catalog.load_full()
    }

    /// Locks the state shared by all requests.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("entry state lock")
    }

    /// The configuration in force here. If there is none yet, waits for it up to `timeout`.
    pub(crate) async fn await_catalog(&self, timeout: Duration) -> Option<Arc<catalog::Catalog>> {
        let waiting = async {
            loop {
                let availability_changed = self.availability_changed.notified();
                if let Some(catalog) = self.catalog() {
                    return catalog;
                }
                availability_changed.await;
            }
        };
        self.unless_stopping(timeout, waiting).await
    }

    /// Awaits `waiting` up to `timeout`. `None`: it timed out, or this process got the stop signal.
    async fn unless_stopping<T>(
        &self,
        timeout: Duration,
        waiting: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::select! {
            biased;
            result = time::timeout(timeout, waiting) => result.ok(),
            () = self.node.lifetime().stopping() => None,
        }
    }

    /// Whether `catalog` is the newest, or was at some time since the start. A catalog read from
    /// the local disk, or fetched from the first process that answered, may be older than what was
    /// acknowledged while this process was down.
    pub(crate) fn is_confirmed(&self, catalog: &catalog::Catalog) -> bool {
        let confirmed = *self.confirmed.borrow();
        confirmed.is_some_and(|version| catalog.version() >= version)
    }

    /// Waits up to `timeout` until the configuration in force here is confirmed as the newest.
    pub(crate) async fn await_confirmed(&self, timeout: Duration) -> Option<Arc<catalog::Catalog>> {
        let mut confirmed = self.confirmed.subscribe();
        let waiting = async {
            // Can't fail: the sender lives as long as this entry.
            let _ = confirmed.wait_for(Option::is_some).await;
            loop {
                let availability_changed = self.availability_changed.notified();
                if let Some(catalog) = self.catalog().filter(|catalog| self.is_confirmed(catalog)) {
                    return catalog;
                }
                availability_changed.await;
            }
        };
        self.unless_stopping(timeout, waiting).await
    }

    /// Waits up to `timeout` until a backend server of `service` is known, in an evacuated zone or
    /// not.
    pub(crate) async fn await_server(&self, service: &str, timeout: Duration) {
        let waiting = async {
            loop {
                let availability_changed = self.availability_changed.notified();
                if self.state().register.has_open(service) {
                    return;
                }
                availability_changed.await;
            }
        };
        // The caller looks up the register again, whatever the outcome.
        let _ = self.unless_stopping(timeout, waiting).await;
    }

    /// Whether callers' requests can be served: the configuration is known, and at least one
    /// service has a ready backend server.
    pub fn ready(&self) -> bool {
        let Some(catalog) = self.catalog() else {
            return false;
        };
        let now = self.node.now();
        let state = self.state();
        let mut services = catalog.services().iter();
        services.any(|service| state.register.ready(now, &service.name).next().is_some())
    }

    /// Puts each newer committed document in force. Does not return while the process runs.
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
                self.capacity_changed(waiting::Source::Here);
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

    /// Sends a message to all other processes at once, with repeats against loss.
    pub(crate) fn broadcast(&self, message: gossip::Message) {
        self.broadcasts
            .lock()
            .expect("broadcasts lock")
            .push(message);
        self.message_queued.notify_one();
    }

    /// Sends a message to one other process at once, without repeats.
    pub(crate) fn send_to(&self, to: SocketAddr, message: gossip::Message) {
        self.unicasts
            .lock()
            .expect("unicasts lock")
            .push((to, message));
        self.message_queued.notify_one();
    }

    /// Number of processes that accept callers' requests, including this one.
    pub(crate) fn entry_count(&self) -> usize {
        let known = 1 + self.membership().all().filter(|peer| peer.serves).count();
        // A process that has just restarted knows few other entries, or none.
        if !self.settings.first_start && self.node.now() < DISCOVERY_TIME {
            return known.max(ASSUMED_ENTRIES);
        }
        known
    }

    /// Most idle connections that this entry keeps to each backend server of `service`.
    pub(crate) fn max_idle(&self, service: &str) -> usize {
        let catalog = self.catalog();
        let service = catalog
            .as_ref()
            .and_then(|catalog| catalog.service(service));
        let accepted = service.map_or(0, |service| service.max_connections);
        pool::max_idle(accepted, self.entry_count())
    }

    /// Closes expired idle connections and drops state of servers that are long gone. To be called
    /// each second.
    pub fn sweep(&self) {
        self.pool.prune();
        self.log_sent();
        self.log_ended_pauses();
        self.prune_grants();
        self.count_waiting();
        self.counts.set_body_bytes(self.bodies.used());
        let now = self.node.now();
        let mut state = self.state();
        state.register.prune(now);
        state.parts.prune(now);
        let State {
            register, healths, ..
        } = &mut *state;
        healths.retain(|instance| register.get(instance).is_some());
        drop(state);
        self.prune_limits();
    }
}
