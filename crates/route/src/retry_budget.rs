//! Retry budget: first tries earn credit, retries spend it, so that retries stay a bounded share of traffic.

use base::RetryReason;

/// Credit that each first try earns, in hundredths of a retry.
const EARNED: u32 = 18;
/// Price of a retry, in hundredths.
const PRICE: u32 = 100;

/// Retries that one daemon's budget for a service holds at first.
const DAEMON_RESERVE: u32 = 1;
/// Retries that it holds at most. All daemons may spend theirs at once when a service falls sick, on top of what the
/// requests earn, so they must fit into the operators' slack together.
const DAEMON_CAP: u32 = 2;

/// Credit of one customer or service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// In hundredths of a retry; never above `cap`.
    credit: u32,
    cap: u32,
}

impl RetryBudget {
    /// Makes a budget with credit for `reserve` retries that holds at most `cap` retries.
    pub fn new(reserve: u32, cap: u32) -> Self {
        let cap = cap.max(reserve) * PRICE;
        Self { credit: reserve * PRICE, cap }
    }

    /// Makes one daemon's budget for a service; the fleet's is the sum of them.
    pub fn for_one_daemon() -> Self {
        Self::new(DAEMON_RESERVE, DAEMON_CAP)
    }

    /// Counts a first try.
    pub fn earn(&mut self) {
        self.credit = (self.credit + EARNED).min(self.cap);
    }

    /// Whether a retry for `reason` is covered.
    pub fn covers(&self, reason: RetryReason) -> bool {
        self.credit >= price(reason)
    }

    /// Spends the price of a retry; false: nothing is spent.
    pub fn spend(&mut self, reason: RetryReason) -> bool {
        let covered = self.covers(reason);
        if covered {
            self.credit -= price(reason);
        }
        covered
    }
}

/// Spends from both budgets or from none.
pub fn spend_both(customer: &mut RetryBudget, service: &mut RetryBudget, reason: RetryReason) -> bool {
    customer.covers(reason) && service.covers(reason) && customer.spend(reason) && service.spend(reason)
}

/// A try that reached no server cost the servers nothing.
fn price(reason: RetryReason) -> u32 {
    match reason {
        RetryReason::Connect => 0,
        _ => PRICE,
    }
}
