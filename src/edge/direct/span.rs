//! Logs and counts the end of each request, whichever side ends it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;

use super::Direct;
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
    pub(super) fn cut(&mut self, lost: &retry::Failure) {
        self.ended = true;
        let took = self.began.elapsed();
        self.direct.counts.request_ended(&self.service, "cut", took);
        self.log(Event::StreamCut, 0, &format!("{lost:?}"));
    }

    fn log(&self, event: Event, status: u16, cause: &str) {
        let now = self.direct.node.now();
        if !self.direct.log_limiter.allow(event, now) {
            return;
        }
        let first_ms = self.first_event.map_or(0, |took| took.as_millis() as u64);
        let whole_ms = self.began.elapsed().as_millis() as u64;
        log_event!(self.direct.node.log(), event, "request" => &self.id, "status" => status,
            "cause" => cause, "first_ms" => first_ms, "whole_ms" => whole_ms, "events" => self.progress.lock().events,
            "pause_ms" => self.max_pause.as_millis() as u64);
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
