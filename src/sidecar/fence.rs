//! Fencing numbers of orders to the backend server.
//!
//! The current number comes from the quorum. Until this process has learned it, no order passes,
//! whether the backend server checks numbers or not.

use crate::wire::outcome::Cause;

/// The fence of one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fence {
    /// The highest number known. `None`: not learned from the quorum yet.
    current: Option<u64>,
}

impl Fence {
    /// Records the current number as the quorum reports it.
    pub fn learn(&mut self, number: u64) {
        self.current = Some(self.current.unwrap_or(0).max(number));
    }

    /// The current number, if known.
    pub fn current(&self) -> Option<u64> {
        self.current
    }

    /// Checks an order's number. A newer number makes all older ones stale.
    pub fn pass(&mut self, number: u64) -> Result<(), Cause> {
        match self.current {
            None => Err(Cause::NoQuorum),
            Some(current) if number < current => Err(Cause::Fenced),
            Some(_) => {
                self.current = Some(number);
                Ok(())
            }
        }
    }
}
