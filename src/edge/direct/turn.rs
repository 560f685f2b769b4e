//! The line of long prompts that wait for their turn.

use std::sync::Arc;
use std::time::Duration;

use super::Direct;
use super::context::Context;
use crate::direct::load;
use crate::direct::place;
use crate::edge::event::Event;
use crate::log_event;

/// Pause before a prompt that waits for its turn looks again: a third of the shortest part that
/// is worth a turn.
const TURN_PAUSE: Duration = Duration::from_millis(15);

/// Pause before a prompt looks again for memory: about two passes of an engine. Looking weighs all
/// servers, which on the smallest machines costs more than the wait gains.
const MEMORY_PAUSE: Duration = Duration::from_millis(100);

/// A long prompt's place in the line of those that wait, given back when it is dropped.
pub(super) struct Turn {
    direct: Arc<Direct>,
    ticket: Option<load::Ticket>,
    rank: u32,
}

impl Turn {
    pub(super) fn new(direct: &Arc<Direct>) -> Self {
        Self {
            direct: Arc::clone(direct),
            ticket: None,
            rank: 0,
        }
    }

    /// Whether none that waits goes before it.
    pub(super) fn has_come(&self, context: &Context) -> bool {
        let now = self.direct.node.now();
        let need = context.need();
        let Some(engine) = context.engine.filter(|one| place::is_long(one, &need)) else {
            return true;
        };
        let state = self.direct.state();
        match self.ticket {
            Some(ticket) => state.board.is_first(now, ticket, self.rank),
            None => state.board.ahead(now, context.wait().rank(&engine, &need)) == 0,
        }
    }

    /// Takes its place, or keeps it with a better rank.
    pub(super) fn wait(&mut self, context: &Context) {
        let Some(engine) = &context.engine else {
            return;
        };
        self.rank = context.wait().rank(engine, &context.need());
        let is_new = self.ticket.is_none();
        let mut state = self.direct.state();
        self.ticket = Some(state.board.enqueue(self.ticket, self.rank));
        let now = self.direct.node.now();
        let ahead = state.board.ahead(now, self.rank);
        drop(state);
        if !is_new {
            return;
        }
        self.direct.loads_changed.notify_one();
        if self.direct.log_limiter.allow(Event::RequestWaits, now) {
            log_event!(self.direct.node.log(), Event::RequestWaits, "request" => &context.request.id,
                "prompt" => context.need().prompt, "rank" => self.rank, "ahead" => ahead,
                "left_ms" => context.time_left().as_millis() as u64);
        }
    }

    /// Time until it looks again.
    pub(super) fn pause(&self) -> Duration {
        if self.ticket.is_some() {
            TURN_PAUSE
        } else {
            MEMORY_PAUSE
        }
    }

    /// Gives its place in the line back.
    pub(super) fn leave(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.direct.state().board.dequeue(ticket);
            self.direct.loads_changed.notify_one();
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.leave();
    }
}
