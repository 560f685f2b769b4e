//! Attempts that another one follows because their servers are silent or slow. They stay open: a
//! server that is sound may go on before the next attempt gives a response.

use std::future::Future;
use std::pin::Pin;
use std::task;

use super::attempt;
use crate::direct::register;
use crate::direct::retry;

/// The rest of an attempt that was sent. Dropping it cancels it.
pub type Answering = Pin<Box<dyn Future<Output = attempt::Answered> + Send>>;

/// An attempt in progress.
pub struct Attempt {
    /// The server that it was sent to.
    pub server: register::Record,
    /// The rest of it.
    pub answering: Answering,
}

/// An attempt that ended while another one was in progress.
pub struct Ended {
    /// The server that it was sent to.
    pub server: register::Record,
    /// The response, or why there is none.
    pub outcome: Result<attempt::Response, attempt::Failure>,
}

/// All attempts of a request that others follow.
#[derive(Default)]
pub struct Attempts(Vec<Attempt>);

impl Attempts {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn push(&mut self, attempt: Attempt) {
        self.0.push(attempt);
    }

    /// Waits until one of them ends, and removes it. Without any it never returns. Cancel safe.
    pub async fn next(&mut self) -> Ended {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }

    fn poll_next(&mut self, cx: &mut task::Context<'_>) -> task::Poll<Ended> {
        for at in 0..self.0.len() {
            if let task::Poll::Ready(answered) = self.0[at].answering.as_mut().poll(cx) {
                let attempt = self.0.swap_remove(at);
                return task::Poll::Ready(Ended {
                    server: attempt.server,
                    outcome: answered.outcome,
                });
            }
        }
        task::Poll::Pending
    }
}

/// How an attempt went on.
pub enum Outcome {
    /// It gave a response.
    Answered(attempt::Response),
    /// It failed.
    Failed(attempt::Failure),
    /// Its server is silent or slow: another attempt may follow, which has been taken from the
    /// budget for retries.
    Left(retry::Failure, Attempt),
}
