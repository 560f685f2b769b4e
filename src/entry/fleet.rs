//! The backend servers that an entry knows of: presence by lease, load by report.

use std::collections::HashMap;
use std::time::Duration;

use crate::entry::breaker;
use crate::entry::request;
use crate::wire::id;
use crate::wire::member;
use crate::wire::run;

/// Most backend servers in the table. Beyond it new ones are not taken up.
pub const MAX_SERVERS: usize = 50_000;

/// Prefill speed assumed where none was reported, in tokens a second.
const DEFAULT_RATE: u64 = 10_000;

/// One server in so many of a service may be protected at a time, and never more than half.
const PROTECTED: usize = 4;

/// Weight of a report in the mean of the others' load.
const GAIN: f64 = 0.5;

/// Place of a server in the table; stable while the server is present.
pub type Index = usize;

/// Prompt tokens by class of length.
type Tokens = [u64; 3];

/// A backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its last announcement.
    pub announced: member::Announce,
    /// When it, or an exact load, was received.
    pub reported: Duration,
    /// When its lease ends.
    pub expires: Duration,
    /// When it arrived, or a new life of its engine.
    pub arrived: Duration,
    /// Attempts of this entry in progress there.
    pub own_attempts: u32,
    /// Of these, attempts under suspicion of killing engines.
    pub suspects: u32,
    /// Whether it gets work.
    pub breaker: breaker::Breaker,
    /// A request that waits for this server's memory, and since when. Others keep out.
    pub held_for: Option<(id::Request, Duration)>,
    /// Whether a prefill of this entry there is slow: nothing more is put before it.
    pub protected: bool,
    /// Tokens of memory of this entry's attempts.
    own_memory: u64,
    /// Long attempts of this entry that have not shown their first token.
    own_long: u32,
    /// Work of this entry that has not shown its first token.
    own_ahead: Tokens,
    /// What other entries have there.
    others: Others,
}

/// Load of a server that is not this entry's: reports less what this entry knows exactly, as a
/// running mean, since reports are late and all entries would run after each of them.
#[derive(Clone, Copy, Debug, Default)]
struct Others {
    attempts: f64,
    memory: f64,
    ahead: [f64; 3],
}

impl Others {
    fn learn(&mut self, sample: &Self, gain: f64) {
        let blend = |old: &mut f64, new: f64| *old += gain * (new - *old);
        blend(&mut self.attempts, sample.attempts);
        blend(&mut self.memory, sample.memory);
        for (old, new) in self.ahead.iter_mut().zip(sample.ahead) {
            blend(old, new);
        }
    }
}

/// One attempt of this entry on a server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Where.
    pub server: Index,
    /// Class of length.
    pub class: run::Class,
    /// Class with whose prompts it is prefilled.
    pub priority_class: run::Class,
    /// Prompt tokens expected to need prefill.
    pub uncached: u64,
    /// Tokens of memory that it may take.
    pub memory: u64,
    /// Whether it is under suspicion of killing engines.
    pub suspect: bool,
    /// When it was placed.
    pub placed: Duration,
    /// Whether its first token came.
    pub prefilled: bool,
}

impl Server {
    fn new(now: Duration, announce: member::Announce) -> Self {
        let mut server = Self {
            reported: now,
            expires: now + Duration::from_millis(announce.lease_ms),
            arrived: now,
            announced: announce,
            own_attempts: 0,
            suspects: 0,
            breaker: breaker::Breaker::default(),
            held_for: None,
            protected: false,
            own_memory: 0,
            own_long: 0,
            own_ahead: Tokens::default(),
            others: Others::default(),
        };
        server.learn(1.0);
        server
    }

    /// How to reach it.
    pub fn target(&self) -> request::Target {
        request::Target {
            server: self.announced.server.clone(),
            link: self.announced.link,
            sidecar: self.announced.sidecar,
        }
    }

    /// Whether it is present and takes new work.
    pub fn is_open(&self, now: Duration) -> bool {
        !self.announced.leaving && now < self.expires
    }

    /// Whether it has the model.
    pub fn serves(&self, model: Option<&str>) -> bool {
        model.is_none_or(|model| self.announced.models.iter().any(|known| known == model))
    }

    /// Prefill speed in tokens a second, never 0.
    pub fn rate(&self) -> u64 {
        match self.announced.load.prefill_rate {
            0 => DEFAULT_RATE,
            rate => rate,
        }
    }

    /// Attempts that hold a slot: this entry's, and what others seem to have.
    pub fn busy(&self) -> u32 {
        self.own_attempts + self.others.attempts.round() as u32
    }

    /// Tokens of memory taken.
    pub fn used_tokens(&self) -> u64 {
        self.own_memory + self.others.memory as u64
    }

    /// Prompt tokens to be prefilled before a new prompt of `class` gets its turn: this entry's,
    /// and others', less what the engine did since the last report.
    pub fn ahead(&self, now: Duration, class: run::Class) -> u64 {
        let age = now.saturating_sub(self.reported).as_secs_f64();
        let done = self.rate() as f64 * age;
        let others = (self.others.ahead[rank(class)] - done).max(0.0);
        up_to(&self.own_ahead, class) + others as u64
    }

    /// Takes the last report into the mean of the others' load.
    fn learn(&mut self, gain: f64) {
        let load = &self.announced.load;
        let less = |all: u64, own: u64| all.saturating_sub(own) as f64;
        let reported = [load.short_ahead, load.medium_ahead, load.all_ahead];
        let mut sample = Others {
            attempts: less(
                u64::from(load.running + load.reserved),
                u64::from(self.own_attempts),
            ),
            memory: less(load.used_tokens, self.own_memory),
            ahead: [0.0; 3],
        };
        for (index, class) in CLASSES.into_iter().enumerate() {
            let own = up_to(&self.own_ahead, class);
            sample.ahead[index] = less(reported[index], own);
        }
        self.others.learn(&sample, gain);
    }

    /// Whether a long prompt is in prefill there.
    pub fn has_long(&self) -> bool {
        let load = &self.announced.load;
        self.own_long > 0 || load.long > 0
    }

    fn report(&mut self, now: Duration, announce: member::Announce, gain: f64) {
        self.reported = now;
        self.announced = announce;
        self.learn(gain);
    }

    fn add(&mut self, attempt: &Attempt) {
        self.own_attempts += 1;
        self.suspects += u32::from(attempt.suspect);
        self.own_memory += attempt.memory;
        self.own_long += u32::from(attempt.class == run::Class::Long);
        self.own_ahead[rank(attempt.priority_class)] += attempt.uncached;
    }

    /// Takes the prefill work of `attempt` out of the sums.
    fn end_prefill(&mut self, attempt: &Attempt) {
        let long = u32::from(attempt.class == run::Class::Long);
        self.own_long = self.own_long.saturating_sub(long);
        self.announced.load.long = self.announced.load.long.saturating_sub(long);
        let own = &mut self.own_ahead[rank(attempt.priority_class)];
        *own = own.saturating_sub(attempt.uncached);
    }

    fn remove(&mut self, attempt: &Attempt) {
        if !attempt.prefilled {
            self.end_prefill(attempt);
        }
        self.own_attempts = self.own_attempts.saturating_sub(1);
        self.own_memory = self.own_memory.saturating_sub(attempt.memory);
        self.suspects = self.suspects.saturating_sub(u32::from(attempt.suspect));
    }
}

const CLASSES: [run::Class; 3] = [run::Class::Short, run::Class::Medium, run::Class::Long];

/// Place of a class in [`Tokens`], in the order in which engines prefill.
fn rank(class: run::Class) -> usize {
    match class {
        run::Class::Short => 0,
        run::Class::Medium => 1,
        run::Class::Long => 2,
    }
}

/// Tokens of `class` and those that go before it.
fn up_to(tokens: &Tokens, class: run::Class) -> u64 {
    tokens[..=rank(class)].iter().sum()
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was older than what is known, or the table is full.
    Ignored,
    /// A server arrived, or a new life of its sidecar or engine.
    Arrived(Index),
    /// A report of a known server.
    Updated(Index),
}

/// The backend servers, and this entry's attempts on them.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    servers: Vec<Option<Server>>,
    free: Vec<Index>,
    names: HashMap<String, Index>,
    /// Invariant: each present server stands once, under its service, in the order of names.
    services: HashMap<String, Vec<Index>>,
    attempts: HashMap<id::Request, Attempt>,
}

impl Fleet {
    /// Takes an announcement. An older life, or an older number within a life, changes nothing.
    pub fn announce(&mut self, now: Duration, announce: member::Announce) -> Change {
        let Some(&index) = self.names.get(&announce.server) else {
            return self.arrive(now, announce);
        };
        let Some(server) = &mut self.servers[index] else {
            return Change::Ignored;
        };
        let known = (server.announced.sidecar, server.announced.seq);
        if (announce.sidecar, announce.seq) <= known {
            return Change::Ignored;
        }
        let same_life = announce.sidecar == server.announced.sidecar
            && announce.engine == server.announced.engine;
        if announce.service != server.announced.service {
            self.remove(index);
            return self.arrive(now, announce);
        }
        server.expires = now + Duration::from_millis(announce.lease_ms);
        server.report(now, announce, if same_life { GAIN } else { 1.0 });
        if !same_life {
            server.arrived = now;
            server.breaker = breaker::Breaker::default();
        }
        if same_life {
            Change::Updated(index)
        } else {
            Change::Arrived(index)
        }
    }

    fn arrive(&mut self, now: Duration, announce: member::Announce) -> Change {
        if self.names.len() >= MAX_SERVERS {
            return Change::Ignored;
        }
        let index = self.free.pop().unwrap_or_else(|| {
            self.servers.push(None);
            self.servers.len() - 1
        });
        self.names.insert(announce.server.clone(), index);
        let service = self.services.entry(announce.service.clone()).or_default();
        let position = service.partition_point(|&other| {
            let other = self.servers[other].as_ref();
            other.is_some_and(|other| other.announced.server < announce.server)
        });
        service.insert(position, index);
        self.servers[index] = Some(Server::new(now, announce));
        Change::Arrived(index)
    }

    fn remove(&mut self, index: Index) {
        let Some(server) = self.servers[index].take() else {
            return;
        };
        self.names.remove(&server.announced.server);
        if let Some(list) = self.services.get_mut(&server.announced.service) {
            list.retain(|&other| other != index);
            if list.is_empty() {
                self.services.remove(&server.announced.service);
            }
        }
        self.attempts.retain(|_, attempt| attempt.server != index);
        self.free.push(index);
    }

    /// Removes servers whose lease ended and on which nothing of this entry runs; returns those
    /// removed.
    pub fn expire(&mut self, now: Duration) -> Vec<Index> {
        let gone: Vec<Index> = (0..self.servers.len())
            .filter(|&index| {
                self.server(index)
                    .is_some_and(|server| now >= server.expires && server.own_attempts == 0)
            })
            .collect();
        for &index in &gone {
            self.remove(index);
        }
        gone
    }

    /// A server.
    pub fn server(&self, index: Index) -> Option<&Server> {
        self.servers.get(index)?.as_ref()
    }

    /// Last announcements of the servers whose lease has not ended.
    pub fn present(&self, now: Duration) -> Vec<member::Announce> {
        let live = self
            .servers
            .iter()
            .flatten()
            .filter(|server| now < server.expires);
        live.map(|server| server.announced.clone()).collect()
    }

    /// The servers of a service, by name.
    pub fn service(&self, service: &str) -> &[Index] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// A server, to change it.
    pub fn server_mut(&mut self, index: Index) -> Option<&mut Server> {
        self.servers.get_mut(index)?.as_mut()
    }

    /// All present servers.
    pub fn iter(&self) -> impl Iterator<Item = (Index, &Server)> {
        let servers = self.servers.iter().enumerate();
        servers.filter_map(|(index, server)| Some((index, server.as_ref()?)))
    }

    /// Place of a server by its name.
    pub fn index(&self, server: &str) -> Option<Index> {
        self.names.get(server).copied()
    }

    /// Counts an attempt in. One that the request had elsewhere is counted out.
    pub fn add_attempt(&mut self, request: id::Request, attempt: Attempt) {
        self.remove_attempt(request);
        if let Some(Some(server)) = self.servers.get_mut(attempt.server) {
            server.add(&attempt);
            self.attempts.insert(request, attempt);
        }
    }

    /// The attempt of a request.
    pub fn attempt(&self, request: id::Request) -> Option<&Attempt> {
        self.attempts.get(&request)
    }

    /// The request's first token came: its prefill is done. Returns the time from its placing.
    pub fn first_output(&mut self, now: Duration, request: id::Request) -> Option<Duration> {
        let attempt = self.attempts.get_mut(&request)?;
        if attempt.prefilled {
            return None;
        }
        let server = self.servers[attempt.server].as_mut()?;
        server.end_prefill(attempt);
        attempt.prefilled = true;
        Some(now.saturating_sub(attempt.placed))
    }

    /// Counts the attempt of a request out.
    pub fn remove_attempt(&mut self, request: id::Request) -> Option<Attempt> {
        let attempt = self.attempts.remove(&request)?;
        if let Some(Some(server)) = self.servers.get_mut(attempt.server) {
            server.remove(&attempt);
        }
        Some(attempt)
    }

    /// Marks the servers with a prefill of this entry that takes more than `slow` times its own
    /// length, and more than `least`; of each service a quarter at the most.
    pub fn protect(&mut self, now: Duration, slow: f64, least: Duration) {
        let mut marked: HashMap<Index, Duration> = HashMap::new();
        // A workspace over its share goes after the others on purpose.
        let awaited =
            |attempt: &&Attempt| !attempt.prefilled && attempt.priority_class <= attempt.class;
        for attempt in self.attempts.values().filter(awaited) {
            let Some(Some(server)) = self.servers.get(attempt.server) else {
                continue;
            };
            let own = attempt.uncached as f64 / server.rate() as f64;
            let age = now.saturating_sub(attempt.placed);
            if age > least && age.as_secs_f64() > slow * own {
                let oldest = marked.entry(attempt.server).or_insert(attempt.placed);
                *oldest = attempt.placed.min(*oldest);
            }
        }
        for server in self.servers.iter_mut().flatten() {
            server.protected = false;
        }
        for list in self.services.values() {
            let slow = list
                .iter()
                .filter_map(|index| Some((marked.get(index)?, *index)));
            let mut slow: Vec<(&Duration, Index)> = slow.collect();
            slow.sort_unstable();
            let most = list.len().div_ceil(PROTECTED).min(list.len() / 2);
            for (_, index) in slow.into_iter().take(most) {
                if let Some(Some(server)) = self.servers.get_mut(index) {
                    server.protected = true;
                }
            }
        }
    }

    /// Takes the exact load that came with a refusal.
    pub fn set_load(&mut self, now: Duration, index: Index, load: member::Load) {
        if let Some(Some(server)) = self.servers.get_mut(index) {
            let mut announce = server.announced.clone();
            announce.load = load;
            server.report(now, announce, 1.0);
        }
    }
}
