//! In-memory model of the store, for the stand-in servers and for tests.

use std::collections::BTreeMap;

use crate::op::{Commit, Row, StoreError, StoreOp, StoreRep};

/// Rows and objects in memory. Like the real store, it checks all conditions of a transaction before it
/// writes anything.
#[derive(Clone, Debug, Default)]
pub struct MemStore {
    rows: BTreeMap<Box<str>, Row>,
    objects: BTreeMap<Box<str>, Vec<u8>>,
    /// Version of the last transaction; grows by one with each transaction.
    version: u64,
}

impl MemStore {
    /// Executes one operation.
    ///
    /// # Errors
    /// Fails with a conflict when a condition of a transaction does not hold.
    pub fn apply(&mut self, op: &StoreOp) -> Result<StoreRep, StoreError> {
        match op {
            StoreOp::Get { key } => Ok(StoreRep::Row(self.rows.get(key).cloned())),
            StoreOp::Range { prefix } => Ok(StoreRep::Rows(self.range(prefix))),
            StoreOp::Commit(commit) => self.commit(commit).map(|version| StoreRep::Committed { version }),
            StoreOp::GetObject { name } => Ok(StoreRep::Object(self.objects.get(name).cloned())),
            StoreOp::PutObject { name, bytes } => {
                self.objects.insert(name.clone(), bytes.clone());
                Ok(StoreRep::Stored)
            }
        }
    }

    fn range(&self, prefix: &str) -> Vec<(Box<str>, Row)> {
        let from: Box<str> = prefix.into();
        let rows = self.rows.range(from..).take_while(|(k, _)| k.starts_with(prefix));
        rows.map(|(k, r)| (k.clone(), r.clone())).collect()
    }

    fn commit(&mut self, commit: &Commit) -> Result<u64, StoreError> {
        for check in &commit.checks {
            let present = self.rows.get(&check.key).map_or(0, |r| r.version);
            if present != check.version {
                return Err(StoreError::Conflict { key: check.key.clone(), present });
            }
        }
        self.version += 1;
        for write in &commit.writes {
            match &write.value {
                Some(value) => {
                    let row = Row { value: value.clone(), version: self.version, era: 0 };
                    self.rows.insert(write.key.clone(), row);
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        Ok(self.version)
    }
}
