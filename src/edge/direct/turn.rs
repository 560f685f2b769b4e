//! The queue of long prompts that wait for their turn.

use std::sync::Arc;

use super::Direct;
use super::context::Context;
use crate::direct::load;
use crate::direct::place;
use crate::direct::waiting;
use crate::edge::event::Event;
use crate::log_event;

/// The place of a long prompt in the queue. Dropping it leaves the queue.
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

    /// Whether no other prompt in the queue goes first.
    pub(super) fn is_next(&self, context: &Context) -> bool {
        let now = self.direct.node.now();
        let need = context.need();
        let Some(engine) = context
            .engine
            .filter(|engine| place::is_long(engine, &need))
        else {
            return true;
        };
        let state = self.direct.state();
        match self.ticket {
            Some(ticket) => state.loads.is_first(now, ticket, self.rank),
            None => {
                state
                    .loads
                    .ahead(now, context.time_budget().rank(&engine, &need))
                    == 0
            }
        }
    }

    /// Joins the queue, or updates its rank there.
    pub(super) fn wait(&mut self, context: &Context) {
        let Some(engine) = &context.engine else {
            return;
        };
        self.rank = context.time_budget().rank(engine, &context.need());
        let is_new = self.ticket.is_none();
        let mut state = self.direct.state();
        self.ticket = Some(state.loads.enqueue(self.ticket, self.rank));
        let now = self.direct.node.now();
        let ahead = state.loads.ahead(now, self.rank);
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

    /// Its handle among those that wait for their turn. `None`: it does not.
    pub(super) fn ticket(&self) -> Option<load::Ticket> {
        self.ticket
    }

    /// Leaves the queue.
    pub(super) fn leave(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.direct.state().loads.dequeue(ticket);
            self.direct.loads_changed.notify_one();
            self.direct.capacity_changed(waiting::Source::Here);
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.leave();
    }
}
