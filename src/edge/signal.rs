//! Signals, taken by a thread of their own.

use signal_hook::iterator;
use tokio::sync::mpsc;

/// Signals that may wait. More of them say nothing new.
const WAITING: usize = 8;

/// A named thread that passes these signals on.
pub fn listen(numbers: &[i32]) -> anyhow::Result<mpsc::Receiver<i32>> {
    let (tx, rx) = mpsc::channel(WAITING);
    let mut signals = iterator::Signals::new(numbers)?;
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for signal in signals.forever() {
                let _ = tx.try_send(signal);
            }
        })?;
    Ok(rx)
}
