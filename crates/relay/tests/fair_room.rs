//! Requests of several customers that wait for the slots of one server.

mod common;

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{Act, Backend, SERVICE, eventually, fleet, on_one_thread};
use conf::compile::SnapshotParts;
use conf::{AllowedRegions, CallerLimits, Customer, KeyHasher, Snapshot};
use relay::handoff::{DeclineReason, Handoff, Repetition, RunError};
use relay::header_names::HeaderNames;
use relay::local_server::LocalServer;
use relay::registration::Heartbeat;
use tokio::task::{JoinHandle, spawn_local};

/// Run time of each request in milliseconds.
const RUN_MS: u64 = 40;

/// A configuration with these customers and their rates.
fn conf_with(customers: &[(&str, f64)]) -> Snapshot {
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
    parts.into_snapshot(1).expect("the test's configuration is valid")
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

/// Number of the requests of customer `b` among the first `count` that get one of `slots` slots, if customers `a`
/// and then `b` have four waiting requests each.
async fn starts_of_b(server: &Rc<LocalServer>, backend: &Backend, slots: usize, count: usize) -> usize {
    for n in 0..slots {
        run(server, handoff(None));
        eventually(|| server.request_count() == n + 1).await;
    }
    for customer in ["a", "a", "a", "a", "b", "b", "b", "b"] {
        run(server, handoff(Some(customer)));
    }
    eventually(|| backend.seen.borrow().len() == slots + 8).await;
    let seen = backend.seen.borrow();
    seen.iter().skip(slots).take(count).filter(|seen| seen.headers["x-customer"] == "b").count()
}

/// [`starts_of_b`] at a server with one slot.
async fn starts_of_b_with(conf: Option<Snapshot>, count: usize) -> usize {
    let backend = Backend::start(&[Act::After(RUN_MS)]).await;
    let server = local_server(&backend);
    if let Some(conf) = conf {
        server.set_conf(Arc::new(conf));
    }
    starts_of_b(&server, &backend, 1, count).await
}

// Guards against weights that don't reach the queue.
#[test]
fn a_customer_of_twice_the_rate_has_twice_the_starts() {
    on_one_thread(async {
        assert_eq!(starts_of_b_with(Some(conf_with(&[("a", 10.0), ("b", 20.0)])), 6).await, 4);
    });
}

// Guards against weights that are used the wrong way round.
#[test]
fn a_customer_of_a_third_of_the_rate_has_a_third_of_the_starts() {
    on_one_thread(async {
        assert_eq!(starts_of_b_with(Some(conf_with(&[("a", 30.0), ("b", 10.0)])), 4).await, 1);
    });
}

// Guards against a customer that a daemon without its configuration serves last.
#[test]
fn customers_without_a_known_rate_share_equally() {
    on_one_thread(async {
        assert_eq!(starts_of_b_with(None, 4).await, 2);
    });
}

// Guards against requests that learn only from a timeout that a more urgent one has made them too late.
#[test]
fn a_request_that_will_not_start_in_time_is_declined_at_once() {
    on_one_thread(async {
        let backend = Backend::start(&[Act::After(3_000)]).await;
        let server = local_server(&backend);
        run(&server, handoff(None));
        eventually(|| server.request_count() == 1).await;
        // Runs are expected to take 300 ms, so that this one can start until 850 ms from now.
        let waits = run(&server, Handoff { deadline_left: Duration::from_secs(1), ..handoff(Some("a")) });
        eventually(|| server.request_count() == 2).await;
        for _ in 0..3 {
            run(&server, Handoff { priority: 0, ..handoff(Some("b")) });
        }

        let (error, took) = waits.await.expect("the request ends");
        let Some(RunError::Declined { reason: DeclineReason::Busy, free_in }) = error else {
            panic!("{error:?}")
        };
        assert!(took < Duration::from_millis(200), "{took:?}");
        assert!(free_in > Duration::from_millis(850), "{free_in:?}");
        assert_eq!(server.request_count(), 4);
    });
}

// Guards against an urgent request that is refused because less urgent ones have filled the queue.
#[test]
fn a_more_urgent_request_displaces_one_in_a_full_queue_which_is_told_at_once() {
    on_one_thread(async {
        let backend = Backend::start(&[Act::After(3_000)]).await;
        let server = local_server(&backend);
        run(&server, handoff(None));
        eventually(|| server.request_count() == 1).await;
        let mut waiting: Vec<_> = (0..8).map(|_| run(&server, handoff(Some("a")))).collect();
        eventually(|| server.request_count() == 9).await;
        let urgent = run(&server, Handoff { priority: 0, ..handoff(Some("b")) });

        let last = waiting.pop().expect("eight requests wait");
        let (error, took) = last.await.expect("the request ends");
        assert!(matches!(error, Some(RunError::Declined { reason: DeclineReason::Busy, .. })), "{error:?}");
        assert!(took < Duration::from_millis(200), "{took:?}");
        assert!(!urgent.is_finished());
        assert_eq!(server.request_count(), 9);
    });
}

// Guards against waiting requests that aren't told that they are too late because the next request is declined.
#[test]
fn a_declined_request_shows_a_waiting_one_that_it_is_too_late() {
    on_one_thread(async {
        let backend = Backend::start(&[Act::After(3_000)]).await;
        let server = local_server(&backend);
        run(&server, handoff(None));
        eventually(|| server.request_count() == 1).await;
        let waits = run(&server, Handoff { deadline_left: Duration::from_secs(1), ..handoff(Some("a")) });
        // The run has taken more than twice the expected time and no slot is expected for 475 ms.
        tokio::time::sleep(Duration::from_millis(700)).await;
        let refused =
            run(&server, Handoff { deadline_left: Duration::from_millis(100), ..handoff(Some("b")) });

        refused.await.expect("the request ends").0.expect("it can't be finished in time");
        let (error, took) = waits.await.expect("the request ends");
        assert!(matches!(error, Some(RunError::Declined { reason: DeclineReason::Busy, .. })), "{error:?}");
        assert!(took < Duration::from_millis(850), "{took:?}");
    });
}

// Guards against a daemon that adopts a configuration and goes on with the weights of none.
#[test]
fn an_adopted_configuration_sets_the_weights() {
    on_one_thread(async {
        let conf = |_: &KeyHasher| conf_with(&[("a", 1.0), ("b", 1_000.0)]);
        let fleet = fleet(&[&[Act::After(RUN_MS)]], conf).await;
        let daemon = &fleet.daemons[0];
        // With equal weights it would be two.
        assert_eq!(starts_of_b(&daemon.node.local_server, &daemon.backend, 2, 4).await, 3);
    });
}
