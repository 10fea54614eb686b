//! Measures the cost of one daemon's control kernel for various numbers of daemons and servers; prints CSV.
//!
//! `cargo test -p member --release --test slopes -- --ignored --nocapture`; `SLOPES=560:8500` picks sizes.

mod common;

use std::time::{Duration, Instant};

use common::{commit_head, places};
use fake::Fleet;

/// Simulated seconds in which the daemons find each other before the measurement.
const WARM_UP_S: u64 = 30;
/// Simulated seconds of the measurement.
const MEASURE_S: u64 = 10;

struct Size {
    daemons: usize,
    servers: usize,
}

fn sizes() -> Vec<Size> {
    let default = "4:0,15:0,30:0,60:0,60:150,60:300,60:900";
    let text = std::env::var("SLOPES").unwrap_or_else(|_| default.into());
    let parse = |pair: &str| {
        let (daemons, servers) = pair.split_once(':').unwrap();
        Size { daemons: daemons.parse().unwrap(), servers: servers.parse().unwrap() }
    };
    text.split(',').map(parse).collect()
}

fn announce_all(fleet: &mut Fleet, size: &Size) {
    for server in 0..size.servers {
        let at = server % size.daemons;
        announce_without_waiting(fleet, at, server);
    }
}

fn announce_without_waiting(fleet: &mut Fleet, at: usize, server: usize) {
    let service = server % 420;
    let load = (server % 10) as f64 / 10.0;
    let body = format!(
        r#"{{"service":"service-{service}","addr":"127.0.0.9:80","place":{{"region":"meseta","data_centre":"barva"}},
        "slots":6,"connections":400,"load":{load},"state":"ready"}}"#
    );
    fleet.call(at, "PUT", &format!("/v1/servers/server-{server:05}"), &body);
}

fn rss_mb() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: f64 = statm.split(' ').nth(1).unwrap().parse().unwrap();
    pages * 4096.0 / 1e6
}

fn measure(size: &Size, store_down: bool) -> String {
    let rss_before = rss_mb();
    let near = size.daemons.div_ceil(2);
    let mut fleet = Fleet::new(11, &places(near, size.daemons - near));
    commit_head(&mut fleet, 1);
    for second in 0..WARM_UP_S + MEASURE_S {
        if second == WARM_UP_S {
            break;
        }
        announce_all(&mut fleet, size);
        fleet.run_for(Duration::from_secs(1));
    }
    fleet.store.down = store_down;
    for _ in 0..5 {
        announce_all(&mut fleet, size);
        fleet.run_for(Duration::from_secs(1));
    }
    let before: Vec<_> = (0..size.daemons).map(|i| fleet.cost(i)).collect();
    let reads = fleet.store.reads;
    let started = Instant::now();
    for _ in 0..MEASURE_S {
        announce_all(&mut fleet, size);
        fleet.run_for(Duration::from_secs(1));
    }
    let elapsed = started.elapsed().as_secs_f64();
    let per_s = MEASURE_S as f64;
    let mut bytes: Vec<_> =
        (0..size.daemons).map(|i| (fleet.cost(i).bytes_sent - before[i].bytes_sent) as f64 / per_s).collect();
    bytes.sort_by(f64::total_cmp);
    let messages: u64 =
        (0..size.daemons).map(|i| fleet.cost(i).messages_sent - before[i].messages_sent).sum();
    let known = fleet.kernel(size.daemons - 1).unwrap().board();
    format!(
        "{},{},{store_down},{:.0},{:.0},{:.1},{:.2},{:.2},{:.1},{},{}",
        size.daemons,
        size.servers,
        bytes[bytes.len() / 2],
        bytes[bytes.len() - 1],
        messages as f64 / per_s / size.daemons as f64,
        100.0 * elapsed / per_s / size.daemons as f64,
        (rss_mb() - rss_before) / size.daemons as f64,
        (fleet.store.reads - reads) as f64 / per_s,
        known.members.len() + 1,
        known.servers.len(),
    )
}

#[test]
#[ignore = "a measurement"]
fn slopes() {
    println!(
        "daemons,servers,store_down,bytes_s_median,bytes_s_max,messages_s,cpu_percent,memory_mb,reads_s,members_seen,servers_seen"
    );
    for size in sizes() {
        for store_down in [false, true] {
            println!("{}", measure(&size, store_down));
        }
    }
}
