//! Clients of the members in memory: one command after the other, sent again until it is answered.

use wigeonbarrow::control::log;
use wigeonbarrow::wire::agree::Command;
use wigeonbarrow::wire::agree::Verdict;

use super::Done;
use super::Event;
use super::RESEND;
use super::Sim;
use super::ms;

impl Sim {
    pub(super) fn ask(&mut self, client: usize) {
        if self.clients[client].remaining.is_empty() {
            return;
        }
        self.clients[client].floor = self.acknowledged;
        self.resend(client, self.clients[client].token);
    }

    pub(super) fn resend(&mut self, client: usize, token: u64) {
        let one = &mut self.clients[client];
        if one.token != token {
            return;
        }
        let Some(command) = one.remaining.front().cloned() else {
            return;
        };
        // Tokens name their client; each try has its own.
        one.token += 1;
        let token = one.token;
        one.asked += 1;
        let vms = self.vms.len();
        // As the edge does: to the leader that the asked one knows, else it decides itself.
        let asked = (one.asked + client) % vms;
        let leader = self.vms[asked].replica.as_ref();
        let leader = leader.and_then(|one| one.raft().leader());
        let leader = leader.and_then(|one| self.vms.iter().position(|vm| vm.addr == one.addr));
        let at = leader.unwrap_or(asked);
        self.after(RESEND, Event::Resend(client, token));
        if self.vms[at].frozen {
            return;
        }
        let now = self.local_time(at);
        let name = (client as u64) << 32 | token;
        self.with(at, |replica| replica.propose(now, 0, name, command));
    }

    pub(super) fn answer(&mut self, name: u64, verdict: Verdict) {
        let client = (name >> 32) as usize;
        if verdict == Verdict::Unavailable {
            return;
        }
        let Some(command) = self.clients[client].remaining.front().cloned() else {
            return;
        };
        if u64::from(name as u32) != self.clients[client].token {
            return;
        }
        let index = self.index_of(&command);
        let index = index.expect("a verdict on something that is not in the log");
        self.acknowledged = self.acknowledged.max(index);
        let one = &mut self.clients[client];
        one.token += 1;
        one.remaining.pop_front();
        let floor = one.floor;
        self.done.push(Done {
            client,
            command,
            verdict,
            floor,
        });
        self.after(ms(2), Event::Ask(client));
    }

    pub(super) fn index_of(&self, wanted: &Command) -> Option<u64> {
        let found = self
            .first_applied
            .values()
            .find(|entry| match &entry.payload {
                log::Payload::Command { command, .. } => command == wanted,
                _ => false,
            });
        found.map(|entry| entry.index)
    }
}
