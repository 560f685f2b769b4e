//! When a long prompt is rejected at once.
//!
//! This is for loads where long prompts come faster than the reading lane takes them: 2.8 times the
//! usual load asks for 11 to 14 s of reading a second, of which 14 servers do 6 to 8. Then the
//! longest cost more than they bring: 455,000 tokens take 20 s of reading and are worth as much as
//! two and a half prompts of 182,000, which take 10 s. Last in rank, they would wait for most of
//! their time and be abandoned, or take the whole lane for 2 s while five others became late.
//!
//! So while others wait, a prompt that would occupy the whole fleet for long is rejected with a
//! retry-after time, on arrival or as soon as others queue behind it. Checking this only on arrival
//! lowers the goodput. It is not rejected again when it returns: by then its caller has waited for
//! longer than those that came later, and it can retry no more.

use std::time::Duration;

use super::catalog;
use super::forecast;
use super::model;
use super::place;

/// Time constant with which the past decays. Queues come and go within a second while a burst
/// lasts; bursts last ten.
const DECAY: Duration = Duration::from_secs(2);

/// Share of the recent past with a queue from which the longest prompts are rejected. At 0.5 the
/// goodput is lower, and without rejections it is lower still.
const REJECT_LEVEL: f64 = 0.25;

/// Share of its objective for which a prompt may occupy the whole fleet while others wait. With 4 s
/// on 14 servers that is the time of four or five prompts of 182,000 tokens, or one of 430,000. At
/// 0.2 only a third of the largest tenth of prompts is answered, and nothing is gained by it.
const HOLD_SHARE: f64 = 0.32;

/// How much long prompts waited recently on any entry, as far as this one knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Congestion {
    /// Share of the recent past in which one waited. Invariant: 0 to 1.
    level: f64,
    /// Time of the last update.
    at: Duration,
}

/// Why a prompt is rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// Share of the recent past in which others waited.
    pub level: f64,
    /// Milliseconds for which it would occupy the whole fleet.
    pub fleet_ms: f64,
}

impl Congestion {
    /// Records whether a long prompt waits now. To be called several times a second.
    pub fn observe(&mut self, now: Duration, waits: bool) {
        let since = now.saturating_sub(self.at).as_secs_f64();
        let weight = 1.0 - (-since / DECAY.as_secs_f64()).exp();
        self.level += (f64::from(u8::from(waits)) - self.level) * weight;
        self.at = now;
    }

    /// Share of the recent past in which a long prompt waited, from 0 to 1.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Whether, and why, a prompt of `route` that has no place yet is rejected where `servers` could
    /// read it.
    pub fn rejection(
        &self,
        engine: &model::Engine,
        need: &place::Need,
        route: &catalog::Route,
        servers: usize,
    ) -> Option<Rejection> {
        if self.level < REJECT_LEVEL || !place::is_long(engine, need) {
            return None;
        }
        if forecast::is_return(need.left, route.timeout) {
            return None;
        }
        // Where several prompts are read at once, each occupies only some of the servers, and its
        // time is spread over all of them. Otherwise 54 servers would reject a prompt that takes
        // 0.8 s of their time.
        let width = servers.clamp(1, place::MAX_WIDTH);
        let in_parallel = (servers / place::MAX_WIDTH).max(1);
        let fleet_ms = engine.read_ms(need.prompt, width * in_parallel);
        let most_ms = route.objective.as_secs_f64() * 1e3 * HOLD_SHARE;
        let level = self.level;
        (fleet_ms > most_ms).then_some(Rejection { level, fleet_ms })
    }
}
