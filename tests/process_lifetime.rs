//! The deadline of a process that was told to stop: it wakes all waiters and is never extended.

use std::time::Duration;
use std::time::Instant;

use tokio::time;
use wigeonbarrow::edge::lifetime::Lifetime;

/// Timeout for a condition that is expected to come.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Time after which other tasks have run.
const SHORT_DELAY: Duration = Duration::from_millis(50);

#[tokio::test]
async fn unlimited_until_stopped() {
    let lifetime = Lifetime::default();
    assert!(!lifetime.is_stopping());
    assert_eq!(lifetime.remaining(), None);
    let expired = time::timeout(SHORT_DELAY, lifetime.expired()).await;
    assert!(expired.is_err(), "expired without a stop");
}

/// A task that began to wait before the stop is woken by it.
#[tokio::test]
async fn stop_wakes_waiters() {
    let lifetime = Lifetime::default();
    let shared = lifetime.clone();
    let waiter = tokio::spawn(async move {
        shared.stopping().await;
        shared.expired().await;
        Instant::now()
    });
    time::sleep(SHORT_DELAY).await;
    let deadline = Instant::now() + SHORT_DELAY;
    lifetime.end_by(deadline);
    assert!(lifetime.is_stopping() && lifetime.remaining() <= Some(SHORT_DELAY));
    let woken = time::timeout(TIMEOUT, waiter)
        .await
        .expect("waiter timed out");
    assert!(woken.expect("waiter panicked") >= deadline);
    assert_eq!(lifetime.remaining(), Some(Duration::ZERO));
}

/// A second stop makes the deadline earlier, also for tasks that wait already, and never later.
#[tokio::test]
async fn deadline_never_extended() {
    let lifetime = Lifetime::default();
    lifetime.end_by(Instant::now() + TIMEOUT * 2);
    let shared = lifetime.clone();
    let waiter = tokio::spawn(async move { shared.expired().await });
    time::sleep(SHORT_DELAY).await;
    lifetime.end_by(Instant::now());
    lifetime.end_by(Instant::now() + TIMEOUT * 2);
    time::timeout(TIMEOUT, waiter)
        .await
        .expect("waiter timed out")
        .expect("waiter panicked");
}
