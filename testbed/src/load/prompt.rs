//! Prompts of an exact length, and their hashes.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::token;

const WORDS: usize = 4096;
const SEED: u64 = 0x7769_6765_6f6e;

/// Words of one token each, with their hashes.
pub struct Vocabulary {
    words: Vec<[u8; token::BYTES]>,
    hashes: Vec<u64>,
}

/// What a prompt is made of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recipe {
    /// Seed of the shared beginning, and its tokens.
    pub prefix: (u64, u64),
    /// Seed of the rest.
    pub seed: u64,
    /// Tokens in all.
    pub tokens: u64,
}

impl Vocabulary {
    /// The same words each time.
    pub fn new() -> Self {
        let mut rng = SmallRng::seed_from_u64(SEED);
        let words: Vec<_> = (0..WORDS).map(|_| word(&mut rng)).collect();
        let hashes = words.iter().map(|word| token::hash(0, word)).collect();
        Self { words, hashes }
    }

    /// Appends a prompt to `body`; its hash.
    pub fn write(&self, recipe: &Recipe, body: &mut Vec<u8>) -> u64 {
        let (seed, tokens) = recipe.prefix;
        let shared = tokens.min(recipe.tokens);
        let mut hash = 0;
        body.reserve(recipe.tokens as usize * token::BYTES);
        for (seed, count) in [(seed, shared), (recipe.seed, recipe.tokens - shared)] {
            let mut rng = SmallRng::seed_from_u64(seed);
            for _ in 0..count {
                let index = rng.random_range(0..WORDS);
                body.extend_from_slice(&self.words[index]);
                hash = token::join(hash, self.hashes[index]);
            }
        }
        hash
    }
}

impl Default for Vocabulary {
    fn default() -> Self {
        Self::new()
    }
}

/// Seven letters and a space.
fn word(rng: &mut SmallRng) -> [u8; token::BYTES] {
    let mut word = [b' '; token::BYTES];
    for letter in &mut word[..token::BYTES - 1] {
        *letter = rng.random_range(b'a'..=b'z');
    }
    word
}
