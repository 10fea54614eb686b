//! Compares what callers were told about their orders with the runs in the ledgers that the servers wrote. An
//! order is a request with an id of its own that must not run more than once.

use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use crate::answer::FinishedRequest;

/// Counts of orders by what their callers were told and whether the orders ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderCounts {
    /// Orders sent.
    pub orders: u64,
    /// Orders that ran more than once.
    pub doubled: u64,
    /// Orders that were answered with success but did not run.
    pub lost: u64,
    /// Orders of which the caller was told that they did not run although they did.
    pub false_not_run: u64,
    /// Orders of which the caller was not told whether they ran.
    pub unknown: u64,
}

/// Counts the runs of each order in the servers' ledgers; a ledger that does not exist holds no runs.
///
/// # Errors
/// Fails if a ledger can't be read.
pub fn read_ledgers(paths: &[PathBuf]) -> std::io::Result<HashMap<Box<str>, u32>> {
    let mut runs = HashMap::new();
    for path in paths.iter().filter(|p| p.exists()) {
        for line in BufReader::new(std::fs::File::open(path)?).lines() {
            *runs.entry(line?.into()).or_default() += 1;
        }
    }
    Ok(runs)
}

/// Compares the answers to orders with the runs of those orders.
pub fn compare_orders(finished: &[FinishedRequest], runs: &HashMap<Box<str>, u32>) -> OrderCounts {
    let mut counts = OrderCounts::default();
    for request in finished {
        let Some(order) = &request.order else { continue };
        let ran = runs.get(order).copied().unwrap_or(0);
        counts.orders += 1;
        counts.doubled += u64::from(ran > 1);
        if request.answer.is_success() {
            counts.lost += u64::from(ran == 0);
        } else if request.answer.says_not_run() {
            counts.false_not_run += u64::from(ran > 0);
        } else {
            counts.unknown += 1;
        }
    }
    counts
}

/// Prints the counts as `key=value` lines.
pub fn print_counts(counts: &OrderCounts) {
    println!("orders={}", counts.orders);
    println!("doubled={}", counts.doubled);
    println!("lost={}", counts.lost);
    println!("false_not_run={}", counts.false_not_run);
    println!("unknown={}", counts.unknown);
}

#[cfg(test)]
#[path = "ledger_tests.rs"]
mod tests;
