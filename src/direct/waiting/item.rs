//! A waiting request, and its order among others.

use std::time::Duration;

use crate::direct::deadline;
use crate::direct::load;
use crate::direct::model;
use crate::direct::place;
use crate::queue;

/// A plain call waits for a slot up to its objective divided by this.
const PLAIN_DIVISOR: u32 = 2;

/// What a plain call takes of its service's capacity, in the unit in which others count tokens. All
/// calls to a service count alike.
pub const PLAIN_COST: u64 = 1_000;

key! {
    /// Class of a request, with its own order and lane.
    pub enum Class {
        /// A prompt that takes no turn.
        Short,
        /// A prompt that takes a turn on the reading lane.
        Long,
        /// A call without a time model.
        Plain,
    }

    /// Handle of a waiting request.
    pub struct Ticket(pub u64);
}

impl Class {
    /// All classes.
    pub const ALL: [Self; 3] = [Self::Short, Self::Long, Self::Plain];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Long => "long",
            Self::Plain => "plain",
        }
    }
}

/// Requests of one service and class.
pub type Lane = (String, Class);

/// A long prompt, as its rank depends on it.
#[derive(Clone, Copy, Debug)]
pub struct Prompt {
    pub engine: model::Engine,
    pub need: place::Need,
}

/// A request that waits. Times are on the clock of this process.
#[derive(Clone, Debug)]
pub struct Item {
    pub service: String,
    pub class: Class,
    /// Priority of its route, 0 first.
    pub priority: u8,
    /// Workspace of its caller.
    pub workspace: Option<String>,
    /// When it arrived, also if it is queued again after an attempt failed.
    pub arrived: Duration,
    /// Time from its arrival within which its first event is on time.
    pub objective: Duration,
    /// Until when it is on time if it is sent.
    pub on_time_until: Duration,
    /// When its caller abandons it.
    pub abandoned_at: Duration,
    pub deadline: Duration,
    /// Until when it may be sent to complete by its deadline.
    pub start_by: Duration,
    /// When it must be tried in any case: it is sent to a full server, or given up.
    pub due_at: Duration,
    /// Size of its body.
    pub bytes: usize,
    /// If it is long.
    pub prompt: Option<Prompt>,
}

impl Item {
    /// Rank among the long prompts of all entries, see [`deadline::Budget::rank`].
    pub(super) fn rank(&self, now: Duration) -> u32 {
        let Some(Prompt { engine, need }) = &self.prompt else {
            return 0;
        };
        let budget = deadline::Budget {
            waited: now.saturating_sub(self.arrived),
            objective: self.objective,
            until_abandoned: self.abandoned_at.saturating_sub(now),
            until_deadline: self.deadline.saturating_sub(now),
            until_exit: Duration::MAX,
        };
        budget.rank(engine, need)
    }
}

/// Order in a lane; the lowest goes first. A long prompt has only a rank, since its order among all
/// entries counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Order {
    pub(super) rank: u32,
    /// Whether its workspace got more than twice its share.
    pub(super) is_over: bool,
    priority: u8,
    pub(super) is_late: bool,
    start_by: Duration,
}

#[derive(Clone, Debug)]
pub(super) struct Waiter {
    pub(super) ticket: Ticket,
    pub(super) item: Item,
    pub(super) order: Order,
    /// Its place among the long prompts of all entries.
    pub(super) turn: Option<load::Ticket>,
    /// Until when others are tried instead: it lacks what they may not need.
    pub(super) passes_until: Duration,
}

impl Waiter {
    pub(super) fn new(now: Duration, ticket: Ticket, item: Item, is_over: bool) -> Self {
        let order = match item.class {
            Class::Long => Order {
                rank: item.rank(now),
                ..Order::default()
            },
            Class::Short | Class::Plain => Order {
                rank: 0,
                is_over,
                priority: item.priority,
                is_late: now >= item.on_time_until,
                start_by: item.start_by,
            },
        };
        Self {
            ticket,
            item,
            order,
            turn: None,
            passes_until: Duration::ZERO,
        }
    }

    pub(super) fn lane(&self) -> Lane {
        (self.item.service.clone(), self.item.class)
    }

    /// Loss by its rejection; the highest is rejected first.
    pub(super) fn shed_order(&self) -> impl Ord + use<> {
        let Order {
            is_over,
            priority,
            is_late,
            ..
        } = self.order;
        (is_over, priority, is_late, self.item.arrived, self.ticket)
    }
}

impl queue::Item for Waiter {
    type Id = Ticket;
    type Lane = Lane;
    type Order = Order;

    fn id(&self) -> Ticket {
        self.ticket
    }

    fn lane(&self) -> Lane {
        Self::lane(self)
    }

    fn order(&self) -> Order {
        self.order
    }

    fn bytes(&self) -> usize {
        self.item.bytes
    }
}

/// Whether a plain call that arrived `waited` ago may wait for a slot: it can still be on time after
/// that.
pub fn may_hold(objective: Duration, waited: Duration) -> bool {
    waited < objective / PLAIN_DIVISOR
}

/// Whether each server has as many calls in progress as slots.
pub fn are_full(servers: &[place::Server]) -> bool {
    let taken = |server: &place::Server| server.load.readers + server.load.writers;
    servers.iter().all(|server| taken(server) >= server.slots)
}

/// The longest of the times up to `most` for which `holds`, to a millisecond. `holds` must be false
/// for all times after one for which it is false.
pub fn longest(most: Duration, holds: impl Fn(Duration) -> bool) -> Duration {
    let (mut low, mut high) = (0, u64::try_from(most.as_millis()).unwrap_or(u64::MAX));
    while low < high {
        let middle = low + (high - low).div_ceil(2);
        if holds(Duration::from_millis(middle)) {
            low = middle;
        } else {
            high = middle - 1;
        }
    }
    Duration::from_millis(low)
}
