//! Bounds the memory that bodies of requests and buffered answers take, over all requests of a daemon.
//!
//! Callers may send many large bodies at once, each within the operators' limit. A daemon over the memory of its
//! instance is killed, with all requests that it serves; so a body that doesn't fit is refused instead.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use hyper::body::Body as HttpBody;

use crate::body::{BufferError, collect_body};

/// Memory for bodies of requests.
#[derive(Debug)]
pub struct BodyMemory {
    /// Bytes that no request has reserved.
    free: Cell<usize>,
}

impl BodyMemory {
    /// Memory for `bytes` bytes of bodies.
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(Self { free: Cell::new(bytes) })
    }

    /// Reserves `bytes` bytes; `None` if they are not free.
    pub(crate) fn reserve(self: &Rc<Self>, bytes: usize) -> Option<ReservedMemory> {
        let mut reserved = ReservedMemory::none(self);
        reserved.grow_to(bytes).then_some(reserved)
    }

    /// Bytes that are free now.
    pub fn free(&self) -> usize {
        self.free.get()
    }
}

/// Memory that one request has reserved. Dropping it frees the memory.
#[derive(Debug)]
pub struct ReservedMemory {
    memory: Rc<BodyMemory>,
    bytes: usize,
}

impl ReservedMemory {
    fn none(memory: &Rc<BodyMemory>) -> Self {
        Self { memory: Rc::clone(memory), bytes: 0 }
    }

    /// Reserves as much as is missing to `bytes`; false if that is not free.
    fn grow_to(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        let Some(free) = self.memory.free.get().checked_sub(missing) else { return false };
        self.memory.free.set(free);
        self.bytes += missing;
        true
    }
}

impl Drop for ReservedMemory {
    fn drop(&mut self) {
        self.memory.free.set(self.memory.free.get() + self.bytes);
    }
}

/// Reads the whole body of a request or an answer, in memory that stays reserved as long as the second result is kept. A body
/// of stated length is refused before any of it is read.
///
/// # Errors
/// Fails if the body breaks off, is larger than `limit` bytes, or doesn't fit into the memory that is free.
pub async fn buffer_in_memory<B>(
    body: B,
    limit: usize,
    memory: &Rc<BodyMemory>,
) -> Result<(Bytes, ReservedMemory), BufferError>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    let mut reserved = ReservedMemory::none(memory);
    let bytes = collect_body(body, limit, |capacity| reserved.grow_to(capacity)).await?;
    Ok((bytes, reserved))
}
