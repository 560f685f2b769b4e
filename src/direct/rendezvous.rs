//! Rendezvous hashing: which of several processes a backend server falls to.
//!
//! All that know the same processes agree on it, and when one goes only its servers fall to others.

/// Rank of a process for a server, both by their keys (see [`super::load::key`]): the server falls
/// to the process that ranks highest. On whole numbers, since each process ranks all processes for
/// all servers each second.
pub fn rank(server: u64, process: u64) -> u64 {
    // The finalizer of splitmix64: each bit of the input changes half of the output.
    let mut mixed = server ^ process.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Whether `server` falls to `me` rather than to one of `others`.
pub fn is_owner(server: u64, me: u64, others: &[u64]) -> bool {
    let own = (rank(server, me), me);
    others
        .iter()
        .all(|other| (rank(server, *other), *other) <= own)
}
