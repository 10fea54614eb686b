//! Which connection is closed to make room for a new one.

use std::rc::Rc;
use std::time::{Duration, Instant};

use relay::connection_limit::{ConnectionLimit, OpenConnection, Phase, Shortage};
use relay::delivery::Delivery;

/// Whether the connection has been told to close.
fn is_evicted(open: &OpenConnection) -> bool {
    let mut cx = std::task::Context::from_waker(std::task::Waker::noop());
    std::pin::pin!(open.evicted()).poll(&mut cx).is_ready()
}

fn open(limit: &Rc<ConnectionLimit>, now: Instant) -> Option<OpenConnection> {
    limit.admit(Rc::new(Delivery::default()), Rc::default(), now)
}

// Guards against a crowd of silent connections that keeps new callers out.
#[test]
fn the_connection_that_has_waited_longest_makes_room() {
    let now = Instant::now();
    let limit = ConnectionLimit::new(2);
    let first = open(&limit, now).expect("there is room");
    let second = open(&limit, now + Duration::from_secs(1)).expect("there is room");
    let third = open(&limit, now + Duration::from_secs(2));
    assert!(third.is_some() && is_evicted(&first) && !is_evicted(&second));
}

// Guards against ordinary requests that are cut off for the sake of a crowd.
#[test]
fn a_request_that_is_served_is_not_closed_for_a_new_connection() {
    let now = Instant::now();
    let limit = ConnectionLimit::new(2);
    let served = open(&limit, now).expect("there is room");
    served.set_phase(Phase::Serving, now);
    let receiving = open(&limit, now).expect("there is room");
    receiving.set_phase(Phase::Receiving, now);
    let third = open(&limit, now).expect("the unfinished request makes room");
    third.set_phase(Phase::Serving, now);
    assert!(is_evicted(&receiving) && !is_evicted(&served));
    assert!(open(&limit, now).is_none());
    assert!(!limit.evict(Shortage::Memory, now + Duration::from_mins(1)));
}

#[test]
fn silent_connections_go_before_unfinished_requests() {
    let now = Instant::now();
    let limit = ConnectionLimit::new(2);
    let receiving = open(&limit, now).expect("there is room");
    receiving.set_phase(Phase::Receiving, now);
    let silent = open(&limit, now + Duration::from_secs(5)).expect("there is room");
    let third = open(&limit, now + Duration::from_secs(6));
    assert!(third.is_some() && is_evicted(&silent) && !is_evicted(&receiving));
}

#[test]
fn a_closed_connection_leaves_its_room() {
    let now = Instant::now();
    let limit = ConnectionLimit::new(1);
    drop(open(&limit, now));
    let next = open(&limit, now).expect("there is room");
    assert!(!is_evicted(&next));
}
