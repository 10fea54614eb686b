//! Replays of a server that is short of slots, without a network: a burst of one kind of request, a hot customer, and
//! both. Compares orders of waiting requests by what callers get.

mod replay;

use replay::schedulers::{FirstCome, FirstDue, Queue, Scheduler};
use replay::{CUSTOMERS, Load, Outcome, replay};
use rstest::rstest;

/// Seeds of each replay; the figures are means.
const SEEDS: std::ops::Range<u64> = 1..3;
/// Customer that sends many times its share.
const HOT: usize = 0;

const BURST: Load = Load { burst: 0.9, hot: 0.0 };
const HOT_CUSTOMER: Load = Load { burst: 0.0, hot: 1.0 };
const BOTH: Load = Load { burst: 0.9, hot: 1.0 };

/// Part of what a customer gets without a hot neighbour that it must get with one.
const MIN_PART_WITH_HOT_NEIGHBOUR: f64 = 0.95;
/// Part of its max-min fair share of the slots that each customer must get.
const MIN_SHARE: f64 = 0.9;
/// Most requests, as a part of all, that may be refused too late to be answered elsewhere before their deadline.
const MAX_LATE_REFUSALS: f64 = 0.01;
/// Most slot time that may be free while requests wait.
const MAX_IDLE: f64 = 0.001;
/// Part of the worth of an order without shares that must be served when no customer takes more than others.
const MIN_PART_OF_FIRST_DUE: f64 = 0.95;
/// Part of the worth of the same order with known run times that must be served.
const MIN_PART_OF_ALL_KNOWING: f64 = 0.85;

/// Replays a load with all seeds and prints what callers got.
fn replay_all<S: Scheduler>(name: &str, load: Load, make: impl Fn() -> S) -> Outcome {
    let outcome = Outcome::sum(SEEDS.map(|seed| replay(load, seed, make())));
    let Load { burst, hot } = load;
    let (worst, share) = outcome.worst_share();
    println!(
        "burst={burst} hot={hot} order={name} worth={:.3} worst_share={share:.3} of={worst} \
         late_for_objective={:.3} late_for_deadline={:.3} idle={:.4} used={:.3}",
        outcome.worth(),
        outcome.late_for_objective(),
        outcome.late_for_deadline(),
        outcome.idle(),
        outcome.used(),
    );
    outcome
}

fn first_due(load: Load) -> Outcome {
    replay_all("first-due", load, FirstDue::default)
}

fn by_shares(load: Load) -> Outcome {
    replay_all("shares", load, || Queue::new(false))
}

/// Bounds that hold for any load.
#[rstest]
#[case::burst(BURST)]
#[case::hot_customer(HOT_CUSTOMER)]
#[case::both(BOTH)]
fn each_customer_gets_its_share_and_no_refusal_is_useless(#[case] load: Load) {
    let first_come = replay_all("first-come", load, FirstCome::default);
    let knowing = replay_all("all-knowing", load, || Queue::new(true));
    let now = by_shares(load);

    assert!(now.worst_share().1 >= MIN_SHARE, "{:?}", now.worst_share());
    assert!(now.late_for_deadline() <= MAX_LATE_REFUSALS, "{}", now.late_for_deadline());
    assert!(now.idle() <= MAX_IDLE, "{}", now.idle());
    assert!(now.worth() >= first_come.worth(), "{} {}", now.worth(), first_come.worth());
    assert!(now.worth() >= MIN_PART_OF_ALL_KNOWING * knowing.worth(), "{} {}", now.worth(), knowing.worth());
}

// Guards against a customer that is served worse because another sends too much.
#[rstest]
#[case::alone(HOT_CUSTOMER)]
#[case::in_a_burst(BOTH)]
fn a_customer_within_its_share_is_served_as_well_with_a_hot_neighbour(#[case] load: Load) {
    let without = by_shares(Load { hot: 0.0, ..load });
    let before = first_due(load);
    let with = by_shares(load);

    for customer in (0..CUSTOMERS).filter(|customer| *customer != HOT) {
        let (without, before) = (without.worth_of(customer), before.worth_of(customer));
        let with = with.worth_of(customer);
        println!("customer={customer} without={without:.3} first_due={before:.3} shares={with:.3}");
        assert!(with >= MIN_PART_WITH_HOT_NEIGHBOUR * without, "customer {customer}: {with} {without}");
    }
}

// Guards against shares that cost callers more than they bring when all customers send in proportion to their rates.
#[test]
fn shares_cost_little_when_no_customer_is_hot() {
    let before = first_due(BURST);
    let now = by_shares(BURST);
    assert!(now.worth() >= MIN_PART_OF_FIRST_DUE * before.worth(), "{} {}", now.worth(), before.worth());
}
