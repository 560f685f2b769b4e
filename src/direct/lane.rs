//! Lanes: what each server is reserved for.
//!
//! Reading a prompt stretches the gaps between the events that a server writes. So answers with
//! tight gap limits are written in the first lane, where nothing long is read. In the last lane,
//! the reading lane, long prompts are read one after the other, each in segments on the whole lane,
//! and nothing is written. Between them are some servers that write the answers to long prompts,
//! each of which reads its own segment only. The borders move with the load, and all entries see
//! them at about the same place.

use super::place;

/// Fewest servers that are split into lanes.
const MIN_SERVERS: usize = 4;

/// Share of the slots of their lane that requests with tight gap limits are meant to take. With 0.7
/// the long prompts lack servers, and the goodput is lower. With 1.2 the short prompts suffer.
const FILL_SHARE: f64 = 1.0;

/// The same where servers are plentiful: requests of other entries that are not reported yet fill a
/// packed server beyond its slots. Without this 849 of 5,387 short prompts are late on 112 servers,
/// with it 359. With 0.4 the long prompts lack servers.
const SPARE_FILL_SHARE: f64 = 0.6;

/// Servers for long prompts beyond which one more gains nothing: as many as one prompt is split
/// over, and a quarter of all to write on.
const MAX_LONG_SERVERS: usize = 23;

/// Demand for the reading of long prompts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Whether a long prompt waits for its turn on any entry.
    pub waits: bool,
    /// Share of the recent past in which one waited. Invariant: 0 to 1.
    pub level: f64,
}

impl Demand {
    /// A long prompt waits now, and none did before.
    pub const WAITING: Self = Self {
        waits: true,
        level: 0.0,
    };
}

/// What a server is reserved for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Requests with tight gap limits.
    Tight,
    /// Writing the answers to long prompts.
    Write,
    /// Reading long prompts.
    Read,
    /// Nothing new: requests with tight gap limits that are still written there may finish.
    Drain,
}

/// Share of the servers for long prompts that writes their answers.
const WRITE_SHARE: f64 = 0.25;

/// Whether long prompts may be read where answers with tight gap limits are still written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// Not at all: each segment that is read there is a gap between their events.
    None,
    /// Beside a few: where all servers are needed for reading, or for a prompt that would be late
    /// otherwise. It is worth more than their gaps.
    Few,
}

impl Sharing {
    /// Most requests with tight gap limits beside which long prompts are read.
    fn max_tight(self) -> u32 {
        match self {
            Self::None => 0,
            Self::Few => 5,
        }
    }
}

/// Lane of each server. The first servers in the order of their keys are for tight gap limits: as
/// many as such requests need, or all of them while there is nothing long to read. The longer long
/// prompts wait, the fewer spare servers are kept for tight gap limits: with a fixed spare, 45
/// servers read long prompts on 13 to 19 of them while others waited for twice their objective.
pub fn lanes(servers: &[place::Server], demand: Demand, sharing: Sharing) -> Vec<Lane> {
    let count = servers.len();
    let mut lanes = vec![Lane::Tight; count];
    if count < MIN_SERVERS {
        return lanes;
    }
    let tight: u32 = servers.iter().map(|server| server.load.tight).sum();
    let any_long = demand.waits || servers.iter().any(|server| server.load.long > 0);
    let slots: u32 = servers.iter().map(|server| server.slots).sum();
    let per_server = f64::from(slots) / count as f64 * FILL_SHARE;
    let needed = (f64::from(tight) / per_server.max(1.0)).ceil() as usize + 1;
    let fill = SPARE_FILL_SHARE + (1.0 - SPARE_FILL_SHARE) * demand.level;
    let ample = (f64::from(tight) / (per_server * fill).max(1.0)).ceil() as usize + 1;
    let spare = ample.min(count.saturating_sub(MAX_LONG_SERVERS));
    let most = if any_long { count - 1 } else { count };
    let tight_servers = needed.max(spare).clamp(2, most);
    let mut order: Vec<usize> = (0..count).collect();
    order.sort_by_key(|at| servers[*at].key);
    let rest = &mut order[tight_servers..];
    // Servers with the fewest tight gap limits first, since they are free soonest. Then those on
    // which long answers are written already: while a server writes, one segment that it reads
    // holds up all others there until its pass ends, 2.4 s for a segment of 479,000 tokens. Without
    // this the border leaves writers in the reading lane, and the goodput is lower.
    rest.sort_by_key(|at| {
        let load = &servers[*at].load;
        let writes = load.writers > load.tight;
        (load.tight > sharing.max_tight(), !writes, servers[*at].key)
    });
    let free = rest.partition_point(|at| servers[*at].load.tight <= sharing.max_tight());
    let free = free.max(1);
    let write = (free as f64 * WRITE_SHARE).round().max(1.0) as usize;
    for (rank, at) in rest.iter().enumerate() {
        lanes[*at] = match rank {
            _ if rank >= free => Lane::Drain,
            _ if rank < write && write < free => Lane::Write,
            _ => Lane::Read,
        };
    }
    lanes
}

/// Indexes of the servers of one lane.
pub fn of(lanes: &[Lane], lane: Lane) -> Vec<usize> {
    let all = 0..lanes.len();
    all.filter(|at| lanes[*at] == lane).collect()
}
