//! Routers in front of the stand-in engine's own batching, in one loop over the engines' time.
#![allow(dead_code)]

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use testbed::engine::cache;
use testbed::engine::scheduler;
use tokio::sync::watch;
use wigeonbarrow::config;
use wigeonbarrow::entry::job;
use wigeonbarrow::entry::router;
use wigeonbarrow::wire::id;
use wigeonbarrow::wire::member;
use wigeonbarrow::wire::outcome;
use wigeonbarrow::wire::run;

const MICROS: f64 = 1e6;

/// Bytes of a prompt's token in the stand-in engine.
const BYTES: u64 = 8;

/// What is run.
#[derive(Clone)]
pub struct Settings {
    pub conf: config::Set,
    pub engines: usize,
    pub routers: usize,
    /// Time between two reports of a server, and how late they come.
    pub period: Duration,
    pub lag: Duration,
    /// Speed of the engine, and the speed that sidecars report.
    pub rate: u64,
    pub reported: u64,
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            conf: config::Set::default(),
            engines: 15,
            routers: 3,
            period: Duration::from_millis(250),
            lag: Duration::ZERO,
            rate: 40_000,
            reported: 30_000,
            seed: 1,
        }
    }
}

/// A request that will come.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub workspace: String,
    pub tokens: u64,
    pub output: u32,
    pub limit: Duration,
}

/// What became of a request.
#[derive(Clone, Debug, Default)]
pub struct Fate {
    /// When its last attempt was placed, its first token came, and it ended.
    pub placed: Option<Duration>,
    pub first: Option<Duration>,
    pub done: Option<Duration>,
    pub failed: Option<outcome::Cause>,
    pub attempts: u32,
    pub server: Option<usize>,
}

struct Flight {
    request: usize,
    tokens: u64,
    class: run::Class,
    band: run::Class,
    memory: u64,
    watch: watch::Receiver<scheduler::Progress>,
    begun: bool,
}

struct Engine {
    scheduler: scheduler::Scheduler,
    flights: Vec<Flight>,
    seq: u64,
}

pub struct Model {
    settings: Settings,
    engines: Vec<Engine>,
    routers: Vec<router::Router>,
    arrivals: Vec<Arrival>,
    pub fates: Vec<Fate>,
    reports: VecDeque<(u64, member::Announce)>,
    report_at: u64,
    now: u64,
    offers: Vec<(usize, job::Placement)>,
}

fn engine(settings: &Settings) -> Engine {
    let cache = cache::Settings {
        tokens: 200_000,
        delay: 0,
        gaps: 0.0,
        seed: 1,
    };
    Engine {
        scheduler: scheduler::Scheduler::new(scheduler::Settings {
            slots: 16,
            queue: 64,
            memory: 400_000,
            prefill_rate: settings.rate,
            token_micros: 20_000,
            step_tokens: 1_024,
            cache,
        }),
        flights: Vec::new(),
        seq: 0,
    }
}

impl Model {
    pub fn new(settings: Settings, arrivals: Vec<Arrival>) -> Self {
        let conf = Arc::new(settings.conf.clone());
        let routers = (0..settings.routers as u64)
            .map(|number| router::Router::new(settings.seed + number, "a", Arc::clone(&conf)))
            .collect();
        Self {
            engines: (0..settings.engines).map(|_| engine(&settings)).collect(),
            routers,
            fates: vec![Fate::default(); arrivals.len()],
            arrivals,
            reports: VecDeque::new(),
            report_at: 0,
            now: 0,
            offers: Vec::new(),
            settings,
        }
    }

    /// Runs until all requests have ended.
    pub fn run(mut self) -> Self {
        let mut next = 0;
        loop {
            let arrival = self.arrivals.get(next).map(|a| a.at.as_micros() as u64 + 1);
            let engines = self.engines.iter().filter_map(|e| e.scheduler.wake()).min();
            let report = self.reports.front().map(|(at, _)| *at);
            let routers = self.routers.iter().map(|r| r.wake().as_micros() as u64 + 1);
            let due = [
                arrival,
                engines,
                report,
                routers.min(),
                Some(self.report_at),
            ];
            self.now = due.into_iter().flatten().min().unwrap().max(self.now);
            self.advance();
            self.report();
            if arrival.is_some_and(|at| at <= self.now) {
                self.arrive(next);
                next += 1;
            }
            for number in 0..self.routers.len() {
                if self.routers[number].wake() <= self.time() {
                    self.tell(number, router::Event::Tick);
                }
            }
            self.settle();
            let open: usize = self.routers.iter().map(router::Router::in_progress).sum();
            if next == self.arrivals.len() && open == 0 {
                return self;
            }
        }
    }

    fn time(&self) -> Duration {
        Duration::from_micros(self.now)
    }

    fn router_of(&self, request: usize) -> usize {
        request % self.routers.len()
    }

    /// Lets a router take an event and notes what it does.
    fn tell(&mut self, number: usize, event: router::Event) {
        let now = self.time();
        let mut actions = Vec::new();
        self.routers[number].step(now, event, &mut actions);
        for action in actions {
            match action {
                router::Action::Placed(id, place) => self.offers.push((id.0 as usize, place)),
                router::Action::Unplaced(id, failure) => {
                    self.fates[id.0 as usize].failed = Some(failure.cause);
                    self.tell(number, router::Event::Close(id, None));
                }
            }
        }
    }

    fn arrive(&mut self, request: usize) {
        let place = self.job(request, Vec::new());
        self.tell(
            self.router_of(request),
            router::Event::Place(Box::new(place)),
        );
    }

    fn job(&self, request: usize, avoid: Vec<String>) -> job::Job {
        let arrival = &self.arrivals[request];
        job::Job {
            request: id::Request(request as u128),
            workspace: arrival.workspace.clone(),
            service: "pool".to_owned(),
            model: Some("m".to_owned()),
            fingerprint: id::Fingerprint([0; 16]),
            body_len: arrival.tokens * BYTES,
            max_tokens: arrival.output,
            deadline: arrival.at + arrival.limit,
            blocks: Vec::new(),
            retry: !avoid.is_empty(),
            avoid,
        }
    }

    /// Carries offers to the servers until none is left.
    fn settle(&mut self) {
        while let Some((request, place)) = self.offers.pop() {
            let number: usize = place.target.server[1..].parse().unwrap();
            self.fates[request].attempts += 1;
            self.fates[request].placed = Some(self.time());
            self.fates[request].server = Some(number);
            if self.offer(request, number, &place) {
                continue;
            }
            let load = self.load(number);
            let note = job::Feedback::Refused(outcome::Cause::Busy, load);
            let router = self.router_of(request);
            let id = id::Request(request as u128);
            self.tell(router, router::Event::Feedback(id, note));
            let job = self.job(request, vec![place.target.server.clone()]);
            self.tell(router, router::Event::Place(Box::new(job)));
        }
    }

    /// As a sidecar admits: exact slots and memory, some of each kept for short requests.
    fn offer(&mut self, request: usize, number: usize, place: &job::Placement) -> bool {
        let load = self.load(number);
        let arrival = &self.arrivals[request];
        let memory = arrival.tokens + u64::from(arrival.output);
        let short = place.class == run::Class::Short;
        let slots = if short { 16 } else { 14 };
        let room = if short { 400_000 } else { 375_000 };
        if load.running >= slots || (load.running > 0 && load.used_tokens + memory > room) {
            return false;
        }
        let ask = scheduler::Ask {
            id: format!("{request}.{}", self.fates[request].attempts),
            kind: scheduler::Kind::Run,
            hash: request as u64,
            blocks: Vec::new(),
            tokens: arrival.tokens,
            before: 0,
            delivered: 0,
            max_tokens: u64::from(arrival.output),
            priority: place.priority,
            deadline: (arrival.at + arrival.limit).as_micros() as u64,
            poison: false,
        };
        let engine = &mut self.engines[number];
        let _ = engine.scheduler.advance(self.now);
        let Ok(watch) = engine.scheduler.admit(ask) else {
            return false;
        };
        let _ = engine.scheduler.advance(self.now);
        engine.flights.push(Flight {
            request,
            tokens: arrival.tokens,
            class: place.class,
            band: run::Class::at(place.priority),
            memory,
            watch,
            begun: false,
        });
        true
    }

    fn load(&self, number: usize) -> member::Load {
        let engine = &self.engines[number];
        let mut load = member::Load {
            running: engine.flights.len() as u32,
            slots: 16,
            memory_tokens: 400_000,
            prefill_rate: self.settings.reported,
            token_micros: 20_000,
            ..member::Load::default()
        };
        for flight in &engine.flights {
            load.used_tokens += flight.memory;
            if flight.begun {
                continue;
            }
            load.all_ahead += flight.tokens;
            load.long += u32::from(flight.class == run::Class::Long);
            if flight.band != run::Class::Long {
                load.medium_ahead += flight.tokens;
            }
            if flight.band == run::Class::Short {
                load.short_ahead += flight.tokens;
            }
        }
        load
    }

    /// Brings the engines up to now and tells the routers of first tokens and ends.
    fn advance(&mut self) {
        let mut news = Vec::new();
        for engine in &mut self.engines {
            let _ = engine.scheduler.advance(self.now);
            engine.flights.retain_mut(|flight| {
                let progress = *flight.watch.borrow();
                if !flight.begun && progress.length > 0 {
                    flight.begun = true;
                    news.push((flight.request, None));
                }
                if let scheduler::State::Done(end) = progress.state {
                    news.push((flight.request, Some(end)));
                    return false;
                }
                true
            });
        }
        for (request, end) in news {
            let id = id::Request(request as u128);
            let router = self.router_of(request);
            let Some(end) = end else {
                self.fates[request].first = Some(self.time());
                self.tell(
                    router,
                    router::Event::Feedback(id, job::Feedback::FirstOutput),
                );
                continue;
            };
            let usage = (end == scheduler::End::Length).then(|| run::Usage {
                prompt_tokens: self.arrivals[request].tokens,
                cached_tokens: 0,
                output_tokens: u64::from(self.arrivals[request].output),
            });
            match usage {
                Some(_) => self.fates[request].done = Some(self.time()),
                None => self.fates[request].failed = Some(outcome::Cause::Deadline),
            }
            self.tell(router, router::Event::Close(id, usage));
        }
    }

    /// Makes the reports that are due and delivers those that have arrived.
    fn report(&mut self) {
        if self.now >= self.report_at {
            self.report_at = self.now + self.settings.period.as_micros() as u64;
            for number in 0..self.engines.len() {
                let load = self.load(number);
                let engine = &mut self.engines[number];
                engine.seq += 1;
                let mut announce =
                    super::fleet::announce(&format!("s{number:02}"), "a", engine.seq);
                announce.load = load;
                announce.lease_ms = 10_000;
                let at = self.now + self.settings.lag.as_micros() as u64;
                self.reports.push_back((at, announce));
            }
        }
        while self.reports.front().is_some_and(|(at, _)| *at <= self.now) {
            let (_, announce) = self.reports.pop_front().unwrap();
            for number in 0..self.routers.len() {
                let event = router::Event::Announce(Box::new(announce.clone()));
                self.tell(number, event);
            }
        }
    }

    /// Times to first token of the requests that `pick` picks, sorted.
    pub fn ttft(&self, pick: impl Fn(&Arrival) -> bool) -> Vec<f64> {
        let mut times: Vec<f64> = self
            .arrivals
            .iter()
            .zip(&self.fates)
            .filter(|(arrival, _)| pick(arrival))
            .filter_map(|(arrival, fate)| {
                Some(fate.first?.saturating_sub(arrival.at).as_secs_f64())
            })
            .collect();
        times.sort_by(f64::total_cmp);
        times
    }

    /// Times to first token over the ideal, alone on an engine.
    pub fn stretch(&self, pick: impl Fn(&Arrival) -> bool) -> Vec<f64> {
        let mut times: Vec<f64> = self
            .arrivals
            .iter()
            .zip(&self.fates)
            .filter(|(arrival, _)| pick(arrival))
            .filter_map(|(arrival, fate)| {
                let ideal = arrival.tokens as f64 / self.settings.rate as f64;
                Some(fate.first?.saturating_sub(arrival.at).as_secs_f64() / ideal)
            })
            .collect();
        times.sort_by(f64::total_cmp);
        times
    }

    /// Whole answers.
    pub fn whole(&self) -> usize {
        self.fates.iter().filter(|fate| fate.done.is_some()).count()
    }

    /// Attempts in all.
    pub fn attempts(&self) -> u32 {
        self.fates.iter().map(|fate| fate.attempts).sum()
    }

    /// When the last request ended.
    pub fn end(&self) -> Duration {
        self.time()
    }
}

/// The value below which `part` of sorted `values` lie.
pub fn quantile(values: &[f64], part: f64) -> f64 {
    let index = (values.len() as f64 * part).ceil() as usize;
    values[index.clamp(1, values.len()) - 1]
}

/// Poisson arrivals at `rate` a second for `time`: prompts log-uniform from 1,000 to 100,000
/// tokens, and one in fifty from 100,000 to 350,000.
pub fn mix(seed: u64, rate: f64, time: Duration) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut at = 1.0;
    let mut list = Vec::new();
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at > time.as_secs_f64() {
            return list;
        }
        let (low, high): (f64, f64) = if rng.random_ratio(1, 50) {
            (100_000.0, 350_000.0)
        } else {
            (1_000.0, 100_000.0)
        };
        let tokens = (rng.random_range(low.ln()..high.ln())).exp() as u64;
        list.push(Arrival {
            at: Duration::from_micros((at * MICROS) as u64),
            workspace: "w".to_owned(),
            tokens,
            output: rng.random_range(20..200),
            limit: Duration::from_secs(120),
        });
    }
}

impl Model {
    /// The slowest requests that `pick` picks.
    pub fn worst(&self, count: usize, pick: impl Fn(&Arrival) -> bool) -> Vec<String> {
        let both = self.arrivals.iter().zip(&self.fates);
        let mut list: Vec<_> = both
            .filter(|(arrival, fate)| pick(arrival) && fate.first.is_some())
            .map(|(arrival, fate)| {
                let placed = fate.placed.unwrap_or_default();
                let wait = placed.saturating_sub(arrival.at);
                let rest = fate.first.unwrap_or_default().saturating_sub(placed);
                let text = format!(
                    "at {:?} tokens {} waited {wait:?} then {rest:?} on {:?} attempts {}",
                    arrival.at, arrival.tokens, fate.server, fate.attempts
                );
                (wait + rest, text)
            })
            .collect();
        list.sort();
        list.into_iter()
            .rev()
            .take(count)
            .map(|(_, text)| text)
            .collect()
    }
}
