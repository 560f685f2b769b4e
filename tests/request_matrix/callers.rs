//! Entries: the requests of callers, and their calls to control and to sidecars.

use std::time::Duration;

use wigeonbarrow::entry::request;
use wigeonbarrow::entry::request::Action;
use wigeonbarrow::entry::request::Event;
use wigeonbarrow::wire::id;
use wigeonbarrow::wire::outcome;
use wigeonbarrow::wire::outcome::Cause;
use wigeonbarrow::wire::run;

use super::super::control;
use super::HOP_DELAY;
use super::LIMIT;
use super::Msg;
use super::SERVERS;
use super::Stream;
use super::World;
use super::ms;

impl World {
    pub(super) fn handle_submit(&mut self, caller: usize) {
        let now = self.now;
        let state = &mut self.callers[caller];
        if std::mem::replace(&mut state.submitted, true) {
            return;
        }
        state.profile.deadline = now + LIMIT;
        let (request, actions) = request::Request::new(now, state.profile.clone());
        state.request = request;
        self.perform_all(caller, actions);
    }

    pub(super) fn event(&mut self, caller: usize, event: Event) {
        if !self.entries[self.callers[caller].entry].alive || !self.callers[caller].submitted {
            return;
        }
        let actions = self.callers[caller].request.step(self.now, event);
        self.perform_all(caller, actions);
    }

    pub(super) fn perform_all(&mut self, caller: usize, actions: Vec<Action>) {
        for action in actions {
            self.perform(caller, action);
        }
        if self.callers[caller].request.is_over() {
            return self.close_streams(caller);
        }
        let wake = self.callers[caller].request.wake();
        self.put(wake.saturating_sub(self.now).max(ms(1)), Msg::Wake(caller));
    }

    pub(super) fn close_streams(&mut self, caller: usize) {
        for number in 0..self.streams.len() {
            let stream = &mut self.streams[number];
            if stream.caller == caller && std::mem::take(&mut stream.at_entry) {
                self.put(HOP_DELAY, Msg::Closed(number as u64));
            }
        }
    }

    pub(super) fn perform(&mut self, caller: usize, action: Action) {
        let request = self.callers[caller].profile.request;
        let key = self.callers[caller].profile.key.clone().unwrap_or_default();
        match action {
            Action::Claim => self.put(
                HOP_DELAY,
                Msg::ToControl(Some(caller), 0, control::Control::claim(request, &key)),
            ),
            Action::Settle(ran) => {
                self.put(
                    HOP_DELAY,
                    Msg::ToControl(
                        Some(caller),
                        0,
                        control::Control::settle(request, &key, ran),
                    ),
                );
            }
            Action::Choose { avoid, .. } => {
                self.place(caller, &avoid);
            }
            Action::Offer {
                target,
                attempt,
                start,
                delivered,
            } => {
                let call = self.offer(caller, &target, attempt, start, delivered);
                self.open(caller, &target, attempt, call);
            }
            Action::Start(attempt) => self.call(caller, attempt, run::Call::Start(attempt)),
            Action::Cancel(target, attempt) => {
                let call = run::Call::Cancel(attempt);
                let has_stream = self
                    .streams
                    .iter()
                    .any(|stream| stream.attempt == attempt && stream.at_entry);
                if has_stream {
                    self.call(caller, attempt, call);
                } else {
                    self.open(caller, &target, attempt, call);
                }
            }
            Action::Query {
                target,
                attempt,
                offset,
            } => {
                for number in 0..self.streams.len() {
                    let stream = &mut self.streams[number];
                    if stream.attempt == attempt && std::mem::take(&mut stream.at_entry) {
                        self.put(HOP_DELAY, Msg::Closed(number as u64));
                    }
                }
                let sidecar = target.sidecar;
                self.open(
                    caller,
                    &target,
                    attempt,
                    run::Call::Query {
                        attempt,
                        offset,
                        sidecar,
                    },
                );
            }
            Action::Head { .. } => self.callers[caller].head = true,
            Action::Tokens(tokens) => self.callers[caller].tokens.extend(tokens),
            Action::Bytes(bytes) => self.callers[caller].bytes.extend_from_slice(&bytes),
            Action::Done { .. } => {
                let is_complete = self.callers[caller].is_complete();
                self.finish(caller, Ok(is_complete));
            }
            Action::Fail(failure) => self.finish(caller, Err(failure)),
        }
    }

    pub(super) fn finish(&mut self, caller: usize, last: Result<bool, outcome::Failure>) {
        let is_first = caller == 0;
        self.callers[caller].finals.push((self.now, last));
        if is_first {
            self.resend_after(ms(20));
        }
    }

    /// The caller sends its request again, through the other entry.
    pub(super) fn resend_after(&mut self, after: Duration) {
        if let Some(caller) = self.resend {
            self.submit(after, caller);
        }
    }

    /// Places a request as the router does. A suspect waits while every server runs another one.
    pub(super) fn place(&mut self, caller: usize, avoid: &[String]) {
        match self.choose(caller, avoid) {
            Some(event) => self.event(caller, event),
            None => self.put(ms(100), Msg::Place(caller, avoid.to_vec())),
        }
    }

    pub(super) fn choose(&mut self, caller: usize, avoid: &[String]) -> Option<Event> {
        let fingerprint = self.callers[caller].profile.fingerprint;
        if self.control.is_quarantined(fingerprint) {
            let failure =
                outcome::Failure::not_run(Cause::Quarantined, Some(60_000), "quarantined");
            return Some(Event::Unplaced(failure));
        }
        let live = (0..SERVERS).filter(|server| {
            let sidecar = &self.sidecars[*server];
            sidecar.lease > self.now && !sidecar.leaving
        });
        let mut servers: Vec<usize> = live.collect();
        // Two suspects must not share a backend server.
        if self.control.suspects.contains_key(&fingerprint) && !servers.is_empty() {
            servers.retain(|server| !self.has_suspect(*server, fingerprint));
            if servers.is_empty() {
                return None;
            }
        }
        let dead_servers = self.control.suspects.get(&fingerprint);
        let preferred = servers.iter().find(|server| {
            let name = server.to_string();
            !avoid.contains(&name)
                && !dead_servers.is_some_and(|dead_servers| dead_servers.contains(&name))
        });
        let Some(server) = preferred.or(servers.first()) else {
            let failure = outcome::Failure::not_run(Cause::NoServer, Some(1_000), "none");
            return Some(Event::Unplaced(failure));
        };
        Some(Event::Chosen(request::Target {
            server: server.to_string(),
            link: "127.0.0.1:1".parse().expect("an address"),
            sidecar: id::Incarnation(self.sidecars[*server].incarnation),
        }))
    }

    pub(super) fn has_suspect(&self, server: usize, except: id::Fingerprint) -> bool {
        self.streams.iter().any(|stream| {
            let profile = &self.callers[stream.caller].profile;
            stream.at_entry
                && stream.server == server
                && profile.fingerprint != except
                && self.control.suspects.contains_key(&profile.fingerprint)
        })
    }

    pub(super) fn offer(
        &self,
        caller: usize,
        target: &request::Target,
        attempt: id::Attempt,
        start: bool,
        delivered: Vec<String>,
    ) -> run::Call {
        let profile = &self.callers[caller].profile;
        let work = if profile.plain {
            run::Work::Http {
                method: "POST".to_owned(),
                path: "/".to_owned(),
                headers: Vec::new(),
            }
        } else {
            run::Work::Prompt {
                model: "m".to_owned(),
                prompt_tokens: 900,
                max_tokens: 100,
                delivered,
                context: Vec::new(),
            }
        };
        run::Call::Offer(Box::new(run::Offer {
            attempt,
            entry: id::Incarnation(1),
            sidecar: target.sidecar,
            service: "s".to_owned(),
            workspace: profile.workspace.clone(),
            fingerprint: profile.fingerprint,
            suspect: false,
            class: run::Class::Short,
            priority: 1,
            remaining_ms: profile.deadline.saturating_sub(self.now).as_millis() as u64,
            repeatable: profile.repeatable,
            start,
            body_len: 1,
            work,
        }))
    }

    pub(super) fn open(
        &mut self,
        caller: usize,
        target: &request::Target,
        attempt: id::Attempt,
        call: run::Call,
    ) {
        let number = self.streams.len() as u64;
        self.streams.push(Stream {
            caller,
            server: target.server.parse().expect("a number"),
            attempt,
            incarnation: None,
            at_entry: true,
            at_sidecar: true,
        });
        self.send(number, call);
    }

    pub(super) fn call(&mut self, caller: usize, attempt: id::Attempt, call: run::Call) {
        let found = self.streams.iter().rposition(|stream| {
            stream.caller == caller && stream.attempt == attempt && stream.at_entry
        });
        if let Some(number) = found {
            self.send(number as u64, call);
        }
    }

    pub(super) fn send(&mut self, number: u64, call: run::Call) {
        let stream = &self.streams[number as usize];
        let entry = &self.entries[self.callers[stream.caller].entry];
        let (to_until, from_until) = entry.down.get(&stream.server).copied().unwrap_or_default();
        if to_until > self.now {
            // Opening the link fails after a timeout. An open link is failed by the fault itself.
            if stream.incarnation.is_none() {
                self.put(ms(1_000), Msg::Lost(number));
            }
            return;
        }
        if from_until > self.now && stream.incarnation.is_none() {
            // The reply to the handshake is lost.
            return self.put(ms(1_000), Msg::Lost(number));
        }
        let slow = if self.slow == Some(stream.server) {
            ms(300)
        } else {
            Duration::ZERO
        };
        self.put(HOP_DELAY + slow, Msg::ToSidecar(number, call));
    }

    pub(super) fn entry_reply(&mut self, number: u64, reply: run::Reply) {
        let stream = &self.streams[number as usize];
        if stream.at_entry {
            self.event(stream.caller, Event::Reply(reply));
        }
    }
}
