//! Graceful stop of a process. The load balancer is notified, requests that can complete do so, the
//! others are rejected in time, and those that are cut are logged.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use signal_hook::consts;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;

use super::Direct;
use super::cut;
use super::progress;
use crate::edge::event::Event;
use crate::edge::guard;
use crate::edge::listener;
use crate::log_event;

/// Time between reporting not ready and closing connections: a load balancer that checks each
/// second takes a process out after two failed checks.
const NOT_READY_TIME: Duration = Duration::from_millis(2_400);

/// Time before the end of the grace period at which the process must have exited.
const EXIT_RESERVE: Duration = Duration::from_millis(600);

/// Time before the exit at which every rejection must have been sent.
const REJECTION_RESERVE: Duration = Duration::from_millis(200);

/// Time for another control process to take over the leadership.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(1);

const CLOSE_POLL: Duration = Duration::from_millis(25);

/// Interval of log lines on the requests that a draining process waits for.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Cut requests that are logged with one line each.
const MAX_LINES: usize = 100;

/// The listeners that are closed at a stop.
pub(super) struct Listeners {
    stage: watch::Sender<listener::Stage>,
    /// Connections of callers.
    pub(super) callers: Arc<guard::Guard>,
    /// Connections of operators and backend servers.
    pub(super) operators: Arc<guard::Guard>,
}

impl Listeners {
    /// Listeners in the open stage, and the receiver of their stage.
    pub(super) fn open(
        callers: Arc<guard::Guard>,
        operators: Arc<guard::Guard>,
    ) -> (Self, watch::Receiver<listener::Stage>) {
        let (stage, closing) = watch::channel(listener::Stage::Open);
        let listeners = Self {
            stage,
            callers,
            operators,
        };
        (listeners, closing)
    }

    /// Closes each connection after its next response. New ones are still accepted.
    fn close_after_next(&self) {
        // Fails only if no listener runs, and then there is none to close.
        let _ = self.stage.send(listener::Stage::Draining);
    }

    /// Stops accepting connections, and waits until those that are open have ended.
    async fn close(&self) {
        let _ = self.stage.send(listener::Stage::Closing);
        while self.callers.open_connections() + self.operators.open_connections() > 0 {
            time::sleep(CLOSE_POLL).await;
        }
    }
}

/// Drains the process until its connections have ended, the grace period is nearly over, or a second
/// signal arrives.
pub(super) async fn drain(
    direct: &Arc<Direct>,
    listeners: &Listeners,
    grace: Duration,
    signals: &mut mpsc::Receiver<i32>,
) {
    let began = Instant::now();
    let node = direct.node();
    let lifetime = node.lifetime();
    lifetime.end_by(began + grace.saturating_sub(EXIT_RESERVE + REJECTION_RESERVE));
    node.drain();
    listeners.close_after_next();
    if let Some(control) = node.control().cloned() {
        tokio::spawn(async move { control.transfer_leadership(HAND_OVER_TIMEOUT).await });
    }
    let drained = async {
        time::sleep(NOT_READY_TIME).await;
        listeners.close().await;
    };
    let deadline = time::Instant::from_std(began + grace.saturating_sub(EXIT_RESERVE));
    tokio::select! {
        _ = time::timeout_at(deadline, drained) => return,
        () = report(direct) => {}
        () = second_signal(signals) => {}
    }
    lifetime.end_by(Instant::now());
    // What has not ended by then is cut off when the process exits.
    let _ = time::timeout(REJECTION_RESERVE, listeners.close()).await;
}

/// Waits for another stop signal. SIGHUP is none.
async fn second_signal(signals: &mut mpsc::Receiver<i32>) {
    while signals.recv().await == Some(consts::SIGHUP) {}
}

/// Logs each second which requests the process waits for. Never returns.
async fn report(direct: &Direct) {
    let mut tick = time::interval(REPORT_INTERVAL);
    loop {
        tick.tick().await;
        log_progress(direct);
        direct.flush_cut_ids();
    }
}

/// Logs the number of requests in progress by stage.
fn log_progress(direct: &Direct) {
    let [
        admission,
        waiting,
        paused,
        reserving,
        connecting,
        sent,
        answering,
    ] = direct.progress.count();
    log_event!(direct.node.log(), Event::DrainWaits, "admission" => admission,
        "waiting" => waiting, "paused" => paused, "reserving" => reserving,
        "connecting" => connecting, "sent" => sent, "answering" => answering);
}

/// Logs the requests still in progress as cut by the exit of this process, and returns their
/// number.
pub(super) fn log_cut(direct: &Direct) -> usize {
    direct.flush_cut_ids();
    let cut = direct.progress.all();
    let (single, rest) = cut.split_at(cut.len().min(MAX_LINES));
    for progress in single {
        let mut state = progress.lock();
        state.is_cut = true;
        let server = state.server.as_ref().map(ToString::to_string);
        log_event!(direct.node.log(), Event::RequestCut, "request" => &state.id,
            "stage" => state.stage.name(), "stage_ms" => state.since.elapsed().as_millis() as u64,
            "whole_ms" => state.began.elapsed().as_millis() as u64,
            "left_ms" => progress::time_left(&state).as_millis() as u64, "events" => state.events,
            "server" => server.unwrap_or_default());
    }
    let mut by_stage: BTreeMap<progress::Stage, Vec<String>> = BTreeMap::new();
    for progress in rest {
        let mut state = progress.lock();
        state.is_cut = true;
        by_stage
            .entry(state.stage)
            .or_default()
            .push(state.id.clone());
    }
    for (stage, ids) in by_stage {
        for ids in ids.chunks(cut::MAX_IDS_PER_LINE) {
            log_event!(direct.node.log(), Event::RequestCut, "requests" => ids.join(" "),
                "stage" => stage.name(), "count" => ids.len());
        }
    }
    cut.len()
}
