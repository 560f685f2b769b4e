//! How long a process goes on once a stop was asked for.

use std::time::Duration;
use std::time::Instant;

use tokio::time;
use wigeonbarrow::edge::lifetime::Lifetime;

/// Longest wait for a condition.
const WAIT: Duration = Duration::from_secs(20);

const SOON: Duration = Duration::from_millis(50);

#[tokio::test]
async fn goes_on() {
    let lifetime = Lifetime::default();
    assert!(!lifetime.is_stopping());
    assert_eq!(lifetime.remaining(), None);
    let over = time::timeout(SOON, lifetime.expired()).await;
    assert!(over.is_err(), "no stop was asked for");
}

/// Whoever began to wait before the stop learns of it.
#[tokio::test]
async fn waiters_learn() {
    let lifetime = Lifetime::default();
    let shared = lifetime.clone();
    let waiter = tokio::spawn(async move {
        shared.stopping().await;
        shared.expired().await;
        Instant::now()
    });
    time::sleep(SOON).await;
    let end = Instant::now() + SOON;
    lifetime.end_by(end);
    assert!(lifetime.is_stopping() && lifetime.remaining() <= Some(SOON));
    let over = time::timeout(WAIT, waiter).await.expect("it ends");
    assert!(over.expect("a time") >= end);
    assert_eq!(lifetime.remaining(), Some(Duration::ZERO));
}

/// A second signal brings the end nearer, also for those that wait already; none puts it off.
#[tokio::test]
async fn only_nearer() {
    let lifetime = Lifetime::default();
    lifetime.end_by(Instant::now() + WAIT * 2);
    let shared = lifetime.clone();
    let waiter = tokio::spawn(async move { shared.expired().await });
    time::sleep(SOON).await;
    lifetime.end_by(Instant::now());
    lifetime.end_by(Instant::now() + WAIT * 2);
    time::timeout(WAIT, waiter)
        .await
        .expect("it ends")
        .expect("a waiter");
}
