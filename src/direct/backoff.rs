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

/// A pause that a server asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pause {
    /// When it began.
    pub began: Duration,
    /// When it ends. Invariant: it only becomes later.
    pub until: Duration,
    /// Sent to the server since it began.
    pub sent: tally::Counts,
}

/// The pauses of all backend servers, by [`super::load::server_key`].
#[derive(Debug, Default)]
pub struct Backoffs {
    by_server: HashMap<u64, Pause>,
}

impl Backoffs {
    /// Takes the notice of a response. Returns its effect, if it has one.
    pub fn observe(&mut self, now: Duration, server: u64, notice: Notice) -> Option<Change> {
        let Notice::Pause(time) = notice else {
            return None;
        };
        let until = now + time;
        if let Some(pause) = self.by_server.get_mut(&server)
            && now < pause.until
        {
            let is_later = until > pause.until;
            pause.until = pause.until.max(until);
            return is_later.then_some(Change::Extended);
        }
        if time.is_zero() {
            return None;
        }
        let sent = tally::Counts::default();
        let began = now;
        self.by_server.insert(server, Pause { began, until, sent });
        Some(Change::Begun)
    }

    /// Counts something sent to a server.
    pub fn record(&mut self, now: Duration, server: u64, kind: tally::Kind) {
        if let Some(pause) = self.by_server.get_mut(&server)
            && now < pause.until
        {
            pause.sent.add(kind);
        }
    }

    /// The pause of a server, if one is in progress.
    pub fn pause(&self, now: Duration, server: u64) -> Option<Pause> {
        let pause = self.by_server.get(&server).copied();
        pause.filter(|pause| now < pause.until)
    }

    /// Whether there are no pauses.
    pub fn is_empty(&self) -> bool {
        self.by_server.is_empty()
    }

    /// Removes the pauses that have ended, and returns them.
    pub fn take_ended(&mut self, now: Duration) -> Vec<(u64, Pause)> {
        let mut ended = Vec::new();
        self.by_server.retain(|server, pause| {
            let has_ended = now >= pause.until;
            if has_ended {
                ended.push((*server, *pause));
            }
            !has_ended
        });
        ended
    }
}
