//! Times for which backend servers asked this entry to send them nothing.
//!
//! A server that rejects a request may name such a time. It holds for this entry only: the server
//! has asked no other one.

use std::collections::HashMap;
use std::time::Duration;

use super::tally;

/// Longest time that is taken at its word: a wrong value must not exclude a server for good.
pub const MAX_TIME: Duration = Duration::from_secs(60 * 60);

/// What a response says about when its server takes requests again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Notice {
    /// Nothing.
    #[default]
    Absent,
    /// Not a time.
    Invalid,
    /// It wants nothing for this time.
    Pause(Duration),
}

impl Notice {
    /// The notice of a number of seconds. Invalid if it is negative or not finite.
    pub fn new(seconds: f64) -> Self {
        if !seconds.is_finite() || seconds < 0.0 {
            return Self::Invalid;
        }
        let seconds = seconds.min(MAX_TIME.as_secs_f64());
        Self::Pause(Duration::from_secs_f64(seconds))
    }

    /// Combines two notices of one response: the longer time counts.
    #[must_use]
    pub fn or_longer(self, other: Self) -> Self {
        match (self, other) {
            (Self::Pause(one), Self::Pause(other)) => Self::Pause(one.max(other)),
            (pause @ Self::Pause(_), _) | (_, pause @ Self::Pause(_)) => pause,
            (Self::Invalid, _) | (_, Self::Invalid) => Self::Invalid,
            (Self::Absent, Self::Absent) => Self::Absent,
        }
    }
}

/// The effect of a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A pause begins.
    Begun,
    /// The pause in progress ends later.
    Extended,
}

/// Orders on memory that may reach a server in a pause. One of them keeps the memory of a request that
/// runs; a release need not be sent, since memory that is not renewed is free soon.
const MAX_ORDERS: u32 = 1;

/// Part of a pause, and its upper bound, by which an entry lengthens it at random, so that not all
/// entries return at the same time.
const JITTER_PART: f64 = 0.1;
const MAX_JITTER: Duration = Duration::from_millis(300);

/// After a pause a server gets one request, and in each step twice as many as before.
const RECOVERY_STEP: Duration = Duration::from_millis(200);

/// Steps until it gets as many as any other server.
const RECOVERY_STEPS: u32 = 5;

/// Time between two callers of a service that are told to return after a pause, and the latest that
/// they are told after its end.
const RETURN_GAP: Duration = Duration::from_millis(10);
const MAX_RETURN: Duration = Duration::from_secs(2);

/// Something to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A caller's request.
    Request,
    /// A query for the state of the server.
    Probe,
    /// An order that renews the memory of a request that runs.
    Renewal,
    /// Any other order.
    Order,
}

impl Purpose {
    /// As it is counted.
    pub fn kind(self) -> tally::Kind {
        match self {
            Self::Request => tally::Kind::Request,
            Self::Probe => tally::Kind::Probe,
            Self::Renewal | Self::Order => tally::Kind::Order,
        }
    }
}

/// A pause that a server asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pause {
    /// When it began.
    pub began: Duration,
    /// When it ends. Invariant: it only becomes later.
    pub until: Duration,
    /// Sent to the server since it began.
    pub sent: tally::Counts,
    /// Not sent because of it.
    pub held: tally::Counts,
    /// Requests that were placed on the server since it ended.
    placed: u32,
    /// Whether its end was returned by [`Backoffs::take_ended`].
    is_taken: bool,
}

impl Pause {
    /// When the server takes one more request.
    fn opens_at(&self, now: Duration) -> Duration {
        if now < self.until {
            return self.until;
        }
        let open = |step: u32| self.placed < 1 << step;
        let steps = 0..RECOVERY_STEPS;
        let first_open = steps.into_iter().find(|step| open(*step));
        self.until + RECOVERY_STEP * first_open.unwrap_or(RECOVERY_STEPS)
    }

    fn has_recovered(&self, now: Duration) -> bool {
        now >= self.until + RECOVERY_STEP * RECOVERY_STEPS
    }
}

/// The pauses of all backend servers, by [`super::load::server_key`].
#[derive(Debug, Default)]
pub struct Backoffs {
    by_server: HashMap<u64, Pause>,
    /// By service: the earliest time for the next caller to return.
    next_return: HashMap<String, Duration>,
}

impl Backoffs {
    /// Takes the notice of a response. `draw`: random, from 0 to 1. Returns its effect, if it has one.
    pub fn observe(
        &mut self,
        now: Duration,
        server: u64,
        notice: Notice,
        draw: f64,
    ) -> Option<Change> {
        let Notice::Pause(time) = notice else {
            return None;
        };
        if time.is_zero() {
            return None;
        }
        let jitter = time.mul_f64(JITTER_PART).min(MAX_JITTER).mul_f64(draw);
        let until = now + time + jitter;
        let known = self.by_server.get_mut(&server);
        if let Some(pause) = known.filter(|pause| !pause.is_taken) {
            let is_later = until > pause.until;
            pause.until = pause.until.max(until);
            pause.placed = 0;
            return is_later.then_some(Change::Extended);
        }
        let pause = Pause {
            began: now,
            until,
            ..Pause::default()
        };
        self.by_server.insert(server, pause);
        Some(Change::Begun)
    }

    /// Whether something may be sent to a server now.
    pub fn allows(&self, now: Duration, server: u64, purpose: Purpose) -> bool {
        let Some(pause) = self.pause(now, server) else {
            return true;
        };
        match purpose {
            Purpose::Request | Purpose::Probe | Purpose::Order => false,
            Purpose::Renewal => pause.sent.orders < MAX_ORDERS,
        }
    }

    /// Counts something sent to a server. Returns whether that is within a pause.
    pub fn record(&mut self, now: Duration, server: u64, kind: tally::Kind) -> bool {
        let Some(pause) = self.paused(now, server) else {
            return false;
        };
        pause.sent.add(kind);
        true
    }

    /// Counts something that was not sent because of a pause.
    pub fn record_held(&mut self, now: Duration, server: u64, kind: tally::Kind) {
        if let Some(pause) = self.paused(now, server) {
            pause.held.add(kind);
        }
    }

    /// When a server takes one more request: not before the end of its pause, and few at first.
    pub fn opens_at(&self, now: Duration, server: u64) -> Duration {
        let pause = self.by_server.get(&server);
        pause.map_or(now, |pause| pause.opens_at(now).max(now))
    }

    /// Counts a request that is placed on a server.
    pub fn place(&mut self, server: u64) {
        if let Some(pause) = self.by_server.get_mut(&server) {
            pause.placed = pause.placed.saturating_add(1);
        }
    }

    /// The pause of a server, if one is in progress.
    pub fn pause(&self, now: Duration, server: u64) -> Option<Pause> {
        let pause = self.by_server.get(&server).copied();
        pause.filter(|pause| now < pause.until)
    }

    /// Whether all servers take requests as usual.
    pub fn is_empty(&self) -> bool {
        self.by_server.is_empty()
    }

    /// Time after which the next caller of a service is to return, if its servers take none before
    /// `opens_at`. Callers return one after the other, those first that were told first.
    pub fn schedule_return(
        &mut self,
        now: Duration,
        service: &str,
        opens_at: Duration,
    ) -> Duration {
        let next = self.next_return.get(service).copied().unwrap_or_default();
        let at = next.max(opens_at).min(opens_at + MAX_RETURN);
        self.next_return.insert(service.to_owned(), at + RETURN_GAP);
        at.saturating_sub(now)
    }

    /// Returns the pauses that have ended since the last call, and forgets servers that take requests as
    /// usual again.
    pub fn take_ended(&mut self, now: Duration) -> Vec<(u64, Pause)> {
        let mut ended = Vec::new();
        self.by_server.retain(|server, pause| {
            if now >= pause.until && !pause.is_taken {
                pause.is_taken = true;
                ended.push((*server, *pause));
            }
            !pause.has_recovered(now)
        });
        self.next_return.retain(|_, at| now < *at);
        ended
    }

    fn paused(&mut self, now: Duration, server: u64) -> Option<&mut Pause> {
        let pause = self.by_server.get_mut(&server);
        pause.filter(|pause| now < pause.until)
    }
}
