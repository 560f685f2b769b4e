//! Datagrams between processes: who is there, which backend servers, what runs where.

use std::collections::BTreeMap;
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
use crate::direct::reporter;
use crate::edge::event::Event;
use crate::edge::node;
use crate::log_event;
use crate::wire::rpc;

/// Time between two greetings. A process that is new is known everywhere after two of them.
const HELLO: Duration = Duration::from_millis(400);

/// Time between two tries to reach a seed, and how long after its start a process tries that often:
/// as long as processes of one start may be apart, several times over.
const KNOCK: Duration = Duration::from_millis(100);
const KNOCKS: Duration = Duration::from_secs(2);

/// Greetings a round of records heard here: each is said again well before it is missed.
const ROUNDS: u64 = 2;

/// How long a record heard here is passed on: longer than two heartbeats are apart.
const PASS_ON: Duration = Duration::from_millis(3_000);

/// Least time between two words on what runs here, and how it grows with the processes that hear
/// it. Placing on a view that old costs less than a pass of an engine.
const LOADS_PAUSE: Duration = Duration::from_millis(8);
const LOADS_PAUSE_EACH: Duration = Duration::from_micros(500);

/// When news is said again after it came, since datagrams get lost: at a loss of one in twenty
/// all five are lost once in three million times.
const REPEATS: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_millis(60),
    Duration::from_millis(200),
    Duration::from_millis(500),
    Duration::from_millis(1_000),
];

/// Time for another process to send a document.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Largest datagram taken.
const MAX_DATAGRAM: usize = 64 << 10;

struct Repeat {
    news: gossip::Message,
    since: Duration,
    next: usize,
}

struct Mesh {
    direct: Arc<Direct>,
    socket: UdpSocket,
    seq: u64,
    round: u64,
    repeats: Vec<Repeat>,
    loads_sent: Duration,
    loads_due: bool,
    /// Whether the next word on loads is of all, not only of what changed.
    loads_whole: bool,
    /// What was last told of loads.
    bulletin: reporter::Reporter,
    pulling: Arc<AtomicBool>,
}

/// Sends and takes datagrams on `socket` until the process ends.
pub async fn run(direct: Arc<Direct>, socket: UdpSocket) {
    let mut mesh = Mesh {
        direct,
        socket,
        seq: 0,
        round: 0,
        repeats: Vec::new(),
        loads_sent: Duration::ZERO,
        loads_due: false,
        loads_whole: true,
        bulletin: reporter::Reporter::default(),
        pulling: Arc::default(),
    };
    mesh.run().await;
}

impl Mesh {
    async fn run(&mut self) {
        let mut hello = time::interval(HELLO);
        hello.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut knock = time::interval(KNOCK);
        knock.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut buf = vec![0; MAX_DATAGRAM];
        let direct = Arc::clone(&self.direct);
        loop {
            let due = self.next_due();
            tokio::select! {
                _ = hello.tick() => self.greet(),
                _ = knock.tick(), if direct.node.now() < KNOCKS => self.knock(),
                got = self.socket.recv_from(&mut buf) => {
                    // A datagram to a closed port comes back as an error of this socket.
                    if let Ok((len, _)) = got
                        && let Some(datagram) = gossip::decode(&buf[..len])
                    {
                        self.take(datagram);
                    }
                }
                () = direct.loads_changed.notified(), if !self.loads_due => self.loads_due = true,
                () = direct.news_came.notified() => self.take_news(),
                () = time::sleep(due) => self.send_due(),
            }
        }
    }

    /// Time until something is to be sent.
    fn next_due(&self) -> Duration {
        let now = self.direct.node.now();
        let repeats = self.repeats.iter().map(|one| one.since + REPEATS[one.next]);
        let loads = self.loads_due.then(|| self.loads_sent + self.loads_pause());
        let due = repeats.chain(loads).min();
        due.map_or(HELLO, |due| due.saturating_sub(now))
    }

    fn loads_pause(&self) -> Duration {
        let peers = self.direct.roster().len();
        LOADS_PAUSE + LOADS_PAUSE_EACH * peers as u32
    }

    fn send_due(&mut self) {
        let now = self.direct.node.now();
        if self.loads_due && now >= self.loads_sent + self.loads_pause() {
            self.send_loads(now);
        }
        let mut due = Vec::new();
        self.repeats.retain_mut(|one| {
            while one.next < REPEATS.len() && now >= one.since + REPEATS[one.next] {
                if one.next == 0 || due.last() != Some(&one.news) {
                    due.push(one.news.clone());
                }
                one.next += 1;
            }
            one.next < REPEATS.len()
        });
        for news in due {
            self.send_all(news);
        }
    }

    fn take_news(&mut self) {
        let since = self.direct.node.now();
        let letters = std::mem::take(&mut *self.direct.letters.lock().expect("letters lock"));
        for (to, news) in letters {
            self.send(news, &[to]);
        }
        let news = std::mem::take(&mut *self.direct.news.lock().expect("news lock"));
        let repeats = news.into_iter().map(|news| Repeat {
            news,
            since,
            next: 0,
        });
        self.repeats.extend(repeats);
        self.send_due();
    }

    fn send_loads(&mut self, now: Duration) {
        self.loads_due = false;
        self.loads_sent = now;
        if !self.direct.settings.serves {
            return;
        }
        let whole = std::mem::take(&mut self.loads_whole);
        let told = {
            let state = self.direct.state();
            self.bulletin.next(&state.board, now, whole)
        };
        let news = gossip::Message::Loads {
            whole: told.whole,
            loads: told.loads,
            waiting: told.waiting,
        };
        self.spread(news);
    }

    /// Sends to all: to those of its own zone, and in each other zone to one that passes it on.
    /// Bytes between zones are dear, and with six processes a zone this sends a sixth of them.
    fn spread(&mut self, news: gossip::Message) {
        let own = self.direct.node.settings().zone.clone();
        let mut near = Vec::new();
        let mut zones: BTreeMap<String, Vec<SocketAddr>> = BTreeMap::new();
        for (addr, peer) in self.direct.peers() {
            if peer.zone == own {
                near.push(addr);
            } else {
                zones.entry(peer.zone).or_default().push(addr);
            }
        }
        let mut relays = Vec::new();
        for mut addrs in zones.into_values() {
            addrs.sort_unstable();
            if addrs.len() > 1 {
                // Each in its turn, so that one that has just died costs some of the datagrams.
                relays.push(addrs[self.seq as usize % addrs.len()]);
            } else {
                near.extend(addrs);
            }
        }
        self.seq += 1;
        let mut datagram = gossip::Datagram {
            from: self.me(),
            seq: self.seq,
            relay: false,
            news,
        };
        self.send_datagram(&datagram, &near);
        datagram.relay = true;
        self.send_datagram(&datagram, &relays);
    }

    /// Passes a datagram on to the others of this process's zone.
    fn relay(&self, datagram: &gossip::Datagram) {
        let own = &self.direct.node.settings().zone;
        let peers = self.direct.peers();
        let near = peers.iter().filter(|(_, peer)| peer.zone == *own);
        let near: Vec<SocketAddr> = near.map(|(addr, _)| *addr).collect();
        let passed = gossip::Datagram {
            relay: false,
            ..datagram.clone()
        };
        self.send_datagram(&passed, &near);
    }

    fn send_datagram(&self, datagram: &gossip::Datagram, targets: &[SocketAddr]) {
        if targets.is_empty() {
            return;
        }
        let bytes = gossip::encode(datagram);
        for addr in targets {
            // What cannot be sent now counts as lost on the way.
            let _ = self.socket.try_send_to(&bytes, *addr);
        }
    }

    fn greet(&mut self) {
        let now = self.direct.node.now();
        self.direct.state().observe_congestion(now);
        self.round += 1;
        self.lose_silent(now);
        let settings = self.direct.node.settings();
        let seeds = self.direct.node.seeds();
        let (named, targets) = {
            let mut roster = self.direct.roster();
            (
                roster.next_greeting(now),
                roster.greeting_targets(settings.link, &seeds),
            )
        };
        self.send(gossip::Message::Hello(named), &targets);
        if self.round.is_multiple_of(ROUNDS) {
            let heard = self.direct.state().register.recent(now, PASS_ON);
            for records in gossip::record_chunks(heard) {
                self.send_all(gossip::Message::Records(records));
            }
            let limits = self.direct.state().quotas.recent(now, PASS_ON);
            for words in gossip::report_chunks(&limits) {
                self.send_all(gossip::Message::Limits(words));
            }
        }
        self.loads_due = true;
        self.loads_whole = true;
        self.direct.update_control(now);
    }

    /// Greets the seeds that were not heard yet.
    fn knock(&mut self) {
        let me = self.direct.node.settings().link;
        let seeds = self.direct.node.seeds();
        let unheard = self.direct.roster().unheard_seeds(me, &seeds);
        self.send(gossip::Message::Hello(Vec::new()), &unheard);
    }

    fn lose_silent(&self, now: Duration) {
        for (peer, silent) in self.direct.roster().expire(now) {
            log_event!(self.direct.node.log(), Event::PeerLost, "peer" => peer,
                "silent_ms" => silent.as_millis() as u64);
        }
    }

    fn peer_addrs(&self) -> Vec<SocketAddr> {
        let roster = self.direct.roster();
        roster.live().map(|one| one.link).collect()
    }

    fn me(&self) -> gossip::Peer {
        let node = &self.direct.node;
        let settings = node.settings();
        let leader = node.control().and_then(|control| control.leader());
        gossip::Peer {
            link: settings.link,
            life: node.incarnation(),
            zone: settings.zone.clone(),
            votes: self.direct.settings.votes,
            leads: leader == Some(settings.link),
            first_start: self.direct.settings.first_start,
            serves: self.direct.settings.serves && !node.draining(),
            version: node.documents().version(),
        }
    }

    fn send_all(&mut self, news: gossip::Message) {
        let peers = self.peer_addrs();
        self.send(news, &peers);
    }

    fn send(&mut self, news: gossip::Message, targets: &[SocketAddr]) {
        self.seq += 1;
        let datagram = gossip::Datagram {
            from: self.me(),
            seq: self.seq,
            relay: false,
            news,
        };
        self.send_datagram(&datagram, targets);
    }

    fn take(&mut self, datagram: gossip::Datagram) {
        let now = self.direct.node.now();
        let from = &datagram.from;
        if from.link == self.direct.node.settings().link {
            return;
        }
        if datagram.relay {
            self.relay(&datagram);
        }
        let from = datagram.from;
        self.see(now, &from);
        match datagram.news {
            gossip::Message::Hello(others) => {
                let me = self.direct.node.settings().link;
                let strangers = self.direct.roster().add_reported(now, me, &others);
                self.send(gossip::Message::Hello(Vec::new()), &strangers);
            }
            gossip::Message::Records(records) => {
                for record in records {
                    // Whoever heard it has logged and counted what is wrong with it.
                    let _ = self.direct.apply_record(record, false);
                }
            }
            gossip::Message::Loads {
                whole,
                loads,
                waiting,
            } => {
                let told = load::Report {
                    whole,
                    loads,
                    waiting,
                };
                let board = &mut self.direct.state().board;
                board.apply(now, from.link, from.life, datagram.seq, told);
            }
            gossip::Message::Paces(paces) => self.direct.apply_paces(&paces),
            gossip::Message::Died(request, server) => {
                self.direct
                    .state()
                    .suspects
                    .record_death(now, request, &server);
            }
            gossip::Message::Limits(words) => self.direct.receive_limit_reports(&words),
            gossip::Message::Ask(ask) => {
                let grant = self.direct.answer_grant_request(&ask);
                self.send(gossip::Message::Grant(grant), &[from.link]);
            }
            gossip::Message::Grant(grant) => self.direct.receive_grant(grant),
            gossip::Message::Charged(server) => self.direct.receive_charge(server),
        }
        if from.version > self.direct.node.documents().version() {
            self.pull(from.link);
        }
    }

    fn see(&mut self, now: Duration, from: &gossip::Peer) {
        let is_new = self.direct.roster().observe(now, from);
        if is_new {
            self.welcome(now, from.link);
            log_event!(self.direct.node.log(), Event::PeerSeen, "peer" => from.link,
                "life" => from.life.0, "votes" => from.votes, "version" => from.version);
        }
    }

    /// Tells a process that has just come all that it cannot know yet.
    fn welcome(&mut self, now: Duration, addr: SocketAddr) {
        let peers = self.peer_addrs();
        self.send(gossip::Message::Hello(peers), &[addr]);
        let heard = self.direct.state().register.recent(now, PASS_ON);
        for records in gossip::record_chunks(heard) {
            self.send(gossip::Message::Records(records), &[addr]);
        }
        let limits = self.direct.state().quotas.reports();
        for words in gossip::report_chunks(&limits) {
            self.send(gossip::Message::Limits(words), &[addr]);
        }
        self.loads_due = true;
        self.loads_whole = true;
    }

    /// Fetches the newest document from a process that holds a newer one.
    fn pull(&self, from: SocketAddr) {
        if self.pulling.swap(true, Ordering::AcqRel) {
            return;
        }
        let node = Arc::clone(&self.direct.node);
        let pulling = Arc::clone(&self.pulling);
        tokio::spawn(async move {
            fetch(&node, from).await;
            pulling.store(false, Ordering::Release);
        });
    }
}

async fn fetch(node: &Arc<node::Node>, from: SocketAddr) {
    let ask = rpc::Ask::Document {
        have: node.documents().version(),
    };
    // Without an answer the next datagram of a process that is ahead starts another try.
    if let Ok(rpc::Answer::Document(Some(document))) = node.link(from).ask(&ask, PULL_TIMEOUT).await
    {
        node.documents().install(document);
    }
}

impl Direct {
    /// The other processes.
    pub(super) fn roster(&self) -> MutexGuard<'_, membership::Membership> {
        self.roster.lock().expect("roster lock")
    }

    /// Other processes heard lately, by link address.
    pub fn peers(&self) -> HashMap<SocketAddr, gossip::Peer> {
        let roster = self.roster();
        let present = roster.live();
        present.map(|one| (one.link, one.clone())).collect()
    }
}
