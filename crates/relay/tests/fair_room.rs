//! Requests of several customers that wait for the slots of one server.

mod common;

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{Act, Backend, SERVICE, eventually, on_one_thread};
use conf::compile::SnapshotParts;
use conf::{AllowedRegions, CallerLimits, Customer, Snapshot};
use relay::handoff::{Handoff, Repetition, RunError};
use relay::header_names::HeaderNames;
use relay::local_server::LocalServer;
use relay::registration::Heartbeat;
use tokio::task::{JoinHandle, spawn_local};

/// Run time of each request in milliseconds.
const RUN_MS: u64 = 40;

/// A configuration with these customers and their rates.
fn conf_with(customers: &[(&str, f64)]) -> Arc<Snapshot> {
    let customer = |(name, rate): &(&str, f64)| Customer {
        name: (*name).into(),
        rate: *rate,
        burst: *rate,
        priority: None,
        regions: AllowedRegions::All,
    };
    let parts = SnapshotParts {
        services: Vec::new(),
        customers: customers.iter().map(customer).collect(),
        keys: Vec::new(),
        routes: Vec::new(),
        limits: CallerLimits::default(),
    };
    Arc::new(parts.into_snapshot(1).expect("the test's configuration is valid"))
}

/// A server with one slot.
fn local_server(backend: &Backend) -> Rc<LocalServer> {
    let now = Instant::now();
    let local_server = Rc::new(LocalServer::new(Rc::new(HeaderNames::default()), backend.addr, now));
    let heartbeat = Heartbeat {
        id: "server-1".into(),
        born: 1,
        sequence: 1,
        service: SERVICE.into(),
        slots: 1,
        draining: false,
        cold_for: Duration::ZERO,
    };
    local_server.apply_heartbeat(heartbeat, now);
    local_server
}

/// Hand-off of a request that can wait for a minute.
fn handoff(customer: Option<&str>) -> Handoff {
    Handoff {
        service: SERVICE.into(),
        customer: customer.map(Into::into),
        caller_service: SERVICE.into(),
        route_hash: 1,
        priority: 1,
        nested: false,
        repetition: Repetition::Allowed,
        allow_suspect: false,
        is_repeat: false,
        objective: Duration::from_secs(1),
        objective_left: Duration::from_mins(1),
        deadline_left: Duration::from_mins(2),
    }
}

/// Hands a request to the server; the result is the error, and the time until then.
fn run(server: &Rc<LocalServer>, handoff: Handoff) -> JoinHandle<(Option<RunError>, Duration)> {
    let (server, started) = (Rc::clone(server), Instant::now());
    let req = hyper::Request::get("/stock/a").header("host", "a").header("x-request-id", "r1");
    let req = req.body(bytes::Bytes::new()).expect("a request");
    spawn_local(async move {
        let result = server.run_request(&handoff, req).await;
        (result.err(), started.elapsed())
    })
}

/// Number of the requests of customer `b` among the first `count` that get a slot, if customers `a` and then `b` have
/// four waiting requests each.
async fn starts_of_b(conf: Option<Arc<Snapshot>>, count: usize) -> usize {
    let backend = Backend::start(&[Act::After(RUN_MS)]).await;
    let server = local_server(&backend);
    if let Some(conf) = conf {
        server.set_conf(conf);
    }
    run(&server, handoff(None));
    eventually(|| server.request_count() == 1).await;
    for customer in ["a", "a", "a", "a", "b", "b", "b", "b"] {
        run(&server, handoff(Some(customer)));
    }
    eventually(|| backend.seen.borrow().len() == 9).await;
    let seen = backend.seen.borrow();
    seen.iter().skip(1).take(count).filter(|seen| seen.headers["x-customer"] == "b").count()
}

// Guards against weights that don't reach the queue from the configuration.
#[test]
fn a_customer_of_twice_the_rate_has_twice_the_starts() {
    on_one_thread(async {
        assert_eq!(starts_of_b(Some(conf_with(&[("a", 10.0), ("b", 20.0)])), 6).await, 4);
    });
}

// Guards against weights that are used the wrong way round.
#[test]
fn a_customer_of_a_third_of_the_rate_has_a_third_of_the_starts() {
    on_one_thread(async {
        assert_eq!(starts_of_b(Some(conf_with(&[("a", 30.0), ("b", 10.0)])), 4).await, 1);
    });
}

// Guards against a customer that a daemon without its configuration serves last.
#[test]
fn customers_without_a_known_rate_share_equally() {
    on_one_thread(async {
        assert_eq!(starts_of_b(None, 4).await, 2);
    });
}
