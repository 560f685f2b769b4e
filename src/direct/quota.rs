//! Rate limits of backend servers for the requests of all entries together: those that overloaded
//! servers announce, and those of servers that are cold after a start.
//!
//! A limit bounds a sum over entries, so a single entry has to account for it. For each service one
//! entry, the primary grantor, grants the requests that the others send to servers with a limit, and
//! spaces them evenly. Its deputies grant while it does not answer, each at half the rate of the one
//! before it. So however the entries are cut off from each other, as long as they know the same
//! entries, all of them together stay below twice the limit.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use super::load;

key! {
    /// Requests per 1,000 seconds.
    pub struct Rate(pub u64);
}

impl Rate {
    /// The rate of `per_second` requests. `None` if it is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        let is_number = per_second.is_finite() && per_second >= 0.0;
        is_number.then_some(Self((per_second * 1e3) as u64))
    }

    /// The rate at which requests are granted to a cold server that is meant to take this rate and
    /// survives `overshoot` times it. Entries that are cut off from each other grant up to twice the
    /// result together, see [`Grantor`].
    #[must_use]
    pub fn while_cold(self, overshoot: f64) -> Self {
        let share = (overshoot / 2.0).min(1.0);
        Self((self.0 as f64 * share) as u64)
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1e3
    }
}

/// What a response says about its server's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The server has this limit.
    Limit(Rate),
    /// No limit is mentioned.
    Absent,
    /// The value is not a valid limit.
    Invalid,
}

/// What a response answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A caller's request that ran.
    Run,
    /// A request that did not run, a probe or an order.
    Other,
}

data! {
    /// What processes report to each other about a server's limit.
    #[derive(Copy)]
    pub struct Report {
        /// The server, see [`super::load::server_key`].
        pub server: u64,
        /// How often the limit has changed, as far as known: the report with more changes wins.
        pub change: u32,
        /// The limit. `None`: the server no longer announces one.
        pub limit: Option<Rate>,
    }
}

/// The role in which an entry grants requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grantor {
    /// The entry that grants normally.
    Primary,
    /// An entry that grants while this many entries, at least 1, do not answer.
    Deputy(u32),
}

/// Position of an entry that restarted and knows no other one. Others may grant without its
/// knowledge.
const ISOLATED_POSITION: u32 = 4;

/// Deputies from this position on grant at the same rate.
const MAX_POSITION: u32 = 10;

impl Grantor {
    /// Role of the entry `me` in the order of [`grantors`]. `isolated`: it has restarted and knows no
    /// other entry.
    pub fn of(me: SocketAddr, order: &[SocketAddr], isolated: bool) -> Self {
        let position = order.iter().position(|entry| *entry == me);
        let position = position.map_or(MAX_POSITION, |at| at as u32);
        match position {
            0 if isolated => Self::Deputy(ISOLATED_POSITION),
            0 => Self::Primary,
            position => Self::Deputy(position),
        }
    }

    /// Factor by which the time between two grants is longer than the limit requires.
    fn stretch(self) -> u32 {
        match self {
            Self::Primary => 1,
            Self::Deputy(position) => 1 << position.min(MAX_POSITION),
        }
    }
}

/// Permission to send one request to a server after a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The server, see [`super::load::server_key`].
    pub server: u64,
    /// Time until the request may be sent.
    pub wait: Duration,
}

/// Longest time between two grants. A server whose limit is 0 still gets a request now and then,
/// since only its responses tell that the limit has changed.
const MAX_GAP: Duration = Duration::from_secs(10);

/// How much earlier than evenly spaced a grant may be used, so that requests that arrive at random
/// use up the limit; at most one request is early.
const MAX_EARLY: Duration = Duration::from_millis(250);

/// Time after which a limit that was not confirmed may have ended.
const STALE_AFTER: Duration = Duration::from_secs(6);

/// Longest retry-after time that callers get.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(6);

/// How long a server that has become warm is remembered, so that a repeated datagram does not make it
/// cold again.
const COLD_KEPT_FOR: Duration = Duration::from_secs(2);

/// Rate assumed for a cold server as long as the configuration is not known.
pub const UNKNOWN_COLD_RATE: Rate = Rate(1_000);

/// Time after which to retry if the limit gives no better estimate.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// What is known about one server's limit.
#[derive(Debug)]
struct State {
    change: u32,
    limit: Option<Rate>,
    /// When the limit was last announced, lifted or reported.
    updated_at: Duration,
    /// When a response to this entry last announced or lifted it.
    observed_at: Option<Duration>,
    /// When the next grant is due, if evenly spaced.
    next_at: Duration,
    /// When the limit last changed.
    began: Duration,
    /// Whether and how the server is cold.
    cold: Option<Cold>,
}

/// A server that has started, and takes few requests until it is warm.
#[derive(Clone, Copy, Debug)]
struct Cold {
    until: Duration,
    rate: Rate,
    /// Number of the heartbeat that said so.
    seq: u64,
}

impl State {
    fn new(now: Duration) -> Self {
        Self {
            change: 0,
            limit: None,
            updated_at: now,
            observed_at: None,
            next_at: now,
            began: now,
            cold: None,
        }
    }

    /// The rate that applies: the announced limit or that of a cold server, whichever is lower.
    fn rate(&self, now: Duration) -> Option<Rate> {
        let cold = self.cold.filter(|cold| now < cold.until);
        let cold = cold.map(|cold| cold.rate);
        self.limit.into_iter().chain(cold).min()
    }
}

/// The known limits, and the requests granted by this entry.
#[derive(Debug, Default)]
pub struct Quotas {
    by_server: HashMap<u64, State>,
    /// By service: the earliest time for the next caller's retry.
    next_retry: HashMap<String, Duration>,
}

impl Quotas {
    /// Takes a notice from the response to something sent at `sent`. Returns a report for the other
    /// processes if the limit has changed.
    ///
    /// Responses overtake each other, and not all of them carry the limit. So a response without it
    /// lifts the limit only if its request ran and was sent after the limit was last updated.
    pub fn observe(
        &mut self,
        now: Duration,
        server: u64,
        sent: Duration,
        notice: Notice,
        source: Source,
    ) -> Option<Report> {
        let state = self.by_server.get(&server);
        let before = state.and_then(|state| state.limit);
        let limit = match notice {
            Notice::Limit(rate) => Some(rate),
            Notice::Absent
                if source == Source::Run && state.is_some_and(|state| sent > state.updated_at) =>
            {
                None
            }
            Notice::Absent | Notice::Invalid => return None,
        };
        if limit.is_none() && before.is_none() {
            return None;
        }
        let change = state.map_or(0, |state| state.change);
        let is_new = limit != before;
        let change = if is_new { change + 1 } else { change };
        let report = Report {
            server,
            change,
            limit,
        };
        self.set(now, &report);
        let state = self.by_server.get_mut(&server)?;
        state.observed_at = Some(now);
        is_new.then_some(report)
    }

    /// Takes another entry's report. Returns whether the known limit has changed.
    pub fn merge(&mut self, now: Duration, report: &Report) -> bool {
        let state = self.by_server.get(&report.server);
        let before = state.map(|state| (state.change, state.limit));
        let is_later = before.is_none_or(|(change, limit)| {
            // Two entries that saw different changes at the same time: the lower limit wins.
            report.change > change || (report.change == change && is_lower(report.limit, limit))
        });
        let is_same = before == Some((report.change, report.limit));
        if is_later || is_same {
            self.set(now, report);
        }
        is_later && before.and_then(|(_, limit)| limit) != report.limit
    }

    fn set(&mut self, now: Duration, report: &Report) {
        let gap = report.limit.map_or(Duration::ZERO, gap);
        let state = self
            .by_server
            .entry(report.server)
            .or_insert_with(|| State::new(now));
        if state.limit != report.limit {
            // Requests sent before the change are still on their way.
            state.next_at = now + gap;
            state.began = now;
        }
        state.change = report.change;
        state.limit = report.limit;
        state.updated_at = now;
    }

    /// Notes how long a server will be cold, and that it takes at most `rate` until then. Zero: it is
    /// warm. `seq`: number of the heartbeat that says so; one that is not newer than the last, such as
    /// a repeated datagram, changes nothing. Returns whether the server was warm before and is cold now.
    pub fn set_cold(
        &mut self,
        now: Duration,
        server: u64,
        seq: u64,
        remaining: Duration,
        rate: Rate,
    ) -> bool {
        let is_known = self.by_server.contains_key(&server);
        if !is_known && remaining.is_zero() {
            return false;
        }
        let state = self
            .by_server
            .entry(server)
            .or_insert_with(|| State::new(now));
        if state.cold.is_some_and(|cold| seq <= cold.seq) {
            return false;
        }
        let was_cold = state.cold.is_some_and(|cold| now < cold.until);
        let until = now + remaining;
        state.cold = Some(Cold { until, rate, seq });
        let cooled = !was_cold && !remaining.is_zero();
        if cooled {
            // Requests sent while it was taken as warm are still on their way.
            state.began = now;
            state.next_at = state.next_at.max(now + gap(rate));
        }
        cooled
    }

    /// How long a server will be cold. Zero: it is warm, as far as known.
    pub fn cold_remaining(&self, now: Duration, server: u64) -> Duration {
        let cold = self.by_server.get(&server).and_then(|state| state.cold);
        cold.map_or(Duration::ZERO, |cold| cold.until.saturating_sub(now))
    }

    /// Whether no server has a limit.
    pub fn is_empty(&self, now: Duration) -> bool {
        self.by_server
            .values()
            .all(|state| state.rate(now).is_none())
    }

    /// A server's limit, if it has one.
    pub fn limit(&self, now: Duration, server: u64) -> Option<Rate> {
        self.by_server.get(&server)?.rate(now)
    }

    /// Whether a request to a server with a limit would be granted without a wait.
    pub fn is_free(&self, now: Duration, server: u64) -> bool {
        self.wait(now, server, Grantor::Primary)
            .is_some_and(|wait| wait.is_zero())
    }

    /// Whether a limit was not confirmed for so long that it may have ended.
    pub fn is_stale(&self, now: Duration, server: u64) -> bool {
        let state = self.by_server.get(&server);
        state.is_some_and(|state| state.limit.is_some() && now >= state.updated_at + STALE_AFTER)
    }

    /// A report on a server, for other processes.
    pub fn report(&self, server: u64) -> Option<Report> {
        let state = self.by_server.get(&server)?;
        Some(Report {
            server,
            change: state.change,
            limit: state.limit,
        })
    }

    /// Reports on servers whose limits this entry observed within `span`, to be sent again.
    pub fn recent(&self, now: Duration, span: Duration) -> Vec<Report> {
        let states = self.by_server.iter();
        let recent =
            states.filter(|(_, state)| state.observed_at.is_some_and(|at| now < at + span));
        recent
            .filter_map(|(server, _)| self.report(*server))
            .collect()
    }

    /// Reports on all servers that announced a limit, for a process that has just started.
    pub fn reports(&self) -> Vec<Report> {
        let announced = self.by_server.iter().filter(|(_, state)| state.change > 0);
        announced
            .filter_map(|(server, _)| self.report(*server))
            .collect()
    }

    /// Grants one request to the one of `servers` that may be sent it soonest. If that takes longer
    /// than `max_wait`, returns the time after which the caller is to retry; these times are spread
    /// over the callers of `service`.
    pub fn grant(
        &mut self,
        now: Duration,
        service: &str,
        servers: &[u64],
        max_wait: Duration,
        grantor: Grantor,
    ) -> Result<Grant, Duration> {
        let grants = servers.iter().filter_map(|server| {
            let wait = self.wait(now, *server, grantor)?;
            let server = *server;
            Some(Grant { server, wait })
        });
        let Some(grant) = grants.min_by_key(|grant| grant.wait) else {
            return Err(DEFAULT_RETRY_AFTER);
        };
        if grant.wait > max_wait {
            return Err(self.schedule_retry(now, service, servers, grant.wait));
        }
        self.take(now, grant, grantor);
        Ok(grant)
    }

    /// Accounts for a request that was sent to a server without a grant.
    pub fn charge(&mut self, now: Duration, server: u64) {
        let wait = Duration::ZERO;
        self.take(now, Grant { server, wait }, Grantor::Primary);
    }

    /// Time until a request to `server` would be granted. `None`: the server has no limit.
    fn wait(&self, now: Duration, server: u64, grantor: Grantor) -> Option<Duration> {
        let state = self.by_server.get(&server)?;
        let gap = gap(state.rate(now)?);
        let at = match grantor {
            Grantor::Primary => state.next_at.saturating_sub(gap.min(MAX_EARLY)),
            // Each of many isolated deputies would grant one request as soon as the limit begins.
            Grantor::Deputy(_) => state.next_at.max(state.began + gap * grantor.stretch()),
        };
        Some(at.saturating_sub(now))
    }

    fn take(&mut self, now: Duration, grant: Grant, grantor: Grantor) {
        let Some(state) = self.by_server.get_mut(&grant.server) else {
            return;
        };
        if let Some(rate) = state.rate(now) {
            let gap = gap(rate) * grantor.stretch();
            state.next_at = state.next_at.max(now + grant.wait) + gap;
        }
    }

    /// Time after which the next caller of a service is to retry: callers are spread over the time
    /// that the servers need to serve them.
    fn schedule_retry(
        &mut self,
        now: Duration,
        service: &str,
        servers: &[u64],
        least: Duration,
    ) -> Duration {
        let rates = servers.iter().filter_map(|server| self.limit(now, *server));
        let total: u64 = rates.map(|rate| rate.0).sum();
        let earliest = now + least;
        let next = self.next_retry.get(service).copied().unwrap_or_default();
        let at = next.max(earliest).min(now + MAX_RETRY_AFTER.max(least));
        self.next_retry
            .insert(service.to_owned(), at + gap(Rate(total)));
        at.saturating_sub(now)
    }

    /// Forgets servers that are not in `known` or have no limit any more, and retry times that have
    /// passed.
    pub fn retain(&mut self, now: Duration, known: impl Fn(u64) -> bool) {
        self.by_server.retain(|server, state| {
            let is_cold = state
                .cold
                .is_some_and(|cold| now < cold.until + COLD_KEPT_FOR);
            known(*server) && (state.change > 0 || is_cold)
        });
        self.next_retry.retain(|_, at| now < *at);
    }
}

/// Time between two requests at this rate.
fn gap(rate: Rate) -> Duration {
    let per_second = rate.per_second();
    if per_second * MAX_GAP.as_secs_f64() <= 1.0 {
        return MAX_GAP;
    }
    Duration::from_secs_f64(1.0 / per_second)
}

/// Whether a limit allows less than another. No limit allows most.
fn is_lower(limit: Option<Rate>, other: Option<Rate>) -> bool {
    match (limit, other) {
        (Some(limit), Some(other)) => limit < other,
        (limit, other) => limit.is_some() && other.is_none(),
    }
}

/// Sorts entries into the order in which they grant for a service: the first is the primary, the
/// next one its deputy. All processes compute the same order; it differs between services.
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
