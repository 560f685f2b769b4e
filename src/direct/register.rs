//! Which backend servers there are, from their own heartbeats, in whatever order these arrive.
//!
//! Nobody keeps a list. Each process merges what it hears itself and what others pass on; the
//! merge is alike everywhere, so all come to the same picture without agreement.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

key! {
    /// What a backend server says of itself. Later ones win: it never goes back.
    pub enum Phase {
        /// It takes requests.
        Ready,
        /// It takes no new requests.
        Draining,
        /// It has gone.
        Gone,
    }
}

data! {
    /// One backend server, in one life.
    pub struct Record {
        /// Its life: drawn anew at each of its starts.
        pub id: String,
        /// Its service.
        pub service: String,
        /// Where it listens.
        pub addr: SocketAddr,
        /// Availability zone.
        pub zone: String,
        /// Requests that it serves at once.
        pub slots: u32,
        /// What it says of itself.
        pub phase: Phase,
        /// Counts its heartbeats up, so that a late one is known as such.
        pub seq: u64,
    }
}

/// What became of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// A backend server not known before.
    New,
    /// What is known of it has changed.
    Changed,
    /// It is still there.
    Same,
    /// It came late, or from a life that has ended.
    Stale,
}

/// How long after its last sign of life a backend server is forgotten.
pub const FORGET: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct Known {
    record: Record,
    /// When a new heartbeat was last heard of, here or elsewhere.
    seen: Duration,
    /// When one came to this process itself.
    heard: Option<Duration>,
    /// Another life took its address.
    ousted: bool,
    /// Heartbeats heard since then. A delayed one is alone; a living server sends more.
    since: u32,
}

/// All backend servers known.
#[derive(Debug, Default)]
pub struct Register {
    by_id: HashMap<String, Known>,
    /// Who holds an address. Invariant: names a life in `by_id`.
    holders: HashMap<SocketAddr, String>,
}

impl Register {
    /// Takes a record. `direct`: it came to this process itself.
    pub fn take(&mut self, now: Duration, record: Record, direct: bool) -> Taken {
        let taken = match self.by_id.get_mut(&record.id) {
            None => self.add(now, record.clone()),
            Some(known) => merge(now, known, &record),
        };
        if let Some(known) = self.by_id.get_mut(&record.id) {
            if direct && taken != Taken::Stale {
                known.heard = Some(now);
            }
            if known.ousted && known.since >= 2 && known.record.phase == Phase::Ready {
                self.restore(&record.id);
                return Taken::Changed;
            }
        }
        taken
    }

    fn add(&mut self, now: Duration, record: Record) -> Taken {
        let (id, addr) = (record.id.clone(), record.addr);
        let known = Known {
            record,
            seen: now,
            heard: None,
            ousted: false,
            since: 0,
        };
        let is_ready = known.record.phase != Phase::Gone;
        self.by_id.insert(id.clone(), known);
        if is_ready {
            self.hold(addr, id);
        }
        Taken::New
    }

    fn hold(&mut self, addr: SocketAddr, id: String) {
        if let Some(former) = self.holders.insert(addr, id)
            && let Some(former) = self.by_id.get_mut(&former)
        {
            former.ousted = true;
            former.since = 0;
        }
    }

    /// The life at an address that another was taken to hold goes on after all.
    fn restore(&mut self, id: &str) {
        let Some(known) = self.by_id.get_mut(id) else {
            return;
        };
        known.ousted = false;
        known.since = 0;
        let addr = known.record.addr;
        self.hold(addr, id.to_owned());
        if let Some(known) = self.by_id.get_mut(id) {
            known.ousted = false;
        }
    }

    /// A backend server goes: it takes no new requests. One that was not known is kept as gone,
    /// so that a heartbeat that comes late does not bring it back.
    pub fn leave(&mut self, now: Duration, id: &str) -> Record {
        let known = self.by_id.entry(id.to_owned()).or_insert_with(|| Known {
            record: Record {
                id: id.to_owned(),
                service: String::new(),
                addr: SocketAddr::from(([0, 0, 0, 0], 0)),
                zone: String::new(),
                slots: 0,
                phase: Phase::Gone,
                seq: 0,
            },
            seen: now,
            heard: None,
            ousted: false,
            since: 0,
        });
        known.record.phase = Phase::Gone;
        known.record.seq += 1;
        known.seen = now;
        known.heard = Some(now);
        known.record.clone()
    }

    /// At an address where `id` was expected, another life answered.
    pub fn displaced(&mut self, id: &str) {
        if let Some(known) = self.by_id.get_mut(id) {
            known.ousted = true;
            known.since = 0;
        }
    }

    /// The record of a life.
    pub fn get(&self, id: &str) -> Option<&Record> {
        self.by_id.get(id).map(|known| &known.record)
    }

    /// Who holds an address.
    pub fn at(&self, addr: SocketAddr) -> Option<&Record> {
        self.get(self.holders.get(&addr)?)
    }

    /// Backend servers of a service that take requests, with the time since their last sign of
    /// life.
    pub fn ready<'a>(
        &'a self,
        now: Duration,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a Record, Duration)> {
        let known = self.by_id.values().filter(move |known| {
            known.record.service == service && known.record.phase == Phase::Ready && !known.ousted
        });
        known.map(move |known| (&known.record, now.saturating_sub(known.seen)))
    }

    /// Whether a life takes requests, as far as known.
    pub fn is_ready(&self, id: &str) -> bool {
        let known = self.by_id.get(id);
        known.is_some_and(|known| known.record.phase == Phase::Ready && !known.ousted)
    }

    /// Records that this process heard itself within `span`, to pass on.
    pub fn heard(&self, now: Duration, span: Duration) -> Vec<Record> {
        let lately = |known: &&Known| known.heard.is_some_and(|at| now < at + span);
        let known = self.by_id.values().filter(lately);
        known.map(|known| known.record.clone()).collect()
    }

    /// All lives known.
    pub fn all(&self) -> impl Iterator<Item = &Record> {
        self.by_id.values().map(|known| &known.record)
    }

    /// Forgets who has been silent for [`FORGET`].
    pub fn prune(&mut self, now: Duration) {
        self.by_id.retain(|_, known| now < known.seen + FORGET);
        let by_id = &self.by_id;
        self.holders.retain(|_, id| by_id.contains_key(id));
    }
}

fn merge(now: Duration, known: &mut Known, record: &Record) -> Taken {
    let is_later = record.seq > known.record.seq;
    let phase = known.record.phase.max(record.phase);
    let changed = phase != known.record.phase;
    if !is_later && !changed {
        return if record.seq == known.record.seq {
            Taken::Same
        } else {
            Taken::Stale
        };
    }
    known.seen = now;
    known.since += u32::from(is_later && known.ousted);
    known.record.seq = known.record.seq.max(record.seq);
    known.record.phase = phase;
    if changed { Taken::Changed } else { Taken::Same }
}
