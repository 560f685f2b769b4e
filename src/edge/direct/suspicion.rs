//! Backend servers that crash under requests.

use std::time::Duration;

use super::Direct;
use super::context::Context;
use super::progress;
use crate::direct::register;
use crate::edge::event::Event;
use crate::log_event;
use crate::wire::id;

/// How far a request had got at its backend server when the connection broke.
#[derive(Clone)]
pub(super) struct Run {
    /// The caller's id of the request.
    request: String,
    /// Hash of the whole request.
    pub(super) fingerprint: id::Fingerprint,
    stage: progress::Stage,
    /// Events passed on to the caller, at all servers together.
    events: u32,
    /// Time since the first event of this attempt. `None`: there was none.
    wrote: Option<Duration>,
}

impl Run {
    /// The current attempt of a request.
    pub(super) fn new(context: &Context) -> Self {
        let state = context.progress.lock();
        let is_writing = state.stage == progress::Stage::Answering;
        Self {
            request: context.request.id.clone(),
            fingerprint: context.fingerprint,
            stage: state.stage,
            events: state.events,
            wrote: is_writing.then(|| state.since.elapsed()),
        }
    }
}

impl Direct {
    /// Requests of this entry that were sent to `server` and have not ended.
    pub(super) fn open_runs(&self, server: &register::Instance) -> usize {
        let is_open = |progress: &progress::Progress| {
            let state = progress.lock();
            let is_sent = matches!(
                state.stage,
                progress::Stage::Sent | progress::Stage::Answering
            );
            is_sent && state.server.as_ref() == Some(server)
        };
        self.progress
            .all()
            .iter()
            .filter(|one| is_open(one))
            .count()
    }

    /// Logs that a server crashed under a request. `open`: requests of this entry that were on it when
    /// the connection broke, this one included or not.
    pub(super) fn log_crash(&self, run: &Run, server: &register::Instance, open: usize) {
        let now = self.node.now();
        if self.log_limiter.allow(Event::RunCrashed, now) {
            log_event!(self.node.log(), Event::RunCrashed, "request" => &run.request,
                "server" => server, "evidence" => "connection broken, no answer to a probe",
                "stage" => run.stage.name(), "events" => run.events,
                "wrote_ms" => run.wrote.map_or(-1, |wrote| wrote.as_millis() as i64), "open" => open);
        }
    }
}
