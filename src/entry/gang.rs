//! A gang: several engines that together serve a prompt larger than one of them can hold.
//!
//! A pure state machine that runs between the router's placement of a request and its final run.
//! The members are reserved one by one in the global order of their servers' names, all or nothing.
//! A gang that is refused one releases the others at once and tries again after a back-off. No gang
//! waits while it holds a reservation, so gangs cannot deadlock. Then the segments of the prompt
//! are prefilled in sequence, each as the continuation of those before. When all are held, the
//! final run of the request may start; the members are held until it ends. The loss of any member
//! at any time releases all others.

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

/// First attempt number of segments. The attempt numbers of runs stay below it.
pub const FIRST_SEGMENT_NUMBER: u32 = 1 << 31;

/// Losses of members after which one request starts over; the next one fails it.
pub const MAX_LOSSES: u32 = 4;

/// Backend servers lost during the prefill of one request after which it is quarantined.
pub const MAX_SERVER_LOSSES: u32 = 2;

/// First and longest back-off after a refusal; it doubles with each consecutive one.
const FIRST_BACKOFF: Duration = Duration::from_millis(40);
const MAX_BACKOFF: Duration = Duration::from_millis(2_000);

/// Shortest back-off, also of a gang close to its deadline.
const MIN_BACKOFF: Duration = Duration::from_millis(10);

/// Time before the router is asked again for members with free memory.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// Retry-after of failures that bring none of their own.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// Retry-after of a request that crashed backend servers.
const QUARANTINE_RETRY_AFTER_MS: u64 = 60_000;

/// The request that a gang serves.
#[derive(Clone, Debug)]
pub struct Profile {
    pub request: id::Request,
    /// The prompt's text.
    pub body: Bytes,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// When the request arrived.
    pub accepted: Duration,
    /// When its final response is due.
    pub deadline: Duration,
    /// Seed of the back-offs' jitter.
    pub seed: u64,
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The router chose members, or found none free.
    Planned(Plan),
    /// A reply arrived, on any stream of a segment.
    Reply(run::Reply),
    /// The stream of this segment's attempt failed or ended.
    Lost(id::Attempt),
    /// The final run ended without a complete response, and the request may be retried.
    Restart,
    /// The request has ended.
    Close,
}

/// Output of the state machine, for its driver to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask the router for members.
    Plan {
        /// Whether members were lost, which the retry budget must allow.
        retry: bool,
    },
    /// Open a stream to the target and offer a segment.
    Offer {
        /// Backend server to offer it to.
        target: request::Target,
        /// Id of the segment's attempt.
        attempt: id::Attempt,
        /// Bytes of the prompt that form the segment.
        segment: Range<usize>,
        /// Estimated tokens of the segment.
        tokens: u64,
        /// Tokens of memory to reserve for the final run too.
        final_tokens: u64,
    },
    /// Send `Hold`, with the segments before it as context.
    Hold(id::Attempt, Vec<run::Context>),
    /// Open a new stream to the target and query the attempt.
    Query(request::Target, id::Attempt),
    /// Send `Cancel`, on the stream if it is open, else on a new one to the target.
    Cancel(request::Target, id::Attempt),
    /// Report the length of a segment, in bytes and in tokens, to the router's estimate.
    Learn(u64, u64),
    /// All segments are held: the final run may start.
    Ready {
        /// Backend server of the final run.
        target: request::Target,
        /// The segments, in order.
        context: Vec<run::Context>,
        /// Byte at which the tail, the prompt of the final run, starts.
        tail: usize,
    },
    /// A member was lost during the final run: stop the run.
    StopRun(outcome::Failure),
    /// The gang failed. No action follows.
    Fail(outcome::Failure),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for the router's plan.
    Planning,
    /// Plans again at this time. Invariant: no members.
    BackingOff(Duration),
    /// Reserves the member with this number.
    Reserving(usize),
    /// Prefills the segment with this number.
    Prefilling(usize),
    /// All segments are held for the final run.
    Ready,
    /// The final run is being stopped; `Restart` or `Close` follows. Invariant: no members.
    Idle,
    /// It has ended. Invariant: no members.
    Over,
}

/// A gang and its progress.
#[derive(Clone, Debug)]
pub struct Gang {
    profile: Profile,
    phase: Phase,
    /// Members that were offered a segment, in the global order: by the name of the server.
    members: Vec<Member>,
    /// Segments that are planned but not offered yet, the next one last.
    planned: Vec<(plan::Share, Range<usize>)>,
    /// Attempts so far. Invariant: each attempt number is offered only once.
    attempts: u32,
    /// Consecutive refusals.
    refusals: u32,
    /// Losses of members, for any reason.
    losses: u32,
    /// Losses of members whose backend server was lost.
    server_losses: u32,
    /// Whether the next plan follows a loss.
    retry: bool,
    rng: rngs::SmallRng,
}

impl Gang {
    /// A gang that waits for its first [`Event::Planned`].
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
            server_losses: 0,
            retry: false,
            rng,
        }
    }

    /// Whether an attempt is that of a segment.
    pub fn is_segment(attempt: id::Attempt) -> bool {
        attempt.number >= FIRST_SEGMENT_NUMBER
    }

    /// Handles an event. Returns the actions to carry out, in order.
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
                    && !self.members[at].on_stream_lost(now)
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
        let backoff = match self.phase {
            Phase::BackingOff(until) => Some(until),
            _ => None,
        };
        let wake = members.chain(backoff).min();
        wake.map_or(self.profile.deadline, |at| at.min(self.profile.deadline))
    }

    /// Members that have a reservation or a segment, or may have.
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// Whether it has ended.
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
        if let Phase::BackingOff(until) = self.phase {
            if until <= now {
                self.plan(out);
            }
            return;
        }
        if let Some(at) = self.members.iter().position(|m| m.is_lost(now)) {
            return self.lost(now, at, out);
        }
        for member in self.members.iter_mut().filter(|m| m.is_due(now)) {
            member.on_query(now);
            out.push(Action::Query(member.target.clone(), member.attempt));
        }
    }

    fn planned(&mut self, now: Duration, plan: Plan, out: &mut Vec<Action>) {
        if self.phase != Phase::Planning {
            return;
        }
        let shares = match plan {
            Plan::Wait => {
                let interval = PLAN_INTERVAL.mul_f64(self.jitter());
                self.phase = Phase::BackingOff(now + interval);
                return;
            }
            Plan::Members(shares) => shares,
        };
        self.retry = false;
        let segments = plan::split(&self.profile.body, &shares);
        self.planned = shares
            .into_iter()
            .zip(segments)
            .filter(|(_, segment)| !segment.is_empty())
            .collect();
        self.planned
            .sort_by(|a, b| b.0.target.server.cmp(&a.0.target.server));
        if self.planned.is_empty() {
            let failure = outcome::Failure::not_run(
                Cause::Internal,
                Some(DEFAULT_RETRY_AFTER_MS),
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
            return self.prefill(now, 0, out);
        };
        self.phase = Phase::Reserving(self.members.len());
        let attempt = id::Attempt {
            request: self.profile.request,
            number: FIRST_SEGMENT_NUMBER + self.attempts,
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
    fn prefill(&mut self, now: Duration, at: usize, out: &mut Vec<Action>) {
        let context: Vec<run::Context> = self
            .members
            .iter()
            .filter_map(|member| match &member.step {
                Step::Held(segment) => Some(segment.clone()),
                _ => None,
            })
            .collect();
        if let Some(member) = self.members.get_mut(at) {
            member.step = Step::Prefilling;
            member.on_reply(now);
            out.push(Action::Hold(member.attempt, context));
            self.phase = Phase::Prefilling(at);
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
                    self.members[at].on_reply(now);
                    self.reserve(now, out);
                }
            }
            run::Reply::Started(_) => {
                if !matches!(self.members[at].step, Step::Offered) {
                    self.members[at].on_reply(now);
                }
            }
            run::Reply::Held {
                segment, tokens, ..
            } => {
                self.members[at].on_reply(now);
                if self.phase == Phase::Prefilling(at) {
                    let member = &mut self.members[at];
                    member.step = Step::Held(segment);
                    out.push(Action::Learn(member.segment.len() as u64, tokens));
                    self.prefill(now, at + 1, out);
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
            // Belong to a run, not to a segment.
            run::Reply::Head { .. } | run::Reply::Chunk { .. } | run::Reply::Done { .. } => {}
        }
    }

    /// A member was not reserved, or its reservation was withdrawn: nothing of it ran.
    fn refused(&mut self, now: Duration, failure: outcome::Failure, out: &mut Vec<Action>) {
        if matches!(self.phase, Phase::Ready) {
            return self.stop_run(failure, out);
        }
        self.release(out);
        if is_final(failure.cause) {
            return self.fail(failure, out);
        }
        let backoff = FIRST_BACKOFF * 2u32.saturating_pow(self.refusals.min(8));
        self.refusals += 1;
        self.back_off(now, backoff.min(MAX_BACKOFF));
    }

    /// A member's segment was lost.
    fn failed(&mut self, now: Duration, failure: outcome::Failure, out: &mut Vec<Action>) {
        self.server_losses += u32::from(failure.cause == Cause::ServerLost);
        if self.phase == Phase::Ready {
            return self.stop_run(failure, out);
        }
        self.release(out);
        self.losses += 1;
        self.retry = true;
        if self.server_losses >= MAX_SERVER_LOSSES {
            let failure = outcome::Failure::not_run(
                Cause::Quarantined,
                Some(QUARANTINE_RETRY_AFTER_MS),
                "backend servers were lost under the prefill of this request",
            );
            return self.fail(failure, out);
        }
        if is_final(failure.cause) || self.losses > MAX_LOSSES {
            return self.fail(failure, out);
        }
        self.back_off(now, FIRST_BACKOFF);
    }

    /// Contact to a member was lost. It is released with the others.
    fn lost(&mut self, now: Duration, at: usize, out: &mut Vec<Action>) {
        let server = &self.members[at].target.server;
        let message = format!("contact to {server}, which held part of the prompt, was lost");
        let failure =
            outcome::Failure::not_run(Cause::NoServer, Some(DEFAULT_RETRY_AFTER_MS), &message);
        self.failed(now, failure, out);
    }

    /// A member was lost during the final run.
    fn stop_run(&mut self, failure: outcome::Failure, out: &mut Vec<Action>) {
        self.release(out);
        self.phase = Phase::Idle;
        out.push(Action::StopRun(failure));
    }

    /// Cancels all members.
    fn release(&mut self, out: &mut Vec<Action>) {
        self.planned.clear();
        for member in self.members.drain(..) {
            out.push(Action::Cancel(member.target, member.attempt));
        }
    }

    /// Plans again later. The more of the time limit has elapsed, the shorter the back-off, so that
    /// old gangs are favoured over new ones.
    fn back_off(&mut self, now: Duration, backoff: Duration) {
        let accepted = self.profile.accepted;
        let limit = self.profile.deadline.saturating_sub(accepted);
        let left = self.profile.deadline.saturating_sub(now);
        let left_part = left.as_secs_f64() / limit.as_secs_f64().max(1e-3);
        let backoff = backoff.mul_f64(left_part.clamp(0.0, 1.0) * self.jitter());
        self.phase = Phase::BackingOff(now + backoff.max(MIN_BACKOFF));
    }

    fn jitter(&mut self) -> f64 {
        self.rng.random_range(0.5..1.5)
    }

    /// Fails the request. The prefill of segments does not count as running it.
    fn fail(&mut self, failure: outcome::Failure, out: &mut Vec<Action>) {
        self.release(out);
        self.phase = Phase::Over;
        out.push(Action::Fail(outcome::Failure {
            ran: outcome::Ran::NotRun,
            retry_after_ms: failure.retry_after_ms.or(Some(DEFAULT_RETRY_AFTER_MS)),
            ..failure
        }));
    }
}

/// Whether other members would fail with the same cause.
fn is_final(cause: Cause) -> bool {
    matches!(
        cause,
        Cause::BadRequest | Cause::TooLarge | Cause::Deadline | Cause::Quarantined
    )
}
