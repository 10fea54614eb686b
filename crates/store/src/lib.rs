//! The platform's store (a transactional table service and an object store): operations, traits, HTTP
//! client, in-memory model.
//!
//! Operations and their results are plain values, [`StoreOp`] and [`StoreRep`]: the control kernel returns
//! the one and takes the other as input, so that it stays free of I/O.
//!
//! ```
//! use store::{Commit, MemStore, StoreOp, StoreRep, Write};
//!
//! let mut mem = MemStore::default();
//! let commit = Commit { checks: vec![], writes: vec![Write::put("fleet/head", "1")] };
//! assert!(matches!(mem.apply(&StoreOp::Commit(commit)), Ok(StoreRep::Committed { .. })));
//! ```

pub mod client;
pub mod mem;
pub mod op;

use async_trait::async_trait;
use base::StoreStamp;

pub use client::HttpStore;
pub use mem::MemStore;
pub use op::{Check, Commit, Row, StoreError, StoreOp, StoreRep, Write};

/// The transactional table service.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads one row.
    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError>;
    /// Reads the rows whose keys start with `prefix`, in key order.
    async fn range(&self, prefix: &str) -> Result<Vec<(Box<str>, Row)>, StoreError>;
    /// Checks and writes several rows in one transaction; returns its version and the era.
    async fn commit(&self, commit: &Commit) -> Result<StoreStamp, StoreError>;
}

/// The object store.
#[async_trait]
pub trait Objects: Send + Sync {
    /// Reads an object.
    async fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError>;
    /// Writes an object. Idempotent, since the names of objects are digests of their content.
    async fn put_object(&self, name: &str, bytes: &[u8]) -> Result<(), StoreError>;
}

/// Executes one operation through the traits.
///
/// # Errors
/// Returns the error of the operation.
pub async fn execute_op<S: Table + Objects + ?Sized>(
    store: &S,
    op: &StoreOp,
) -> Result<StoreRep, StoreError> {
    match op {
        StoreOp::Get { key } => store.get(key).await.map(StoreRep::Row),
        StoreOp::Range { prefix } => store.range(prefix).await.map(StoreRep::Rows),
        StoreOp::Commit(commit) => {
            store.commit(commit).await.map(|stamp| StoreRep::Committed { version: stamp.version })
        }
        StoreOp::GetObject { name } => store.get_object(name).await.map(StoreRep::Object),
        StoreOp::PutObject { name, bytes } => store.put_object(name, bytes).await.map(|()| StoreRep::Stored),
    }
}
