//! What the two stand-in backend servers do alike: announce themselves, and leave in order.

use std::sync::Arc;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::announce;
use crate::announce::Announcement;
use crate::flag;
use crate::http;

/// How often a leaving backend server looks whether it may go.
const LOOK: Duration = Duration::from_millis(50);

/// The flags of both.
pub fn flags(server: &'static str, service: &'static str) -> [Arg; 6] {
    [
        flag::addr(
            "listen",
            "127.0.0.1:0",
            "Address to serve on; port 0 picks one",
        ),
        flag::text("server", server, "Name of this backend server"),
        flag::text("service", service, "Service that it belongs to"),
        flag::text(
            "sidecar",
            "",
            "URL of the sidecar to announce to; empty for none",
        ),
        flag::text(
            "backend-key",
            "",
            "Key to show and to ask for; empty for none",
        )
        .env("BACKEND_KEY"),
        flag::number("ttl-ms", "3000", "How long an announcement is valid"),
    ]
}

/// Announces until SIGTERM, then leaves: returns once neither the sidecar nor `busy` holds it.
///
/// `describe` gives what to announce; `changed` says that it is another one now.
pub async fn run(
    matches: &ArgMatches,
    changed: Arc<Notify>,
    describe: impl Fn() -> Announcement + Send + 'static,
    busy: impl Fn() -> bool,
) -> anyhow::Result<()> {
    let settings = announce::Settings {
        sidecar: flag::get(matches, "sidecar"),
        key: flag::get(matches, "backend-key"),
    };
    let alone = settings.sidecar.is_empty();
    let (leave, leaving) = watch::channel(false);
    let (tx, presence) = watch::channel(None);
    if !alone {
        let current = move || Announcement {
            leaving: *leaving.borrow(),
            ..describe()
        };
        tokio::spawn(announce::run(settings, current, Arc::clone(&changed), tx));
    }
    http::terminated().await?;
    leave.send_replace(true);
    changed.notify_one();
    loop {
        let told: Option<announce::Presence> = *presence.borrow();
        let free = alone || told.is_some_and(|p| p.leaving && p.in_progress == 0);
        if free && !busy() {
            return Ok(());
        }
        tokio::time::sleep(LOOK).await;
    }
}
