//! What each server is kept for.
//!
//! A read beside writers stretches their pauses. So in the first lane requests with tight pauses
//! write, and nothing long is read. In the last, long prompts are read, each in parts on the whole
//! lane, one after the other, and nobody writes. Between them are some servers on which long
//! prompts are written, each of which reads its own part only. The borders move with what there is
//! to do, and all entries see them at about the same place.

use super::place;

/// Fewest servers that are worth two lanes.
const LEAST_LANES: usize = 4;

/// Part of a server's slots that requests with tight pauses are meant to take in their lane. At
/// 0.7 of them the long prompts lack servers: mean worth 0.564 and 0.675 on seven seeded days of
/// two deployments, 0.609 and 0.721 at 1; at 1.2 the short ones pay for it (0.702).
const TAKEN_PART: f64 = 1.0;

/// The same where there are servers to spare: what entries do not know of each other yet fills a
/// packed server beyond its slots. Of 5,537 and 5,387 short prompts of two days with 112 servers 541
/// and 359 are late with it, 724 and 849 without; at 0.4 long prompts lack servers (mean worth of four
/// days 0.659, at 0.6 0.685).
const AMPLE_PART: f64 = 0.6;

/// Servers for long prompts beyond which one more gains these nothing: as many as one is split
/// over, and a quarter of all to write on.
const LANE: usize = 23;

/// What a server is kept for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Requests with tight pauses.
    Tight,
    /// Writing of long prompts.
    Write,
    /// Reading of long prompts.
    Read,
    /// Nothing new: those with tight pauses that still write there are let finish.
    Drain,
}

/// Part of the servers for long prompts on which these are written.
const WRITE_PART: f64 = 0.25;

/// Requests with tight pauses that may still write where long prompts are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// None: each part that is read beside them is a pause of theirs.
    None,
    /// A few: where all servers are wanted for reading, or for a prompt that would else be late. It is
    /// worth more than their pauses.
    Few,
}

impl Sharing {
    /// Requests with tight pauses beside which long prompts are read at most.
    fn most(self) -> u32 {
        match self {
            Self::None => 0,
            Self::Few => 5,
        }
    }
}

/// What each server is kept for: the first ones in the order of their keys for tight pauses, as
/// many as such requests need, and all of them while nothing long is to be read.
pub fn lanes(servers: &[place::Server], any_waits: bool, sharing: Sharing) -> Vec<Lane> {
    let count = servers.len();
    let mut lanes = vec![Lane::Tight; count];
    if count < LEAST_LANES {
        return lanes;
    }
    let tight: u32 = servers.iter().map(|one| one.load.tight).sum();
    let long = any_waits || servers.iter().any(|one| one.load.long > 0);
    let slots: u32 = servers.iter().map(|one| one.slots).sum();
    let a_server = f64::from(slots) / count as f64 * TAKEN_PART;
    let needed = (f64::from(tight) / a_server.max(1.0)).ceil() as usize + 1;
    let ample = (f64::from(tight) / (a_server * AMPLE_PART).max(1.0)).ceil() as usize + 1;
    let spare = ample.min(count.saturating_sub(LANE));
    let most = if long { count - 1 } else { count };
    let kept = needed.max(spare).clamp(2, most);
    let mut order: Vec<usize> = (0..count).collect();
    order.sort_by_key(|at| servers[*at].key);
    let given = &mut order[kept..];
    // Those with the fewest tight pauses first: they are free soonest. Then those on which long
    // answers are written already: while a server writes, one part that it reads holds up all
    // others there until its pass ends, 2.4 s for a part of 479,000 tokens. Without this the
    // border left writers in the lane of reading: worth 0.646 on 20 seeded days, 0.666 with it.
    given.sort_by_key(|at| {
        let load = &servers[*at].load;
        let writes = load.writers > load.tight;
        (load.tight > sharing.most(), !writes, servers[*at].key)
    });
    let free = given.partition_point(|at| servers[*at].load.tight <= sharing.most());
    let free = free.max(1);
    let write = (free as f64 * WRITE_PART).round().max(1.0) as usize;
    for (rank, at) in given.iter().enumerate() {
        lanes[*at] = match rank {
            _ if rank >= free => Lane::Drain,
            _ if rank < write && write < free => Lane::Write,
            _ => Lane::Read,
        };
    }
    lanes
}

/// The servers of one lane, by their indexes.
pub fn of(lanes: &[Lane], lane: Lane) -> Vec<usize> {
    let all = 0..lanes.len();
    all.filter(|at| lanes[*at] == lane).collect()
}
