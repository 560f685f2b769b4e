//! Bounds the log under load: a few hundred lines a second of each event, and a count of what
//! was left out.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use crate::edge::event::Event;

/// Lines of one event a second: ten times what an entry logs at three times its usual load.
const MOST: u32 = 300;

const SECOND: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct Count {
    began: Duration,
    lines: u32,
    suppressed: u64,
}

/// Counts lines by event.
#[derive(Debug, Default)]
pub struct Limiter {
    counts: Mutex<HashMap<u32, Count>>,
}

impl Limiter {
    /// Whether one more line of this event may be written.
    pub fn allow(&self, event: Event, now: Duration) -> bool {
        let mut counts = self.counts.lock().expect("lines lock");
        let count = counts.entry(event.number()).or_default();
        if now >= count.began + SECOND {
            count.began = now;
            count.lines = 0;
        }
        if count.lines >= MOST {
            count.suppressed += 1;
            return false;
        }
        count.lines += 1;
        true
    }

    /// Lines left out since the last call, by the number of their event.
    pub fn take_suppressed(&self) -> Vec<(u32, u64)> {
        let mut counts = self.counts.lock().expect("lines lock");
        let counts = counts.iter_mut().filter(|(_, count)| count.suppressed > 0);
        let taken = counts.map(|(number, count)| (*number, std::mem::take(&mut count.suppressed)));
        taken.collect()
    }
}
