//! A minimal replicated state of control: claims and suspects.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use wigeonbarrow::wire::agree;
use wigeonbarrow::wire::agree::Command;
use wigeonbarrow::wire::agree::Verdict;
use wigeonbarrow::wire::id;
use wigeonbarrow::wire::outcome::Ran;

#[derive(Clone, Debug, Default)]
pub struct Control {
    claims: BTreeMap<String, (id::Request, Option<(Ran, u16)>)>,
    /// Settled requests. A claim that arrives after its settlement is rejected.
    settled: BTreeSet<id::Request>,
    pub suspects: BTreeMap<id::Fingerprint, BTreeSet<String>>,
    seen: BTreeSet<(String, id::Incarnation)>,
    /// Whether it has no quorum.
    pub down: bool,
}

impl Control {
    pub fn apply(&mut self, command: Command) -> Verdict {
        if self.down {
            return Verdict::Unavailable;
        }
        match command {
            Command::Claim { key, request, .. } => {
                if self.settled.contains(&request) {
                    return Verdict::Unavailable;
                }
                let (holder, ended) = self.claims.entry(key).or_insert((request, None));
                if *holder == request {
                    return Verdict::Claimed;
                }
                Verdict::Held {
                    request: *holder,
                    ended: *ended,
                }
            }
            Command::Settle {
                key,
                request,
                ran,
                status,
                ..
            } => {
                self.settled.insert(request);
                if let Some((holder, ended)) = self.claims.get_mut(&key)
                    && *holder == request
                {
                    *ended = Some((ran, status));
                    if ran == Ran::NotRun {
                        self.claims.remove(&key);
                    }
                }
                Verdict::Done { revision: 0 }
            }
            Command::Crash {
                server,
                engine,
                running,
            } => {
                if self.seen.insert((server.clone(), engine)) {
                    for fingerprint in running {
                        let servers = self.suspects.entry(fingerprint).or_default();
                        servers.insert(server.clone());
                    }
                }
                Verdict::Done { revision: 0 }
            }
            Command::Clear(fingerprint) => {
                self.suspects.remove(&fingerprint);
                Verdict::Done { revision: 0 }
            }
            other => panic!("not in this test: {other:?}"),
        }
    }

    pub fn is_quarantined(&self, fingerprint: id::Fingerprint) -> bool {
        self.death_count(fingerprint) >= 2
    }

    pub fn death_count(&self, fingerprint: id::Fingerprint) -> usize {
        self.suspects.get(&fingerprint).map_or(0, BTreeSet::len)
    }

    pub fn claim(request: id::Request, key: &str) -> Command {
        Command::Claim {
            workspace: "w".to_owned(),
            key: key.to_owned(),
            request,
            fingerprint: id::Fingerprint([0; 16]),
            ttl_ms: 1,
        }
    }

    pub fn settle(request: id::Request, key: &str, ran: Ran) -> agree::Command {
        Command::Settle {
            workspace: "w".to_owned(),
            key: key.to_owned(),
            request,
            ran,
            status: 200,
        }
    }
}
