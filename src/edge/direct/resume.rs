//! Reads a stream to its end, at whichever server it goes on.

use std::sync::Arc;

use tokio::time;

use super::Direct;
use super::attempt;
use super::context::Context;
use super::cut;
use super::stream;
use super::suspicion;
use crate::direct::deadline;
use crate::direct::register;
use crate::direct::retry;
use crate::edge::event::Event;
use crate::log_event;

/// Where the events of a stream come from.
pub(super) struct Source {
    reader: Box<stream::Reader>,
    server: register::Record,
    /// When reading ends after the deadline of the request has passed. `None`: it has not.
    drains_until: Option<time::Instant>,
}

impl From<Box<stream::Reader>> for Source {
    fn from(reader: Box<stream::Reader>) -> Self {
        let server = reader.server.clone();
        Self {
            reader,
            server,
            drains_until: None,
        }
    }
}

/// What came first after a stream broke off, or should leave its server.
enum Resumed {
    /// Events from another server, and the reader of the rest.
    Elsewhere(stream::Chunk, Box<stream::Reader>),
    /// Its own server went on.
    Here(stream::Next),
    /// No other server took it. Its own may still go on.
    Open,
    /// No other server took it, for this reason, and its own has ended.
    Failed(cut::Reason),
}

/// The end of a stream that broke off.
pub(super) struct Broken {
    /// Why it broke off.
    pub(super) cause: retry::Failure,
    /// Why it was not resumed.
    pub(super) unresumed: cut::Reason,
}

impl Direct {
    /// The next events of a stream, `None` at its end. `after`: id of the last event passed on. A
    /// stream that breaks off is resumed at another server. One whose server is silent or slow is
    /// also asked for elsewhere, and whichever server goes on first is read from then on.
    ///
    /// # Errors
    ///
    /// Why the stream broke off, if it can't be resumed.
    pub(super) async fn next_events(
        self: &Arc<Self>,
        context: &mut Context,
        source: &mut Source,
        after: Option<&str>,
    ) -> Result<Option<stream::Chunk>, Broken> {
        let deadline = time::Instant::from_std(context.deadline);
        loop {
            let rest = context.rest(&self.state().writing);
            let timeouts = deadline::Silence {
                probe_after: deadline::PROBE_AFTER,
                move_after: deadline::stall_timeout(&context.route, rest),
            };
            let Source {
                reader,
                server,
                drains_until,
            } = source;
            let reads_until = drains_until.unwrap_or(deadline);
            let left = self.left(context, server, timeouts);
            let cause = tokio::select! {
                biased;
                next = time::timeout_at(reads_until, reader.next()) => match next {
                    Ok(stream::Next::Chunk(chunk)) => return Ok(Some(chunk)),
                    Ok(stream::Next::End) => return Ok(None),
                    Ok(stream::Next::Lost(cause)) => cause,
                    Err(_) if drains_until.is_none() => {
                        *drains_until = Some(time::Instant::now() + deadline::DRAIN);
                        continue;
                    }
                    Err(_) => {
                        let (cause, unresumed) = (retry::Failure::Late, cut::Reason::Late);
                        return Err(Broken { cause, unresumed });
                    }
                },
                cause = left, if after.is_some() => cause,
            };
            match self.resume_in_time(context, source, &cause, after).await {
                Resumed::Elsewhere(chunk, reader) => {
                    *source = reader.into();
                    return Ok(Some(chunk));
                }
                Resumed::Here(stream::Next::Chunk(chunk)) => return Ok(Some(chunk)),
                Resumed::Here(stream::Next::End) => return Ok(None),
                Resumed::Here(stream::Next::Lost(_)) | Resumed::Open => {}
                Resumed::Failed(unresumed) => return Err(Broken { cause, unresumed }),
            }
        }
    }

    /// [`Self::resume`], stopped at the deadline or when this process exits.
    async fn resume_in_time(
        self: &Arc<Self>,
        context: &mut Context,
        source: &mut Source,
        cause: &retry::Failure,
        after: Option<&str>,
    ) -> Resumed {
        let deadline = time::Instant::from_std(context.deadline);
        let lifetime = context.lifetime.clone();
        let unresumed = tokio::select! {
            biased;
            resumed = time::timeout_at(deadline, self.resume(context, source, cause, after)) => {
                if let Ok(resumed) = resumed {
                    context.open_at.clear();
                    return resumed;
                }
                cut::Reason::Late
            }
            () = lifetime.expired() => cut::Reason::Ending,
        };
        context.open_at.clear();
        if is_open(cause) {
            return Resumed::Open;
        }
        Resumed::Failed(unresumed)
    }

    /// Resumes a stream at another server after its last complete event, unless its own server goes
    /// on before.
    async fn resume(
        self: &Arc<Self>,
        context: &mut Context,
        source: &mut Source,
        cause: &retry::Failure,
        after: Option<&str>,
    ) -> Resumed {
        let Source { reader, server, .. } = source;
        match cause {
            retry::Failure::Silent => {
                self.pause_server(&server.life, "silent midway");
                self.watch_silence(suspicion::Run::new(context), server);
            }
            retry::Failure::Slow => {}
            _ => self.check_after_disconnect(suspicion::Run::new(context), server.clone()),
        }
        context.failed_servers.push(server.life.clone());
        let mut is_open = is_open(cause);
        let Some(after) = after else {
            return Resumed::Failed(cut::Reason::NoEventId);
        };
        if is_open {
            context.open_at.push(server.life.clone());
        } else if let Err(denial) = self.may_retry(context, cause) {
            return Resumed::Failed(cut::Reason::Denied(denial));
        }
        let run = suspicion::Run::new(context);
        let first = {
            let attempts = self.attempt_until_done(context, Some(after));
            tokio::pin!(attempts);
            loop {
                tokio::select! {
                    biased;
                    next = reader.next(), if is_open => match next {
                        stream::Next::Lost(_) => {
                            is_open = false;
                            self.check_after_disconnect(run.clone(), server.clone());
                        }
                        next => break Err(next),
                    },
                    response = &mut attempts => break Ok(response),
                }
            }
        };
        match first {
            Err(next) => {
                self.record_success(&server.life);
                Resumed::Here(next)
            }
            Ok(Ok(attempt::Response::Stream { first, reader, .. })) => {
                log_event!(self.node.log(), Event::StreamResumed, "request" => &context.request.id,
                    "server" => &reader.server.life, "after" => after, "cause" => format!("{cause:?}"));
                Resumed::Elsewhere(first, reader)
            }
            Ok(_) if is_open => Resumed::Open,
            Ok(Ok(attempt::Response::Complete(_))) => Resumed::Failed(cut::Reason::NoStream),
            Ok(Err(failure)) => Resumed::Failed(cut::Reason::AttemptFailed(failure.cause)),
        }
    }
}

/// Whether the server that a stream should leave may still go on.
fn is_open(cause: &retry::Failure) -> bool {
    matches!(cause, retry::Failure::Silent | retry::Failure::Slow)
}
