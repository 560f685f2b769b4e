//! One attempt of a request at one backend server, with those that help it read.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::response;
use http_body_util::Full;
use hyper::body;
use tokio::time;

use super::Direct;
use super::choose::Chosen;
use super::course::Course;
use super::dialect;
use super::pool;
use super::progress;
use super::reserve;
use super::stream;
use crate::direct::catalog;
use crate::direct::patience;
use crate::direct::quota;
use crate::direct::register;
use crate::direct::tally;
use crate::direct::verdict;
use crate::edge::event::Event;
use crate::log_event;

/// Largest answer that is not a stream of events: it is held until it is whole.
const MOST_WHOLE: usize = 16 << 20;

/// How long an unsafe request's connection may have been idle: none, since a server may close
/// it unseen, and then nobody knows whether the request ran.
const KEPT_FOR_UNSAFE: bool = false;

/// Pause before it is looked again whether an answer comes before this process ends.
const LIFE_POLL: Duration = Duration::from_millis(100);

/// Why a sent request was given up on: its server answers nothing, or not this request.
const SILENT: &str = "silent";
const HUNG_UP: &str = "hung";

/// A whole answer that is not a stream of events.
pub struct Whole {
    /// Its head.
    pub head: response::Parts,
    /// Its body.
    pub body: Bytes,
}

/// What an attempt came to.
pub enum Got {
    /// A whole answer.
    Whole(Whole),
    /// A stream, with its first events.
    Stream {
        /// Its head.
        head: Box<response::Parts>,
        /// The first events.
        first: stream::Piece,
        /// The rest.
        reader: Box<stream::Reader>,
    },
}

/// Why an attempt gave nothing to pass on, and what could be passed on if it was the last.
pub struct Missed {
    /// How it ended.
    pub end: verdict::End,
    /// The server's own failure.
    pub answer: Option<Whole>,
}

impl From<verdict::End> for Missed {
    fn from(end: verdict::End) -> Self {
        Self { end, answer: None }
    }
}

impl Direct {
    /// Makes one attempt.
    pub async fn attempt(
        self: &Arc<Self>,
        course: &mut Course,
        after: Option<&str>,
    ) -> Result<Got, Missed> {
        let chosen = match self.choose_in_turn(course).await {
            Ok(chosen) => chosen,
            Err(end) => {
                course.past.tried += 1;
                return Err(end.into());
            }
        };
        let server = chosen.server.clone();
        course.past.tried += 1;
        let hopeless = self.hopeless(course, chosen.first_ms, after);
        let outcome = tokio::select! {
            biased;
            outcome = self.attempt_at(course, chosen, after) => outcome,
            () = hopeless => Err(course.end_here().into()),
        };
        if let Err(missed) = &outcome {
            self.judge(course, &server, &missed.end);
            course.tried.push(server.life);
        } else {
            let now = self.node.now();
            self.state().healths.answered(now, &server.life, true);
        }
        outcome
    }

    /// Ends when a request that may be repeated, and of which its caller has nothing yet, would
    /// not be answered before this process ends. Its caller repeats it elsewhere in time.
    fn hopeless(
        &self,
        course: &Course,
        first_ms: f64,
        after: Option<&str>,
    ) -> impl Future<Output = ()> + use<> {
        let is_sized = course.engine.is_some() && course.ask.size.is_some();
        let may_repeat = is_sized && course.route.repeatable() && after.is_none();
        let first = Instant::now() + patience::millis(first_ms).min(course.left());
        // Its prompt is being read: it is only given up if it is more likely cut than answered.
        let writing = course.mean_writing(&self.state().writing);
        let lifetime = course.lifetime.clone();
        async move {
            if !may_repeat {
                return std::future::pending().await;
            }
            lifetime.stopping().await;
            loop {
                let first = first.saturating_duration_since(Instant::now());
                if lifetime
                    .remaining()
                    .is_some_and(|left| left < first + writing)
                {
                    return;
                }
                time::sleep(LIFE_POLL).await;
            }
        }
    }

    async fn attempt_at(
        self: &Arc<Self>,
        course: &mut Course,
        chosen: Chosen,
        after: Option<&str>,
    ) -> Result<Got, Missed> {
        let server = chosen.server.clone();
        let progress = course.progress.clone();
        progress.reach_at(progress::Stage::Reserving, &server.life);
        let memory = self.reserve(course, &chosen).await?;
        progress.reach(progress::Stage::Connecting);
        let kept = course.route.repeatable() || KEPT_FOR_UNSAFE;
        let conn = self.pool.conn(&server.life, server.addr, kept).await;
        let mut conn = conn.map_err(|_| verdict::End::Unsent)?;
        let request = self.request(course, &chosen, memory.as_ref(), after);
        let wait = doubt(course, chosen.first_ms);
        progress.reach(progress::Stage::Sent);
        let sent_at = self.sent(&server.life, tally::Kind::Request);
        let sent = {
            let sending = conn.send(request);
            tokio::pin!(sending);
            tokio::select! {
                sent = &mut sending => sent,
                why = self.give_up(course, &server, wait) => match why {
                    Some(why) => Err(pool::Failure::Sent(why.to_owned())),
                    None => sending.await,
                },
            }
        };
        let response = match sent {
            Ok(response) => response,
            Err(pool::Failure::Unsent(_)) => return Err(verdict::End::Unsent.into()),
            Err(pool::Failure::Sent(why)) => {
                course.past.ran += 1;
                return Err(lost(&why).into());
            }
        };
        let (head, body) = response.into_parts();
        let answer = self.dialect.answer(&head);
        // Another life than the one expected tells nothing of this one.
        if !answer.displaced {
            let source = if answer.sealed {
                quota::Source::Run
            } else {
                quota::Source::Other
            };
            self.take_limit(&server.life, sent_at, &head.headers, source);
        }
        self.take_answer(course, chosen, (conn, memory), head, body, wait)
            .await
    }

    /// Sets aside what a prompt needs of its helpers' memory.
    async fn reserve(
        self: &Arc<Self>,
        course: &Course,
        chosen: &Chosen,
    ) -> Result<Option<reserve::Reservation>, verdict::End> {
        let wanted = chosen.helpers.iter().zip(&chosen.aside);
        let wanted = wanted.filter(|(_, tokens)| **tokens > 0);
        let wanted: Vec<reserve::Wanted> = wanted
            .map(|(server, tokens)| reserve::Wanted {
                server: server.clone(),
                tokens: *tokens,
            })
            .collect();
        if wanted.is_empty() {
            return Ok(None);
        }
        let name = format!("{}-{}", course.ask.id, course.past.tried);
        let memory = reserve::Reservation::take(self, &name, wanted).await;
        // Without it nothing was sent: another may have taken the memory meanwhile.
        memory.map(Some).ok_or(verdict::End::NotRun {
            at_fault: None,
            displaced: false,
        })
    }

    fn request(
        &self,
        course: &Course,
        chosen: &Chosen,
        memory: Option<&reserve::Reservation>,
        after: Option<&str>,
    ) -> http::Request<Full<Bytes>> {
        let helpers: Vec<dialect::Helper> = chosen
            .helpers
            .iter()
            .map(|one| dialect::Helper {
                addr: one.addr,
                ticket: memory
                    .and_then(|memory| memory.ticket(one.addr))
                    .map(str::to_owned),
            })
            .collect();
        let attempt = dialect::Attempt {
            id: &course.ask.id,
            server: &chosen.server,
            left: course.left(),
            workspace: course.workspace.as_deref(),
            priority: course.priority,
            helpers: &helpers,
            after: after.or(course.ask.after.as_deref()),
        };
        let mut request = http::Request::new(Full::new(course.body.clone()));
        *request.method_mut() = course.head.method.clone();
        *request.uri_mut() = origin_form(&course.head.uri);
        *request.headers_mut() = self.dialect.attempt(&course.head, &attempt);
        request
    }

    async fn take_answer(
        self: &Arc<Self>,
        course: &mut Course,
        chosen: Chosen,
        means: (pool::Conn, Option<reserve::Reservation>),
        head: response::Parts,
        body: body::Incoming,
        wait: patience::Doubt,
    ) -> Result<Got, Missed> {
        let answer = self.dialect.answer(&head);
        if answer.not_run || answer.displaced {
            if answer.displaced && answer.at_fault.is_none() {
                self.server_displaced(&chosen.server.life);
            }
            return Err(verdict::End::NotRun {
                at_fault: answer.at_fault,
                displaced: answer.displaced,
            }
            .into());
        }
        course.past.ran += 1;
        let other = answer.id.as_deref().is_some_and(|id| id != course.ask.id);
        let success = head.status.is_success();
        if other || answer.encoded || (success && !answer.sealed) {
            return Err(verdict::End::Broken.into());
        }
        let is_stream = course.route.kind == catalog::Kind::Stream && success;
        let mut reader = stream::Reader::new(self, chosen, means, body, &answer);
        if !is_stream {
            let whole = reader.collect(MOST_WHOLE, course.left()).await;
            let body = whole.ok_or(verdict::End::Broken)?;
            let whole = Whole { head, body };
            return if whole.head.status.is_server_error() {
                let end = verdict::End::Failed;
                let answer = Some(whole);
                Err(Missed { end, answer })
            } else {
                Ok(Got::Whole(whole))
            };
        }
        let next = loop {
            let leaves = || self.may_move(course);
            let got = time::timeout(wait.hung, reader.next(wait.quiet, leaves)).await;
            match got {
                Ok(next) => break next,
                Err(_) if self.had_better_move(course, &reader.server.life) => {
                    return Err(verdict::End::Slow.into());
                }
                Err(_) => {}
            }
        };
        match next {
            stream::Next::Piece(first) => Ok(Got::Stream {
                head: Box::new(head),
                first,
                reader: Box::new(reader),
            }),
            stream::Next::End => {
                let body = Bytes::new();
                Ok(Got::Whole(Whole { head, body }))
            }
            stream::Next::Lost(end) => Err(end.into()),
        }
    }

    /// Ends when a request should leave the server that does not answer it, with the reason; or
    /// `None` if it has to stay.
    async fn give_up(
        &self,
        course: &Course,
        server: &register::Record,
        wait: patience::Doubt,
    ) -> Option<&'static str> {
        let hung = async {
            loop {
                time::sleep(wait.hung).await;
                if self.has_better(course, &server.life) {
                    return;
                }
            }
        };
        let why = tokio::select! {
            () = self.until_unresponsive(server, wait.quiet) => SILENT,
            () = hung => HUNG_UP,
        };
        // It has been sent, so it counts as one that may have run.
        let mut past = course.past;
        past.ran += 1;
        let may = verdict::again(&course.route, &verdict::End::Slow, past, course.left());
        (may && self.spend(&course.service)).then_some(why)
    }

    /// Draws conclusions from an attempt that failed.
    fn judge(self: &Arc<Self>, course: &Course, server: &register::Record, end: &verdict::End) {
        let now = self.node.now();
        self.counts.attempt_failed(&course.service, end_name(end));
        if self.log_limiter.allow(Event::AttemptEnded, now) {
            log_event!(self.node.log(), Event::AttemptEnded, "request" => &course.ask.id,
                "server" => &server.life, "end" => format!("{end:?}"), "ran" => course.past.ran,
                "tried" => course.past.tried, "left_ms" => course.left().as_millis() as u64);
        }
        if verdict::suspects(&course.route, end) {
            self.pause_server_everywhere(&server.life);
        }
        match end {
            verdict::End::Unsent => self.pause_server(&server.life, "no connection"),
            verdict::End::Silent => {
                self.pause_server(&server.life, "silent");
                self.server_died(course.fingerprint, &server.life);
            }
            verdict::End::Broken => self.check_after_disconnect(course.fingerprint, server.clone()),
            verdict::End::Slow | verdict::End::Failed => {
                self.state().healths.answered(now, &server.life, false);
            }
            verdict::End::NotRun { at_fault, .. } => self.pause_helper(server, at_fault.as_deref()),
            verdict::End::Away
            | verdict::End::Limited(_)
            | verdict::End::Late
            | verdict::End::Ending => {}
        }
    }
}

/// How long an attempt waits before it doubts its server.
fn doubt(course: &Course, first_ms: f64) -> patience::Doubt {
    let alone = course.engine.zip(course.ask.size);
    let alone_ms = alone.map_or(0.0, |(engine, size)| engine.read_ms(size.prompt, 1));
    let can_move =
        course.route.repeatable() && course.past.ran + 1 < course.route.most_servers.max(1);
    patience::Doubt::new(&course.route, can_move, (first_ms, alone_ms), course.left())
}

/// What the end of a sent attempt without an answer was.
fn lost(why: &str) -> verdict::End {
    match why {
        SILENT => verdict::End::Silent,
        HUNG_UP => verdict::End::Slow,
        _ => verdict::End::Broken,
    }
}

fn end_name(end: &verdict::End) -> &'static str {
    match end {
        verdict::End::Away => "away",
        verdict::End::Limited(_) => "limited",
        verdict::End::Unsent => "unsent",
        verdict::End::NotRun { .. } => "not_run",
        verdict::End::Broken => "broken",
        verdict::End::Silent => "silent",
        verdict::End::Slow => "slow",
        verdict::End::Failed => "failed",
        verdict::End::Late => "late",
        verdict::End::Ending => "ending",
    }
}

/// Path and query alone, as a server takes them.
fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().map_or("/", |one| one.as_str());
    path.parse().unwrap_or_else(|_| http::Uri::from_static("/"))
}
