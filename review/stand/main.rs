//! Stand-ins and scenarios of the review's cases: `stand CASE FOLDER`. `TROUBLE=0` leaves the disruption out.

mod fleet;
mod http;
mod json;
mod store;

mod departure;
mod pipeline;
mod service;
mod uploads;

use std::path::Path;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, dir] = &args[..] else { fleet::cannot_run("usage: stand CASE FOLDER") };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match case.as_str() {
        "departure-stop" => departure::run_stop(Path::new(dir), trouble),
        "departure-outage" => departure::run_outage(Path::new(dir), trouble),
        "odd-heartbeat" => departure::run_odd_heartbeat(Path::new(dir), trouble),
        "odd-service" => service::run(Path::new(dir), trouble),
        "break-off" => pipeline::run(Path::new(dir), trouble),
        "uploads" => uploads::run(Path::new(dir), trouble),
        _ => fleet::cannot_run("no such case"),
    }
}
