//! What callers may hold of a process: parts of the memory and of the descriptors that its machine
//! allows it. All listeners take their bounds from here.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

/// Descriptors that are left for files outside the data folder.
const RESERVED_DESCRIPTORS: usize = 200;

/// Memory of a connection beside the buffer for its heads: its task, what it writes, and the first
/// bytes of a body.
const CONNECTION_BYTES: usize = 24 << 10;

/// Bytes of each body that are held as part of its connection.
const OWN_BODY_BYTES: usize = 8 << 10;

/// Bytes by which a body progresses.
const PROGRESS_BYTES: usize = 4 << 10;

/// Time without progress after which a body stalls.
const STALL: Duration = Duration::from_millis(500);

/// Shortest time over which the pace of a body is taken.
const MIN_PACE_TIME: Duration = Duration::from_millis(50);

/// Most memory for responses that are read whole, in bytes.
const MAX_RESPONSES: usize = 32 << 20;

/// Connections with heads of the largest size that each listener has room for.
const MIN_CONNECTIONS: usize = 32;

/// Limits of the machine on this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory in bytes.
    pub memory: usize,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// Who uses a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Users {
    /// Callers of services.
    Callers,
    /// Operators and backend servers.
    Operators,
    /// The load balancer's readiness checks, or a collector of metrics.
    Status,
    /// All of them at one listener, of a process that reaches backend servers by few links.
    All,
}

impl Users {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Operators => "operators",
            Self::Status => "status",
            Self::All => "all",
        }
    }
}

/// What the users of one listener may hold together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Open connections.
    descriptors: usize,
    /// Bytes of memory for connections.
    connections: usize,
    /// Bytes of memory for bodies.
    pub bodies: usize,
}

impl Bounds {
    /// Largest head, if the configuration allows `configured` bytes: a few dozen connections always
    /// fit.
    pub fn head_bytes(&self, configured: usize) -> usize {
        configured.min(self.connections / (2 * MIN_CONNECTIONS))
    }

    /// Most open connections, if each may send heads of `head_bytes`. A buffer that has grown may be
    /// twice as large as what it holds.
    pub fn connections(&self, head_bytes: usize) -> usize {
        let each = CONNECTION_BYTES + 2 * head_bytes;
        (self.connections / each).min(self.descriptors).max(1)
    }
}

impl Machine {
    /// Memory for responses that are read whole before they are passed on. Backend servers are few and
    /// known, so a large machine gives them no more.
    pub fn responses(&self) -> usize {
        (self.memory / 5).min(MAX_RESPONSES)
    }

    /// The bounds of a listener. All listeners of a process together leave a third of its memory for
    /// its state and for responses, and a descriptor for the connection to the backend server of each
    /// caller; those at one listener leave a quarter of the descriptors for links.
    pub fn bounds(&self, users: Users) -> Bounds {
        let usable = self.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let (descriptors, connections, bodies) = match users {
            Users::Callers => (usable * 3 / 8, self.memory / 5, self.memory / 4),
            Users::Operators => (usable / 8, self.memory / 20, self.memory / 8),
            Users::Status => (usable / 32, self.memory / 50, 0),
            Users::All => (usable * 3 / 4, self.memory / 4, self.memory / 4),
        };
        Bounds {
            descriptors,
            connections,
            bodies,
        }
    }
}

/// What happens to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is open, under this number.
    Admitted(u64),
    /// The connection of this number is to be closed first.
    Yields(u64),
    /// All connections are being served: the new one is closed unread.
    Refused,
}

/// The open connections of a listener. While all are in use, the one that has waited longest for its
/// user yields to a new one.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    next: u64,
    /// Since when each waits for its user: for a request, for the rest of its head, or for progress
    /// of its body. `None`: it is being served, or has been told to close.
    open: HashMap<u64, Option<Duration>>,
    /// Invariant: those in `open` that wait.
    waiting: BTreeSet<(Duration, u64)>,
}

impl Connections {
    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Decides on a new connection, if `most` may be open.
    pub fn admit(&mut self, now: Duration, most: usize) -> Verdict {
        if self.open.len() < most {
            let id = self.next;
            self.next += 1;
            self.open.insert(id, None);
            self.set(id, Some(now));
            return Verdict::Admitted(id);
        }
        let Some((_, id)) = self.waiting.first().copied() else {
            return Verdict::Refused;
        };
        self.set(id, None);
        Verdict::Yields(id)
    }

    /// A connection waits for its user since `since`.
    pub fn wait(&mut self, id: u64, since: Duration) {
        self.set(id, Some(since));
    }

    /// A connection is being served.
    pub fn serve(&mut self, id: u64) {
        self.set(id, None);
    }

    /// A connection has closed.
    pub fn close(&mut self, id: u64) {
        self.set(id, None);
        self.open.remove(&id);
    }

    fn set(&mut self, id: u64, since: Option<Duration>) {
        let Some(current) = self.open.get_mut(&id) else {
            return;
        };
        if let Some(before) = current.take() {
            self.waiting.remove(&(before, id));
        }
        *current = since;
        if let Some(since) = since {
            self.waiting.insert((since, id));
        }
    }
}

/// Whether a body may take more memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// It has it.
    Granted,
    /// The body of this number is to be given up first.
    Yields(u64),
    /// Not before other bodies give some back.
    Waits,
}

/// A body that is being read.
#[derive(Clone, Copy, Debug)]
struct Body {
    began: Duration,
    /// Bytes received.
    received: usize,
    /// Bytes received and time at the last progress.
    progress: (usize, Duration),
    /// Bytes held beyond its own.
    held: usize,
    /// Whether it waits for memory and so is not read.
    waits: bool,
    /// Whether it has been told to end.
    yields: bool,
}

impl Body {
    /// Bytes a second since it began.
    fn pace(&self, now: Duration) -> f64 {
        let took = now.saturating_sub(self.began).max(MIN_PACE_TIME);
        self.received as f64 / took.as_secs_f64()
    }

    /// How long it has stalled. `None`: it progresses.
    fn stalled(&self, now: Duration) -> Option<Duration> {
        let since = now.saturating_sub(self.progress.1);
        (since >= STALL).then_some(since)
    }
}

/// Memory for bodies, from their first bytes to the end of their requests. When it is used up, a body
/// that stalls yields to one that does not, then the slower of two.
#[derive(Clone, Debug)]
pub struct Memory {
    most: usize,
    /// Invariant: at most `most`; the sum over `reading` and over the bodies that were read whole.
    used: usize,
    next: u64,
    reading: BTreeMap<u64, Body>,
}

impl Memory {
    /// Memory of `most` bytes.
    pub fn new(most: usize) -> Self {
        Self {
            most,
            used: 0,
            next: 0,
            reading: BTreeMap::new(),
        }
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Begins to read a body; its number.
    pub fn begin(&mut self, now: Duration) -> u64 {
        let id = self.next;
        self.next += 1;
        let body = Body {
            began: now,
            received: 0,
            progress: (0, now),
            held: 0,
            waits: false,
            yields: false,
        };
        self.reading.insert(id, body);
        id
    }

    /// Records bytes of a body. Returns whether it has progressed.
    pub fn receive(&mut self, now: Duration, id: u64, bytes: usize) -> bool {
        let Some(body) = self.reading.get_mut(&id) else {
            return false;
        };
        body.received += bytes;
        let has_progressed = body.received >= body.progress.0 + PROGRESS_BYTES;
        if has_progressed {
            body.progress = (body.received, now);
        }
        has_progressed
    }

    /// Asks for memory so that a body may hold `capacity` bytes.
    pub fn grow(&mut self, now: Duration, id: u64, capacity: usize) -> Grant {
        let wanted = capacity.saturating_sub(OWN_BODY_BYTES);
        let Some(body) = self.reading.get_mut(&id) else {
            return Grant::Waits;
        };
        let more = wanted.saturating_sub(body.held);
        if self.used + more <= self.most {
            self.used += more;
            body.held += more;
            if body.waits {
                body.waits = false;
                body.progress.1 = now;
            }
            return Grant::Granted;
        }
        body.waits = true;
        let own_pace = body.pace(now);
        let missing = self.used + more - self.most;
        let yielding = self.reading.values().filter(|body| body.yields);
        if yielding.map(|body| body.held).sum::<usize>() >= missing {
            return Grant::Waits;
        }
        let candidates = self.reading.iter_mut().filter(|(other, body)| {
            let is_slower = body.stalled(now).is_some() || body.pace(now) < own_pace;
            **other != id && body.held > 0 && !body.waits && !body.yields && is_slower
        });
        let slowest = candidates.min_by(|(_, a), (_, b)| {
            let by_stall = b.stalled(now).cmp(&a.stalled(now));
            by_stall.then(a.pace(now).total_cmp(&b.pace(now)))
        });
        match slowest {
            Some((other, body)) => {
                body.yields = true;
                Grant::Yields(*other)
            }
            None => Grant::Waits,
        }
    }

    /// A body was read whole. It yields no more, and holds the returned number of bytes until they
    /// are released.
    pub fn finish(&mut self, id: u64) -> usize {
        self.reading.remove(&id).map_or(0, |body| body.held)
    }

    /// Gives back what a body that was read whole held.
    pub fn release(&mut self, bytes: usize) {
        self.used -= bytes;
    }

    /// Gives up a body that was not read whole.
    pub fn abandon(&mut self, id: u64) {
        let held = self.finish(id);
        self.release(held);
    }
}
