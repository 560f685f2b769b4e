//! What the end of a process does to the requests in progress: counted while it drains, named if
//! they are cut.

use std::collections::BTreeMap;

use super::Direct;
use super::progress;
use crate::edge::event::Event;
use crate::log_event;

/// Requests that are logged by a line of their own when they are cut.
const MOST_LINES: usize = 100;

/// Ids in one line for the others.
const MOST_IDS: usize = 64;

/// Logs how many requests are in progress, by stage.
pub(super) fn log_progress(direct: &Direct) {
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
        let mut mark = progress.mark();
        mark.is_cut = true;
        let server = mark.server.as_ref().map(ToString::to_string);
        log_event!(direct.node.log(), Event::RequestCut, "request" => &mark.id,
            "stage" => mark.stage.name(), "stage_ms" => mark.since.elapsed().as_millis() as u64,
            "whole_ms" => mark.began.elapsed().as_millis() as u64,
            "left_ms" => progress::left(&mark).as_millis() as u64, "events" => mark.events,
            "server" => server.unwrap_or_default());
    }
    let mut by_stage: BTreeMap<progress::Stage, Vec<String>> = BTreeMap::new();
    for progress in rest {
        let mut mark = progress.mark();
        mark.is_cut = true;
        by_stage
            .entry(mark.stage)
            .or_default()
            .push(mark.id.clone());
    }
    for (stage, ids) in by_stage {
        for ids in ids.chunks(MOST_IDS) {
            log_event!(direct.node.log(), Event::RequestCut, "requests" => ids.join(" "),
                "stage" => stage.name(), "count" => ids.len());
        }
    }
    cut.len()
}
