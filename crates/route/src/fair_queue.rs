//! Fair queue of one service: deficit round robin over customers, weighted by their rates.

use std::collections::{HashMap, VecDeque};

use base::CustomerId;

/// Smallest weight of a customer, so that every lane moves on.
const MIN_WEIGHT: f64 = 1e-3;

/// What became of a pushed item.
#[derive(Debug, PartialEq, Eq)]
pub enum PushOutcome<T> {
    /// It waits.
    Queued,
    /// It waits, and the newest item of the customer with the longest lane for its weight left.
    Displaced(T),
    /// The queue is full and its own customer has the longest lane for its weight.
    Full(T),
}

/// Items of one customer.
#[derive(Debug)]
struct Lane<T> {
    /// Items with their costs, oldest first. Never empty.
    items: VecDeque<(u32, T)>,
    weight: f64,
    /// Work that the customer may still have in this round.
    deficit: f64,
}

/// Bounded queue that serves customers in proportion to their weights.
#[derive(Debug)]
pub struct FairQueue<T> {
    lanes: HashMap<CustomerId, Lane<T>>,
    /// Customers with items, in the order of their turns.
    turns: VecDeque<CustomerId>,
    /// Number of items in all lanes; never above `max_len`.
    len: usize,
    max_len: usize,
}

impl<T> FairQueue<T> {
    /// Makes an empty queue for at most `max_len` items.
    pub fn new(max_len: usize) -> Self {
        Self { lanes: HashMap::new(), turns: VecDeque::new(), len: 0, max_len }
    }

    /// Number of items that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Changes the bound; items beyond it stay until they are served.
    pub fn set_max_len(&mut self, max_len: usize) {
        self.max_len = max_len;
    }

    /// Adds an item. A full queue makes room at the cost of the customer with the longest lane for its weight.
    pub fn push(&mut self, customer: &str, weight: f64, cost: u32, item: T) -> PushOutcome<T> {
        let weight = weight.max(MIN_WEIGHT);
        let mut displaced = None;
        if self.len >= self.max_len {
            let own = self.lanes.get(customer).map_or(0, |l| l.items.len()) + 1;
            match self.longest().filter(|(name, load)| **name != *customer && *load > own as f64 / weight) {
                Some((name, _)) => displaced = self.pop_newest(&name),
                None => return PushOutcome::Full(item),
            }
        }
        self.append(customer, weight, cost, item);
        displaced.map_or(PushOutcome::Queued, PushOutcome::Displaced)
    }

    fn append(&mut self, customer: &str, weight: f64, cost: u32, item: T) {
        if !self.lanes.contains_key(customer) {
            self.turns.push_back(customer.into());
        }
        let empty = || Lane { items: VecDeque::new(), weight, deficit: 0.0 };
        let lane = self.lanes.entry(customer.into()).or_insert_with(empty);
        lane.weight = weight;
        lane.items.push_back((cost.max(1), item));
        self.len += 1;
    }

    /// Takes the next item. A lane's turn earns it work in proportion to its weight; the heaviest earns 1.
    pub fn pop(&mut self) -> Option<T> {
        let heaviest = self.lanes.values().map(|l| l.weight).fold(MIN_WEIGHT, f64::max);
        loop {
            let name = self.turns.front()?.clone();
            let lane = self.lanes.get_mut(&name)?;
            let cost = f64::from(lane.items.front()?.0);
            if lane.deficit >= cost {
                lane.deficit -= cost;
                let (_, item) = lane.items.pop_front()?;
                self.len -= 1;
                self.drop_if_empty(&name);
                return Some(item);
            }
            lane.deficit += lane.weight / heaviest;
            self.turns.rotate_left(1);
        }
    }

    /// Removes the items for which `keep` is false and returns them.
    pub fn remove_unless(&mut self, mut keep: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for lane in self.lanes.values_mut() {
            let items = std::mem::take(&mut lane.items);
            for (cost, item) in items {
                if keep(&item) {
                    lane.items.push_back((cost, item));
                } else {
                    removed.push(item);
                }
            }
        }
        self.len -= removed.len();
        self.lanes.retain(|_, l| !l.items.is_empty());
        self.turns.retain(|name| self.lanes.contains_key(name));
        removed
    }

    /// Items that are likely served before a new one of this customer.
    pub fn items_ahead(&self, customer: &str, weight: f64) -> usize {
        let weight = weight.max(MIN_WEIGHT);
        let others = self.lanes.iter().filter(|(name, _)| ***name != *customer);
        let own = self.lanes.get(customer).map_or(0, |l| l.items.len());
        let rounds = (own + 1) as f64 / weight;
        let before = others.map(|(_, l)| (l.items.len() as f64).min((rounds * l.weight).ceil()));
        own + before.sum::<f64>() as usize
    }

    fn longest(&self) -> Option<(CustomerId, f64)> {
        let loads = self.lanes.iter().map(|(name, l)| (name, l.items.len() as f64 / l.weight));
        let longest = loads.max_by(|a, b| a.1.total_cmp(&b.1).then_with(|| a.0.cmp(b.0)))?;
        Some((longest.0.clone(), longest.1))
    }

    fn pop_newest(&mut self, customer: &str) -> Option<T> {
        let (_, item) = self.lanes.get_mut(customer)?.items.pop_back()?;
        self.len -= 1;
        self.drop_if_empty(customer);
        Some(item)
    }

    fn drop_if_empty(&mut self, customer: &str) {
        if self.lanes.get(customer).is_some_and(|l| l.items.is_empty()) {
            self.lanes.remove(customer);
            self.turns.retain(|name| **name != *customer);
        }
    }
}
