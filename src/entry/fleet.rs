//! The backend servers known to an entry: presence by lease, load by report.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::entry::breaker;
use crate::entry::request;
use crate::wire::id;
use crate::wire::member;
use crate::wire::run;

/// Most backend servers in the table. New ones beyond it are ignored.
pub const MAX_SERVERS: usize = 50_000;

/// Prefill speed assumed where none was reported, in tokens a second.
const DEFAULT_PREFILL_RATE: u64 = 10_000;

/// One server in this many of a service may be protected at a time, and never more than half.
const SERVERS_PER_PROTECTED: usize = 4;

/// Weight of a report in the running mean of the other entries' load.
const GAIN: f64 = 0.5;

/// Index of a server in the table; stable while the server is present.
pub type Index = usize;

/// Prompt tokens by class of length.
type Tokens = [u64; 3];

/// A backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its last announcement.
    pub announced: member::Announce,
    /// When the announcement, or the exact load with a refusal, was received.
    pub reported: Duration,
    /// When its lease ends.
    pub expires: Duration,
    /// When it, or the current incarnation of its sidecar or engine, was first announced.
    pub arrived: Duration,
    /// Attempts of this entry in progress on it.
    pub own_attempts: u32,
    /// Of these, attempts of requests suspected of crashing engines.
    pub suspects: u32,
    pub breaker: breaker::Breaker,
    /// The request that waits for this server's memory, and since when the server is held for it.
    /// Other requests may not use the server meanwhile, except that short ones may at first.
    pub held_for: Option<(id::Request, Duration)>,
    /// Whether a prefill of this entry is slow on it. The server then gets no short or medium
    /// requests, which would delay the prefill further.
    pub protected: bool,
    /// Whether its zone is evacuated, so that it gets no new work.
    pub evacuated: bool,
    /// Tokens of memory of this entry's attempts.
    own_memory: u64,
    /// Long attempts of this entry without a first token.
    own_long: u32,
    /// Uncached prompt tokens of this entry's attempts without a first token.
    own_ahead: Tokens,
    /// Load caused by other entries.
    others: Others,
}

/// Load of a server caused by other entries: the reported load less this entry's own. It is a
/// running mean, because reports are late and all entries would otherwise react to each report
/// alike.
#[derive(Clone, Copy, Debug, Default)]
struct Others {
    attempts: f64,
    memory: f64,
    ahead: [f64; 3],
}

impl Others {
    fn blend(&mut self, sample: &Self, gain: f64) {
        let update = |old: &mut f64, new: f64| *old += gain * (new - *old);
        update(&mut self.attempts, sample.attempts);
        update(&mut self.memory, sample.memory);
        for (old, new) in self.ahead.iter_mut().zip(sample.ahead) {
            update(old, new);
        }
    }
}

/// One attempt of this entry on a server.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub server: Index,
    /// Class of length.
    pub class: run::Class,
    /// Class by its priority, which decides the order of prefill.
    pub priority_class: run::Class,
    /// Prompt tokens expected to need prefill.
    pub uncached: u64,
    /// Tokens of memory that it may use.
    pub memory: u64,
    /// Whether its request is suspected of crashing engines.
    pub suspect: bool,
    /// When it was placed.
    pub placed: Duration,
    /// Whether its first token arrived, so that its prefill is complete.
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
            evacuated: false,
            own_memory: 0,
            own_long: 0,
            own_ahead: Tokens::default(),
            others: Others::default(),
        };
        server.learn_others(1.0);
        server
    }

    /// The address of its current sidecar.
    pub fn target(&self) -> request::Target {
        request::Target {
            server: self.announced.server.clone(),
            link: self.announced.link,
            sidecar: self.announced.sidecar,
        }
    }

    /// Whether it is present and takes new work.
    pub fn is_open(&self, now: Duration) -> bool {
        !self.announced.leaving && !self.evacuated && now < self.expires
    }

    /// Whether it serves the model; true for `None`.
    pub fn serves(&self, model: Option<&str>) -> bool {
        model.is_none_or(|model| self.announced.models.iter().any(|known| known == model))
    }

    /// Prefill speed in tokens a second, never 0.
    pub fn rate(&self) -> u64 {
        match self.announced.load.prefill_rate {
            0 => DEFAULT_PREFILL_RATE,
            rate => rate,
        }
    }

    /// Attempts that hold a slot: this entry's, and an estimate of the others'.
    pub fn busy(&self) -> u32 {
        self.own_attempts + self.others.attempts.round() as u32
    }

    /// Tokens of memory in use: this entry's, and an estimate of the others'.
    pub fn used_tokens(&self) -> u64 {
        self.own_memory + self.others.memory as u64
    }

    /// Prompt tokens to be prefilled before a new prompt of `class`: this entry's, and the others'
    /// less what the engine can have prefilled since the last report.
    pub fn ahead(&self, now: Duration, class: run::Class) -> u64 {
        let age = now.saturating_sub(self.reported).as_secs_f64();
        let done = self.rate() as f64 * age;
        let others = (self.others.ahead[rank(class)] - done).max(0.0);
        sum_up_to(&self.own_ahead, class) + others as u64
    }

    /// Updates the mean of the others' load from the last report.
    fn learn_others(&mut self, gain: f64) {
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
            let own = sum_up_to(&self.own_ahead, class);
            sample.ahead[index] = less(reported[index], own);
        }
        self.others.blend(&sample, gain);
    }

    /// Whether a long prompt is in prefill.
    pub fn has_long(&self) -> bool {
        let load = &self.announced.load;
        self.own_long > 0 || load.long > 0
    }

    fn report(&mut self, now: Duration, announce: member::Announce, gain: f64) {
        self.reported = now;
        self.announced = announce;
        self.learn_others(gain);
    }

    fn add(&mut self, attempt: &Attempt) {
        self.own_attempts += 1;
        self.suspects += u32::from(attempt.suspect);
        self.own_memory += attempt.memory;
        self.own_long += u32::from(attempt.class == run::Class::Long);
        self.own_ahead[rank(attempt.priority_class)] += attempt.uncached;
    }

    /// Removes the prefill work of `attempt` from the sums.
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

/// Index of a class in [`Tokens`], in the order in which engines prefill.
fn rank(class: run::Class) -> usize {
    match class {
        run::Class::Short => 0,
        run::Class::Medium => 1,
        run::Class::Long => 2,
    }
}

/// Tokens of `class` and of the classes prefilled before it.
fn sum_up_to(tokens: &Tokens, class: run::Class) -> u64 {
    tokens[..=rank(class)].iter().sum()
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was not newer than the last one, or the table is full.
    Ignored,
    /// It is the first of a server, or of a new incarnation of its sidecar or engine.
    Arrived(Index),
    /// It is a report of a known server.
    Updated(Index),
}

/// The backend servers, and this entry's attempts on them.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    servers: Vec<Option<Server>>,
    free_indices: Vec<Index>,
    by_name: HashMap<String, Index>,
    /// Invariant: each present server is listed once, under its service, in the order of names.
    by_service: HashMap<String, Vec<Index>>,
    attempts: HashMap<id::Request, Attempt>,
    /// Zones whose servers get no new work.
    evacuated: BTreeSet<String>,
}

impl Fleet {
    /// Replaces the evacuated zones.
    pub fn set_evacuated(&mut self, zones: BTreeSet<String>) {
        for server in self.servers.iter_mut().flatten() {
            server.evacuated = zones.contains(&server.announced.zone);
        }
        self.evacuated = zones;
    }

    /// Applies an announcement. One of an older incarnation of the sidecar, or with an older number
    /// of the same incarnation, changes nothing.
    pub fn announce(&mut self, now: Duration, announce: member::Announce) -> Change {
        let Some(&index) = self.by_name.get(&announce.server) else {
            return self.insert(now, announce);
        };
        let Some(server) = &mut self.servers[index] else {
            return Change::Ignored;
        };
        let known = (server.announced.sidecar, server.announced.seq);
        if (announce.sidecar, announce.seq) <= known {
            return Change::Ignored;
        }
        let same_incarnation = announce.sidecar == server.announced.sidecar
            && announce.engine == server.announced.engine;
        if announce.service != server.announced.service {
            self.remove(index);
            return self.insert(now, announce);
        }
        server.expires = now + Duration::from_millis(announce.lease_ms);
        server.evacuated = self.evacuated.contains(&announce.zone);
        server.report(now, announce, if same_incarnation { GAIN } else { 1.0 });
        if !same_incarnation {
            server.arrived = now;
            server.breaker = breaker::Breaker::default();
        }
        if same_incarnation {
            Change::Updated(index)
        } else {
            Change::Arrived(index)
        }
    }

    fn insert(&mut self, now: Duration, announce: member::Announce) -> Change {
        if self.by_name.len() >= MAX_SERVERS {
            return Change::Ignored;
        }
        let index = self.free_indices.pop().unwrap_or_else(|| {
            self.servers.push(None);
            self.servers.len() - 1
        });
        self.by_name.insert(announce.server.clone(), index);
        let service = self.by_service.entry(announce.service.clone()).or_default();
        let position = service.partition_point(|&other| {
            let other = self.servers[other].as_ref();
            other.is_some_and(|other| other.announced.server < announce.server)
        });
        service.insert(position, index);
        let evacuated = self.evacuated.contains(&announce.zone);
        let mut server = Server::new(now, announce);
        server.evacuated = evacuated;
        self.servers[index] = Some(server);
        Change::Arrived(index)
    }

    fn remove(&mut self, index: Index) {
        let Some(server) = self.servers[index].take() else {
            return;
        };
        self.by_name.remove(&server.announced.server);
        if let Some(list) = self.by_service.get_mut(&server.announced.service) {
            list.retain(|&other| other != index);
            if list.is_empty() {
                self.by_service.remove(&server.announced.service);
            }
        }
        self.attempts.retain(|_, attempt| attempt.server != index);
        self.free_indices.push(index);
    }

    /// Removes and returns the servers whose lease ended and that have no attempts of this entry.
    pub fn expire(&mut self, now: Duration) -> Vec<Index> {
        let expired: Vec<Index> = (0..self.servers.len())
            .filter(|&index| {
                self.server(index)
                    .is_some_and(|server| now >= server.expires && server.own_attempts == 0)
            })
            .collect();
        for &index in &expired {
            self.remove(index);
        }
        expired
    }

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
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    pub fn server_mut(&mut self, index: Index) -> Option<&mut Server> {
        self.servers.get_mut(index)?.as_mut()
    }

    /// All present servers.
    pub fn iter(&self) -> impl Iterator<Item = (Index, &Server)> {
        let servers = self.servers.iter().enumerate();
        servers.filter_map(|(index, server)| Some((index, server.as_ref()?)))
    }

    /// Index of a server by its name.
    pub fn index(&self, server: &str) -> Option<Index> {
        self.by_name.get(server).copied()
    }

    /// Adds the attempt of a request, and removes its previous one.
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

    /// Records the first token of a request, which ends its prefill. Returns the time since it was
    /// placed; `None` if there was a first token before.
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

    /// Removes the attempt of a request.
    pub fn remove_attempt(&mut self, request: id::Request) -> Option<Attempt> {
        let attempt = self.attempts.remove(&request)?;
        if let Some(Some(server)) = self.servers.get_mut(attempt.server) {
            server.remove(&attempt);
        }
        Some(attempt)
    }

    /// Marks as protected the servers on which a prefill of this entry has taken longer than
    /// `min_age` and than `slow_factor` times its predicted duration. Of each service a quarter at
    /// most is marked, those with the oldest prefills first.
    pub fn protect(&mut self, now: Duration, slow_factor: f64, min_age: Duration) {
        let mut marked: HashMap<Index, Duration> = HashMap::new();
        // Prefills of workspaces over their share are slow on purpose: they come after the others.
        let is_waiting =
            |attempt: &&Attempt| !attempt.prefilled && attempt.priority_class <= attempt.class;
        for attempt in self.attempts.values().filter(is_waiting) {
            let Some(Some(server)) = self.servers.get(attempt.server) else {
                continue;
            };
            let own = attempt.uncached as f64 / server.rate() as f64;
            let age = now.saturating_sub(attempt.placed);
            if age > min_age && age.as_secs_f64() > slow_factor * own {
                let oldest = marked.entry(attempt.server).or_insert(attempt.placed);
                *oldest = attempt.placed.min(*oldest);
            }
        }
        for server in self.servers.iter_mut().flatten() {
            server.protected = false;
        }
        for list in self.by_service.values() {
            let slow = list
                .iter()
                .filter_map(|index| Some((marked.get(index)?, *index)));
            let mut slow: Vec<(&Duration, Index)> = slow.collect();
            slow.sort_unstable();
            let limit = list
                .len()
                .div_ceil(SERVERS_PER_PROTECTED)
                .min(list.len() / 2);
            for (_, index) in slow.into_iter().take(limit) {
                if let Some(Some(server)) = self.servers.get_mut(index) {
                    server.protected = true;
                }
            }
        }
    }

    /// Applies the exact load that came with a refusal.
    pub fn set_load(&mut self, now: Duration, index: Index, load: member::Load) {
        if let Some(Some(server)) = self.servers.get_mut(index) {
            let mut announce = server.announced.clone();
            announce.load = load;
            server.report(now, announce, 1.0);
        }
    }
}
