//! Where an attempt goes: servers in good standing, their work as known here, and the line of
//! long prompts that wait for their turn.

use std::sync::Arc;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::time;

use super::Direct;
use super::context::Context;
use super::eligibility;
use super::grant::Reason;
use super::progress;
use super::turn;
use crate::direct::deadline;
use crate::direct::load;
use crate::direct::place;
use crate::direct::place::single;
use crate::direct::quota;
use crate::direct::register;
use crate::direct::retry;
use crate::direct::subset;
use crate::edge::event::Event;
use crate::log_event;

/// Pauses before a short request looks again for a server that is not full.
const FULL_PAUSE: Duration = Duration::from_millis(40);
const FULL_PAUSE_LATE: Duration = Duration::from_millis(150);

/// Where a long prompt may be read.
#[derive(Clone, Copy)]
enum Reading {
    /// Only beside writers, on servers with room for it.
    Beside,
    /// There, or by its turn on the lane of reading.
    Lane,
}

/// Where a request goes, if anywhere yet.
enum Choice {
    /// There.
    Now(Box<Assignment>),
    /// It waits for its turn.
    Later,
    /// It waits for memory, or for more servers: what is free now would read it too slowly.
    /// Others need not wait for that.
    NotNow,
    /// All servers are so full that its first event would be late.
    Full,
    /// No server is known.
    Nowhere,
    /// This process would end before the answer.
    Ending,
}

/// A request's place on the board, given back when it is dropped.
pub struct Guard {
    direct: Arc<Direct>,
    ticket: load::Ticket,
}

impl Guard {
    /// The first event came.
    pub fn start_writing(&self) {
        self.direct.state().board.start_writing(self.ticket);
        self.direct.loads_changed.notify_one();
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let now = self.direct.node.now();
        self.direct.state().board.remove(now, self.ticket);
        self.direct.loads_changed.notify_one();
    }
}

/// Where an attempt goes.
pub struct Assignment {
    /// The server.
    pub server: register::Record,
    /// Servers that help it read.
    pub helpers: Vec<register::Record>,
    /// Tokens of memory to set aside at each of those.
    pub reserved_tokens: Vec<u64>,
    /// Milliseconds until the first event, as predicted. 0: not predicted.
    pub first_ms: f64,
    /// Its place on the board.
    pub guard: Guard,
}

impl Direct {
    /// Chooses servers for a request and takes a place on the board there.
    fn choose(self: &Arc<Self>, context: &Context, reading: Reading) -> Choice {
        let now = self.node.now();
        let mut state = self.state();
        let eligibility::Candidates { records, part } =
            eligibility::candidates(&state, now, context);
        if records.is_empty() {
            return Choice::Nowhere;
        }
        let servers = self.servers(&mut state, now, &records, part);
        let any_waits = state.board.has_waiting(now);
        let placed = match reading {
            Reading::Lane => locate(context, &servers, any_waits),
            Reading::Beside => beside(context, &servers, any_waits),
        };
        let Some(place) = placed else {
            return Choice::NotNow;
        };
        if !context.completes_before_exit(place.first_ms, context.write_time_bound(&state.writing))
        {
            return Choice::Ending;
        }
        if place.delay_ms > 0.0 {
            return Choice::Later;
        }
        if !context.meets_deadline_at(&place) {
            return Choice::NotNow;
        }
        if context.may_wait_at_entry() && place.is_full(context.route.objective) {
            return Choice::Full;
        }
        Choice::Now(Box::new(
            self.assign(state, context, &records, &servers, place),
        ))
    }

    /// Takes a request's place on the board.
    pub(super) fn assign(
        self: &Arc<Self>,
        mut state: MutexGuard<'_, super::State>,
        context: &Context,
        records: &[register::Record],
        servers: &[place::Server],
        place: place::Place,
    ) -> Assignment {
        let now = self.node.now();
        let prompt = context.request.size.map_or(0, |size| size.prompt);
        let part = |(at, memory): (usize, u64)| load::Segment {
            server: servers[at].key,
            read_ms: place.segment_ms,
            memory,
        };
        let aside: u64 = place.reserved.iter().sum();
        let own = (prompt + context.expected_answer()).saturating_sub(aside);
        let helpers = place
            .helpers
            .iter()
            .copied()
            .zip(place.reserved.iter().copied());
        let assignment = std::iter::once((place.writer, own)).chain(helpers);
        let claim = load::Claim {
            segments: assignment.map(part).collect(),
            prompt,
            answer: context.expected_answer(),
            bound_ms: context
                .route
                .max_pause
                .map_or(0, |one| one.as_millis() as u32),
            is_long: place.takes_turn,
            reads: (now, now + deadline::millis(place.first_ms)),
        };
        let limit = state.quotas.limit(servers[place.writer].key);
        let ticket = state.board.insert(now, claim);
        drop(state);
        self.loads_changed.notify_one();
        let guard = Guard {
            direct: Arc::clone(self),
            ticket,
        };
        let load = servers[place.writer].load;
        let limit = limit.map_or(0.0, quota::Rate::per_second);
        if self.log_limiter.allow(Event::RequestPlaced, now) {
            log_event!(self.node.log(), Event::RequestPlaced, "request" => &context.request.id,
                "route" => &context.route.name, "config" => context.version,
                "server" => &records[place.writer].life, "prompt" => prompt, "aside" => place.reserved.iter().sum::<u64>(),
                "helpers" => place.helpers.iter().map(|at| records[*at].life.to_string()).collect::<Vec<_>>().join(","), "first_ms" => place.first_ms as u64,
                "writers" => load.writers, "readers" => load.readers, "backlog_ms" => load.backlog_ms,
                "limit" => limit, "objective_ms" => context.route.objective.as_millis() as u64,
                "bound_ms" => context.route.max_pause.map_or(0, |one| one.as_millis() as u64),
                "tried" => context.history.tried, "waited_ms" => context.began.elapsed().as_millis() as u64,
                "left_ms" => context.time_left().as_millis() as u64);
        }
        Assignment {
            server: records[place.writer].clone(),
            helpers: place
                .helpers
                .iter()
                .map(|at| records[*at].clone())
                .collect(),
            reserved_tokens: place.reserved,
            first_ms: place.first_ms,
            guard,
        }
    }

    /// Whether a request that waits for `server`, which is there, had better go elsewhere.
    pub(super) fn has_better_server(&self, context: &Context, server: &register::Instance) -> bool {
        let now = self.node.now();
        let mut state = self.state();
        let eligibility::Candidates { mut records, part } =
            eligibility::candidates(&state, now, context);
        records.retain(|one| one.life != *server);
        if records.is_empty() {
            return false;
        }
        let servers = self.servers(&mut state, now, &records, part);
        let any_waits = state.board.has_waiting(now);
        let writing = context.write_time_bound(&state.writing);
        drop(state);
        let place = locate(context, &servers, any_waits);
        let is_better = place.is_some_and(|one| {
            one.is_worth_moving(context.route.objective)
                && context.completes_before_exit(one.first_ms, writing)
        });
        if !is_better && self.log_limiter.allow(Event::RequestStays, now) {
            log_event!(self.node.log(), Event::RequestStays, "request" => &context.request.id,
                "server" => server, "others" => servers.len(), "left_ms" => context.time_left().as_millis() as u64);
        }
        is_better
    }

    /// What is known of servers of one part of the fleet, for placing.
    pub(super) fn servers(
        &self,
        state: &mut super::State,
        now: Duration,
        records: &[register::Record],
        part: subset::Subset,
    ) -> Vec<place::Server> {
        let zone = &self.node.settings().zone;
        let view = state.board.view_subset(now, part);
        let server = |one: &register::Record| {
            let key = load::server_key(&one.life);
            place::Server {
                key,
                near: one.zone == *zone,
                slots: one.slots,
                load: view.get(&key).copied().unwrap_or_default(),
                pace: state.healths.pace(&one.life),
                failing: state.healths.failure_rate(now, &one.life),
            }
        };
        records.iter().map(server).collect()
    }

    /// Whether a long prompt that has no place is told to come back, since too many wait.
    fn turns_away(&self, context: &Context) -> bool {
        let Some(engine) = context.engine.filter(|_| context.history.tried == 0) else {
            return false;
        };
        let need = context.need();
        if !place::is_long(&engine, &need) {
            return false;
        }
        let now = self.node.now();
        let objective = context.route.objective;
        let mut state = self.state();
        state.observe_congestion(now);
        let servers = state.register.ready(now, &context.service).count();
        let away = state.pressure.rejection(&engine, &need, objective, servers);
        drop(state);
        let Some(away) = away else {
            return false;
        };
        if self.log_limiter.allow(Event::RequestAway, now) {
            log_event!(self.node.log(), Event::RequestAway, "request" => &context.request.id,
                "prompt" => need.prompt, "level" => away.level, "servers" => servers,
                "part_ms" => away.fleet_ms as u64);
        }
        true
    }

    /// Whether a request that has no place yet may have one in time before this process ends.
    fn may_wait_here(&self, context: &Context) -> bool {
        let first_ms = context.min_first_ms();
        let writing = context.write_time_bound(&self.state().writing);
        context.completes_before_exit(first_ms, writing)
    }

    /// Chooses servers for a request, once it is its turn and there is memory for it.
    pub(super) async fn choose_in_turn(
        self: &Arc<Self>,
        context: &Context,
    ) -> Result<Assignment, retry::Failure> {
        context.progress.reach(progress::Stage::Waiting);
        let is_long = context
            .engine
            .is_some_and(|one| place::is_long(&one, &context.need()));
        if is_long && let Choice::Now(assignment) = self.choose(context, Reading::Beside) {
            return Ok(*assignment);
        }
        if let Ok(Some(assignment)) = self.choose_limited(context, Reason::HasCapacity).await {
            return Ok(assignment);
        }
        let mut turn = turn::Turn::new(self);
        loop {
            if self.turns_away(context) {
                return Err(retry::Failure::Away);
            }
            if turn.has_come(context) {
                match self.choose(context, Reading::Lane) {
                    Choice::Now(assignment) => return Ok(*assignment),
                    Choice::Ending => return Err(retry::Failure::Ending),
                    Choice::Nowhere => return self.choose_only(context).await,
                    Choice::Later => turn.wait(context),
                    Choice::NotNow => turn.leave(),
                    Choice::Full if !self.may_wait_here(context) => {
                        return Err(retry::Failure::Ending);
                    }
                    Choice::Full => {
                        let limited = self.choose_limited(context, Reason::OthersFull);
                        if let Ok(Some(assignment)) = limited.await {
                            return Ok(assignment);
                        }
                        time::sleep(full_pause(context)).await;
                        continue;
                    }
                }
            } else {
                turn.wait(context);
            }
            if !context.may_wait_for_server() {
                return Err(retry::Failure::Unsent);
            }
            if !self.may_wait_here(context) {
                return Err(retry::Failure::Ending);
            }
            time::sleep(turn.pause()).await;
        }
    }

    /// Chooses a server where there are none but those that name a limit, if any.
    async fn choose_only(
        self: &Arc<Self>,
        context: &Context,
    ) -> Result<Assignment, retry::Failure> {
        match self.choose_limited(context, Reason::OnlyLimited).await {
            Ok(Some(assignment)) => Ok(assignment),
            Ok(None) if context.lifetime.is_stopping() => Err(retry::Failure::Ending),
            Ok(None) => Err(retry::Failure::Unsent),
            Err(come_back) => Err(retry::Failure::Limited(come_back)),
        }
    }
}

/// Pause before a request looks again for a server that is not full: who is late already leaves
/// what becomes free to those that are not.
fn full_pause(context: &Context) -> Duration {
    if context.began.elapsed() > context.route.objective {
        FULL_PAUSE_LATE
    } else {
        FULL_PAUSE
    }
}

/// Finds the place of a long prompt among `servers` that have room for it beside their writers.
fn beside(context: &Context, servers: &[place::Server], any_waits: bool) -> Option<place::Place> {
    let engine = context.engine.as_ref()?;
    place::without_turn(engine, &context.need(), servers, any_waits)
}

/// Finds the place of a request among `servers`.
fn locate(context: &Context, servers: &[place::Server], any_waits: bool) -> Option<place::Place> {
    let alone = |first: usize, first_ms: f64| place::Place {
        first_ms,
        segment_ms: first_ms,
        ..single::plain(first)
    };
    let (Some(engine), Some(size)) = (&context.engine, context.request.size) else {
        return place::plain(servers, context.need().draw).map(|at| alone(at, 0.0));
    };
    let need = context.need();
    let placed = place::engine(engine, &need, servers, any_waits);
    // Nowhere is memory as far as known. For a short prompt the servers themselves know better.
    let is_short = size.prompt <= engine.usual_prompt;
    placed.or_else(|| {
        let at = place::plain(servers, context.need().draw).filter(|_| is_short)?;
        Some(alone(at, engine.read_ms(size.prompt, 1)))
    })
}
