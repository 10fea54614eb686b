//! Orders that ran. Written at the moment of effect, so that a crash of the server loses none.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, PoisonError};

/// Append-only list of orders, one line each.
#[derive(Debug)]
pub struct Ledger {
    file: Option<Mutex<File>>,
}

impl Ledger {
    /// Opens the ledger; without a path orders are not listed.
    ///
    /// # Errors
    /// Fails when the file can't be opened for appending.
    pub fn open(path: Option<&Path>) -> std::io::Result<Self> {
        let Some(path) = path else { return Ok(Self { file: None }) };
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Self { file: Some(Mutex::new(file)) })
    }

    /// Lists one run of an order.
    pub fn ran(&self, order: &str) {
        if let Some(file) = &self.file {
            let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
            let line = format!("{order}\n");
            // One write call for each line, so that lines of a dying process are whole.
            if let Err(e) = file.write_all(line.as_bytes()) {
                log::error!("order {order} ran but could not be listed: {e}");
            }
        }
    }
}
