//! The end of a process: its balancer is told, requests end as far as they can, those that cannot
//! are rejected in time, and what is cut all the same is named.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use signal_hook::consts;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;

use super::Direct;
use super::listener;
use super::progress;
use crate::edge::event::Event;
use crate::log_event;

/// Time between saying not ready and closing connections: a balancer that asks each second
/// takes a process out after two misses.
const NOTICE: Duration = Duration::from_millis(2_400);

/// Time before the end of the grace period by which the process is gone.
const RESERVE: Duration = Duration::from_millis(600);

/// Time before that by which every rejection is on its way.
const DELIVERY: Duration = Duration::from_millis(200);

/// Time for another control process to take the leadership over.
const HAND_OVER: Duration = Duration::from_secs(1);

const POLL: Duration = Duration::from_millis(25);

/// Time between two lines on what a process that drains waits for.
const REPORT: Duration = Duration::from_secs(1);

/// Requests that are logged by a line of their own when they are cut.
const MOST_LINES: usize = 100;

/// Ids in one line for the others.
const MOST_IDS: usize = 64;

/// The listeners that a stop closes.
pub(super) struct Listeners {
    stage: watch::Sender<listener::Stage>,
    /// Connections of callers.
    pub(super) callers: listener::Connections,
    /// Connections of operators and backend servers.
    pub(super) operators: listener::Connections,
}

impl Listeners {
    /// Open ones, and what tells their listeners to close.
    pub(super) fn open() -> (Self, watch::Receiver<listener::Stage>) {
        let (stage, closing) = watch::channel(listener::Stage::Open);
        let listeners = Self {
            stage,
            callers: listener::Connections::default(),
            operators: listener::Connections::default(),
        };
        (listeners, closing)
    }

    /// Ends each connection with its next answer.
    fn leave(&self) {
        // Its receivers are the listeners, which end with the process.
        let _ = self.stage.send(listener::Stage::Draining);
    }

    /// Takes no connections any more, and waits until those that are open have ended.
    async fn close(&self) {
        let _ = self.stage.send(listener::Stage::Closing);
        while self.callers.count() + self.operators.count() > 0 {
            time::sleep(POLL).await;
        }
    }
}

/// Drains the process: until its connections have ended, or the grace period is nearly over, or a
/// second signal comes.
pub(super) async fn drain(
    direct: &Arc<Direct>,
    listeners: &Listeners,
    grace: Duration,
    signals: &mut mpsc::Receiver<i32>,
) {
    let began = Instant::now();
    let node = direct.node();
    let lifetime = node.lifetime();
    lifetime.end_by(began + grace.saturating_sub(RESERVE + DELIVERY));
    node.drain();
    listeners.leave();
    if let Some(control) = node.control().cloned() {
        tokio::spawn(async move { control.transfer_leadership(HAND_OVER).await });
    }
    let drained = async {
        time::sleep(NOTICE).await;
        listeners.close().await;
    };
    let limit = time::Instant::from_std(began + grace.saturating_sub(RESERVE));
    tokio::select! {
        _ = time::timeout_at(limit, drained) => return,
        () = report(direct) => {}
        () = second_signal(signals) => {}
    }
    lifetime.end_by(Instant::now());
    // What has not ended by then is cut.
    let _ = time::timeout(DELIVERY, listeners.close()).await;
}

/// Waits for another signal to stop.
async fn second_signal(signals: &mut mpsc::Receiver<i32>) {
    while signals.recv().await == Some(consts::SIGHUP) {}
}

/// Logs each second what the process waits for. Never ends.
async fn report(direct: &Direct) {
    let mut tick = time::interval(REPORT);
    loop {
        tick.tick().await;
        log_progress(direct);
    }
}

/// Logs how many requests are in progress, by stage.
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

/// Logs the requests that are still in progress as cut by the end of this process: how many.
pub(super) fn log_cut(direct: &Direct) -> usize {
    let cut = direct.progress.all();
    let (single, rest) = cut.split_at(cut.len().min(MOST_LINES));
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
        for ids in ids.chunks(MOST_IDS) {
            log_event!(direct.node.log(), Event::RequestCut, "requests" => ids.join(" "),
                "stage" => stage.name(), "count" => ids.len());
        }
    }
    cut.len()
}
