//! Limits that backend servers in need name on what they take from all entries together.

use std::collections::HashMap;
use std::time::Duration;

use super::register;

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
pub enum Named {
    /// It names this one.
    Limit(Rate),
    /// It names none.
    Nothing,
    /// It names something that is no limit.
    Unreadable,
}

#[derive(Debug)]
struct Known {
    limit: Option<Rate>,
    /// When the limit was last named or lifted.
    at: Duration,
}

/// The limits known, by the life of the server.
#[derive(Debug, Default)]
pub struct Quotas {
    by_life: HashMap<register::Life, Known>,
}

impl Quotas {
    /// Takes what an answer says to something sent at `sent`. Whether it changes what is known.
    ///
    /// Answers overtake each other. So one without a limit lifts it only if it answers what was sent
    /// after the limit was last named.
    pub fn heard(
        &mut self,
        now: Duration,
        life: &register::Life,
        sent: Duration,
        named: Named,
    ) -> bool {
        let known = self.by_life.get_mut(life);
        match (named, known) {
            (Named::Limit(rate), Some(known)) => {
                known.at = now;
                known.limit.replace(rate) != Some(rate)
            }
            (Named::Limit(rate), None) => {
                let limit = Some(rate);
                self.by_life.insert(life.clone(), Known { limit, at: now });
                true
            }
            (Named::Nothing, Some(known)) if known.limit.is_some() && sent > known.at => {
                known.at = now;
                known.limit = None;
                true
            }
            (Named::Nothing | Named::Unreadable, _) => false,
        }
    }

    /// The limit that a server names.
    pub fn limit(&self, life: &register::Life) -> Option<Rate> {
        self.by_life.get(life).and_then(|one| one.limit)
    }

    /// Servers that name a limit.
    pub fn limited(&self) -> impl Iterator<Item = (&register::Life, Rate)> {
        let limits = self.by_life.iter();
        limits.filter_map(|(life, known)| known.limit.map(|rate| (life, rate)))
    }

    /// Forgets servers that are not in `known`.
    pub fn retain(&mut self, known: impl Fn(&register::Life) -> bool) {
        self.by_life.retain(|life, _| known(life));
    }
}
