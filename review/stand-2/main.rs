//! Stand-ins and cases of the second review.

mod behind;
mod cases;
mod crowd;
mod daemon;
mod http;
mod json;
mod outage;
mod refusal;
mod restore;
mod server;
mod slow;
mod starve;
mod store;
mod upload;
mod world;

fn main() {
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let record = args.next().unwrap_or_else(|| "/dev/null".into());
    let run = match case.as_str() {
        "behind" => behind::run,
        "crowd" => crowd::run,
        "outage" => outage::run,
        "refusal" => refusal::run,
        "restore" => restore::run,
        "starve" => starve::run,
        "slow" => slow::run,
        "upload" => upload::run,
        _ => {
            eprintln!("no case {case:?}");
            std::process::exit(world::NOT_RUN);
        }
    };
    // A run ends the process itself. It returns only by a panic, after which its daemons have been ended.
    let _panicked = std::panic::catch_unwind(|| run(&record));
    std::process::exit(world::NOT_RUN);
}
