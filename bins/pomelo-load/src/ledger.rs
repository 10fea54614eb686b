//! Compares what callers were told about their orders with what the servers ran.

use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use crate::answer::Finished;

/// Result of the comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Orders sent.
    pub orders: u64,
    /// Orders that ran more than once.
    pub doubled: u64,
    /// Orders whose caller was told that they are done although they did not run.
    pub lost: u64,
    /// Orders whose caller was told that they did not run although they did.
    pub false_not_run: u64,
    /// Orders whose caller was told neither.
    pub unknown: u64,
}

/// Counts the runs of each order in the servers' ledgers.
///
/// # Errors
/// Fails when a ledger can't be read.
pub fn read(paths: &[PathBuf]) -> std::io::Result<HashMap<Box<str>, u32>> {
    let mut runs = HashMap::new();
    for path in paths.iter().filter(|p| p.exists()) {
        for line in BufReader::new(std::fs::File::open(path)?).lines() {
            *runs.entry(line?.into()).or_default() += 1;
        }
    }
    Ok(runs)
}

/// Compares answers with runs.
pub fn compare(finished: &[Finished], runs: &HashMap<Box<str>, u32>) -> Verdict {
    let mut verdict = Verdict::default();
    for one in finished {
        let Some(order) = &one.order else { continue };
        let ran = runs.get(order).copied().unwrap_or(0);
        verdict.orders += 1;
        verdict.doubled += u64::from(ran > 1);
        if one.answer.is_good() {
            verdict.lost += u64::from(ran == 0);
        } else if one.answer.says_not_run() {
            verdict.false_not_run += u64::from(ran > 0);
        } else {
            verdict.unknown += 1;
        }
    }
    verdict
}

/// Prints a verdict as `key=value` lines.
pub fn print(verdict: &Verdict) {
    println!("orders={}", verdict.orders);
    println!("doubled={}", verdict.doubled);
    println!("lost={}", verdict.lost);
    println!("false_not_run={}", verdict.false_not_run);
    println!("unknown={}", verdict.unknown);
}

#[cfg(test)]
#[path = "ledger_tests.rs"]
mod tests;
