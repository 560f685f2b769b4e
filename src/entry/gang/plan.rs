//! Which engines serve a prompt together, and which segment of it each holds.

use std::ops::Range;

use crate::entry::request;
use crate::sidecar::capacity;

/// Most engines that serve one prompt.
pub const MAX_MEMBERS: usize = 16;

/// Bytes at the prompt's end that belong to no segment. They are the prompt of the final run.
pub const TAIL_BYTES: usize = 1_024;

/// Most tokens of the tail.
pub const MAX_TAIL_TOKENS: u64 = TAIL_BYTES as u64;

/// A prompt whose length is a guess is assumed to need at most all but one part in this many of the
/// candidates' memory.
const GUESS_MEMORY_PARTS: u64 = 4;

/// An engine that could be a member.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub target: request::Target,
    /// Tokens that it can hold for long work when nothing else runs on it.
    pub memory: u64,
    /// Of these, tokens that are free now.
    pub free: u64,
    /// Prompt tokens to be prefilled before on it.
    pub ahead: u64,
    /// Whether to use it only if there is no other.
    pub avoid: bool,
}

/// A member's share of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    pub target: request::Target,
    /// Estimated tokens of its segment.
    pub tokens: u64,
}

/// What a gang is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Reserve these members, in the global order: by the name of the server. The last one does the
    /// final run.
    Members(Vec<Share>),
    /// Wait until enough memory is free.
    Wait,
}

/// Whether the candidates can hold a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// These can hold it now.
    Now(Vec<Share>),
    /// The servers with these names can hold it once enough of their memory is free.
    Later(Vec<String>),
    /// All together have too little memory.
    Never,
}

/// Tokens of memory that the last member reserves for the final run.
pub fn final_run_tokens(max_tokens: u32) -> u64 {
    capacity::segment_cost(MAX_TAIL_TOKENS, u64::from(max_tokens))
}

/// Chooses the fewest members for a prompt of `tokens`. If that length is a guess, no more is
/// required than the candidates can hold, less one part in [`GUESS_MEMORY_PARTS`].
pub fn choose(candidates: &[Candidate], tokens: u64, max_tokens: u32, is_guess: bool) -> Decision {
    let mut ranked: Vec<&Candidate> = candidates.iter().collect();
    ranked.sort_by(|a, b| {
        let rank = |c: &Candidate| (c.avoid, u64::MAX - c.free, c.ahead);
        rank(a)
            .cmp(&rank(b))
            .then(a.target.server.cmp(&b.target.server))
    });
    let final_tokens = final_run_tokens(max_tokens);
    let need = capacity::segment_cost(tokens, final_tokens);
    let total = total_memory(candidates, |c| c.memory);
    let need_now = if is_guess {
        need.min(total / GUESS_MEMORY_PARTS * (GUESS_MEMORY_PARTS - 1))
    } else {
        need
    };
    if total_memory(candidates, |c| c.free) >= need_now {
        let members = take_until(&ranked, need_now, |c| c.free);
        if let Some(shares) = split_tokens(&members, tokens, final_tokens, is_guess) {
            return Decision::Now(shares);
        }
    }
    ranked.sort_by_key(|c| (c.avoid, c.memory - c.free.min(c.memory)));
    if total < need_now {
        return Decision::Never;
    }
    let members = take_until(&ranked, need_now, |c| c.memory);
    Decision::Later(members.iter().map(|c| c.target.server.clone()).collect())
}

/// Sum of `memory` over the [`MAX_MEMBERS`] candidates with the most of it.
fn total_memory(candidates: &[Candidate], memory: impl Fn(&Candidate) -> u64) -> u64 {
    let mut sizes: Vec<u64> = candidates.iter().map(memory).collect();
    sizes.sort_unstable_by_key(|memory| u64::MAX - memory);
    sizes.iter().take(MAX_MEMBERS).sum()
}

/// The first candidates that together have `need`.
fn take_until<'a>(
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

/// Splits the tokens by free memory, in the global order. `None`: the members have too little of
/// it, or the last one none besides the final run's.
fn split_tokens(
    members: &[&Candidate],
    tokens: u64,
    final_tokens: u64,
    is_guess: bool,
) -> Option<Vec<Share>> {
    let mut members = members.to_vec();
    members.sort_by(|a, b| a.target.server.cmp(&b.target.server));
    let last = members.len().checked_sub(1)?;
    let capacities: Vec<u64> = members
        .iter()
        .enumerate()
        .map(|(at, c)| capacity::max_segment(c.free, if at == last { final_tokens } else { 0 }))
        .collect();
    let sum: u64 = capacities.iter().sum();
    let is_too_small = sum + members.len() as u64 <= tokens;
    if capacities.contains(&0) || (is_too_small && !is_guess) {
        return None;
    }
    // A guess may exceed the capacity. Rounding takes up to a token off each share.
    let tokens = tokens.min(sum);
    let shares = members.iter().zip(&capacities).map(|(c, capacity)| Share {
        target: c.target.clone(),
        tokens: (u128::from(tokens) * u128::from(*capacity) / u128::from(sum)) as u64,
    });
    Some(shares.collect())
}

/// Splits a text by the members' shares, at character boundaries. The rest after the last segment
/// is the tail, which is not empty.
pub fn split(text: &[u8], shares: &[Share]) -> Vec<Range<usize>> {
    let end = char_boundary(text, text.len().saturating_sub(TAIL_BYTES));
    let sum: u128 = shares.iter().map(|share| u128::from(share.tokens)).sum();
    let mut segments = Vec::with_capacity(shares.len());
    let mut start = 0;
    let mut tokens = 0;
    for share in shares {
        tokens += u128::from(share.tokens);
        let until = (end as u128 * tokens / sum.max(1)) as usize;
        let until = char_boundary(text, until);
        segments.push(start..until);
        start = until;
    }
    segments
}

/// The last character boundary at or before `at`.
fn char_boundary(text: &[u8], at: usize) -> usize {
    let mut at = at.min(text.len());
    while at > 0 && text.get(at).is_some_and(|byte| byte & 0xc0 == 0x80) {
        at -= 1;
    }
    at
}
