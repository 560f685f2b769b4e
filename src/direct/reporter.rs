//! What an entry tells others of what runs there: all of it, or what changed since it last did.

use std::collections::HashMap;
use std::time::Duration;

use super::load;

/// What was last told.
#[derive(Debug, Default)]
pub struct Reporter {
    told: HashMap<u64, load::Load>,
}

impl Reporter {
    /// What is to be told of `board` now; `whole`: all of it.
    ///
    /// Of a server that an entry uses no more it goes on to tell what it has given it in all. Told
    /// as 0, it took the work of all other entries from what is known of that server: with 70
    /// entries before 112 servers, one in eight of those with 0.3 s and more to read looked half free.
    pub fn next(&mut self, board: &load::Table, now: Duration, whole: bool) -> load::Report {
        let own = board.own_loads(now);
        let own: HashMap<u64, load::Load> = own.into_iter().map(|one| (one.server, one)).collect();
        let is_news = |one: &&load::Load| whole || self.told.get(&one.server) != Some(*one);
        let mut loads: Vec<load::Load> = own.values().filter(is_news).copied().collect();
        if !whole {
            let gone = self.told.keys().filter(|one| !own.contains_key(*one));
            loads.extend(gone.map(|server| board.idle_load(*server)));
        }
        self.told = own;
        load::Report {
            whole,
            loads,
            waiting: board.waiting_ranks(),
        }
    }
}
