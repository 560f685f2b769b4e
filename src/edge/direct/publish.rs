//! The configuration as one published document: changes and reads by operators.

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

/// Time for a change or a read to pass the quorum. Whoever asks turns to another process after
/// a second.
const TIMEOUT: Duration = Duration::from_millis(900);

/// Pauses before a quorum is asked again which document is the newest, doubled from the first to
/// the last: a restart of the whole has a leader within half a second, and where control is
/// gone each process calls it once a second.
const CONFIRM_PAUSES: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(1)];

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Published {
    /// This version or a higher one is durable at a quorum.
    Held,
    /// It has findings, and is not in force.
    Invalid(Vec<catalog::Finding>),
    /// Not known: it may be sent again.
    Unknown,
}

impl Direct {
    /// Publishes a document. `read` checks it.
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
            // What is known here is durable at a quorum, and stays.
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
        match self.node.propose(command, TIMEOUT).await {
            agree::Verdict::Done { .. } => Published::Held,
            _ => Published::Unknown,
        }
    }

    /// Asks a quorum once since the start which document is the newest, until it tells.
    pub async fn confirm(self: Arc<Self>) {
        let [mut pause, most] = CONFIRM_PAUSES;
        loop {
            let told = self.node.propose_once(&agree::Command::Newest).await;
            if let Some(agree::Verdict::Newest(document)) = told {
                return self.confirmed(document);
            }
            time::sleep(pause).await;
            pause = (pause * 2).min(most);
        }
    }

    fn confirmed(&self, document: Option<agree::Document>) {
        let version = document.as_ref().map_or(0, |one| one.version);
        log_event!(self.node.log(), Event::DocumentConfirmed, "version" => version,
            "known" => self.node.documents().version());
        if let Some(document) = document {
            self.node.documents().install(document);
        }
        self.confirmed.send_replace(Some(version));
    }

    /// The text of the newest document, as a quorum knows it. `None`: there is none, or it cannot be known
    /// now which is the newest.
    pub async fn newest(&self) -> Option<Bytes> {
        let newest = agree::Command::Newest;
        match self.node.propose(newest, TIMEOUT).await {
            agree::Verdict::Newest(Some(document)) => document::unpack(&document.packed).ok(),
            _ => None,
        }
    }
}
