//! Monitors the progress of the consensus: metrics gauges, and log events when entries wait for a
//! commit or a process waits to be admitted.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family;
use prometheus_client::metrics::gauge;

use crate::control::consensus;
use crate::control::consensus::watch;
use crate::control::replica;
use crate::edge::event::Event;
use crate::edge::metric;
use crate::log_event;

/// Shortest wait for a commit or an admission that is logged. A commit takes milliseconds and an
/// election up to 1.6 s (`consensus::Timing`), so a wait that an election ends is rarely logged.
const LONG_WAIT: Duration = Duration::from_secs(1);

/// Interval between two log lines about the same wait.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Label {
    member: String,
}

type Gauge = gauge::Gauge<u64, AtomicU64>;
type Gauges = family::Family<Label, Gauge>;

/// The gauges of the control role. Label values are members and callers, so there are few.
#[derive(Clone, Default)]
struct Metrics {
    leads: Gauge,
    term: Gauge,
    commit: Gauge,
    tail: Gauge,
    durable: Gauge,
    waits_ms: Gauge,
    matched: Gauges,
    next: Gauges,
    refused: Gauges,
    ignored: Gauges,
    silent_ms: Gauges,
    caller_waits_ms: Gauges,
}

/// The gauges, and the waits that were logged.
pub struct Watch {
    gauges: Metrics,
    /// When the current wait for a commit was last logged, if it was.
    wait_logged_at: Option<Duration>,
    /// Waiting callers that were logged, by address and incarnation, and when.
    callers_logged_at: BTreeMap<(SocketAddr, u64), Duration>,
}

impl Watch {
    /// Registers the gauges.
    pub fn new(metrics: &metric::Registry) -> Self {
        let gauges = Metrics::default();
        let own = gauges.clone();
        metrics.with(|registry| {
            let sub = registry.sub_registry_with_prefix("control");
            sub.register("leads", "1 if this member leads", own.leads);
            sub.register("term", "Its term", own.term);
            sub.register("commit", "Last committed index known here", own.commit);
            sub.register("tail", "Last index here", own.tail);
            sub.register("durable", "Last index synced here", own.durable);
            sub.register(
                "waits_ms",
                "Milliseconds for which entries wait and none was committed",
                own.waits_ms,
            );
            sub.register("matched", "Last index synced at a follower", own.matched);
            sub.register("next", "Next index for a follower", own.next);
            sub.register("refused", "Messages that a follower refused", own.refused);
            sub.register(
                "refused_ignored",
                "Refusals that changed nothing here",
                own.ignored,
            );
            sub.register(
                "silent_ms",
                "Milliseconds since a follower answered",
                own.silent_ms,
            );
            sub.register(
                "caller_waits_ms",
                "Milliseconds for which a process has waited to be admitted",
                own.caller_waits_ms,
            );
        });
        Self {
            gauges,
            wait_logged_at: None,
            callers_logged_at: BTreeMap::new(),
        }
    }

    /// Updates the gauges and logs long waits. To be called about once a second.
    pub fn update(&mut self, now: Duration, replica: &replica::Replica, log: &slog::Logger) {
        let raft = replica.raft();
        let followers = raft.followers(now);
        let callers = raft.callers(now);
        self.set_own(now, raft);
        self.set_others(&followers, &callers);
        self.log_wait(now, raft, &followers, log);
        self.log_callers(now, &callers, log);
    }

    fn set_own(&self, now: Duration, raft: &consensus::Raft) {
        let gauges = &self.gauges;
        gauges.leads.set(u64::from(raft.is_leader()));
        gauges.term.set(raft.term());
        gauges.commit.set(raft.commit());
        gauges.tail.set(raft.log().tail().index);
        gauges.durable.set(raft.durable());
        gauges
            .waits_ms
            .set(raft.commit_delay(now).as_millis() as u64);
    }

    fn set_others(&self, followers: &[watch::Follower], callers: &[watch::Caller]) {
        let gauges = &self.gauges;
        // Clear first: members may have left, and only the leader sets values.
        let families = [
            &gauges.matched,
            &gauges.next,
            &gauges.refused,
            &gauges.ignored,
            &gauges.silent_ms,
            &gauges.caller_waits_ms,
        ];
        families.into_iter().for_each(family::Family::clear);
        for follower in followers {
            let label = label(follower.addr);
            gauges.matched.get_or_create(&label).set(follower.matched);
            gauges.next.get_or_create(&label).set(follower.next);
            gauges.refused.get_or_create(&label).set(follower.refused);
            gauges.ignored.get_or_create(&label).set(follower.ignored);
            gauges
                .silent_ms
                .get_or_create(&label)
                .set(follower.silent_ms);
        }
        for caller in callers {
            let waits = gauges.caller_waits_ms.get_or_create(&label(caller.addr));
            waits.set(caller.waits_ms);
        }
    }

    fn log_wait(
        &mut self,
        now: Duration,
        raft: &consensus::Raft,
        followers: &[watch::Follower],
        log: &slog::Logger,
    ) {
        let waits = raft.commit_delay(now);
        if waits < LONG_WAIT {
            if self.wait_logged_at.take().is_some() {
                log_event!(log, Event::ControlCommits, "commit" => raft.commit(),
                    "term" => raft.term());
            }
            return;
        }
        if self
            .wait_logged_at
            .is_some_and(|at| now < at + REPEAT_INTERVAL)
        {
            return;
        }
        self.wait_logged_at = Some(now);
        let followers: Vec<String> = followers.iter().map(describe).collect();
        log_event!(log, Event::ControlWaits, "waits_ms" => waits.as_millis() as u64,
            "term" => raft.term(), "commit" => raft.commit(),
            "tail" => raft.log().tail().index, "durable" => raft.durable(),
            "followers" => followers.join("; "));
    }

    fn log_callers(&mut self, now: Duration, callers: &[watch::Caller], log: &slog::Logger) {
        let is_waiting =
            |key: &(SocketAddr, u64)| callers.iter().any(|caller| *key == key_of(caller));
        self.callers_logged_at.retain(|key, _| is_waiting(key));
        for caller in callers {
            let logged_at = self.callers_logged_at.get(&key_of(caller));
            let is_due = logged_at.is_none_or(|at| now >= *at + REPEAT_INTERVAL);
            if caller.waits_ms < LONG_WAIT.as_millis() as u64 || !is_due {
                continue;
            }
            self.callers_logged_at.insert(key_of(caller), now);
            log_event!(log, Event::ControlCaller, "member" => caller.addr, "life" => caller.life,
                "waits_ms" => caller.waits_ms);
        }
    }
}

fn key_of(caller: &watch::Caller) -> (SocketAddr, u64) {
    (caller.addr, caller.life)
}

fn label(addr: SocketAddr) -> Label {
    Label {
        member: addr.to_string(),
    }
}

fn describe(follower: &watch::Follower) -> String {
    let may_agree = follower
        .may_agree
        .map_or("none".to_owned(), |at| at.to_string());
    format!(
        "{} matched={} next={} refused={} ignored={} may_agree={may_agree} silent_ms={}",
        follower.addr,
        follower.matched,
        follower.next,
        follower.refused,
        follower.ignored,
        follower.silent_ms
    )
}
