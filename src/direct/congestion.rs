//! When a long prompt is turned away at once.
//!
//! The load that this answers: long prompts come faster than the lane of reading takes them (2.8
//! times the usual ask for 11 to 14 s of reading a second, of which 14 servers do 6 to 8). Then the
//! longest cost more than they bring: 455,000 tokens take 20 s of reading and are worth as much as
//! two and a half of 182,000, which take 10 s. They went last, waited for most of their time and
//! were given up, or took the whole lane for 2 s while five others became late.
//!
//! So while others wait, one that would hold the whole fleet for long is told to come back: as it
//! comes, or as soon as others press behind it. Asked as it comes only, the mean worth on 20 seeded
//! days was 0.675, at any time 0.691.

use std::time::Duration;

use super::model;
use super::place;

/// Time in which the past fades. Lines come and go within a second while a burst lasts; bursts last
/// ten. Also the time after which it is worth coming back.
const FADES: Duration = Duration::from_secs(2);

/// Share of the last seconds in which others waited from which the longest are turned away. Mean
/// worth on 20 seeded days: 0.669 without, 0.684 at 0.5, 0.692 at 0.25.
const PRESSED: f64 = 0.25;

/// Part of its objective for which a prompt may hold the whole fleet while others wait: with 4 s on 14
/// servers, the time of four or five prompts of 182,000 tokens, or one of 430,000. At 0.2 the worth
/// is the same, but a third of the largest tenth is answered; four in ten let in by draw cost 0.015.
const HOLD_PART: f64 = 0.32;

/// How much long prompts waited lately, anywhere, as far as is known here.
#[derive(Clone, Copy, Debug, Default)]
pub struct Congestion {
    /// Share of the last seconds in which one waited. Invariant: 0 to 1.
    level: f64,
    /// When it was last brought up to date.
    at: Duration,
}

/// Why a prompt is turned away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// Share of the last seconds in which others waited.
    pub level: f64,
    /// Milliseconds for which it would hold the whole fleet.
    pub fleet_ms: f64,
}

impl Congestion {
    /// Whether a long prompt waits now. To be told at least some times a second.
    pub fn observe(&mut self, now: Duration, waits: bool) {
        let since = now.saturating_sub(self.at).as_secs_f64();
        let fresh = 1.0 - (-since / FADES.as_secs_f64()).exp();
        self.level += (f64::from(u8::from(waits)) - self.level) * fresh;
        self.at = now;
    }

    /// Whether a prompt that has no place yet is turned away, where `servers` could read it.
    pub fn rejection(
        &self,
        engine: &model::Engine,
        need: &place::Need,
        objective: Duration,
        servers: usize,
    ) -> Option<Rejection> {
        if self.level < PRESSED || !place::is_long(engine, need) {
            return None;
        }
        // Where several are read at once it holds its part of the servers only: reckoned with its own
        // width alone, 54 servers turned away what takes 0.8 s of their time.
        let width = servers.clamp(1, place::MAX_WIDTH);
        let at_once = (servers / place::MAX_WIDTH).max(1);
        let fleet_ms = engine.read_ms(need.prompt, width * at_once);
        let most_ms = objective.as_secs_f64() * 1e3 * HOLD_PART;
        let level = self.level;
        (fleet_ms > most_ms).then_some(Rejection { level, fleet_ms })
    }
}
