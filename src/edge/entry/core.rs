//! The core thread: owns the router; others reach it over two bounded rings.

use std::collections::HashMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel as ring;
use tokio::sync::oneshot;

use super::super::node;
use super::count;
use crate::config;
use crate::entry::job;
use crate::entry::router;
use crate::wire::id;
use crate::wire::member;
use crate::wire::outcome;
use crate::wire::rpc;

/// Requests for a place that wait for the core thread. A full ring is answered `Busy`.
const PLACE_RING: usize = 4_096;

/// Announcements and notes that wait for the core thread.
const NEWS_RING: usize = 16_384;

/// Questions for the list of backend servers that wait for the core thread.
const LIST_RING: usize = 16;

/// News taken before a request for a place gets its turn.
const NEWS_BATCH: usize = 256;

/// Longest sleep of the core thread: how fast a new configuration or view is seen.
const MAX_SLEEP: Duration = Duration::from_millis(50);

/// Time between two updates of the router's metrics.
const COUNT_PERIOD: Duration = Duration::from_millis(250);

/// Pause of a task whose note found the ring full.
const NOTE_PAUSE: Duration = Duration::from_millis(1);

/// The router's answer to a request for a place.
pub type Choice = Result<job::Placement, outcome::Failure>;

type Listed = oneshot::Sender<Vec<member::Announce>>;

type Asked = (Box<job::Job>, oneshot::Sender<Choice>);

/// The ways to the core thread.
#[derive(Clone)]
pub struct Handle {
    news: ring::Sender<router::Event>,
    place: ring::Sender<Asked>,
    list: ring::Sender<Listed>,
}

impl Handle {
    /// Starts the thread.
    pub fn start(node: &Arc<node::Node>, count: &Arc<count::Count>) -> Self {
        let (news_tx, news) = ring::bounded(NEWS_RING);
        let (place_tx, place) = ring::bounded(PLACE_RING);
        let (list_tx, list) = ring::bounded(LIST_RING);
        let core = Core::new(Arc::clone(node), Arc::clone(count), news, place, list);
        thread::Builder::new()
            .name("entry-core".to_owned())
            .spawn(move || core.run())
            .expect("a thread can be started");
        Self {
            news: news_tx,
            place: place_tx,
            list: list_tx,
        }
    }

    /// Asks for a place. `None`: the ring is full.
    pub fn place(&self, job: job::Job) -> Option<oneshot::Receiver<Choice>> {
        let (tx, rx) = oneshot::channel();
        self.place.try_send((Box::new(job), tx)).ok()?;
        Some(rx)
    }

    /// The backend servers that are present, by their last announcements. `None`: the core
    /// thread is busy.
    pub async fn list(&self) -> Option<Vec<member::Announce>> {
        let (tx, rx) = oneshot::channel();
        self.list.try_send(tx).ok()?;
        rx.await.ok()
    }

    /// Tells news without waiting. `false`: the ring is full and the news is dropped.
    pub fn try_tell(&self, event: router::Event) -> bool {
        self.news.try_send(event).is_ok()
    }

    /// Tells news that must not be lost: waits, on the task alone, while the ring is full.
    pub async fn tell(&self, event: router::Event) {
        let mut event = event;
        while let Err(ring::TrySendError::Full(back)) = self.news.try_send(event) {
            event = back;
            tokio::time::sleep(NOTE_PAUSE).await;
        }
    }
}

struct Core {
    node: Arc<node::Node>,
    /// The configuration that the router has.
    conf: Arc<config::Set>,
    /// The view that the router has.
    view: Arc<rpc::View>,
    count: Arc<count::Count>,
    news: ring::Receiver<router::Event>,
    place: ring::Receiver<Asked>,
    list: ring::Receiver<Listed>,
    router: router::Router,
    /// Who waits for a choice. Invariant: a request waits once.
    waiting: HashMap<id::Request, oneshot::Sender<Choice>>,
    actions: Vec<router::Action>,
}

impl Core {
    fn new(
        node: Arc<node::Node>,
        count: Arc<count::Count>,
        news: ring::Receiver<router::Event>,
        place: ring::Receiver<Asked>,
        list: ring::Receiver<Listed>,
    ) -> Self {
        let seed = node.incarnation().0;
        let router = router::Router::new(seed, &node.settings().zone, node.conf());
        Self {
            conf: node.conf(),
            view: Arc::default(),
            node,
            count,
            news,
            place,
            list,
            router,
            waiting: HashMap::new(),
            actions: Vec::new(),
        }
    }

    /// Runs until all handles are gone.
    fn run(mut self) {
        let mut counts = self.router.counts();
        let mut counted = Duration::ZERO;
        loop {
            let now = self.node.now();
            let sleep = self.router.wake().saturating_sub(now).min(MAX_SLEEP);
            ring::select! {
                recv(self.news) -> event => match event {
                    Ok(event) => self.step(event),
                    Err(_) => return,
                },
                recv(self.place) -> asked => match asked {
                    Ok(asked) => self.ask(asked),
                    Err(_) => return,
                },
                recv(self.list) -> tx => match tx {
                    Ok(tx) => {
                        let _ = tx.send(self.router.fleet().present(self.node.now()));
                    }
                    Err(_) => return,
                },
                default(sleep) => self.step(router::Event::Tick),
            }
            for event in self.news.clone().try_iter().take(NEWS_BATCH) {
                self.step(event);
            }
            if now >= counted + COUNT_PERIOD {
                counted = now;
                self.count.router(&counts, &self.router);
                counts = self.router.counts();
            }
            self.refresh();
        }
    }

    /// Takes a newer configuration and view.
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
    }

    fn ask(&mut self, (job, tx): Asked) {
        // A request that comes after news of suspects is judged by that news.
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
            let (request, choice) = match action {
                router::Action::Placed(request, place) => (request, Ok(place)),
                router::Action::Unplaced(request, failure) => (request, Err(failure)),
            };
            if let Some(tx) = self.waiting.remove(&request) {
                // A request that has gone closes its attempt itself.
                let _ = tx.send(choice);
            }
        }
    }
}
