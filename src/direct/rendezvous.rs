//! Rendezvous hashing: which of several processes is responsible for a backend server.
//!
//! All processes that know the same members agree on it, and when one leaves, only its servers move
//! to others.

/// Rank of a process for a server, both given by their keys (see [`super::load::key`]). The process
/// with the highest rank is responsible for the server. Integers only, since each process ranks all
/// processes for all servers each second.
pub fn rank(server: u64, process: u64) -> u64 {
    // The finalizer of splitmix64: each bit of the input changes half of the output.
    let mut mixed = server ^ process.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Whether `me` is responsible for `server`, and none of `others`.
pub fn is_owner(server: u64, me: u64, others: &[u64]) -> bool {
    let own = (rank(server, me), me);
    others
        .iter()
        .all(|other| (rank(server, *other), *other) <= own)
}
