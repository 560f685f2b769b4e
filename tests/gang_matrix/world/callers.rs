//! Callers' requests and their gangs, at the entry.

use wigeonbarrow::entry::gang;
use wigeonbarrow::entry::gang::plan;
use wigeonbarrow::entry::request;
use wigeonbarrow::sidecar::capacity;
use wigeonbarrow::wire::id;
use wigeonbarrow::wire::outcome;
use wigeonbarrow::wire::run;

use super::super::engine;
use super::BODY;
use super::CUT_SEEN;
use super::HOP;
use super::MAX_TOKENS;
use super::Msg;
use super::Stream;
use super::World;
use super::is_last;

impl World {
    /// The router: it knows the servers that an entry would.
    pub(super) fn plan(&mut self, caller: usize) {
        let mut candidates = Vec::new();
        for (server, sidecar) in self.sidecars.iter().enumerate() {
            let is_open = sidecar.alive
                && self.cut[server] <= self.now
                && sidecar.ledger.present(self.now).is_some()
                && !sidecar.ledger.leaving();
            if is_open {
                let memory = capacity::long_memory(engine::MEMORY);
                candidates.push(plan::Candidate {
                    target: request::Target {
                        server: format!("s{server}"),
                        link: "127.0.0.1:1".parse().unwrap(),
                        sidecar: id::Incarnation(sidecar.life),
                    },
                    memory,
                    free: memory.saturating_sub(sidecar.ledger.load().used_tokens),
                    ahead: 0,
                    avoid: false,
                });
            }
        }
        let plan = match plan::choose(&candidates, BODY as u64, MAX_TOKENS, false) {
            plan::Decision::Now(shares) => plan::Plan::Members(shares),
            plan::Decision::Later(_) | plan::Decision::Never => plan::Plan::Wait,
        };
        self.gang(caller, gang::Event::Planned(plan));
    }

    pub fn gang(&mut self, caller: usize, event: gang::Event) {
        if !self.callers[caller].alive {
            return;
        }
        for action in self.callers[caller].gang.step(self.now, event) {
            self.gang_act(caller, action);
        }
    }

    pub(super) fn gang_act(&mut self, caller: usize, action: gang::Action) {
        use gang::Action;
        match action {
            Action::Plan { .. } => self.put(HOP, Msg::Planned(caller)),
            Action::Offer {
                target,
                attempt,
                segment,
                tokens,
                final_tokens,
            } => {
                let work = run::Work::Segment {
                    model: "m".to_owned(),
                    prompt_tokens: tokens,
                    room: final_tokens,
                };
                let call = self.offer(caller, &target, attempt, false, true, segment.len(), work);
                let body = self.callers[caller].body.slice(segment);
                self.open(caller, &target, attempt, vec![call, run::Call::Body(body)]);
            }
            Action::Hold(attempt, context) => {
                let call = run::Call::Hold { attempt, context };
                self.send(attempt, call);
            }
            Action::Query(target, attempt) => self.query(caller, &target, attempt, 0),
            Action::Cancel(target, attempt) => self.cancel(caller, &target, attempt),
            Action::Learn(bytes, tokens) => assert_eq!(bytes, tokens),
            Action::Ready {
                target,
                context,
                tail,
            } => {
                self.callers[caller].ready = Some((target.clone(), context, tail));
                self.request(caller, request::Event::Chosen(target));
            }
            Action::StopRun(mut failure) => {
                let mine = &self.callers[caller];
                let (Some(attempt), Some((target, ..))) = (mine.current, mine.ready.clone()) else {
                    return;
                };
                failure.ran = if mine.sent {
                    outcome::Ran::MayHaveRun
                } else {
                    outcome::Ran::NotRun
                };
                self.cancel(caller, &target, attempt);
                let reply = run::Reply::Failed { attempt, failure };
                self.request(caller, request::Event::Reply(reply));
            }
            Action::Fail(failure) => self.request(caller, request::Event::Unplaced(failure)),
        }
    }

    pub fn request(&mut self, caller: usize, event: request::Event) {
        if self.callers[caller].alive {
            let actions = self.callers[caller].request.step(self.now, event);
            self.request_acts(caller, actions);
        }
    }

    pub(super) fn request_acts(&mut self, caller: usize, actions: Vec<request::Action>) {
        use request::Action;
        for action in actions {
            match action {
                Action::Choose { .. } => {
                    self.callers[caller].ready = None;
                    self.callers[caller].sent = false;
                    if std::mem::replace(&mut self.callers[caller].begun, true) {
                        self.gang(caller, gang::Event::Restart);
                    } else {
                        self.put(HOP, Msg::Planned(caller));
                    }
                }
                Action::Offer {
                    target,
                    attempt,
                    start,
                    delivered,
                } => {
                    let mine = &mut self.callers[caller];
                    mine.current = Some(attempt);
                    mine.sent |= start;
                    let (_, context, tail) = mine.ready.clone().unwrap();
                    let body = mine.body.slice(tail..);
                    let work = run::Work::Prompt {
                        model: "m".to_owned(),
                        prompt_tokens: body.len() as u64,
                        max_tokens: MAX_TOKENS,
                        delivered,
                        context,
                    };
                    let len = body.len();
                    let call = self.offer(caller, &target, attempt, start, start, len, work);
                    self.open(caller, &target, attempt, vec![call, run::Call::Body(body)]);
                }
                Action::Start(attempt) => {
                    self.callers[caller].sent = true;
                    self.send(attempt, run::Call::Start(attempt));
                }
                Action::Cancel(target, attempt) => self.cancel(caller, &target, attempt),
                Action::Query {
                    target,
                    attempt,
                    offset,
                } => self.query(caller, &target, attempt, offset),
                Action::Tokens(tokens) => self.callers[caller].tokens.extend(tokens),
                Action::Done { .. } => self.end(caller, Ok(())),
                Action::Fail(failure) => self.end(caller, Err(failure)),
                Action::Claim | Action::Settle(_) | Action::Head { .. } | Action::Bytes(_) => {}
            }
        }
    }

    pub(super) fn end(&mut self, caller: usize, end: Result<(), outcome::Failure>) {
        let at = self.now;
        let code = end.as_ref().map_or_else(|f| f.cause.code(), |()| "done");
        self.trace = engine::hash(self.trace, format!("{at:?} {caller} {code}").as_bytes());
        self.callers[caller].finals.push((at, end));
        self.gang(caller, gang::Event::Close);
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn offer(
        &self,
        caller: usize,
        target: &request::Target,
        attempt: id::Attempt,
        start: bool,
        repeatable: bool,
        len: usize,
        work: run::Work,
    ) -> run::Call {
        let left = self.callers[caller].deadline.saturating_sub(self.now);
        run::Call::Offer(Box::new(run::Offer {
            attempt,
            entry: id::Incarnation(1),
            sidecar: target.sidecar,
            service: "s".to_owned(),
            workspace: "w".to_owned(),
            fingerprint: id::Fingerprint([caller as u8; 16]),
            suspect: false,
            class: run::Class::Long,
            priority: 1,
            remaining_ms: left.as_millis() as u64,
            repeatable,
            start,
            body_len: len as u64,
            work,
        }))
    }

    pub(super) fn open(
        &mut self,
        caller: usize,
        target: &request::Target,
        attempt: id::Attempt,
        calls: Vec<run::Call>,
    ) {
        let server: usize = target.server[1..].parse().unwrap();
        let number = self.streams.len() as u64;
        self.streams.push(Stream {
            server,
            caller,
            attempt,
            life: None,
            at_entry: true,
            at_sidecar: true,
        });
        if self.cut[server] > self.now {
            return self.put(CUT_SEEN, Msg::Lost(number));
        }
        for call in calls {
            self.put(HOP, Msg::ToSidecar(number, call));
        }
    }

    /// Sends on the open stream of an attempt; `false`: there is none.
    pub(super) fn send(&mut self, attempt: id::Attempt, call: run::Call) -> bool {
        let mut streams = self
            .streams
            .iter()
            .rposition(|s| s.attempt == attempt && s.at_entry);
        if let Some(number) = streams.take() {
            self.put(HOP, Msg::ToSidecar(number as u64, call));
            return true;
        }
        false
    }

    pub(super) fn cancel(&mut self, caller: usize, target: &request::Target, attempt: id::Attempt) {
        if !self.send(attempt, run::Call::Cancel(attempt)) {
            self.open(caller, target, attempt, vec![run::Call::Cancel(attempt)]);
        }
    }

    pub(super) fn query(
        &mut self,
        caller: usize,
        target: &request::Target,
        attempt: id::Attempt,
        offset: u64,
    ) {
        for number in 0..self.streams.len() {
            let stream = &mut self.streams[number];
            if stream.attempt == attempt && std::mem::take(&mut stream.at_entry) {
                self.put(HOP, Msg::Closed(number as u64));
            }
        }
        let call = run::Call::Query {
            attempt,
            offset,
            sidecar: target.sidecar,
        };
        self.open(caller, target, attempt, vec![call]);
    }

    pub(super) fn heard(&mut self, number: u64, reply: run::Reply) {
        let stream = &mut self.streams[number as usize];
        let (server, caller, attempt) = (stream.server, stream.caller, stream.attempt);
        if !stream.at_entry || self.cut[server] > self.now {
            return;
        }
        if is_last(&reply) {
            stream.at_entry = self.twice;
        }
        if caller == 0 {
            self.heard += 1;
        }
        if gang::Gang::is_segment(attempt) {
            self.gang(caller, gang::Event::Reply(reply));
        } else {
            self.request(caller, request::Event::Reply(reply));
        }
    }

    // The sidecars.
}
