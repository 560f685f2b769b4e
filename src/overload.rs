//! What callers may hold of a process: parts of the memory and of the descriptors that its machine
//! allows it. All listeners take their bounds from here.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

/// Descriptors that are left for files outside the data folder.
const RESERVED_DESCRIPTORS: usize = 200;

/// Memory of a connection beside the buffer for its heads: its task and what it writes.
const CONNECTION_BYTES: usize = 16 << 10;

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
    /// All of them at one listener.
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
    /// Most open connections, if each may send heads of `head_bytes`. A buffer that has grown may be
    /// twice as large as what it holds.
    pub fn connections(&self, head_bytes: usize) -> usize {
        let each = CONNECTION_BYTES + 2 * head_bytes;
        (self.connections / each).min(self.descriptors).max(1)
    }
}

impl Machine {
    /// The bounds of a listener. All listeners of a process together leave a third of its memory and
    /// descriptors: the memory for its state and for responses, and a descriptor for the connection
    /// to the backend server of each caller.
    pub fn bounds(&self, users: Users) -> Bounds {
        let usable = self.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let (descriptors, connections, bodies) = match users {
            Users::Callers => (usable * 3 / 8, self.memory / 5, self.memory / 4),
            Users::Operators => (usable / 8, self.memory / 20, self.memory / 8),
            Users::Status => (usable / 32, self.memory / 50, 0),
            Users::All => (usable / 2, self.memory / 4, self.memory / 4),
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
