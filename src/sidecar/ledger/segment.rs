//! Segments of prompts that are larger than one engine.
//!
//! A segment is an attempt that is reserved like a run, prefilled on [`run::Call::Hold`], and then
//! held: its memory is taken until it is cancelled, its deadline passes, or its entry stays
//! silent. The segment of the engine that answers keeps room for the final run besides.

use std::time::Duration;

use super::Action;
use super::LEAVING_GRACE;
use super::Ledger;
use super::Phase;
use super::Record;
use super::Stream;
use crate::wire::id;
use crate::wire::outcome::Cause;
use crate::wire::run;

/// What an attempt is to a prompt larger than one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Nothing: an ordinary run, or one that found room for itself.
    Run,
    /// The final run, in the room that a segment kept for it.
    Covered,
    /// A segment.
    Segment {
        /// Tokens kept for the final run. Invariant: part of the record's cost; 0 once the final
        /// run has them.
        room: u64,
        /// Whether the engine holds it.
        held: bool,
    },
}

impl Role {
    /// Of the work of an offer.
    pub fn of(work: &run::Work) -> Self {
        match work {
            run::Work::Segment { room, .. } => Self::Segment {
                room: *room,
                held: false,
            },
            run::Work::Prompt { .. } | run::Work::Http { .. } => Self::Run,
        }
    }

    /// Whether it is a segment.
    pub fn is_segment(self) -> bool {
        matches!(self, Self::Segment { .. })
    }
}

impl Record {
    /// Whether it is a segment that is held.
    pub(super) fn is_held(&self) -> bool {
        matches!(self.role, Role::Segment { held: true, .. })
    }

    /// Whether it takes a slot: a segment that is held needs none, but for the final run's.
    pub(super) fn has_slot(&self) -> bool {
        !matches!(
            self.role,
            Role::Segment {
                room: 0,
                held: true
            }
        )
    }

    /// Whether it waits for segments on other engines: no prefill of it is near.
    pub(super) fn waits(&self) -> bool {
        self.role.is_segment() && matches!(self.phase, Phase::Filling | Phase::Reserved)
    }

    /// How it is stopped.
    pub(super) fn halt(&self, attempt: id::Attempt) -> Action {
        if self.role.is_segment() {
            Action::Release(attempt)
        } else {
            Action::Stop(attempt.to_string())
        }
    }
}

impl Ledger {
    /// Starts the prefill of a reserved segment.
    pub(super) fn hold(
        &mut self,
        now: Duration,
        stream: Stream,
        attempt: id::Attempt,
        context: Vec<run::Context>,
        out: &mut Vec<Action>,
    ) {
        let is_late = self.left.is_some_and(|left| now >= left + LEAVING_GRACE);
        let Some(record) = self.records.get_mut(&attempt) else {
            let reply = match self.tombstones.outcome(attempt) {
                Some(ran) => self.buried(attempt, ran),
                None => run::Reply::Unknown(attempt),
            };
            return out.push(Action::Reply(stream, reply));
        };
        if record.phase != Phase::Reserved || !record.role.is_segment() {
            return;
        }
        if is_late {
            let reply = self.withdraw(attempt, Cause::Leaving, "left before its start", out);
            return out.push(Action::Reply(stream, reply));
        }
        record.phase = Phase::Running;
        record.stream = Some(stream);
        out.push(Action::Hold(attempt, context));
        out.push(Action::Reply(stream, run::Reply::Started(attempt)));
        out.push(Action::Attach(stream, attempt, 0));
    }

    /// The engine holds a segment.
    pub(super) fn held(&mut self, attempt: id::Attempt) {
        self.refused = None;
        if let Some(record) = self.records.get_mut(&attempt) {
            record.begun = true;
            if let Role::Segment { held, .. } = &mut record.role {
                *held = true;
            }
        }
    }

    /// Tokens that a segment of the same request keeps for a final run, if they are enough; they
    /// are the run's from here on. What is covered was admitted with its segment, so neither a
    /// drain nor others in the slots stop it.
    pub(super) fn cover(&mut self, now: Duration, offer: &run::Offer) -> Option<u64> {
        let run::Work::Prompt { context, .. } = &offer.work else {
            return None;
        };
        if context.is_empty() || offer.remaining_ms == 0 || (offer.start && !offer.repeatable) {
            return None;
        }
        let backend = self.present(now)?;
        let cost = backend.capacity.cost(&offer.work);
        let request = offer.attempt.request;
        for (attempt, record) in &mut self.records {
            if attempt.request != request || record.phase != Phase::Running {
                continue;
            }
            if let Role::Segment { room, held: true } = &mut record.role
                && *room >= cost
            {
                let room = std::mem::take(room);
                record.cost = record.cost.saturating_sub(room);
                return Some(room);
            }
        }
        None
    }
}
