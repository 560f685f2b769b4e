//! Decides and logs whether a request leaves a backend server from which nothing comes.

use std::time::Duration;
use std::time::Instant;

use super::Direct;
use super::context::Context;
use super::probe;
use crate::direct::register;
use crate::direct::retry;
use crate::edge::event::Event;
use crate::log_event;

/// What is known of the server that a request waits for.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// When anything of the response was last read, or when the request was sent.
    pub since: Instant,
    /// The last probe since then.
    pub probed: probe::Outcome,
}

impl Silence {
    /// A silence that begins now.
    pub fn start() -> Self {
        Self {
            since: Instant::now(),
            probed: probe::Outcome::None,
        }
    }

    fn duration(&self) -> Duration {
        self.since.elapsed()
    }
}

impl Direct {
    /// Whether a request may leave the server that it waits for. Takes one retry from the budget if
    /// so. Otherwise the request keeps waiting, as a response may still come, also if no other
    /// server could complete it by its deadline: a move would only load that server.
    pub(super) fn may_move(
        &self,
        context: &Context,
        server: &register::Instance,
        silence: Silence,
    ) -> Result<(), retry::Denial> {
        let cause = retry::Failure::Slow;
        let history = context.history.beside_open();
        let in_time = context.can_still_end();
        let allowed = retry::check(&context.route, &cause, history, context.time_left())
            .and_then(|()| in_time.then_some(()).ok_or(retry::Denial::Time))
            .and_then(|()| self.spend_retry(&context.service));
        if self.log_limiter.allow(Event::ServerSilent, self.node.now()) {
            let (decision, why) = match allowed {
                Ok(()) => ("leave", ""),
                Err(denial) => ("stay", denial.name()),
            };
            let stage = context.progress.lock().stage.name();
            let rest = context.rest(&self.state().writing);
            log_event!(self.node.log(), Event::ServerSilent, "request" => &context.request.id,
                "server" => server, "stage" => stage, "silent_ms" => silence.duration().as_millis() as u64,
                "probe" => silence.probed.name(), "decision" => decision, "why" => why,
                "ran" => context.history.ran, "tried" => context.history.tried,
                "left_ms" => rest.left.as_millis() as u64, "rest_ms" => rest.writing.as_millis() as u64,
                "slack_ms" => rest.slack().as_millis() as u64);
        }
        allowed
    }
}
