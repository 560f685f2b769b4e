//! Requests in progress at this process, and the stage that each has reached.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::direct::register;

/// Stage of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// Its body is being read, or it waits for a configuration or for the first backend server.
    Admission,
    /// It waits for its turn, or for a backend server with capacity.
    Waiting,
    /// It waits for the back-off between two attempts.
    Paused,
    /// Memory is being reserved for it.
    Reserving,
    /// A connection to its backend server is being opened.
    Connecting,
    /// It was sent to its backend server, and nothing was passed on to the caller yet.
    Sent,
    /// Its response is being passed on to the caller.
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

    /// Name in the log.
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

/// State of a request in progress.
#[derive(Clone, Debug)]
pub struct State {
    /// The caller's id of the request.
    pub id: String,
    /// The stage that it has reached.
    pub stage: Stage,
    /// When it reached that stage.
    pub since: Instant,
    /// When the request arrived.
    pub began: Instant,
    /// Its deadline, once known.
    pub deadline: Option<Instant>,
    /// The backend server of its last attempt.
    pub server: Option<register::Instance>,
    /// Events passed on to the caller.
    pub events: u32,
    /// Whether it was logged as cut by the exit of this process.
    pub is_cut: bool,
}

/// Shared handle to the state of a request in progress.
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

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("progress lock")
    }

    /// Enters a stage.
    pub fn reach(&self, stage: Stage) {
        let mut current = self.lock();
        if current.stage != stage {
            current.stage = stage;
            current.since = Instant::now();
        }
    }

    /// Enters the first stage of an attempt at `server`.
    pub fn reach_at(&self, stage: Stage, server: &register::Instance) {
        self.reach(stage);
        self.lock().server = Some(server.clone());
    }
}

#[derive(Debug, Default)]
struct Entries {
    last_number: u64,
    open: BTreeMap<u64, Progress>,
}

/// All requests in progress.
#[derive(Debug, Default)]
pub struct Table(Mutex<Entries>);

impl Table {
    /// Adds a request that arrived. The number is for [`Table::remove`].
    pub fn insert(&self, id: &str) -> (u64, Progress) {
        let progress = Progress::new(id);
        let mut entries = self.entries();
        entries.last_number += 1;
        let number = entries.last_number;
        entries.open.insert(number, progress.clone());
        (number, progress)
    }

    /// Removes a request that ended.
    pub fn remove(&self, number: u64) {
        self.entries().open.remove(&number);
    }

    /// All requests in progress, the oldest first.
    pub fn all(&self) -> Vec<Progress> {
        self.entries().open.values().cloned().collect()
    }

    /// Number of requests in each stage, in the order of [`Stage::ALL`].
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

/// Time until the deadline of a request. 0 if it has passed or is not known.
pub fn time_left(state: &State) -> Duration {
    let now = Instant::now();
    state.deadline.map_or(Duration::ZERO, |deadline| {
        deadline.saturating_duration_since(now)
    })
}
