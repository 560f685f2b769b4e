//! The stand-in's tokens: how a prompt is counted and what its answer is.

/// Bytes of prompt that make one token.
pub const BYTES: usize = 8;

const MODULUS: u64 = (1 << 61) - 1;
const BASE: u64 = 1_000_003;
/// [`BASE`] to the power of [`BYTES`].
const BASE_TO_BYTES: u64 = power(BASE, BYTES);

const fn power(base: u64, exponent: usize) -> u64 {
    let mut result = 1;
    let mut left = exponent;
    while left > 0 {
        result = reduce(result as u128 * base as u128);
        left -= 1;
    }
    result
}

/// Tokens of a text.
pub fn count(text: &str) -> u64 {
    text.len().div_ceil(BYTES) as u64
}

/// Hash of what stands behind `start` once `text` has followed.
pub fn hash(start: u64, text: &[u8]) -> u64 {
    text.iter().fold(start, |h, byte| {
        let wide = u128::from(h) * u128::from(BASE) + u128::from(*byte) + 1;
        reduce(wide)
    })
}

/// Hash of a text with hash `start` followed by a token's bytes that have `hash` alone.
pub fn join(start: u64, hash: u64) -> u64 {
    reduce(u128::from(start) * u128::from(BASE_TO_BYTES) + u128::from(hash))
}

/// `wide` modulo 2^61 - 1, for values below 2^122.
const fn reduce(wide: u128) -> u64 {
    let folded = (wide as u64 & MODULUS) + (wide >> 61) as u64;
    if folded >= MODULUS {
        folded - MODULUS
    } else {
        folded
    }
}

/// Text of token `number` in the answer to a prompt with this hash.
pub fn text(hash: u64, number: u64) -> String {
    format!("{:x} ", splitmix64(hash.wrapping_add(number)))
}

/// The finalizer of the splitmix64 generator.
pub fn splitmix64(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
