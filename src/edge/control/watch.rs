//! Tells operators whether commits go on: gauges on the metrics address, and events when
//! nothing is committed or somebody waits to be admitted.

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

/// Wait for a commit, or to be admitted, that is told of. A commit takes milliseconds and an
/// election up to 1.6 s (`consensus::Timing`), so what an election mends is hardly told.
const LONG: Duration = Duration::from_secs(1);

/// Time between two lines on one matter.
const REPEAT: Duration = Duration::from_secs(5);

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Of {
    member: String,
}

type Gauge = gauge::Gauge<u64, AtomicU64>;
type Gauges = family::Family<Of, Gauge>;

/// The gauges of the control role. Labels are members and callers, of which there are few.
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

/// What was told, and when.
pub struct Watch {
    gauges: Metrics,
    /// When the wait for a commit was told last, if it has not ended.
    waits_told: Option<Duration>,
    /// Callers that were told of, and when.
    callers_told: BTreeMap<(SocketAddr, u64), Duration>,
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
            waits_told: None,
            callers_told: BTreeMap::new(),
        }
    }

    /// Takes a look at the member. To be called about once a second.
    pub fn look(&mut self, now: Duration, replica: &replica::Replica, log: &slog::Logger) {
        let raft = replica.raft();
        let followers = raft.followers(now);
        let callers = raft.callers(now);
        self.set_own(now, raft);
        self.set_others(&followers, &callers);
        self.tell_waits(now, raft, &followers, log);
        self.tell_callers(now, &callers, log);
    }

    fn set_own(&self, now: Duration, raft: &consensus::Raft) {
        let gauges = &self.gauges;
        let leads = raft.role() == consensus::Role::Leader;
        gauges.leads.set(u64::from(leads));
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
        // Members that left, or a member that no longer leads, show nothing.
        let families = [
            &gauges.matched,
            &gauges.next,
            &gauges.refused,
            &gauges.ignored,
            &gauges.silent_ms,
            &gauges.caller_waits_ms,
        ];
        families.into_iter().for_each(family::Family::clear);
        for one in followers {
            let of = of(one.addr);
            gauges.matched.get_or_create(&of).set(one.matched);
            gauges.next.get_or_create(&of).set(one.next);
            gauges.refused.get_or_create(&of).set(one.refused);
            gauges.ignored.get_or_create(&of).set(one.ignored);
            gauges.silent_ms.get_or_create(&of).set(one.silent_ms);
        }
        for one in callers {
            let waits = gauges.caller_waits_ms.get_or_create(&of(one.addr));
            waits.set(one.waits_ms);
        }
    }

    fn tell_waits(
        &mut self,
        now: Duration,
        raft: &consensus::Raft,
        followers: &[watch::Follower],
        log: &slog::Logger,
    ) {
        let waits = raft.commit_delay(now);
        if waits < LONG {
            if self.waits_told.take().is_some() {
                log_event!(log, Event::ControlCommits, "commit" => raft.commit(),
                    "term" => raft.term());
            }
            return;
        }
        if self.waits_told.is_some_and(|at| now < at + REPEAT) {
            return;
        }
        self.waits_told = Some(now);
        let followers: Vec<String> = followers.iter().map(describe).collect();
        log_event!(log, Event::ControlWaits, "waits_ms" => waits.as_millis() as u64,
            "term" => raft.term(), "commit" => raft.commit(),
            "tail" => raft.log().tail().index, "durable" => raft.durable(),
            "followers" => followers.join("; "));
    }

    fn tell_callers(&mut self, now: Duration, callers: &[watch::Caller], log: &slog::Logger) {
        let waits = |key: &(SocketAddr, u64)| callers.iter().any(|one| *key == key_of(one));
        self.callers_told.retain(|key, _| waits(key));
        for one in callers {
            let told = self.callers_told.get(&key_of(one));
            let is_due = told.is_none_or(|at| now >= *at + REPEAT);
            if one.waits_ms < LONG.as_millis() as u64 || !is_due {
                continue;
            }
            self.callers_told.insert(key_of(one), now);
            log_event!(log, Event::ControlCaller, "member" => one.addr, "life" => one.life,
                "waits_ms" => one.waits_ms);
        }
    }
}

fn key_of(caller: &watch::Caller) -> (SocketAddr, u64) {
    (caller.addr, caller.life)
}

fn of(addr: SocketAddr) -> Of {
    Of {
        member: addr.to_string(),
    }
}

fn describe(one: &watch::Follower) -> String {
    let may_agree = one.may_agree.map_or("none".to_owned(), |at| at.to_string());
    format!(
        "{} matched={} next={} refused={} ignored={} may_agree={may_agree} silent_ms={}",
        one.addr, one.matched, one.next, one.refused, one.ignored, one.silent_ms
    )
}
