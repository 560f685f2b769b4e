//! Retry budget of each service over a sliding window.
//!
//! All entries share the budget without communication. Each entry may use an equal part of the fixed
//! allowance, and retries in proportion to its own requests. So all together keep within the limit
//! even if they cannot reach each other.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// The limit on retries, over all entries.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
    /// Additional retries allowed in each window.
    pub slack: f64,
}

/// Share of the limit that is used. Entries start and stop, so two of them may for a moment
/// disagree about their number.
const USED_SHARE: f64 = 0.6;

/// Times of a service's requests and retries within the window.
#[derive(Debug, Default)]
struct Account {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

/// This entry's part of the budget.
#[derive(Debug)]
pub struct Budget {
    limit: Limit,
    accounts: HashMap<String, Account>,
}

impl Budget {
    /// Creates a budget of which nothing is spent.
    pub fn new(limit: Limit) -> Self {
        Self {
            limit,
            accounts: HashMap::new(),
        }
    }

    /// Counts a request for `service`.
    pub fn record_request(&mut self, now: Duration, service: &str) {
        let account = self.account(now, service);
        account.requests.push_back(now);
    }

    /// Spends a retry if the budget, shared by `entries`, allows it. Returns whether it does.
    pub fn try_spend(&mut self, now: Duration, service: &str, entries: usize) -> bool {
        let limit = self.limit;
        let account = self.account(now, service);
        let own_slack = limit.slack / entries.max(1) as f64;
        let allowed = (account.requests.len() as f64 * limit.ratio + own_slack) * USED_SHARE;
        if account.retries.len() as f64 + 1.0 > allowed.max(1.0) {
            return false;
        }
        account.retries.push_back(now);
        true
    }

    fn account(&mut self, now: Duration, service: &str) -> &mut Account {
        let window = self.limit.window;
        if !self.accounts.contains_key(service) {
            self.accounts.insert(service.to_owned(), Account::default());
        }
        let account = self.accounts.get_mut(service).expect("it was just added");
        for times in [&mut account.requests, &mut account.retries] {
            while times.front().is_some_and(|at| *at + window <= now) {
                times.pop_front();
            }
        }
        account
    }
}
