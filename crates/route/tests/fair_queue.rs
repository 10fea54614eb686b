//! Tests of [`FairQueue`] against a reference model that keeps a list of items for each customer.

use std::collections::{BTreeMap, VecDeque};

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use route::{FairQueue, PushOutcome};
use rstest::rstest;

const MAX_LEN: usize = 12;
/// Customers with their weights.
const CUSTOMERS: [(&str, f64); 3] = [("small", 1.0), ("middle", 4.0), ("large", 10.0)];

#[derive(Clone, Debug)]
enum Step {
    Push {
        customer: usize,
        cost: u32,
    },
    Pop,
    /// Remove the items with numbers below this one.
    RemoveBelow {
        below: u64,
    },
}

/// Lists of items by customer, oldest first.
#[derive(Clone, Debug, Default)]
struct Lists {
    items: BTreeMap<usize, VecDeque<u64>>,
    next: u64,
}

impl ReferenceStateMachine for Lists {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        prop_oneof![
            5 => (0..CUSTOMERS.len(), 1_u32..4).prop_map(|(customer, cost)| Step::Push { customer, cost }),
            3 => Just(Step::Pop),
            1 => (0_u64..60).prop_map(|below| Step::RemoveBelow { below }),
        ]
        .boxed()
    }

    fn apply(mut state: Self, transition: &Step) -> Self {
        if let Step::Push { .. } = transition {
            state.next += 1;
        }
        state
    }
}

struct Tested {
    queue: FairQueue<u64>,
    lists: Lists,
}

impl Tested {
    fn remove(&mut self, item: u64, oldest: bool) {
        let (_, list) = self.lists.items.iter_mut().find(|(_, l)| l.contains(&item)).expect("known item");
        let expected = if oldest { list.pop_front() } else { list.pop_back() };
        assert_eq!(expected, Some(item), "items of a customer left out of order");
    }

    fn len(&self) -> usize {
        self.lists.items.values().map(VecDeque::len).sum()
    }

    /// Number of a customer's waiting items in proportion to its weight.
    fn backlog(&self, customer: usize) -> f64 {
        self.lists.items.get(&customer).map_or(0, VecDeque::len) as f64 / CUSTOMERS[customer].1
    }
}

impl StateMachineTest for Tested {
    type SystemUnderTest = Self;
    type Reference = Lists;

    fn init_test(_: &Lists) -> Self {
        Self { queue: FairQueue::new(MAX_LEN), lists: Lists::default() }
    }

    fn apply(mut state: Self, ref_state: &Lists, transition: Step) -> Self {
        match transition {
            Step::Push { customer, cost } => {
                let (name, weight) = CUSTOMERS[customer];
                let was_full = state.len() == MAX_LEN;
                let pushed = state.queue.push(name, weight, cost, ref_state.next);
                match pushed {
                    PushOutcome::Queued => assert!(!was_full),
                    PushOutcome::Displaced(item) => {
                        let own = state.backlog(customer);
                        let victim = state.lists.items.iter().find(|(_, l)| l.contains(&item)).unwrap().0;
                        assert!(was_full && state.backlog(*victim) > own);
                        state.remove(item, false);
                    }
                    PushOutcome::Full(item) => {
                        assert!(was_full && item == ref_state.next);
                        let own = state.backlog(customer) + 1.0 / weight;
                        assert!((0..CUSTOMERS.len()).all(|c| c == customer || state.backlog(c) <= own));
                        return state;
                    }
                }
                state.lists.items.entry(customer).or_default().push_back(ref_state.next);
            }
            Step::Pop => match state.queue.pop() {
                Some(item) => state.remove(item, true),
                None => assert_eq!(state.len(), 0),
            },
            Step::RemoveBelow { below } => {
                let removed = state.queue.remove_unless(|item| *item >= below);
                assert!(removed.iter().all(|item| *item < below));
                for list in state.lists.items.values_mut() {
                    list.retain(|item| *item >= below);
                }
            }
        }
        state
    }

    fn check_invariants(state: &Self, _ref_state: &Lists) {
        assert_eq!(state.queue.len(), state.len());
        assert!(state.queue.len() <= MAX_LEN);
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn queue_agrees_with_the_model(sequential 1..80 => Tested);
}

#[rstest]
#[case::equal_costs(1, 1)]
#[case::costly_large(3, 1)]
#[case::costly_small(1, 3)]
fn backlogged_customers_are_served_in_proportion_to_their_weights(
    #[case] large_cost: u32,
    #[case] small_cost: u32,
) {
    let mut queue = FairQueue::new(2_000);
    for _ in 0..1_000 {
        queue.push("large", 3.0, large_cost, large_cost);
        queue.push("small", 1.0, small_cost, 0);
    }
    let mut large = 0;
    let mut small = 0;
    while large + small < 400 {
        match queue.pop().unwrap() {
            0 => small += small_cost,
            cost => large += cost,
        }
    }
    let ratio = f64::from(large) / f64::from(small);
    assert!((2.8..3.2).contains(&ratio), "served {large} to {small}");
}

#[test]
fn a_small_customer_does_not_wait_behind_a_large_backlog() {
    let mut queue = FairQueue::new(1_000);
    for _ in 0..500 {
        queue.push("large", 10.0, 1, "large");
    }
    queue.push("small", 1.0, 1, "small");
    let position = std::iter::from_fn(|| queue.pop()).position(|item| item == "small").unwrap();
    assert!(position <= 11, "served after {position} others");
}
