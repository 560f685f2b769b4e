//! What is held against backend servers and requests: servers that failed lately, and requests
//! under which servers died.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use super::register;
use crate::wire::id;

/// First pause after a server could not be reached.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause. A server that crashed is back after some seconds.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Weight of the newest answer in a server's share of failed ones: about the last eight count.
const NEWEST: f64 = 0.12;

/// Share of failed answers at which a server counts as failing.
const FAILING: f64 = 0.25;

/// Time constant with which failures are forgotten.
const FORGIVEN: Duration = Duration::from_secs(8);

/// Servers that may die under a request. One more is refused to it.
pub const MAX_DEATHS: usize = 2;

/// How long deaths are held against a request.
const REMEMBERED: Duration = Duration::from_secs(60);

/// Requests remembered. Above, the oldest go.
const MOST_SUSPECTS: usize = 4_096;

#[derive(Clone, Debug, Default)]
struct Server {
    /// Failures to reach it in a row.
    missed: u32,
    /// It is not sent anything new before this.
    until: Duration,
    /// Share of failed answers lately.
    failed: f64,
    /// When `failed` was last brought up to date.
    at: Duration,
    /// Factor by which it is slower than its model. 0: not known.
    pace: f64,
}

/// How backend servers did lately, by their life.
#[derive(Debug, Default)]
pub struct Health {
    by_life: HashMap<register::Instance, Server>,
}

impl Health {
    /// It could not be reached, or died.
    pub fn record_unreachable(&mut self, now: Duration, life: &register::Instance) -> Duration {
        let health = self.by_life.entry(life.clone()).or_default();
        health.missed = (health.missed + 1).min(8);
        let pause = FIRST_PAUSE * 2u32.saturating_pow(health.missed - 1);
        health.until = now + pause.min(LONGEST_PAUSE);
        health.until
    }

    /// It answered. `well`: as it should.
    pub fn record_response(&mut self, now: Duration, life: &register::Instance, well: bool) {
        let health = self.by_life.entry(life.clone()).or_default();
        if well {
            health.missed = 0;
            health.until = Duration::ZERO;
        }
        let before = decayed(health, now);
        health.failed = before + NEWEST * (f64::from(u8::from(!well)) - before);
        health.at = now;
    }

    /// Takes what it says of its pace.
    pub fn set_pace(&mut self, life: &register::Instance, pace: f64) {
        self.by_life.entry(life.clone()).or_default().pace = pace;
    }

    /// Factor by which it is slower than its model.
    pub fn pace(&self, life: &register::Instance) -> f64 {
        let pace = self.by_life.get(life).map_or(1.0, |health| health.pace);
        if pace > 0.0 { pace } else { 1.0 }
    }

    /// Whether it is not to be sent anything new now.
    pub fn is_paused(&self, now: Duration, life: &register::Instance) -> bool {
        self.by_life
            .get(life)
            .is_some_and(|health| now < health.until)
    }

    /// Share of failed answers lately; under [`FAILING`] it counts as 0.
    pub fn failure_rate(&self, now: Duration, life: &register::Instance) -> f64 {
        let share = self
            .by_life
            .get(life)
            .map_or(0.0, |health| decayed(health, now));
        if share < FAILING { 0.0 } else { share }
    }

    /// Forgets servers that are not in `known`.
    pub fn retain(&mut self, known: impl Fn(&register::Instance) -> bool) {
        self.by_life.retain(|life, _| known(life));
    }
}

fn decayed(health: &Server, now: Duration) -> f64 {
    let since = now.saturating_sub(health.at).as_secs_f64();
    health.failed * (-since / FORGIVEN.as_secs_f64()).exp()
}

/// Requests under which servers died.
#[derive(Debug, Default)]
pub struct Suspects {
    deaths: HashMap<id::Fingerprint, (HashSet<register::Instance>, Duration)>,
}

impl Suspects {
    /// `server` died while it ran the request. Whether that was not known yet.
    pub fn record_death(
        &mut self,
        now: Duration,
        request: id::Fingerprint,
        server: &register::Instance,
    ) -> bool {
        if self.deaths.len() >= MOST_SUSPECTS {
            self.prune(now);
        }
        let (servers, at) = self.deaths.entry(request).or_default();
        *at = now;
        servers.insert(server.clone())
    }

    /// The request was run to its end: it kills nobody.
    pub fn clear(&mut self, request: &id::Fingerprint) {
        self.deaths.remove(request);
    }

    /// Whether so many servers died under the request that it is not to be run again.
    pub fn is_poison(&self, now: Duration, request: &id::Fingerprint) -> bool {
        let deaths = self.deaths.get(request);
        deaths.is_some_and(|(servers, at)| servers.len() > MAX_DEATHS && now < *at + REMEMBERED)
    }

    fn prune(&mut self, now: Duration) {
        self.deaths.retain(|_, (_, at)| now < *at + REMEMBERED);
        if self.deaths.len() < MOST_SUSPECTS {
            return;
        }
        let mut times: Vec<Duration> = self.deaths.values().map(|(_, at)| *at).collect();
        times.sort_unstable();
        let middle = times[times.len() / 2];
        self.deaths.retain(|_, (_, at)| *at > middle);
    }
}
