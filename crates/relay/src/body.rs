//! Bodies of answers, either complete in memory or streamed while they arrive.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker, ready};
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::sleep_until;

use crate::body_memory::ReservedMemory;
use crate::slot::RunningRequest;

/// Stated length above which an answer is streamed by the daemon beside the server. That daemon buffers any
/// other answer until it is complete, so that a request whose answer breaks off can be run elsewhere.
pub const STREAM_THRESHOLD_BYTES: u64 = 64 * 1024;
/// Largest body that is buffered. A body without a stated length is never streamed, because only its end
/// shows that it is complete; it fails if it is larger than this.
pub const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// Why a streamed body ended early.
#[derive(Debug, Display, Error)]
pub enum BodyError {
    /// The sender broke off.
    #[display("answer body broke off: {source}; send the request again")]
    Broken {
        /// Error of the connection.
        source: hyper::Error,
    },
    /// The body had not ended by its deadline.
    #[display("answer body not complete at the deadline; request less data or allow more time")]
    Overdue,
}

/// Body of an answer.
#[derive(Debug)]
pub enum Body {
    /// Complete in memory.
    Whole(WholeBody),
    /// Streamed while it arrives.
    Streamed(Streamed),
}

impl Body {
    /// Creates a body of these bytes.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(WholeBody { full: Full::new(bytes.into()), memory: None })
    }

    /// Creates a body of these bytes, for which `memory` stays reserved until the body is sent or dropped.
    pub(crate) fn whole_in(bytes: Bytes, memory: ReservedMemory) -> Self {
        Self::Whole(WholeBody { full: Full::new(bytes), memory: Some(Rc::new(memory)) })
    }

    /// What the body takes of the daemon until it is sent.
    pub(crate) fn resources(&self) -> BodyResources {
        match self {
            Body::Whole(whole) => BodyResources { memory: whole.memory.clone(), source: Weak::new() },
            Body::Streamed(streamed) => {
                BodyResources { memory: streamed.memory.clone(), source: Rc::downgrade(&streamed.source) }
            }
        }
    }

    /// Creates a body that is streamed from the server until `until` at the latest. `run`, the request that it
    /// answers, ends with the body.
    pub(crate) fn streamed(incoming: Incoming, run: RunningRequest, until: Instant) -> Self {
        Self::Streamed(Streamed::new(incoming, Some(run), None, until))
    }

    /// Creates a body that is streamed from another daemon until `until` at the latest. `memory` is reserved for what
    /// arrives before it is sent, and stays so until the body is sent or dropped.
    pub(crate) fn relayed(incoming: Incoming, memory: Option<ReservedMemory>, until: Instant) -> Self {
        Self::Streamed(Streamed::new(incoming, None, memory, until))
    }
}

/// What a body takes of the daemon.
#[derive(Debug, Default)]
pub struct BodyResources {
    memory: Option<Rc<ReservedMemory>>,
    source: Weak<RefCell<BodySource>>,
}

impl BodyResources {
    /// Whether memory is reserved for the body.
    pub(crate) fn has_memory(&self) -> bool {
        self.memory.is_some()
    }

    /// Whether the request that the body answers occupies a slot of the server beside the daemon.
    pub(crate) fn has_slot(&self) -> bool {
        self.source.upgrade().is_some_and(|source| source.borrow().run.is_some())
    }
}

/// A body that is complete in memory.
#[derive(Debug)]
pub struct WholeBody {
    full: Full<Bytes>,
    /// Memory that is reserved for `full`, if it is counted.
    memory: Option<Rc<ReservedMemory>>,
}

/// A body that is streamed from a server or another daemon.
#[derive(Debug)]
pub struct Streamed {
    source: Rc<RefCell<BodySource>>,
    /// Memory that is reserved for what arrives before it is sent, if it is counted.
    memory: Option<Rc<ReservedMemory>>,
    /// Task that aborts the body at its deadline, even while nobody reads it.
    deadline_task: AbortHandle,
}

/// State of a streamed body, shared by its reader and the task that aborts it.
#[derive(Debug)]
struct BodySource {
    /// `None` once the body was aborted.
    incoming: Option<Incoming>,
    /// The request at the local server, until the body has ended; `None` if the body comes from another
    /// daemon.
    run: Option<RunningRequest>,
    /// Waker of the reader while it waits for the sender.
    reader: Option<Waker>,
}

impl Streamed {
    fn new(
        incoming: Incoming,
        run: Option<RunningRequest>,
        memory: Option<ReservedMemory>,
        until: Instant,
    ) -> Self {
        let source = Rc::new(RefCell::new(BodySource { incoming: Some(incoming), run, reader: None }));
        let overdue = Rc::clone(&source);
        let deadline_task = spawn_local(async move {
            sleep_until(until.into()).await;
            overdue.borrow_mut().abort_overdue();
        });
        Self { source, memory: memory.map(Rc::new), deadline_task: deadline_task.abort_handle() }
    }
}

impl Drop for Streamed {
    fn drop(&mut self) {
        self.deadline_task.abort();
    }
}

impl BodySource {
    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Some(incoming) = &mut self.incoming else {
            return Poll::Ready(Some(Err(BodyError::Overdue)));
        };
        self.reader = Some(cx.waker().clone());
        let frame = ready!(Pin::new(&mut *incoming).poll_frame(cx));
        self.reader = None;
        match &frame {
            // The last frame counts as the end: a reader that knows the length doesn't poll again.
            Some(Ok(_)) if incoming.is_end_stream() => self.finish_run(true),
            None => self.finish_run(true),
            Some(Err(_)) => self.finish_run(false),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame.map(|frame| frame.map_err(|source| BodyError::Broken { source })))
    }

    /// Ends the body at its deadline. This counts as a failure of the server only if the reader is waiting
    /// for a frame; otherwise the reader is slow.
    fn abort_overdue(&mut self) {
        self.incoming = None;
        match self.reader.take() {
            Some(reader) => {
                self.finish_run(false);
                reader.wake();
            }
            None => self.run = None,
        }
    }

    fn finish_run(&mut self, is_whole: bool) {
        if let Some(run) = self.run.take() {
            run.finish(is_whole, Instant::now());
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Body::Whole(whole) => Pin::new(&mut whole.full).poll_frame(cx).map_err(|never| match never {}),
            Body::Streamed(streamed) => streamed.source.borrow_mut().poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Whole(whole) => whole.full.is_end_stream(),
            Body::Streamed(streamed) => {
                streamed.source.borrow().incoming.as_ref().is_some_and(Incoming::is_end_stream)
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(whole) => whole.full.size_hint(),
            Body::Streamed(streamed) => {
                streamed.source.borrow().incoming.as_ref().map(Incoming::size_hint).unwrap_or_default()
            }
        }
    }
}

/// Why a body could not be buffered.
#[derive(Debug, Display, Error)]
pub enum BufferError {
    /// The body ended early, or before its stated length.
    #[display("body broke off before its end; send it again")]
    Broken,
    /// The body is larger than the limit.
    #[display("body larger than the limit of {limit} bytes; send a smaller one")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// Other bodies take too much memory.
    #[display("no memory for the body now; send it again later")]
    NoMemory,
}

/// Reads a whole body into memory.
///
/// # Errors
/// Fails if the body breaks off or is larger than `limit` bytes.
pub async fn buffer_body<B>(body: B, limit: usize) -> Result<Bytes, BufferError>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    collect_body(body, limit, |_arrived, _capacity| true).await
}

/// Reads a whole body into memory. Asks `may_take` before it takes more memory, with the bytes that have arrived and
/// the sum of memory in bytes.
///
/// # Errors
/// Fails if the body breaks off, is larger than `limit` bytes, or may not take the memory that it needs.
pub(crate) async fn collect_body<B>(
    mut body: B,
    limit: usize,
    mut may_take: impl FnMut(usize, usize) -> bool,
) -> Result<Bytes, BufferError>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    // An answer to a HEAD request states the length of a body that it doesn't have.
    let stated_bytes = body.size_hint().exact().filter(|_| !body.is_end_stream());
    let stated_bytes = stated_bytes.map(|stated| usize::try_from(stated).unwrap_or(usize::MAX));
    if stated_bytes.is_some_and(|stated| stated > limit) {
        return Err(BufferError::TooLarge { limit });
    }
    if !may_take(0, stated_bytes.unwrap_or(0)) {
        return Err(BufferError::NoMemory);
    }
    let mut buffered = BytesMut::with_capacity(stated_bytes.unwrap_or(0));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_broken| BufferError::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        if buffered.len() + data.len() > limit {
            return Err(BufferError::TooLarge { limit });
        }
        buffered.reserve(data.len());
        if !may_take(buffered.len() + data.len(), buffered.capacity()) {
            return Err(BufferError::NoMemory);
        }
        buffered.extend_from_slice(&data);
    }
    // hyper ends the body of an HTTP/2 stream without an error if the sender resets the stream with `NO_ERROR`.
    if stated_bytes.is_some_and(|stated| stated != buffered.len()) {
        return Err(BufferError::Broken);
    }
    Ok(buffered.freeze())
}
