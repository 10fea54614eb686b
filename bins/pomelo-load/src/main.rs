//! `pomelo-load`: sends open-loop HTTP load, reports latencies and answers, and checks orders against the
//! servers' ledgers.

mod answer;
mod caller;
mod ledger;
mod plan;
mod report;
mod run;
mod schedule;

use std::process::ExitCode;
use std::sync::Arc;

use plan::Plan;

fn main() -> ExitCode {
    env_logger::init();
    let plan = match plan::read_plan() {
        Ok(Some(plan)) => Arc::new(plan),
        Ok(None) => {
            println!("{}", plan::HELP);
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("pomelo-load: {e}; see --help");
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let finished = runtime.expect("a runtime starts").block_on(run::send_load(Arc::clone(&plan)));
    match write_results(&plan, &finished) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pomelo-load: {e}; name files that can be read or written");
            ExitCode::FAILURE
        }
    }
}

/// Prints the results and writes the files that the plan names.
fn write_results(
    plan: &Plan,
    finished: &[answer::FinishedRequest],
) -> Result<(), Box<dyn std::error::Error>> {
    report::print_results(plan, finished);
    if plan.streams.iter().any(|s| s.orders) {
        let runs = ledger::read_ledgers(&plan.ledgers)?;
        ledger::print_counts(&ledger::compare_orders(finished, &runs));
    }
    if let Some(path) = &plan.csv {
        report::write_csv(path, plan, finished)?;
    }
    if let Some(path) = &plan.svg {
        report::write_svg(path, plan, finished)?;
    }
    Ok(())
}
