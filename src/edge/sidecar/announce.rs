//! Announces the backend server to all entries: periodically, and without delay after an important
//! change.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::time;

use super::super::node;
use super::core;
use super::engine;
use crate::wire::id;
use crate::wire::member;
use crate::wire::rpc;

/// Interval of announcements while the load changes, and of reads of the engine's prefix cache.
const PERIOD: Duration = Duration::from_millis(250);

/// Interval of announcements without a change. Two may be lost before the lease expires.
const RENEWAL_PERIOD: Duration = Duration::from_millis(1_000);

/// How long an announcement is valid at an entry.
const LEASE: Duration = Duration::from_millis(3_000);

/// Timeout of an announcement. Shorter than the lease, so that there is time for another try.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Prefix cache reports that are kept for entries that missed some.
const MAX_REPORTS: usize = 256;

struct Announcer {
    node: Arc<node::Node>,
    core: core::Handle,
    configured: Vec<SocketAddr>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    seq: u64,
    /// Entries learned from responses.
    learned: BTreeSet<SocketAddr>,
    /// Entries with an announcement in progress, so that a slow one gets one at a time.
    busy: BTreeSet<SocketAddr>,
    /// The last announcement that each entry accepted, and when it was sent.
    announced: HashMap<SocketAddr, (Duration, Content)>,
    cache: CacheReports,
}

/// The fields of an announcement whose change is announced before the renewal is due.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Content {
    load: member::Load,
    leaving: bool,
    engine: id::Incarnation,
    models: Vec<String>,
    cache: u64,
}

impl Content {
    fn of(announce: &member::Announce) -> Self {
        Self {
            load: announce.load,
            leaving: announce.leaving,
            engine: announce.engine,
            models: announce.models.clone(),
            cache: announce.cache.next,
        }
    }
}

/// Reports of changes in the engine's prefix cache.
#[derive(Default)]
struct CacheReports {
    /// Incarnation of the engine that sent them.
    engine: Option<id::Incarnation>,
    /// Invariant: ascending by number.
    reports: VecDeque<member::Cache>,
    /// Number of the next event that each entry expects.
    cursors: HashMap<SocketAddr, u64>,
}

impl CacheReports {
    /// Drops all reports if they are from another incarnation of the engine.
    fn reset_if_restarted(&mut self, engine: id::Incarnation) {
        if self.engine != Some(engine) {
            *self = Self {
                engine: Some(engine),
                ..Self::default()
            };
        }
    }

    /// Number after the last event received.
    fn next(&self) -> u64 {
        self.reports.back().map_or(0, |report| report.next)
    }

    fn push(&mut self, report: member::Cache) {
        if report.next <= self.next() {
            return;
        }
        self.reports.push_back(report);
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
    }

    /// The next report for an entry. A report never spans a gap in the numbers.
    fn report(&self, entry: SocketAddr) -> member::Cache {
        let cursor = self.cursors.get(&entry).copied().unwrap_or(0);
        let mut out = member::Cache {
            first: cursor,
            next: cursor,
            ..member::Cache::default()
        };
        for report in self.reports.iter().filter(|report| report.next > cursor) {
            let is_first = out.next == cursor && out.held.is_empty() && out.dropped.is_empty();
            if is_first {
                out = report.clone();
            } else if report.first == out.next {
                out.next = report.next;
                // The later report wins: a hash is either held or dropped.
                out.dropped.retain(|hash| !report.held.contains(hash));
                out.held.retain(|hash| !report.dropped.contains(hash));
                out.held.extend_from_slice(&report.held);
                out.dropped.extend_from_slice(&report.dropped);
            } else {
                break;
            }
        }
        out
    }
}

/// Announces until the process ends.
pub async fn run(
    node: Arc<node::Node>,
    core: core::Handle,
    configured: Vec<SocketAddr>,
    key: String,
) {
    let announcer = Arc::new(Announcer {
        node,
        core,
        configured,
        state: Mutex::default(),
    });
    tokio::spawn(read_cache(Arc::clone(&announcer), key));
    loop {
        let entries = announcer.entries();
        announcer
            .lock()
            .announced
            .retain(|entry, _| entries.contains(entry));
        for entry in entries {
            if announcer.is_due(entry) && announcer.lock().busy.insert(entry) {
                tokio::spawn(Arc::clone(&announcer).announce_to(entry));
            }
        }
        tokio::select! {
            () = time::sleep(PERIOD) => {}
            () = announcer.core.announce_requested() => {}
        }
    }
}

impl Announcer {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("announcer lock")
    }

    /// Entries from the settings, from responses and from control.
    fn entries(&self) -> BTreeSet<SocketAddr> {
        let mut entries: BTreeSet<SocketAddr> = self.configured.iter().copied().collect();
        entries.extend(entry_addrs(&self.node.view()));
        entries.extend(&self.lock().learned);
        entries
    }

    /// Whether an announcement to an entry is due: a change, or a renewal of its lease.
    fn is_due(&self, entry: SocketAddr) -> bool {
        let Some(announce) = self.announce(entry) else {
            return false;
        };
        match self.lock().announced.get(&entry) {
            Some((at, content)) => {
                self.node.now() >= *at + RENEWAL_PERIOD || *content != Content::of(&announce)
            }
            None => true,
        }
    }

    /// Announces to one entry. Repeats at once if the leaving flag or the engine's incarnation
    /// changed meanwhile.
    async fn announce_to(self: Arc<Self>, entry: SocketAddr) {
        let mut last = None;
        while let Some(announce) = self.announce(entry) {
            let urgent = (announce.leaving, announce.engine);
            if last == Some(urgent) {
                break;
            }
            last = Some(urgent);
            let next = announce.cache.next;
            let content = Content::of(&announce);
            let now = self.node.now();
            let request = rpc::Ask::Announce(Box::new(announce));
            let response = self.node.link(entry).ask(&request, ANNOUNCE_TIMEOUT).await;
            let Ok(rpc::Answer::View(view)) = response else {
                break;
            };
            self.lock().announced.insert(entry, (now, content));
            self.learn(entry, next, urgent.1, view);
        }
        self.lock().busy.remove(&entry);
    }

    fn learn(&self, entry: SocketAddr, next: u64, engine: id::Incarnation, view: rpc::View) {
        {
            let mut state = self.lock();
            if state.cache.engine == Some(engine) {
                state.cache.cursors.insert(entry, next);
            }
            state.learned = entry_addrs(&view).collect();
        }
        // Entries relay control's view. A process that gets it from control itself keeps that one.
        if self.node.control().is_none() && self.node.entry().is_none() {
            self.node.set_view(view);
        }
    }

    /// The announcement for an entry; `None` if there is no backend server to announce.
    fn announce(&self, entry: SocketAddr) -> Option<member::Announce> {
        let status = self.core.status();
        let announcement = status.announcement.as_ref()?;
        let mut state = self.lock();
        state.seq += 1;
        state.cache.reset_if_restarted(announcement.incarnation);
        let settings = self.node.settings();
        Some(member::Announce {
            server: announcement.server.clone(),
            service: announcement.service.clone(),
            kind: announcement.kind,
            zone: settings.zone.clone(),
            link: settings.link,
            sidecar: self.node.incarnation(),
            engine: announcement.incarnation,
            seq: state.seq,
            models: announcement.models.clone(),
            leaving: status.leaving || status.absent,
            lease_ms: LEASE.as_millis() as u64,
            load: status.load,
            cache: state.cache.report(entry),
        })
    }
}

/// Reads the changes of the engine's prefix cache each [`PERIOD`].
async fn read_cache(announcer: Arc<Announcer>, key: String) {
    let client = engine::client();
    loop {
        time::sleep(PERIOD).await;
        let status = announcer.core.status();
        let Some(announcement) = &status.announcement else {
            continue;
        };
        if announcement.kind != member::Kind::Engine {
            continue;
        }
        let engine = engine::Engine {
            client: client.clone(),
            url: announcement.url.trim_end_matches('/').to_owned(),
            key: key.clone(),
        };
        let after = {
            let mut state = announcer.lock();
            state.cache.reset_if_restarted(announcement.incarnation);
            state.cache.next()
        };
        if let Some(report) = engine.cache(after).await {
            let mut state = announcer.lock();
            if state.cache.engine == Some(announcement.incarnation) {
                state.cache.push(report);
            }
        }
    }
}

fn entry_addrs(view: &rpc::View) -> impl Iterator<Item = SocketAddr> {
    view.peers
        .iter()
        .filter(|peer| peer.role == member::Role::Entry)
        .map(|peer| peer.link)
}
