//! Tests of [`RetryBudget`] against a reference model that counts first attempts, and of
//! [`ConcurrencyLimit`].

use std::time::{Duration, Instant};

use base::RetryReason;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use route::{ConcurrencyLimit, RetryBudget};

const RESERVE: u32 = 3;
const CAP: u32 = 8;
/// Retries allowed for each first attempt.
const MAX_SHARE: f64 = 0.2;

#[derive(Clone, Debug)]
enum Step {
    FirstAttempt,
    Retry,
    /// A retry after a failed connect, which is free.
    ConnectRetry,
}

/// The model: first attempts since the start.
#[derive(Clone, Debug, Default)]
struct Counts {
    firsts: u32,
}

impl ReferenceStateMachine for Counts {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        prop_oneof![6 => Just(Step::FirstAttempt), 3 => Just(Step::Retry), 1 => Just(Step::ConnectRetry)]
            .boxed()
    }

    fn apply(mut state: Self, transition: &Step) -> Self {
        state.firsts += u32::from(matches!(transition, Step::FirstAttempt));
        state
    }
}

struct Tested {
    budget: RetryBudget,
    retries: u32,
    /// First attempts and granted retries since a retry was last refused.
    window: Option<(u32, u32)>,
}

impl StateMachineTest for Tested {
    type SystemUnderTest = Self;
    type Reference = Counts;

    fn init_test(_: &Counts) -> Self {
        Self { budget: RetryBudget::new(RESERVE, CAP), retries: 0, window: None }
    }

    fn apply(mut state: Self, _ref_state: &Counts, transition: Step) -> Self {
        match transition {
            Step::FirstAttempt => {
                state.budget.earn();
                if let Some((firsts, _)) = &mut state.window {
                    *firsts += 1;
                }
            }
            Step::Retry if state.budget.spend(RetryReason::Broken) => {
                state.retries += 1;
                if let Some((_, retries)) = &mut state.window {
                    *retries += 1;
                }
            }
            Step::Retry => state.window = Some((0, 0)),
            Step::ConnectRetry => assert!(state.budget.spend(RetryReason::Connect)),
        }
        state
    }

    fn check_invariants(state: &Self, ref_state: &Counts) {
        let allowed = f64::from(ref_state.firsts) * MAX_SHARE + f64::from(RESERVE);
        assert!(f64::from(state.retries) <= allowed);
        if let Some((firsts, retries)) = state.window {
            assert!(f64::from(retries) <= f64::from(firsts) * MAX_SHARE + 1.0);
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn retries_stay_a_bounded_share_of_the_traffic(sequential 1..200 => Tested);
}

#[test]
fn under_steady_failure_most_of_the_allowed_retries_are_granted() {
    let mut budget = RetryBudget::new(0, CAP);
    let granted = (0..1_000).filter(|_| {
        budget.earn();
        budget.spend(RetryReason::ServerError)
    });
    let granted = granted.count();
    assert!((150..=200).contains(&granted), "{granted}");
}

#[test]
fn the_limit_grows_when_it_is_used_and_answers_are_quick() {
    let now = Instant::now();
    let mut limit = ConcurrencyLimit::new(now);
    limit.set_bounds(60.0, 15.0);
    for _ in 0..2_000 {
        limit.on_answer(Duration::from_millis(10), limit.max_in_flight(), now);
    }
    assert_eq!(limit.max_in_flight(), 60);
}

#[test]
fn the_limit_does_not_grow_while_it_is_not_used() {
    let now = Instant::now();
    let mut limit = ConcurrencyLimit::new(now);
    limit.set_bounds(60.0, 15.0);
    for _ in 0..2_000 {
        limit.on_answer(Duration::from_millis(10), 3, now);
    }
    assert_eq!(limit.max_in_flight(), 15);
}

#[test]
fn shed_requests_shrink_the_limit_to_the_fair_share_and_no_further() {
    let mut now = Instant::now();
    let mut limit = ConcurrencyLimit::new(now);
    limit.set_bounds(60.0, 15.0);
    for _ in 0..2_000 {
        limit.on_answer(Duration::from_millis(10), limit.max_in_flight(), now);
    }
    for _ in 0..100 {
        now += Duration::from_millis(20);
        limit.on_shed(now);
    }
    assert_eq!(limit.max_in_flight(), 15);
}

#[test]
fn requests_shed_at_the_same_time_shrink_the_limit_once() {
    let now = Instant::now();
    let mut limit = ConcurrencyLimit::new(now);
    limit.set_bounds(60.0, 15.0);
    for _ in 0..2_000 {
        limit.on_answer(Duration::from_millis(10), limit.max_in_flight(), now);
    }
    for _ in 0..50 {
        limit.on_shed(now);
    }
    assert_eq!(limit.max_in_flight(), 54);
}

#[test]
fn rising_latency_shrinks_the_limit() {
    let mut now = Instant::now();
    let mut limit = ConcurrencyLimit::new(now);
    limit.set_bounds(60.0, 15.0);
    for _ in 0..2_000 {
        limit.on_answer(Duration::from_millis(10), limit.max_in_flight(), now);
    }
    for _ in 0..40 {
        now += Duration::from_millis(50);
        limit.on_answer(Duration::from_millis(50), limit.max_in_flight(), now);
    }
    assert!(limit.max_in_flight() < 40, "{}", limit.max_in_flight());
}

#[test]
fn calls_of_repeats_take_credit_from_retries() {
    let mut budget = RetryBudget::new(2, 2);
    budget.charge_call(0.5);
    budget.charge_call(0.5);
    assert!(budget.spend(RetryReason::ServerError));
    assert!(!budget.covers(RetryReason::ServerError));
}

#[test]
fn debt_of_calls_is_paid_before_the_next_retry() {
    let mut budget = RetryBudget::new(0, 2);
    budget.charge_call(1.0);
    for _ in 0..10 {
        budget.earn();
    }
    assert!(!budget.covers(RetryReason::ServerError));
    budget.earn();
    budget.earn();
    assert!(budget.covers(RetryReason::ServerError));
}

#[test]
fn debt_is_bounded() {
    let mut budget = RetryBudget::new(0, 2);
    for _ in 0..100 {
        budget.charge_call(1.0);
    }
    for _ in 0..17 {
        budget.earn();
    }
    assert!(budget.covers(RetryReason::ServerError));
}
