//! Why answers were cut, and the ids of cut requests that get no line of their own.

use std::collections::BTreeMap;
use std::sync::Mutex;

use super::progress;
use crate::direct::retry;

/// Ids in one log line of cut requests.
pub const MAX_IDS_PER_LINE: usize = 64;

/// Why a stream that broke off was not resumed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its deadline passed.
    Late,
    /// This process stops.
    Ending,
    /// No event passed on had an id to resume after.
    NoEventId,
    /// No other attempt was allowed.
    Denied(retry::Denial),
    /// The attempt to resume it failed, and no other was allowed.
    AttemptFailed(retry::Failure),
    /// The attempt to resume it got a response that is no stream.
    NoStream,
}

impl Reason {
    /// Name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Ending => "ending",
            Self::NoEventId => "no_event_id",
            Self::Denied(denial) => denial.name(),
            Self::AttemptFailed(_) => "attempt_failed",
            Self::NoStream => "no_stream",
        }
    }

    /// How the attempt to resume it failed. Empty if there was none.
    pub fn failure(&self) -> String {
        match self {
            Self::AttemptFailed(failure) => format!("{failure:?}"),
            Self::Late | Self::Ending | Self::NoEventId | Self::Denied(_) | Self::NoStream => {
                String::new()
            }
        }
    }
}

/// Ids of cut requests whose own lines the rate limit of the log suppressed, by stage. Fewer than
/// [`MAX_IDS_PER_LINE`] of each stage.
#[derive(Debug, Default)]
pub struct Gathered(Mutex<BTreeMap<progress::Stage, Vec<String>>>);

impl Gathered {
    /// Adds the id of a request. Returns those of its stage once they fill a line.
    pub fn add(&self, stage: progress::Stage, id: &str) -> Option<Vec<String>> {
        let mut gathered = self.0.lock().expect("gathered ids lock");
        let ids = gathered.entry(stage).or_default();
        ids.push(id.to_owned());
        (ids.len() >= MAX_IDS_PER_LINE).then(|| std::mem::take(ids))
    }

    /// Takes all ids gathered since the last line.
    pub fn take(&self) -> Vec<(progress::Stage, Vec<String>)> {
        let mut gathered = self.0.lock().expect("gathered ids lock");
        let taken = std::mem::take(&mut *gathered).into_iter();
        taken.filter(|(_, ids)| !ids.is_empty()).collect()
    }
}
