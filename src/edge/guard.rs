//! Holds the users of a listener to their bounds: its open connections, and a count of what was
//! refused.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::family;
use tokio::sync::Notify;
use tokio::time;

use super::event::Event;
use super::metric;
use crate::log_event;
use crate::overload;

/// Longest wait for a connection that was told to close.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(50);

/// Connections told to close for one new connection before it is refused.
const MAX_YIELDS: usize = 3;

/// Interval of log lines on what was refused.
const REPORT: Duration = Duration::from_secs(1);

key! {
    /// Why something of a user was refused or closed.
    pub enum Cause {
        /// A new connection: all others are being served.
        Connection,
        /// A connection that waited for its user longest, while all were in use.
        Idle,
        /// A head over the limit.
        Head,
        /// A body over the limit.
        BodySize,
        /// A body that paused for too long or did not come in time.
        BodyTime,
        /// A body that made less progress than others, while memory or connections were used up.
        BodyProgress,
        /// A body for which there was no memory.
        Memory,
    }
}

impl Cause {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::Idle => "idle",
            Self::Head => "head",
            Self::BodySize => "body_size",
            Self::BodyTime => "body_time",
            Self::BodyProgress => "body_progress",
            Self::Memory => "memory",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Label {
    users: &'static str,
    cause: &'static str,
}

/// Counts what was refused at all listeners of a process.
#[derive(Clone, Debug, Default)]
pub struct Count(family::Family<Label, counter::Counter>);

impl Count {
    /// Creates the counter and registers it.
    pub fn new(metrics: &metric::Registry) -> Self {
        let count = Self::default();
        metrics.with(|registry| {
            let sub = registry.sub_registry_with_prefix("listener");
            let help = "Refused or closed at a listener, by its users and the cause";
            sub.register("refused", help, count.0.clone());
        });
        count
    }
}

/// What was refused since the last log line.
#[derive(Debug, Default)]
struct Refusals {
    counts: HashMap<Cause, u32>,
    logged: Option<Instant>,
}

/// The bounds of one listener, and its open connections.
#[derive(Debug)]
pub struct Guard {
    users: overload::Users,
    bounds: overload::Bounds,
    began: Instant,
    connections: Mutex<overload::Connections>,
    /// One for each open connection.
    slots: Mutex<HashMap<u64, Arc<Signals>>>,
    closed: Notify,
    count: Count,
    refusals: Mutex<Refusals>,
    log: slog::Logger,
}

impl Guard {
    /// Guards the listener for `users` on a machine.
    pub fn new(
        users: overload::Users,
        machine: &overload::Machine,
        count: &Count,
        log: &slog::Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            users,
            bounds: machine.bounds(users),
            began: Instant::now(),
            connections: Mutex::default(),
            slots: Mutex::default(),
            closed: Notify::new(),
            count: count.clone(),
            refusals: Mutex::default(),
            log: log.clone(),
        })
    }

    /// Largest head of a request, if `configured` bytes are allowed.
    pub fn head_bytes(&self, configured: usize) -> usize {
        self.bounds.head_bytes(configured)
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections().len()
    }

    /// Takes a place for a new connection whose heads have up to `head_bytes`. `None`: it is refused.
    pub async fn admit(self: &Arc<Self>, head_bytes: usize) -> Option<Arc<Slot>> {
        let most = self.bounds.connections(head_bytes);
        for _ in 0..=MAX_YIELDS {
            let closed = self.closed.notified();
            let verdict = self.connections().admit(self.began.elapsed(), most);
            match verdict {
                overload::Verdict::Admitted(id) => return Some(self.slot(id)),
                overload::Verdict::Yields(id) => {
                    self.refused(Cause::Idle);
                    self.signals(id, Signals::close);
                    // It may have got a request meanwhile; then another one yields.
                    let _ = time::timeout(CLOSE_TIMEOUT, closed).await;
                }
                overload::Verdict::Refused => break,
            }
        }
        self.refused(Cause::Connection);
        None
    }

    /// Counts something that was refused, and logs at most one line an interval.
    pub fn refused(&self, cause: Cause) {
        let label = Label {
            users: self.users.name(),
            cause: cause.name(),
        };
        self.count.0.get_or_create(&label).inc();
        let mut refusals = self.refusals.lock().expect("refusals lock");
        *refusals.counts.entry(cause).or_default() += 1;
        if refusals.logged.is_some_and(|at| at.elapsed() < REPORT) {
            return;
        }
        refusals.logged = Some(Instant::now());
        for (cause, count) in std::mem::take(&mut refusals.counts) {
            log_event!(self.log, Event::UsersRefused, "users" => self.users.name(),
                "cause" => cause.name(), "count" => count, "open" => self.open_connections());
        }
    }

    fn slot(self: &Arc<Self>, id: u64) -> Arc<Slot> {
        let signals = Arc::<Signals>::default();
        self.slots().insert(id, Arc::clone(&signals));
        Arc::new(Slot {
            guard: Arc::clone(self),
            id,
            signals,
        })
    }

    fn signals(&self, id: u64, send: impl FnOnce(&Signals)) {
        if let Some(signals) = self.slots().get(&id) {
            send(signals);
        }
    }

    fn connections(&self) -> MutexGuard<'_, overload::Connections> {
        self.connections.lock().expect("connections lock")
    }

    fn slots(&self) -> MutexGuard<'_, HashMap<u64, Arc<Signals>>> {
        self.slots.lock().expect("slots lock")
    }
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum Phase {
    /// A request, or the rest of its head.
    Head,
    /// The rest of a body.
    Body,
    /// Nothing: it is being served.
    Served,
}

/// Tells a connection to close.
#[derive(Debug, Default)]
struct Signals {
    /// The connection's [`Phase`].
    phase: AtomicU8,
    /// Whether it has been told to close. It need not once it is served.
    is_told: AtomicBool,
    told: Notify,
}

impl Signals {
    fn enter(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
        if phase == Phase::Served {
            self.is_told.store(false, Ordering::Relaxed);
        }
    }

    fn close(&self) {
        self.is_told.store(true, Ordering::Relaxed);
        self.told.notify_waiters();
    }

    /// Returns when the connection has been told to close in this phase.
    async fn told_in(&self, phase: Phase) {
        loop {
            let told = self.told.notified();
            let is_in = self.phase.load(Ordering::Relaxed) == phase as u8;
            if is_in && self.is_told.load(Ordering::Relaxed) {
                return;
            }
            told.await;
        }
    }
}

/// The place of an open connection, given back when it is dropped.
#[derive(Debug)]
pub struct Slot {
    guard: Arc<Guard>,
    id: u64,
    signals: Arc<Signals>,
}

impl Slot {
    /// The listener's guard.
    pub fn guard(&self) -> &Arc<Guard> {
        &self.guard
    }

    /// The connection waits for a request from now on.
    pub fn wait_for_head(&self) {
        self.signals.enter(Phase::Head);
        let now = self.guard.began.elapsed();
        self.guard.connections().wait(self.id, now);
    }

    /// The connection waits for the rest of a body, which has just progressed.
    pub fn wait_for_body(&self) {
        self.signals.enter(Phase::Body);
        let now = self.guard.began.elapsed();
        self.guard.connections().wait(self.id, now);
    }

    /// The connection is being served from now on.
    pub fn serve(&self) {
        self.signals.enter(Phase::Served);
        self.guard.connections().serve(self.id);
    }

    /// Returns when the connection, which waits for a request, has to close.
    pub async fn has_to_close(&self) {
        self.signals.told_in(Phase::Head).await;
    }

    /// Returns when the connection, of which a body is being read, has to give it up.
    pub async fn has_to_give_up_body(&self) {
        self.signals.told_in(Phase::Body).await;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.guard.slots().remove(&self.id);
        self.guard.connections().close(self.id);
        self.guard.closed.notify_one();
    }
}
