//! A minimal backend server: a model engine or a plain service, as docs/ENGINE.md describes them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use wigeonbarrow::sidecar::ledger;
use wigeonbarrow::wire::id;

/// Number of tokens, or of bytes, in a complete response.
pub const LENGTH: u64 = 5;
pub const PREFILL_TIME: Duration = Duration::from_millis(200);
pub const TOKEN_TIME: Duration = Duration::from_millis(20);
/// How long a finished run stays listed.
const RETENTION: Duration = Duration::from_secs(5);

pub fn token(number: u64) -> String {
    format!("t{number} ")
}

/// A run. Its tokens are produced at fixed times after its start.
#[derive(Clone, Debug)]
pub struct Run {
    pub start: Duration,
    pub first: u64,
    pub memory: u64,
    deadline: Duration,
    /// The connection that reads its stream, and the offset of the next token for it.
    pub conn: Option<(u64, u64)>,
    pub cancelled: bool,
    done: Option<Duration>,
    pub poison: bool,
}

impl Run {
    fn produced(&self, now: Duration) -> u64 {
        let since = now.saturating_sub(self.start + PREFILL_TIME);
        let count = since.as_millis() / TOKEN_TIME.as_millis();
        (self.first + count as u64).min(LENGTH)
    }
}

#[derive(Clone, Debug)]
pub struct Backend {
    pub incarnation: u64,
    pub alive: bool,
    pub frozen: Duration,
    pub leaving: bool,
    pub plain: bool,
    pub runs: BTreeMap<String, Run>,
    seen: BTreeSet<String>,
}

/// The immediate response to a call.
pub enum Response {
    Stream,
    Rejected(u16),
}

/// A line of a stream.
#[derive(Clone, Debug)]
pub enum Line {
    Head,
    Tokens(u64, Vec<String>),
    Done(u64),
    Error,
}

impl Backend {
    pub fn new(plain: bool) -> Self {
        Self {
            incarnation: 1,
            alive: true,
            frozen: Duration::ZERO,
            leaving: false,
            plain,
            runs: BTreeMap::new(),
            seen: BTreeSet::new(),
        }
    }

    pub fn used(&self) -> u64 {
        let live = self.runs.values().filter(|run| run.done.is_none());
        live.map(|run| run.memory).sum()
    }

    pub fn kill(&mut self) {
        self.alive = false;
        self.runs.clear();
        self.seen.clear();
    }

    pub fn restart(&mut self) {
        self.alive = true;
        self.incarnation += 1;
    }

    pub fn start(
        &mut self,
        now: Duration,
        id: &str,
        conn: u64,
        first: u64,
        limit: Duration,
        poison: bool,
    ) -> Response {
        if !self.plain && !self.seen.insert(id.to_owned()) {
            return Response::Rejected(409);
        }
        let run = Run {
            start: now,
            first,
            memory: if self.plain { 0 } else { 1_000 },
            deadline: now + limit,
            conn: Some((conn, first)),
            cancelled: false,
            done: None,
            poison,
        };
        self.runs.insert(id.to_owned(), run);
        Response::Stream
    }

    pub fn resume(&mut self, id: &str, conn: u64, offset: u64) -> Response {
        match self.runs.get_mut(id) {
            Some(run) if !self.plain => {
                run.conn = Some((conn, offset));
                Response::Stream
            }
            _ => Response::Rejected(404),
        }
    }

    pub fn cancel(&mut self, now: Duration, id: &str) {
        if let Some(run) = self.runs.get_mut(id)
            && run.done.is_none()
        {
            run.cancelled = true;
            run.done = Some(now);
        }
    }

    pub fn list(&self) -> ledger::Event {
        let runs = self.runs.iter().map(|(id, run)| ledger::Listed {
            id: id.clone(),
            memory: run.memory,
            live: run.done.is_none(),
        });
        ledger::Event::List {
            incarnation: id::Incarnation(self.incarnation),
            runs: runs.collect(),
            segments: Vec::new(),
        }
    }

    /// Advances to `now` and returns new lines by connection. `None` if a poisonous run killed the
    /// server.
    pub fn advance(&mut self, now: Duration) -> Option<Vec<(u64, Line)>> {
        let mut out = Vec::new();
        for run in self.runs.values_mut() {
            if run.poison && run.done.is_none() && now >= run.start + PREFILL_TIME / 2 {
                return None;
            }
            let produced = run.produced(now);
            if run.done.is_none() && (produced == LENGTH || now >= run.deadline) {
                run.done = Some(now);
                run.cancelled = produced < LENGTH;
            }
            let Some((conn, next)) = run.conn else {
                continue;
            };
            if self.plain && next == 0 && produced > 0 {
                out.push((conn, Line::Head));
            }
            if produced > next && !run.cancelled {
                out.push((
                    conn,
                    Line::Tokens(next, (next..produced).map(token).collect()),
                ));
                run.conn = Some((conn, produced));
            }
            if run.done.is_some() {
                let last = if run.cancelled {
                    Line::Error
                } else {
                    Line::Done(LENGTH)
                };
                out.push((conn, last));
                run.conn = None;
            }
        }
        self.runs
            .retain(|_, run| run.done.is_none_or(|done| now < done + RETENTION));
        Some(out)
    }
}
