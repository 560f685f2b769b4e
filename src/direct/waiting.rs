//! The requests of an entry that wait for a place on a backend server: whose turn it is to be
//! tried, and when.
//!
//! A request whose turn it is makes the choice itself, and reports the outcome here. One request of
//! a lane is tried at a time, so freed capacity goes to the first in order.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use super::load;
use crate::queue;
use crate::share;

mod item;
mod round;

pub use item::Class;
pub use item::Item;
pub use item::Lane;
pub use item::PLAIN_COST;
pub use item::Prompt;
pub use item::Ticket;
pub use item::are_full;
pub use item::longest;
pub use item::may_hold;
pub use round::Enqueued;
pub use round::Outcome;
pub use round::Source;
pub use round::Summary;

use item::Waiter;
use round::FALLBACK;
use round::Round;

/// Time constant of the mean use of workspaces: a burst of some seconds counts, one long prompt
/// does not count for as long as on the path with sidecars.
const SHARE_TIME: Duration = Duration::from_secs(5);

/// Time between two looks at which waiting workspaces are over their share.
const SHARE_PERIOD: Duration = Duration::from_millis(250);

/// In one of this many turns of a lane goes the request that has waited longest, whatever its order,
/// if its workspace is not over its share: such a one waits for what it got already, which counts
/// less with time. So none starves, and late requests take no more than an eighth of the capacity.
const AGED_TURNS: u32 = 8;

/// Least time between two rounds of a lane for news of other processes while one request waits;
/// shorter in proportion while more do. Each try compares all servers, and the reports of 28
/// entries would otherwise cause some hundred tries a second.
const ROUND_GAP: Duration = Duration::from_millis(40);

/// Lower bound of that time, however many wait.
const MIN_ROUND_GAP: Duration = Duration::from_millis(10);

/// The same for long prompts: a third of the shortest segment that is read by turns.
const LONG_ROUND_GAP: Duration = Duration::from_millis(15);

/// The requests of an entry that wait.
#[derive(Clone, Debug)]
pub struct Waiting {
    queue: queue::Queue<Waiter>,
    rounds: BTreeMap<Lane, Round>,
    /// By lane: the requests in the order of their arrival.
    arrivals: BTreeMap<Lane, BTreeSet<(Duration, Ticket)>>,
    /// When each request must be tried in any case.
    due: BTreeSet<(Duration, Ticket)>,
    /// When each request becomes late.
    on_time: BTreeSet<(Duration, Ticket)>,
    /// By service, since services have their own servers.
    shares: HashMap<String, share::Shares>,
    shares_checked: Duration,
    last_ticket: u64,
}

impl Waiting {
    pub fn new(bounds: queue::Bounds) -> Self {
        Self {
            queue: queue::Queue::new(bounds),
            rounds: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            due: BTreeSet::new(),
            on_time: BTreeSet::new(),
            shares: HashMap::new(),
            shares_checked: Duration::ZERO,
            last_ticket: 0,
        }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Bytes of the bodies of those that wait.
    pub fn bytes(&self) -> usize {
        self.queue.bytes()
    }

    /// Whether any request of a service and class waits.
    pub fn has(&self, lane: &Lane) -> bool {
        self.queue.has(lane)
    }

    /// Whether a request waits.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.queue.get(ticket).is_some()
    }

    /// Records that a request was placed at the servers of its service, whether it waited or not.
    /// `cost`: in the unit of the service, such as tokens.
    pub fn charge(&mut self, now: Duration, service: &str, workspace: &str, cost: u64) {
        if !self.shares.contains_key(service) {
            let shares = share::Shares::new(SHARE_TIME);
            self.shares.insert(service.to_owned(), shares);
        }
        if let Some(shares) = self.shares.get_mut(service) {
            shares.charge(now, workspace, cost);
        }
    }

    /// Adds a request. If the queue is full, those that lose least by a rejection are rejected.
    pub fn enqueue(&mut self, now: Duration, item: Item) -> Enqueued {
        self.refresh(now);
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let is_over = is_over(&mut self.shares, now, &item);
        let waiter = Waiter::new(now, ticket, item, is_over);
        let rejected = self.overflow(&waiter);
        if rejected.contains(&ticket) {
            return Enqueued::Rejected;
        }
        for ticket in &rejected {
            self.take(*ticket);
        }
        let lane = waiter.lane();
        let arrival = (waiter.item.arrived, ticket);
        self.arrivals
            .entry(lane.clone())
            .or_default()
            .insert(arrival);
        self.due.insert((waiter.item.due_at, ticket));
        if now < waiter.item.on_time_until {
            self.on_time.insert((waiter.item.on_time_until, ticket));
        }
        self.queue.push(waiter);
        self.expect_round(now, &lane, ticket);
        let ahead = self
            .queue
            .lane(&lane)
            .take_while(|one| one.ticket != ticket);
        Enqueued::Waits {
            ticket,
            ahead: ahead.count(),
            rejected,
        }
    }

    /// Plans the first round for a new request, which has just found no place or was not tried.
    fn expect_round(&mut self, now: Duration, lane: &Lane, ticket: Ticket) {
        let gap = self.round_gap(lane);
        let is_new = !self.rounds.contains_key(lane);
        if is_new || self.next(now, lane) == Some(ticket) {
            let round = self.rounds.entry(lane.clone()).or_insert_with(|| Round {
                began: now,
                ..Round::default()
            });
            round.plan(round.began + gap);
        }
    }

    /// The requests to reject so that `new` fits into the queue; `new` alone if it is among those
    /// that lose least.
    fn overflow(&self, new: &Waiter) -> Vec<Ticket> {
        let bounds = self.queue.bounds();
        let mut requests = self.queue.len() + 1;
        let mut bytes = self.queue.bytes() + new.item.bytes;
        if !bounds.are_exceeded(requests, bytes) {
            return Vec::new();
        }
        let is_trying = |ticket: Ticket| {
            let mut rounds = self.rounds.values();
            rounds.any(|round| round.trying == Some(ticket))
        };
        let waiting = self.queue.iter().filter(|one| !is_trying(one.ticket));
        let mut all: Vec<&Waiter> = waiting.chain([new]).collect();
        all.sort_by_cached_key(|one| std::cmp::Reverse(one.shed_order()));
        let mut rejected = Vec::new();
        for waiter in all {
            if !bounds.are_exceeded(requests, bytes) {
                break;
            }
            if waiter.ticket == new.ticket {
                return vec![new.ticket];
            }
            requests -= 1;
            bytes -= waiter.item.bytes;
            rejected.push(waiter.ticket);
        }
        rejected
    }

    /// Names the place of a long prompt among those of all entries. `None`: it has none.
    pub fn set_turn(&mut self, ticket: Ticket, turn: Option<load::Ticket>) {
        self.queue.update(ticket, |waiter| waiter.turn = turn);
    }

    /// The ranks now of the long prompts that have a place among those of all entries.
    pub fn ranks(&self, now: Duration) -> Vec<(load::Ticket, u32)> {
        let turns = self.queue.iter().filter(|one| one.turn.is_some());
        turns
            .filter_map(|one| Some((one.turn?, one.item.rank(now))))
            .collect()
    }

    /// Something changed that may give a place. Returns the requests to try.
    pub fn notify(&mut self, now: Duration, source: Source) -> Vec<Ticket> {
        let lanes: Vec<Lane> = self.queue.lanes().cloned().collect();
        let mut tried = Vec::new();
        for lane in lanes {
            tried.extend(self.notify_lane(now, &lane, source));
        }
        tried
    }

    fn notify_lane(&mut self, now: Duration, lane: &Lane, source: Source) -> Option<Ticket> {
        let gap = match source {
            Source::Here => Duration::ZERO,
            Source::Elsewhere => self.round_gap(lane),
        };
        let round = self.rounds.get_mut(lane)?;
        if round.trying.is_some() {
            round.missed = round.missed.max(Some(source));
            return None;
        }
        let earliest = round.began + gap;
        if now < earliest {
            round.plan(earliest);
            return None;
        }
        self.start(now, lane)
    }

    /// Least time between two rounds of a lane for news of other processes.
    fn round_gap(&self, lane: &Lane) -> Duration {
        if lane.1 == Class::Long {
            return LONG_ROUND_GAP;
        }
        let waiting = u32::try_from(self.queue.lane_len(lane)).unwrap_or(u32::MAX);
        (ROUND_GAP / waiting.max(1)).max(MIN_ROUND_GAP)
    }

    /// Begins a round of a lane: its first request is tried.
    fn start(&mut self, now: Duration, lane: &Lane) -> Option<Ticket> {
        self.refresh(now);
        if lane.1 == Class::Long {
            self.refresh_ranks(now, lane);
        }
        let round = self.rounds.get_mut(lane)?;
        round.began = now;
        round.due = None;
        round.missed = None;
        self.try_next(now, lane)
    }

    fn try_next(&mut self, now: Duration, lane: &Lane) -> Option<Ticket> {
        let next = self.next(now, lane);
        self.rounds.get_mut(lane)?.trying = next;
        next
    }

    /// The request of a lane whose turn it is.
    pub fn next(&self, now: Duration, lane: &Lane) -> Option<Ticket> {
        let round = self.rounds.get(lane)?;
        let is_ready = |waiter: &&Waiter| waiter.passes_until <= now;
        if lane.1 != Class::Long && round.placed % AGED_TURNS == AGED_TURNS - 1 {
            let by_arrival = self.arrivals.get(lane).into_iter().flatten();
            let by_arrival = by_arrival.filter_map(|(_, ticket)| self.queue.get(*ticket));
            let is_aged = |waiter: &&Waiter| is_ready(waiter) && !waiter.order.is_over;
            let mut aged = by_arrival.filter(is_aged);
            if let Some(aged) = aged.next() {
                return Some(aged.ticket);
            }
        }
        let mut in_order = self.queue.lane(lane);
        in_order.find(is_ready).map(|waiter| waiter.ticket)
    }

    /// A try found no place. Returns the requests to try next.
    pub fn report(&mut self, now: Duration, ticket: Ticket, outcome: Outcome) -> Vec<Ticket> {
        let Some(waiter) = self.queue.get(ticket) else {
            return Vec::new();
        };
        let lane = waiter.lane();
        if let Outcome::Passes(until) = outcome {
            self.queue.update(ticket, |one| one.passes_until = until);
        }
        let gap = self.round_gap(&lane);
        let Some(round) = self.rounds.get_mut(&lane) else {
            return Vec::new();
        };
        if let Outcome::Passes(until) = outcome {
            round.plan(until.max(round.began + gap));
        }
        if round.trying != Some(ticket) {
            return Vec::new();
        }
        round.trying = None;
        let missed = round.missed.take();
        let next = match (outcome, missed) {
            (_, Some(Source::Here)) => self.start(now, &lane),
            (Outcome::Passes(_), _) => self.try_next(now, &lane),
            (Outcome::Blocks, Some(Source::Elsewhere)) => {
                self.notify_lane(now, &lane, Source::Elsewhere)
            }
            (Outcome::Blocks, None) => None,
        };
        next.into_iter().collect()
    }

    /// Removes a request that was placed, was rejected, or whose caller left. Returns the requests
    /// to try next.
    pub fn remove(&mut self, now: Duration, ticket: Ticket, was_placed: bool) -> Vec<Ticket> {
        let Some(waiter) = self.take(ticket) else {
            return Vec::new();
        };
        let lane = waiter.lane();
        let Some(round) = self.rounds.get_mut(&lane) else {
            return Vec::new();
        };
        round.placed = round.placed.wrapping_add(u32::from(was_placed));
        // The others of the lane may have waited only for this one.
        self.start_if_idle(now, &lane).into_iter().collect()
    }

    fn start_if_idle(&mut self, now: Duration, lane: &Lane) -> Option<Ticket> {
        let is_idle = self.rounds.get(lane)?.trying.is_none();
        if is_idle { self.start(now, lane) } else { None }
    }

    fn take(&mut self, ticket: Ticket) -> Option<Waiter> {
        let waiter = self.queue.remove(ticket)?;
        let lane = waiter.lane();
        self.due.remove(&(waiter.item.due_at, ticket));
        self.on_time.remove(&(waiter.item.on_time_until, ticket));
        if let Some(arrivals) = self.arrivals.get_mut(&lane) {
            arrivals.remove(&(waiter.item.arrived, ticket));
        }
        if !self.queue.has(&lane) {
            self.rounds.remove(&lane);
            self.arrivals.remove(&lane);
        } else if let Some(round) = self.rounds.get_mut(&lane)
            && round.trying == Some(ticket)
        {
            round.trying = None;
        }
        Some(waiter)
    }

    fn set_due(&mut self, ticket: Ticket, due_at: Duration) {
        let Some(known) = self.queue.get(ticket).map(|waiter| waiter.item.due_at) else {
            return;
        };
        self.due.remove(&(known, ticket));
        self.due.insert((due_at, ticket));
        self.queue
            .update(ticket, |waiter| waiter.item.due_at = due_at);
    }

    /// Runs what is due: requests that must be sent or given up now, whatever their order, and
    /// rounds. Returns the requests to try.
    pub fn tick(&mut self, now: Duration) -> Vec<Ticket> {
        let is_due = |(at, _): &&(Duration, Ticket)| *at <= now;
        let due = self.due.iter().take_while(is_due);
        let mut tried: Vec<Ticket> = due.map(|(_, ticket)| *ticket).collect();
        for ticket in &tried {
            self.set_due(*ticket, now + FALLBACK);
        }
        let is_due = |round: &Round| round.due_at().is_some_and(|due| due <= now);
        let lanes = self.rounds.iter().filter(|(_, round)| is_due(round));
        let lanes: Vec<Lane> = lanes.map(|(lane, _)| lane.clone()).collect();
        for lane in lanes {
            tried.extend(self.start(now, &lane));
        }
        tried
    }

    /// When [`Waiting::tick`] is due. `None`: nothing waits.
    pub fn wake_at(&self) -> Option<Duration> {
        let rounds = self.rounds.values().filter_map(Round::due_at);
        rounds.chain(self.due.first().map(|(at, _)| *at)).min()
    }

    /// Updates what the order depends on: which requests are late, and which workspaces are over
    /// their share.
    fn refresh(&mut self, now: Duration) {
        while let Some((at, ticket)) = self.on_time.first().copied()
            && at <= now
        {
            self.on_time.pop_first();
            self.queue.update(ticket, |waiter| {
                waiter.order.is_late = waiter.item.class != Class::Long;
            });
        }
        if now < self.shares_checked + SHARE_PERIOD {
            return;
        }
        self.shares_checked = now;
        let shares = &mut self.shares;
        let waiting = self.queue.iter();
        let waiting = waiting.filter(|one| one.item.class != Class::Long);
        let changed = waiting.filter_map(|one| {
            let is_over = is_over(shares, now, &one.item);
            (is_over != one.order.is_over).then_some((one.ticket, is_over))
        });
        let changed: Vec<(Ticket, bool)> = changed.collect();
        for (ticket, is_over) in changed {
            self.queue
                .update(ticket, |waiter| waiter.order.is_over = is_over);
        }
    }

    fn refresh_ranks(&mut self, now: Duration, lane: &Lane) {
        let waiters = self.queue.lane(lane);
        let ranks: Vec<(Ticket, u32)> = waiters
            .map(|waiter| (waiter.ticket, waiter.item.rank(now)))
            .collect();
        for (ticket, rank) in ranks {
            self.queue.update(ticket, |waiter| waiter.order.rank = rank);
        }
    }

    /// What waits in a class.
    pub fn summary(&self, now: Duration, class: Class) -> Summary {
        let mut summary = Summary::default();
        for waiter in self.queue.iter().filter(|one| one.item.class == class) {
            summary.requests += 1;
            summary.bytes += waiter.item.bytes;
            let waited = now.saturating_sub(waiter.item.arrived);
            summary.oldest = summary.oldest.max(waited);
        }
        summary
    }
}

/// Whether the workspace of a request got more than twice its share of its service.
fn is_over(shares: &mut HashMap<String, share::Shares>, now: Duration, item: &Item) -> bool {
    let shares = shares.get_mut(&item.service);
    let shares = shares.zip(item.workspace.as_deref());
    shares.is_some_and(|(shares, workspace)| shares.is_over(now, workspace))
}
