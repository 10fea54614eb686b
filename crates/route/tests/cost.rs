//! Tests of [`CostEstimator`] and [`SpeedEstimator`].

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use route::cost::{CostEstimator, RunEstimate, SpeedEstimator};
use rstest::rstest;

const ROUTE: u32 = 7;
const OBJECTIVE: Duration = Duration::from_secs(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An estimator that has recorded `runs` run times that `draw` returns in milliseconds.
fn recorded(runs: usize, mut draw: impl FnMut(&mut SmallRng) -> f64) -> CostEstimator {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut costs = CostEstimator::default();
    for _ in 0..runs {
        costs.record(ROUTE, Duration::from_secs_f64(draw(&mut rng) / 1_000.0));
    }
    costs
}

fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// A request would be declined as too late, or a slow route flooded, if an unknown route cost nothing.
#[test]
fn a_route_without_runs_costs_a_part_of_its_objective() {
    let estimate = CostEstimator::default().estimate(ROUTE, OBJECTIVE);
    assert!(estimate.mean() > OBJECTIVE / 10 && estimate.mean() < OBJECTIVE, "{estimate:?}");
}

/// Guards against rounding to the bounds of buckets.
#[test]
fn equal_runs_have_their_time_as_mean_and_no_spread() {
    let estimate = recorded(100, |_| 130.0).estimate(ROUTE, OBJECTIVE);
    assert!(estimate.mean().abs_diff(ms(130)) < ms(1), "{estimate:?}");
    assert!(estimate.spread() < ms(5), "{estimate:?}");
}

/// Guards against taking a long run of a route with a heavy tail for nearly finished.
#[test]
fn a_long_run_of_a_heavy_tailed_route_takes_longer_still_than_a_new_one() {
    let costs = recorded(500, |rng| if rng.random_bool(0.1) { 1_000.0 } else { 50.0 });
    let estimate = costs.estimate(ROUTE, OBJECTIVE);
    assert!(estimate.remaining(ms(300)) > estimate.mean() * 2, "{estimate:?}");
}

/// Guards against taking a run of a route with even costs for as long as a new one.
#[test]
fn an_almost_finished_run_of_an_even_route_takes_a_small_part_still() {
    let estimate = recorded(500, |rng| rng.random_range(90.0..110.0)).estimate(ROUTE, OBJECTIVE);
    assert!(estimate.remaining(ms(75)) < ms(40), "{estimate:?}");
}

/// Exponential run times have no memory. Guards against errors in the sums over partly passed buckets.
#[rstest]
#[case::half_of_the_mean(100)]
#[case::the_mean(200)]
#[case::twice_the_mean(400)]
fn an_exponential_run_takes_as_long_still_as_a_new_one(#[case] elapsed_ms: u64) {
    let mut sum = 0.0;
    let mut costs = CostEstimator::default();
    let mut rng = SmallRng::seed_from_u64(1);
    for n in 0..4_000 {
        costs.record(ROUTE, Duration::from_secs_f64(exponential(&mut rng, 200.0) / 1_000.0));
        if n % 40 == 39 {
            sum += costs.estimate(ROUTE, OBJECTIVE).remaining(ms(elapsed_ms)).as_secs_f64() * 1_000.0;
        }
    }
    // 32 runs hold about four that last for twice the mean.
    let mean = sum / 100.0;
    assert!((140.0..260.0).contains(&mean), "{mean}");
}

/// A hung run holds its slot; it must not seem to end soon.
#[test]
fn a_run_far_beyond_all_others_is_expected_to_take_as_long_again() {
    let estimate = recorded(500, |rng| rng.random_range(90.0..110.0)).estimate(ROUTE, OBJECTIVE);
    assert!(estimate.remaining(ms(5_000)) > ms(4_000), "{estimate:?}");
}

/// Guards against an estimate that stays with costs of hours ago.
#[test]
fn a_change_of_cost_is_followed_within_a_hundred_runs() {
    let mut costs = recorded(10_000, |rng| exponential(rng, 50.0));
    for _ in 0..100 {
        costs.record(ROUTE, ms(400));
    }
    let mean = costs.estimate(ROUTE, OBJECTIVE).mean();
    assert!(mean > ms(360), "{mean:?}");
}

/// Guards against memory that grows with names of routes that come and go.
#[test]
fn the_routes_remembered_are_bounded_and_the_recent_ones_kept() {
    let mut costs = CostEstimator::default();
    for route in 0..100_000 {
        costs.record(route, ms(50));
        costs.record(ROUTE, ms(130));
    }
    assert!(costs.routes() <= 16_384, "{}", costs.routes());
    assert!(costs.recorded(ROUTE).is_some());
    assert!(costs.recorded(99_999).is_some());
}

/// Estimates are copied for every request that waits.
#[test]
fn an_estimate_is_small() {
    assert!(size_of::<RunEstimate>() <= 64);
}

#[test]
fn a_server_without_runs_is_as_fast_as_others() {
    assert!((SpeedEstimator::default().slowness() - 1.0).abs() < f64::EPSILON);
}

/// Guards against a server that drew expensive requests first being avoided.
#[test]
fn one_expensive_run_hardly_changes_the_speed() {
    let mut speed = SpeedEstimator::default();
    speed.record(ms(500), ms(100));
    assert!(speed.slowness() < 2.0, "{}", speed.slowness());
}

/// Guards against avoiding a server for one run that hung.
#[test]
fn one_hung_run_does_not_make_a_server_seem_much_slower() {
    let mut speed = SpeedEstimator::default();
    for _ in 0..200 {
        speed.record(ms(100), ms(100));
    }
    speed.record(ms(30_000), ms(100));
    assert!(speed.slowness() < 2.0, "{}", speed.slowness());
}

#[rstest]
#[case::slow(400, 4.0)]
#[case::fast(50, 0.5)]
fn the_speed_is_learned_from_runs(#[case] took_ms: u64, #[case] slowness: f64) {
    let mut speed = SpeedEstimator::default();
    for _ in 0..200 {
        speed.record(ms(took_ms), ms(100));
    }
    assert!((speed.slowness() / slowness - 1.0).abs() < 0.2, "{}", speed.slowness());
}

#[test]
fn the_speed_is_kept_within_bounds() {
    let mut speed = SpeedEstimator::default();
    for _ in 0..200 {
        speed.record(ms(100_000), ms(10));
    }
    assert!(speed.slowness() <= 16.0, "{}", speed.slowness());
}

/// Cost and speed are learned from the same runs, and only their product is observed. Guards against both
/// drifting apart: halved costs and twice the slowness explain all runs as well.
#[test]
fn cost_and_speed_return_to_an_average_speed_of_one() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut costs = CostEstimator::default();
    let mut speeds: [SpeedEstimator; 8] = Default::default();
    for n in 0..8_000 {
        let factor = if n < 2_000 { 1.0 } else { 4.0 };
        let took = Duration::from_secs_f64(exponential(&mut rng, 0.1) * factor);
        let speed = &mut speeds[n % 8];
        if let Some(cost) = costs.learned_mean(ROUTE) {
            speed.record(took, cost);
        }
        costs.record(ROUTE, took.div_f64(speed.slowness()));
    }
    let mean = speeds.iter().map(SpeedEstimator::slowness).sum::<f64>() / 8.0;
    assert!((0.7..1.4).contains(&mean), "{mean}");
}
