//! The configuration as one published document: changes and reads by operators.

use std::time::Duration;

use bytes::Bytes;

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
