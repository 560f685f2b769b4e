//! Requests in progress at this process, and the stage that each is in.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::direct::register;

/// How far a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// Its body is read, or it waits for a configuration or for the first backend server.
    Admission,
    /// It waits for its turn, or for a backend server with room.
    Waiting,
    /// It pauses between two attempts.
    Paused,
    /// Memory is set aside for it.
    Reserving,
    /// A connection to its backend server is opened.
    Connecting,
    /// It was sent to its backend server; nothing was passed on yet.
    Sent,
    /// Its answer is passed on.
    Answering,
}

impl Stage {
    /// All stages, in the order in which a request passes them.
    pub const ALL: [Self; 7] = [
        Self::Admission,
        Self::Waiting,
        Self::Paused,
        Self::Reserving,
        Self::Connecting,
        Self::Sent,
        Self::Answering,
    ];

    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Admission => "admission",
            Self::Waiting => "waiting",
            Self::Paused => "paused",
            Self::Reserving => "reserving",
            Self::Connecting => "connecting",
            Self::Sent => "sent",
            Self::Answering => "answering",
        }
    }
}

/// What is known of a request in progress.
#[derive(Clone, Debug)]
pub struct State {
    /// The caller's id of it.
    pub id: String,
    /// How far it is.
    pub stage: Stage,
    /// When it reached that stage.
    pub since: Instant,
    /// When it came.
    pub began: Instant,
    /// When its caller's time is over, once known.
    pub deadline: Option<Instant>,
    /// The backend server of its last attempt.
    pub server: Option<register::Instance>,
    /// Events passed on.
    pub events: u32,
    /// Whether the end of this process was logged as its end.
    pub is_cut: bool,
}

/// A request in progress, shared by whoever works on it.
#[derive(Clone, Debug)]
pub struct Progress(Arc<Mutex<State>>);

impl Progress {
    fn new(id: &str) -> Self {
        let now = Instant::now();
        Self(Arc::new(Mutex::new(State {
            id: id.to_owned(),
            stage: Stage::Admission,
            since: now,
            began: now,
            deadline: None,
            server: None,
            events: 0,
            is_cut: false,
        })))
    }

    /// What is known of it.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("progress lock")
    }

    /// It reached a stage.
    pub fn reach(&self, stage: Stage) {
        let mut current = self.lock();
        if current.stage != stage {
            current.stage = stage;
            current.since = Instant::now();
        }
    }

    /// An attempt at `server` begins with this stage.
    pub fn reach_at(&self, stage: Stage, server: &register::Instance) {
        self.reach(stage);
        self.lock().server = Some(server.clone());
    }
}

#[derive(Debug, Default)]
struct Entries {
    last: u64,
    open: BTreeMap<u64, Progress>,
}

/// The requests in progress.
#[derive(Debug, Default)]
pub struct Table(Mutex<Entries>);

impl Table {
    /// A request came. Its number is for [`Table::remove`].
    pub fn insert(&self, id: &str) -> (u64, Progress) {
        let progress = Progress::new(id);
        let mut entries = self.entries();
        entries.last += 1;
        let number = entries.last;
        entries.open.insert(number, progress.clone());
        (number, progress)
    }

    /// A request ended.
    pub fn remove(&self, number: u64) {
        self.entries().open.remove(&number);
    }

    /// All of them, the oldest first.
    pub fn all(&self) -> Vec<Progress> {
        self.entries().open.values().cloned().collect()
    }

    /// How many there are in each stage, in the order of [`Stage::ALL`].
    pub fn count(&self) -> [usize; Stage::ALL.len()] {
        let mut counts = [0; Stage::ALL.len()];
        for progress in self.all() {
            counts[progress.lock().stage as usize] += 1;
        }
        counts
    }

    fn entries(&self) -> MutexGuard<'_, Entries> {
        self.0.lock().expect("progress table lock")
    }
}

/// Time that is left of a caller's time, 0 where it is over or not known.
pub fn time_left(state: &State) -> Duration {
    let now = Instant::now();
    state.deadline.map_or(Duration::ZERO, |deadline| {
        deadline.saturating_duration_since(now)
    })
}
