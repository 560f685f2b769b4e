//! Claims: allow at most one run for each (workspace, idempotency key).

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::wire::agree;
use crate::wire::id;
use crate::wire::outcome;

/// Most claims held. When full, new claims must retry later: evicting one could allow a second run.
pub const MAX_CLAIMS: usize = 500_000;

/// Retry delay when the table is full, in milliseconds.
const FULL_RETRY_MS: u64 = 5_000;

/// How long a freed claim still rejects late duplicates of its own request, in milliseconds.
const FREED_TTL_MS: u64 = 60_000;

/// Most expired claims that one command removes, so that none takes long.
const MAX_EXPIRED_PER_COMMAND: usize = 256;

/// Half a BLAKE3 hash of (workspace, key), so that the size of a claim does not depend on its key.
type Hash = id::Fingerprint;

data! {
    /// A claim on the single run of a (workspace, key).
    struct Claim {
        request: id::Request,
        fingerprint: id::Fingerprint,
        until_ms: u64,
        /// Recorded outcome. After `NotRun`, another request may take the claim.
        ended: Option<(outcome::Ran, u16)>,
    }

    /// The claims by hash of (workspace, key).
    #[derive(Default)]
    pub struct Claims {
        claims: BTreeMap<Hash, Claim>,
        /// Index by expiry time. Invariant: holds exactly the claims in `claims`.
        #[serde(skip)]
        ends: BTreeSet<(u64, Hash)>,
    }
}

impl Claims {
    /// Number of claims held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Rebuilds the expiry index, which is not serialized.
    pub(super) fn rebuild_index(&mut self) {
        let claims = self.claims.iter();
        self.ends = claims
            .map(|(hash, claim)| (claim.until_ms, *hash))
            .collect();
    }

    /// Removes expired claims, at most [`MAX_EXPIRED_PER_COMMAND`].
    pub(super) fn expire(&mut self, clock_ms: u64) {
        for _ in 0..MAX_EXPIRED_PER_COMMAND {
            match self.ends.first() {
                Some((until, _)) if *until <= clock_ms => {}
                _ => return,
            }
            let (_, hash) = self.ends.pop_first().expect("the index is not empty");
            self.claims.remove(&hash);
        }
    }

    /// Claims the single run of `scoped_key` (workspace, key) for `request`.
    pub(super) fn claim(
        &mut self,
        clock_ms: u64,
        scoped_key: (&str, &str),
        request: id::Request,
        fingerprint: id::Fingerprint,
        until_ms: u64,
    ) -> agree::Verdict {
        let hash = hash_of(scoped_key);
        let held = self.claims.get(&hash);
        if let Some(held) = held.filter(|claim| claim.until_ms > clock_ms) {
            let is_own = held.request == request;
            let is_free = matches!(held.ended, Some((outcome::Ran::NotRun, _)));
            if is_own && held.ended.is_none() {
                return agree::Verdict::Claimed;
            }
            if !is_free && held.fingerprint != fingerprint {
                return agree::Verdict::Mismatch;
            }
            if is_own || !is_free {
                return agree::Verdict::Held {
                    request: held.request,
                    ended: held.ended,
                };
            }
        } else if held.is_none() && self.claims.len() >= MAX_CLAIMS {
            return agree::Verdict::Wait {
                retry_after_ms: FULL_RETRY_MS,
            };
        }
        let claim = Claim {
            request,
            fingerprint,
            until_ms,
            ended: None,
        };
        self.put(hash, claim);
        agree::Verdict::Claimed
    }

    /// Records the outcome of a run. Returns `Some` if another request holds the claim.
    pub(super) fn settle(
        &mut self,
        clock_ms: u64,
        scoped_key: (&str, &str),
        request: id::Request,
        ran: outcome::Ran,
        status: u16,
    ) -> Option<agree::Verdict> {
        let hash = hash_of(scoped_key);
        let mut claim = self.claims.get(&hash)?.clone();
        if claim.request != request {
            return Some(agree::Verdict::Held {
                request: claim.request,
                ended: claim.ended,
            });
        }
        // The first outcome is final, but `MayHaveRun` may still be replaced by a definite one.
        let may_change = matches!(claim.ended, None | Some((outcome::Ran::MayHaveRun, _)));
        if may_change {
            claim.ended = Some((ran, status));
            if ran == outcome::Ran::NotRun {
                claim.until_ms = claim.until_ms.min(clock_ms.saturating_add(FREED_TTL_MS));
            }
            self.put(hash, claim);
        }
        None
    }

    fn put(&mut self, hash: Hash, claim: Claim) {
        self.ends.insert((claim.until_ms, hash));
        let until_ms = claim.until_ms;
        if let Some(old) = self.claims.insert(hash, claim)
            && old.until_ms != until_ms
        {
            self.ends.remove(&(old.until_ms, hash));
        }
    }
}

fn hash_of((workspace, key): (&str, &str)) -> Hash {
    id::Fingerprint::of(workspace, key, &[])
}
