//! How much of an answer has left the daemon on its caller's connection.
//!
//! hyper buffers what the socket doesn't take. It flushes the stream below it only once that buffer is empty, so a
//! write without a later flush means that bytes are still held in this process.

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

/// How an answer stood when its connection ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Cut {
    /// Its body did not end.
    #[display("body-broken")]
    Body,
    /// Bytes of it had not been written to the socket.
    #[display("unsent")]
    Unsent,
}

/// The last answer on a connection.
#[derive(Clone, Debug)]
pub struct LastAnswer {
    /// Id of its request, as shown in logs.
    pub id: Box<str>,
    /// Status.
    pub status: u16,
    /// Length of its body, if that is known.
    pub bytes: Option<u64>,
}

/// State of the answers on one connection.
#[derive(Debug, Default)]
pub struct Delivery {
    last: RefCell<Option<LastAnswer>>,
    /// Whether the last answer's body has been handed over whole.
    is_body_whole: Cell<bool>,
    /// Whether something was written since the last flush.
    has_unsent: Cell<bool>,
    /// Bytes written to the socket since the last answer began.
    written: Cell<u64>,
    /// When the last of them were written.
    written_at: Cell<Option<Instant>>,
}

impl Delivery {
    /// Takes in that an answer begins; one to a HEAD request has no body to hand over.
    pub fn begin(&self, answer: LastAnswer, has_body: bool) {
        self.is_body_whole.set(!has_body || answer.bytes == Some(0));
        self.last.replace(Some(answer));
        self.written.set(0);
    }

    /// The last answer, if it was not sent whole, with how it stood.
    pub fn cut(&self) -> Option<(LastAnswer, Cut)> {
        let cut = self.missing_part()?;
        self.last.borrow().clone().map(|answer| (answer, cut))
    }

    /// Whether all answers so far have been written to the socket.
    pub fn is_sent(&self) -> bool {
        self.last.borrow().is_none() || self.missing_part().is_none()
    }

    /// What is missing of the last answer.
    fn missing_part(&self) -> Option<Cut> {
        if !self.is_body_whole.get() {
            return Some(Cut::Body);
        }
        self.has_unsent.get().then_some(Cut::Unsent)
    }

    /// When the last bytes were written to the socket; none if there were no answers.
    pub fn last_written(&self) -> Option<Instant> {
        self.written_at.get()
    }

    /// Bytes written to the socket since the last answer began, head included.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    fn record_write(&self, polled: &Poll<io::Result<usize>>) {
        self.has_unsent.set(true);
        if let Poll::Ready(Ok(len)) = polled {
            self.written.set(self.written.get() + *len as u64);
            self.written_at.set(Some(Instant::now()));
        }
    }
}

/// A stream whose writes are followed.
#[derive(Debug)]
pub struct TrackedStream<S> {
    #[debug(skip)]
    stream: S,
    delivery: Rc<Delivery>,
}

impl<S> TrackedStream<S> {
    /// Notes the writes to `stream` in `delivery`.
    pub fn new(stream: S, delivery: Rc<Delivery>) -> Self {
        Self { stream, delivery }
    }

    /// The stream, whose writes are no longer followed.
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
            self.delivery.has_unsent.set(false);
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

/// A body that tells whether it was handed over whole.
#[derive(Debug)]
pub struct TrackedBody<B: HttpBody> {
    body: B,
    delivery: Rc<Delivery>,
}

impl<B: HttpBody> TrackedBody<B> {
    /// Notes in `delivery` whether `body` ends.
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
        // hyper doesn't poll beyond a stated length.
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
