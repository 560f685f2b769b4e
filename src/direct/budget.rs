//! How often a service may be sent requests again, over a sliding window.
//!
//! All entries share one budget without asking each other: each spends its part of the fixed
//! allowance and, of what grows with traffic, that of its own requests. So the sum keeps the
//! bound also while entries cannot reach one another.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// The bound.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Repeats allowed a request.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
    /// Repeats allowed in a window besides, over all entries.
    pub slack: f64,
}

/// Part of the bound that is used: entries come and go, and what two of them think of how many
/// there are may differ for a moment.
const MARGIN: f64 = 0.6;

#[derive(Debug, Default)]
struct Account {
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

/// One entry's part of the budget.
#[derive(Debug)]
pub struct Budget {
    limit: Limit,
    accounts: HashMap<String, Account>,
}

impl Budget {
    /// Nothing spent.
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

    /// Whether a request may be sent again, with `entries` that share the budget. Spends it.
    pub fn try_spend(&mut self, now: Duration, service: &str, entries: usize) -> bool {
        let limit = self.limit;
        let account = self.account(now, service);
        let own = limit.slack / entries.max(1) as f64;
        let allowed = (account.requests.len() as f64 * limit.ratio + own) * MARGIN;
        if account.repeats.len() as f64 + 1.0 > allowed.max(1.0) {
            return false;
        }
        account.repeats.push_back(now);
        true
    }

    fn account(&mut self, now: Duration, service: &str) -> &mut Account {
        let window = self.limit.window;
        if !self.accounts.contains_key(service) {
            self.accounts.insert(service.to_owned(), Account::default());
        }
        let account = self.accounts.get_mut(service).expect("it was just added");
        for times in [&mut account.requests, &mut account.repeats] {
            while times.front().is_some_and(|at| *at + window <= now) {
                times.pop_front();
            }
        }
        account
    }
}
