//! The record of a run: what was sent, answered and run, with times.

use std::fs;
use std::io;
use std::io::Write as _;
use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Writes lines with the time since the start of the run.
pub struct Record {
    began: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    /// A new file at `path`.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Mutex::new(fs::File::create(path)?),
        })
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Writes a line. Returns its time.
    pub fn note(&self, text: &str) -> Duration {
        let at = self.now();
        let line = format!("{:9.3} s  {text}\n", at.as_secs_f64());
        print!("{line}");
        let mut file = self.file.lock().expect("record lock");
        file.write_all(line.as_bytes())
            .expect("record.txt is written");
        at
    }
}
