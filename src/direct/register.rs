//! The register of backend servers, built from their heartbeats in any order of arrival.
//!
//! A server that restarts may keep its id. Its instances are told apart by their start times: a
//! later one replaces all that is known about an earlier one, and its sequence numbers start anew.
//!
//! There is no central list. Each process merges the heartbeats that it receives and the records
//! that others pass on. The merge does not depend on their order, so all processes converge without
//! a consensus protocol.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use super::load;

key! {
    /// The phase that a backend server reports. An instance never returns to an earlier phase, so
    /// the later phase wins.
    pub enum Phase {
        /// It accepts requests.
        Ready,
        /// It accepts no new requests.
        Draining,
        /// It has stopped.
        Gone,
    }
}

data! {
    /// One run of a backend server, from its start until it stops.
    #[derive(Hash)]
    pub struct Instance {
        /// The server's id, which it may keep when it restarts.
        pub id: String,
        /// Start in milliseconds since 1970. `None`: not reported; counts as earlier than any other.
        pub born: Option<u64>,
    }

    /// What is known about one instance of a backend server.
    pub struct Record {
        /// The instance.
        pub life: Instance,
        /// Name of its service.
        pub service: String,
        /// The address on which it listens.
        pub addr: SocketAddr,
        /// Availability zone.
        pub zone: String,
        /// Requests that it serves at once.
        pub slots: u32,
        /// The phase that it reports.
        pub phase: Phase,
        /// Number of the heartbeat within this instance, so that a late one is recognized.
        pub seq: u64,
    }
}

/// A heartbeat of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// What it reports.
    pub record: Record,
    /// How long it will be cold, and so take few requests. Zero: it is warm.
    pub cold: Duration,
}

impl From<Record> for Heartbeat {
    /// A heartbeat of a warm server.
    fn from(record: Record) -> Self {
        let cold = Duration::ZERO;
        Self { record, cold }
    }
}

impl Instance {
    /// The instance of `id` that started at `born`.
    pub fn new(id: impl Into<String>, born: Option<u64>) -> Self {
        let id = id.into();
        Self { id, born }
    }

    /// Whether an instance of the same id with this start may be this one.
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
    /// A stopped instance of which nothing else is known.
    fn gone(instance: Instance) -> Self {
        Self {
            life: instance,
            service: String::new(),
            addr: SocketAddr::from(([0, 0, 0, 0], 0)),
            zone: String::new(),
            slots: 0,
            phase: Phase::Gone,
            seq: 0,
        }
    }

    /// Whether it only tells that some instance of its id has stopped.
    fn is_bare(&self) -> bool {
        self.phase == Phase::Gone && self.service.is_empty() && self.life.born.is_none()
    }
}

/// The effect of a record on the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    /// The instance was not known; it replaces an earlier one of its id.
    New,
    /// The phase of a known instance has changed.
    Changed,
    /// Nothing has changed.
    Same,
    /// The record is late, or of an instance that was replaced.
    Stale,
}

/// Why a record is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The configuration has no such service.
    UnknownService,
    /// It has no start time, but the known instance of its id has one.
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

/// Time after its last heartbeat until a backend server is forgotten.
pub const FORGET_AFTER: Duration = Duration::from_secs(60);

/// How long it is remembered that an instance said in an answer that it leaves: longer than any
/// heartbeat of it may be late.
const LEAVING_KEPT: Duration = Duration::from_secs(600);

/// How long an instance must be known before a record without a start time can end it. This is
/// longer than such records are passed on, so that one about the previous instance does not end the
/// next.
const SETTLED_AFTER: Duration = Duration::from_secs(4);

#[derive(Clone, Debug)]
struct Known {
    record: Record,
    /// See [`load::server_key`]. Stored, since the cost of hashing it on each use grows with the
    /// fleet.
    key: u64,
    /// When this instance became known.
    since: Duration,
    /// When a new heartbeat was last received, by this process or another.
    seen: Duration,
    /// When this process itself last received one.
    received: Option<Duration>,
    /// Another instance took its address.
    displaced: bool,
    /// Heartbeats since it was displaced. A delayed heartbeat comes alone; a running server sends
    /// more.
    heartbeats: u32,
}

impl Known {
    fn new(now: Duration, record: Record) -> Self {
        Self {
            key: load::server_key(&record.life),
            record,
            since: now,
            seen: now,
            received: None,
            displaced: false,
            heartbeats: 0,
        }
    }

    /// Whether it accepts requests, by its own word.
    fn is_open(&self) -> bool {
        self.record.phase == Phase::Ready && !self.displaced
    }
}

/// A backend server that accepts requests.
#[derive(Clone, Copy, Debug)]
pub struct Ready<'a> {
    /// Its record.
    pub record: &'a Record,
    /// See [`load::server_key`].
    pub key: u64,
    /// Time since its last heartbeat.
    pub age: Duration,
}

/// All known backend servers.
#[derive(Debug, Default)]
pub struct Register {
    /// The latest instance of each id.
    by_id: HashMap<String, Known>,
    /// Ids by address. Invariant: each id is in `by_id`.
    holders: HashMap<SocketAddr, String>,
    /// Ids by the keys of their latest instances. Invariant: one for each id in `by_id`.
    by_key: HashMap<u64, String>,
    /// Instances that said in an answer that they leave, and when. They accept no requests, whatever a
    /// record says, also if they are forgotten and become known again.
    leaving: HashMap<Instance, Duration>,
    /// Zones whose servers get no new requests.
    evacuated: BTreeSet<String>,
}

impl Register {
    /// Whether to accept a record. `is_configured`: the configuration has its service, or is not
    /// loaded yet. A server that is known already is accepted anyway, so that it can leave after its
    /// service was removed.
    pub fn check(&self, record: &Record, is_configured: bool) -> Result<(), Rejection> {
        if record.phase == Phase::Gone {
            return Ok(());
        }
        let Some(latest) = self.latest(&record.life.id) else {
            return if is_configured {
                Ok(())
            } else {
                Err(Rejection::UnknownService)
            };
        };
        if record.service != latest.service && !is_configured {
            return Err(Rejection::UnknownService);
        }
        if record.life.born.is_none() && latest.life.born.is_some() {
            return Err(Rejection::MissingStart);
        }
        Ok(())
    }

    /// Adds a record. `direct`: this process received the heartbeat itself.
    pub fn merge(&mut self, now: Duration, mut record: Record, direct: bool) -> Update {
        if self.leaving.contains_key(&record.life) {
            record.phase = record.phase.max(Phase::Draining);
        }
        let id = &record.life.id;
        let update = match self.by_id.get_mut(id) {
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
            if direct && update != Update::Stale {
                known.received = Some(now);
            }
            if known.displaced && known.heartbeats >= 2 && known.record.phase == Phase::Ready {
                self.restore(id);
                return Update::Changed;
            }
        }
        update
    }

    fn add(&mut self, now: Duration, record: Record) -> Update {
        let (id, addr) = (record.life.id.clone(), record.addr);
        let is_running = record.phase != Phase::Gone;
        let known = Known::new(now, record);
        let key = known.key;
        let former = self.by_id.insert(id.clone(), known);
        if let Some(former) = former {
            self.by_key.remove(&former.key);
            let former_addr = former.record.addr;
            self.holders
                .retain(|addr, holder| *addr != former_addr || *holder != id);
        }
        self.by_key.insert(key, id.clone());
        if is_running {
            self.hold(addr, id);
        }
        Update::New
    }

    /// Makes `id` the holder of an address, and marks the former holder as displaced.
    fn hold(&mut self, addr: SocketAddr, id: String) {
        let former = self.holders.insert(addr, id.clone());
        if let Some(former) = former.filter(|former| *former != id)
            && let Some(former) = self.by_id.get_mut(&former)
        {
            former.displaced = true;
            former.heartbeats = 0;
        }
    }

    /// Gives the address back to a displaced instance that still runs.
    fn restore(&mut self, id: &str) {
        let Some(known) = self.by_id.get_mut(id) else {
            return;
        };
        known.displaced = false;
        known.heartbeats = 0;
        let addr = known.record.addr;
        self.hold(addr, id.to_owned());
    }

    /// Marks an instance as stopped. An unknown instance is stored as stopped, so that a late
    /// heartbeat does not bring it back. Without a start time, the known instance of the id is
    /// meant. Returns its record, or `None` if a later instance is known.
    pub fn mark_gone(&mut self, now: Duration, instance: Instance) -> Option<Record> {
        let born = self
            .by_id
            .get(&instance.id)
            .map(|known| known.record.life.born);
        if instance.born.is_some() && born.is_some_and(|born| born > instance.born) {
            return None;
        }
        if born.is_none_or(|born| born < instance.born) {
            self.add(now, Record::gone(instance.clone()));
        }
        let known = self.by_id.get_mut(&instance.id)?;
        known.record.phase = Phase::Gone;
        known.record.seq += 1;
        known.seen = now;
        known.received = Some(now);
        Some(known.record.clone())
    }

    /// Notes that an instance said in an answer that it leaves. Returns its record if that is news.
    pub fn mark_leaving(&mut self, now: Duration, instance: &Instance) -> Option<Record> {
        self.leaving.insert(instance.clone(), now);
        let known = self.by_id.get_mut(&instance.id);
        let known = known.filter(|known| known.record.life == *instance)?;
        if known.record.phase != Phase::Ready {
            return None;
        }
        known.record.phase = Phase::Draining;
        known.received = Some(now);
        Some(known.record.clone())
    }

    /// Notes that another instance answered at the address of this one.
    pub fn mark_displaced(&mut self, instance: &Instance) {
        let known = self.by_id.get_mut(&instance.id);
        if let Some(known) = known.filter(|known| known.record.life == *instance) {
            known.displaced = true;
            known.heartbeats = 0;
        }
    }

    /// The record of an instance.
    pub fn get(&self, instance: &Instance) -> Option<&Record> {
        let record = self.latest(&instance.id)?;
        (record.life == *instance).then_some(record)
    }

    /// The record of an id's latest instance.
    pub fn latest(&self, id: &str) -> Option<&Record> {
        self.by_id.get(id).map(|known| &known.record)
    }

    /// The instance of a key, see [`load::server_key`].
    pub fn instance(&self, key: u64) -> Option<&Instance> {
        let id = self.by_key.get(&key)?;
        Some(&self.latest(id)?.life)
    }

    /// Whether a key belongs to a known instance.
    pub fn contains_key(&self, key: u64) -> bool {
        self.by_key.contains_key(&key)
    }

    /// The record of the server that holds an address.
    pub fn at(&self, addr: SocketAddr) -> Option<&Record> {
        self.latest(self.holders.get(&addr)?)
    }

    /// Sets the evacuated zones: their servers are not ready until they are restored.
    pub fn set_evacuated(&mut self, zones: BTreeSet<String>) {
        self.evacuated = zones;
    }

    /// The evacuated zones.
    pub fn evacuated(&self) -> &BTreeSet<String> {
        &self.evacuated
    }

    /// Whether a service has servers that accept requests, in evacuated zones or not.
    pub fn has_open(&self, service: &str) -> bool {
        self.open(service).next().is_some()
    }

    /// Backend servers of a service that accept requests, with the time since their last
    /// heartbeat.
    pub fn ready<'a>(
        &'a self,
        now: Duration,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a Record, Duration)> {
        let ready = self.ready_with_keys(now, service);
        ready.map(|server| (server.record, server.age))
    }

    /// The same, with their keys.
    pub fn ready_with_keys<'a>(
        &'a self,
        now: Duration,
        service: &'a str,
    ) -> impl Iterator<Item = Ready<'a>> {
        let known = self
            .open(service)
            .filter(|known| !self.evacuated.contains(&known.record.zone));
        known.map(move |known| Ready {
            record: &known.record,
            key: known.key,
            age: now.saturating_sub(known.seen),
        })
    }

    /// Servers of a service that accept requests, in evacuated zones too.
    fn open<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Known> {
        self.by_id
            .values()
            .filter(move |known| known.record.service == service && known.is_open())
    }

    /// Whether an instance accepts requests, as far as known.
    pub fn is_ready(&self, instance: &Instance) -> bool {
        let known = self.by_id.get(&instance.id);
        let known = known.filter(|known| known.record.life == *instance);
        known.is_some_and(|known| known.is_open() && !self.evacuated.contains(&known.record.zone))
    }

    /// Records that this process received itself within `span`, to be passed on.
    pub fn recent(&self, now: Duration, span: Duration) -> Vec<Record> {
        let is_recent = |known: &&Known| known.received.is_some_and(|at| now < at + span);
        let known = self.by_id.values().filter(is_recent);
        known.map(|known| known.record.clone()).collect()
    }

    /// The records of all known instances.
    pub fn all(&self) -> impl Iterator<Item = &Record> {
        self.by_id.values().map(|known| &known.record)
    }

    /// Forgets servers without a heartbeat for [`FORGET_AFTER`].
    pub fn prune(&mut self, now: Duration) {
        self.by_id
            .retain(|_, known| now < known.seen + FORGET_AFTER);
        self.leaving.retain(|_, at| now < *at + LEAVING_KEPT);
        let by_id = &self.by_id;
        self.holders.retain(|_, id| by_id.contains_key(id));
        self.by_key.retain(|_, id| by_id.contains_key(id));
    }
}

/// Handles a record of an earlier instance. A record without a start time ends the known instance,
/// unless it may still be about the previous one.
fn end_settled(now: Duration, known: &mut Known, record: &Record) -> Update {
    let ends = record.is_bare() && now >= known.since + SETTLED_AFTER;
    if !ends || known.record.phase == Phase::Gone {
        return Update::Stale;
    }
    known.record.phase = Phase::Gone;
    known.seen = now;
    Update::Changed
}

/// Handles a record of the known instance.
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
    known.heartbeats += u32::from(is_later && known.displaced);
    known.record.seq = known.record.seq.max(record.seq);
    known.record.phase = phase;
    if changed {
        Update::Changed
    } else {
        Update::Same
    }
}
