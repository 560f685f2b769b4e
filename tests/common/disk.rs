//! A simulated disk: written data is durable only once it is synced.

use std::time::Duration;

use wigeonbarrow::control::log;
use wigeonbarrow::control::member::Member;
use wigeonbarrow::control::record;

/// What happens to unsynced bytes when the process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsynced {
    Lost,
    Torn,
    Kept,
}

#[derive(Default)]
pub struct Disk {
    synced: Vec<u8>,
    scan: record::Scan,
    pending: Vec<log::Write>,
    pub full: bool,
    /// Added to the time of each sync.
    pub slow: Duration,
    corrupt: bool,
}

impl Disk {
    pub fn open(&mut self, new: Member) -> (Member, log::Saved) {
        if self.synced.is_empty() {
            record::put_identity(&mut self.synced, &new);
        }
        let scan = record::scan(&self.synced).expect("the log is whole");
        self.synced.truncate(scan.len);
        self.scan = scan.clone();
        (scan.identity.expect("an identity"), scan.saved)
    }

    pub fn scan(&self) -> Result<record::Scan, record::Corrupt> {
        record::scan(&self.synced)
    }

    pub fn is_corrupt(&self) -> bool {
        self.corrupt
    }

    pub fn write(&mut self, write: log::Write) {
        self.pending.push(write);
    }

    /// Syncs all pending writes. Returns the number of the last one.
    pub fn sync(&mut self) -> u64 {
        let mut seq = 0;
        for write in std::mem::take(&mut self.pending) {
            seq = write.seq;
            if write.snapshot.is_some() {
                let me = self.scan.identity.expect("an identity");
                self.synced.clear();
                record::put_identity(&mut self.synced, &me);
            }
            record::put_write(&mut self.synced, &write);
        }
        self.scan = record::scan(&self.synced).expect("the log is whole");
        seq
    }

    pub fn crash(&mut self, tail: Unsynced, cut: f64) {
        match tail {
            Unsynced::Lost => {}
            Unsynced::Kept => {
                self.sync();
            }
            // A new snapshot goes to a separate file that is renamed, so it cannot be torn.
            Unsynced::Torn if self.pending.iter().any(|one| one.snapshot.is_some()) => {}
            Unsynced::Torn => {
                let mut buf = Vec::new();
                for write in &self.pending {
                    record::put_write(&mut buf, write);
                }
                let len = (buf.len() as f64 * cut) as usize;
                self.synced.extend_from_slice(&buf[..len]);
            }
        }
        self.pending.clear();
    }

    /// Flips a bit of the synced data.
    pub fn flip_bit(&mut self, at: f64) {
        let bits = self.synced.len() * 8;
        if bits > 0 {
            let bit = (bits as f64 * at) as usize;
            self.synced[bit / 8] ^= 1 << (bit % 8);
            self.corrupt = true;
        }
    }

    pub fn hard(&self) -> log::Hard {
        self.scan.saved.hard
    }

    /// Whether this is the disk of `member` and has `index` synced.
    pub fn holds(&self, member: &Member, index: u64) -> bool {
        let saved = &self.scan.saved;
        let base = saved.snapshot.as_ref().map_or(0, |one| one.tail.index);
        let last = saved.entries.last().map_or(base, |one| one.index);
        self.scan.identity == Some(*member) && last >= index
    }
}
