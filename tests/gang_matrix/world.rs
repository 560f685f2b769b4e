//! Real gangs, requests and ledgers over links and engines in memory, in one queue of messages.

mod callers;
mod sidecars;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use wigeonbarrow::entry::gang;
use wigeonbarrow::entry::gang::plan;
use wigeonbarrow::entry::request;
use wigeonbarrow::sidecar::buffer;
use wigeonbarrow::sidecar::capacity;
use wigeonbarrow::sidecar::ledger;
use wigeonbarrow::wire::id;
use wigeonbarrow::wire::member;
use wigeonbarrow::wire::outcome;
use wigeonbarrow::wire::run;

use super::engine;
use super::engine::Engine;

pub const HOP: Duration = Duration::from_millis(1);
const BEAT: Duration = Duration::from_millis(50);
const PREFILL: Duration = Duration::from_millis(120);
const TOKEN: Duration = Duration::from_millis(30);
const CUT_SEEN: Duration = Duration::from_millis(300);

pub const MAX_TOKENS: u32 = 4;
const BODY: usize = 9_000;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// What a sidecar asks of its engine.
#[derive(Clone)]
enum Op {
    Hold(id::Attempt, Bytes, Vec<run::Context>),
    Held(id::Attempt, String),
    Run(id::Attempt, Bytes, Vec<run::Context>, u64),
    Step(id::Attempt),
    Release(id::Attempt),
    Stop(String),
    Free(String),
    Resume(id::Attempt),
    List,
}

#[derive(Clone)]
enum Msg {
    ToSidecar(u64, run::Call),
    ToEntry(u64, run::Reply),
    Lost(u64),
    Closed(u64),
    Engine(usize, u64, u64, Op),
    Ledger(usize, u64, ledger::Event),
    Planned(usize),
    Beat,
}

struct Stream {
    server: usize,
    caller: usize,
    attempt: id::Attempt,
    life: Option<u64>,
    at_entry: bool,
    at_sidecar: bool,
}

pub struct Sidecar {
    pub ledger: ledger::Ledger,
    pub alive: bool,
    life: u64,
    offers: HashMap<id::Attempt, (Bytes, run::Work)>,
    buffers: HashMap<id::Attempt, buffer::Buffer>,
    cursors: BTreeMap<u64, (id::Attempt, bool, u64)>,
}

pub struct Caller {
    pub gang: gang::Gang,
    pub request: request::Request,
    pub body: Bytes,
    pub deadline: Duration,
    pub tokens: Vec<String>,
    pub finals: Vec<(Duration, Result<(), outcome::Failure>)>,
    pub alive: bool,
    pub runs: u32,
    ready: Option<(request::Target, Vec<run::Context>, usize)>,
    current: Option<id::Attempt>,
    sent: bool,
    begun: bool,
}

pub struct World {
    pub now: Duration,
    pub engines: Vec<Engine>,
    pub sidecars: Vec<Sidecar>,
    pub callers: Vec<Caller>,
    streams: Vec<Stream>,
    queue: BTreeMap<(Duration, u64), Msg>,
    number: u64,
    /// Replies that reached the first caller.
    pub heard: u32,
    pub cut: Vec<Duration>,
    pub frozen: Vec<Duration>,
    pub slow: Vec<Duration>,
    /// Engines that refuse what comes next.
    pub full: Vec<bool>,
    /// Replies come late, and twice.
    pub late: Duration,
    pub twice: bool,
    /// Most tokens that an engine held, or its ledger counted, over its memory.
    pub over: u64,
    pub trace: u64,
}

impl World {
    pub fn new(servers: usize, limits: &[(Duration, bool)]) -> Self {
        let mut world = Self {
            now: ms(1_000),
            engines: (0..servers).map(|_| Engine::new(1)).collect(),
            sidecars: (0..servers).map(|_| Sidecar::new(1)).collect(),
            callers: Vec::new(),
            streams: Vec::new(),
            queue: BTreeMap::new(),
            number: 0,
            heard: 0,
            cut: vec![Duration::ZERO; servers],
            frozen: vec![Duration::ZERO; servers],
            slow: vec![Duration::ZERO; servers],
            full: vec![false; servers],
            late: Duration::ZERO,
            twice: false,
            over: 0,
            trace: 0,
        };
        world.beat();
        for (number, (limit, repeatable)) in limits.iter().enumerate() {
            world.arrive(number, *limit, *repeatable);
        }
        world
    }

    fn put(&mut self, delay: Duration, msg: Msg) {
        self.number += 1;
        self.queue.insert((self.now + delay, self.number), msg);
    }

    fn arrive(&mut self, number: usize, limit: Duration, repeatable: bool) {
        let body: Vec<u8> = (0..BODY)
            .map(|at| b'a' + ((at * (number + 3)) % 26) as u8)
            .collect();
        let body = Bytes::from(body);
        let deadline = self.now + limit;
        let id = id::Request(number as u128 + 1);
        let (request, actions) = request::Request::new(
            self.now,
            request::Profile {
                request: id,
                workspace: "w".to_owned(),
                fingerprint: id::Fingerprint([number as u8; 16]),
                plain: false,
                body_len: plan::TAIL_BYTES as u64,
                repeatable,
                key: None,
                deadline,
                claim_ttl: ms(1_000),
            },
        );
        let gang = gang::Gang::new(gang::Profile {
            request: id,
            body: body.clone(),
            max_tokens: MAX_TOKENS,
            accepted: self.now,
            deadline,
            seed: number as u64,
        });
        self.callers.push(Caller {
            gang,
            request,
            body,
            deadline,
            tokens: Vec::new(),
            finals: Vec::new(),
            alive: true,
            runs: 0,
            ready: None,
            current: None,
            sent: false,
            begun: false,
        });
        self.request_acts(number, actions);
    }

    /// Runs until `until`, or until `stop` says so.
    pub fn run(&mut self, until: Duration, mut stop: impl FnMut(&Self) -> bool) -> bool {
        while let Some((&(at, number), _)) = self.queue.first_key_value() {
            if at > until {
                break;
            }
            let msg = self.queue.remove(&(at, number)).unwrap();
            self.now = at;
            self.take(msg);
            for server in 0..self.engines.len() {
                let load = self.sidecars[server].ledger.load();
                let used = self.engines[server].used().max(load.used_tokens);
                self.over = self.over.max(used.saturating_sub(engine::MEMORY));
            }
            if stop(self) {
                return true;
            }
        }
        false
    }

    fn take(&mut self, msg: Msg) {
        match msg {
            Msg::Beat => self.beat(),
            Msg::Planned(caller) => self.plan(caller),
            Msg::ToSidecar(stream, call) => self.call(stream, call),
            Msg::ToEntry(stream, reply) => self.heard(stream, reply),
            Msg::Lost(stream) => {
                if std::mem::take(&mut self.streams[stream as usize].at_entry) {
                    let Stream {
                        caller, attempt, ..
                    } = self.streams[stream as usize];
                    if gang::Gang::is_segment(attempt) {
                        self.gang(caller, gang::Event::Lost(attempt));
                    } else {
                        self.request(caller, request::Event::Lost(attempt));
                    }
                }
            }
            Msg::Closed(stream) => {
                let server = self.streams[stream as usize].server;
                if std::mem::take(&mut self.streams[stream as usize].at_sidecar) {
                    self.sidecars[server].cursors.remove(&stream);
                    self.tell(server, ledger::Event::Closed(stream));
                }
            }
            Msg::Engine(server, sidecar, life, op) => self.op(server, sidecar, life, op),
            Msg::Ledger(server, life, event) => {
                if self.frozen[server] > self.now {
                    let wait = self.frozen[server].saturating_sub(self.now);
                    return self.put(wait, Msg::Ledger(server, life, event));
                }
                if self.sidecars[server].life == life && self.sidecars[server].alive {
                    if let ledger::Event::Ended(reply) = &event
                        && let run::Reply::Done { attempt, .. } = reply
                        && self.sidecars[server].buffers.contains_key(attempt)
                    {
                        self.trace = engine::hash(self.trace, &[server as u8]);
                    }
                    self.tell(server, event);
                }
            }
        }
    }

    fn beat(&mut self) {
        self.put(BEAT, Msg::Beat);
        for server in 0..self.engines.len() {
            let engine = &self.engines[server];
            let is_heard = engine.alive && self.slow[server] <= self.now;
            if !self.sidecars[server].alive || self.frozen[server] > self.now {
                continue;
            }
            if is_heard {
                let backend = ledger::Backend {
                    incarnation: id::Incarnation(engine.life),
                    kind: member::Kind::Engine,
                    models: vec!["m".to_owned()],
                    capacity: capacity::Capacity {
                        slots: 4,
                        memory: engine::MEMORY,
                    },
                    ttl: ms(3_000),
                    leaving: engine.leaving,
                };
                self.tell(server, ledger::Event::Announced(backend));
            }
            self.tell(server, ledger::Event::Tick);
        }
        for caller in 0..self.callers.len() {
            if self.callers[caller].request.wake() <= self.now {
                self.request(caller, request::Event::Tick);
            }
            if self.callers[caller].gang.wake() <= self.now {
                self.gang(caller, gang::Event::Tick);
            }
        }
    }

    /// Both ends of all streams to a server, or of a caller, are lost.
    pub fn lose(&mut self, delay: Duration, which: impl Fn(usize, usize) -> bool) {
        for number in 0..self.streams.len() {
            if which(self.streams[number].server, self.streams[number].caller) {
                self.put(delay, Msg::Lost(number as u64));
                self.put(delay, Msg::Closed(number as u64));
            }
        }
    }

    pub fn cut(&mut self, server: usize, time: Duration) {
        self.cut[server] = self.now + time;
        self.lose(CUT_SEEN, |other, _| other == server);
    }

    pub fn restart_sidecar(&mut self, server: usize) {
        let life = self.sidecars[server].life + 1;
        self.lose(HOP, |other, _| other == server);
        self.sidecars[server] = Sidecar::new(life);
    }
}

impl Sidecar {
    fn new(life: u64) -> Self {
        Self {
            ledger: ledger::Ledger::new(id::Incarnation(life), 1 << 10),
            alive: true,
            life,
            offers: HashMap::new(),
            buffers: HashMap::new(),
            cursors: BTreeMap::new(),
        }
    }
}

fn is_last(reply: &run::Reply) -> bool {
    matches!(
        reply,
        run::Reply::Refused { .. }
            | run::Reply::Failed { .. }
            | run::Reply::Done { .. }
            | run::Reply::Unknown(_)
    )
}
