//! The core thread, which owns the router. Tasks reach it over bounded queues.

use std::collections::HashMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel as ring;
use tokio::sync::oneshot;

use super::super::node;
use super::count;
use crate::config;
use crate::edge::event::Event;
use crate::entry::job;
use crate::entry::router;
use crate::log_event;
use crate::wire::id;
use crate::wire::member;
use crate::wire::outcome;
use crate::wire::rpc;

/// Placement requests queued for the core thread. When the queue is full, the request fails as
/// `Busy`.
const PLACEMENT_QUEUE: usize = 4_096;

/// Announcements and feedback queued for the core thread.
const EVENT_QUEUE: usize = 16_384;

/// Queries for the list of backend servers queued for the core thread.
const LIST_QUEUE: usize = 16;

/// Maximum number of queued events handled before the next placement request.
const EVENT_BATCH: usize = 256;

/// Longest sleep of the core thread, and so the longest delay before it sees a new configuration or
/// view.
const MAX_SLEEP: Duration = Duration::from_millis(50);

/// Time between two updates of the router's metrics.
const METRICS_PERIOD: Duration = Duration::from_millis(250);

/// Pause before a task retries sending to a full queue.
const SEND_RETRY_PAUSE: Duration = Duration::from_millis(1);

/// The router's answer to a placement request.
pub type Decision = Result<job::Placement, outcome::Failure>;

type ListQuery = oneshot::Sender<Vec<member::Announce>>;

type Request = (Box<job::Job>, oneshot::Sender<Decision>);

/// Sends to the core thread.
#[derive(Clone)]
pub struct Handle {
    events: ring::Sender<router::Event>,
    placements: ring::Sender<Request>,
    lists: ring::Sender<ListQuery>,
}

impl Handle {
    /// Starts the thread.
    pub fn start(node: &Arc<node::Node>, count: &Arc<count::Count>) -> Self {
        let (events_tx, events) = ring::bounded(EVENT_QUEUE);
        let (placements_tx, placements) = ring::bounded(PLACEMENT_QUEUE);
        let (lists_tx, lists) = ring::bounded(LIST_QUEUE);
        let core = Core::new(
            Arc::clone(node),
            Arc::clone(count),
            events,
            placements,
            lists,
        );
        thread::Builder::new()
            .name("entry-core".to_owned())
            .spawn(move || core.run())
            .expect("a thread can be started");
        Self {
            events: events_tx,
            placements: placements_tx,
            lists: lists_tx,
        }
    }

    /// Requests a placement. `None` if the queue is full.
    pub fn place(&self, job: job::Job) -> Option<oneshot::Receiver<Decision>> {
        let (tx, rx) = oneshot::channel();
        self.placements.try_send((Box::new(job), tx)).ok()?;
        Some(rx)
    }

    /// The live backend servers, by their last announcements. `None` if the core thread is busy.
    pub async fn list(&self) -> Option<Vec<member::Announce>> {
        let (tx, rx) = oneshot::channel();
        self.lists.try_send(tx).ok()?;
        rx.await.ok()
    }

    /// Sends an event without waiting. `false` if the queue is full and the event was dropped.
    pub fn try_send(&self, event: router::Event) -> bool {
        self.events.try_send(event).is_ok()
    }

    /// Sends an event that must not be lost. Waits, without blocking the thread, while the queue is
    /// full.
    pub async fn send(&self, event: router::Event) {
        let mut event = event;
        while let Err(ring::TrySendError::Full(returned)) = self.events.try_send(event) {
            event = returned;
            tokio::time::sleep(SEND_RETRY_PAUSE).await;
        }
    }
}

struct Core {
    node: Arc<node::Node>,
    /// The configuration last given to the router.
    conf: Arc<config::Set>,
    /// The view last given to the router.
    view: Arc<rpc::View>,
    /// Changes of the evacuated zones last given to the router.
    evacuations: u64,
    count: Arc<count::Count>,
    events: ring::Receiver<router::Event>,
    placements: ring::Receiver<Request>,
    lists: ring::Receiver<ListQuery>,
    router: router::Router,
    /// Senders for requests that wait for a decision. Invariant: a request waits at most once.
    waiting: HashMap<id::Request, oneshot::Sender<Decision>>,
    actions: Vec<router::Action>,
}

impl Core {
    fn new(
        node: Arc<node::Node>,
        count: Arc<count::Count>,
        events: ring::Receiver<router::Event>,
        placements: ring::Receiver<Request>,
        lists: ring::Receiver<ListQuery>,
    ) -> Self {
        let seed = node.incarnation().0;
        let router = router::Router::new(seed, &node.settings().zone, node.conf());
        Self {
            conf: node.conf(),
            view: Arc::default(),
            evacuations: 0,
            node,
            count,
            events,
            placements,
            lists,
            router,
            waiting: HashMap::new(),
            actions: Vec::new(),
        }
    }

    /// Runs until all handles are dropped.
    fn run(mut self) {
        let mut counts = self.router.counts();
        let mut counted_at = Duration::ZERO;
        loop {
            let now = self.node.now();
            let sleep = self.router.wake().saturating_sub(now).min(MAX_SLEEP);
            ring::select! {
                recv(self.events) -> event => match event {
                    Ok(event) => self.step(event),
                    Err(_) => return,
                },
                recv(self.placements) -> request => match request {
                    Ok(request) => self.place(request),
                    Err(_) => return,
                },
                recv(self.lists) -> tx => match tx {
                    Ok(tx) => {
                        let _ = tx.send(self.router.fleet().present(self.node.now()));
                    }
                    Err(_) => return,
                },
                default(sleep) => self.step(router::Event::Tick),
            }
            for event in self.events.clone().try_iter().take(EVENT_BATCH) {
                self.step(event);
            }
            if now >= counted_at + METRICS_PERIOD {
                counted_at = now;
                self.count.record_router(&counts, &self.router);
                counts = self.router.counts();
            }
            self.refresh();
        }
    }

    /// Gives the router a newer configuration, view and evacuated zones, if there are any.
    fn refresh(&mut self) {
        let conf = self.node.conf();
        if !Arc::ptr_eq(&self.conf, &conf) {
            self.router.configure(Arc::clone(&conf));
            self.conf = conf;
        }
        let view = self.node.view();
        if !Arc::ptr_eq(&self.view, &view) {
            self.router.set_suspects(&view.suspects);
            self.view = view;
        }
        if let Some(evacuations) = self.node.evacuations().newer_than(self.evacuations) {
            self.evacuations = evacuations.change;
            let zones: Vec<&str> = evacuations.zones.iter().map(String::as_str).collect();
            log_event!(self.node.log(), Event::ZonesInForce, "zones" => zones.join(","),
                "change" => evacuations.change);
            self.router.set_evacuated(evacuations.zones);
        }
    }

    fn place(&mut self, (job, tx): Request) {
        // A placement must respect all suspects reported before its request.
        self.refresh();
        self.waiting.insert(job.request, tx);
        self.step(router::Event::Place(job));
    }

    fn step(&mut self, event: router::Event) {
        if let router::Event::Close(request, _) = &event {
            self.waiting.remove(request);
        }
        let now = self.node.now();
        self.router.step(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            let (request, decision) = match action {
                router::Action::Placed(request, placement) => (request, Ok(placement)),
                router::Action::Unplaced(request, failure) => (request, Err(failure)),
            };
            if let Some(tx) = self.waiting.remove(&request) {
                // Fails if the request has ended. It closes its attempt itself.
                let _ = tx.send(decision);
            }
        }
    }
}
