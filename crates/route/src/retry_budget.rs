//! Retry budget: first attempts earn credit and retries spend it, so that retries stay a bounded share of the
//! traffic.

use base::RetryReason;

/// Credit that each first attempt earns, in hundredths of a retry.
const CREDIT_PER_FIRST_ATTEMPT: i32 = 18;
/// Credit that a retry costs, in hundredths of a retry.
const RETRY_PRICE: i32 = 100;

/// Retries that a daemon's budget for a service starts with.
const DAEMON_RESERVE: u32 = 1;
/// Largest number of retries that a daemon's budget for a service may owe. What is owed beyond that lies so far
/// back that it is forgotten.
const DAEMON_MAX_DEBT: u32 = 2;
/// Largest number of retries that a daemon's budget for a service holds. When a service fails, all daemons
/// may spend their saved credit at once, in addition to what the requests earn; the sum has to fit into the
/// slack that the operators allow.
const DAEMON_CAP: u32 = 2;

/// Retry credit of one customer or service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// In hundredths of a retry; never above `cap` or below `-max_debt`.
    credit: i32,
    cap: i32,
    max_debt: i32,
}

impl RetryBudget {
    /// Creates a budget with credit for `reserve` retries that saves up at most `cap` retries.
    pub fn new(reserve: u32, cap: u32) -> Self {
        let price_of = |retries: u32| retries as i32 * RETRY_PRICE;
        Self {
            credit: price_of(reserve),
            cap: price_of(cap.max(reserve)),
            max_debt: price_of(DAEMON_MAX_DEBT),
        }
    }

    /// Creates one daemon's budget for a service. The fleet as a whole may spend the sum over all daemons.
    pub fn for_one_daemon() -> Self {
        Self::new(DAEMON_RESERVE, DAEMON_CAP)
    }

    /// Adds the credit of one first attempt.
    pub fn earn(&mut self) {
        self.credit = (self.credit + CREDIT_PER_FIRST_ATTEMPT).min(self.cap);
    }

    /// Pays for what can't be refused any more, a call of a run that is a repeat with the probability `share`. The
    /// credit may fall below zero.
    pub fn charge_call(&mut self, share: f64) {
        let price = (share.clamp(0.0, 1.0) * f64::from(RETRY_PRICE)).round() as i32;
        self.credit = (self.credit - price).max(-self.max_debt);
    }

    /// Whether the credit suffices for a retry for `reason`.
    pub fn covers(&self, reason: RetryReason) -> bool {
        self.credit >= retry_price(reason)
    }

    /// Pays for a retry. Returns false, and takes nothing, if the credit does not suffice.
    pub fn spend(&mut self, reason: RetryReason) -> bool {
        let covered = self.covers(reason);
        if covered {
            self.credit -= retry_price(reason);
        }
        covered
    }
}

/// Pays for a retry from both budgets. Returns false, and takes nothing, unless both cover it.
pub fn spend_both(customer: &mut RetryBudget, service: &mut RetryBudget, reason: RetryReason) -> bool {
    customer.covers(reason) && service.covers(reason) && customer.spend(reason) && service.spend(reason)
}

/// Price of a retry for `reason`. A retry is free if the attempt before it got no connection, so that no
/// server worked on it.
fn retry_price(reason: RetryReason) -> i32 {
    match reason {
        RetryReason::Connect => 0,
        _ => RETRY_PRICE,
    }
}
