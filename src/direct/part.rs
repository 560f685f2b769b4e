//! Parts of prompts that crash the backend servers which begin to write an answer on them.
//!
//! Requests share parts, so one part at fault crashes servers under requests that are all different.
//! Each crash names the parts of the requests that had just begun at the server; those that had been
//! answered for longer are not its cause. A part under which several servers crashed is convicted
//! unless an answer on it was written meanwhile, at any entry: frequent sound parts are in many
//! crashes too, and answers on them are written all the time.
//!
//! Entries exchange crashes, verdicts and acquittals as gossip (see [`super::gossip`]). Acquittals are
//! sent only for parts under suspicion. Each entry reaches its verdict itself, by the news that it has.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

/// Servers that must have crashed under a part before it is convicted.
const MIN_SERVERS: usize = 3;

/// The same for a part on which answers were written before.
const MIN_SERVERS_KNOWN: usize = 5;

/// Different requests that these crashes must have met.
const MIN_REQUESTS: usize = 3;

/// Time from the first crash in which news of an answer on the part can arrive.
const GRACE: Duration = Duration::from_secs(1);

/// The same for a part on which answers were written before.
const GRACE_KNOWN: Duration = Duration::from_secs(3);

/// Least time between the first and the last of these crashes for a part on which answers were
/// written before. Many servers may crash at once for another reason.
const MIN_SPREAD_KNOWN: Duration = Duration::from_secs(2);

/// Further servers by which one of two parts with the same crashes must lead. After as many more
/// crashes, both are convicted: nothing tells them apart.
const TIE_SERVERS: usize = 2;

/// Advantage of a part without a known answer over one with, in servers.
const UNKNOWN_LEAD: usize = 3;

/// Time after its last crash until a part is no longer suspect.
const SUSPECT_FOR: Duration = Duration::from_secs(600);

/// Time from the verdict to the first request that tries the part again. Each further one comes
/// after four times as long.
const FIRST_TRIAL: Duration = Duration::from_secs(60);
const MAX_TRIAL_STEPS: u32 = 6;

/// The same for parts that were convicted together: most of them are sound.
const FIRST_TIED_TRIAL: Duration = Duration::from_secs(1);

/// Time after which a verdict is dropped if no request came to try the part.
const FORGET_AFTER: Duration = Duration::from_secs(3_600);

/// Time for which an acquittal overrules verdicts of others, which may not know of it yet.
const ACQUITTED_FOR: Duration = Duration::from_secs(10);

/// Most parts stored of each kind. Beyond that, the oldest are dropped.
const MAX_PARTS: usize = 4_096;

/// Crashes stored of each part.
const MAX_CRASHES: usize = 48;

/// Crashes stored that a convicted part explains.
const MAX_EXPLAINED: usize = 256;

/// Verdicts and acquittals in a datagram.
const MAX_LISTED: usize = 48;

/// An answer has just begun until it has more chunks of events than this, and has gone on for this
/// time.
const BEGIN_CHUNKS: u32 = 3;
const BEGIN_TIME: Duration = Duration::from_secs(1);

/// Longest pause between two chunks that counts in full. A server that is silent writes nothing.
const MAX_PAUSE: Duration = Duration::from_millis(250);

data! {
    /// A backend server crashed under a request that had just begun there.
    pub struct Crash {
        /// Key of the server (see [`super::load::server_key`]).
        pub server: u64,
        /// Key of the request. Equal requests have equal keys.
        pub request: u64,
        /// The shared parts of its prompt, each with whether the reporting entry knows of an answer
        /// that was written on it.
        pub parts: Vec<(u64, bool)>,
    }

    /// Requests with a part are rejected.
    #[derive(Copy)]
    pub struct Verdict {
        /// The part.
        pub part: u64,
        /// Requests that tried it since.
        pub trials: u32,
        /// Milliseconds until the next request may try it.
        pub trial_in_ms: u32,
    }

    /// What entries tell each other about parts.
    pub enum News {
        /// A server crashed.
        Crash(Crash),
        /// Parts that are convicted.
        Verdicts(Vec<Verdict>),
        /// Parts on which an answer was written.
        Acquittals(Vec<u64>),
    }
}

/// Whether a request with certain parts may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may.
    Send,
    /// It may, as the one request that tries this part.
    Try(u64),
    /// It must not: this part is convicted.
    Reject(u64),
}

/// What came of a verdict that another entry reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// The part was not convicted here before.
    New,
    /// It was.
    Same,
    /// The part was acquitted recently. The reporting entry does not know yet.
    Overruled,
}

/// A crash under a suspect part.
#[derive(Clone, Copy, Debug)]
struct Met {
    server: u64,
    request: u64,
    at: Duration,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Invariant: never empty in [`Parts`].
    crashes: Vec<Met>,
    /// Whether an answer on it was written before.
    is_known: bool,
}

impl Suspect {
    fn servers(&self) -> HashSet<u64> {
        self.crashes.iter().map(|met| met.server).collect()
    }

    fn requests(&self) -> HashSet<u64> {
        self.crashes.iter().map(|met| met.request).collect()
    }

    fn first_at(&self) -> Duration {
        let times = self.crashes.iter().map(|met| met.at);
        times.min().unwrap_or_default()
    }

    fn last_at(&self) -> Duration {
        let times = self.crashes.iter().map(|met| met.at);
        times.max().unwrap_or_default()
    }

    fn add(&mut self, met: Met) {
        let of_server = self.crashes.iter().filter(|one| one.server == met.server);
        let is_known = of_server.clone().any(|one| one.request == met.request);
        let is_full = of_server.count() >= MIN_REQUESTS || self.crashes.len() >= MAX_CRASHES;
        if !is_known && !is_full {
            self.crashes.push(met);
        }
    }

    fn min_servers(&self) -> usize {
        if self.is_known {
            MIN_SERVERS_KNOWN
        } else {
            MIN_SERVERS
        }
    }

    /// Order of suspicion.
    fn weight(&self) -> usize {
        self.servers().len() + if self.is_known { 0 } else { UNKNOWN_LEAD }
    }

    fn is_ripe(&self, now: Duration) -> bool {
        let age = now.saturating_sub(self.first_at());
        let spread = self.last_at().saturating_sub(self.first_at());
        let had_time = if self.is_known {
            age >= GRACE_KNOWN && spread >= MIN_SPREAD_KNOWN
        } else {
            age >= GRACE
        };
        had_time
            && self.servers().len() >= self.min_servers()
            && self.requests().len() >= MIN_REQUESTS
    }
}

#[derive(Clone, Copy, Debug)]
struct Conviction {
    since: Duration,
    trials: u32,
    next_trial: Duration,
}

/// Parts under which servers crashed, and parts on which answers were written.
#[derive(Debug, Default)]
pub struct Parts {
    suspects: HashMap<u64, Suspect>,
    convicted: HashMap<u64, Conviction>,
    /// When an answer on a part was last written, as far as known here.
    sound: HashMap<u64, Duration>,
    /// Servers that crashed under a convicted part: they speak against no other part.
    explained: VecDeque<u64>,
}

/// How far the answer of one attempt has got. Times count from its first events.
#[derive(Clone, Copy, Debug, Default)]
pub struct Answer {
    /// Chunks of events after the first.
    chunks: u32,
    /// Time in which it was written.
    written: Duration,
    /// When the last chunk came.
    last: Duration,
}

impl Answer {
    /// Notes a chunk of events.
    pub fn note(&mut self, elapsed: Duration) {
        self.written = self.written_at(elapsed);
        self.last = elapsed;
        self.chunks += 1;
    }

    /// Whether it has just begun: a crash may be due to it, and nothing speaks for it yet.
    pub fn is_beginning(&self, elapsed: Duration) -> bool {
        self.chunks < BEGIN_CHUNKS || self.written_at(elapsed) < BEGIN_TIME
    }

    /// Chunks of events so far.
    pub fn chunks(&self) -> u32 {
        self.chunks + 1
    }

    fn written_at(&self, elapsed: Duration) -> Duration {
        self.written + elapsed.saturating_sub(self.last).min(MAX_PAUSE)
    }
}

impl Parts {
    /// A crash as reported to others.
    pub fn crash(&self, server: u64, request: u64, parts: &[u64]) -> Crash {
        let known = |part: &u64| (*part, self.sound.contains_key(part));
        Crash {
            server,
            request,
            parts: parts.iter().map(known).collect(),
        }
    }

    /// Notes a crash seen here or at another entry.
    pub fn record_crash(&mut self, now: Duration, crash: &Crash) {
        let mut parts = crash.parts.iter();
        if parts.any(|(part, _)| self.convicted.contains_key(part)) {
            self.explain(&HashSet::from([crash.server]));
            return;
        }
        if self.explained.contains(&crash.server) {
            return;
        }
        for (part, is_known) in &crash.parts {
            let suspect = self.suspects.entry(*part).or_default();
            suspect.is_known |= *is_known || self.sound.contains_key(part);
            suspect.add(Met {
                server: crash.server,
                request: crash.request,
                at: now,
            });
        }
        bound(&mut self.suspects, Suspect::last_at);
    }

    /// Notes that an answer on `parts` was written. Returns those that were suspect or convicted, for
    /// the other entries.
    pub fn acquit(&mut self, now: Duration, parts: &[u64]) -> Vec<u64> {
        for part in parts {
            self.sound.insert(*part, now);
        }
        bound(&mut self.sound, |at| *at);
        let mut cleared = Vec::new();
        for part in parts {
            let was_suspect = self.suspects.remove(part).is_some();
            if self.convicted.remove(part).is_some() || was_suspect {
                cleared.push(*part);
            }
        }
        cleared
    }

    /// Convicts the parts against which there is enough. Returns them.
    pub fn judge(&mut self, now: Duration) -> Vec<u64> {
        let mut ripe: Vec<(usize, u64)> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.is_ripe(now))
            .map(|(part, suspect)| (suspect.weight(), *part))
            .collect();
        ripe.sort_unstable_by(|one, other| other.cmp(one));
        let mut convicted = Vec::new();
        for (_, part) in ripe {
            let Some(suspect) = self.suspects.get(&part) else {
                continue;
            };
            if !suspect.is_ripe(now) || self.has_rival(part, suspect) {
                continue;
            }
            let servers = suspect.servers();
            // Parts that tie are convicted together, or none of them would be later.
            let mut guilty = self.tied(part, &servers);
            let pause = if guilty.is_empty() {
                FIRST_TRIAL
            } else {
                FIRST_TIED_TRIAL
            };
            guilty.push(part);
            for part in &guilty {
                self.convict(now, *part, 0, now + pause);
            }
            convicted.extend(guilty);
            self.explain(&servers);
        }
        convicted
    }

    /// Whether a request with `parts` may be sent now. `owns`: whether this entry is the one that lets
    /// requests try a part.
    pub fn decide(&self, now: Duration, parts: &[u64], owns: impl Fn(u64) -> bool) -> Decision {
        let mut decision = Decision::Send;
        for part in parts {
            let Some(conviction) = self.convicted.get(part) else {
                continue;
            };
            let may_try = decision == Decision::Send && now >= conviction.next_trial && owns(*part);
            if !may_try {
                return Decision::Reject(*part);
            }
            decision = Decision::Try(*part);
        }
        decision
    }

    /// Whether nothing speaks against any of `parts`.
    pub fn are_clear(&self, parts: &[u64]) -> bool {
        (self.convicted.is_empty() && self.suspects.is_empty())
            || !parts
                .iter()
                .any(|part| self.convicted.contains_key(part) || self.suspects.contains_key(part))
    }

    /// Whether any part is convicted.
    pub fn has_convicted(&self) -> bool {
        !self.convicted.is_empty()
    }

    /// Whether `part` is convicted.
    pub fn is_convicted(&self, part: u64) -> bool {
        self.convicted.contains_key(&part)
    }

    /// Notes that a request tries `part`. Returns the verdict as it is now.
    pub fn begin_trial(&mut self, now: Duration, part: u64) -> Option<Verdict> {
        let conviction = self.convicted.get_mut(&part)?;
        conviction.trials += 1;
        conviction.next_trial = now + trial_pause(conviction.trials);
        Some(verdict(now, part, conviction))
    }

    /// The verdicts for which `owns` holds, in lists that fit into a datagram.
    pub fn verdicts(&self, now: Duration, owns: impl Fn(u64) -> bool) -> Vec<Vec<Verdict>> {
        let owned = self.convicted.iter().filter(|(part, _)| owns(**part));
        let verdicts: Vec<Verdict> = owned
            .map(|(part, conviction)| verdict(now, *part, conviction))
            .collect();
        verdicts.chunks(MAX_LISTED).map(<[_]>::to_vec).collect()
    }

    /// Takes over a verdict of another entry.
    pub fn hear_verdict(&mut self, now: Duration, heard: Verdict) -> Heard {
        let acquitted = self.sound.get(&heard.part);
        let next_trial = now + Duration::from_millis(u64::from(heard.trial_in_ms));
        if let Some(conviction) = self.convicted.get_mut(&heard.part) {
            if heard.trials > conviction.trials {
                conviction.trials = heard.trials;
                conviction.next_trial = next_trial;
            }
            return Heard::Same;
        }
        if acquitted.is_some_and(|at| now < *at + ACQUITTED_FOR) {
            return Heard::Overruled;
        }
        let servers = self.suspects.get(&heard.part).map(Suspect::servers);
        self.convict(now, heard.part, heard.trials, next_trial);
        self.explain(&servers.unwrap_or_default());
        Heard::New
    }

    /// Drops what is outdated. To be called each second or so.
    pub fn prune(&mut self, now: Duration) {
        self.suspects
            .retain(|_, suspect| now < suspect.last_at() + SUSPECT_FOR);
        self.convicted
            .retain(|_, conviction| now < conviction.next_trial + FORGET_AFTER);
    }

    /// Number of parts stored.
    pub fn len(&self) -> usize {
        self.suspects.len() + self.convicted.len() + self.sound.len()
    }

    /// Whether no part is stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn convict(&mut self, now: Duration, part: u64, trials: u32, next_trial: Duration) {
        self.suspects.remove(&part);
        let conviction = Conviction {
            since: now,
            trials,
            next_trial,
        };
        self.convicted.insert(part, conviction);
        bound(&mut self.convicted, |conviction| conviction.since);
    }

    /// Removes crashes that a convicted part explains from those of all other parts.
    fn explain(&mut self, servers: &HashSet<u64>) {
        for server in servers {
            if !self.explained.contains(server) {
                self.explained.push_back(*server);
            }
        }
        while self.explained.len() > MAX_EXPLAINED {
            self.explained.pop_front();
        }
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(|met| !servers.contains(&met.server));
        }
        self.suspects
            .retain(|_, suspect| !suspect.crashes.is_empty());
    }

    /// Whether another part may be the cause of the same crashes as well as `part`, or better.
    fn has_rival(&self, part: u64, suspect: &Suspect) -> bool {
        let servers = suspect.servers();
        let may_tie = servers.len() >= suspect.min_servers() + TIE_SERVERS;
        self.suspects.iter().any(|(other, rival)| {
            let shares = rival
                .crashes
                .iter()
                .any(|met| servers.contains(&met.server));
            let (theirs, own) = (rival.weight(), suspect.weight());
            *other != part && shares && (theirs > own || (theirs == own && !may_tie))
        })
    }

    /// Parts with exactly these crashes that nothing is known for.
    fn tied(&self, part: u64, servers: &HashSet<u64>) -> Vec<u64> {
        let suspects = self.suspects.iter();
        suspects
            .filter(|(other, rival)| {
                **other != part && !rival.is_known && rival.servers() == *servers
            })
            .map(|(other, _)| *other)
            .collect()
    }
}

fn trial_pause(trials: u32) -> Duration {
    FIRST_TRIAL * 4_u32.pow(trials.min(MAX_TRIAL_STEPS))
}

fn verdict(now: Duration, part: u64, conviction: &Conviction) -> Verdict {
    Verdict {
        part,
        trials: conviction.trials,
        trial_in_ms: conviction.next_trial.saturating_sub(now).as_millis() as u32,
    }
}

/// Drops the older half of a map that has become too large.
fn bound<V>(map: &mut HashMap<u64, V>, at: impl Fn(&V) -> Duration) {
    if map.len() <= MAX_PARTS {
        return;
    }
    let mut times: Vec<(Duration, u64)> = map.iter().map(|(key, one)| (at(one), *key)).collect();
    times.sort_unstable();
    for (_, key) in &times[..times.len() / 2] {
        map.remove(key);
    }
}
