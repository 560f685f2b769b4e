//! Where an attempt goes: servers in good standing, their work as known here, and the line of
//! long prompts that wait for their turn.

use std::sync::Arc;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::time;

use super::Direct;
use super::course::Course;
use super::eligibility;
use super::permit::Occasion;
use super::progress;
use super::turn;
use crate::direct::board;
use crate::direct::patience;
use crate::direct::place;
use crate::direct::place::lone;
use crate::direct::quota;
use crate::direct::register;
use crate::direct::subset;
use crate::direct::verdict;
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
    Now(Box<Chosen>),
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

impl Direct {
    /// Chooses servers for a request and takes a place on the board there.
    fn choose(self: &Arc<Self>, course: &Course, reading: Reading) -> Choice {
        let now = self.node.now();
        let mut state = self.state();
        let eligibility::Candidates { records, part } =
            eligibility::candidates(&state, now, course);
        if records.is_empty() {
            return Choice::Nowhere;
        }
        let servers = self.servers(&mut state, now, &records, part);
        let any_waits = state.board.any_waits(now);
        let placed = match reading {
            Reading::Lane => locate(course, &servers, any_waits),
            Reading::Beside => beside(course, &servers, any_waits),
        };
        let Some(place) = placed else {
            return Choice::NotNow;
        };
        if !course.ends_in_life(place.first_ms, course.writing(&state.writing)) {
            return Choice::Ending;
        }
        if place.delay_ms > 0.0 {
            return Choice::Later;
        }
        if !course.allows(&place) {
            return Choice::NotNow;
        }
        if course.may_hold() && place.is_full(course.route.objective) {
            return Choice::Full;
        }
        Choice::Now(Box::new(
            self.seat(state, course, &records, &servers, place),
        ))
    }

    /// Takes a request's place on the board.
    pub(super) fn seat(
        self: &Arc<Self>,
        mut state: MutexGuard<'_, super::State>,
        course: &Course,
        records: &[register::Record],
        servers: &[place::Server],
        place: place::Place,
    ) -> Chosen {
        let now = self.node.now();
        let prompt = course.ask.size.map_or(0, |size| size.prompt);
        let part = |(at, memory): (usize, u64)| board::Part {
            server: servers[at].key,
            read_ms: place.part_ms,
            memory,
        };
        let aside: u64 = place.aside.iter().sum();
        let own = (prompt + course.expected_answer()).saturating_sub(aside);
        let helpers = place
            .helpers
            .iter()
            .copied()
            .zip(place.aside.iter().copied());
        let chosen = std::iter::once((place.first, own)).chain(helpers);
        let claim = board::Claim {
            parts: chosen.map(part).collect(),
            prompt,
            answer: course.expected_answer(),
            bound_ms: course.route.pause.map_or(0, |one| one.as_millis() as u32),
            is_long: place.takes_turn,
            reads: (now, now + patience::millis(place.first_ms)),
        };
        let limit = state.quotas.limit(servers[place.first].key);
        let ticket = state.board.enter(now, claim);
        drop(state);
        self.loads_changed.notify_one();
        let seat = Seat {
            direct: Arc::clone(self),
            ticket,
        };
        let load = servers[place.first].load;
        let limit = limit.map_or(0.0, quota::Rate::per_second);
        if self.log_limiter.allow(Event::RequestPlaced, now) {
            log_event!(self.node.log(), Event::RequestPlaced, "request" => &course.ask.id,
                "route" => &course.route.name, "config" => course.version,
                "server" => &records[place.first].life, "prompt" => prompt, "aside" => place.aside.iter().sum::<u64>(),
                "helpers" => place.helpers.iter().map(|at| records[*at].life.to_string()).collect::<Vec<_>>().join(","), "first_ms" => place.first_ms as u64,
                "writers" => load.writers, "readers" => load.readers, "backlog_ms" => load.backlog_ms,
                "limit" => limit, "objective_ms" => course.route.objective.as_millis() as u64,
                "bound_ms" => course.route.pause.map_or(0, |one| one.as_millis() as u64),
                "tried" => course.past.tried, "waited_ms" => course.began.elapsed().as_millis() as u64,
                "left_ms" => course.left().as_millis() as u64);
        }
        Chosen {
            server: records[place.first].clone(),
            helpers: place
                .helpers
                .iter()
                .map(|at| records[*at].clone())
                .collect(),
            aside: place.aside,
            first_ms: place.first_ms,
            seat,
        }
    }

    /// Whether a request that waits for `server`, which is there, had better go elsewhere.
    pub(super) fn has_better(&self, course: &Course, server: &register::Life) -> bool {
        let now = self.node.now();
        let mut state = self.state();
        let eligibility::Candidates { mut records, part } =
            eligibility::candidates(&state, now, course);
        records.retain(|one| one.life != *server);
        if records.is_empty() {
            return false;
        }
        let servers = self.servers(&mut state, now, &records, part);
        let any_waits = state.board.any_waits(now);
        let writing = course.writing(&state.writing);
        drop(state);
        let place = locate(course, &servers, any_waits);
        let is_better = place.is_some_and(|one| {
            one.is_worth_moving(course.route.objective)
                && course.ends_in_life(one.first_ms, writing)
        });
        if !is_better && self.log_limiter.allow(Event::RequestStays, now) {
            log_event!(self.node.log(), Event::RequestStays, "request" => &course.ask.id,
                "server" => server, "others" => servers.len(), "left_ms" => course.left().as_millis() as u64);
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
        let view = state.board.view_of(now, part);
        let server = |one: &register::Record| {
            let key = board::server_key(&one.life);
            place::Server {
                key,
                near: one.zone == *zone,
                slots: one.slots,
                load: view.get(&key).copied().unwrap_or_default(),
                pace: state.healths.pace(&one.life),
                failing: state.healths.failing(now, &one.life),
            }
        };
        records.iter().map(server).collect()
    }

    /// Whether a long prompt that has no place is told to come back, since too many wait.
    fn turns_away(&self, course: &Course) -> bool {
        let Some(engine) = course.engine.filter(|_| course.past.tried == 0) else {
            return false;
        };
        let need = course.need();
        if !place::is_long(&engine, &need) {
            return false;
        }
        let now = self.node.now();
        let objective = course.route.objective;
        let mut state = self.state();
        state.observe_congestion(now);
        let servers = state.register.ready(now, &course.service).count();
        let away = state
            .pressure
            .turns_away(&engine, &need, objective, servers);
        drop(state);
        let Some(away) = away else {
            return false;
        };
        if self.log_limiter.allow(Event::RequestAway, now) {
            log_event!(self.node.log(), Event::RequestAway, "request" => &course.ask.id,
                "prompt" => need.prompt, "level" => away.level, "servers" => servers,
                "part_ms" => away.part_ms as u64);
        }
        true
    }

    /// Whether a request that has no place yet may have one in time before this process ends.
    fn may_wait_here(&self, course: &Course) -> bool {
        let first_ms = course.fastest_ms();
        let writing = course.writing(&self.state().writing);
        course.ends_in_life(first_ms, writing)
    }

    /// Chooses servers for a request, once it is its turn and there is memory for it.
    pub(super) async fn choose_in_turn(
        self: &Arc<Self>,
        course: &Course,
    ) -> Result<Chosen, verdict::End> {
        course.progress.reach(progress::Stage::Waiting);
        let is_long = course
            .engine
            .is_some_and(|one| place::is_long(&one, &course.need()));
        if is_long && let Choice::Now(chosen) = self.choose(course, Reading::Beside) {
            return Ok(*chosen);
        }
        if let Ok(Some(chosen)) = self.choose_limited(course, Occasion::Spare).await {
            return Ok(chosen);
        }
        let mut turn = turn::Turn::new(self);
        loop {
            if self.turns_away(course) {
                return Err(verdict::End::Away);
            }
            if turn.has_come(course) {
                match self.choose(course, Reading::Lane) {
                    Choice::Now(chosen) => return Ok(*chosen),
                    Choice::Ending => return Err(verdict::End::Ending),
                    Choice::Nowhere => return self.choose_only(course).await,
                    Choice::Later => turn.wait(course),
                    Choice::NotNow => turn.leave(),
                    Choice::Full if !self.may_wait_here(course) => {
                        return Err(verdict::End::Ending);
                    }
                    Choice::Full => {
                        let limited = self.choose_limited(course, Occasion::Full);
                        if let Ok(Some(chosen)) = limited.await {
                            return Ok(chosen);
                        }
                        time::sleep(full_pause(course)).await;
                        continue;
                    }
                }
            } else {
                turn.wait(course);
            }
            if !course.may_wait() {
                return Err(verdict::End::Unsent);
            }
            if !self.may_wait_here(course) {
                return Err(verdict::End::Ending);
            }
            time::sleep(turn.pause()).await;
        }
    }

    /// Chooses a server where there are none but those that name a limit, if any.
    async fn choose_only(self: &Arc<Self>, course: &Course) -> Result<Chosen, verdict::End> {
        match self.choose_limited(course, Occasion::Only).await {
            Ok(Some(chosen)) => Ok(chosen),
            Ok(None) if course.lifetime.is_stopping() => Err(verdict::End::Ending),
            Ok(None) => Err(verdict::End::Unsent),
            Err(come_back) => Err(verdict::End::Limited(come_back)),
        }
    }
}

/// Pause before a request looks again for a server that is not full: who is late already leaves
/// what becomes free to those that are not.
fn full_pause(course: &Course) -> Duration {
    if course.began.elapsed() > course.route.objective {
        FULL_PAUSE_LATE
    } else {
        FULL_PAUSE
    }
}

/// Finds the place of a long prompt among `servers` that have room for it beside their writers.
fn beside(course: &Course, servers: &[place::Server], any_waits: bool) -> Option<place::Place> {
    let engine = course.engine.as_ref()?;
    place::without_turn(engine, &course.need(), servers, any_waits)
}

/// Finds the place of a request among `servers`.
fn locate(course: &Course, servers: &[place::Server], any_waits: bool) -> Option<place::Place> {
    let alone = |first: usize, first_ms: f64| place::Place {
        first_ms,
        part_ms: first_ms,
        ..lone::plain(first)
    };
    let (Some(engine), Some(size)) = (&course.engine, course.ask.size) else {
        return place::plain(servers, course.need().draw).map(|at| alone(at, 0.0));
    };
    let need = course.need();
    let placed = place::engine(engine, &need, servers, any_waits);
    // Nowhere is memory as far as known. For a short prompt the servers themselves know better.
    let is_short = size.prompt <= engine.usual_prompt;
    placed.or_else(|| {
        let at = place::plain(servers, course.need().draw).filter(|_| is_short)?;
        Some(alone(at, engine.read_ms(size.prompt, 1)))
    })
}
