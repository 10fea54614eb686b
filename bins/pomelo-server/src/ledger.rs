//! The ledger: a file of the orders (requests that must not run more than once) that this server ran. An
//! order is written at the moment of its effect, so that a crash of the server loses none.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, PoisonError};

/// Append-only file with one line for each run of an order.
#[derive(Debug)]
pub struct Ledger {
    file: Option<Mutex<File>>,
}

impl Ledger {
    /// Opens the ledger; without a path, orders are not recorded.
    ///
    /// # Errors
    /// Fails when the file can't be opened for appending.
    pub fn open(path: Option<&Path>) -> std::io::Result<Self> {
        let Some(path) = path else { return Ok(Self { file: None }) };
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Self { file: Some(Mutex::new(file)) })
    }

    /// Records one run of an order.
    pub fn record_run(&self, order: &str) {
        if let Some(file) = &self.file {
            let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
            let line = format!("{order}\n");
            // The line is written in one call, so that a process that is killed leaves no partial line.
            if let Err(e) = file.write_all(line.as_bytes()) {
                log::error!("order {order} ran but could not be written to the ledger: {e}");
            }
        }
    }
}
