//! One attempt of a request at one backend server, with those that help it read.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::request;
use http::response;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body;
use tokio::time;

use super::Direct;
use super::dialect;
use super::pool;
use super::reserve;
use super::stream;
use crate::direct::board;
use crate::direct::catalog;
use crate::direct::model;
use crate::direct::place;
use crate::direct::register;
use crate::direct::verdict;
use crate::edge::event::Event;
use crate::log_event;
use crate::wire::id;

/// Time for a server to answer a question about itself; some round trips between zones.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Silence of a server that serves a request after which it is asked whether it is there.
pub const QUIET: Duration = Duration::from_millis(600);

/// Time between two such questions.
const PROBE_PAUSE: Duration = Duration::from_millis(800);

/// Silence before the first event after which a request goes elsewhere though the server says
/// that it is there: twice the longest pass that placing allows.
const HUNG: Duration = Duration::from_millis(1_200);

/// Least silence between two events after which a stream goes elsewhere though its server is
/// there. Callers wait 2 s at least, and eight times the pause that is still on time.
const STUCK: Duration = Duration::from_millis(1_500);

/// The same in pauses that are still on time: what moves is read again from its beginning.
const STUCK_PAUSES: u32 = 5;

/// Largest answer that is not a stream of events: it is held until it is whole.
const MOST_WHOLE: usize = 16 << 20;

/// Silence of heartbeats after which a server is only used if no other is there.
const UNHEARD: Duration = Duration::from_secs(6);

/// Pause before a prompt that waits for its turn looks again: a third of the shortest part that
/// is worth a turn.
const TURN_PAUSE: Duration = Duration::from_millis(15);

/// Time beyond its own reading that a prompt must have left to be worth sending.
const TURN_LEFT: Duration = Duration::from_millis(300);

/// How long an unsafe request's connection may have been idle: none, since a server may close
/// it unseen, and then nobody knows whether the request ran.
const KEPT_FOR_UNSAFE: bool = false;

/// Why a sent request was given up on: its server answers nothing, or not this request.
const SILENT: &str = "silent";
const HUNG_UP: &str = "hung";

/// A caller's request on its way.
pub struct Course {
    /// What the caller asks.
    pub ask: dialect::Ask,
    /// Its head, as it came.
    pub head: request::Parts,
    /// Its body.
    pub body: Bytes,
    /// Its route.
    pub route: catalog::Route,
    /// Service that the route led to.
    pub service: String,
    /// Time model of that service's engines.
    pub engine: Option<model::Engine>,
    /// Workspace of the caller.
    pub workspace: Option<String>,
    /// Rank.
    pub priority: u8,
    /// When it came.
    pub began: Instant,
    /// When its time is over.
    pub end: Instant,
    /// What it has behind it.
    pub past: verdict::Past,
    /// Servers at which it failed.
    pub tried: Vec<String>,
    /// Equal for equal requests.
    pub fingerprint: id::Fingerprint,
    /// Version of the configuration that it follows.
    pub version: u64,
}

impl Course {
    /// Silence between two events after which it goes elsewhere though its server is there.
    pub fn stuck(&self) -> Duration {
        let pauses = self.route.pause.unwrap_or_default() * STUCK_PAUSES;
        pauses.max(STUCK)
    }

    /// Time that is left.
    pub fn left(&self) -> Duration {
        self.end.saturating_duration_since(Instant::now())
    }
}

/// Where a request goes, if anywhere yet.
enum Choice {
    /// There.
    Now(Box<Chosen>),
    /// It waits for its turn.
    Later,
    /// It waits for memory. Others need not wait for that.
    NoMemory,
    /// No server is known.
    Nowhere,
}

/// A long prompt's place in the line of those that wait, given back when it is dropped.
struct Turn {
    direct: Arc<Direct>,
    ticket: Option<board::Ticket>,
    rank: u32,
}

impl Turn {
    fn new(direct: &Arc<Direct>) -> Self {
        Self {
            direct: Arc::clone(direct),
            ticket: None,
            rank: 0,
        }
    }

    /// Whether none that waits goes before it. Who has not waited yet tries its luck.
    fn has_come(&self, course: &Course) -> bool {
        let now = self.direct.node.now();
        let is_long = course
            .engine
            .is_some_and(|one| place::is_long(&one, &need(course)));
        let (Some(ticket), true) = (self.ticket, is_long) else {
            return true;
        };
        let state = self.direct.state();
        state.board.is_first(now, ticket, self.rank)
    }

    /// Takes its place, or keeps it with a better rank.
    fn wait(&mut self, course: &Course) {
        let Some(engine) = &course.engine else {
            return;
        };
        let waited = course.began.elapsed();
        self.rank = place::rank(engine, &need(course), waited, course.route.objective);
        let is_new = self.ticket.is_none();
        let mut state = self.direct.state();
        self.ticket = Some(state.board.wait(self.ticket, self.rank));
        drop(state);
        if is_new {
            self.direct.loads_changed.notify_one();
        }
    }
}

impl Turn {
    /// Gives its place in the line back.
    fn leave(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.direct.state().board.stop_waiting(ticket);
            self.direct.loads_changed.notify_one();
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.leave();
    }
}

/// A request's place on the board, given back when it is dropped.
pub struct Seat {
    direct: Arc<Direct>,
    ticket: board::Ticket,
}

impl Seat {
    /// The first event came.
    pub fn wrote(&self) {
        self.direct.state().board.wrote(self.ticket);
        self.direct.loads_changed.notify_one();
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let now = self.direct.node.now();
        self.direct.state().board.leave(now, self.ticket);
        self.direct.loads_changed.notify_one();
    }
}

/// Where an attempt goes.
pub struct Chosen {
    /// The server.
    pub server: register::Record,
    /// Servers that help it read.
    pub helpers: Vec<register::Record>,
    /// Tokens of memory to set aside at each of those.
    pub aside: Vec<u64>,
    /// Milliseconds until the first event, as predicted. 0: not predicted.
    pub first_ms: f64,
    /// Its place on the board.
    pub seat: Seat,
}

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
    /// Chooses servers for a request and takes a place on the board there.
    fn choose(self: &Arc<Self>, course: &Course) -> Choice {
        let now = self.node.now();
        let mut state = self.state();
        let records = candidates(&state, now, course);
        if records.is_empty() {
            return Choice::Nowhere;
        }
        let servers = self.servers(&mut state, now, &records);
        let any_waits = state.board.any_waits(now);
        let Some(place) = locate(course, &servers, any_waits) else {
            return Choice::NoMemory;
        };
        if place.delay_ms > 0.0 {
            return Choice::Later;
        }
        let prompt = course.ask.size.map_or(0, |size| size.prompt);
        let part = |(at, memory): (usize, u64)| board::Part {
            server: servers[at].key,
            read_ms: place.part_ms,
            memory,
        };
        let aside: u64 = place.aside.iter().sum();
        let own = (prompt + expected_answer(course)).saturating_sub(aside);
        let helpers = place
            .helpers
            .iter()
            .copied()
            .zip(place.aside.iter().copied());
        let chosen = std::iter::once((place.first, own)).chain(helpers);
        let claim = board::Claim {
            parts: chosen.map(part).collect(),
            prompt,
            answer: expected_answer(course),
            bound_ms: course.route.pause.map_or(0, |one| one.as_millis() as u32),
            is_long: course
                .engine
                .is_some_and(|one| place::is_long(&one, &need(course))),
            reads: (now, now + millis(place.first_ms)),
        };
        let ticket = state.board.enter(now, claim);
        drop(state);
        self.loads_changed.notify_one();
        let seat = Seat {
            direct: Arc::clone(self),
            ticket,
        };
        let load = servers[place.first].load;
        if self.lines.allow(Event::RequestPlaced, now) {
            log_event!(self.node.log(), Event::RequestPlaced, "request" => &course.ask.id,
                "route" => &course.route.name, "config" => course.version,
                "server" => &records[place.first].id, "prompt" => prompt, "aside" => place.aside.iter().sum::<u64>(),
                "helpers" => place.helpers.iter().map(|at| records[*at].id.as_str()).collect::<Vec<_>>().join(","), "first_ms" => place.first_ms as u64,
                "writers" => load.writers, "readers" => load.readers, "backlog_ms" => load.backlog_ms,
                "tried" => course.past.tried, "waited_ms" => course.began.elapsed().as_millis() as u64,
                "left_ms" => course.left().as_millis() as u64);
        }
        Choice::Now(Box::new(Chosen {
            server: records[place.first].clone(),
            helpers: place
                .helpers
                .iter()
                .map(|at| records[*at].clone())
                .collect(),
            aside: place.aside,
            first_ms: place.first_ms,
            seat,
        }))
    }

    /// What is known of servers, for placing.
    fn servers(
        &self,
        state: &mut super::State,
        now: Duration,
        records: &[register::Record],
    ) -> Vec<place::Server> {
        let zone = &self.node.settings().zone;
        let view = state.board.view(now);
        let server = |one: &register::Record| {
            let key = board::server_key(&one.id);
            place::Server {
                id: one.id.clone(),
                key,
                near: one.zone == *zone,
                slots: one.slots,
                load: view.get(&key).copied().unwrap_or_default(),
                pace: state.healths.pace(&one.id),
                failing: state.healths.failing(now, &one.id),
            }
        };
        records.iter().map(server).collect()
    }

    /// Chooses servers for a request, once it is its turn and there is memory for it.
    async fn choose_in_turn(self: &Arc<Self>, course: &Course) -> Option<Chosen> {
        let mut turn = Turn::new(self);
        loop {
            if turn.has_come(course) {
                match self.choose(course) {
                    Choice::Now(chosen) => return Some(*chosen),
                    Choice::Nowhere => return None,
                    Choice::Later => turn.wait(course),
                    Choice::NoMemory => turn.leave(),
                }
            } else {
                turn.wait(course);
            }
            if !may_wait(course) {
                return None;
            }
            time::sleep(TURN_PAUSE).await;
        }
    }

    /// Makes one attempt.
    pub async fn attempt(
        self: &Arc<Self>,
        course: &mut Course,
        after: Option<&str>,
    ) -> Result<Got, Missed> {
        let Some(chosen) = self.choose_in_turn(course).await else {
            course.past.tried += 1;
            return Err(verdict::End::Unsent.into());
        };
        let server = chosen.server.clone();
        course.past.tried += 1;
        let outcome = self.attempt_at(course, chosen, after).await;
        if let Err(missed) = &outcome {
            self.judge(course, &server, &missed.end);
            course.tried.push(server.id);
        } else {
            let now = self.node.now();
            self.state().healths.answered(now, &server.id, true);
        }
        outcome
    }

    async fn attempt_at(
        self: &Arc<Self>,
        course: &mut Course,
        chosen: Chosen,
        after: Option<&str>,
    ) -> Result<Got, Missed> {
        let server = chosen.server.clone();
        let memory = self.reserve(course, &chosen).await?;
        let kept = course.route.repeatable() || KEPT_FOR_UNSAFE;
        let conn = self.pool.conn(&server.id, server.addr, kept).await;
        let mut conn = conn.map_err(|_| verdict::End::Unsent)?;
        let request = self.request(course, &chosen, memory.as_ref(), after);
        let wait = Wait::new(course, chosen.first_ms);
        let sent = {
            let sending = conn.send(request);
            tokio::pin!(sending);
            tokio::select! {
                sent = &mut sending => sent,
                why = self.give_up(course, &server, wait) => match why {
                    Some(why) => Err(pool::Lost::Sent(why.to_owned())),
                    None => sending.await,
                },
            }
        };
        let response = match sent {
            Ok(response) => response,
            Err(pool::Lost::Unsent(_)) => return Err(verdict::End::Unsent.into()),
            Err(pool::Lost::Sent(why)) => {
                course.past.ran += 1;
                return Err(lost(&why).into());
            }
        };
        let (head, body) = response.into_parts();
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
        wait: Wait,
    ) -> Result<Got, Missed> {
        let answer = self.dialect.answer(&head);
        if answer.not_run || answer.displaced {
            if answer.displaced && answer.at_fault.is_none() {
                self.displaced(&chosen.server.id);
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
        let leaves = || self.may_move(course);
        let got = time::timeout(wait.hung, reader.next(wait.quiet, leaves)).await;
        let next = match got {
            Ok(next) => next,
            Err(_) if self.may_move(course) => return Err(verdict::End::Slow.into()),
            Err(_) => reader.next(wait.quiet, || false).await,
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
        wait: Wait,
    ) -> Option<&'static str> {
        let why = tokio::select! {
            () = self.dead(server, wait.quiet) => SILENT,
            () = time::sleep(wait.hung) => HUNG_UP,
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
        self.counts.attempt(&course.service, end_name(end));
        if self.lines.allow(Event::AttemptEnded, now) {
            log_event!(self.node.log(), Event::AttemptEnded, "request" => &course.ask.id,
                "server" => &server.id, "end" => format!("{end:?}"), "ran" => course.past.ran,
                "tried" => course.past.tried, "left_ms" => course.left().as_millis() as u64);
        }
        match end {
            verdict::End::Unsent => self.missed(&server.id, "no connection"),
            verdict::End::Silent => {
                self.missed(&server.id, "silent");
                self.died(course.fingerprint, &server.id);
            }
            verdict::End::Broken => self.look_after(course.fingerprint, server.clone()),
            verdict::End::Slow | verdict::End::Failed => {
                self.state().healths.answered(now, &server.id, false);
            }
            verdict::End::NotRun { at_fault, .. } => self.blame(server, at_fault.as_deref()),
            verdict::End::Late => {}
        }
    }

    /// Another server than the one asked was at fault: it could not help.
    fn blame(&self, server: &register::Record, at_fault: Option<&str>) {
        let Some(addr) = at_fault.and_then(|one| one.parse().ok()) else {
            return;
        };
        if addr == server.addr {
            return;
        }
        let helper = self.state().register.at(addr).map(|one| one.id.clone());
        if let Some(helper) = helper {
            self.missed(&helper, "could not help");
        }
    }

    /// After a connection broke: asks whether the server is still there.
    pub(super) fn look_after(
        self: &Arc<Self>,
        fingerprint: id::Fingerprint,
        server: register::Record,
    ) {
        let direct = Arc::clone(self);
        tokio::spawn(async move {
            if direct.probe(&server).await.is_none() {
                direct.missed(&server.id, "connection broken, and no answer since");
                direct.died(fingerprint, &server.id);
            } else {
                let now = direct.node.now();
                direct.state().healths.answered(now, &server.id, false);
            }
        });
    }

    /// Ends when the server answers no question about itself.
    pub(super) async fn dead(&self, server: &register::Record, quiet: Duration) {
        time::sleep(quiet).await;
        while self.probe(server).await.is_some() {
            time::sleep(PROBE_PAUSE).await;
        }
    }

    /// Asks a server about itself. `None`: it does not answer.
    pub(super) async fn probe(&self, server: &register::Record) -> Option<dialect::Report> {
        let asking = async {
            let mut conn = pool::Conn::open(server.addr).await.ok()?;
            let request = http::Request::get(self.dialect.report_path())
                .header(http::header::HOST, server.addr.to_string())
                .body(Full::new(Bytes::new()))
                .ok()?;
            let response = conn.send(request).await.ok()?;
            let body = Limited::new(response.into_body(), 64 << 10);
            let body = body.collect().await.ok()?.to_bytes();
            Some(self.dialect.report(&body).unwrap_or_default())
        };
        let report = time::timeout(PROBE_TIMEOUT, asking).await.ok()??;
        if report.pace > 0.0 {
            self.state().healths.paced(&server.id, report.pace);
        }
        Some(report)
    }
}

/// How long an attempt waits before it doubts its server.
#[derive(Clone, Copy)]
struct Wait {
    /// Silence after which the server is asked whether it is there.
    quiet: Duration,
    /// Silence after which the request goes elsewhere, or its time ends.
    hung: Duration,
}

impl Wait {
    fn new(course: &Course, first_ms: f64) -> Self {
        let left = course.left();
        let predicted = millis(first_ms);
        let alone = course.engine.zip(course.ask.size);
        let alone = alone.map_or(0.0, |(engine, size)| engine.read_ms(size.prompt, 1));
        // A long prompt that moves is read again from its beginning: that must be worth it.
        let again = millis(alone);
        let can_move =
            course.route.repeatable() && course.past.ran + 1 < course.route.most_servers.max(1);
        let quiet = match course.route.kind {
            catalog::Kind::Stream => QUIET.max(predicted),
            catalog::Kind::Safe | catalog::Kind::Unsafe => course.route.objective,
        };
        let hung = match course.route.kind {
            _ if !can_move => left,
            catalog::Kind::Stream => (HUNG + predicted + again * 4).min(left),
            catalog::Kind::Safe | catalog::Kind::Unsafe => (course.route.objective * 2).min(left),
        };
        Self { quiet, hung }
    }
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
        verdict::End::Unsent => "unsent",
        verdict::End::NotRun { .. } => "not_run",
        verdict::End::Broken => "broken",
        verdict::End::Silent => "silent",
        verdict::End::Slow => "slow",
        verdict::End::Failed => "failed",
        verdict::End::Late => "late",
    }
}

/// Servers that a request may go to: those in good standing; failing that, any.
fn candidates(state: &super::State, now: Duration, course: &Course) -> Vec<register::Record> {
    let ready: Vec<(&register::Record, Duration)> =
        state.register.ready(now, &course.service).collect();
    let untried = |one: &register::Record| !course.tried.contains(&one.id);
    let good: Vec<register::Record> = ready
        .iter()
        .filter(|(one, age)| *age < UNHEARD && untried(one) && !state.healths.is_out(now, &one.id))
        .map(|(one, _)| (*one).clone())
        .collect();
    if !good.is_empty() {
        return good;
    }
    let rest: Vec<register::Record> = ready
        .iter()
        .filter(|(one, _)| untried(one))
        .map(|(one, _)| (*one).clone())
        .collect();
    if !rest.is_empty() {
        return rest;
    }
    ready.iter().map(|(one, _)| (*one).clone()).collect()
}

/// Finds the place of a request among `servers`.
fn locate(course: &Course, servers: &[place::Server], any_waits: bool) -> Option<place::Place> {
    let alone = |first: usize, first_ms: f64| place::Place {
        first,
        helpers: Vec::new(),
        aside: Vec::new(),
        first_ms,
        part_ms: first_ms,
        delay_ms: 0.0,
    };
    let (Some(engine), Some(size)) = (&course.engine, course.ask.size) else {
        return place::plain(servers).map(|at| alone(at, 0.0));
    };
    let need = need(course);
    let placed = place::engine(engine, &need, servers, any_waits);
    // Nowhere is memory as far as known. For a short prompt the servers themselves know better.
    let is_short = size.prompt <= engine.usual_prompt;
    placed.or_else(|| {
        let at = place::plain(servers).filter(|_| is_short)?;
        Some(alone(at, engine.read_ms(size.prompt, 1)))
    })
}

/// Whether a request that has no place yet may have one in time.
fn may_wait(course: &Course) -> bool {
    let (Some(engine), Some(size)) = (&course.engine, course.ask.size) else {
        return false;
    };
    let most = engine.memory_tokens * place::MOST_WIDTH as u64 / 2;
    let fits = size.prompt + expected_answer(course) <= most;
    let read_ms = engine.read_ms(size.prompt, place::MOST_WIDTH);
    fits && course.left() > millis(read_ms) + TURN_LEFT
}

/// What placing has to know of a request.
fn need(course: &Course) -> place::Need {
    place::Need {
        prompt: course.ask.size.map_or(0, |size| size.prompt),
        answer: expected_answer(course),
        aim: course
            .route
            .objective
            .saturating_sub(course.began.elapsed()),
        bound_ms: course.route.pause.map_or(0, |one| one.as_millis() as u32),
        draw: board::server_key(&course.ask.id),
    }
}

/// Tokens that an answer is expected to have: the caller's hint, within what it allows.
fn expected_answer(course: &Course) -> u64 {
    let Some(size) = course.ask.size else {
        return 0;
    };
    size.answer_hint
        .unwrap_or(size.answer_most)
        .min(size.answer_most)
}

/// Path and query alone, as a server takes them.
fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().map_or("/", |one| one.as_str());
    path.parse().unwrap_or_else(|_| http::Uri::from_static("/"))
}

fn millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or_default()
}
