//! Chooses the backend servers of an attempt by their health and their load as known here, and
//! queues long prompts until it is their turn.

use std::sync::Arc;
use std::sync::MutexGuard;
use std::time::Duration;

use super::Direct;
use super::context::Context;
use super::eligibility;
use super::grant::Reason;
use super::progress;
use super::queue;
use super::turn;
use crate::direct::deadline;
use crate::direct::lane;
use crate::direct::load;
use crate::direct::place;
use crate::direct::place::single;
use crate::direct::quota;
use crate::direct::register;
use crate::direct::retry;
use crate::direct::subset;
use crate::direct::waiting;
use crate::edge::event::Event;
use crate::log_event;

/// Time for which others go before a request whose servers are full while other servers, which it may
/// not use or which name a limit, may take them.
const FULL_PAUSE: Duration = Duration::from_millis(40);

/// Time for which others go before a prompt that lacks memory: about two passes of an engine. Each
/// try compares all servers, which on the smallest VMs costs more than the shorter wait gains.
const MEMORY_PAUSE: Duration = Duration::from_millis(100);

/// Least and most time between two looks whether a server takes requests again after a pause. Others
/// may become known meanwhile.
const MIN_PAUSE_POLL: Duration = Duration::from_millis(2);
const PAUSE_POLL: Duration = Duration::from_millis(100);

/// Which servers may read a long prompt.
#[derive(Clone, Copy)]
enum Reading {
    /// Only servers with capacity to read it while they generate other responses.
    WithoutTurn,
    /// Those, and when it is the prompt's turn the servers kept for reading long prompts.
    InTurn,
}

/// Outcome of one search for servers.
enum Choice {
    /// Servers are assigned.
    Assigned(Box<Assignment>),
    /// The servers still read other prompts: it waits for its turn.
    NeedsTurn,
    /// It waits for memory, or for more free servers: those free now would read it too slowly.
    /// Other prompts need not wait for it.
    NeedsCapacity,
    /// All servers are so loaded that its first event would be late.
    Full,
    /// No server is known.
    NoServer,
    /// This process would exit before the response is complete.
    Exiting,
}

/// Outcome of one search for servers, those that name a limit included.
enum Search {
    /// Servers are assigned.
    Assigned(Box<Assignment>),
    /// None has capacity.
    Waits(waiting::Outcome),
}

impl Search {
    /// None has capacity, and others may go first until this time.
    fn passes(until: Duration) -> Self {
        Self::Waits(waiting::Outcome::Passes(until))
    }
}

/// The load of one request as accounted for by this entry. Dropping it removes the load.
pub struct Guard {
    direct: Arc<Direct>,
    ticket: load::Ticket,
}

impl Guard {
    /// Records that the first event arrived: the prompt is read, the response is being generated.
    pub fn start_writing(&self) {
        self.direct.state().loads.start_writing(self.ticket);
        self.direct.loads_changed.notify_one();
        self.direct.capacity_changed(waiting::Source::Here);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let now = self.direct.node.now();
        self.direct.state().loads.remove(now, self.ticket);
        self.direct.loads_changed.notify_one();
        self.direct.capacity_changed(waiting::Source::Here);
    }
}

/// The servers assigned to an attempt.
pub struct Assignment {
    /// The server that generates the response.
    pub server: register::Record,
    /// Helper servers that read segments of the prompt.
    pub helpers: Vec<register::Record>,
    /// Tokens of memory to reserve at each helper server.
    pub reserved_tokens: Vec<u64>,
    /// Predicted milliseconds until the first event. 0: not predicted.
    pub first_ms: f64,
    /// Keeps the load of the request accounted for.
    pub guard: Guard,
}

impl Direct {
    /// Searches once for servers, and accounts for the load of the request if it finds them.
    fn choose(self: &Arc<Self>, context: &Context, reading: Reading) -> Choice {
        let now = self.node.now();
        let mut state = self.state();
        let eligibility::Candidates { records, subset } =
            eligibility::candidates(&state, now, context);
        if records.is_empty() {
            return Choice::NoServer;
        }
        let servers = self.servers(&mut state, now, &records, subset);
        let demand = state.observe_demand(now);
        let need = context.need_by(&state.writing);
        let placed = match reading {
            Reading::InTurn => find(context, &need, &servers, demand),
            Reading::WithoutTurn => find_without_turn(context, &need, &servers, demand),
        };
        let Some(place) = placed else {
            return Choice::NeedsCapacity;
        };
        if !context.completes_before_exit(place.first_ms, context.write_time_bound(&state.writing))
        {
            return Choice::Exiting;
        }
        if place.delay_ms > 0.0 {
            return Choice::NeedsTurn;
        }
        if !context.meets_deadline_at(&place) {
            return Choice::NeedsCapacity;
        }
        if context.may_wait_at_entry() && place.is_full(context.route.objective) {
            return Choice::Full;
        }
        if context.may_wait_for_slot() && waiting::are_full(&servers) {
            return Choice::Full;
        }
        Choice::Assigned(Box::new(
            self.assign(state, context, &records, &servers, place),
        ))
    }

    /// Assigns a request to the servers of `place`, and accounts for its load there.
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
        let segment = |(at, memory): (usize, u64)| load::Segment {
            server: servers[at].key,
            read_ms: place.segment_ms,
            memory,
        };
        let reserved: u64 = place.reserved.iter().sum();
        let own = (prompt + context.expected_answer()).saturating_sub(reserved);
        let helpers = place
            .helpers
            .iter()
            .copied()
            .zip(place.reserved.iter().copied());
        let chosen = std::iter::once((place.writer, own)).chain(helpers);
        let claim = load::Claim {
            segments: chosen.map(segment).collect(),
            prompt,
            answer: context.expected_answer(),
            bound_ms: context
                .route
                .max_pause
                .map_or(0, |pause| pause.as_millis() as u32),
            is_long: place.takes_turn,
            reads: (now, now + deadline::millis(place.first_ms)),
        };
        if !state.backoffs.is_empty() {
            for at in std::iter::once(&place.writer).chain(&place.helpers) {
                state.backoffs.place(servers[*at].key);
            }
        }
        let limit = state.quotas.limit(now, servers[place.writer].key);
        let ticket = state.loads.insert(now, claim);
        drop(state);
        self.loads_changed.notify_one();
        self.charge_share(context);
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
                "bound_ms" => context.route.max_pause.map_or(0, |pause| pause.as_millis() as u64),
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

    /// Whether another server would serve a request enough sooner than `server`, which is alive but
    /// has not answered it yet.
    pub(super) fn has_better_server(&self, context: &Context, server: &register::Instance) -> bool {
        let now = self.node.now();
        let mut state = self.state();
        let eligibility::Candidates {
            mut records,
            subset,
        } = eligibility::candidates(&state, now, context);
        records.retain(|record| record.life != *server);
        if records.is_empty() {
            return false;
        }
        let servers = self.servers(&mut state, now, &records, subset);
        let demand = state.observe_demand(now);
        let writing = context.write_time_bound(&state.writing);
        let need = context.need_by(&state.writing);
        drop(state);
        let place = find(context, &need, &servers, demand);
        let is_better = place.is_some_and(|place| {
            place.is_worth_moving(context.route.objective)
                && context.completes_before_exit(place.first_ms, writing)
        });
        if !is_better && self.log_limiter.allow(Event::RequestStays, now) {
            log_event!(self.node.log(), Event::RequestStays, "request" => &context.request.id,
                "server" => server, "others" => servers.len(), "left_ms" => context.time_left().as_millis() as u64);
        }
        is_better
    }

    /// Whether more requests are at a server than it serves at once: then it answers late without a
    /// fault.
    pub(super) fn is_overloaded(&self, server: &register::Record) -> bool {
        let now = self.node.now();
        let view = self.state().loads.view(now);
        let load = view.get(&load::server_key(&server.life));
        load.is_some_and(|load| load.readers + load.writers > server.slots)
    }

    /// Load and health of servers of one subset of the fleet, as placement needs them.
    pub(super) fn servers(
        &self,
        state: &mut super::State,
        now: Duration,
        records: &[register::Record],
        subset: subset::Subset,
    ) -> Vec<place::Server> {
        let zone = &self.node.settings().zone;
        let view = state.loads.view_subset(now, subset);
        let server = |record: &register::Record| {
            let key = load::server_key(&record.life);
            place::Server {
                key,
                near: record.zone == *zone,
                slots: record.slots,
                load: view.get(&key).copied().unwrap_or_default(),
                pace: state.healths.pace(&record.life),
                failing: state.healths.failure_rate(now, &record.life),
            }
        };
        records.iter().map(server).collect()
    }

    /// Rejects a long prompt without a server that cannot be in time, or if too many wait.
    ///
    /// # Errors
    ///
    /// If it is rejected: the time after which to retry.
    fn sheds(&self, context: &Context) -> Result<(), retry::Failure> {
        let engine = context.engine.filter(|_| context.history.tried == 0);
        let engine = engine.filter(|engine| place::is_long(engine, &context.need()));
        engine.map_or(Ok(()), |engine| self.check_long(context, &engine))
    }

    /// Whether a request without a server may still complete before this process exits.
    fn may_complete_here(&self, context: &Context) -> bool {
        let first_ms = context.min_first_ms();
        let writing = context.write_time_bound(&self.state().writing);
        context.completes_before_exit(first_ms, writing)
    }

    /// Waits until it is the turn of a request and there is memory for it, and assigns servers.
    pub(super) async fn choose_in_turn(
        self: &Arc<Self>,
        context: &Context,
    ) -> Result<Assignment, retry::Failure> {
        context.progress.reach(progress::Stage::Waiting);
        let is_long = context
            .engine
            .is_some_and(|engine| place::is_long(&engine, &context.need()));
        if is_long && let Choice::Assigned(assignment) = self.choose(context, Reading::WithoutTurn)
        {
            return Ok(*assignment);
        }
        if let Ok(Some(assignment)) = self.choose_limited(context, Reason::HasCapacity).await {
            return Ok(assignment);
        }
        let mut turn = turn::Turn::new(self);
        let mut wait = queue::Wait::new(self);
        loop {
            // Its older rank would count as another prompt ahead of it.
            if turn.ticket().is_some() {
                turn.wait(context);
            }
            self.sheds(context)?;
            let outcome = if wait.is_behind(context) {
                waiting::Outcome::Blocks
            } else {
                match self.choose_or_wait(context, &mut turn, &wait).await? {
                    Search::Assigned(assignment) => {
                        wait.set_placed();
                        return Ok(*assignment);
                    }
                    Search::Waits(outcome) => outcome,
                }
            };
            wait.pause(context, &turn, outcome).await?;
        }
    }

    /// Searches once for servers, those that name a limit included.
    ///
    /// # Errors
    ///
    /// If the request is not to wait any longer.
    async fn choose_or_wait(
        self: &Arc<Self>,
        context: &Context,
        turn: &mut turn::Turn,
        wait: &queue::Wait,
    ) -> Result<Search, retry::Failure> {
        let outcome = if turn.is_next(context) {
            match self.choose(context, Reading::InTurn) {
                Choice::Assigned(assignment) => return Ok(Search::Assigned(assignment)),
                Choice::Exiting => return Err(retry::Failure::Ending),
                Choice::NoServer => {
                    wait.pass(FULL_PAUSE);
                    return match self.choose_only_limited(context).await {
                        Ok(assignment) => Ok(Search::Assigned(Box::new(assignment))),
                        Err(retry::Failure::Unsent) => self.pause_end(context).map(Search::passes),
                        Err(failure) => Err(failure),
                    };
                }
                Choice::NeedsTurn => {
                    turn.wait(context);
                    waiting::Outcome::Blocks
                }
                Choice::NeedsCapacity => {
                    turn.leave();
                    waiting::Outcome::Passes(self.node.now() + MEMORY_PAUSE)
                }
                Choice::Full if !self.may_complete_here(context) => {
                    return Err(retry::Failure::Ending);
                }
                Choice::Full => return Ok(self.choose_other(context, wait).await),
            }
        } else {
            turn.wait(context);
            waiting::Outcome::Blocks
        };
        if !context.may_wait_for_server() {
            return Err(retry::Failure::Unsent);
        }
        if !self.may_complete_here(context) {
            return Err(retry::Failure::Ending);
        }
        Ok(Search::Waits(outcome))
    }

    /// Searches for a server that names a limit while all others are full.
    async fn choose_other(self: &Arc<Self>, context: &Context, wait: &queue::Wait) -> Search {
        let has_limits = !self.state().quotas.is_empty(self.node.now());
        if has_limits {
            // A grant may take long, and those behind it may get other ones.
            wait.pass(FULL_PAUSE);
            let limited = self.choose_limited(context, Reason::OthersFull);
            if let Ok(Some(assignment)) = limited.await {
                return Search::Assigned(Box::new(assignment));
            }
        }
        // The servers that it may not use, or did not draw, may have capacity for those behind it.
        if has_limits || context.is_confined() || context.class() == waiting::Class::Short {
            return Search::passes(self.node.now() + FULL_PAUSE);
        }
        Search::Waits(waiting::Outcome::Blocks)
    }

    /// Until when a request waits for a server that is in a pause, unless something else changes.
    ///
    /// # Errors
    ///
    /// If no server is in a pause, or none takes the request again in time.
    fn pause_end(&self, context: &Context) -> Result<Duration, retry::Failure> {
        let now = self.node.now();
        let paused = eligibility::paused(&self.state(), now, context);
        let Some(eligibility::Paused { servers, opens_at }) = paused else {
            return Err(retry::Failure::Unsent);
        };
        let wait = opens_at.saturating_sub(now);
        if context.may_wait_for(wait) {
            return Ok(now + wait.clamp(MIN_PAUSE_POLL, PAUSE_POLL));
        }
        let retry_after = self
            .state()
            .backoffs
            .schedule_return(now, &context.service, opens_at);
        if self.log_limiter.allow(Event::RequestPaused, now) {
            log_event!(self.node.log(), Event::RequestPaused, "request" => &context.request.id,
                "servers" => servers, "opens_ms" => wait.as_millis() as u64,
                "come_back_ms" => retry_after.as_millis() as u64,
                "left_ms" => context.time_left().as_millis() as u64);
        }
        Err(retry::Failure::Paused(retry_after))
    }
}

/// Finds a place for a long prompt on `servers` that can read it while they generate other
/// responses.
fn find_without_turn(
    context: &Context,
    need: &place::Need,
    servers: &[place::Server],
    demand: lane::Demand,
) -> Option<place::Place> {
    let engine = context.engine.as_ref()?;
    place::without_turn(engine, need, servers, demand)
}

/// Finds a place for a request on `servers`.
fn find(
    context: &Context,
    need: &place::Need,
    servers: &[place::Server],
    demand: lane::Demand,
) -> Option<place::Place> {
    let alone = |first: usize, first_ms: f64| place::Place {
        first_ms,
        segment_ms: first_ms,
        ..single::plain(first)
    };
    let (Some(engine), Some(size)) = (&context.engine, context.request.size) else {
        return place::plain(servers, need.draw).map(|at| alone(at, 0.0));
    };
    let placed = place::engine(engine, need, servers, demand);
    // As far as known here, no server has memory. A short prompt is sent all the same: the server
    // decides by its actual memory.
    let is_short = size.prompt <= engine.usual_prompt;
    placed.or_else(|| {
        let at = place::plain(servers, need.draw).filter(|_| is_short)?;
        Some(alone(at, engine.read_ms(size.prompt, 1)))
    })
}
