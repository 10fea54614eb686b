//! Shares of customers in the slots of one server, by start-time fair queueing.
//!
//! A customer's virtual time grows with each start of one of its requests by the expected run time divided by
//! the customer's weight. The customer with the lowest virtual time goes first. The virtual time of the queue
//! is that of the last start, and a customer without a recent start counts with it: a customer gets no credit
//! for slots that it did not use, and pays nothing for slots that nobody else wanted.

use std::collections::HashMap;
use std::time::Duration;

use crate::waiting_order::Urgency;

/// Hash of a customer's name. Two customers with the same hash would get one share.
pub type CustomerHash = u64;

/// Lower bound of a weight, so that each customer's requests start eventually.
const MIN_WEIGHT: f64 = 1e-3;
/// Most customers whose virtual times are kept in one urgency class; bounds memory if many customers of small
/// weight take turns. The one that is least ahead loses its record, and with it the least debt.
const MAX_CUSTOMERS: usize = 1_024;
/// Number of customers above which those that are no longer ahead of the queue are first looked for.
const MIN_PRUNE_LEN: usize = 32;

/// Virtual time that a run takes from its customer's share.
pub(crate) fn virtual_cost(expected_run: Duration, weight: f64) -> f64 {
    expected_run.as_secs_f64() / weight.max(MIN_WEIGHT)
}

/// Virtual times of the customers whose requests are equally urgent.
#[derive(Debug)]
struct ClassShares {
    /// Virtual time of the queue. Never decreases.
    virtual_time: f64,
    /// Virtual times of customers; those that are not above `virtual_time` may be missing.
    ahead: HashMap<Option<CustomerHash>, f64>,
    /// Length of `ahead` at which it is pruned next.
    prune_len: usize,
}

impl Default for ClassShares {
    fn default() -> Self {
        Self { virtual_time: 0.0, ahead: HashMap::new(), prune_len: MIN_PRUNE_LEN }
    }
}

impl ClassShares {
    fn virtual_time_of(&self, customer: Option<CustomerHash>) -> f64 {
        self.ahead.get(&customer).copied().unwrap_or(self.virtual_time).max(self.virtual_time)
    }

    fn record_start(&mut self, customer: Option<CustomerHash>, cost: f64) {
        let start = self.virtual_time_of(customer);
        self.virtual_time = start;
        self.ahead.insert(customer, start + cost);
        if self.ahead.len() >= self.prune_len {
            self.prune();
        }
    }

    fn prune(&mut self) {
        self.ahead.retain(|_, at| *at > self.virtual_time);
        while self.ahead.len() > MAX_CUSTOMERS {
            let least_ahead = self.ahead.iter().min_by(|a, b| a.1.total_cmp(b.1)).map(|(c, _)| *c);
            self.ahead.retain(|customer, _| Some(*customer) != least_ahead);
        }
        self.prune_len = (self.ahead.len() * 2).clamp(MIN_PRUNE_LEN, MAX_CUSTOMERS + 1);
    }
}

/// Shares of customers, separately for each urgency class. One record for all classes would let the starts of
/// urgent requests erase what customers of less urgent ones owe each other.
#[derive(Debug, Default)]
pub(crate) struct CustomerShares {
    by_class: HashMap<Urgency, ClassShares>,
}

impl CustomerShares {
    /// Virtual time of a customer, at least that of the queue.
    pub(crate) fn virtual_time_of(&self, class: Urgency, customer: Option<CustomerHash>) -> f64 {
        self.by_class.get(&class).map_or(0.0, |shares| shares.virtual_time_of(customer))
    }

    /// Charges the start of a request to its customer.
    pub(crate) fn record_start(&mut self, class: Urgency, customer: Option<CustomerHash>, cost: f64) {
        self.by_class.entry(class).or_default().record_start(customer, cost);
    }

    /// Forgets all starts, when nobody waits for a slot that somebody else has had.
    pub(crate) fn clear(&mut self) {
        self.by_class.clear();
    }

    /// Number of virtual times that are kept.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.by_class.values().map(|shares| shares.ahead.len()).sum()
    }
}

#[cfg(test)]
#[path = "customer_shares_tests.rs"]
mod tests;
