//! The effect of each fault on processes, backend servers and messages.

use std::time::Duration;

use wigeonbarrow::entry::request::Event;
use wigeonbarrow::sidecar::ledger;
use wigeonbarrow::wire::id;

use super::super::fault::Fault;
use super::DETECT_DELAY;
use super::HOP_DELAY;
use super::Http;
use super::Msg;
use super::Process;
use super::RESTART_DELAY;
use super::Stream;
use super::World;
use super::ms;
use super::sidecar;

impl World {
    /// Injects a fault at a message. `false` if the message must not be delivered now.
    pub(super) fn inject(&mut self, fault: Fault, msg: &Msg, server: usize, entry: usize) -> bool {
        let down = |to: u64, from: u64| (ms(to), ms(from));
        match fault {
            Fault::Lose => {
                if let Msg::Line(server, incarnation, attempt, ..) = msg {
                    self.put(
                        HOP_DELAY,
                        Msg::ToLedger(*server, *incarnation, ledger::Event::Disconnected(*attempt)),
                    );
                }
                if let Msg::ToBackend(
                    server,
                    incarnation,
                    Http::Post(attempt, _) | Http::Get(attempt, ..),
                ) = msg
                {
                    self.put(
                        HOP_DELAY,
                        Msg::ToLedger(*server, *incarnation, ledger::Event::Disconnected(*attempt)),
                    );
                }
                return false;
            }
            Fault::Duplicate => {
                // Over TCP, neither a call nor its response is delivered twice.
                if !matches!(msg, Msg::ToBackend(..) | Msg::Line(..)) {
                    self.put(ms(400), msg.clone());
                }
            }
            Fault::Delay => {
                if let Msg::Line(_, _, _, conn, _) = msg {
                    self.delayed.insert(*conn, self.now + ms(700));
                }
                self.put(ms(700), msg.clone());
                return false;
            }
            Fault::Cut => self.cut_link(entry, server, down(2_500, 2_500)),
            Fault::CutLong => self.cut_link(entry, server, down(60_000, 60_000)),
            Fault::HalfOpenUp => self.cut_link(entry, server, down(2_500, 0)),
            Fault::HalfOpenDown => self.cut_link(entry, server, down(0, 2_500)),
            Fault::KillSidecar => {
                self.kill_sidecar(server);
                self.put(RESTART_DELAY, Msg::Restart(Process::Sidecar(server)));
            }
            Fault::LoseSidecar => self.kill_sidecar(server),
            Fault::KillBackend => {
                self.kill_backend(server);
                self.put(RESTART_DELAY, Msg::Restart(Process::Backend(server)));
            }
            Fault::LoseBackend => self.kill_backend(server),
            Fault::KillVm => {
                self.kill_sidecar(server);
                self.kill_backend(server);
                self.put(RESTART_DELAY, Msg::Restart(Process::Sidecar(server)));
                self.put(RESTART_DELAY, Msg::Restart(Process::Backend(server)));
            }
            Fault::FreezeSidecar => {
                self.sidecars[server].frozen = self.now + ms(4_000);
                self.fail_streams(|stream| stream.server == server, DETECT_DELAY, true);
            }
            Fault::FreezeBackend => self.backends[server].frozen = self.now + ms(4_000),
            Fault::FreezeBackendLong => self.backends[server].frozen = self.now + ms(15_000),
            Fault::FreezeEntry => {
                self.entries[entry].frozen = self.now + ms(2_500);
                let callers = self.callers_of(entry);
                self.fail_streams(
                    |stream| callers.contains(&stream.caller),
                    DETECT_DELAY,
                    true,
                );
            }
            Fault::KillEntry => {
                self.entries[entry].alive = false;
                let callers = self.callers_of(entry);
                self.fail_streams(|stream| callers.contains(&stream.caller), HOP_DELAY, true);
                self.resend_after(ms(50));
            }
            Fault::SlowPeer => self.slow = Some(server),
            Fault::NoQuorum => {
                self.control.down = true;
                self.put(ms(3_000), Msg::QuorumRestored);
            }
            Fault::CallerDisconnects => {
                for caller in self.callers_of(entry) {
                    self.event(caller, Event::Disconnected);
                }
            }
            Fault::Leave => {
                self.backends[server].leaving = true;
                self.sidecars[server].leaving_since.get_or_insert(self.now);
                self.announce(server);
            }
            Fault::Drain => {
                self.sidecars[server].draining = true;
                self.sidecars[server].leaving_since.get_or_insert(self.now);
                self.tell(server, ledger::Event::Drain);
            }
        }
        true
    }

    pub(super) fn callers_of(&self, entry: usize) -> Vec<usize> {
        (0..self.callers.len())
            .filter(|at| self.callers[*at].entry == entry)
            .collect()
    }

    pub(super) fn cut_link(
        &mut self,
        entry: usize,
        server: usize,
        (to, from): (Duration, Duration),
    ) {
        self.entries[entry]
            .down
            .insert(server, (self.now + to, self.now + from));
        let callers = self.callers_of(entry);
        self.fail_streams(
            |stream| stream.server == server && callers.contains(&stream.caller),
            DETECT_DELAY,
            true,
        );
    }

    /// Fails streams at the entry, and with `both` also at the sidecar, after a delay. Links detect a
    /// silent peer by missed heartbeats.
    pub(super) fn fail_streams(
        &mut self,
        which: impl Fn(&Stream) -> bool,
        after: Duration,
        both: bool,
    ) {
        for number in 0..self.streams.len() {
            if which(&self.streams[number]) {
                self.put(after, Msg::Lost(number as u64));
                if both {
                    self.put(after, Msg::Closed(number as u64));
                }
            }
        }
    }

    pub(super) fn kill_sidecar(&mut self, server: usize) {
        self.sidecars[server].alive = false;
        self.fail_streams(|stream| stream.server == server, HOP_DELAY, false);
        for stream in &mut self.streams {
            if stream.server == server {
                stream.at_sidecar = false;
            }
        }
        for run in self.backends[server].runs.values_mut() {
            run.conn = None;
        }
    }

    pub(super) fn kill_backend(&mut self, server: usize) {
        if !self.backends[server].alive {
            return;
        }
        self.backends[server].kill();
        let cut: Vec<id::Attempt> = self.sidecars[server].conns.keys().copied().collect();
        self.sidecars[server].conns.clear();
        let incarnation = self.sidecars[server].incarnation;
        for attempt in cut {
            self.put(
                HOP_DELAY,
                Msg::ToLedger(server, incarnation, ledger::Event::Disconnected(attempt)),
            );
        }
    }

    pub(super) fn restart(&mut self, process: Process) {
        match process {
            Process::Sidecar(server) => {
                let incarnation = self.sidecars[server].incarnation + 1;
                let old = &self.sidecars[server];
                let (leaving_since, draining) = (old.leaving_since, old.draining);
                self.sidecars[server] = sidecar(incarnation);
                self.sidecars[server].leaving_since = leaving_since.filter(|_| !draining);
                self.put(ms(100), Msg::Announce(server));
            }
            Process::Backend(server) => {
                self.backends[server].restart();
                self.put(ms(100), Msg::Announce(server));
            }
        }
    }

    /// How much longer the receiver of a message is frozen. `None` if it is not.
    pub(super) fn frozen_for(&mut self, msg: &Msg) -> Option<Duration> {
        let until = match msg {
            Msg::ToSidecar(stream, _) | Msg::Closed(stream) => {
                self.sidecars[self.streams[*stream as usize].server].frozen
            }
            Msg::Line(server, _, _, conn, _) => {
                let delayed_until = self.delayed.get(conn).copied().unwrap_or_default();
                delayed_until.max(self.sidecars[*server].frozen)
            }
            Msg::ToLedger(server, ..) | Msg::Tick(server) => self.sidecars[*server].frozen,
            Msg::ToEntry(stream, _) | Msg::Lost(stream) => {
                self.entries[self.callers[self.streams[*stream as usize].caller].entry].frozen
            }
            Msg::Wake(caller) | Msg::Verdict(caller, _) => {
                self.entries[self.callers[*caller].entry].frozen
            }
            Msg::ToBackend(server, ..) | Msg::Step(server) => self.backends[*server].frozen,
            _ => return None,
        };
        (until > self.now).then(|| until.saturating_sub(self.now))
    }
}
