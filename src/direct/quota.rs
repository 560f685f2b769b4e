//! Limits that backend servers in need name on what they take from all entries together.
//!
//! A limit bounds a sum over entries, so it has one account: for each service one entry grants what
//! the others send to its servers with a limit, and spaces it evenly. Whoever grants in its place
//! while it does not answer grants half, so that both together stay within one and a half times what
//! a server takes.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use super::load;

key! {
    /// Requests in 1,000 seconds.
    pub struct Rate(pub u64);
}

impl Rate {
    /// That of `per_second` requests, if it is a number of them.
    pub fn new(per_second: f64) -> Option<Self> {
        let is_number = per_second.is_finite() && per_second >= 0.0;
        is_number.then_some(Self((per_second * 1e3) as u64))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1e3
    }
}

/// What an answer says of its server's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// It names this one.
    Limit(Rate),
    /// It names none.
    Absent,
    /// It names something that is no limit.
    Invalid,
}

/// What an answer answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A caller's request that ran.
    Run,
    /// A request that did not run, a question or an order.
    Other,
}

data! {
    /// What processes tell each other of a server's limit.
    #[derive(Copy)]
    pub struct Report {
        /// The server, see [`super::load::server_key`].
        pub server: u64,
        /// Changes of the limit so far, as far as known: of two words the later change holds.
        pub change: u32,
        /// The limit. `None`: it names none any more.
        pub limit: Option<Rate>,
    }
}

/// Whose account an entry keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grantor {
    /// The one that counts.
    Primary,
    /// That of an entry which grants while the first does not answer.
    Deputy,
}

impl Grantor {
    /// How much longer than a limit says the time between two grants is.
    fn stretch(self) -> u32 {
        match self {
            Self::Primary => 1,
            Self::Deputy => 2,
        }
    }
}

/// A grant: one request to a server, after a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The server.
    pub server: u64,
    /// Time until it may be sent.
    pub wait: Duration,
}

/// Longest time between two grants: a server that takes nothing is still asked now and then, since
/// only its answers tell that it takes more.
const LONGEST_GAP: Duration = Duration::from_secs(10);

/// How much earlier than evenly spaced a grant may be used, so that requests which come at random
/// use up what a server takes; one request early at the most.
const EARLY: Duration = Duration::from_millis(250);

/// Time after which a limit that nobody told of again may have ended.
const STALE: Duration = Duration::from_secs(6);

/// Farthest time for which callers are told to come back.
const MOST_PROMISED: Duration = Duration::from_secs(6);

/// Time to come back where nothing better is known.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct Known {
    change: u32,
    limit: Option<Rate>,
    /// When the limit was last named, lifted or told of.
    at: Duration,
    /// When an answer to this entry last named or lifted it.
    heard: Option<Duration>,
    /// When the next grant is due, if evenly spaced.
    next: Duration,
}

/// The limits known, and what was granted here.
#[derive(Debug, Default)]
pub struct Quotas {
    by_server: HashMap<u64, Known>,
    /// Until when callers of a service were told to come back.
    promised: HashMap<String, Duration>,
}

impl Quotas {
    /// Takes what an answer says to something sent at `sent`: the word to tell others, if it changes
    /// what is known.
    ///
    /// Answers overtake each other, and not each need bear the limit. So one without it lifts it only
    /// if it answers a request that ran, and that was sent after the limit was last named.
    pub fn observe(
        &mut self,
        now: Duration,
        server: u64,
        sent: Duration,
        named: Notice,
        source: Source,
    ) -> Option<Report> {
        let known = self.by_server.get(&server);
        let before = known.and_then(|one| one.limit);
        let limit = match named {
            Notice::Limit(rate) => Some(rate),
            Notice::Absent if source == Source::Run && known.is_some_and(|one| sent > one.at) => {
                None
            }
            Notice::Absent | Notice::Invalid => return None,
        };
        if limit.is_none() && before.is_none() {
            return None;
        }
        let change = known.map_or(0, |one| one.change);
        let is_new = limit != before;
        let change = if is_new { change + 1 } else { change };
        let word = Report {
            server,
            change,
            limit,
        };
        self.set(now, &word);
        let known = self.by_server.get_mut(&server)?;
        known.heard = Some(now);
        is_new.then_some(word)
    }

    /// Takes another entry's word. Whether it changes what is known.
    pub fn merge(&mut self, now: Duration, word: &Report) -> bool {
        let known = self.by_server.get(&word.server);
        let before = known.map(|one| (one.change, one.limit));
        let is_later = before.is_none_or(|(change, limit)| {
            // Two entries that saw different changes at once: the lower limit holds.
            word.change > change || (word.change == change && is_lower(word.limit, limit))
        });
        let is_same = before == Some((word.change, word.limit));
        if is_later || is_same {
            self.set(now, word);
        }
        is_later && before.and_then(|(_, limit)| limit) != word.limit
    }

    fn set(&mut self, now: Duration, word: &Report) {
        let gap = word.limit.map_or(Duration::ZERO, gap);
        let known = self.by_server.entry(word.server).or_insert(Known {
            change: word.change,
            limit: None,
            at: now,
            heard: None,
            next: now,
        });
        if known.limit != word.limit {
            // Requests from before are on their way.
            known.next = now + gap;
        }
        known.change = word.change;
        known.limit = word.limit;
        known.at = now;
    }

    /// Whether no server names a limit.
    pub fn is_empty(&self) -> bool {
        self.by_server.values().all(|one| one.limit.is_none())
    }

    /// The limit that a server names.
    pub fn limit(&self, server: u64) -> Option<Rate> {
        self.by_server.get(&server).and_then(|one| one.limit)
    }

    /// Whether a server with a limit would be granted a request at once.
    pub fn is_free(&self, now: Duration, server: u64) -> bool {
        self.wait(now, server).is_some_and(|wait| wait.is_zero())
    }

    /// Whether a limit has not been told of for so long that it may have ended.
    pub fn is_stale(&self, now: Duration, server: u64) -> bool {
        let known = self.by_server.get(&server);
        known.is_some_and(|one| one.limit.is_some() && now >= one.at + STALE)
    }

    /// What is known of a server.
    pub fn report(&self, server: u64) -> Option<Report> {
        let known = self.by_server.get(&server)?;
        Some(Report {
            server,
            change: known.change,
            limit: known.limit,
        })
    }

    /// What was heard here within `span`, to be told again.
    pub fn recent(&self, now: Duration, span: Duration) -> Vec<Report> {
        let known = self.by_server.iter();
        let heard = known.filter(|(_, one)| one.heard.is_some_and(|at| now < at + span));
        heard
            .filter_map(|(server, _)| self.report(*server))
            .collect()
    }

    /// All that is known, for whoever knows nothing yet.
    pub fn reports(&self) -> Vec<Report> {
        let servers = self.by_server.keys();
        servers.filter_map(|server| self.report(*server)).collect()
    }

    /// Grants one request to one of `servers` of `service`, to that which may be sent one soonest.
    /// Otherwise, where that takes longer than `most`: when its caller is to come back, each at
    /// another time.
    pub fn grant(
        &mut self,
        now: Duration,
        service: &str,
        servers: &[u64],
        most: Duration,
        account: Grantor,
    ) -> Result<Grant, Duration> {
        let slots = servers.iter().filter_map(|server| {
            let wait = self.wait(now, *server)?;
            let server = *server;
            Some(Grant { server, wait })
        });
        let Some(slot) = slots.min_by_key(|one| one.wait) else {
            return Err(DEFAULT_RETRY_AFTER);
        };
        if slot.wait > most {
            return Err(self.promise(now, service, servers, slot.wait));
        }
        self.take(now, slot, account);
        Ok(slot)
    }

    /// Takes note of something that had to be sent to a server without a grant.
    pub fn charge(&mut self, now: Duration, server: u64) {
        let wait = Duration::ZERO;
        self.take(now, Grant { server, wait }, Grantor::Primary);
    }

    fn wait(&self, now: Duration, server: u64) -> Option<Duration> {
        let known = self.by_server.get(&server)?;
        let early = gap(known.limit?).min(EARLY);
        Some(known.next.saturating_sub(now + early))
    }

    fn take(&mut self, now: Duration, slot: Grant, account: Grantor) {
        let Some(known) = self.by_server.get_mut(&slot.server) else {
            return;
        };
        if let Some(rate) = known.limit {
            let gap = gap(rate) * account.stretch();
            known.next = known.next.max(now + slot.wait) + gap;
        }
    }

    /// When the next caller of a service is to come back: callers are spread over the time in which
    /// their servers can take them.
    fn promise(
        &mut self,
        now: Duration,
        service: &str,
        servers: &[u64],
        least: Duration,
    ) -> Duration {
        let rates = servers.iter().filter_map(|server| self.limit(*server));
        let together: u64 = rates.map(|rate| rate.0).sum();
        let soonest = now + least;
        let before = self.promised.get(service).copied().unwrap_or_default();
        let at = before.max(soonest).min(now + MOST_PROMISED.max(least));
        self.promised
            .insert(service.to_owned(), at + gap(Rate(together)));
        at.saturating_sub(now)
    }

    /// Forgets servers that are not in `known`, and promises that are over.
    pub fn retain(&mut self, now: Duration, known: impl Fn(u64) -> bool) {
        self.by_server.retain(|server, _| known(*server));
        self.promised.retain(|_, until| now < *until);
    }
}

/// Time between two requests to a server that takes so many.
fn gap(rate: Rate) -> Duration {
    let per_second = rate.per_second();
    if per_second * LONGEST_GAP.as_secs_f64() <= 1.0 {
        return LONGEST_GAP;
    }
    Duration::from_secs_f64(1.0 / per_second)
}

/// Whether a limit allows less than another; none allows most.
fn is_lower(one: Option<Rate>, other: Option<Rate>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one < other,
        (one, other) => one.is_some() && other.is_none(),
    }
}

/// Brings entries into the order in which they grant for a service: the first does, the next is its
/// deputy. The same everywhere, and another one for each service.
pub fn grantors(service: &str, mut entries: Vec<SocketAddr>) -> Vec<SocketAddr> {
    let service = load::key(service);
    entries.sort_by_cached_key(|entry| (rank(service, entry), *entry));
    entries
}

fn rank(service: u64, entry: &SocketAddr) -> u64 {
    let ip = match entry.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => ip.to_bits() as u64,
    };
    let mixed = (service ^ ip).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(entry.port());
    (mixed ^ (mixed >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
