//! Budgets of many daemons for one service, when it falls sick after a calm time.

use base::RetryReason;
use route::RetryBudget;

const DAEMONS: usize = 28;
/// Requests for the service in one window of the operators, through all daemons.
const REQUESTS: usize = 1_068;
/// Retries that the operators allow in it: a fifth of the requests and a slack.
const ALLOWED: usize = REQUESTS / 5 + 62;
/// Part of them that must be left for calls of repeated runs, which no daemon can tell apart.
const LEFT_FOR_CALLS: f64 = 0.08;

#[test]
fn a_service_that_falls_sick_after_a_calm_time_gets_no_more_than_the_fleet_may_send() {
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
