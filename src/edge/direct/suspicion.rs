//! Requests and prompt parts under which backend servers crash: what is observed, what the entries tell
//! each other about it, and which requests are not sent.

use std::net::SocketAddr;
use std::time::Duration;

use super::Direct;
use super::context::Context;
use super::progress;
use crate::direct::gossip;
use crate::direct::load;
use crate::direct::part;
use crate::direct::register;
use crate::direct::rendezvous;
use crate::edge::event::Event;
use crate::log_event;
use crate::wire::id;

/// How far a request had got at its backend server when the connection broke.
#[derive(Clone)]
pub(super) struct Run {
    /// The caller's id of the request.
    request: String,
    /// Hash of the whole request.
    fingerprint: id::Fingerprint,
    /// Shared parts of its prompt.
    parts: Vec<u64>,
    stage: progress::Stage,
    /// Events passed on to the caller, at all servers together.
    events: u32,
    /// Its answer, and the time since its first events. `None`: there were none.
    answer: Option<(Duration, part::Answer)>,
}

impl Run {
    /// The current attempt of a request.
    pub(super) fn new(context: &Context) -> Self {
        let state = context.progress.lock();
        let is_writing = state.stage == progress::Stage::Answering;
        Self {
            request: context.request.id.clone(),
            fingerprint: context.fingerprint,
            parts: context.request.parts.clone(),
            stage: state.stage,
            events: state.events,
            answer: is_writing.then(|| {
                let answer = context.answer.filter(|(since, _)| *since == state.since);
                let answer = answer.map(|(_, answer)| answer).unwrap_or_default();
                (state.since.elapsed(), answer)
            }),
        }
    }

    fn is_beginning(&self) -> bool {
        self.answer
            .is_none_or(|(elapsed, answer)| answer.is_beginning(elapsed))
    }
}

impl Direct {
    /// Requests of this entry that were sent to `server` and have not ended.
    pub(super) fn open_runs(&self, server: &register::Instance) -> usize {
        let is_open = |progress: &progress::Progress| {
            let state = progress.lock();
            let is_sent = matches!(
                state.stage,
                progress::Stage::Sent | progress::Stage::Answering
            );
            is_sent && state.server.as_ref() == Some(server)
        };
        self.progress
            .all()
            .iter()
            .filter(|one| is_open(one))
            .count()
    }

    /// Logs that a server crashed under a request. `open`: requests of this entry that were on it when
    /// the connection broke, this one included or not.
    fn log_crash(&self, run: &Run, server: &register::Instance, open: usize, evidence: &str) {
        let now = self.node.now();
        if self.log_limiter.allow(Event::RunCrashed, now) {
            log_event!(self.node.log(), Event::RunCrashed, "request" => &run.request,
                "server" => server, "evidence" => evidence,
                "stage" => run.stage.name(), "events" => run.events,
                "wrote_ms" => run.answer.map_or(-1, |(wrote, _)| wrote.as_millis() as i64),
                "open" => open);
        }
    }

    /// A server crashed while it ran a request. If the request had just begun there, it and the parts
    /// of its prompt are suspects from now on.
    pub(super) fn server_crashed(
        &self,
        run: &Run,
        server: &register::Instance,
        open: usize,
        evidence: &str,
    ) {
        self.log_crash(run, server, open, evidence);
        if !run.is_beginning() {
            return;
        }
        let now = self.node.now();
        let is_new = self
            .state()
            .suspects
            .record_crash(now, run.fingerprint, server);
        if is_new {
            self.broadcast(gossip::Message::Died(run.fingerprint, server.clone()));
            if self.log_limiter.allow(Event::RequestSuspect, now) {
                log_event!(self.node.log(), Event::RequestSuspect, "server" => server,
                    "fingerprint" => run.fingerprint.to_string());
            }
        }
        if run.parts.is_empty() {
            return;
        }
        let crash = {
            let mut state = self.state();
            let request = u64::from_le_bytes(run.fingerprint.0[..8].try_into().unwrap_or_default());
            let crash = state
                .parts
                .crash(load::server_key(server), request, &run.parts);
            state.parts.record_crash(now, &crash);
            crash
        };
        self.broadcast(gossip::Message::Parts(part::News::Crash(crash)));
    }

    /// Further events of an answer were passed on. Once it has gone on for long enough, the parts of
    /// its prompt are sound.
    pub(super) fn observe_run(&self, context: &mut Context) {
        if context.request.parts.is_empty() {
            return;
        }
        let since = context.progress.lock().since;
        let (began, answer) = context
            .answer
            .get_or_insert((since, part::Answer::default()));
        if *began != since {
            (*began, *answer) = (since, part::Answer::default());
        }
        let was_beginning = answer.is_beginning(since.elapsed());
        answer.note(since.elapsed());
        if was_beginning && !answer.is_beginning(since.elapsed()) {
            self.acquit(&context.request.parts);
        }
    }

    /// An answer came whole.
    pub(super) fn run_ended_well(&self, context: &Context) {
        self.state().suspects.clear(&context.fingerprint);
        self.acquit(&context.request.parts);
    }

    fn acquit(&self, parts: &[u64]) {
        if parts.is_empty() {
            return;
        }
        let now = self.node.now();
        let (convicted, cleared) = {
            let mut state = self.state();
            let convicted = convicted_of(&state.parts, parts);
            (convicted, state.parts.acquit(now, parts))
        };
        self.log_acquitted(&convicted);
        if !cleared.is_empty() {
            let news = part::News::Acquittals(cleared);
            self.broadcast(gossip::Message::Parts(news));
        }
    }

    /// Whether a request is to be rejected: servers crashed under it, or under a part of its prompt.
    pub(super) fn is_suspect(&self, fingerprint: &id::Fingerprint, parts: &[u64]) -> bool {
        matches!(self.decide(fingerprint, parts), part::Decision::Reject(_))
    }

    /// Whether a request may be sent now. To be asked directly before it is: if it is the one that tries
    /// a convicted part, no other may.
    pub(super) fn may_run(&self, context: &Context) -> bool {
        let tried = match self.decide(&context.fingerprint, &context.request.parts) {
            part::Decision::Send => return true,
            part::Decision::Reject(_) => return false,
            part::Decision::Try(part) => part,
        };
        let now = self.node.now();
        let verdict = {
            let mut state = self.state();
            let parts = &context.request.parts;
            // Another request may have begun to try it meanwhile.
            if state.parts.decide(now, parts, |_| true) != part::Decision::Try(tried) {
                return false;
            }
            state.parts.begin_trial(now, tried)
        };
        let Some(verdict) = verdict else {
            return true;
        };
        log_event!(self.node.log(), Event::PartTried, "part" => format!("{tried:x}"),
            "request" => &context.request.id, "trials" => verdict.trials);
        let news = part::News::Verdicts(vec![verdict]);
        self.broadcast(gossip::Message::Parts(news));
        true
    }

    fn decide(&self, fingerprint: &id::Fingerprint, parts: &[u64]) -> part::Decision {
        let now = self.node.now();
        let (decision, convicted) = {
            let mut state = self.state();
            if state.suspects.is_poison(now, fingerprint) {
                return part::Decision::Reject(0);
            }
            if state.parts.are_clear(parts) {
                return part::Decision::Send;
            }
            let convicted = state.parts.judge(now);
            let verdicts: Vec<part::Verdict> = state
                .parts
                .verdicts(now, |part| convicted.contains(&part))
                .concat();
            (state.parts.decide(now, parts, |_| true), verdicts)
        };
        for verdict in &convicted {
            self.log_convicted(verdict.part, "crashes");
        }
        if !convicted.is_empty() {
            let news = part::News::Verdicts(convicted);
            self.broadcast(gossip::Message::Parts(news));
        }
        match decision {
            part::Decision::Try(part) if !self.part_owner()(part) => part::Decision::Reject(part),
            other => other,
        }
    }

    /// Tells which parts this entry is responsible for: it alone lets requests try them, and repeats
    /// the verdicts on them.
    fn part_owner(&self) -> impl Fn(u64) -> bool + use<> {
        let key = |addr: SocketAddr| load::key(&addr.to_string());
        let me = key(self.node.settings().link);
        let serves = self.settings.serves;
        let peers = self.peers();
        let others = peers.iter().filter(|(_, peer)| peer.serves);
        let others: Vec<u64> = others.map(|(addr, _)| key(*addr)).collect();
        move |part| serves && rendezvous::is_owner(part, me, &others)
    }

    /// The verdicts that this entry repeats.
    pub(super) fn own_verdicts(&self) -> Vec<part::News> {
        if !self.state().parts.has_convicted() {
            return Vec::new();
        }
        let owner = self.part_owner();
        let lists = self.state().parts.verdicts(self.node.now(), owner);
        lists.into_iter().map(part::News::Verdicts).collect()
    }

    /// All verdicts, for a process that joins.
    pub(super) fn all_verdicts(&self) -> Vec<part::News> {
        let lists = self.state().parts.verdicts(self.node.now(), |_| true);
        lists.into_iter().map(part::News::Verdicts).collect()
    }

    /// Takes in what another entry tells about parts. Returns what to answer to it.
    pub(super) fn receive_part_news(&self, news: part::News) -> Option<part::News> {
        let now = self.node.now();
        match news {
            part::News::Crash(crash) => {
                self.state().parts.record_crash(now, &crash);
                None
            }
            part::News::Acquittals(parts) => {
                let convicted = {
                    let mut state = self.state();
                    let convicted = convicted_of(&state.parts, &parts);
                    state.parts.acquit(now, &parts);
                    convicted
                };
                self.log_acquitted(&convicted);
                None
            }
            part::News::Verdicts(verdicts) => {
                let mut overruled = Vec::new();
                for verdict in verdicts {
                    let heard = self.state().parts.hear_verdict(now, verdict);
                    match heard {
                        part::Heard::New => self.log_convicted(verdict.part, "entry"),
                        part::Heard::Same => {}
                        part::Heard::Overruled => overruled.push(verdict.part),
                    }
                }
                (!overruled.is_empty()).then_some(part::News::Acquittals(overruled))
            }
        }
    }

    fn log_convicted(&self, part: u64, evidence: &str) {
        log_event!(self.node.log(), Event::PartConvicted, "part" => format!("{part:x}"),
            "evidence" => evidence);
    }

    fn log_acquitted(&self, parts: &[u64]) {
        for part in parts {
            log_event!(self.node.log(), Event::PartAcquitted, "part" => format!("{part:x}"));
        }
    }
}

fn convicted_of(known: &part::Parts, parts: &[u64]) -> Vec<u64> {
    let convicted = parts.iter().filter(|part| known.is_convicted(**part));
    convicted.copied().collect()
}
