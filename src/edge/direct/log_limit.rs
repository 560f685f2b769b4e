//! Rate limit of the log: a few hundred lines a second for each event, and a count of the lines
//! suppressed.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use crate::edge::event::Event;

/// Most lines of one event a second: ten times what an entry logs at three times its usual load.
const MAX_LINES_PER_SECOND: u32 = 300;

const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct Count {
    window_start: Duration,
    lines: u32,
    suppressed: u64,
}

/// Counts log lines by event.
#[derive(Debug, Default)]
pub struct Limiter {
    counts: Mutex<HashMap<u32, Count>>,
}

impl Limiter {
    /// Whether one more line of this event may be written. Counts it as written or suppressed.
    pub fn allow(&self, event: Event, now: Duration) -> bool {
        let mut counts = self.counts.lock().expect("log limiter lock");
        let count = counts.entry(event.number()).or_default();
        if now >= count.window_start + WINDOW {
            count.window_start = now;
            count.lines = 0;
        }
        if count.lines >= MAX_LINES_PER_SECOND {
            count.suppressed += 1;
            return false;
        }
        count.lines += 1;
        true
    }

    /// Lines suppressed since the last call, by event number.
    pub fn take_suppressed(&self) -> Vec<(u32, u64)> {
        let mut counts = self.counts.lock().expect("log limiter lock");
        let counts = counts.iter_mut().filter(|(_, count)| count.suppressed > 0);
        let taken = counts.map(|(number, count)| (*number, std::mem::take(&mut count.suppressed)));
        taken.collect()
    }
}
