//! Fair queue of one service: deficit round robin over its customers, weighted by their rates.

use std::collections::{HashMap, VecDeque};

use base::CustomerId;

/// Lower bound of a customer's weight, so that each customer's items are served eventually.
const MIN_CUSTOMER_WEIGHT: f64 = 1e-3;

/// Result of [`FairQueue::push`].
#[derive(Debug, PartialEq, Eq)]
pub enum PushOutcome<T> {
    /// The item waits.
    Queued,
    /// The item waits. The queue was full and dropped the contained item: the newest one of the customer with
    /// the most items in proportion to its weight.
    Displaced(T),
    /// The item was refused: the queue is full, and no other customer has more items in proportion to its
    /// weight.
    Full(T),
}

/// Items of one customer.
#[derive(Debug)]
struct CustomerQueue<T> {
    /// Items with their costs, oldest first. Never empty.
    items: VecDeque<(u32, T)>,
    weight: f64,
    /// Cost of the items that the customer may still have served before its next turn.
    deficit: f64,
}

/// Bounded queue that serves customers in proportion to their weights.
#[derive(Debug)]
pub struct FairQueue<T> {
    customers: HashMap<CustomerId, CustomerQueue<T>>,
    /// Customers with items, the one whose turn it is first.
    turns: VecDeque<CustomerId>,
    /// Number of items of all customers. Above `max_len` only after the bound was lowered.
    len: usize,
    max_len: usize,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue for at most `max_len` items.
    pub fn new(max_len: usize) -> Self {
        Self { customers: HashMap::new(), turns: VecDeque::new(), len: 0, max_len }
    }

    /// Number of waiting items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Changes the bound. Items above a lowered bound stay until they are served.
    pub fn set_max_len(&mut self, max_len: usize) {
        self.max_len = max_len;
    }

    /// Adds an item. A full queue drops the newest item of the customer with the most items in proportion to
    /// its weight, and refuses the new item if that customer is its own.
    pub fn push(&mut self, customer: &str, weight: f64, cost: u32, item: T) -> PushOutcome<T> {
        let weight = weight.max(MIN_CUSTOMER_WEIGHT);
        let mut displaced = None;
        if self.len >= self.max_len {
            let own = self.customers.get(customer).map_or(0, |q| q.items.len()) + 1;
            match self
                .most_backlogged()
                .filter(|(name, backlog)| **name != *customer && *backlog > own as f64 / weight)
            {
                Some((name, _)) => displaced = self.pop_newest(&name),
                None => return PushOutcome::Full(item),
            }
        }
        self.append(customer, weight, cost, item);
        displaced.map_or(PushOutcome::Queued, PushOutcome::Displaced)
    }

    fn append(&mut self, customer: &str, weight: f64, cost: u32, item: T) {
        if !self.customers.contains_key(customer) {
            self.turns.push_back(customer.into());
        }
        let empty = || CustomerQueue { items: VecDeque::new(), weight, deficit: 0.0 };
        let queue = self.customers.entry(customer.into()).or_insert_with(empty);
        queue.weight = weight;
        queue.items.push_back((cost.max(1), item));
        self.len += 1;
    }

    /// Takes the next item. At each turn a customer's deficit grows in proportion to its weight, by 1 for the
    /// customer with the largest weight; an item is served when the deficit covers its cost.
    pub fn pop(&mut self) -> Option<T> {
        let heaviest = self.customers.values().map(|q| q.weight).fold(MIN_CUSTOMER_WEIGHT, f64::max);
        loop {
            let name = self.turns.front()?.clone();
            let queue = self.customers.get_mut(&name)?;
            let cost = f64::from(queue.items.front()?.0);
            if queue.deficit >= cost {
                queue.deficit -= cost;
                let (_, item) = queue.items.pop_front()?;
                self.len -= 1;
                self.remove_if_empty(&name);
                return Some(item);
            }
            queue.deficit += queue.weight / heaviest;
            self.turns.rotate_left(1);
        }
    }

    /// Removes and returns the items for which `keep` is false.
    pub fn remove_unless(&mut self, mut keep: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for queue in self.customers.values_mut() {
            let items = std::mem::take(&mut queue.items);
            for (cost, item) in items {
                if keep(&item) {
                    queue.items.push_back((cost, item));
                } else {
                    removed.push(item);
                }
            }
        }
        self.len -= removed.len();
        self.customers.retain(|_, q| !q.items.is_empty());
        self.turns.retain(|name| self.customers.contains_key(name));
        removed
    }

    /// Estimates how many items are served before a new one of `customer`: its own, and those that other
    /// customers get served in as many rounds. Costs are not considered.
    pub fn items_ahead(&self, customer: &str, weight: f64) -> usize {
        let weight = weight.max(MIN_CUSTOMER_WEIGHT);
        let others = self.customers.iter().filter(|(name, _)| ***name != *customer);
        let own = self.customers.get(customer).map_or(0, |q| q.items.len());
        let rounds = (own + 1) as f64 / weight;
        let others_ahead = others.map(|(_, q)| (q.items.len() as f64).min((rounds * q.weight).ceil()));
        own + others_ahead.sum::<f64>() as usize
    }

    /// Customer with the most items in proportion to its weight, and that proportion.
    fn most_backlogged(&self) -> Option<(CustomerId, f64)> {
        let backlogs = self.customers.iter().map(|(name, q)| (name, q.items.len() as f64 / q.weight));
        let most = backlogs.max_by(|a, b| a.1.total_cmp(&b.1).then_with(|| a.0.cmp(b.0)))?;
        Some((most.0.clone(), most.1))
    }

    fn pop_newest(&mut self, customer: &str) -> Option<T> {
        let (_, item) = self.customers.get_mut(customer)?.items.pop_back()?;
        self.len -= 1;
        self.remove_if_empty(customer);
        Some(item)
    }

    fn remove_if_empty(&mut self, customer: &str) {
        if self.customers.get(customer).is_some_and(|q| q.items.is_empty()) {
            self.customers.remove(customer);
            self.turns.retain(|name| **name != *customer);
        }
    }
}
