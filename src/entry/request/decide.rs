//! The decisions of a request on its way.

use std::time::Duration;

use super::Action;
use super::Event;
use super::Profile;
use super::Target;
use super::answer;
use super::attempt;
use super::attempt::Step;
use crate::wire::agree;
use crate::wire::id;
use crate::wire::outcome;
use crate::wire::outcome::Cause;
use crate::wire::outcome::Ran;
use crate::wire::run;

/// Most attempts of one request, whatever the retry budget allows.
pub const MAX_ATTEMPTS: u32 = 16;

/// Backend servers that may die under one request before it is refused as quarantined.
pub const MAX_DEATHS: u32 = 2;

/// When to come back, where nobody says better.
pub const RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// When to come back for a request that crashed backend servers.
pub const QUARANTINE_RETRY: Duration = Duration::from_millis(60_000);

/// Where a request is.
#[derive(Clone, Debug)]
enum Phase {
    /// Waits for control's verdict on its claim.
    Claiming,
    /// Waits for the router.
    Choosing,
    /// An attempt is in progress.
    Trying(attempt::Attempt),
    /// It has its final answer.
    Over,
}

/// A request on its way.
#[derive(Clone, Debug)]
pub struct Request {
    profile: Profile,
    phase: Phase,
    /// Attempts so far. Invariant: a number is offered once.
    attempts: u32,
    /// Backend servers tried, each once.
    tried: Vec<String>,
    /// Backend servers that died under it, or one again.
    deaths: u32,
    answer: answer::Answer,
    /// Whether an attempt that was given up may have run. Invariant: once set on a request that
    /// is not repeatable, no other attempt follows.
    doubtful: bool,
    /// Whether control may hold a claim for it.
    claimed: bool,
}

impl Request {
    /// A request and its first actions.
    pub fn new(now: Duration, profile: Profile) -> (Self, Vec<Action>) {
        let claimed = !profile.repeatable && profile.key.is_some();
        let mut request = Self {
            profile,
            phase: Phase::Choosing,
            attempts: 0,
            tried: Vec::new(),
            deaths: 0,
            answer: answer::Answer::default(),
            doubtful: false,
            claimed,
        };
        let mut out = Vec::new();
        if request.expire(now, &mut out) {
            return (request, out);
        }
        if claimed {
            request.phase = Phase::Claiming;
            out.push(Action::Claim);
        } else {
            request.choose(false, &mut out);
        }
        (request, out)
    }

    /// Takes an event.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        if matches!(self.phase, Phase::Over) || self.expire(now, &mut out) {
            return out;
        }
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::ClaimResult(verdict) => self.verdict(verdict, &mut out),
            Event::Chosen(target) => self.chosen(now, target, &mut out),
            Event::Unplaced(failure) => self.unplaced(failure, &mut out),
            Event::Reply(reply) => self.reply(now, reply, &mut out),
            Event::Lost(id) => self.lost(now, id, &mut out),
            Event::Disconnected => self.give_up(Cause::Cancelled, "the caller went away", &mut out),
            Event::ShuttingDown => {
                self.give_up(
                    Cause::Draining,
                    "this entry ends before the answer",
                    &mut out,
                );
            }
        }
        out
    }

    /// When `Tick` is due next.
    pub fn wake(&self) -> Duration {
        let Phase::Trying(current) = &self.phase else {
            return self.profile.deadline;
        };
        let mut wake = self.profile.deadline;
        if let Some(at) = current.ask_at() {
            wake = wake.min(at);
        }
        if let Some(at) = current.stale_at()
            && self.can_move()
        {
            wake = wake.min(at);
        }
        wake
    }

    /// Whether it has its final answer.
    pub fn is_over(&self) -> bool {
        matches!(self.phase, Phase::Over)
    }

    /// Gives the final answer if the time limit has passed.
    fn expire(&mut self, now: Duration, out: &mut Vec<Action>) -> bool {
        if now < self.profile.deadline {
            return false;
        }
        self.give_up(Cause::Deadline, "the time limit has passed", out);
        true
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        let can_move = self.can_move();
        let Phase::Trying(current) = &mut self.phase else {
            return;
        };
        if current.step == Step::Offered && current.is_due(now) {
            // Without a start it cannot run, so another attempt is safe.
            out.push(Action::Cancel(current.target.clone(), current.id));
            return self.elsewhere(out);
        }
        if current.is_stale(now) && can_move {
            out.push(Action::Cancel(current.target.clone(), current.id));
            self.doubtful = true;
            return self.elsewhere(out);
        }
        if current.is_due(now) {
            current.asked(now);
            out.push(Action::Query {
                target: current.target.clone(),
                attempt: current.id,
                offset: self.answer.length(),
            });
        }
    }

    fn verdict(&mut self, verdict: agree::Verdict, out: &mut Vec<Action>) {
        if !matches!(self.phase, Phase::Claiming) {
            return;
        }
        match verdict {
            agree::Verdict::Claimed => self.choose(false, out),
            agree::Verdict::Held { ended, .. } => {
                // The claim is another's: nothing to settle.
                self.claimed = false;
                self.fail(held(ended), out);
            }
            agree::Verdict::Mismatch => {
                self.claimed = false;
                let failure = outcome::Failure::not_run(
                    Cause::KeyMismatch,
                    None,
                    "the idempotency key came with another body before",
                );
                self.fail(failure, out);
            }
            _ => {
                let failure = outcome::Failure::not_run(
                    Cause::NoQuorum,
                    Some(millis(RETRY_AFTER)),
                    "the claim of the idempotency key could not be agreed on",
                );
                self.fail(failure, out);
            }
        }
    }

    fn chosen(&mut self, now: Duration, target: Target, out: &mut Vec<Action>) {
        if !matches!(self.phase, Phase::Choosing) {
            return;
        }
        self.attempts += 1;
        if !self.tried.contains(&target.server) {
            self.tried.push(target.server.clone());
        }
        let id = id::Attempt {
            request: self.profile.request,
            number: self.attempts,
        };
        let start = self.profile.repeatable;
        out.push(Action::Offer {
            target: target.clone(),
            attempt: id,
            start,
            delivered: self.answer.tokens().to_vec(),
        });
        let body_len = self.profile.body_len;
        self.phase = Phase::Trying(attempt::Attempt::new(now, target, id, start, body_len));
    }

    fn unplaced(&mut self, mut failure: outcome::Failure, out: &mut Vec<Action>) {
        if !matches!(self.phase, Phase::Choosing) {
            return;
        }
        if self.doubtful {
            failure.ran = Ran::MayHaveRun;
        }
        self.fail(failure, out);
    }

    fn lost(&mut self, now: Duration, id: id::Attempt, out: &mut Vec<Action>) {
        let Phase::Trying(current) = &mut self.phase else {
            return;
        };
        if current.id != id {
            return;
        }
        if current.step == Step::Offered {
            out.push(Action::Cancel(current.target.clone(), id));
            return self.elsewhere(out);
        }
        current.lose(now);
    }

    fn reply(&mut self, now: Duration, reply: run::Reply, out: &mut Vec<Action>) {
        let Phase::Trying(current) = &mut self.phase else {
            return;
        };
        if current.id != reply.attempt() {
            return;
        }
        match reply {
            run::Reply::Reserved(id) => {
                if current.step == Step::Offered {
                    current.start(now);
                    out.push(Action::Start(id));
                }
            }
            run::Reply::Refused { failure, .. } => self.refused(failure, out),
            run::Reply::Started(_) => {
                current.step = Step::Started;
                current.heard(now);
            }
            run::Reply::Head {
                status, headers, ..
            } => {
                current.step = Step::Started;
                current.heard(now);
                out.extend(self.answer.head(status, headers));
            }
            run::Reply::Chunk {
                offset,
                tokens,
                bytes,
                ..
            } => {
                current.step = Step::Started;
                let place = if self.profile.plain {
                    self.answer.place_bytes(offset, bytes)
                } else {
                    self.answer.place_tokens(offset, tokens)
                };
                match place {
                    answer::Place::Next(action) => {
                        current.heard(now);
                        out.push(action);
                    }
                    answer::Place::Known => current.heard(now),
                    answer::Place::Gap => {
                        current.miss(now);
                        self.tick(now, out);
                    }
                }
            }
            run::Reply::Done {
                length, end, usage, ..
            } => self.done(now, length, end, usage, out),
            run::Reply::Failed { failure, .. } => {
                self.deaths += u32::from(failure.cause == Cause::ServerLost);
                self.failed(failure, out);
            }
            // Of a segment, which is no attempt of this machine.
            run::Reply::Held { .. } => {}
            run::Reply::Unknown(_) => {
                // The sidecar restarted, which says nothing of the backend server.
                let failure = outcome::Failure::may_have_run(
                    Cause::ServerLost,
                    "the sidecar restarted and does not know the attempt",
                );
                self.stopped(failure, out);
            }
        }
    }

    fn done(
        &mut self,
        now: Duration,
        length: u64,
        end: run::End,
        usage: run::Usage,
        out: &mut Vec<Action>,
    ) {
        let Phase::Trying(current) = &mut self.phase else {
            return;
        };
        let missing =
            length > self.answer.length() || (self.profile.plain && !self.answer.has_head());
        if missing {
            current.step = Step::Started;
            current.miss(now);
            return self.tick(now, out);
        }
        if length < self.answer.length() {
            let failure = outcome::Failure {
                cause: Cause::ServerError,
                ran: Ran::Ran,
                retry_after_ms: None,
                message: "the answer's length does not match what was delivered".to_owned(),
            };
            return self.fail(failure, out);
        }
        self.settle(Ran::Ran, out);
        out.push(Action::Done { end, usage });
        self.phase = Phase::Over;
    }

    /// The attempt was not run and never will be.
    fn refused(&mut self, failure: outcome::Failure, out: &mut Vec<Action>) {
        if is_final(failure.cause) || self.attempts >= MAX_ATTEMPTS {
            let failure = outcome::Failure {
                ran: if self.doubtful {
                    Ran::MayHaveRun
                } else {
                    Ran::NotRun
                },
                ..failure
            };
            return self.fail(failure, out);
        }
        self.elsewhere(out);
    }

    fn failed(&mut self, failure: outcome::Failure, out: &mut Vec<Action>) {
        if failure.ran == Ran::NotRun {
            return self.refused(failure, out);
        }
        self.stopped(failure, out);
    }

    /// The attempt ended without a whole answer, and ran or may have run.
    fn stopped(&mut self, failure: outcome::Failure, out: &mut Vec<Action>) {
        if !self.can_move() || is_final(failure.cause) {
            return self.fail(failure, out);
        }
        self.doubtful = true;
        if self.deaths >= MAX_DEATHS {
            let failure = outcome::Failure {
                cause: Cause::Quarantined,
                ran: Ran::MayHaveRun,
                retry_after_ms: Some(millis(QUARANTINE_RETRY)),
                message: "backend servers were lost under this request".to_owned(),
            };
            return self.fail(failure, out);
        }
        self.elsewhere(out);
    }

    /// Whether another attempt may follow one that may have run.
    fn can_move(&self) -> bool {
        self.profile.repeatable
            && self.attempts < MAX_ATTEMPTS
            && !(self.profile.plain && self.answer.begun())
    }

    fn choose(&mut self, retry: bool, out: &mut Vec<Action>) {
        self.phase = Phase::Choosing;
        out.push(Action::Choose {
            retry,
            avoid: self.tried.clone(),
        });
    }

    fn elsewhere(&mut self, out: &mut Vec<Action>) {
        self.choose(true, out);
    }

    /// Stops whatever is in progress and gives the final answer, with the truth of what is known.
    fn give_up(&mut self, cause: Cause, message: &str, out: &mut Vec<Action>) {
        let mut ran = if self.doubtful {
            Ran::MayHaveRun
        } else {
            Ran::NotRun
        };
        if let Phase::Trying(current) = &self.phase {
            out.push(Action::Cancel(current.target.clone(), current.id));
            if current.step > Step::Offered {
                ran = Ran::MayHaveRun;
            }
        }
        let failure = outcome::Failure {
            cause,
            ran,
            retry_after_ms: (ran == Ran::NotRun).then_some(millis(RETRY_AFTER)),
            message: message.to_owned(),
        };
        self.fail(failure, out);
    }

    fn fail(&mut self, mut failure: outcome::Failure, out: &mut Vec<Action>) {
        if failure.ran == Ran::NotRun && is_passing(failure.cause) {
            failure.retry_after_ms.get_or_insert(millis(RETRY_AFTER));
        }
        self.settle(failure.ran, out);
        out.push(Action::Fail(failure));
        self.phase = Phase::Over;
    }

    fn settle(&mut self, ran: Ran, out: &mut Vec<Action>) {
        if self.claimed {
            self.claimed = false;
            out.push(Action::Settle(ran));
        }
    }
}

/// What the holder of a claim means for another request with the same key.
fn held(ended: Option<(Ran, u16)>) -> outcome::Failure {
    match ended {
        None => outcome::Failure {
            cause: Cause::KeyRunning,
            ran: Ran::MayHaveRun,
            retry_after_ms: Some(millis(RETRY_AFTER)),
            message: "a request with this idempotency key is running".to_owned(),
        },
        Some((ran, status)) => outcome::Failure {
            cause: Cause::KeyRan,
            ran,
            retry_after_ms: None,
            message: format!("a request with this idempotency key ended with status {status}"),
        },
    }
}

/// Whether no other backend server would answer otherwise.
fn is_final(cause: Cause) -> bool {
    matches!(
        cause,
        Cause::BadRequest | Cause::TooLarge | Cause::TooLong | Cause::Deadline | Cause::Quarantined
    )
}

/// Whether the same request may succeed later.
fn is_passing(cause: Cause) -> bool {
    !matches!(
        cause,
        Cause::BadRequest
            | Cause::Unauthorized
            | Cause::NotFound
            | Cause::TooLarge
            | Cause::TooLong
            | Cause::KeyMismatch
            | Cause::KeyRan
    )
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
