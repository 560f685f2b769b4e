//! The gossip between processes over UDP: membership, backend servers, and the load on them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time;

use super::Direct;
use crate::direct::gossip;
use crate::direct::load;
use crate::direct::membership;
use crate::direct::register;
use crate::direct::reporter;
use crate::direct::spread;
use crate::direct::waiting;
use crate::edge::event::Event;
use crate::edge::node;
use crate::log_event;
use crate::wire::rpc;

mod send;

/// Time between two hello messages. A new process is known everywhere after two of them.
const HELLO_PERIOD: Duration = Duration::from_millis(400);

/// Time between two hello messages to a seed that was not heard yet.
const SEED_PERIOD: Duration = Duration::from_millis(100);

/// Time after its start for which a process greets seeds that often: several times as long as
/// processes that start together may be apart.
const SEED_PHASE: Duration = Duration::from_secs(2);

/// Hello rounds from one refresh of records and limits to the next. A refresh comes well before
/// other processes take a server as silent.
const REFRESH_ROUNDS: u64 = 2;

/// Age up to which a record heard here is gossiped again. Longer than the time between two
/// heartbeats.
const RECORD_AGE: Duration = Duration::from_millis(3_000);

/// Delays after which a broadcast is sent, counted from when it was queued. It is repeated because
/// datagrams get lost: if one in twenty is lost, all five are lost once in three million times.
const REPEATS: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_millis(60),
    Duration::from_millis(200),
    Duration::from_millis(500),
    Duration::from_millis(1_000),
];

/// Timeout for fetching a document from another process.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Largest datagram received.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// A broadcast that is still to be repeated.
struct Repeat {
    message: gossip::Message,
    queued_at: Duration,
    /// Index of the next delay in [`REPEATS`].
    next: usize,
}

struct Mesh {
    direct: Arc<Direct>,
    socket: UdpSocket,
    seq: u64,
    round: u64,
    repeats: Vec<Repeat>,
    loads_sent_at: Duration,
    loads_due: bool,
    /// Whether the next load report holds all loads, not only those that changed.
    loads_whole: bool,
    /// Tracks the loads last reported.
    reporter: reporter::Reporter,
    /// The targets and relays of messages for all processes.
    plan: spread::Plan,
    /// Number of messages sent to all processes.
    turn: u64,
    planned_at: Duration,
    /// Whether processes joined or left since the plan was made.
    plan_outdated: bool,
    /// What this process is to forward within its zone.
    batch: Vec<gossip::Datagram>,
    batch_due: Duration,
    /// Whether a document is being fetched.
    fetching: Arc<AtomicBool>,
}

/// Sends and receives datagrams on `socket` until the process ends.
pub async fn run(direct: Arc<Direct>, socket: UdpSocket) {
    let mut mesh = Mesh {
        direct,
        socket,
        seq: 0,
        round: 0,
        repeats: Vec::new(),
        loads_sent_at: Duration::ZERO,
        loads_due: false,
        loads_whole: true,
        reporter: reporter::Reporter::default(),
        plan: spread::Plan::default(),
        turn: 0,
        planned_at: Duration::ZERO,
        plan_outdated: true,
        batch: Vec::new(),
        batch_due: Duration::ZERO,
        fetching: Arc::default(),
    };
    mesh.run().await;
}

impl Mesh {
    async fn run(&mut self) {
        let mut hello = time::interval(HELLO_PERIOD);
        hello.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut seed_hello = time::interval(SEED_PERIOD);
        seed_hello.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        let direct = Arc::clone(&self.direct);
        loop {
            let due = self.next_due();
            tokio::select! {
                _ = hello.tick() => self.greet(),
                _ = seed_hello.tick(), if direct.node.now() < SEED_PHASE => self.greet_seeds(),
                received = self.socket.recv_from(&mut buf) => {
                    // An error may be only that an earlier datagram went to a closed port.
                    if let Ok((len, _)) = received
                        && let Some(datagram) = gossip::decode(&buf[..len])
                    {
                        self.receive(datagram);
                    }
                }
                () = direct.loads_changed.notified(), if !self.loads_due => self.loads_due = true,
                () = direct.message_queued.notified() => self.send_queued(),
                () = time::sleep(due) => self.send_due(),
            }
        }
    }

    /// Time until the next repeat, load report or batch is due.
    fn next_due(&self) -> Duration {
        let now = self.direct.node.now();
        let repeats = self
            .repeats
            .iter()
            .map(|repeat| repeat.queued_at + REPEATS[repeat.next]);
        let loads = self
            .loads_due
            .then(|| self.loads_sent_at + self.plan.report_pause());
        let batch = (!self.batch.is_empty()).then_some(self.batch_due);
        let due = repeats.chain(loads).chain(batch).min();
        due.map_or(HELLO_PERIOD, |due| due.saturating_sub(now))
    }

    fn send_due(&mut self) {
        let now = self.direct.node.now();
        if self.loads_due && now >= self.loads_sent_at + self.plan.report_pause() {
            self.send_loads(now);
        }
        if !self.batch.is_empty() && now >= self.batch_due {
            self.forward_batch();
        }
        let mut due = Vec::new();
        self.repeats.retain_mut(|repeat| {
            while repeat.next < REPEATS.len() && now >= repeat.queued_at + REPEATS[repeat.next] {
                if repeat.next == 0 || due.last() != Some(&repeat.message) {
                    due.push(repeat.message.clone());
                }
                repeat.next += 1;
            }
            repeat.next < REPEATS.len()
        });
        for message in due {
            self.send_to_all(message);
        }
    }

    fn send_queued(&mut self) {
        let queued_at = self.direct.node.now();
        let unicasts = std::mem::take(&mut *self.direct.unicasts.lock().expect("unicasts lock"));
        for (to, message) in unicasts {
            self.send(message, &[to]);
        }
        let broadcasts =
            std::mem::take(&mut *self.direct.broadcasts.lock().expect("broadcasts lock"));
        let repeats = broadcasts.into_iter().map(|message| Repeat {
            message,
            queued_at,
            next: 0,
        });
        self.repeats.extend(repeats);
        self.send_due();
    }

    fn send_loads(&mut self, now: Duration) {
        self.loads_due = false;
        self.loads_sent_at = now;
        if !self.direct.settings.serves {
            return;
        }
        let whole = std::mem::take(&mut self.loads_whole);
        let report = {
            let state = self.direct.state();
            self.reporter.next(&state.loads, now, whole)
        };
        let message = gossip::Message::Loads {
            whole: report.whole,
            loads: report.loads,
            waiting: report.waiting,
        };
        self.send_to_all(message);
    }

    fn greet(&mut self) {
        let now = self.direct.node.now();
        self.direct.state().observe_demand(now);
        self.round += 1;
        self.remove_silent_peers(now);
        let settings = self.direct.node.settings();
        let seeds = self.direct.node.seeds();
        let (named, targets) = {
            let mut membership = self.direct.membership();
            (
                membership.next_greeting(now),
                membership.greeting_targets(settings.link, &seeds),
            )
        };
        self.send_hello(named, &targets);
        if !self.direct.settings.serves {
            // Its load reports would show that it is running.
            let hello = gossip::Message::Hello(vec![self.direct.node.settings().link]);
            self.send_to_all(hello);
        }
        if self.round.is_multiple_of(REFRESH_ROUNDS) {
            let heard = self.direct.state().register.recent(now, RECORD_AGE);
            for message in self.direct.record_messages(heard) {
                self.send_to_all(message);
            }
            self.refresh_evacuations();
            for verdicts in self.direct.own_verdicts() {
                self.send_to_all(gossip::Message::Parts(verdicts));
            }
            let limits = self.direct.state().quotas.recent(now, RECORD_AGE);
            for reports in gossip::report_chunks(&limits) {
                self.send_to_all(gossip::Message::Limits(reports));
            }
        }
        self.loads_due = true;
        self.loads_whole = true;
        self.direct.update_control(now);
    }

    /// Repeats the evacuated zones, if this process votes: its copy is that of the agreed state, and
    /// a process that was cut off learns of all changes it missed.
    fn refresh_evacuations(&mut self) {
        if !self.direct.settings.votes {
            return;
        }
        if let Some(evacuations) = self.direct.node.evacuations().newer_than(0) {
            self.send_to_all(gossip::Message::Evacuations(evacuations));
        }
    }

    /// Greets the seeds that were not heard yet.
    fn greet_seeds(&mut self) {
        let me = self.direct.node.settings().link;
        let seeds = self.direct.node.seeds();
        let unheard = self.direct.membership().unheard_seeds(me, &seeds);
        self.send_hello(Vec::new(), &unheard);
    }

    fn remove_silent_peers(&mut self, now: Duration) {
        let gone = self.direct.membership().expire(now);
        self.plan_outdated |= !gone.is_empty();
        for (peer, silent) in gone {
            log_event!(self.direct.node.log(), Event::PeerLost, "peer" => peer,
                "silent_ms" => silent.as_millis() as u64);
        }
    }

    fn receive(&mut self, datagram: gossip::Datagram) {
        let now = self.direct.node.now();
        let from = &datagram.from;
        if from.link == self.direct.node.settings().link {
            return;
        }
        if datagram.relay {
            self.relay(&datagram);
        }
        let from = datagram.from;
        self.observe_peer(now, &from);
        match datagram.news {
            gossip::Message::Hello(listed) => {
                let me = self.direct.node.settings().link;
                let unknown = {
                    let mut membership = self.direct.membership();
                    if listed.contains(&from.link) {
                        membership.set_batches(&from.link);
                    }
                    membership.add_reported(now, me, &listed)
                };
                self.send_hello(Vec::new(), &unknown);
            }
            gossip::Message::Batch(datagrams) => {
                for datagram in gossip::unbatch(datagrams) {
                    self.receive(datagram);
                }
            }
            gossip::Message::Records(records) => {
                for record in records {
                    // The process that received the heartbeat has logged and counted any error.
                    let _ = self.direct.apply_heartbeat(record.into(), false);
                }
            }
            gossip::Message::ColdRecords(records) => {
                for (record, cold_ms) in records {
                    let cold = Duration::from_millis(u64::from(cold_ms));
                    let heartbeat = register::Heartbeat { record, cold };
                    let _ = self.direct.apply_heartbeat(heartbeat, false);
                }
            }
            gossip::Message::Evacuations(evacuations) => {
                self.direct.node.evacuations().install(evacuations);
            }
            gossip::Message::Loads {
                whole,
                loads,
                waiting,
            } => {
                let report = load::Report {
                    whole,
                    loads,
                    waiting,
                };
                let mut state = self.direct.state();
                state
                    .loads
                    .apply(now, from.link, from.life, datagram.seq, report);
                drop(state);
                self.direct.capacity_changed(waiting::Source::Elsewhere);
            }
            gossip::Message::Paces(paces) => self.direct.apply_paces(&paces),
            gossip::Message::Died(request, server) => {
                self.direct
                    .state()
                    .suspects
                    .record_crash(now, request, &server);
            }
            gossip::Message::Limits(reports) => self.direct.receive_limit_reports(&reports),
            gossip::Message::Ask(request) => {
                let grant = self.direct.answer_grant_request(&request);
                self.send(gossip::Message::Grant(grant), &[from.link]);
            }
            gossip::Message::Grant(grant) => self.direct.receive_grant(grant),
            gossip::Message::Charged(server) => self.direct.receive_charge(server),
            gossip::Message::Parts(news) => {
                if let Some(answer) = self.direct.receive_part_news(news) {
                    self.send(gossip::Message::Parts(answer), &[from.link]);
                }
            }
        }
        if from.version > self.direct.node.documents().version() {
            self.fetch_document(from.link);
        }
    }

    fn observe_peer(&mut self, now: Duration, from: &gossip::Peer) {
        let is_new = self.direct.membership().observe(now, from);
        if is_new {
            self.plan_outdated = true;
            self.welcome(now, from.link);
            log_event!(self.direct.node.log(), Event::PeerSeen, "peer" => from.link,
                "life" => from.life.0, "votes" => from.votes, "version" => from.version);
        }
    }

    /// Sends a new process what it cannot know yet: peers, records, limits, verdicts on
    /// prompt parts and all loads.
    fn welcome(&mut self, now: Duration, addr: SocketAddr) {
        let lists_all = self.direct.settings.votes;
        let pages = self.direct.membership().welcome(lists_all);
        for page in pages {
            self.send_hello(page, &[addr]);
        }
        let heard = self.direct.state().register.recent(now, RECORD_AGE);
        for message in self.direct.record_messages(heard) {
            self.send(message, &[addr]);
        }
        if let Some(evacuations) = self.direct.node.evacuations().newer_than(0) {
            self.send(gossip::Message::Evacuations(evacuations), &[addr]);
        }
        let limits = self.direct.state().quotas.reports();
        for reports in gossip::report_chunks(&limits) {
            self.send(gossip::Message::Limits(reports), &[addr]);
        }
        for verdicts in self.direct.all_verdicts() {
            self.send(gossip::Message::Parts(verdicts), &[addr]);
        }
        self.loads_due = true;
        self.loads_whole = true;
    }

    /// Starts to fetch the newest document from a process that holds a newer one, unless a fetch
    /// is in progress.
    fn fetch_document(&self, from: SocketAddr) {
        if self.fetching.swap(true, Ordering::AcqRel) {
            return;
        }
        let node = Arc::clone(&self.direct.node);
        let fetching = Arc::clone(&self.fetching);
        tokio::spawn(async move {
            fetch(&node, from).await;
            fetching.store(false, Ordering::Release);
        });
    }
}

async fn fetch(node: &Arc<node::Node>, from: SocketAddr) {
    let request = rpc::Ask::Document {
        have: node.documents().version(),
    };
    // If this fails, the next datagram of a process with a newer document starts another fetch.
    if let Ok(rpc::Answer::Document(Some(document))) =
        node.link(from).ask(&request, FETCH_TIMEOUT).await
    {
        node.documents().install(document);
    }
}

impl Direct {
    /// Locks the membership: the other processes known here.
    pub(super) fn membership(&self) -> MutexGuard<'_, membership::Membership> {
        self.membership.lock().expect("membership lock")
    }

    /// Other processes heard recently, by link address.
    pub fn peers(&self) -> HashMap<SocketAddr, gossip::Peer> {
        let membership = self.membership();
        let present = membership.live();
        present.map(|peer| (peer.link, peer.clone())).collect()
    }
}
