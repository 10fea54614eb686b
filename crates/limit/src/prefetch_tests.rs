//! The taker's single decisions.

use std::sync::Arc;

use conf::Customer;
use smallvec::smallvec;

use super::*;

#[test]
fn a_wait_that_ended_makes_no_demand() {
    // Arrange: half a token held, and a request that waited for one and gave up.
    let now = Instant::now();
    let name: CustomerId = "c".into();
    let pools = Pools::new(now);
    pools.set_customers([&name].into_iter());
    let pool = pools.get(&name).expect("set above");
    pool.fill(0, 500, now + Duration::from_secs(1));
    let customer = Customer { name: name.clone(), rate: 5.0, burst: 10.0, rank: None };
    let customers = Customers::from([(name.clone(), Arc::new(customer))]);
    let from = "127.0.0.1:7000".parse().expect("an address");
    let source = Source { from, cell: 0, lot: 0, pending: None, counted: 0, pause_until: now, dry: None };
    let mut active = Active::new(now, &pool);
    active.sources = smallvec![source];
    active.waiting = 1_000;
    let owners = Aggregators::default();
    let around = Around { now, pools: &pools, owners: &owners, region: "meseta", customers: &customers };
    let mut demands = Demands::new();
    // Act
    ask(&mut active, around, &name, &pool, 1, &mut demands);
    // Assert: a demand for nothing is granted at once, so it would follow itself without end.
    assert!(demands.is_empty(), "{demands:?}");
}
