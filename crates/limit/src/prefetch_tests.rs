//! Tests of single decisions of the [`Prefetcher`].

use std::sync::Arc;

use conf::Customer;
use smallvec::smallvec;

use super::*;

#[test]
fn a_request_that_gave_up_waiting_causes_no_demand() {
    // Arrange: half a token is held; a request waited for one and gave up.
    let now = Instant::now();
    let name: CustomerId = "c".into();
    let pools = TokenPools::new(now);
    pools.set_customers([&name].into_iter());
    let pool = pools.get(&name).expect("set above");
    pool.fill(0, 500, now + Duration::from_secs(1));
    let customer = Customer {
        name: name.clone(),
        rate: 5.0,
        burst: 10.0,
        priority: None,
        regions: conf::AllowedRegions::All,
    };
    let customers = Customers::from([(name.clone(), Arc::new(customer))]);
    let aggregator = "127.0.0.1:7000".parse().expect("an address");
    let source = Source {
        aggregator,
        cell: 0,
        pool_slot: 0,
        pending: None,
        counted_live: 0,
        pause_until: now,
        exhausted: None,
    };
    let mut active = ActiveCustomer::new(now, &pool);
    active.sources = smallvec![source];
    active.waiting_millitokens = 1_000;
    let aggregators = Aggregators::default();
    let context = PrefetchContext {
        now,
        pools: &pools,
        aggregators: &aggregators,
        region: "meseta",
        customers: &customers,
    };
    let mut demands = Demands::new();
    // Act
    request_tokens(&mut active, context, &name, &pool, 1, &mut demands);
    // Assert: a demand for nothing is granted at once, so that it would be sent again without end.
    assert!(demands.is_empty(), "{demands:?}");
}
