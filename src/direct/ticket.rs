//! Memory that is set aside at one server for one attempt: what is known of it, and which order is
//! due next.
//!
//! An order without an answer may be carried out seconds later, after newer ones. A reserve order may
//! so take the memory again after a release that was answered. The release is then repeated until no
//! such order can be carried out any more.

use std::time::Duration;

/// Renewals within the time of a reservation.
const RENEWALS_PER_HOLD: u32 = 3;

/// Time from the sending of an order that failed to its repetition. Two renewals may fail at a server
/// with a limit, which is renewed when a third of the time of a reservation is left.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Time after which a reserve order without an answer is no longer carried out.
pub const MAX_LATENESS: Duration = Duration::from_secs(13);

/// Pause between releases while a reserve order may still be carried out. Memory that it takes is
/// free again within two seconds, also if one release gets no answer.
pub const REPEAT_PAUSE: Duration = Duration::from_millis(1_200);

/// Time after the last sign of life of the writing server at which the memory is free, as a factor of
/// the time of a reservation. With it the memory of a server that died is free within the bound of
/// which a reservation is 0.7, and a server that is silent for two seconds keeps its memory.
const HOLDS_AFTER_LIFE: f64 = 1.25;

/// Probes of the writing server within the time of a reservation.
const PROBES_PER_HOLD: u32 = 4;

/// Time from a probe without an answer to the next.
const PROBE_PAUSE: Duration = Duration::from_millis(350);

/// Time before the end of a reservation at which it is renewed at the latest: time for one order.
const LAST_RENEWAL: Duration = Duration::from_millis(400);

/// Least gain of a renewal, as a part of the time of a reservation.
const MIN_GAIN_PART: u32 = 8;

/// An order to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Reserve the memory for this time.
    Reserve(Duration),
    /// Renew its reservation for this time.
    Renew(Duration),
    /// Release the memory.
    Release,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It was carried out.
    Done,
    /// It does not fit the state of the server, or reached another instance.
    Rejected,
    /// The server was too busy or failed, and may carry out the same order later.
    Busy,
    /// There was no connection, so it can't be carried out.
    Unsent,
    /// It was sent and got no answer.
    Missing,
}

/// How a ticket ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// No memory was ever taken.
    Unused,
    /// The memory is released.
    Released,
    /// The reservation expired before a release was carried out.
    Expired,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send an order, and record what became of it.
    Send(Order),
    /// Nothing before this time, unless the view changes or the request ends.
    Wait(Duration),
    /// Nothing more.
    Done(End),
}

/// What decides beside the ticket itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// The present time.
    pub now: Duration,
    /// Last sign of life of the server that writes the answer.
    pub alive_at: Duration,
    /// Whether orders count against a limit of the server: it is renewed half as often.
    pub is_limited: bool,
    /// Until when the server wants nothing. A renewal waits as long as it can, a release until then.
    pub paused_until: Option<Duration>,
}

/// A reservation at one server. All times are on one clock.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Time of a reservation.
    hold: Duration,
    /// Deadline of the request. Nothing is renewed after it, so that the reservation expires even if
    /// nobody notices the end of the request.
    deadline: Duration,
    /// Whether the request has ended, did not begin, or has lost its memory.
    has_ended: bool,
    /// No order is sent before this time.
    quiet_until: Duration,
    /// The order under way, and when it was sent.
    under_way: Option<(Order, Duration)>,
    /// End of the reservation, counted from the sending of the last reserve order that was carried
    /// out. `None`: none was.
    expires_at: Option<Duration>,
    /// Until when a reserve order without an answer may be carried out.
    late_until: Option<Duration>,
    /// Whether a release was sent.
    has_sent_release: bool,
    /// When the last release that was carried out was sent.
    released_at: Option<Duration>,
}

impl Ticket {
    /// A ticket without memory yet, whose reservations last for `hold`, for a request with this
    /// deadline.
    pub fn new(hold: Duration, deadline: Duration) -> Self {
        Self {
            hold,
            deadline,
            has_ended: false,
            quiet_until: Duration::ZERO,
            under_way: None,
            expires_at: None,
            late_until: None,
            has_sent_release: false,
            released_at: None,
        }
    }

    /// The request has ended.
    pub fn end(&mut self) {
        self.has_ended = true;
    }

    /// Whether the request has ended, did not begin, or has lost its memory.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// What is due next. Not to be called while an order is under way.
    pub fn next(&mut self, view: View) -> Step {
        if !self.has_ended {
            if let Some(step) = self.next_reserve(view) {
                return step;
            }
            self.has_ended = true;
        }
        self.next_release(view)
    }

    /// Records that an order was sent.
    pub fn sent(&mut self, now: Duration, order: Order) {
        self.under_way = Some((order, now));
        self.has_sent_release |= order == Order::Release;
    }

    /// Records what became of the order under way.
    pub fn answered(&mut self, answer: Answer) {
        let Some((order, sent_at)) = self.under_way.take() else {
            return;
        };
        match (order, answer) {
            (Order::Reserve(time) | Order::Renew(time), Answer::Done) => {
                self.expires_at = Some(sent_at + time);
            }
            (Order::Reserve(_) | Order::Renew(_), _) => {
                if answer == Answer::Missing {
                    self.late_until = Some(sent_at + MAX_LATENESS);
                }
                // Without its memory a request does not begin.
                self.has_ended |= self.expires_at.is_none();
                self.quiet_until = sent_at + RETRY_PAUSE;
            }
            (Order::Release, Answer::Done | Answer::Rejected) => self.released_at = Some(sent_at),
            (Order::Release, _) => self.quiet_until = sent_at + RETRY_PAUSE,
        }
    }

    /// `None`: the reservation has expired. It is not taken again.
    fn next_reserve(&self, view: View) -> Option<Step> {
        let View {
            now,
            alive_at,
            is_limited,
            paused_until,
        } = view;
        let Some(expires_at) = self.expires_at else {
            return Some(Step::Send(Order::Reserve(self.hold)));
        };
        if now >= expires_at {
            return None;
        }
        if now >= self.deadline {
            return Some(Step::Wait(expires_at));
        }
        let period = self.hold / RENEWALS_PER_HOLD;
        let period = if is_limited { period * 2 } else { period };
        let due = (expires_at + period).saturating_sub(self.hold);
        let due = due.max(self.quiet_until);
        let last = expires_at.saturating_sub(LAST_RENEWAL);
        let due = due.max(paused_until.map_or(due, |until| until.min(last)));
        if now < due {
            return Some(Step::Wait(due.min(expires_at)));
        }
        let end = free_at(self.hold, alive_at).min(now + self.hold);
        if end < expires_at + self.hold / MIN_GAIN_PART {
            return Some(Step::Wait(expires_at));
        }
        Some(Step::Send(Order::Renew(end.saturating_sub(now))))
    }

    fn next_release(&self, view: View) -> Step {
        let now = view.now;
        let late_until = self
            .late_until
            .filter(|late| self.released_at.is_none_or(|released| released < *late));
        let due = match (self.released_at, late_until) {
            (Some(_), None) => return Step::Done(End::Released),
            (None, None) if self.expires_at.is_none() => return Step::Done(End::Unused),
            (None, _) => now,
            (Some(released), Some(late)) => late.min(released + REPEAT_PAUSE),
        };
        // From then on nothing is held, whatever became of the releases.
        let none_held_at = late_until.map(|late| late + self.hold).max(self.expires_at);
        let is_none_held = none_held_at.is_none_or(|at| now >= at);
        if is_none_held && (self.has_sent_release || view.paused_until.is_some()) {
            return Step::Done(End::Expired);
        }
        if let Some(until) = view.paused_until {
            return Step::Wait(none_held_at.map_or(until, |at| at.min(until)));
        }
        // The first release does not wait after a renewal that failed.
        if self.has_sent_release && now < due.max(self.quiet_until) {
            return Step::Wait(due.max(self.quiet_until));
        }
        Step::Send(Order::Release)
    }
}

/// Latest end of a reservation if the writing server gave its last sign of life at `alive_at`.
fn free_at(hold: Duration, alive_at: Duration) -> Duration {
    alive_at + hold.mul_f64(HOLDS_AFTER_LIFE)
}

/// What is known of the server that writes the answer, on which renewals depend. Only answers to
/// probes count as signs of life: bytes of the answer may have waited for their caller for long.
#[derive(Clone, Debug)]
pub struct Writer {
    hold: Duration,
    deadline: Duration,
    alive_at: Duration,
    /// When the last probe without an answer was sent.
    unanswered_at: Option<Duration>,
}

impl Writer {
    /// A server that is alive `now`.
    pub fn new(now: Duration, hold: Duration, deadline: Duration) -> Self {
        Self {
            hold,
            deadline,
            alive_at: now,
            unanswered_at: None,
        }
    }

    /// Last sign of life.
    pub fn alive_at(&self) -> Duration {
        self.alive_at
    }

    /// When the next probe is due. `None`: nothing is renewed any more.
    pub fn next_probe(&self, now: Duration) -> Option<Duration> {
        if now >= self.deadline || now >= free_at(self.hold, self.alive_at) {
            return None;
        }
        let due = self.alive_at + self.hold / PROBES_PER_HOLD;
        let retry = self.unanswered_at.map(|at| at + PROBE_PAUSE);
        Some(retry.map_or(due, |retry| retry.max(due)))
    }

    /// Records whether a probe that was sent at `sent_at` was answered.
    pub fn probed(&mut self, sent_at: Duration, is_answered: bool) {
        if is_answered {
            self.alive_at = sent_at;
            self.unanswered_at = None;
        } else {
            self.unanswered_at = Some(sent_at);
        }
    }
}
