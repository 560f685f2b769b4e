//! Memory of responses that are read whole is bounded for all of them together.

use bytes::Bytes;
use wigeonbarrow::edge::direct::buffer::Claim;
use wigeonbarrow::edge::direct::buffer::Pool;

const FRAME: usize = 16 << 10;

/// Grows a claim frame by frame up to `bytes`. Whether it got all of them.
fn grow(claim: &mut Claim, bytes: usize) -> bool {
    (0..bytes / FRAME).all(|_| claim.grow(FRAME))
}

#[test]
fn responses_exceed_memory() {
    let pool = Pool::new(32 << 20);
    let mut claims: Vec<Claim> = (0..50).map(|_| Claim::new(&pool)).collect();
    let whole = claims
        .iter_mut()
        .filter_map(|claim| grow(claim, 16 << 20).then_some(()))
        .count();
    assert_eq!(whole, 2);
    let all: usize = claims.iter().map(Claim::bytes).sum();
    assert!(all <= 40 << 20, "{} MiB", all >> 20);
}

#[test]
fn small_response_finds_no_memory() {
    let pool = Pool::new(32 << 20);
    let mut large: Vec<Claim> = (0..4).map(|_| Claim::new(&pool)).collect();
    for claim in &mut large {
        grow(claim, 16 << 20);
    }
    let mut small = Claim::new(&pool);
    assert!(grow(&mut small, 64 << 10));
    assert!(!small.grow(FRAME));
    drop(large);
    assert!(small.grow(FRAME));
}

/// What a caller has not taken yet counts, and nothing else.
#[test]
fn memory_of_passed_response() {
    let pool = Pool::new(32 << 20);
    let mut claim = Claim::new(&pool);
    let frame = Bytes::from(vec![7; 1 << 20]);
    assert!(claim.grow(frame.len()) && claim.grow(frame.len()));
    let used = pool.used();
    assert!(used > 1 << 20);
    let whole = claim.into_bytes(&[frame.clone(), frame]);
    assert_eq!(whole.len(), 2 << 20);
    let rest = whole.slice(10..);
    drop(whole);
    assert_eq!(pool.used(), used);
    drop(rest);
    assert_eq!(pool.used(), 0);
}
