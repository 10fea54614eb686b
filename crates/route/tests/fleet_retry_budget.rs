//! Retry budgets of many daemons for one service that starts to fail when all budgets are full.

use base::RetryReason;
use route::RetryBudget;

const DAEMONS: usize = 28;
/// Requests for the service through all daemons, in one time window in which the operators count retries.
const REQUESTS: usize = 1_068;
/// Retries that the operators allow in that window: a fifth of the requests and a slack.
const ALLOWED: usize = REQUESTS / 5 + 62;
/// Part of the allowed retries that must be left for calls made by repeated runs: daemons cannot tell them
/// from first calls.
const LEFT_FOR_CALLS: f64 = 0.08;

#[test]
fn full_budgets_of_all_daemons_together_stay_below_the_allowed_retries() {
    let mut fleet = vec![RetryBudget::for_one_daemon(); DAEMONS];
    for budget in &mut fleet {
        (0..100).for_each(|_| budget.earn());
    }
    let mut retries = 0;
    for n in 0..REQUESTS {
        let budget = &mut fleet[n % DAEMONS];
        budget.earn();
        while budget.spend(RetryReason::ServerError) {
            retries += 1;
        }
    }
    let most = ALLOWED as f64 * (1.0 - LEFT_FOR_CALLS);
    assert!(f64::from(retries) <= most, "{retries} of {most}");
}
