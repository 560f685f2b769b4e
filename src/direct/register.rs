//! Which backend servers there are, from their own heartbeats, in whatever order these arrive.
//!
//! A server that starts again may keep its id. Its lives are told apart by their birth: a later
//! one replaces all that is known of an earlier one, and begins its counts anew.
//!
//! Nobody keeps a list. Each process merges what it hears itself and what others pass on; the
//! merge is alike everywhere, so all come to the same picture without agreement.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use super::load;

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
    /// One life of a backend server, from one of its starts to its end.
    #[derive(Hash)]
    pub struct Instance {
        /// Its id. A server may keep it when it starts again.
        pub id: String,
        /// Its start in milliseconds since 1970. `None`: not told, and before any that is told.
        pub born: Option<u64>,
    }

    /// One backend server, in one life.
    pub struct Record {
        /// Its life.
        pub life: Instance,
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
        /// Counts the heartbeats of this life up, so that a late one is known as such.
        pub seq: u64,
    }
}

impl Instance {
    /// That of `id` which began at `born`.
    pub fn new(id: impl Into<String>, born: Option<u64>) -> Self {
        let id = id.into();
        Self { id, born }
    }

    /// Whether one of its id that tells of this birth may be it.
    pub fn may_match(&self, born: Option<u64>) -> bool {
        self.born.is_none() || born.is_none() || self.born == born
    }
}

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born {
            Some(born) => write!(f, "{}@{born}", self.id),
            None => f.write_str(&self.id),
        }
    }
}

impl Record {
    /// A life that has gone and of which nothing else is known.
    fn gone(life: Instance) -> Self {
        Self {
            life,
            service: String::new(),
            addr: SocketAddr::from(([0, 0, 0, 0], 0)),
            zone: String::new(),
            slots: 0,
            phase: Phase::Gone,
            seq: 0,
        }
    }

    /// Whether it only says that some life of its id has gone.
    fn is_bare(&self) -> bool {
        self.phase == Phase::Gone && self.service.is_empty() && self.life.born.is_none()
    }
}

/// What became of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    /// A life not known before; it replaces an earlier one of its id.
    New,
    /// What is known of it has changed.
    Changed,
    /// It is still there.
    Same,
    /// It came late, or from a life that has ended.
    Stale,
}

/// Why a record names no server to use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The configuration knows no such service.
    UnknownService,
    /// It tells of no birth, though a server of its id does.
    MissingStart,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnknownService => "no such service",
            Self::MissingStart => "no birth, though the server of this id tells one",
        })
    }
}

impl std::error::Error for Rejection {}

/// How long after its last sign of life a backend server is forgotten.
pub const FORGET_AFTER: Duration = Duration::from_secs(60);

/// How long a life must be known for a word that tells of no birth to end it: longer than such
/// words are passed on, so that one on the life before does not end the next.
const SETTLED: Duration = Duration::from_secs(4);

#[derive(Clone, Debug)]
struct Known {
    record: Record,
    /// See [`load::server_key`]: kept, since hashing it anew for each use grows with the fleet.
    key: u64,
    /// When this life became known.
    since: Duration,
    /// When a new heartbeat was last heard of, here or elsewhere.
    seen: Duration,
    /// When one came to this process itself.
    heard: Option<Duration>,
    /// Another life took its address.
    ousted: bool,
    /// Heartbeats heard since then. A delayed one is alone; a living server sends more.
    again: u32,
}

impl Known {
    fn new(now: Duration, record: Record) -> Self {
        Self {
            key: load::server_key(&record.life),
            record,
            since: now,
            seen: now,
            heard: None,
            ousted: false,
            again: 0,
        }
    }
}

/// A backend server that takes requests.
#[derive(Clone, Copy, Debug)]
pub struct Ready<'a> {
    /// Its record.
    pub record: &'a Record,
    /// See [`load::server_key`].
    pub key: u64,
    /// Time since its last sign of life.
    pub age: Duration,
}

/// All backend servers known.
#[derive(Debug, Default)]
pub struct Register {
    /// The latest life of each id.
    by_id: HashMap<String, Known>,
    /// Who holds an address. Invariant: names an id in `by_id`.
    holders: HashMap<SocketAddr, String>,
    /// Ids by the keys of their latest lives. Invariant: one for each in `by_id`.
    by_key: HashMap<u64, String>,
}

impl Register {
    /// Whether a record may be that of a server to use. `is_named`: the configuration knows its
    /// service, or is not known yet. A server that is known already is heard all the same, so that
    /// it can leave after its service was taken away.
    pub fn check(&self, record: &Record, is_named: bool) -> Result<(), Rejection> {
        if record.phase == Phase::Gone {
            return Ok(());
        }
        let Some(latest) = self.latest(&record.life.id) else {
            return if is_named {
                Ok(())
            } else {
                Err(Rejection::UnknownService)
            };
        };
        if record.service != latest.service && !is_named {
            return Err(Rejection::UnknownService);
        }
        if record.life.born.is_none() && latest.life.born.is_some() {
            return Err(Rejection::MissingStart);
        }
        Ok(())
    }

    /// Takes a record. `direct`: it came to this process itself.
    pub fn merge(&mut self, now: Duration, record: Record, direct: bool) -> Update {
        let id = &record.life.id;
        let taken = match self.by_id.get_mut(id) {
            None => self.add(now, record.clone()),
            Some(known) if record.life.born > known.record.life.born => {
                self.add(now, record.clone())
            }
            Some(known) if record.life.born < known.record.life.born => {
                end_settled(now, known, &record)
            }
            Some(known) => merge_known(now, known, &record),
        };
        if let Some(known) = self.by_id.get_mut(id) {
            if direct && taken != Update::Stale {
                known.heard = Some(now);
            }
            if known.ousted && known.again >= 2 && known.record.phase == Phase::Ready {
                self.restore(id);
                return Update::Changed;
            }
        }
        taken
    }

    fn add(&mut self, now: Duration, record: Record) -> Update {
        let (id, addr) = (record.life.id.clone(), record.addr);
        let is_there = record.phase != Phase::Gone;
        let known = Known::new(now, record);
        let key = known.key;
        let former = self.by_id.insert(id.clone(), known);
        if let Some(former) = former {
            self.by_key.remove(&former.key);
            let left = former.record.addr;
            self.holders
                .retain(|at, holder| *at != left || *holder != id);
        }
        self.by_key.insert(key, id.clone());
        if is_there {
            self.hold(addr, id);
        }
        Update::New
    }

    fn hold(&mut self, addr: SocketAddr, id: String) {
        let former = self.holders.insert(addr, id.clone());
        if let Some(former) = former.filter(|former| *former != id)
            && let Some(former) = self.by_id.get_mut(&former)
        {
            former.ousted = true;
            former.again = 0;
        }
    }

    /// The life at an address that another was taken to hold goes on after all.
    fn restore(&mut self, id: &str) {
        let Some(known) = self.by_id.get_mut(id) else {
            return;
        };
        known.ousted = false;
        known.again = 0;
        let addr = known.record.addr;
        self.hold(addr, id.to_owned());
    }

    /// A backend server goes: it takes no new requests. A life that was not known is kept as
    /// gone, so that a heartbeat that comes late does not bring it back. Without a birth it is the
    /// life known here that goes. `None`: a later life is known already.
    pub fn mark_gone(&mut self, now: Duration, life: Instance) -> Option<Record> {
        let held = self.by_id.get(&life.id).map(|one| one.record.life.born);
        if life.born.is_some() && held.is_some_and(|held| held > life.born) {
            return None;
        }
        if held.is_none_or(|held| held < life.born) {
            self.add(now, Record::gone(life.clone()));
        }
        let known = self.by_id.get_mut(&life.id)?;
        known.record.phase = Phase::Gone;
        known.record.seq += 1;
        known.seen = now;
        known.heard = Some(now);
        Some(known.record.clone())
    }

    /// At an address where `life` was expected, another one answered.
    pub fn mark_displaced(&mut self, life: &Instance) {
        let known = self.by_id.get_mut(&life.id);
        if let Some(known) = known.filter(|known| known.record.life == *life) {
            known.ousted = true;
            known.again = 0;
        }
    }

    /// The record of a life.
    pub fn get(&self, life: &Instance) -> Option<&Record> {
        let record = self.latest(&life.id)?;
        (record.life == *life).then_some(record)
    }

    /// The record of an id's latest life.
    pub fn latest(&self, id: &str) -> Option<&Record> {
        self.by_id.get(id).map(|known| &known.record)
    }

    /// The life that a key names, see [`load::server_key`].
    pub fn instance(&self, key: u64) -> Option<&Instance> {
        let id = self.by_key.get(&key)?;
        Some(&self.latest(id)?.life)
    }

    /// Whether a key names a life known here.
    pub fn contains_key(&self, key: u64) -> bool {
        self.by_key.contains_key(&key)
    }

    /// Who holds an address.
    pub fn at(&self, addr: SocketAddr) -> Option<&Record> {
        self.latest(self.holders.get(&addr)?)
    }

    /// Backend servers of a service that take requests, with the time since their last sign of
    /// life.
    pub fn ready<'a>(
        &'a self,
        now: Duration,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a Record, Duration)> {
        let ready = self.ready_with_keys(now, service);
        ready.map(|one| (one.record, one.age))
    }

    /// The same, with their keys.
    pub fn ready_with_keys<'a>(
        &'a self,
        now: Duration,
        service: &'a str,
    ) -> impl Iterator<Item = Ready<'a>> {
        let known = self.by_id.values().filter(move |known| {
            known.record.service == service && known.record.phase == Phase::Ready && !known.ousted
        });
        known.map(move |known| Ready {
            record: &known.record,
            key: known.key,
            age: now.saturating_sub(known.seen),
        })
    }

    /// Whether a life takes requests, as far as known.
    pub fn is_ready(&self, life: &Instance) -> bool {
        let known = self.by_id.get(&life.id);
        let known = known.filter(|known| known.record.life == *life);
        known.is_some_and(|known| known.record.phase == Phase::Ready && !known.ousted)
    }

    /// Records that this process heard itself within `span`, to pass on.
    pub fn recent(&self, now: Duration, span: Duration) -> Vec<Record> {
        let lately = |known: &&Known| known.heard.is_some_and(|at| now < at + span);
        let known = self.by_id.values().filter(lately);
        known.map(|known| known.record.clone()).collect()
    }

    /// All lives known.
    pub fn all(&self) -> impl Iterator<Item = &Record> {
        self.by_id.values().map(|known| &known.record)
    }

    /// Forgets who has been silent for [`FORGET_AFTER`].
    pub fn prune(&mut self, now: Duration) {
        self.by_id
            .retain(|_, known| now < known.seen + FORGET_AFTER);
        let by_id = &self.by_id;
        self.holders.retain(|_, id| by_id.contains_key(id));
        self.by_key.retain(|_, id| by_id.contains_key(id));
    }
}

/// Takes a word on an earlier life. One that tells of no birth at all ends the life known here,
/// if it cannot be on the one before.
fn end_settled(now: Duration, known: &mut Known, record: &Record) -> Update {
    let ends = record.is_bare() && now >= known.since + SETTLED;
    if !ends || known.record.phase == Phase::Gone {
        return Update::Stale;
    }
    known.record.phase = Phase::Gone;
    known.seen = now;
    Update::Changed
}

fn merge_known(now: Duration, known: &mut Known, record: &Record) -> Update {
    let is_later = record.seq > known.record.seq;
    let phase = known.record.phase.max(record.phase);
    let changed = phase != known.record.phase;
    if !is_later && !changed {
        return if record.seq == known.record.seq {
            Update::Same
        } else {
            Update::Stale
        };
    }
    known.seen = now;
    known.again += u32::from(is_later && known.ousted);
    known.record.seq = known.record.seq.max(record.seq);
    known.record.phase = phase;
    if changed {
        Update::Changed
    } else {
        Update::Same
    }
}
