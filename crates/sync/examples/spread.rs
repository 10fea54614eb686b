//! Measures how long the change of one customer takes to be in force at every daemon of a simulated fleet,
//! and how many chunks daemons get from each other and from the store. The argument is the number of
//! daemons.
//!
//! `cargo run --release -p sync --example spread -- 60` prints key=value lines.

use std::fmt::Write as _;
use std::time::Duration;

use fake::Fleet;
use member as _;
use sync as _;

const PLACES: [(&str, &str); 4] =
    [("meseta", "paraiso"), ("meseta", "barva"), ("guanacaste", "canas"), ("guanacaste", "santa-cruz")];
const CUSTOMERS: usize = 2_000;
const CHANGES: u64 = 10;
/// Resolution of the measured times.
const RESOLUTION: Duration = Duration::from_millis(5);
/// Quiet time between changes.
const PAUSE: Duration = Duration::from_secs(5);

fn source() -> String {
    let mut text = String::new();
    for n in 0..CUSTOMERS {
        let _ = write!(text, "[[customer]]\nname = \"customer-{n}\"\nrate = 10\nburst = 10\n");
    }
    text
}

fn is_in_force_everywhere(fleet: &Fleet, version: u64) -> bool {
    (0..fleet.daemon_count()).all(|n| fleet.view(n).conf.as_ref().is_some_and(|c| c.version >= version))
}

/// Advances virtual time until all daemons have the version in force, at most 20 s; returns the milliseconds.
fn ms_until_in_force(fleet: &mut Fleet, version: u64) -> u128 {
    let from = fleet.now();
    while !is_in_force_everywhere(fleet, version) && fleet.now() < from + Duration::from_secs(20) {
        fleet.run_for(RESOLUTION);
    }
    (fleet.now() - from).as_millis()
}

/// Sum of a counter of the configuration area over all daemons.
fn sum_counter(fleet: &mut Fleet, counter: &str) -> u64 {
    let daemons = fleet.daemon_count();
    let mut status = |n| fleet.call_and_wait(n, "GET", "/v1/status", "").map(|rep| rep.body);
    (0..daemons).filter_map(|n| status(n)?["areas"]["sync"][counter].as_u64()).sum()
}

fn main() {
    let count: usize = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(16);
    let places: Vec<_> = PLACES.iter().copied().cycle().take(count).collect();
    let mut fleet = Fleet::new(7, &places);
    fleet.run_for(PAUSE);
    let rep = fleet.call_and_wait(0, "PUT", "/v1/config", &source()).expect("an answer");
    assert_eq!(rep.status, 200, "{}", rep.body);
    println!("daemons={count} first_ms={}", ms_until_in_force(&mut fleet, 1));
    fleet.run_for(PAUSE);

    let (peers, store) =
        (sum_counter(&mut fleet, "chunks_from_peers"), sum_counter(&mut fleet, "chunks_from_store"));
    let mut worst = 0;
    for n in 0..CHANGES {
        let body = format!(r#"{{"name":"customer-{n}","rate":{},"burst":10}}"#, n + 20);
        let path = format!("/v1/customers/customer-{n}");
        let at = n as usize * 7 % count;
        let rep = fleet.call_and_wait(at, "PUT", &path, &body).expect("an answer");
        assert_eq!(rep.status, 200, "{}", rep.body);
        worst = worst.max(ms_until_in_force(&mut fleet, n + 2));
        fleet.run_for(PAUSE);
    }
    let peers = sum_counter(&mut fleet, "chunks_from_peers") - peers;
    let store = sum_counter(&mut fleet, "chunks_from_store") - store;
    println!("in_force_ms.max={worst} chunks_from_peers={peers} chunks_from_store={store} changes={CHANGES}");
}
