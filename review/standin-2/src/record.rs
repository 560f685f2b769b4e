//! What was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub server: String,
    pub request: String,
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Duration,
    pub answered: Duration,
    pub machine: usize,
    pub request: String,
    pub result: String,
}

struct State {
    file: BufWriter<File>,
    runs: Vec<Run>,
    sent: Vec<Sent>,
}

/// The record of a case. Clones share it.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    state: Arc<Mutex<State>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Self {
            start: Instant::now(),
            state: Arc::new(Mutex::new(State {
                file,
                runs: Vec::new(),
                sent: Vec::new(),
            })),
        })
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Sleeps until a time since the start.
    pub fn sleep_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.now()));
    }

    /// Writes a line, also to standard output.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.now().as_secs_f64());
        println!("{line}");
        let _ = writeln!(self.lock().file, "{line}");
    }

    pub fn ran(&self, server: &str, request: &str, what: &str) {
        let at = self.now();
        let mut state = self.lock();
        let line = format!("{:8.3} s  {server} {what} {request}", at.as_secs_f64());
        let _ = writeln!(state.file, "{line}");
        state.runs.push(Run {
            at,
            server: server.to_owned(),
            request: request.to_owned(),
        });
    }

    pub fn sent(&self, sent: Sent) {
        let mut state = self.lock();
        let _ = writeln!(
            state.file,
            "{:8.3} s  client of machine {} sent {}, {:.3} s later: {}",
            sent.at.as_secs_f64(),
            sent.machine,
            sent.request,
            (sent.answered - sent.at).as_secs_f64(),
            sent.result
        );
        state.sent.push(sent);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    pub fn all_sent(&self) -> Vec<Sent> {
        self.lock().sent.clone()
    }

    pub fn flush(&self) {
        let _ = self.lock().file.flush();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}
