//! One life of the engine: the scheduler with its clock and thread, orders, and the lagging load.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::fs;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use serde::Serialize;

use super::ask;
use super::scheduler;

/// Exit code of an engine that a prompt has killed.
const KILLED: i32 = 86;
/// Least time between two samples of the load, in microseconds.
const SAMPLE: u64 = 20_000;

/// Settings of the engine beyond its size and speed.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Size and speed.
    pub scheduler: scheduler::Settings,
    /// Models loaded at the start.
    pub models: Vec<String>,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// How late the load is told, in microseconds.
    pub lag: u64,
    /// A prompt with this text kills the process; empty for none.
    pub crash_on: String,
    /// File that gets a line with the prompt's hash for each run that begins.
    pub journal: Option<PathBuf>,
    /// How long a load of a model or adapter takes.
    pub load: Duration,
}

/// Answer to `GET /v1/load`.
#[derive(Clone, Debug, Serialize)]
pub struct Load {
    running: usize,
    queued: usize,
    used_tokens: u64,
    prefill_rate: u64,
    token_micros: u64,
}

/// What orders have changed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Posture {
    /// Highest fencing number seen.
    pub fence: u64,
    /// Models loaded.
    pub models: BTreeSet<String>,
    /// Adapters loaded.
    pub adapters: BTreeSet<String>,
    /// Role, if one was given.
    pub role: Option<String>,
    /// Orders obeyed, in order.
    pub obeyed: Vec<ask::Order>,
}

/// The engine.
pub struct Life {
    /// Its settings.
    pub settings: Settings,
    /// Its life's number.
    pub incarnation: u64,
    begun: Instant,
    scheduler: Mutex<scheduler::Scheduler>,
    changed: Condvar,
    posture: Mutex<Posture>,
    samples: Mutex<VecDeque<(u64, Load)>>,
    handles: std::sync::atomic::AtomicU64,
    journal: Option<Mutex<fs::File>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A number that grows at each start of a backend server.
pub fn incarnation() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

impl Life {
    /// A new engine; [`Self::work`] must run on a thread of its own.
    pub fn new(settings: Settings) -> std::io::Result<Self> {
        let open = |path| fs::OpenOptions::new().append(true).create(true).open(path);
        let journal = settings.journal.as_ref().map(open).transpose()?;
        let posture = Posture {
            models: settings.models.iter().cloned().collect(),
            ..Posture::default()
        };
        Ok(Self {
            journal: journal.map(Mutex::new),
            incarnation: incarnation(),
            begun: Instant::now(),
            scheduler: Mutex::new(scheduler::Scheduler::new(settings.scheduler.clone())),
            changed: Condvar::new(),
            posture: Mutex::new(posture),
            samples: Mutex::new(VecDeque::new()),
            handles: std::sync::atomic::AtomicU64::new(1),
            settings,
        })
    }

    /// Microseconds since the start.
    pub fn now(&self) -> u64 {
        self.begun.elapsed().as_micros() as u64
    }

    /// Does something with the scheduler, brought up to now, and wakes its thread.
    pub fn with<T>(&self, act: impl FnOnce(&mut scheduler::Scheduler, u64) -> T) -> T {
        let mut scheduler = lock(&self.scheduler);
        let now = self.now();
        self.advance(&mut scheduler, now);
        let result = act(&mut scheduler, now);
        self.advance(&mut scheduler, now);
        self.sample(&scheduler, now);
        drop(scheduler);
        self.changed.notify_one();
        result
    }

    /// Runs the steps, for ever; sleeps whenever nothing is due.
    pub fn work(&self) {
        let mut scheduler = lock(&self.scheduler);
        loop {
            let now = self.now();
            self.advance(&mut scheduler, now);
            self.sample(&scheduler, now);
            let wait = scheduler.wake().map(|at| at.saturating_sub(self.now()));
            scheduler = match wait {
                Some(0) => scheduler,
                Some(wait) => {
                    let wait = Duration::from_micros(wait);
                    let woken = self.changed.wait_timeout(scheduler, wait);
                    woken.unwrap_or_else(PoisonError::into_inner).0
                }
                None => {
                    let woken = self.changed.wait(scheduler);
                    woken.unwrap_or_else(PoisonError::into_inner)
                }
            };
        }
    }

    /// The load as it was `lag` ago.
    pub fn load(&self) -> Load {
        let now = self.with(|_, now| now);
        let samples = lock(&self.samples);
        let then = now.saturating_sub(self.settings.lag);
        let sample = samples.iter().rev().find(|(at, _)| *at <= then);
        sample
            .or(samples.front())
            .map_or_else(|| self.idle(), |(_, load)| load.clone())
    }

    /// A handle for a new segment.
    pub fn handle(&self) -> String {
        let number = self
            .handles
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        format!("k{number}")
    }

    /// What orders have changed.
    pub fn posture(&self) -> Posture {
        lock(&self.posture).clone()
    }

    /// Takes an order, unless its fencing number is old and is checked: then the current one.
    pub fn order(&self, order: ask::Order) -> Result<(), u64> {
        let mut posture = lock(&self.posture);
        if self.settings.fencing && order.fence < posture.fence {
            return Err(posture.fence);
        }
        posture.fence = posture.fence.max(order.fence);
        let name = order.order.name.clone();
        match order.order.kind {
            ask::Kind::LoadModel => drop(posture.models.insert(name)),
            ask::Kind::UnloadModel => drop(posture.models.remove(&name)),
            ask::Kind::LoadAdapter => drop(posture.adapters.insert(name)),
            ask::Kind::UnloadAdapter => drop(posture.adapters.remove(&name)),
            ask::Kind::SetRole => posture.role = Some(name),
        }
        posture.obeyed.push(order);
        Ok(())
    }

    /// Whether an order may still be obeyed; the current fencing number if not.
    pub fn admits(&self, fence: u64) -> Result<(), u64> {
        let current = lock(&self.posture).fence;
        if self.settings.fencing && fence < current {
            return Err(current);
        }
        Ok(())
    }

    fn idle(&self) -> Load {
        Load {
            running: 0,
            queued: 0,
            used_tokens: 0,
            prefill_rate: self.settings.scheduler.prefill_rate,
            token_micros: self.settings.scheduler.token_micros,
        }
    }

    /// Notes the load for those who ask later.
    fn sample(&self, scheduler: &scheduler::Scheduler, now: u64) {
        let (running, queued) = scheduler.load();
        let load = Load {
            running,
            queued,
            used_tokens: scheduler.used(),
            ..self.idle()
        };
        let mut samples = lock(&self.samples);
        if let Some((at, last)) = samples.back_mut()
            && now < *at + SAMPLE.min(self.settings.lag)
        {
            *last = load;
            return;
        }
        samples.push_back((now, load));
        let then = now.saturating_sub(self.settings.lag);
        while samples.get(1).is_some_and(|(at, _)| *at <= then) {
            samples.pop_front();
        }
    }

    /// Does what is due; ends the process if a prompt has killed the engine.
    fn advance(&self, scheduler: &mut scheduler::Scheduler, now: u64) {
        let health = scheduler.advance(now);
        for hash in scheduler.begun() {
            let Some(journal) = &self.journal else {
                break;
            };
            if let Err(err) = lock(journal).write_all(format!("{hash}\n").as_bytes()) {
                eprintln!("journal: {err}");
            }
        }
        if health == scheduler::Health::Dead {
            eprintln!("killed by a prompt");
            std::process::exit(KILLED);
        }
    }
}
