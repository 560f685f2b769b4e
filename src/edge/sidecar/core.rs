//! The core thread: owns the ledger and starts the tasks that carry out its actions. Others reach
//! it over a bounded queue.

use std::collections::HashMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use crossbeam_channel as channel;
use tokio::runtime;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::task;

use super::super::event::Event;
use super::super::node;
use super::Announcement;
use super::count;
use super::engine;
use super::flow;
use super::plain;
use super::stream;
use crate::log_event;
use crate::sidecar::capacity;
use crate::sidecar::ledger;
use crate::sidecar::tombstone;
use crate::wire::agree;
use crate::wire::id;
use crate::wire::member;
use crate::wire::run;

/// Messages that may wait for the core thread. An offer that finds the queue full is rejected as
/// `Busy`.
const QUEUE_CAPACITY: usize = 8_192;

/// Time between tries to send a message while the queue is full.
const FULL_QUEUE_DELAY: Duration = Duration::from_millis(1);

/// Timeout of a proposal to the quorum: a crash, or a suspect to clear.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(30);

/// How long an absent backend server is still announced, as absent. After that its lease expires.
const ABSENCE_NOTICE: Duration = Duration::from_millis(3_000);

/// Message to the core thread.
pub enum Message {
    /// An event for the ledger.
    Event(ledger::Event),
    /// A stream was opened; its replies go into the channel.
    Open(ledger::Stream, mpsc::Sender<stream::Out>),
    /// The body of an offer was received in full.
    BodyReceived(id::Attempt, Bytes),
    /// The backend server announced itself.
    Announced(Box<Announcement>),
}

/// Snapshot of the ledger for other threads.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// The backend server's announcement, until it has been absent for a while.
    pub announcement: Option<Arc<Announcement>>,
    /// Load of the backend server.
    pub load: member::Load,
    /// Whether no new work is admitted.
    pub leaving: bool,
    /// Whether the backend server is currently not reachable or not announced.
    pub absent: bool,
    /// Attempts in progress.
    pub in_progress: usize,
}

/// Sends messages to the core thread and reads its status.
#[derive(Clone)]
pub struct Handle {
    tx: channel::Sender<Message>,
    status: Arc<ArcSwap<Status>>,
    /// Wakes the announcer.
    announce: Arc<Notify>,
}

impl Handle {
    /// Starts the thread. Its tasks run on the tokio runtime that this is called in.
    pub fn start(node: &Arc<node::Node>, key: &str) -> Self {
        let (tx, rx) = channel::bounded(QUEUE_CAPACITY);
        let handle = Self {
            tx,
            status: Arc::default(),
            announce: Arc::default(),
        };
        let core = Core {
            node: Arc::clone(node),
            handle: handle.clone(),
            runtime: runtime::Handle::current(),
            rx,
            ledger: ledger::Ledger::new(node.incarnation(), tombstone::CAPACITY),
            count: count::Count::new(node.metrics()),
            client: engine::client(),
            key: key.to_owned(),
            announcement: None,
            streams: HashMap::new(),
            jobs: HashMap::new(),
            listing: false,
            last_present: Duration::ZERO,
        };
        thread::Builder::new()
            .name("sidecar-core".to_owned())
            .spawn(move || core.run())
            .expect("a thread can be started");
        handle
    }

    /// Sends without waiting. Returns `false` if the queue is full; the message is dropped.
    pub fn try_send(&self, message: Message) -> bool {
        self.tx.try_send(message).is_ok()
    }

    /// Sends a message that must not be lost. Waits asynchronously while the queue is full.
    pub async fn send(&self, message: Message) {
        let mut message = message;
        while let Err(channel::TrySendError::Full(back)) = self.tx.try_send(message) {
            message = back;
            tokio::time::sleep(FULL_QUEUE_DELAY).await;
        }
    }

    /// The latest snapshot of the ledger.
    pub fn status(&self) -> Arc<Status> {
        self.status.load_full()
    }

    /// Waits until the ledger requests an announcement without delay.
    pub async fn announce_requested(&self) {
        self.announce.notified().await;
    }
}

/// Data of one attempt.
#[derive(Default)]
pub(super) struct Job {
    /// Invariant: taken when it starts.
    pub(super) offer: Option<Box<run::Offer>>,
    pub(super) body: Bytes,
    pub(super) flow: Option<Arc<flow::Flow>>,
    /// The task that reads from the backend server.
    pub(super) task: Option<task::AbortHandle>,
}

pub(super) struct Core {
    node: Arc<node::Node>,
    pub(super) handle: Handle,
    pub(super) runtime: runtime::Handle,
    rx: channel::Receiver<Message>,
    ledger: ledger::Ledger,
    pub(super) count: count::Count,
    client: reqwest::Client,
    key: String,
    announcement: Option<Arc<Announcement>>,
    streams: HashMap<ledger::Stream, mpsc::Sender<stream::Out>>,
    pub(super) jobs: HashMap<id::Attempt, Job>,
    /// Whether a read of the engine's list is in progress.
    listing: bool,
    /// When the backend server was last present.
    last_present: Duration,
}

impl Core {
    /// Runs until the process exits: it holds a sender of its own queue, which thus never closes.
    fn run(mut self) {
        let mut due = self.node.now();
        loop {
            let now = self.node.now();
            match self.rx.recv_timeout(due.saturating_sub(now)) {
                Ok(message) => self.receive(message),
                Err(channel::RecvTimeoutError::Timeout) => {}
                Err(channel::RecvTimeoutError::Disconnected) => return,
            }
            let now = self.node.now();
            if now >= due {
                due = now + ledger::TICK;
                self.step(ledger::Event::Tick);
                if self.node.draining() {
                    self.step(ledger::Event::Drain);
                }
            }
            if self.rx.is_empty() {
                self.publish();
            }
        }
    }

    fn publish(&mut self) {
        let now = self.node.now();
        let is_present = self.ledger.present(now).is_some();
        if is_present {
            self.last_present = now;
        }
        let is_announced = now < self.last_present + ABSENCE_NOTICE;
        self.handle.status.store(Arc::new(Status {
            announcement: self.announcement.clone().filter(|_| is_announced),
            load: self.ledger.load(),
            leaving: self.ledger.leaving(),
            absent: !is_present,
            in_progress: self.ledger.in_progress(),
        }));
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Open(number, out) => {
                self.streams.insert(number, out);
            }
            Message::BodyReceived(attempt, body) => {
                if let Some(job) = self.jobs.get_mut(&attempt) {
                    job.body = body;
                    self.step(ledger::Event::BodyReceived(attempt));
                }
            }
            Message::Announced(announcement) => self.announced(*announcement),
            Message::Event(ledger::Event::Offer(number, offer)) => {
                // A duplicate offer must not replace the job of the first one.
                let job = self.jobs.entry(offer.attempt).or_default();
                if job.offer.is_none() && job.flow.is_none() {
                    job.offer = Some(offer.clone());
                }
                self.count.offers.inc();
                let attempt = offer.attempt;
                self.step(ledger::Event::Offer(number, offer));
                if !self.ledger.contains(attempt) {
                    self.jobs.remove(&attempt);
                }
            }
            Message::Event(ledger::Event::Closed(number)) => {
                self.streams.remove(&number);
                self.step(ledger::Event::Closed(number));
            }
            Message::Event(event) => {
                if matches!(event, ledger::Event::List { .. }) {
                    self.listing = false;
                }
                self.step(event);
            }
        }
    }

    fn announced(&mut self, announcement: Announcement) {
        let old = self.announcement.as_ref().map(|old| old.incarnation);
        if old.is_some_and(|old| announcement.incarnation < old) {
            return;
        }
        if old != Some(announcement.incarnation) {
            log_event!(self.node.log(), Event::BackendPresent, "server" => &announcement.server, "url" => &announcement.url);
        }
        let backend = ledger::Backend {
            incarnation: announcement.incarnation,
            kind: announcement.kind,
            models: announcement.models.clone(),
            capacity: capacity::Capacity {
                slots: announcement.slots,
                memory: announcement.memory_tokens,
            },
            ttl: Duration::from_millis(announcement.ttl_ms),
            leaving: announcement.leaving,
        };
        self.announcement = Some(Arc::new(announcement));
        self.step(ledger::Event::Announced(backend));
    }

    fn step(&mut self, event: ledger::Event) {
        for action in self.ledger.step(self.node.now(), event) {
            self.act(action);
        }
    }

    fn act(&mut self, action: ledger::Action) {
        match action {
            ledger::Action::Reply(number, reply) => self.reply(number, reply),
            ledger::Action::Attach(number, attempt, offset) => {
                if let Some(flow) = self.flow(attempt, offset) {
                    self.send(number, stream::Out::Attach(attempt, flow, offset));
                }
            }
            ledger::Action::Run(attempt) => self.start(attempt),
            ledger::Action::Resume(attempt, offset) => self.resume(attempt, offset),
            ledger::Action::Stop(run) => self.stop(run),
            ledger::Action::Hold(attempt, context) => self.hold(attempt, context),
            ledger::Action::Release(attempt) => self.release(attempt),
            ledger::Action::End(reply) => self.end(reply),
            ledger::Action::Discard(attempt) => {
                if let Some(job) = self.jobs.remove(&attempt)
                    && let Some(task) = job.task
                {
                    task.abort();
                }
            }
            ledger::Action::FreeSegment(handle) => self.free(handle),
            ledger::Action::List => self.list(),
            ledger::Action::Announce => {
                self.publish();
                self.handle.announce.notify_one();
            }
            ledger::Action::Crash { engine, running } => self.crash(engine, running),
            ledger::Action::ClearSuspect(fingerprint) => self.finished(fingerprint),
        }
    }

    fn reply(&mut self, number: ledger::Stream, reply: run::Reply) {
        if let run::Reply::Refused { failure, .. } = &reply {
            self.count.rejected(failure.cause);
        }
        self.send(number, stream::Out::Reply(reply));
    }

    /// Sends on a stream. A stream whose queue is full is dropped; its entry sends a query.
    fn send(&mut self, number: ledger::Stream, out: stream::Out) {
        if let Some(tx) = self.streams.get(&number)
            && tx.try_send(out).is_err()
        {
            self.streams.remove(&number);
        }
    }

    fn flow(&mut self, attempt: id::Attempt, first: u64) -> Option<Arc<flow::Flow>> {
        let job = self.jobs.get_mut(&attempt)?;
        let flow = job
            .flow
            .get_or_insert_with(|| Arc::new(flow::Flow::new(attempt, first)));
        Some(Arc::clone(flow))
    }

    pub(super) fn engine(&self) -> Option<engine::Engine> {
        let announcement = self.announcement.as_ref()?;
        Some(engine::Engine {
            client: self.client.clone(),
            url: announcement.url.trim_end_matches('/').to_owned(),
            key: self.key.clone(),
        })
    }

    fn is_plain(&self) -> bool {
        self.announcement
            .as_ref()
            .is_some_and(|announcement| announcement.kind == member::Kind::Plain)
    }

    fn start(&mut self, attempt: id::Attempt) {
        let is_plain = self.is_plain();
        let Some(engine) = self.engine() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&attempt) else {
            return;
        };
        let Some(offer) = job.offer.take() else {
            return;
        };
        let first = match &offer.work {
            run::Work::Prompt { delivered, .. } => delivered.len() as u64,
            run::Work::Http { .. } | run::Work::Segment { .. } => 0,
        };
        let flow = Arc::new(flow::Flow::new(attempt, first));
        job.flow = Some(Arc::clone(&flow));
        let body = std::mem::take(&mut job.body);
        let core = self.handle.clone();
        let task = self.runtime.spawn(async move {
            let event = if is_plain {
                let engine::Engine { client, url, key } = engine;
                plain::call(&client, &url, &key, &core, &offer, body, &flow).await
            } else {
                engine.start(&core, &offer, &body, &flow).await
            };
            core.send(Message::Event(event)).await;
        });
        job.task = Some(task.abort_handle());
        self.count.runs.inc();
    }

    fn resume(&mut self, attempt: id::Attempt, offset: u64) {
        self.jobs.entry(attempt).or_default();
        let Some(flow) = self.flow(attempt, offset) else {
            return;
        };
        let Some(engine) = self.engine() else {
            return;
        };
        let core = self.handle.clone();
        let task = self.runtime.spawn(async move {
            let event = engine.resume(&core, attempt, &flow).await;
            core.send(Message::Event(event)).await;
        });
        if let Some(job) = self.jobs.get_mut(&attempt) {
            job.task = Some(task.abort_handle());
        }
        self.count.resumed.inc();
    }

    fn stop(&mut self, run: String) {
        if self.is_plain() {
            // Closing the connection is the only way to stop a call to a plain service.
            for (attempt, job) in &mut self.jobs {
                if let (true, Some(task)) = (attempt.to_string() == run, job.task.take()) {
                    task.abort();
                }
            }
            return self.step(ledger::Event::Stopped(run));
        }
        let Some(engine) = self.engine() else {
            return;
        };
        let core = self.handle.clone();
        self.runtime.spawn(async move {
            let event = engine.stop(&run).await;
            core.send(Message::Event(event)).await;
        });
    }

    fn end(&mut self, reply: run::Reply) {
        let attempt = reply.attempt();
        if let run::Reply::Failed { failure, .. } = &reply {
            self.count.failed(failure.cause);
        }
        if let Some(job) = self.jobs.get(&attempt)
            && let Some(flow) = &job.flow
        {
            flow.finish(reply);
        }
    }

    fn free(&mut self, handle: String) {
        let Some(engine) = self.engine() else {
            return;
        };
        let core = self.handle.clone();
        self.runtime.spawn(async move {
            if let Some(event) = engine.free_segment(&handle).await {
                core.send(Message::Event(event)).await;
            }
        });
    }

    fn list(&mut self) {
        let Some(engine) = self.engine().filter(|_| !self.listing) else {
            return;
        };
        self.listing = true;
        let core = self.handle.clone();
        self.runtime.spawn(async move {
            if let Some(event) = engine.measure().await {
                core.send(Message::Event(event)).await;
            }
            let listed = engine.list().await;
            core.send(Message::Event(listed.unwrap_or(ledger::Event::Tick)))
                .await;
        });
    }

    fn crash(&mut self, engine: id::Incarnation, running: Vec<id::Fingerprint>) {
        let Some(announcement) = &self.announcement else {
            return;
        };
        log_event!(self.node.log(), Event::BackendDied, "server" => &announcement.server, "running" => running.len());
        self.count.crashes.inc();
        let command = agree::Command::Crash {
            server: announcement.server.clone(),
            engine,
            running,
        };
        let node = Arc::clone(&self.node);
        let core = self.handle.clone();
        self.runtime.spawn(async move {
            let verdict = node.propose(command, PROPOSE_TIMEOUT).await;
            if verdict != agree::Verdict::Unavailable {
                core.send(Message::Event(ledger::Event::CrashReported))
                    .await;
            }
        });
    }

    fn finished(&mut self, fingerprint: id::Fingerprint) {
        let view = self.node.view();
        let is_suspect = view
            .suspects
            .iter()
            .any(|suspect| suspect.fingerprint == fingerprint);
        if !is_suspect {
            return;
        }
        let node = Arc::clone(&self.node);
        self.runtime.spawn(async move {
            node.propose(agree::Command::Clear(fingerprint), PROPOSE_TIMEOUT)
                .await;
        });
    }
}
