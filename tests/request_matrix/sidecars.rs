//! Sidecars and their backend servers: what comes to them, and what they answer.

use std::time::Duration;

use bytes::Bytes;
use wigeonbarrow::sidecar::buffer;
use wigeonbarrow::sidecar::capacity;
use wigeonbarrow::sidecar::ledger;
use wigeonbarrow::wire::agree::Command;
use wigeonbarrow::wire::id;
use wigeonbarrow::wire::member;
use wigeonbarrow::wire::outcome;
use wigeonbarrow::wire::outcome::Cause;
use wigeonbarrow::wire::outcome::Ran;
use wigeonbarrow::wire::run;

use super::super::backend;
use super::HOP_DELAY;
use super::Http;
use super::LEASE;
use super::LIMIT;
use super::Msg;
use super::Process;
use super::RESTART_DELAY;
use super::TTL;
use super::World;
use super::ms;

impl World {
    pub(super) fn step(&mut self, server: usize) {
        self.put(ms(20), Msg::Step(server));
        if !self.backends[server].alive {
            return;
        }
        let Some(lines) = self.backends[server].advance(self.now) else {
            self.poison_deaths += 1;
            self.kill_backend(server);
            return self.put(RESTART_DELAY, Msg::Restart(Process::Backend(server)));
        };
        for (conn, line) in lines {
            let found = self.sidecars[server]
                .conns
                .iter()
                .find(|(_, mine)| **mine == conn);
            if let Some((attempt, _)) = found {
                let incarnation = self.sidecars[server].incarnation;
                self.put(ms(1), Msg::Line(server, incarnation, *attempt, conn, line));
            }
        }
    }

    pub(super) fn announce(&mut self, server: usize) {
        let backend = &self.backends[server];
        if !backend.alive || backend.frozen > self.now {
            return;
        }
        let announced = ledger::Backend {
            incarnation: id::Incarnation(backend.incarnation),
            kind: if backend.plain {
                member::Kind::Plain
            } else {
                member::Kind::Engine
            },
            models: vec!["m".to_owned()],
            capacity: capacity::Capacity {
                slots: 8,
                memory: 10_000,
            },
            ttl: TTL,
            leaving: backend.leaving,
        };
        self.tell(server, ledger::Event::Announced(announced));
    }

    pub(super) fn backend_call(&mut self, server: usize, incarnation: u64, http: Http) {
        self.seq += 1;
        let conn = self.seq;
        if !self.backends[server].alive {
            self.put(
                HOP_DELAY,
                Msg::ToLedger(server, incarnation, ledger::Event::Unreachable),
            );
            let event = match http {
                Http::Post(attempt, _) => ledger::Event::Rejected(attempt, Cause::NoServer),
                Http::Get(attempt, ..) => ledger::Event::Disconnected(attempt),
                Http::Delete(_) | Http::List => return,
            };
            return self.put(HOP_DELAY, Msg::ToLedger(server, incarnation, event));
        }
        let now = self.now;
        let (attempt, answer) = match http {
            Http::Post(attempt, first) => {
                let limit = self.sidecars[server]
                    .offers
                    .get(&attempt)
                    .map_or(LIMIT, |(_, limit)| *limit);
                let poison = self
                    .callers
                    .iter()
                    .any(|caller| caller.poison && caller.profile.request == attempt.request);
                let answer = self.backends[server].start(
                    now,
                    &attempt.to_string(),
                    conn,
                    first,
                    limit,
                    poison,
                );
                if matches!(answer, backend::Response::Stream) {
                    self.starts.push((attempt, server));
                }
                (attempt, answer)
            }
            Http::Get(attempt, offset) => (
                attempt,
                self.backends[server].resume(&attempt.to_string(), conn, offset),
            ),
            Http::Delete(run) => {
                self.backends[server].cancel(now, &run);
                return self.put(
                    HOP_DELAY,
                    Msg::ToLedger(server, incarnation, ledger::Event::Stopped(run)),
                );
            }
            Http::List => {
                let list = self.backends[server].list();
                return self.put(HOP_DELAY, Msg::ToLedger(server, incarnation, list));
            }
        };
        if self.sidecars[server].incarnation != incarnation || !self.sidecars[server].alive {
            return;
        }
        match answer {
            backend::Response::Stream => {
                self.sidecars[server].conns.insert(attempt, conn);
            }
            backend::Response::Rejected(409) => {}
            backend::Response::Rejected(_) => self.put(
                HOP_DELAY,
                Msg::ToLedger(server, incarnation, ledger::Event::NotFound(attempt)),
            ),
        }
    }

    // The sidecar, as its edge drives it.

    pub(super) fn tell(&mut self, server: usize, event: ledger::Event) {
        if !self.sidecars[server].alive {
            return;
        }
        if let ledger::Event::Disconnected(attempt) = &event {
            self.sidecars[server].conns.remove(attempt);
        }
        for action in self.sidecars[server].ledger.step(self.now, event) {
            self.act(server, action);
        }
    }

    pub(super) fn act(&mut self, server: usize, action: ledger::Action) {
        let incarnation = self.sidecars[server].incarnation;
        let sidecar = &mut self.sidecars[server];
        match action {
            ledger::Action::Reply(stream, reply) => self.reply(stream, reply),
            ledger::Action::Attach(stream, attempt, offset) => {
                sidecar.cursors.insert(stream, (attempt, false, offset));
                sidecar
                    .buffers
                    .entry(attempt)
                    .or_insert_with(|| buffer::Buffer::new(attempt, offset));
                self.flow(server, attempt);
            }
            ledger::Action::Run(attempt) => {
                let first = sidecar.offers.get(&attempt).map_or(0, |(first, _)| *first);
                sidecar
                    .buffers
                    .insert(attempt, buffer::Buffer::new(attempt, first));
                self.forwarded.push((server, self.now));
                self.put(
                    ms(1),
                    Msg::ToBackend(server, incarnation, Http::Post(attempt, first)),
                );
            }
            ledger::Action::Resume(attempt, offset) => {
                let buffer = sidecar
                    .buffers
                    .entry(attempt)
                    .or_insert_with(|| buffer::Buffer::new(attempt, offset));
                let offset = buffer.length();
                self.put(
                    ms(1),
                    Msg::ToBackend(server, incarnation, Http::Get(attempt, offset)),
                );
            }
            ledger::Action::Stop(run) => {
                if !self.backends[server].plain {
                    return self.put(
                        ms(1),
                        Msg::ToBackend(server, incarnation, Http::Delete(run)),
                    );
                }
                let found = sidecar
                    .conns
                    .keys()
                    .find(|attempt| attempt.to_string() == run)
                    .copied();
                found.map(|attempt| sidecar.conns.remove(&attempt));
                self.tell(server, ledger::Event::Stopped(run));
            }
            ledger::Action::End(reply) => {
                let attempt = reply.attempt();
                if let Some(buffer) = sidecar.buffers.get_mut(&attempt) {
                    buffer.finish(reply);
                }
                self.flow(server, attempt);
            }
            ledger::Action::Discard(attempt) => {
                sidecar.buffers.remove(&attempt);
                sidecar.conns.remove(&attempt);
            }
            ledger::Action::List => {
                self.put(ms(1), Msg::ToBackend(server, incarnation, Http::List));
            }
            ledger::Action::Announce => self.present(server),
            ledger::Action::Crash { engine, running } => {
                let command = Command::Crash {
                    server: server.to_string(),
                    engine,
                    running,
                };
                self.put(HOP_DELAY, Msg::ToControl(None, server, command));
            }
            ledger::Action::ClearSuspect(fingerprint) => {
                if self.control.suspects.contains_key(&fingerprint) {
                    self.put(
                        HOP_DELAY,
                        Msg::ToControl(None, server, Command::Clear(fingerprint)),
                    );
                }
            }
            ledger::Action::FreeSegment(_)
            | ledger::Action::Hold(..)
            | ledger::Action::Release(_) => {}
        }
    }

    pub(super) fn line(
        &mut self,
        server: usize,
        attempt: id::Attempt,
        conn: u64,
        line: backend::Line,
    ) {
        if self.sidecars[server].conns.get(&attempt) != Some(&conn) {
            return;
        }
        let plain = self.backends[server].plain;
        let Some(buffer) = self.sidecars[server].buffers.get_mut(&attempt) else {
            return;
        };
        let event = match line {
            backend::Line::Head => {
                buffer.set_head(200, Vec::new());
                ledger::Event::FirstOutput(attempt)
            }
            backend::Line::Tokens(offset, tokens) => {
                if plain {
                    if offset < buffer.length() {
                        return;
                    }
                    buffer.push_bytes(&Bytes::from(vec![b'x'; tokens.len()]));
                } else if !buffer.push_tokens(offset, tokens) {
                    self.sidecars[server].conns.remove(&attempt);
                    return self.tell(server, ledger::Event::Disconnected(attempt));
                }
                ledger::Event::FirstOutput(attempt)
            }
            backend::Line::Done(length) if length == buffer.length() => {
                ledger::Event::Ended(run::Reply::Done {
                    attempt,
                    length,
                    end: run::End::Length,
                    usage: run::Usage::default(),
                })
            }
            backend::Line::Done(_) => ledger::Event::Disconnected(attempt),
            backend::Line::Error => ledger::Event::Ended(run::Reply::Failed {
                attempt,
                failure: outcome::Failure::may_have_run(Cause::ServerError, "cancelled"),
            }),
        };
        self.tell(server, event);
        self.flow(server, attempt);
    }

    /// Sends what there is of an answer on the streams attached to it.
    pub(super) fn flow(&mut self, server: usize, attempt: id::Attempt) {
        let mine: Vec<u64> = self.sidecars[server]
            .cursors
            .iter()
            .filter(|(_, cursor)| cursor.0 == attempt)
            .map(|(stream, _)| *stream)
            .collect();
        for stream in mine {
            loop {
                let sidecar = &mut self.sidecars[server];
                let Some((_, headed, offset)) = sidecar.cursors.get_mut(&stream) else {
                    break;
                };
                let Some(buffer) = sidecar.buffers.get(&attempt) else {
                    break;
                };
                match buffer.next(*headed, *offset) {
                    buffer::Next::Send(reply, next) => {
                        *headed |= matches!(reply, run::Reply::Head { .. });
                        *offset = next;
                        self.reply(stream, reply);
                    }
                    buffer::Next::End(reply) => {
                        sidecar.cursors.remove(&stream);
                        self.reply(stream, reply);
                        break;
                    }
                    buffer::Next::Wait => break,
                    buffer::Next::Gone => {
                        sidecar.cursors.remove(&stream);
                        let failure = outcome::Failure::may_have_run(Cause::ServerError, "gone");
                        self.reply(stream, run::Reply::Failed { attempt, failure });
                        break;
                    }
                }
            }
        }
    }

    pub(super) fn reply(&mut self, number: u64, reply: run::Reply) {
        let stream = &self.streams[number as usize];
        if !stream.at_sidecar {
            return;
        }
        if let run::Reply::Refused {
            attempt, failure, ..
        }
        | run::Reply::Failed { attempt, failure } = &reply
            && failure.ran == Ran::NotRun
        {
            self.not_run.insert(*attempt);
        }
        let entry = &self.entries[self.callers[stream.caller].entry];
        let down = entry
            .down
            .get(&stream.server)
            .is_some_and(|(_, until)| *until > self.now);
        if !down {
            let slow = if self.slow == Some(stream.server) {
                ms(300)
            } else {
                Duration::ZERO
            };
            self.put(HOP_DELAY + slow, Msg::ToEntry(number, reply));
        }
    }

    /// Entries learn of a sidecar.
    pub(super) fn present(&mut self, server: usize) {
        let now = self.now;
        let sidecar = &mut self.sidecars[server];
        if !sidecar.alive {
            return;
        }
        let is_present = sidecar.ledger.present(now).is_some();
        sidecar.leaving = sidecar.ledger.leaving() || !is_present;
        if is_present {
            sidecar.lease = now + LEASE;
        }
    }

    pub(super) fn sidecar_call(&mut self, number: u64, call: run::Call) {
        let stream = &mut self.streams[number as usize];
        let server = stream.server;
        let sidecar = &self.sidecars[server];
        let reached = *stream.incarnation.get_or_insert(sidecar.incarnation);
        if !sidecar.alive || reached != sidecar.incarnation {
            return self.put(HOP_DELAY, Msg::Lost(number));
        }
        match call {
            run::Call::Offer(offer) => {
                let attempt = offer.attempt;
                let first = match &offer.work {
                    run::Work::Prompt { delivered, .. } => delivered.len() as u64,
                    run::Work::Http { .. } | run::Work::Segment { .. } => 0,
                };
                let limit = ms(offer.remaining_ms);
                self.sidecars[server].offers.insert(attempt, (first, limit));
                self.tell(server, ledger::Event::Offer(number, offer));
                self.tell(server, ledger::Event::BodyReceived(attempt));
            }
            call => self.tell(server, ledger::Event::Call(number, call)),
        }
    }

    // The entry, as its edge drives it.
}
