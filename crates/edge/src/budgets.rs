//! Retry budgets of customers and services.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use base::{CustomerId, RetryReason, ServiceId};
use route::RetryBudget;
use route::retry_budget::spend_both;

/// Retries that a customer may have before it sent anything.
const CUSTOMER_RESERVE: u32 = 2;
/// Retries that a customer's traffic may save up.
const CUSTOMER_CAP: u32 = 20;
/// Retries that a service may have before anything was sent.
const SERVICE_RESERVE: u32 = 5;
/// Retries that a service's traffic may save up.
const SERVICE_CAP: u32 = 50;

/// All budgets of this daemon.
#[derive(Debug, Default)]
pub struct Budgets {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    customers: HashMap<CustomerId, RetryBudget>,
    services: HashMap<ServiceId, RetryBudget>,
}

impl Budgets {
    /// Counts a first try.
    pub fn earn(&self, customer: &str, service: &str) {
        self.with(customer, service, |c, s| {
            c.earn();
            s.earn();
        });
    }

    /// Spends a retry from both budgets; false: one of them is used up and nothing is spent.
    pub fn spend(&self, customer: &str, service: &str, reason: RetryReason) -> bool {
        self.with(customer, service, |c, s| spend_both(c, s, reason))
    }

    fn with<T>(
        &self,
        customer: &str,
        service: &str,
        f: impl FnOnce(&mut RetryBudget, &mut RetryBudget) -> T,
    ) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let State { customers, services } = &mut *state;
        if !customers.contains_key(customer) {
            customers.insert(customer.into(), RetryBudget::new(CUSTOMER_RESERVE, CUSTOMER_CAP));
        }
        if !services.contains_key(service) {
            services.insert(service.into(), RetryBudget::new(SERVICE_RESERVE, SERVICE_CAP));
        }
        match (customers.get_mut(customer), services.get_mut(service)) {
            (Some(c), Some(s)) => f(c, s),
            _ => unreachable!("both were inserted above"),
        }
    }
}
