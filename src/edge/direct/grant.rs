//! Grants for servers that name a limit: asked for, given, waited for.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time;

use super::Direct;
use super::State;
use super::choose::Assignment;
use super::context::Context;
use super::eligibility;
use crate::direct::gossip;
use crate::direct::load;
use crate::direct::place;
use crate::direct::place::single;
use crate::direct::quota;
use crate::direct::register;
use crate::direct::subset;
use crate::edge::event::Event;
use crate::log_event;

/// Time for another process to answer whether it grants: some round trips between zones, and its
/// thread's other work.
const ASK_TIMEOUT: Duration = Duration::from_millis(80);

/// How long a process that did not answer is passed over.
const PASSED_OVER: Duration = Duration::from_millis(500);

/// Processes that are asked for one request: the one that grants, and its deputy.
const MOST_ASKED: usize = 2;

/// Servers that are named when a grant is asked for: a datagram holds them with ease.
const MOST_NAMED: usize = 16;

/// Longest wait for a grant while other servers are there, but full.
const WAIT_BESIDE: Duration = Duration::from_millis(100);

/// How long nobody asks again for a service whose servers with a limit take nothing now, while
/// other servers are there.
const DENIED_FOR: Duration = Duration::from_millis(100);

/// Why a request would go to a server that names a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    /// The server takes it at once, and it is on time there.
    HasCapacity,
    /// The others are full.
    OthersFull,
    /// There is no other.
    OnlyLimited,
}

/// What is asked of other processes.
#[derive(Default)]
pub(super) struct Requests {
    last: u64,
    pending: HashMap<u64, oneshot::Sender<gossip::Grant>>,
    /// Until when a process that did not answer is passed over.
    passed_over: HashMap<SocketAddr, Duration>,
    /// Until when nobody asks for a service beside other servers.
    denied: HashMap<String, Duration>,
}

/// A server that names a limit, with the place that a request would have there.
struct Candidate {
    record: register::Record,
    server: place::Server,
    place: place::Place,
}

impl Direct {
    /// Chooses a server that names a limit, and waits until it may be sent the request. `Ok(None)`:
    /// none of them would do. `Err`: they take no more now; when to come back.
    pub(super) async fn choose_limited(
        self: &Arc<Self>,
        context: &Context,
        reason: Reason,
    ) -> Result<Option<Assignment>, Duration> {
        if self.state().quotas.is_empty() || self.is_denied(context, reason) {
            return Ok(None);
        }
        let mut candidates = self.limited(context, reason);
        if candidates.is_empty() {
            return Ok(None);
        }
        let servers: Vec<u64> = candidates.iter().map(|one| one.server.key).collect();
        let most = match reason {
            Reason::HasCapacity => Duration::ZERO,
            Reason::OthersFull => WAIT_BESIDE,
            Reason::OnlyLimited => context.wait().grant_timeout(),
        };
        let slot = match self.granted(&context.service, &servers, most).await {
            Ok(slot) => slot,
            Err(come_back) => {
                self.denied(context, reason, servers.len(), come_back);
                return Err(come_back);
            }
        };
        candidates.retain(|one| one.server.key == slot.server);
        let Some(one) = candidates.pop() else {
            return Ok(None);
        };
        time::sleep(slot.wait).await;
        let (records, servers) = ([one.record], [one.server]);
        let assignment = self.assign(self.state(), context, &records, &servers, one.place);
        Ok(Some(assignment))
    }

    /// Servers that name a limit and would do, the best first.
    fn limited(&self, context: &Context, reason: Reason) -> Vec<Candidate> {
        let now = self.node.now();
        let is_grantor = self.grantors(&context.service).first() == Some(&self.me());
        let mut state = self.state();
        let other = reason != Reason::OnlyLimited;
        let mut records = eligibility::limited(&state, now, context, other);
        if reason == Reason::HasCapacity {
            // Others may ask as well once nobody knows whether the limit goes on.
            records.retain(|one| {
                let server = load::server_key(&one.life);
                let is_free = is_grantor && state.quotas.is_free(now, server);
                is_free || state.quotas.is_stale(now, server)
            });
        }
        if records.is_empty() {
            return Vec::new();
        }
        let servers = self.servers(&mut state, now, &records, subset::Subset::WHOLE);
        let writing = context.write_time_bound(&state.writing);
        drop(state);
        let all = records.into_iter().zip(servers);
        let all = all.filter_map(|(record, server)| {
            let place = lone_place(context, &server, reason)?;
            if !context.completes_before_exit(place.first_ms, writing) {
                return None;
            }
            Some(Candidate {
                record,
                server,
                place,
            })
        });
        let mut candidates: Vec<Candidate> = all.collect();
        let draw = context.need().draw;
        candidates.sort_by_key(|one| (one.place.first_ms as u64, one.server.key ^ draw));
        candidates.truncate(MOST_NAMED);
        candidates
    }

    /// Asks for a grant, of this process itself if it is the one that grants.
    async fn granted(
        &self,
        service: &str,
        servers: &[u64],
        most: Duration,
    ) -> Result<quota::Grant, Duration> {
        let now = self.node.now();
        let mut grantors = self.grantors(service);
        {
            let requests = self.grant_requests();
            grantors.retain(|one| {
                requests
                    .passed_over
                    .get(one)
                    .is_none_or(|until| now >= *until)
            });
        }
        for grantor in grantors.into_iter().take(MOST_ASKED) {
            if grantor == self.me() {
                return self.grant(service, servers, most);
            }
            if let Some(grant) = self.ask(grantor, service, servers, most).await {
                self.counts.grant_answered(grant.server.is_some());
                return match grant.server {
                    Some(server) => Ok(quota::Grant {
                        server,
                        wait: grant.wait,
                    }),
                    None => Err(grant.wait),
                };
            }
            self.counts.grant_unanswered();
            let until = self.node.now() + PASSED_OVER;
            self.grant_requests().passed_over.insert(grantor, until);
        }
        Err(quota::DEFAULT_RETRY_AFTER)
    }

    async fn ask(
        &self,
        grantor: SocketAddr,
        service: &str,
        servers: &[u64],
        most: Duration,
    ) -> Option<gossip::Grant> {
        let (tx, rx) = oneshot::channel();
        let number = {
            let mut requests = self.grant_requests();
            requests.last += 1;
            let number = requests.last;
            requests.pending.insert(number, tx);
            number
        };
        let words = {
            let state = self.state();
            let words = servers.iter().filter_map(|one| state.quotas.report(*one));
            words.collect()
        };
        let ask = gossip::Request {
            number,
            service: service.to_owned(),
            words,
            most,
        };
        self.send_to(grantor, gossip::Message::Ask(ask));
        let granted = time::timeout(ASK_TIMEOUT, rx).await;
        self.grant_requests().pending.remove(&number);
        granted.ok()?.ok()
    }

    fn grant(
        &self,
        service: &str,
        servers: &[u64],
        most: Duration,
    ) -> Result<quota::Grant, Duration> {
        let now = self.node.now();
        let account = if self.grantors(service).first() == Some(&self.me()) {
            quota::Grantor::Primary
        } else {
            quota::Grantor::Deputy
        };
        let mut state = self.state();
        state.quotas.grant(now, service, servers, most, account)
    }

    /// Answers another process that asks for a grant.
    pub(super) fn answer_grant_request(&self, ask: &gossip::Request) -> gossip::Grant {
        self.receive_limit_reports(&ask.words);
        let servers: Vec<u64> = ask.words.iter().map(|one| one.server).collect();
        let granted = self.grant(&ask.service, &servers, ask.most);
        gossip::Grant {
            number: ask.number,
            server: granted.ok().map(|slot| slot.server),
            wait: granted.map_or_else(|come_back| come_back, |slot| slot.wait),
        }
    }

    /// Takes the answer to what this process asked.
    pub(super) fn receive_grant(&self, grant: gossip::Grant) {
        if let Some(waiting) = self.grant_requests().pending.remove(&grant.number) {
            // Whoever asked may have left meanwhile: then the grant is not used.
            let _ = waiting.send(grant);
        }
    }

    /// Something goes to a server that names a limit and cannot wait for a grant.
    pub(super) fn charge(&self, life: &register::Instance) {
        let server = load::server_key(life);
        let service = {
            let state = self.state();
            if state.quotas.limit(server).is_none() {
                return;
            }
            let record = state.register.get(life);
            record.map_or(String::new(), |one| one.service.clone())
        };
        match self.grantors(&service).first() {
            Some(grantor) if *grantor != self.me() => {
                self.send_to(*grantor, gossip::Message::Charged(server));
            }
            _ => self.receive_charge(server),
        }
    }

    /// Something was sent without a grant.
    pub(super) fn receive_charge(&self, server: u64) {
        let now = self.node.now();
        self.state().quotas.charge(now, server);
    }

    /// Entries in the order in which they grant for a service.
    fn grantors(&self, service: &str) -> Vec<SocketAddr> {
        let mut entries: Vec<SocketAddr> = {
            let roster = self.roster();
            let all = roster.all().filter(|one| one.serves);
            all.map(|one| one.link).collect()
        };
        if !self.node.draining() || entries.is_empty() {
            entries.push(self.me());
        }
        quota::grantors(service, entries)
    }

    fn me(&self) -> SocketAddr {
        self.node.settings().link
    }

    fn grant_requests(&self) -> MutexGuard<'_, Requests> {
        self.grant_requests.lock().expect("grant requests lock")
    }

    /// Whether its service's servers with a limit were found to take nothing a moment ago.
    fn is_denied(&self, context: &Context, reason: Reason) -> bool {
        let now = self.node.now();
        let requests = self.grant_requests();
        let until = requests.denied.get(&context.service);
        reason != Reason::OnlyLimited && until.is_some_and(|until| now < *until)
    }

    fn denied(&self, context: &Context, reason: Reason, servers: usize, come_back: Duration) {
        let now = self.node.now();
        if reason != Reason::OnlyLimited {
            let until = now + DENIED_FOR;
            self.grant_requests()
                .denied
                .insert(context.service.clone(), until);
            return;
        }
        if self.log_limiter.allow(Event::RequestLimited, now) {
            log_event!(self.node.log(), Event::RequestLimited, "request" => &context.request.id,
                "servers" => servers, "come_back_ms" => come_back.as_millis() as u64,
                "left_ms" => context.time_left().as_millis() as u64);
        }
    }

    /// Forgets who was passed over. To be called now and then.
    pub(super) fn prune_grants(&self) {
        let now = self.node.now();
        let mut requests = self.grant_requests();
        requests.passed_over.retain(|_, until| now < *until);
        requests.denied.retain(|_, until| now < *until);
    }
}

/// The place of a request at a server by itself, if it would do there.
fn lone_place(context: &Context, server: &place::Server, reason: Reason) -> Option<place::Place> {
    let (Some(engine), Some(_)) = (&context.engine, context.request.size) else {
        let taken = server.load.readers + server.load.writers;
        let is_free = taken < server.slots || reason == Reason::OnlyLimited;
        return is_free.then(|| single::plain(0));
    };
    let need = context.need();
    let place = single::engine(engine, &need, server, 0)?;
    let would_do = match reason {
        Reason::HasCapacity => {
            !place::is_long(engine, &need) && place.is_surely_on_time(need.objective)
        }
        Reason::OthersFull => !place.is_full(context.route.objective),
        Reason::OnlyLimited => true,
    };
    (would_do && context.meets_deadline_at(&place)).then_some(place)
}

impl State {
    /// Whether a server names a limit.
    pub(super) fn is_limited(&self, life: &register::Instance) -> bool {
        !self.quotas.is_empty() && self.quotas.limit(load::server_key(life)).is_some()
    }
}
