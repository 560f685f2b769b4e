//! Faults, and how they strike.

use super::Sim;
use super::disk::Unsynced;
use super::ms;
use rand::Rng as _;

/// Whom a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The VM at which the step happens.
    Here,
    /// The VM after it.
    Next,
}

impl Target {
    pub fn pick(self, sim: &Sim, at: usize) -> usize {
        match self {
            Self::Here => at,
            Self::Next => (at + 1) % sim.vms.len(),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Drop,
    CutOut,
    CutIn,
    CutBoth,
    LongSilence,
    Freeze,
    LongFreeze,
    Duplicate,
    Reorder,
    Delay,
    LoseAnswers,
    Kill,
    KillTorn,
    KillWritten,
    BitFlip,
    DiskFull,
    LoseDisk,
    LoseDiskThenAnother,
    RestartAll(u8),
    ClockJump,
    ClockFast,
    KillTwo,
}

impl Fault {
    pub const ALL: &[Self] = &[
        Self::Drop,
        Self::CutOut,
        Self::CutIn,
        Self::CutBoth,
        Self::LongSilence,
        Self::Freeze,
        Self::LongFreeze,
        Self::Duplicate,
        Self::Reorder,
        Self::Delay,
        Self::LoseAnswers,
        Self::Kill,
        Self::KillTorn,
        Self::KillWritten,
        Self::BitFlip,
        Self::DiskFull,
        Self::LoseDisk,
        Self::LoseDiskThenAnother,
        Self::RestartAll(0),
        Self::RestartAll(1),
        Self::RestartAll(2),
        Self::ClockJump,
        Self::ClockFast,
        Self::KillTwo,
    ];

    pub fn strike(self, sim: &mut Sim, at: usize) {
        let count = sim.vms.len();
        let others = (0..count).filter(|one| *one != at);
        match self {
            Self::Drop => sim.net.drop_percent = 30,
            Self::CutOut => sim.net.cut.extend(others.map(|one| (at, one))),
            Self::CutIn => sim.net.cut.extend(others.map(|one| (one, at))),
            Self::CutBoth | Self::LongSilence => {
                let both = others.flat_map(|one| [(at, one), (one, at)]);
                sim.net.cut.extend(both);
            }
            Self::Freeze | Self::LongFreeze => sim.vms[at].frozen = true,
            Self::Duplicate => sim.net.copy_percent = 100,
            Self::Reorder => sim.net.jitter = ms(300),
            Self::Delay => sim.net.jitter = ms(60),
            Self::LoseAnswers => sim.net.answers_lost = true,
            Self::Kill => sim.kill(at, Unsynced::Lost),
            Self::KillTorn => sim.kill(at, Unsynced::Torn),
            Self::KillWritten => sim.kill(at, Unsynced::Kept),
            Self::BitFlip => {
                sim.kill(at, Unsynced::Lost);
                let bit = sim.rng.random_range(0.0..1.0);
                sim.vms[at].disk.flip_bit(bit);
            }
            Self::DiskFull => sim.vms[at].disk.full = true,
            Self::LoseDisk => {
                sim.kill(at, Unsynced::Lost);
                sim.lose_disk(at);
            }
            Self::LoseDiskThenAnother => {
                sim.kill(at, Unsynced::Lost);
                sim.lose_disk(at);
                sim.lose_next = Some((at, (at + 1) % count));
            }
            Self::RestartAll(order) => {
                for one in 0..count {
                    sim.kill(one, Unsynced::Torn);
                    let place = (one + order as usize) % count;
                    sim.restart_after(one, ms(100 + 700 * place as u64));
                }
            }
            Self::ClockJump => sim.jump(at, ms(60_000)),
            Self::ClockFast => sim.set_rate(at, 110),
            Self::KillTwo => {
                sim.kill(at, Unsynced::Torn);
                sim.kill((at + 1) % count, Unsynced::Lost);
            }
        }
        let lasts = match self {
            Self::LongSilence => 20_000,
            Self::LongFreeze => 8_000,
            Self::LoseDiskThenAnother => 300,
            _ => 1_700,
        };
        sim.heal_after(ms(lasts));
    }
}
