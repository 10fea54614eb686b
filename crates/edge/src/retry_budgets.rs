//! Retry budgets of customers and services in this daemon. A retry needs credit in both.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use base::{CustomerId, RetryReason, ServiceId};
use route::RetryBudget;
use route::retry_budget::spend_both;

/// Retries in the budget of a customer that sent nothing yet.
const CUSTOMER_INITIAL_RETRIES: u32 = 2;
/// Retries that a customer's budget holds at most.
const MAX_CUSTOMER_RETRIES: u32 = 20;
/// Retries in the budget of a service to which nothing was sent yet.
const SERVICE_INITIAL_RETRIES: u32 = 5;
/// Retries that a service's budget holds at most.
const MAX_SERVICE_RETRIES: u32 = 50;

/// Budgets by customer and by service.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    customers: HashMap<CustomerId, RetryBudget>,
    services: HashMap<ServiceId, RetryBudget>,
}

impl RetryBudgets {
    /// Counts the first attempt of a request, which earns credit in both budgets.
    pub fn record_request(&self, customer: &str, service: &str) {
        self.with_budgets(customer, service, |c, s| {
            c.earn();
            s.earn();
        });
    }

    /// Spends a retry from both budgets; false: one of them does not cover it and nothing is spent.
    pub fn try_spend(&self, customer: &str, service: &str, reason: RetryReason) -> bool {
        self.with_budgets(customer, service, |c, s| spend_both(c, s, reason))
    }

    fn with_budgets<T>(
        &self,
        customer: &str,
        service: &str,
        f: impl FnOnce(&mut RetryBudget, &mut RetryBudget) -> T,
    ) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let State { customers, services } = &mut *state;
        if !customers.contains_key(customer) {
            customers
                .insert(customer.into(), RetryBudget::new(CUSTOMER_INITIAL_RETRIES, MAX_CUSTOMER_RETRIES));
        }
        if !services.contains_key(service) {
            services.insert(service.into(), RetryBudget::new(SERVICE_INITIAL_RETRIES, MAX_SERVICE_RETRIES));
        }
        match (customers.get_mut(customer), services.get_mut(service)) {
            (Some(c), Some(s)) => f(c, s),
            _ => unreachable!("both were inserted above"),
        }
    }
}
