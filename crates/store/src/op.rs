//! Operations on the store, their results and errors.

use base::StoreStamp;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Text of the row, JSON by convention.
    pub value: Box<str>,
    /// Version of the transaction that last wrote the row. Versions grow over the whole table.
    pub version: u64,
    /// Era of the answer from which the row was read; 0 from a store without eras.
    #[serde(default)]
    pub era: u64,
}

impl Row {
    /// Version of the row, with the era in which it is valid.
    pub fn stamp(&self) -> StoreStamp {
        StoreStamp { era: self.era, version: self.version }
    }
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: Box<str>,
    /// Version that the row must have; 0: it must not exist.
    pub version: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: Box<str>,
    /// New text; `None` deletes the row.
    pub value: Option<Box<str>>,
}

impl Write {
    /// Writes a row.
    pub fn put(key: &str, value: &str) -> Self {
        Self { key: key.into(), value: Some(value.into()) }
    }

    /// Deletes a row.
    pub fn delete(key: &str) -> Self {
        Self { key: key.into(), value: None }
    }
}

/// A transaction over several rows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// Conditions; all must hold.
    pub checks: Vec<Check>,
    /// Writes; all or none take effect.
    pub writes: Vec<Write>,
}

/// An operation on the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOp {
    /// Reads one row.
    Get {
        /// Key.
        key: Box<str>,
    },
    /// Reads all rows whose keys start with a prefix.
    Range {
        /// Prefix.
        prefix: Box<str>,
    },
    /// Executes a transaction.
    Commit(Commit),
    /// Reads an object.
    GetObject {
        /// Name.
        name: Box<str>,
    },
    /// Writes an object.
    PutObject {
        /// Name.
        name: Box<str>,
        /// Content.
        bytes: Vec<u8>,
    },
}

/// Result of an operation that succeeded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRep {
    /// The row, if it exists.
    Row(Option<Row>),
    /// Rows in key order.
    Rows(Vec<(Box<str>, Row)>),
    /// The transaction took effect.
    Committed {
        /// Version of the transaction.
        version: u64,
    },
    /// The object, if it exists.
    Object(Option<Vec<u8>>),
    /// The object is written.
    Stored,
}

/// Reason why an operation failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreError {
    /// The store was not reached, or answered 503: the operation had no effect.
    #[display("store unreachable; check --store and the platform's state")]
    Down,
    /// The request was sent, but no usable answer came: a write may have taken effect.
    #[display("store answer lost; re-read before repeating a write")]
    Ambiguous,
    /// A condition of the transaction does not hold; nothing was written.
    #[display("row {key} has version {present}; read it again and repeat the change on that version")]
    Conflict {
        /// Row whose condition failed.
        key: Box<str>,
        /// Present version of the row; 0: it does not exist.
        present: u64,
    },
    /// The answer is from before the store was restored: a write may be lost, a read may be outdated.
    #[display("the store's answer is of era {era}, but era {seen} has been seen; read again")]
    Outdated {
        /// Era of the answer.
        era: u64,
        /// Latest era seen.
        seen: u64,
    },
    /// The store refused the operation.
    #[display("store refused the operation: {problem}; check versions of daemon and platform")]
    Refused {
        /// Reason given by the store.
        problem: Box<str>,
    },
}
