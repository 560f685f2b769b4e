//! The faults that are injected.

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The message is lost. Between sidecar and backend server, its connection is closed.
    Lose,
    /// The message is delivered again, later.
    Duplicate,
    /// The message is delayed and overtaken by others.
    Delay,
    /// The link drops all frames for a while.
    Cut,
    /// The link drops all frames from now on.
    CutLong,
    /// Calls are lost, replies are delivered.
    HalfOpenUp,
    /// Replies are lost, calls are delivered.
    HalfOpenDown,
    /// The sidecar is killed and restarts without its state. The backend server keeps running.
    KillSidecar,
    /// The sidecar is killed and does not restart. The backend server keeps running.
    LoseSidecar,
    /// The backend server is killed and restarts without its state.
    KillBackend,
    /// The backend server is killed and does not restart.
    LoseBackend,
    /// Both are killed and restart.
    KillVm,
    /// The sidecar is suspended and resumed with its state.
    FreezeSidecar,
    /// The backend server is suspended and resumed with its state.
    FreezeBackend,
    /// The backend server is suspended for longer than any time limit.
    FreezeBackendLong,
    /// The entry is suspended and resumed with its state.
    FreezeEntry,
    /// The entry is killed and does not restart.
    KillEntry,
    /// Messages to and from a sidecar are slow from now on.
    SlowPeer,
    /// Control has no quorum for a while.
    NoQuorum,
    /// The caller disconnects.
    CallerDisconnects,
    /// The backend server announces that it is leaving.
    Leave,
    /// The sidecar drains.
    Drain,
}

impl Fault {
    pub const ALL: [Self; 22] = [
        Self::Lose,
        Self::Duplicate,
        Self::Delay,
        Self::Cut,
        Self::CutLong,
        Self::HalfOpenUp,
        Self::HalfOpenDown,
        Self::KillSidecar,
        Self::LoseSidecar,
        Self::KillBackend,
        Self::LoseBackend,
        Self::KillVm,
        Self::FreezeSidecar,
        Self::FreezeBackend,
        Self::FreezeBackendLong,
        Self::FreezeEntry,
        Self::KillEntry,
        Self::SlowPeer,
        Self::NoQuorum,
        Self::CallerDisconnects,
        Self::Leave,
        Self::Drain,
    ];
}
