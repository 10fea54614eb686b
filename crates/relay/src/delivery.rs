//! Tracks how much of an answer has left the daemon on its caller's connection.
//!
//! hyper buffers what the socket doesn't accept, and flushes the stream only once that buffer is empty. So a
//! write without a later flush means that part of the answer is still held in this process.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use derive_more::{Debug, Display};
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::body::BodyResources;

/// What was missing of an answer when its connection ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum MissingPart {
    /// The body had not ended.
    #[display("body-broken")]
    Body,
    /// The body had ended, but not all bytes were written to the socket.
    #[display("unsent")]
    Unsent,
}

/// The last answer on a connection.
#[derive(Clone, Debug)]
pub struct LastAnswer {
    /// Id of the request, as shown in logs.
    pub id: Box<str>,
    /// Status code of the answer.
    pub status: u16,
    /// Length of the body, if known.
    pub bytes: Option<u64>,
}

/// Progress of the answers on one connection.
#[derive(Debug, Default)]
pub struct Delivery {
    last_answer: RefCell<Option<LastAnswer>>,
    /// Whether hyper has taken the whole body of the last answer.
    is_body_whole: Cell<bool>,
    /// Whether anything was written since the last flush.
    has_unsent: Cell<bool>,
    /// Bytes written to the socket since the last answer began.
    bytes_written: Cell<u64>,
    /// When bytes were last written.
    written_at: Cell<Option<Instant>>,
    /// Since when the last answer has made no progress, unless it has been sent.
    stalled_since: Cell<Option<Instant>>,
    /// Called once the last answer has been sent.
    #[debug(skip)]
    on_sent: RefCell<Option<Box<dyn FnOnce()>>>,
    /// What the body of the last answer takes of the daemon, until it has been sent.
    resources: RefCell<BodyResources>,
}

impl Delivery {
    /// Records the beginning of an answer, whose body takes `resources`. `has_body` is false for the answer to a
    /// HEAD request.
    pub fn begin(&self, answer: LastAnswer, has_body: bool, resources: BodyResources) {
        self.resources.replace(resources);
        self.is_body_whole.set(!has_body || answer.bytes == Some(0));
        self.last_answer.replace(Some(answer));
        self.bytes_written.set(0);
    }

    /// Sets what is done once the answer that has just begun has been sent.
    pub fn on_sent(&self, done: impl FnOnce() + 'static) {
        self.on_sent.replace(Some(Box::new(done)));
    }

    /// The last answer and its missing part; `None` if the answer was sent completely.
    pub fn cut_answer(&self) -> Option<(LastAnswer, MissingPart)> {
        let missing = self.missing_part()?;
        self.last_answer.borrow().clone().map(|answer| (answer, missing))
    }

    /// Whether all answers so far have been written to the socket.
    pub fn is_sent(&self) -> bool {
        self.last_answer.borrow().is_none() || self.missing_part().is_none()
    }

    /// Whether an answer has been written to the socket, and nothing is missing of it.
    pub(crate) fn has_sent(&self) -> bool {
        self.last_answer.borrow().is_some() && self.is_sent()
    }

    /// What is missing of the last answer, if anything.
    fn missing_part(&self) -> Option<MissingPart> {
        if !self.is_body_whole.get() {
            return Some(MissingPart::Body);
        }
        self.has_unsent.get().then_some(MissingPart::Unsent)
    }

    /// When bytes were last written to the socket; `None` if there was no answer.
    pub fn last_written_at(&self) -> Option<Instant> {
        self.written_at.get()
    }

    /// Since when the caller has not read more of the last answer; `None` if the answer has been sent or has not
    /// begun.
    pub fn stalled_since(&self) -> Option<Instant> {
        self.stalled_since.get()
    }

    /// Whether memory is reserved for the last answer.
    pub(crate) fn holds_memory(&self) -> bool {
        self.resources.borrow().has_memory()
    }

    /// Whether the request of the last answer occupies a slot of the server beside the daemon.
    pub(crate) fn holds_slot(&self) -> bool {
        self.resources.borrow().has_slot()
    }

    /// Bytes written to the socket since the last answer began, head included.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written.get()
    }

    fn record_flush(&self) {
        self.has_unsent.set(false);
        self.stalled_since.set(None);
        if self.is_body_whole.get() {
            self.resources.take();
            if let Some(done) = self.on_sent.take() {
                done();
            }
        }
    }

    fn record_write(&self, polled: &Poll<io::Result<usize>>) {
        self.has_unsent.set(true);
        if self.stalled_since.get().is_none() || polled.is_ready() {
            self.stalled_since.set(Some(Instant::now()));
        }
        if let Poll::Ready(Ok(len)) = polled {
            self.bytes_written.set(self.bytes_written.get() + *len as u64);
            self.written_at.set(Some(Instant::now()));
        }
    }
}

/// A stream that records its writes in a [`Delivery`].
#[derive(Debug)]
pub struct TrackedStream<S> {
    #[debug(skip)]
    stream: S,
    delivery: Rc<Delivery>,
}

impl<S> TrackedStream<S> {
    /// Records writes to `stream` in `delivery`.
    pub fn new(stream: S, delivery: Rc<Delivery>) -> Self {
        Self { stream, delivery }
    }

    /// Returns the stream, whose writes are no longer recorded.
    pub fn into_inner(self) -> S {
        self.stream
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TrackedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TrackedStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.delivery.record_write(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.delivery.record_flush();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.delivery.record_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// A body that records in a [`Delivery`] when hyper has taken all of it.
#[derive(Debug)]
pub struct TrackedBody<B: HttpBody> {
    body: B,
    delivery: Rc<Delivery>,
}

impl<B: HttpBody> TrackedBody<B> {
    /// Records in `delivery` when `body` ends.
    pub fn new(body: B, delivery: Rc<Delivery>) -> Self {
        Self { body, delivery }
    }
}

impl<B: HttpBody<Data = Bytes> + Unpin> HttpBody for TrackedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        // hyper doesn't poll a body beyond its stated length.
        let is_whole = match &polled {
            Poll::Ready(Some(Ok(_))) => self.body.is_end_stream() || self.body.size_hint().exact() == Some(0),
            Poll::Ready(None) => true,
            Poll::Ready(Some(Err(_))) | Poll::Pending => false,
        };
        if is_whole {
            self.delivery.is_body_whole.set(true);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
