//! Sidecars and the engines behind them: what comes to them, and what they answer.

use bytes::Bytes;
use wigeonbarrow::sidecar::buffer;
use wigeonbarrow::sidecar::ledger;
use wigeonbarrow::wire::id;
use wigeonbarrow::wire::outcome::Cause;
use wigeonbarrow::wire::run;

use super::super::engine;
use super::HOP;
use super::MAX_TOKENS;
use super::Msg;
use super::Op;
use super::PREFILL;
use super::TOKEN;
use super::World;
use super::ms;

impl World {
    pub(super) fn call(&mut self, number: u64, call: run::Call) {
        let stream = &mut self.streams[number as usize];
        let server = stream.server;
        if self.frozen[server] > self.now {
            let wait = self.frozen[server].saturating_sub(self.now);
            return self.put(wait, Msg::ToSidecar(number, call));
        }
        if self.cut[server] > self.now || !stream.at_sidecar {
            return;
        }
        let sidecar = &mut self.sidecars[server];
        if !sidecar.alive || *stream.life.get_or_insert(sidecar.life) != sidecar.life {
            return self.put(HOP, Msg::Lost(number));
        }
        match call {
            run::Call::Offer(offer) => {
                let work = offer.work.clone();
                let first = sidecar.offers.entry(offer.attempt);
                first.or_insert((Bytes::new(), work));
                self.tell(server, ledger::Event::Offer(number, offer));
            }
            run::Call::Body(body) => {
                let attempt = stream.attempt;
                if let Some(offer) = sidecar.offers.get_mut(&attempt) {
                    offer.0 = body;
                    self.tell(server, ledger::Event::BodyReceived(attempt));
                }
            }
            call => self.tell(server, ledger::Event::Call(number, call)),
        }
    }

    pub fn tell(&mut self, server: usize, event: ledger::Event) {
        for action in self.sidecars[server].ledger.step(self.now, event) {
            self.ledger_act(server, action);
        }
    }

    pub(super) fn ledger_act(&mut self, server: usize, action: ledger::Action) {
        use ledger::Action;
        let sidecar = &mut self.sidecars[server];
        match action {
            Action::Reply(stream, reply) => self.reply(stream, reply),
            Action::Attach(stream, attempt, offset) => {
                sidecar.cursors.insert(stream, (attempt, false, offset));
                self.flow(server, attempt);
            }
            Action::Run(attempt) => {
                if let Some((
                    body,
                    run::Work::Prompt {
                        delivered, context, ..
                    },
                )) = sidecar.offers.remove(&attempt)
                {
                    let first = delivered.len() as u64;
                    sidecar
                        .buffers
                        .insert(attempt, buffer::Buffer::new(attempt, first));
                    self.ask(server, Op::Run(attempt, body, context, first));
                }
            }
            Action::Hold(attempt, context) => {
                if let Some((body, _)) = sidecar.offers.remove(&attempt) {
                    sidecar
                        .buffers
                        .insert(attempt, buffer::Buffer::new(attempt, 0));
                    self.ask(server, Op::Hold(attempt, body, context));
                }
            }
            Action::Resume(attempt, offset) => {
                let buffers = &mut sidecar.buffers;
                buffers
                    .entry(attempt)
                    .or_insert_with(|| buffer::Buffer::new(attempt, offset));
                self.ask(server, Op::Resume(attempt));
            }
            Action::Release(attempt) => self.ask(server, Op::Release(attempt)),
            Action::Stop(run) => self.ask(server, Op::Stop(run)),
            Action::FreeSegment(handle) => self.ask(server, Op::Free(handle)),
            Action::List => self.ask(server, Op::List),
            Action::End(reply) => {
                let attempt = reply.attempt();
                if let Some(buffer) = sidecar.buffers.get_mut(&attempt) {
                    buffer.finish(reply);
                    self.flow(server, attempt);
                }
            }
            Action::Discard(attempt) => {
                sidecar.offers.remove(&attempt);
                sidecar.buffers.remove(&attempt);
            }
            Action::Crash { .. } => {
                let life = sidecar.life;
                self.put(
                    ms(20),
                    Msg::Ledger(server, life, ledger::Event::CrashReported),
                );
            }
            Action::Announce | Action::ClearSuspect(_) => {}
        }
    }

    /// Gives the streams attached to an attempt what there is.
    pub(super) fn flow(&mut self, server: usize, attempt: id::Attempt) {
        let mut replies = Vec::new();
        let sidecar = &mut self.sidecars[server];
        let Some(buffer) = sidecar.buffers.get(&attempt) else {
            return;
        };
        sidecar.cursors.retain(|stream, (of, headed, offset)| {
            if *of != attempt {
                return true;
            }
            loop {
                match buffer.next(*headed, *offset) {
                    buffer::Next::Send(reply, next) => {
                        *headed |= matches!(reply, run::Reply::Held { .. });
                        *offset = next;
                        replies.push((*stream, reply));
                    }
                    buffer::Next::End(reply) => {
                        replies.push((*stream, reply));
                        return false;
                    }
                    buffer::Next::Wait => return true,
                    buffer::Next::Gone => return false,
                }
            }
        });
        for (stream, reply) in replies {
            self.reply(stream, reply);
        }
    }

    pub(super) fn reply(&mut self, number: u64, reply: run::Reply) {
        let server = self.streams[number as usize].server;
        if self.streams[number as usize].at_sidecar && self.cut[server] <= self.now {
            if self.twice {
                self.put(ms(400) + self.late, Msg::ToEntry(number, reply.clone()));
            }
            self.put(HOP + self.late, Msg::ToEntry(number, reply));
        }
    }

    // The engines.

    pub(super) fn ask(&mut self, server: usize, op: Op) {
        let (sidecar, life) = (self.sidecars[server].life, self.engines[server].life);
        self.put(HOP, Msg::Engine(server, sidecar, life, op));
    }

    pub(super) fn answer(&mut self, server: usize, sidecar: u64, event: ledger::Event) {
        self.put(HOP, Msg::Ledger(server, sidecar, event));
    }

    pub(super) fn op(&mut self, server: usize, sidecar: u64, life: u64, op: Op) {
        if self.slow[server] > self.now {
            let wait = self.slow[server].saturating_sub(self.now);
            return self.put(wait, Msg::Engine(server, sidecar, life, op));
        }
        if !self.engines[server].alive {
            self.answer(server, sidecar, ledger::Event::Unreachable);
        }
        if !self.engines[server].alive || self.engines[server].life != life {
            let event = match op {
                Op::Hold(attempt, ..) | Op::Run(attempt, ..) => {
                    ledger::Event::Rejected(attempt, Cause::NoServer)
                }
                Op::Held(attempt, _) | Op::Step(attempt) => ledger::Event::Disconnected(attempt),
                Op::Resume(attempt) => ledger::Event::NotFound(attempt),
                Op::Release(_) | Op::Stop(_) | Op::Free(_) | Op::List => ledger::Event::Tick,
            };
            return self.answer(server, sidecar, event);
        }
        let engine = &mut self.engines[server];
        match op {
            Op::Hold(attempt, text, context) => {
                let before = self.import(&context);
                let is_full = std::mem::take(&mut self.full[server]);
                let engine = &mut self.engines[server];
                let handle = before.and_then(|before| engine.hold(attempt, &text, before));
                if let Some(handle) = handle.filter(|_| !is_full) {
                    let op = Op::Held(attempt, handle);
                    self.put(PREFILL, Msg::Engine(server, sidecar, life, op));
                } else {
                    self.engines[server].release(attempt);
                    let event = ledger::Event::Rejected(attempt, Cause::Memory);
                    self.answer(server, sidecar, event);
                }
            }
            Op::Held(attempt, handle) => {
                let Some(segment) = engine.segments.get_mut(&handle) else {
                    let event = ledger::Event::Rejected(attempt, Cause::Deadline);
                    return self.answer(server, sidecar, event);
                };
                segment.held = true;
                if self.sidecars[server].life == sidecar
                    && let Some(buffer) = self.sidecars[server].buffers.get_mut(&attempt)
                {
                    let url = engine::url(server);
                    let tokens = self.engines[server].tokens(&handle).unwrap_or_default();
                    buffer.set_held(run::Context { url, handle }, tokens);
                    self.flow(server, attempt);
                    self.answer(server, sidecar, ledger::Event::Held(attempt));
                }
            }
            Op::Run(attempt, text, context, first) => {
                let max = u64::from(MAX_TOKENS);
                let before = self.import(&context);
                let engine = &mut self.engines[server];
                let started = before.is_some_and(|b| engine.run(attempt, &text, b, (first, max)));
                if started {
                    self.callers[attempt.request.0 as usize - 1].runs += 1;
                    self.put(TOKEN, Msg::Engine(server, sidecar, life, Op::Step(attempt)));
                } else {
                    let event = ledger::Event::Rejected(attempt, Cause::ServerError);
                    self.answer(server, sidecar, event);
                }
            }
            Op::Step(attempt) => {
                if let Some(run) = engine.runs.get_mut(&attempt.to_string()) {
                    run.length = run.max.min(run.length + 1);
                    if run.length < run.max {
                        self.put(TOKEN, Msg::Engine(server, sidecar, life, Op::Step(attempt)));
                    }
                    self.tokens(server, sidecar, attempt);
                }
            }
            Op::Resume(attempt) => self.tokens(server, sidecar, attempt),
            Op::Release(attempt) => {
                engine.release(attempt);
                self.answer(server, sidecar, ledger::Event::Stopped(attempt.to_string()));
            }
            Op::Stop(run) => {
                engine.runs.remove(&run);
                self.answer(server, sidecar, ledger::Event::Stopped(run));
            }
            Op::Free(handle) => {
                engine.segments.remove(&handle);
            }
            Op::List => {
                let list = engine.list();
                self.answer(server, sidecar, list);
            }
        }
    }

    pub(super) fn import(&self, context: &[run::Context]) -> Option<u64> {
        let mut hash = 0;
        for segment in context {
            let engine = &self.engines[engine::server(segment)];
            hash = engine.export(&segment.handle).filter(|_| engine.alive)?;
        }
        Some(hash)
    }

    /// Brings a sidecar the tokens of a run that it has not.
    pub(super) fn tokens(&mut self, server: usize, life: u64, attempt: id::Attempt) {
        let Some(run) = self.engines[server].runs.get(&attempt.to_string()) else {
            return self.answer(server, life, ledger::Event::NotFound(attempt));
        };
        let sidecar = &mut self.sidecars[server];
        let Some(buffer) = sidecar
            .buffers
            .get_mut(&attempt)
            .filter(|_| sidecar.life == life)
        else {
            return;
        };
        let offset = buffer.length();
        let tokens = (offset..run.length).map(|at| (run.hash.wrapping_add(at)).to_string());
        buffer.push_tokens(offset, tokens.collect());
        let done = (run.length == run.max).then(|| run::Reply::Done {
            attempt,
            length: run.length,
            end: run::End::Length,
            usage: run::Usage::default(),
        });
        self.flow(server, attempt);
        self.answer(server, life, ledger::Event::FirstOutput(attempt));
        if let Some(done) = done {
            self.answer(server, life, ledger::Event::Ended(done));
        }
    }

    // Faults.
}
