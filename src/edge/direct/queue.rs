//! The requests of this entry that wait for a place: each is woken when it is its turn to be tried.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time;

use super::Direct;
use super::context::Context;
use super::turn;
use crate::direct::catalog;
use crate::direct::deadline;
use crate::direct::home;
use crate::direct::place;
use crate::direct::retry;
use crate::direct::waiting;
use crate::edge::event::Event;
use crate::log_event;
use crate::queue;

/// Time between two looks of all waiting requests whether they can complete before this process
/// exits.
const EXIT_POLL: Duration = Duration::from_millis(100);

/// Time between two looks of a long prompt that is not the first whether it is rejected for congestion.
const CONGESTION_POLL: Duration = Duration::from_millis(100);

/// Time after the last moment at which a request may wait, so that it may not when it is woken. That
/// moment is known to a millisecond.
const DUE_MARGIN: Duration = Duration::from_millis(2);

/// Time until the timer looks again while nothing waits. A new request wakes it earlier.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// Wakes one request.
#[derive(Default)]
struct Signal {
    woken: Notify,
    is_rejected: AtomicBool,
}

struct State {
    waiting: waiting::Waiting,
    /// Invariant: one for each waiting request.
    signals: HashMap<waiting::Ticket, Arc<Signal>>,
    /// When the timer wakes. `None`: only by a notice.
    timer_at: Option<Duration>,
}

/// The queue of an entry.
pub(super) struct Queue {
    state: Mutex<State>,
    /// Number of waiting requests, so that a change of load takes no lock while none waits.
    len: AtomicUsize,
    /// Notified when the timer is due earlier than it knows.
    timer_changed: Notify,
}

impl Queue {
    pub(super) fn new(bounds: queue::Bounds) -> Self {
        Self {
            state: Mutex::new(State {
                waiting: waiting::Waiting::new(bounds),
                signals: HashMap::new(),
                timer_at: None,
            }),
            len: AtomicUsize::new(0),
            timer_changed: Notify::new(),
        }
    }

    fn is_empty(&self) -> bool {
        self.len.load(Ordering::Acquire) == 0
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("queue lock")
    }

    /// Wakes requests, and the timer if it is due earlier than it knows.
    fn wake(&self, mut state: MutexGuard<'_, State>, tried: &[waiting::Ticket]) {
        for signal in tried.iter().filter_map(|ticket| state.signals.get(ticket)) {
            signal.woken.notify_one();
        }
        self.len.store(state.waiting.len(), Ordering::Release);
        let due = state.waiting.wake_at();
        let is_earlier = due.is_some_and(|due| state.timer_at.is_none_or(|known| due < known));
        if is_earlier {
            state.timer_at = due;
            drop(state);
            self.timer_changed.notify_one();
        }
    }
}

/// The place of a request in the queue, once it waits. Dropping it leaves the queue.
pub(super) struct Wait {
    direct: Arc<Direct>,
    queued: Option<(waiting::Ticket, Arc<Signal>)>,
    was_placed: bool,
}

impl Wait {
    pub(super) fn new(direct: &Arc<Direct>) -> Self {
        Self {
            direct: Arc::clone(direct),
            queued: None,
            was_placed: false,
        }
    }

    /// Whether others of its lane go first. Long prompts ask for their turn among all entries
    /// instead, and a request that no longer waits for a server with capacity passes the others.
    pub(super) fn is_behind(&self, context: &Context) -> bool {
        let queue = &self.direct.queue;
        if self.queued.is_some() || queue.is_empty() || context.lifetime.is_stopping() {
            return false;
        }
        let class = context.class();
        let may_wait = match class {
            waiting::Class::Short => context.may_wait_at_entry(),
            waiting::Class::Plain => context.may_wait_for_slot(),
            waiting::Class::Long => false,
        };
        may_wait && queue.state().waiting.has(&(context.service.clone(), class))
    }

    /// Waits until it is the turn of a request, or its wait must end.
    ///
    /// # Errors
    ///
    /// If the queue is full and it is rejected, or its caller has left meanwhile.
    pub(super) async fn pause(
        &mut self,
        context: &Context,
        turn: &turn::Turn,
        outcome: waiting::Outcome,
    ) -> Result<(), retry::Failure> {
        let signal = match &self.queued {
            Some((_, signal)) => Arc::clone(signal),
            None => self.join(context)?,
        };
        self.report(turn, outcome);
        signal.woken.notified().await;
        if signal.is_rejected.load(Ordering::Acquire) {
            return Err(self.reject(context, "full"));
        }
        // This process may have been frozen for longer than the caller waits.
        if context.is_abandoned() {
            return Err(self.reject(context, "abandoned"));
        }
        Ok(())
    }

    /// Lets those behind it go before it awaits anything but its turn.
    pub(super) fn pass(&self, time: Duration) {
        let Some((ticket, _)) = &self.queued else {
            return;
        };
        let now = self.direct.node.now();
        let mut state = self.direct.queue.state();
        let outcome = waiting::Outcome::Passes(now + time);
        let tried = state.waiting.report(now, *ticket, outcome);
        self.direct.queue.wake(state, &tried);
    }

    /// Notes that it has a place.
    pub(super) fn set_placed(&mut self) {
        self.was_placed = true;
    }

    fn report(&self, turn: &turn::Turn, outcome: waiting::Outcome) {
        let Some((ticket, _)) = &self.queued else {
            return;
        };
        let now = self.direct.node.now();
        let mut state = self.direct.queue.state();
        state.waiting.set_turn(*ticket, turn.ticket());
        let tried = state.waiting.report(now, *ticket, outcome);
        self.direct.queue.wake(state, &tried);
    }

    fn join(&mut self, context: &Context) -> Result<Arc<Signal>, retry::Failure> {
        let queue = &self.direct.queue;
        let now = self.direct.node.now();
        let item = item(now, context);
        let mut state = queue.state();
        let enqueued = state.waiting.enqueue(now, item);
        let waiting::Enqueued::Waits {
            ticket,
            ahead,
            rejected,
        } = enqueued
        else {
            drop(state);
            return Err(self.reject(context, "full"));
        };
        let signal: Arc<Signal> = Arc::default();
        state.signals.insert(ticket, Arc::clone(&signal));
        for ticket in rejected {
            if let Some(signal) = state.signals.remove(&ticket) {
                signal.is_rejected.store(true, Ordering::Release);
                signal.woken.notify_one();
            }
        }
        let (waiting, bytes) = (state.waiting.len(), state.waiting.bytes());
        queue.wake(state, &[]);
        self.queued = Some((ticket, Arc::clone(&signal)));
        if self.direct.log_limiter.allow(Event::RequestQueued, now) {
            log_event!(self.direct.node.log(), Event::RequestQueued, "request" => &context.request.id,
                "class" => context.class().name(), "priority" => context.priority,
                "ahead" => ahead, "waiting" => waiting, "bytes" => bytes,
                "left_ms" => context.time_left().as_millis() as u64);
        }
        Ok(signal)
    }

    /// Counts and logs a rejection.
    fn reject(&self, context: &Context, cause: &'static str) -> retry::Failure {
        let now = self.direct.node.now();
        self.direct.counts.rejected_waiting(cause);
        if self.direct.log_limiter.allow(Event::RequestShed, now) {
            log_event!(self.direct.node.log(), Event::RequestShed, "request" => &context.request.id,
                "cause" => cause, "class" => context.class().name(),
                "priority" => context.priority,
                "waiting" => self.direct.queue.len.load(Ordering::Acquire),
                "waited_ms" => context.began.elapsed().as_millis() as u64,
                "left_ms" => context.time_left().as_millis() as u64);
        }
        retry::Failure::Away(retry::retry_after(context.time_left()))
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        let Some((ticket, _)) = self.queued.take() else {
            return;
        };
        let now = self.direct.node.now();
        let mut state = self.direct.queue.state();
        state.signals.remove(&ticket);
        let tried = state.waiting.remove(now, ticket, self.was_placed);
        self.direct.queue.wake(state, &tried);
    }
}

/// A request as the queue knows it.
fn item(now: Duration, context: &Context) -> waiting::Item {
    let budget = context.time_budget();
    let need = context.need();
    let class = context.class();
    let engine = context.engine.filter(|_| class != waiting::Class::Plain);
    let arrived = now.saturating_sub(budget.waited);
    let objective = context.route.objective;
    let min_first = deadline::millis(context.min_first_ms());
    let (start_by, due_at) = match &engine {
        Some(engine) => {
            let patient = deadline::Budget {
                until_abandoned: Duration::MAX,
                ..budget
            };
            let starts = |after| patient.allows(engine, &need, min_first + after);
            let holds = |after| later(budget, after).may_wait_at_entry(engine, &need);
            let lasts = |after| later(budget, after).may_still_start(engine, &need);
            let most = budget.until_abandoned;
            let held = waiting::longest(most, holds);
            let due = if held.is_zero() {
                waiting::longest(most, lasts)
            } else {
                held
            };
            (waiting::longest(budget.until_deadline, starts), due)
        }
        None => (
            budget.until_deadline.saturating_sub(objective),
            waiting::longest(objective, |after| {
                waiting::may_hold(objective, budget.waited + after)
            }),
        ),
    };
    let due_at = match class {
        waiting::Class::Long => CONGESTION_POLL,
        waiting::Class::Short | waiting::Class::Plain => due_at + DUE_MARGIN,
    };
    waiting::Item {
        service: context.service.clone(),
        class,
        priority: context.priority,
        workspace: context.workspace.clone(),
        arrived,
        objective,
        on_time_until: arrived + objective.saturating_sub(min_first),
        abandoned_at: now + budget.until_abandoned,
        deadline: now + budget.until_deadline,
        start_by: now + start_by,
        due_at: now + due_at,
        bytes: context.body.len(),
        prompt: engine
            .filter(|_| class == waiting::Class::Long)
            .map(|engine| waiting::Prompt { engine, need }),
    }
}

/// A budget `after` some time more of waiting.
fn later(budget: deadline::Budget, after: Duration) -> deadline::Budget {
    deadline::Budget {
        waited: budget.waited + after,
        until_abandoned: budget.until_abandoned.saturating_sub(after),
        until_deadline: budget.until_deadline.saturating_sub(after),
        ..budget
    }
}

impl Context {
    /// Its class in the queue.
    pub(super) fn class(&self) -> waiting::Class {
        let engine = self.engine.filter(|_| self.request.size.is_some());
        match engine {
            None => waiting::Class::Plain,
            Some(engine) if place::is_long(&engine, &self.need()) => waiting::Class::Long,
            Some(_) => waiting::Class::Short,
        }
    }

    /// Whether it is a plain call that may wait for a slot.
    pub(super) fn may_wait_for_slot(&self) -> bool {
        self.history.tried == 0
            && self.class() == waiting::Class::Plain
            && waiting::may_hold(self.route.objective, self.began.elapsed())
    }

    /// Whether it may use only some of the servers of its service.
    pub(super) fn is_confined(&self) -> bool {
        self.homes != home::Homes::default()
            || !self.open_at.is_empty()
            || !self.failed_servers.is_empty()
    }

    /// Whether its caller has given it up.
    fn is_abandoned(&self) -> bool {
        let budget = self.time_budget();
        match self.route.kind {
            catalog::Kind::Stream => budget.until_abandoned.is_zero(),
            catalog::Kind::Safe | catalog::Kind::Unsafe => budget.until_deadline.is_zero(),
        }
    }
}

impl Direct {
    /// Something changed that may give a waiting request a place.
    pub(super) fn capacity_changed(&self, source: waiting::Source) {
        if self.queue.is_empty() {
            return;
        }
        let now = self.node.now();
        let mut state = self.queue.state();
        let tried = state.waiting.notify(now, source);
        self.queue.wake(state, &tried);
    }

    /// Charges the workspace of a request that was placed.
    pub(super) fn charge_share(&self, context: &Context) {
        let Some(workspace) = &context.workspace else {
            return;
        };
        let tokens = context
            .request
            .size
            .map(|size| size.prompt + context.expected_answer());
        let cost = tokens.unwrap_or(waiting::PLAIN_COST);
        let now = self.node.now();
        let mut state = self.queue.state();
        state.waiting.charge(now, &context.service, workspace, cost);
    }

    /// Updates the metrics of what waits. To be called each second.
    pub(super) fn count_waiting(&self) {
        let now = self.node.now();
        let state = self.queue.state();
        let summaries = waiting::Class::ALL.map(|class| (class, state.waiting.summary(now, class)));
        let bytes = state.waiting.bytes();
        drop(state);
        self.counts.set_waiting_bytes(bytes);
        for (class, summary) in summaries {
            self.counts.set_waiting(class, summary);
        }
    }

    /// Wakes the requests whose time has come, all if `is_stopping`. Returns the time until the next.
    fn tick_queue(&self, is_stopping: bool) -> Duration {
        let now = self.node.now();
        let mut state = self.queue.state();
        let mut tried = state.waiting.tick(now);
        if is_stopping {
            tried = state.signals.keys().copied().collect();
        }
        let ranks = state.waiting.ranks(now);
        let due = state.waiting.wake_at();
        state.timer_at = due;
        self.queue.wake(state, &tried);
        if !ranks.is_empty() {
            let mut state = self.state();
            for (turn, rank) in ranks {
                state.loads.update_rank(turn, rank);
            }
        }
        if is_stopping {
            return EXIT_POLL;
        }
        due.map_or(IDLE_WAIT, |due| due.saturating_sub(now))
    }

    /// Wakes waiting requests when their time comes. Does not return while the process runs.
    pub(super) async fn run_queue(self: Arc<Self>) {
        let lifetime = self.node.lifetime();
        loop {
            let is_stopping = lifetime.is_stopping();
            let wait = self.tick_queue(is_stopping);
            tokio::select! {
                () = self.queue.timer_changed.notified() => {}
                () = time::sleep(wait) => {}
                () = lifetime.stopping(), if !is_stopping => {}
            }
        }
    }
}
