//! Which engines serve a prompt together, and which part of it each holds.

use std::ops::Range;

use crate::entry::request;
use crate::sidecar::capacity;

/// Most engines that serve one prompt.
pub const MAX_MEMBERS: usize = 16;

/// Bytes at the prompt's end that belong to no segment: the prompt of the final run.
pub const TAIL_BYTES: usize = 1_024;

/// Tokens of the tail at the most.
pub const MAX_TAIL_TOKENS: u64 = TAIL_BYTES as u64;

/// A guess takes at most all but one part in so many of the memory that there is.
const GUESS_PARTS: u64 = 4;

/// An engine that could be a member.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Where.
    pub target: request::Target,
    /// Tokens that it can hold for long work when nothing else runs there.
    pub memory: u64,
    /// Of these, tokens that are free now.
    pub free: u64,
    /// Prompt tokens to be prefilled there before.
    pub ahead: u64,
    /// Use it only if there is no other.
    pub avoid: bool,
}

/// A member's share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Where.
    pub target: request::Target,
    /// Estimated tokens of its segment.
    pub tokens: u64,
}

/// The members of a gang.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// These, in the global order: by the name of the server. The last one answers.
    Members(Vec<Share>),
    /// Their memory is not free yet.
    Wait,
}

/// What the candidates allow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// These can take it now.
    Now(Vec<Share>),
    /// These will be able to, once they have room.
    Later(Vec<String>),
    /// All together are too small.
    Never,
}

/// Tokens that the answering member keeps for the final run.
pub fn final_run_tokens(max_tokens: u32) -> u64 {
    capacity::segment_cost(MAX_TAIL_TOKENS, u64::from(max_tokens))
}

/// Chooses the fewest members for a prompt of `tokens`. If that is a guess and the candidates
/// cannot hold it, all of them are tried.
pub fn choose(candidates: &[Candidate], tokens: u64, max_tokens: u32, is_guess: bool) -> Decision {
    let mut ranked: Vec<&Candidate> = candidates.iter().collect();
    ranked.sort_by(|a, b| {
        let rank = |c: &Candidate| (c.avoid, u64::MAX - c.free, c.ahead);
        rank(a)
            .cmp(&rank(b))
            .then(a.target.server.cmp(&b.target.server))
    });
    let kept = final_run_tokens(max_tokens);
    let need = capacity::segment_cost(tokens, kept);
    let largest = most(candidates, |c| c.memory);
    let need_now = if is_guess {
        need.min(largest / GUESS_PARTS * (GUESS_PARTS - 1))
    } else {
        need
    };
    if most(candidates, |c| c.free) >= need_now {
        let members = take(&ranked, need_now, |c| c.free);
        if let Some(shares) = share(&members, tokens, kept, is_guess) {
            return Decision::Now(shares);
        }
    }
    ranked.sort_by_key(|c| (c.avoid, c.memory - c.free.min(c.memory)));
    if largest < need_now {
        return Decision::Never;
    }
    let members = take(&ranked, need_now, |c| c.memory);
    Decision::Later(members.iter().map(|c| c.target.server.clone()).collect())
}

/// What the [`MAX_MEMBERS`] candidates with the most have together.
fn most(candidates: &[Candidate], memory: impl Fn(&Candidate) -> u64) -> u64 {
    let mut all: Vec<u64> = candidates.iter().map(memory).collect();
    all.sort_unstable_by_key(|memory| u64::MAX - memory);
    all.iter().take(MAX_MEMBERS).sum()
}

/// The first candidates that have `need` together.
fn take<'a>(
    ranked: &[&'a Candidate],
    need: u64,
    memory: impl Fn(&Candidate) -> u64,
) -> Vec<&'a Candidate> {
    let mut sum = 0;
    let mut members = Vec::new();
    for candidate in ranked.iter().take(MAX_MEMBERS) {
        if sum >= need {
            break;
        }
        sum += memory(candidate);
        members.push(*candidate);
    }
    members
}

/// Shares the tokens out by free memory, in the global order. `None`: the one that answers has no
/// room for that.
fn share(members: &[&Candidate], tokens: u64, kept: u64, is_guess: bool) -> Option<Vec<Share>> {
    let mut members = members.to_vec();
    members.sort_by(|a, b| a.target.server.cmp(&b.target.server));
    let last = members.len().checked_sub(1)?;
    let rooms: Vec<u64> = members
        .iter()
        .enumerate()
        .map(|(at, c)| capacity::max_segment(c.free, if at == last { kept } else { 0 }))
        .collect();
    let sum: u64 = rooms.iter().sum();
    let is_short = sum + members.len() as u64 <= tokens;
    if rooms.contains(&0) || (is_short && !is_guess) {
        return None;
    }
    // A guess may be more than there is room for; rounding takes a token off each.
    let tokens = tokens.min(sum);
    let shares = members.iter().zip(&rooms).map(|(c, room)| Share {
        target: c.target.clone(),
        tokens: (u128::from(tokens) * u128::from(*room) / u128::from(sum)) as u64,
    });
    Some(shares.collect())
}

/// Splits a text by the members' shares, on borders of characters. What is left over after the
/// last part is the tail, which is not empty.
pub fn split(text: &[u8], shares: &[Share]) -> Vec<Range<usize>> {
    let end = border(text, text.len().saturating_sub(TAIL_BYTES));
    let sum: u128 = shares.iter().map(|share| u128::from(share.tokens)).sum();
    let mut parts = Vec::with_capacity(shares.len());
    let mut start = 0;
    let mut tokens = 0;
    for share in shares {
        tokens += u128::from(share.tokens);
        let until = (end as u128 * tokens / sum.max(1)) as usize;
        let until = border(text, until);
        parts.push(start..until);
        start = until;
    }
    parts
}

/// The last border of characters up to `at`.
fn border(text: &[u8], at: usize) -> usize {
    let mut at = at.min(text.len());
    while at > 0 && text.get(at).is_some_and(|byte| byte & 0xc0 == 0x80) {
        at -= 1;
    }
    at
}
