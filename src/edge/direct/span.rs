//! A request's end, logged and counted, whoever brings it about.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;

use super::Direct;
use super::progress;
use crate::direct::retry;
use crate::edge::event::Event;
use crate::log_event;

/// Sees a request to its end, and logs and counts it; also when its caller leaves before.
pub(super) struct Span {
    direct: Arc<Direct>,
    number: u64,
    progress: progress::Progress,
    id: String,
    service: String,
    began: Instant,
    first: Option<Duration>,
    /// When its last events were passed on.
    last: Instant,
    /// Longest pause between its events, at this entry.
    pause: Duration,
    ended: bool,
}

impl Span {
    /// Begins with a request that has come.
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
            first: None,
            last: Instant::now(),
            pause: Duration::ZERO,
            ended: false,
        }
    }

    /// How far it is.
    pub(super) fn progress(&self) -> &progress::Progress {
        &self.progress
    }

    /// The service that its route led to.
    pub(super) fn serves(&mut self, service: &str) {
        service.clone_into(&mut self.service);
    }

    /// Its first event came, `predicted_ms` after it was placed as far as predicted.
    pub(super) fn first(&mut self, predicted_ms: f64) {
        let took = self.began.elapsed();
        self.first = Some(took);
        self.direct
            .counts
            .first_response(&self.service, took, predicted_ms);
    }

    /// Events were passed on.
    pub(super) fn passed(&mut self, events: u32) {
        let mut state = self.progress.lock();
        if state.events > 0 {
            self.pause = self.pause.max(self.last.elapsed());
        }
        self.last = Instant::now();
        state.events += events;
    }

    /// It was answered, or refused.
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

    /// Its answer broke off.
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
        let first = self.first.map_or(0, |one| one.as_millis() as u64);
        let whole = self.began.elapsed().as_millis() as u64;
        log_event!(self.direct.node.log(), event, "request" => &self.id, "status" => status,
            "cause" => cause, "first_ms" => first, "whole_ms" => whole, "events" => self.progress.lock().events,
            "pause_ms" => self.pause.as_millis() as u64);
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
