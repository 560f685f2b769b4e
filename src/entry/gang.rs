//! A prompt that is larger than one engine, served by several: a gang.
//!
//! A pure state machine between a request's wish for a place and its final run. The members are
//! reserved one by one in the global order of their servers' names, all or nothing: whoever is
//! refused releases what it has at once and tries again after a pause, so nobody ever waits while
//! holding, and gangs cannot deadlock. Then the segments are prefilled in sequence, each as the
//! continuation of those before. With all of them held the request's final run may start; the
//! members are held to its end. The loss of any member at any time releases all others.

use std::ops::Range;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs;

use crate::entry::request;
use crate::wire::id;
use crate::wire::outcome;
use crate::wire::outcome::Cause;
use crate::wire::run;

pub mod member;
pub mod plan;

use member::Member;
use member::Step;
use plan::Plan;

/// Numbers of segments' attempts start here; those of runs stay below.
pub const FIRST_NUMBER: u32 = 1 << 31;

/// Losses of members that one request is started again after.
pub const MAX_LOSSES: u32 = 4;

/// Engines that may die under the prefill of one request before it is refused as quarantined.
pub const MAX_DEATHS: u32 = 2;

/// First pause after a refusal, and the longest; it doubles with each.
const FIRST_PAUSE: Duration = Duration::from_millis(40);
const LAST_PAUSE: Duration = Duration::from_millis(2_000);

/// Shortest pause, also of a gang that is about to miss its time limit.
const MIN_PAUSE: Duration = Duration::from_millis(10);

/// Pause before the router is asked again for members with room.
const PLAN_PAUSE: Duration = Duration::from_millis(200);

/// When to come back, where nobody says better.
const RETRY_AFTER_MS: u64 = 1_000;

/// When to come back for a request that crashed backend servers.
const QUARANTINE_RETRY_MS: u64 = 60_000;

/// What a gang is for.
#[derive(Clone, Debug)]
pub struct Profile {
    /// The request.
    pub request: id::Request,
    /// The prompt's text.
    pub body: Bytes,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// When the request came.
    pub accepted: Duration,
    /// When it must have its final answer.
    pub deadline: Duration,
    /// Seed of the pauses' jitter.
    pub seed: u64,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The router's word on the members.
    Planned(Plan),
    /// A reply came, on whatever stream of a segment.
    Reply(run::Reply),
    /// The stream of this segment's attempt failed or ended.
    Lost(id::Attempt),
    /// The final run is over without a whole answer, and the request may be tried again.
    Restart,
    /// The request is over.
    Close,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask the router for members.
    Plan {
        /// Whether members were lost, which the retry budget must allow.
        retry: bool,
    },
    /// Open a stream to the target and offer a segment.
    Offer {
        /// Where.
        target: request::Target,
        /// As what.
        attempt: id::Attempt,
        /// Its part of the prompt.
        segment: Range<usize>,
        /// Estimated tokens of it.
        tokens: u64,
        /// Tokens to keep for the final run.
        final_tokens: u64,
    },
    /// Send `Hold`.
    Hold(id::Attempt, Vec<run::Context>),
    /// Open a new stream to the target and query.
    Query(request::Target, id::Attempt),
    /// Send `Cancel`, on the stream if it is open, else on a new one to the target.
    Cancel(request::Target, id::Attempt),
    /// A part of so many bytes has so many tokens.
    Learn(u64, u64),
    /// All segments are held: the final run may start.
    Ready {
        /// Where.
        target: request::Target,
        /// The segments, in order.
        context: Vec<run::Context>,
        /// Where the tail of the prompt starts.
        tail: usize,
    },
    /// A member was lost under the final run, which must be stopped.
    StopRun(outcome::Failure),
    /// There is no place for the request. The last action.
    Fail(outcome::Failure),
}

/// Where a gang is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for the router.
    Planning,
    /// Has nothing, and plans again at this time. Invariant: no members.
    Pausing(Duration),
    /// Reserves the member with this number.
    Reserving(usize),
    /// Prefills the segment with this number.
    Filling(usize),
    /// All are held; the final run goes on.
    Ready,
    /// The final run was told to stop; `Restart` or `Close` follows. Invariant: no members.
    Idle,
    /// It is over. Invariant: no members.
    Over,
}

/// A gang on its way.
#[derive(Clone, Debug)]
pub struct Gang {
    profile: Profile,
    phase: Phase,
    /// In the global order: by the name of the server. Those up to the one being reserved were
    /// offered.
    members: Vec<Member>,
    /// What was planned and not yet offered, the next one last.
    planned: Vec<(plan::Share, Range<usize>)>,
    /// Attempts so far. Invariant: a number is offered once.
    attempts: u32,
    /// Refusals in a row.
    refusals: u32,
    losses: u32,
    deaths: u32,
    /// Whether the next plan follows a loss.
    retry: bool,
    rng: rngs::SmallRng,
}

impl Gang {
    /// A gang that waits for its first plan.
    pub fn new(profile: Profile) -> Self {
        let rng = rngs::SmallRng::seed_from_u64(profile.seed);
        Self {
            profile,
            phase: Phase::Planning,
            members: Vec::new(),
            planned: Vec::new(),
            attempts: 0,
            refusals: 0,
            losses: 0,
            deaths: 0,
            retry: false,
            rng,
        }
    }

    /// Whether an attempt is one of a segment.
    pub fn is_segment(attempt: id::Attempt) -> bool {
        attempt.number >= FIRST_NUMBER
    }

    /// Takes an event.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        if self.phase == Phase::Over {
            return out;
        }
        if matches!(event, Event::Close) {
            self.release(&mut out);
            self.phase = Phase::Over;
            return out;
        }
        if now >= self.profile.deadline {
            let failure =
                outcome::Failure::not_run(Cause::Deadline, None, "the time limit has passed");
            self.fail(failure, &mut out);
            return out;
        }
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Planned(plan) => self.planned(now, plan, &mut out),
            Event::Reply(reply) => self.reply(now, reply, &mut out),
            Event::Lost(attempt) => {
                if let Some(at) = self.position(attempt)
                    && !self.members[at].lose(now)
                {
                    self.lost(now, at, &mut out);
                }
            }
            Event::Restart => {
                if matches!(self.phase, Phase::Ready | Phase::Idle) {
                    self.release(&mut out);
                    self.retry = true;
                    self.plan(&mut out);
                }
            }
            Event::Close => {}
        }
        out
    }

    /// When `Tick` is due next.
    pub fn wake(&self) -> Duration {
        let members = self.members.iter().filter_map(Member::wake);
        let pause = match self.phase {
            Phase::Pausing(until) => Some(until),
            _ => None,
        };
        let wake = members.chain(pause).min();
        wake.map_or(self.profile.deadline, |at| at.min(self.profile.deadline))
    }

    /// Members that hold something, or may.
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// Whether it is over.
    pub fn is_over(&self) -> bool {
        self.phase == Phase::Over
    }

    fn position(&self, attempt: id::Attempt) -> Option<usize> {
        self.members.iter().position(|m| m.attempt == attempt)
    }

    fn plan(&mut self, out: &mut Vec<Action>) {
        self.phase = Phase::Planning;
        out.push(Action::Plan { retry: self.retry });
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        if let Phase::Pausing(until) = self.phase {
            if until <= now {
                self.plan(out);
            }
            return;
        }
        if let Some(at) = self.members.iter().position(|m| m.is_gone(now)) {
            return self.lost(now, at, out);
        }
        for member in self.members.iter_mut().filter(|m| m.is_due(now)) {
            member.ask(now);
            out.push(Action::Query(member.target.clone(), member.attempt));
        }
    }

    fn planned(&mut self, now: Duration, plan: Plan, out: &mut Vec<Action>) {
        if self.phase != Phase::Planning {
            return;
        }
        let shares = match plan {
            Plan::Wait => {
                let pause = PLAN_PAUSE.mul_f64(self.jitter());
                self.phase = Phase::Pausing(now + pause);
                return;
            }
            Plan::Members(shares) => shares,
        };
        self.retry = false;
        let parts = plan::split(&self.profile.body, &shares);
        self.planned = shares
            .into_iter()
            .zip(parts)
            .filter(|(_, segment)| !segment.is_empty())
            .collect();
        self.planned
            .sort_by(|a, b| b.0.target.server.cmp(&a.0.target.server));
        if self.planned.is_empty() {
            let failure = outcome::Failure::not_run(
                Cause::Internal,
                Some(RETRY_AFTER_MS),
                "the prompt could not be split",
            );
            return self.fail(failure, out);
        }
        self.reserve(now, out);
    }

    /// Offers the next segment, or starts the prefill when all are reserved.
    fn reserve(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Some((share, segment)) = self.planned.pop() else {
            self.refusals = 0;
            return self.fill(now, 0, out);
        };
        self.phase = Phase::Reserving(self.members.len());
        let attempt = id::Attempt {
            request: self.profile.request,
            number: FIRST_NUMBER + self.attempts,
        };
        self.attempts += 1;
        let final_tokens = if self.planned.is_empty() {
            plan::final_run_tokens(self.profile.max_tokens)
        } else {
            0
        };
        let member = Member::new(
            now,
            share.target.clone(),
            attempt,
            segment.clone(),
            share.tokens,
            final_tokens,
        );
        self.members.push(member);
        out.push(Action::Offer {
            target: share.target,
            attempt,
            segment,
            tokens: share.tokens,
            final_tokens,
        });
    }

    /// Starts the prefill of a segment, or the final run when all are held.
    fn fill(&mut self, now: Duration, at: usize, out: &mut Vec<Action>) {
        let context: Vec<run::Context> = self
            .members
            .iter()
            .filter_map(|member| match &member.step {
                Step::Held(segment) => Some(segment.clone()),
                _ => None,
            })
            .collect();
        if let Some(member) = self.members.get_mut(at) {
            member.step = Step::Filling;
            member.heard(now);
            out.push(Action::Hold(member.attempt, context));
            self.phase = Phase::Filling(at);
            return;
        }
        self.phase = Phase::Ready;
        if let Some(last) = self.members.last() {
            out.push(Action::Ready {
                target: last.target.clone(),
                context,
                tail: last.segment.end,
            });
        }
    }

    fn reply(&mut self, now: Duration, reply: run::Reply, out: &mut Vec<Action>) {
        let Some(at) = self.position(reply.attempt()) else {
            return;
        };
        match reply {
            run::Reply::Reserved(_) => {
                if self.phase == Phase::Reserving(at) {
                    self.members[at].step = Step::Reserved;
                    self.members[at].heard(now);
                    self.reserve(now, out);
                }
            }
            run::Reply::Started(_) => {
                if !matches!(self.members[at].step, Step::Offered) {
                    self.members[at].heard(now);
                }
            }
            run::Reply::Held {
                segment, tokens, ..
            } => {
                self.members[at].heard(now);
                if self.phase == Phase::Filling(at) {
                    let member = &mut self.members[at];
                    member.step = Step::Held(segment);
                    out.push(Action::Learn(member.segment.len() as u64, tokens));
                    self.fill(now, at + 1, out);
                }
            }
            run::Reply::Refused { failure, .. } => {
                self.members.remove(at);
                self.refused(now, failure, out);
            }
            run::Reply::Failed { failure, .. } => {
                self.members.remove(at);
                self.failed(now, failure, out);
            }
            run::Reply::Unknown(_) => self.lost(now, at, out),
            // Of a run, which is no segment.
            run::Reply::Head { .. } | run::Reply::Chunk { .. } | run::Reply::Done { .. } => {}
        }
    }

    /// A member was not reserved, or its reservation was taken back: nothing of it ran.
    fn refused(&mut self, now: Duration, failure: outcome::Failure, out: &mut Vec<Action>) {
        if matches!(self.phase, Phase::Ready) {
            return self.break_up(failure, out);
        }
        self.release(out);
        if is_final(failure.cause) {
            return self.fail(failure, out);
        }
        let pause = FIRST_PAUSE * 2u32.saturating_pow(self.refusals.min(8));
        self.refusals += 1;
        self.pause(now, pause.min(LAST_PAUSE));
    }

    /// A member's segment was lost.
    fn failed(&mut self, now: Duration, failure: outcome::Failure, out: &mut Vec<Action>) {
        self.deaths += u32::from(failure.cause == Cause::ServerLost);
        if self.phase == Phase::Ready {
            return self.break_up(failure, out);
        }
        self.release(out);
        self.losses += 1;
        self.retry = true;
        if self.deaths >= MAX_DEATHS {
            let failure = outcome::Failure::not_run(
                Cause::Quarantined,
                Some(QUARANTINE_RETRY_MS),
                "backend servers were lost under the prefill of this request",
            );
            return self.fail(failure, out);
        }
        if is_final(failure.cause) || self.losses > MAX_LOSSES {
            return self.fail(failure, out);
        }
        self.pause(now, FIRST_PAUSE);
    }

    /// Contact to a member is lost; what it holds is released with the others.
    fn lost(&mut self, now: Duration, at: usize, out: &mut Vec<Action>) {
        let server = &self.members[at].target.server;
        let message = format!("contact to {server}, which held part of the prompt, was lost");
        let failure = outcome::Failure::not_run(Cause::NoServer, Some(RETRY_AFTER_MS), &message);
        self.failed(now, failure, out);
    }

    /// A member is gone under the final run.
    fn break_up(&mut self, failure: outcome::Failure, out: &mut Vec<Action>) {
        self.release(out);
        self.phase = Phase::Idle;
        out.push(Action::StopRun(failure));
    }

    /// Gives everything back.
    fn release(&mut self, out: &mut Vec<Action>) {
        self.planned.clear();
        for member in self.members.drain(..) {
            out.push(Action::Cancel(member.target, member.attempt));
        }
    }

    /// Tries again later: the sooner, the more of its time limit is gone, so that an old gang
    /// comes before a young one.
    fn pause(&mut self, now: Duration, pause: Duration) {
        let accepted = self.profile.accepted;
        let limit = self.profile.deadline.saturating_sub(accepted);
        let left = self.profile.deadline.saturating_sub(now);
        let young = left.as_secs_f64() / limit.as_secs_f64().max(1e-3);
        let pause = pause.mul_f64(young.clamp(0.0, 1.0) * self.jitter());
        self.phase = Phase::Pausing(now + pause.max(MIN_PAUSE));
    }

    fn jitter(&mut self) -> f64 {
        self.rng.random_range(0.5..1.5)
    }

    /// The prefill of segments is no run of the request, so it did not run.
    fn fail(&mut self, failure: outcome::Failure, out: &mut Vec<Action>) {
        self.release(out);
        self.phase = Phase::Over;
        out.push(Action::Fail(outcome::Failure {
            ran: outcome::Ran::NotRun,
            retry_after_ms: failure.retry_after_ms.or(Some(RETRY_AFTER_MS)),
            ..failure
        }));
    }
}

/// Whether no other members would make it otherwise.
fn is_final(cause: Cause) -> bool {
    matches!(
        cause,
        Cause::BadRequest | Cause::TooLarge | Cause::Deadline | Cause::Quarantined
    )
}
