//! Sends a sequence of requests, each when it is due, and reports.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::call;
use super::mix;
use super::prompt;
use super::report;

/// Requests that are built ahead.
const AHEAD: usize = 32;
/// Time for the first requests to be built.
const BUILD: Duration = Duration::from_millis(100);

/// A load.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What comes when.
    pub mix: mix::Settings,
    /// How to send.
    pub call: call::Settings,
    /// How long requests are sent.
    pub duration: Duration,
    /// Most requests sent.
    pub count: u64,
    /// Most requests in progress; what is due beyond is not sent, and counted.
    pub in_progress: usize,
    /// Base URLs of entries, in turn.
    pub entries: Vec<String>,
    /// Base URLs of engines for direct requests, in turn.
    pub engines: Vec<String>,
    /// Workspaces that send.
    pub workspaces: Vec<mix::Workspace>,
}

/// Runs a load to its end; `each` sees every record as it comes.
pub async fn run(
    settings: &Settings,
    mut each: impl FnMut(&call::Record),
) -> anyhow::Result<report::Report> {
    let settings = Arc::new(settings.clone());
    let mut ready = build(Arc::clone(&settings))?;
    let client = reqwest::Client::builder()
        .pool_max_idle_per_host(usize::MAX)
        .build()?;
    let places = Arc::new(Semaphore::new(settings.in_progress));
    let (tx, mut rx) = mpsc::unbounded_channel();
    let mut tally = report::Tally::new(&settings.workspaces);
    let start = Instant::now() + BUILD;
    let mut last = start;
    loop {
        let next = tokio::select! {
            next = ready.recv() => next,
            Some(record) = rx.recv() => {
                take(&mut tally, &mut each, &mut last, &record);
                continue;
            }
        };
        let Some(ready) = next else {
            break;
        };
        let due = start + ready.call.at;
        let wake = tokio::time::sleep_until(due);
        tokio::pin!(wake);
        loop {
            tokio::select! {
                () = &mut wake => break,
                Some(record) = rx.recv() => take(&mut tally, &mut each, &mut last, &record),
            }
        }
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            tally.unsent(&ready.call);
            continue;
        };
        let (client, settings, tx) = (client.clone(), Arc::clone(&settings), tx.clone());
        tokio::spawn(async move {
            let (url, key) = target(&settings, &ready.call);
            let record = ready.send(&client, &url, &key, &settings.call, due).await;
            let _ = tx.send(record);
            drop(place);
        });
    }
    drop(tx);
    while let Some(record) = rx.recv().await {
        take(&mut tally, &mut each, &mut last, &record);
    }
    Ok(tally.report(last - start))
}

fn take(
    tally: &mut report::Tally,
    each: &mut impl FnMut(&call::Record),
    last: &mut Instant,
    record: &call::Record,
) {
    *last = Instant::now();
    tally.add(record);
    each(record);
}

/// Builds requests ahead of time on a thread of its own.
fn build(settings: Arc<Settings>) -> anyhow::Result<mpsc::Receiver<call::Ready>> {
    let (tx, rx) = mpsc::channel(AHEAD);
    let thread = std::thread::Builder::new().name("prompts".into());
    thread.spawn(move || {
        let vocabulary = prompt::Vocabulary::new();
        let source = mix::Source::new(settings.mix.clone());
        let calls = source
            .take_while(|call| call.at < settings.duration)
            .take(settings.count as usize);
        for call in calls {
            let ready = call::Ready::new(call, &settings.call, &vocabulary);
            if tx.blocking_send(ready).is_err() {
                return;
            }
        }
    })?;
    Ok(rx)
}

/// URL and key for a request.
fn target(settings: &Settings, call: &mix::Call) -> (String, String) {
    let pick = |urls: &[String]| urls[call.number as usize % urls.len()].clone();
    if call.direct {
        (pick(&settings.engines), settings.call.backend_key.clone())
    } else {
        let key = settings.workspaces[call.workspace].key.clone();
        (pick(&settings.entries), key)
    }
}
