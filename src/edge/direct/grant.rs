//! Grants to send requests to backend servers that have a limit. For each service one entry grants;
//! the others ask it and wait until their grant is due.

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
use crate::direct::retry;
use crate::direct::subset;
use crate::edge::event::Event;
use crate::log_event;

/// Timeout of a grant request to another entry: some round trips between availability zones, and
/// delay by other work of its thread.
const ASK_TIMEOUT: Duration = Duration::from_millis(80);

/// How long an entry that did not answer a grant request is skipped.
const SKIP_TIME: Duration = Duration::from_millis(500);

/// Entries asked for one grant: the grantor, and its deputy.
const MAX_GRANTORS: usize = 2;

/// Servers named in a grant request. They fit into one datagram.
const MAX_SERVERS: usize = 16;

/// Longest wait for a grant while there are servers without a limit, all of them full.
const OTHERS_FULL_WAIT: Duration = Duration::from_millis(100);

/// How long no grant is requested for a service after one was denied, while it has servers without
/// a limit.
const DENIED_TIME: Duration = Duration::from_millis(100);

/// Why a request may go to a server that names a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    /// The server takes the request at once and serves it on time.
    HasCapacity,
    /// All servers without a limit are full.
    OthersFull,
    /// There is no server without a limit.
    OnlyLimited,
}

/// Grant requests to other entries.
#[derive(Default)]
pub(super) struct Requests {
    last_number: u64,
    pending: HashMap<u64, oneshot::Sender<gossip::Grant>>,
    /// Until when an entry that did not answer is skipped.
    skipped: HashMap<SocketAddr, Duration>,
    /// Until when no grant is requested for a service that has servers without a limit.
    denied: HashMap<String, Duration>,
}

/// A server that names a limit, with the place of the request on it.
struct Candidate {
    record: register::Record,
    server: place::Server,
    place: place::Place,
}

impl Direct {
    /// Chooses a server that names a limit, and waits until the request may be sent to it.
    /// `Ok(None)`: none is suitable.
    ///
    /// # Errors
    ///
    /// If the grant is denied: the time after which to retry.
    pub(super) async fn choose_limited(
        self: &Arc<Self>,
        context: &Context,
        reason: Reason,
    ) -> Result<Option<Assignment>, Duration> {
        let now = self.node.now();
        if self.state().quotas.is_empty(now) || self.is_denied(context, reason) {
            return Ok(None);
        }
        let mut candidates = self.candidates(context, reason);
        if candidates.is_empty() {
            return Ok(None);
        }
        let servers: Vec<u64> = candidates
            .iter()
            .map(|candidate| candidate.server.key)
            .collect();
        let max_wait = match reason {
            Reason::HasCapacity => Duration::ZERO,
            Reason::OthersFull => OTHERS_FULL_WAIT,
            Reason::OnlyLimited => context.time_budget().grant_timeout(),
        };
        let grant = match self
            .request_grant(&context.service, &servers, max_wait)
            .await
        {
            Ok(grant) => grant,
            Err(retry_after) => {
                self.record_denial(context, reason, servers.len(), retry_after);
                return Err(retry_after);
            }
        };
        candidates.retain(|candidate| candidate.server.key == grant.server);
        let Some(candidate) = candidates.pop() else {
            return Ok(None);
        };
        time::sleep(grant.wait).await;
        let (records, servers) = ([candidate.record], [candidate.server]);
        let assignment = self.assign(self.state(), context, &records, &servers, candidate.place);
        Ok(Some(assignment))
    }

    /// Chooses a server if the only servers are those that name a limit, or none at all.
    pub(super) async fn choose_only_limited(
        self: &Arc<Self>,
        context: &Context,
    ) -> Result<Assignment, retry::Failure> {
        match self.choose_limited(context, Reason::OnlyLimited).await {
            Ok(Some(assignment)) => Ok(assignment),
            Ok(None) if context.lifetime.is_stopping() => Err(retry::Failure::Ending),
            Ok(None) if eligibility::is_excluded(&self.state(), self.node.now(), context) => {
                Err(retry::Failure::Excluded)
            }
            Ok(None) => Err(retry::Failure::Unsent),
            Err(retry_after) => Err(retry::Failure::Limited(retry_after)),
        }
    }

    /// Suitable servers that name a limit, the best first.
    fn candidates(&self, context: &Context, reason: Reason) -> Vec<Candidate> {
        let now = self.node.now();
        let is_grantor = self.grantors(&context.service).first() == Some(&self.own_link());
        let mut state = self.state();
        let has_others = reason != Reason::OnlyLimited;
        let mut records = eligibility::limited(&state, now, context, has_others);
        if reason == Reason::HasCapacity {
            // Only the grantor knows whether a server is free. Once it is unknown whether the limit
            // is still in force, any entry may try.
            records.retain(|record| {
                let server = load::server_key(&record.life);
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
            let place = single_place(context, &server, reason)?;
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
        candidates.sort_by_key(|candidate| {
            (candidate.place.first_ms as u64, candidate.server.key ^ draw)
        });
        candidates.truncate(MAX_SERVERS);
        candidates
    }

    /// Gets a grant from the grantor of `service`, which may be this entry, or from its deputy.
    async fn request_grant(
        &self,
        service: &str,
        servers: &[u64],
        max_wait: Duration,
    ) -> Result<quota::Grant, Duration> {
        let now = self.node.now();
        let mut grantors = self.grantors(service);
        {
            let requests = self.grant_requests();
            grantors.retain(|grantor| {
                requests
                    .skipped
                    .get(grantor)
                    .is_none_or(|until| now >= *until)
            });
        }
        for grantor in grantors.into_iter().take(MAX_GRANTORS) {
            if grantor == self.own_link() {
                return self.grant(service, servers, max_wait);
            }
            if let Some(grant) = self.send_request(grantor, service, servers, max_wait).await {
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
            let until = self.node.now() + SKIP_TIME;
            self.grant_requests().skipped.insert(grantor, until);
        }
        Err(quota::DEFAULT_RETRY_AFTER)
    }

    async fn send_request(
        &self,
        grantor: SocketAddr,
        service: &str,
        servers: &[u64],
        max_wait: Duration,
    ) -> Option<gossip::Grant> {
        let (tx, rx) = oneshot::channel();
        let number = {
            let mut requests = self.grant_requests();
            requests.last_number += 1;
            let number = requests.last_number;
            requests.pending.insert(number, tx);
            number
        };
        let reports = {
            let state = self.state();
            let reports = servers
                .iter()
                .filter_map(|server| state.quotas.report(*server));
            reports.collect()
        };
        let request = gossip::Request {
            number,
            service: service.to_owned(),
            words: reports,
            most: max_wait,
        };
        self.send_to(grantor, gossip::Message::Ask(request));
        let granted = time::timeout(ASK_TIMEOUT, rx).await;
        self.grant_requests().pending.remove(&number);
        granted.ok()?.ok()
    }

    fn grant(
        &self,
        service: &str,
        servers: &[u64],
        max_wait: Duration,
    ) -> Result<quota::Grant, Duration> {
        let now = self.node.now();
        let isolated = !self.settings.first_start && self.membership().is_empty();
        let grantor = quota::Grantor::of(self.own_link(), &self.grantors(service), isolated);
        let mut state = self.state();
        state.quotas.grant(now, service, servers, max_wait, grantor)
    }

    /// Answers a grant request of another entry.
    pub(super) fn answer_grant_request(&self, request: &gossip::Request) -> gossip::Grant {
        self.receive_limit_reports(&request.words);
        let servers: Vec<u64> = request.words.iter().map(|report| report.server).collect();
        let granted = self.grant(&request.service, &servers, request.most);
        gossip::Grant {
            number: request.number,
            server: granted.ok().map(|grant| grant.server),
            wait: granted.map_or_else(|retry_after| retry_after, |grant| grant.wait),
        }
    }

    /// Receives the answer to a grant request of this entry.
    pub(super) fn receive_grant(&self, grant: gossip::Grant) {
        if let Some(waiting) = self.grant_requests().pending.remove(&grant.number) {
            // The request may have been cancelled meanwhile. Its grant is then not used.
            let _ = waiting.send(grant);
        }
    }

    /// Counts something that is sent without a grant against the limit of its server, if it names
    /// one. The grantor keeps the account.
    pub(super) fn charge(&self, instance: &register::Instance) {
        let server = load::server_key(instance);
        let service = {
            let state = self.state();
            if state.quotas.limit(self.node.now(), server).is_none() {
                return;
            }
            let record = state.register.get(instance);
            record.map_or(String::new(), |record| record.service.clone())
        };
        match self.grantors(&service).first() {
            Some(grantor) if *grantor != self.own_link() => {
                self.send_to(*grantor, gossip::Message::Charged(server));
            }
            _ => self.receive_charge(server),
        }
    }

    /// Counts what this or another entry sent without a grant.
    pub(super) fn receive_charge(&self, server: u64) {
        let now = self.node.now();
        self.state().quotas.charge(now, server);
    }

    /// Entries in the order in which they grant for a service: the grantor, its deputy, the rest.
    fn grantors(&self, service: &str) -> Vec<SocketAddr> {
        let mut entries: Vec<SocketAddr> = {
            let membership = self.membership();
            let all = membership.all().filter(|peer| peer.serves);
            all.map(|peer| peer.link).collect()
        };
        if !self.node.draining() || entries.is_empty() {
            entries.push(self.own_link());
        }
        quota::grantors(service, entries)
    }

    fn own_link(&self) -> SocketAddr {
        self.node.settings().link
    }

    fn grant_requests(&self) -> MutexGuard<'_, Requests> {
        self.grant_requests.lock().expect("grant requests lock")
    }

    /// Whether a grant for the service of a request was denied within `DENIED_TIME`.
    fn is_denied(&self, context: &Context, reason: Reason) -> bool {
        let now = self.node.now();
        let requests = self.grant_requests();
        let until = requests.denied.get(&context.service);
        reason != Reason::OnlyLimited && until.is_some_and(|until| now < *until)
    }

    fn record_denial(
        &self,
        context: &Context,
        reason: Reason,
        servers: usize,
        retry_after: Duration,
    ) {
        let now = self.node.now();
        if reason != Reason::OnlyLimited {
            let until = now + DENIED_TIME;
            self.grant_requests()
                .denied
                .insert(context.service.clone(), until);
            return;
        }
        if self.log_limiter.allow(Event::RequestLimited, now) {
            log_event!(self.node.log(), Event::RequestLimited, "request" => &context.request.id,
                "servers" => servers, "come_back_ms" => retry_after.as_millis() as u64,
                "left_ms" => context.time_left().as_millis() as u64);
        }
    }

    /// Removes expired entries of the skipped and the denied. To be called each second.
    pub(super) fn prune_grants(&self) {
        let now = self.node.now();
        let mut requests = self.grant_requests();
        requests.skipped.retain(|_, until| now < *until);
        requests.denied.retain(|_, until| now < *until);
    }
}

/// The place of a request on a single server, if the server is suitable.
fn single_place(context: &Context, server: &place::Server, reason: Reason) -> Option<place::Place> {
    let (Some(engine), Some(_)) = (&context.engine, context.request.size) else {
        let taken = server.load.readers + server.load.writers;
        let is_free = taken < server.slots || reason == Reason::OnlyLimited;
        return is_free.then(|| single::plain(0));
    };
    let need = context.need();
    let place = single::engine(engine, &need, server, 0)?;
    let is_suitable = match reason {
        Reason::HasCapacity => {
            !place::is_long(engine, &need) && place.is_surely_on_time(need.objective)
        }
        Reason::OthersFull => !place.is_full(context.route.objective),
        Reason::OnlyLimited => true,
    };
    (is_suitable && context.meets_deadline_at(&place)).then_some(place)
}

impl State {
    /// Whether a server has a limit.
    pub(super) fn is_limited(&self, now: Duration, instance: &register::Instance) -> bool {
        !self.quotas.is_empty(now) && self.quotas.limit(now, load::server_key(instance)).is_some()
    }
}
