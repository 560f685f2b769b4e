//! The configuration as one published document: how operators change and read it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time;

use super::Direct;
use super::Read;
use crate::direct::catalog;
use crate::edge::document;
use crate::edge::event::Event;
use crate::log_event;
use crate::wire::agree;

/// Timeout for a change or a read to pass the quorum. An operator's client tries another process
/// after a second.
pub(super) const QUORUM_TIMEOUT: Duration = Duration::from_millis(900);

/// First and longest delay before the quorum is asked again for the newest document; each delay is
/// twice the one before. After a restart of the whole system there is a leader within half a
/// second. While there is no quorum, each process asks once a second.
const CONFIRM_DELAYS: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(1)];

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Published {
    /// This version or a higher one is durable at a quorum.
    Held,
    /// It has findings and was rejected.
    Invalid(Vec<catalog::Finding>),
    /// Not known. The change may be sent again.
    Unknown,
}

impl Direct {
    /// Publishes a document after `read` has checked it.
    pub async fn publish(&self, text: Bytes, read: Read) -> Published {
        let version = match read(&text) {
            Ok(catalog) => catalog.version(),
            Err(findings) => {
                let finding = findings.first().map(ToString::to_string);
                log_event!(self.node.log(), Event::DocumentRefused, "bytes" => text.len(),
                    "finding" => finding.unwrap_or_default());
                return Published::Invalid(findings);
            }
        };
        let known = self.node.documents().version();
        let published = if version <= known {
            // A document known here is durable at a quorum and is never reverted.
            Published::Held
        } else {
            self.propose(version, &text).await
        };
        log_event!(self.node.log(), Event::DocumentTaken, "version" => version, "known" => known,
            "outcome" => format!("{published:?}"));
        published
    }

    async fn propose(&self, version: u64, text: &[u8]) -> Published {
        let Ok(packed) = document::pack(text) else {
            return Published::Unknown;
        };
        let command = agree::Command::Publish(agree::Document { version, packed });
        match self.node.propose(command, QUORUM_TIMEOUT).await {
            agree::Verdict::Done { .. } => Published::Held,
            _ => Published::Unknown,
        }
    }

    /// Asks the quorum for the newest document until it answers. Called once after the start.
    pub async fn confirm(self: Arc<Self>) {
        let [mut delay, max_delay] = CONFIRM_DELAYS;
        loop {
            let verdict = self.node.propose_once(&agree::Command::Newest).await;
            if let Some(agree::Verdict::Newest(document)) = verdict {
                return self.set_confirmed(document);
            }
            time::sleep(delay).await;
            delay = (delay * 2).min(max_delay);
        }
    }

    fn set_confirmed(&self, document: Option<agree::Document>) {
        let version = document.as_ref().map_or(0, |document| document.version);
        log_event!(self.node.log(), Event::DocumentConfirmed, "version" => version,
            "known" => self.node.documents().version());
        if let Some(document) = document {
            self.node.documents().install(document);
        }
        self.confirmed.send_replace(Some(version));
    }

    /// The text of the newest document by a read through the quorum. `None`: there is no document,
    /// or no quorum answered in time.
    pub async fn newest(&self) -> Option<Bytes> {
        let newest = agree::Command::Newest;
        match self.node.propose(newest, QUORUM_TIMEOUT).await {
            agree::Verdict::Newest(Some(document)) => document::unpack(&document.packed).ok(),
            _ => None,
        }
    }
}
