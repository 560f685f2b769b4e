//! Logs and counts the end of each request, whichever side ends it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;

use super::Direct;
use super::cut;
use super::progress;
use crate::direct::retry;
use crate::edge::event::Event;
use crate::log_event;

/// Logs and counts a request once: at its end, or when dropped because the caller disconnected.
pub(super) struct Span {
    direct: Arc<Direct>,
    number: u64,
    progress: progress::Progress,
    id: String,
    service: String,
    began: Instant,
    first_event: Option<Duration>,
    /// When events were last passed on.
    last_event: Instant,
    /// Longest pause between two events passed on.
    max_pause: Duration,
    /// Retry-after that its rejection names.
    retry_after: Option<Duration>,
    ended: bool,
}

impl Span {
    /// Counts a request that arrived, and registers it as in progress.
    pub(super) fn new(direct: &Arc<Direct>, id: &str) -> Self {
        direct.counts.request_started();
        let (number, progress) = direct.progress.insert(id);
        Self {
            direct: Arc::clone(direct),
            number,
            progress,
            id: id.to_owned(),
            service: String::new(),
            began: Instant::now(),
            first_event: None,
            last_event: Instant::now(),
            max_pause: Duration::ZERO,
            retry_after: None,
            ended: false,
        }
    }

    /// The stage that the request is in.
    pub(super) fn progress(&self) -> &progress::Progress {
        &self.progress
    }

    /// Sets the service that the route selected.
    pub(super) fn set_service(&mut self, service: &str) {
        service.clone_into(&mut self.service);
    }

    /// Records that the first event arrived. `predicted_ms`: predicted time from placement to it.
    pub(super) fn first_event(&mut self, predicted_ms: f64) {
        let took = self.began.elapsed();
        self.first_event = Some(took);
        self.direct
            .counts
            .first_response(&self.service, took, predicted_ms);
    }

    /// Records that events were passed on to the caller.
    pub(super) fn events_passed(&mut self, events: u32) {
        let mut state = self.progress.lock();
        if state.events > 0 {
            self.max_pause = self.max_pause.max(self.last_event.elapsed());
        }
        self.last_event = Instant::now();
        state.events += events;
    }

    /// Ends the request with a rejection that names a retry-after time, or none.
    pub(super) fn reject(&mut self, status: StatusCode, cause: &str, after: Option<Duration>) {
        self.retry_after = after;
        self.end(status, cause);
    }

    /// Ends the request with a response or a rejection.
    pub(super) fn end(&mut self, status: StatusCode, cause: &str) {
        let took = self.began.elapsed();
        self.ended = true;
        self.direct
            .counts
            .request_ended(&self.service, status.as_str(), took);
        let event = if status.is_success() {
            Event::RequestEnded
        } else {
            Event::RequestRefused
        };
        self.log(event, status.as_u16(), cause);
    }

    /// Ends the request with a response that broke off.
    /// `lost`: why it broke off, `reason`: why it was not resumed.
    pub(super) fn cut(&mut self, lost: &retry::Failure, reason: &cut::Reason) {
        self.ended = true;
        let took = self.began.elapsed();
        self.direct.counts.request_ended(&self.service, "cut", took);
        self.direct.counts.answer_cut(&self.service, reason.name());
        let now = self.direct.node.now();
        let state = self.progress.lock().clone();
        if !self.direct.log_limiter.allow(Event::StreamCut, now) {
            if let Some(ids) = self.direct.cut_ids.add(state.stage, &self.id) {
                self.direct.log_cut_ids(state.stage, &ids);
            }
            return;
        }
        let (first_ms, whole_ms) = self.times();
        log_event!(self.direct.node.log(), Event::StreamCut, "request" => &self.id,
            "cause" => format!("{lost:?}"), "unresumed" => reason.name(), "then" => reason.failure(),
            "stage" => state.stage.name(), "stage_ms" => state.since.elapsed().as_millis() as u64,
            "server" => server_name(&state), "left_ms" => progress::time_left(&state).as_millis() as u64,
            "first_ms" => first_ms, "whole_ms" => whole_ms, "events" => state.events,
            "pause_ms" => self.max_pause.as_millis() as u64,
            "quiet_ms" => self.last_event.elapsed().as_millis() as u64);
    }

    fn log(&self, event: Event, status: u16, cause: &str) {
        let now = self.direct.node.now();
        if !self.direct.log_limiter.allow(event, now) {
            return;
        }
        let (first_ms, whole_ms) = self.times();
        let state = self.progress.lock().clone();
        if event == Event::RequestEnded {
            log_event!(self.direct.node.log(), event, "request" => &self.id, "status" => status,
                "cause" => cause, "first_ms" => first_ms, "whole_ms" => whole_ms,
                "events" => state.events, "pause_ms" => self.max_pause.as_millis() as u64);
            return;
        }
        log_event!(self.direct.node.log(), event, "request" => &self.id, "status" => status,
            "cause" => cause, "retry_after_ms" => self.retry_after.unwrap_or_default().as_millis() as u64,
            "stage" => state.stage.name(),
            "stage_ms" => state.since.elapsed().as_millis() as u64, "server" => server_name(&state),
            "left_ms" => progress::time_left(&state).as_millis() as u64,
            "first_ms" => first_ms, "whole_ms" => whole_ms, "events" => state.events,
            "pause_ms" => self.max_pause.as_millis() as u64);
    }

    /// Milliseconds to the first event, 0 if there was none, and until now.
    fn times(&self) -> (u64, u64) {
        let first = self.first_event.unwrap_or_default();
        let whole = self.began.elapsed();
        (first.as_millis() as u64, whole.as_millis() as u64)
    }
}

/// The backend server of the last attempt. Empty if there was none.
fn server_name(state: &progress::State) -> String {
    let server = state.server.as_ref();
    server.map(ToString::to_string).unwrap_or_default()
}

impl Direct {
    /// Logs the ids of cut requests whose own lines were suppressed.
    pub(super) fn log_cut_ids(&self, stage: progress::Stage, ids: &[String]) {
        log_event!(self.node.log(), Event::StreamCut, "requests" => ids.join(" "),
            "stage" => stage.name(), "count" => ids.len());
    }

    /// Logs the ids of all cut requests gathered since the last such line.
    pub(super) fn flush_cut_ids(&self) {
        for (stage, ids) in self.cut_ids.take() {
            self.log_cut_ids(stage, &ids);
        }
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        self.direct.progress.remove(self.number);
        if !self.ended && !self.progress.lock().is_cut {
            let took = self.began.elapsed();
            self.direct
                .counts
                .request_ended(&self.service, "caller left", took);
            self.log(Event::CallerLeft, 0, "caller left");
        }
    }
}
