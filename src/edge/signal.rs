//! Signal handling on a thread of its own.

use signal_hook::iterator;
use tokio::sync::mpsc;

/// Signals that may be queued. Further ones are dropped: they add no information.
const QUEUE_LEN: usize = 8;

/// Starts a thread that forwards these signals to the receiver returned.
pub fn listen(numbers: &[i32]) -> anyhow::Result<mpsc::Receiver<i32>> {
    let (tx, rx) = mpsc::channel(QUEUE_LEN);
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
