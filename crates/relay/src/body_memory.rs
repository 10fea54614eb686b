//! Bounds the memory that bodies of requests and buffered answers take, over all requests of a daemon.
//!
//! Callers may send many large bodies at once, each within the operators' limit. A daemon over the memory of its
//! instance is killed, with all requests that it serves; so a body that doesn't fit is refused instead.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Body as HttpBody;

use crate::body::{BufferError, collect_body};

/// Time without progress after which an upload holds only as much memory as has arrived of it, if memory is short.
const STALLED_AFTER: Duration = Duration::from_secs(1);

/// Memory for bodies of requests and buffered answers.
#[derive(Debug)]
pub struct BodyMemory {
    /// Bytes that no request has reserved.
    free: Cell<usize>,
    /// Bodies that callers are sending, and some that have ended.
    uploads: RefCell<Vec<Weak<Upload>>>,
}

impl BodyMemory {
    /// Memory for `bytes` bytes of bodies.
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(Self { free: Cell::new(bytes), uploads: RefCell::default() })
    }

    /// Reserves `bytes` bytes; `None` if they are not free.
    pub(crate) fn reserve(self: &Rc<Self>, bytes: usize) -> Option<ReservedMemory> {
        let reserved = ReservedMemory::none(self);
        reserved.grow_to(bytes).then_some(reserved)
    }

    /// Whether `bytes` bytes are free, or become so by taking back what uploads that have stalled don't use.
    pub(crate) fn has_room(&self, bytes: usize) -> bool {
        if self.free.get() < bytes {
            self.reclaim(Instant::now());
        }
        bytes <= self.free.get()
    }

    /// Bytes that are free now.
    pub fn free(&self) -> usize {
        self.free.get()
    }

    /// Takes back what uploads that have stalled don't use.
    fn reclaim(&self, now: Instant) {
        let mut uploads = self.uploads.borrow_mut();
        uploads.retain(|upload| upload.strong_count() > 0);
        for upload in uploads.iter().filter_map(Weak::upgrade) {
            if now.saturating_duration_since(upload.progress_at.get()) >= STALLED_AFTER {
                upload.reserved.shrink_to(upload.arrived.get());
            }
        }
    }

    fn begin_upload(self: &Rc<Self>) -> Rc<Upload> {
        let upload = Rc::new(Upload {
            reserved: ReservedMemory::none(self),
            arrived: Cell::new(0),
            progress_at: Cell::new(Instant::now()),
        });
        let mut uploads = self.uploads.borrow_mut();
        if uploads.len() == uploads.capacity() {
            uploads.retain(|upload| upload.strong_count() > 0);
        }
        uploads.push(Rc::downgrade(&upload));
        upload
    }
}

/// Memory that one request has reserved. Dropping it frees the memory.
#[derive(Debug)]
pub struct ReservedMemory {
    memory: Rc<BodyMemory>,
    bytes: Cell<usize>,
}

impl ReservedMemory {
    fn none(memory: &Rc<BodyMemory>) -> Self {
        Self { memory: Rc::clone(memory), bytes: Cell::new(0) }
    }

    /// Reserves as much as is missing to `bytes`; false if that is not free.
    fn grow_to(&self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes.get());
        if !self.memory.has_room(missing) {
            return false;
        }
        self.memory.free.set(self.memory.free.get() - missing);
        self.bytes.set(self.bytes.get() + missing);
        true
    }

    /// Moves all that is reserved to a new owner.
    fn take(&self) -> Self {
        Self { memory: Rc::clone(&self.memory), bytes: Cell::new(self.bytes.take()) }
    }

    /// Frees what exceeds `bytes`.
    fn shrink_to(&self, bytes: usize) {
        let excess = self.bytes.get().saturating_sub(bytes);
        self.bytes.set(self.bytes.get() - excess);
        self.memory.free.set(self.memory.free.get() + excess);
    }
}

impl Drop for ReservedMemory {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// A body that a caller is sending. Its whole stated length is reserved, but what has not arrived can be taken back.
#[derive(Debug)]
struct Upload {
    reserved: ReservedMemory,
    /// Bytes that have arrived.
    arrived: Cell<usize>,
    /// When bytes last arrived.
    progress_at: Cell<Instant>,
}

impl Upload {
    /// Records that `arrived` bytes have arrived, and reserves as much as is missing to `bytes`; false if that is not
    /// free.
    fn advance(&self, arrived: usize, bytes: usize) -> bool {
        self.arrived.set(arrived);
        self.progress_at.set(Instant::now());
        self.reserved.grow_to(bytes)
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
    let reserved = ReservedMemory::none(memory);
    let bytes = collect_body(body, limit, |_arrived, capacity| reserved.grow_to(capacity)).await?;
    Ok((bytes, reserved))
}

/// As [`buffer_in_memory`], for a body that a caller is sending. If memory is short while the caller pauses, the body
/// holds only what has arrived of it, and the rest is refused unless there is room again.
///
/// # Errors
/// As [`buffer_in_memory`].
pub(crate) async fn buffer_upload<B>(
    body: B,
    limit: usize,
    memory: &Rc<BodyMemory>,
) -> Result<(Bytes, ReservedMemory), BufferError>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    if body.is_end_stream() {
        return Ok((Bytes::new(), ReservedMemory::none(memory)));
    }
    let upload = memory.begin_upload();
    let bytes = collect_body(body, limit, |arrived, capacity| upload.advance(arrived, capacity)).await?;
    Ok((bytes, upload.reserved.take()))
}
