//! Inspects the raw heads of HTTP/1.1 requests for two body lengths and for lines that end without a carriage
//! return. hyper accepts them silently, and a server might understand them differently (request smuggling).

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Longest head that is inspected; hyper refuses longer ones.
const MAX_INSPECTED_HEAD_BYTES: usize = 128 * 1024;
/// Bytes that end a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Position of the inspection in a connection's bytes.
#[derive(Debug)]
enum State {
    /// In a head, of which these bytes arrived so far.
    Head(Vec<u8>),
    /// In a body of known length, of which this many bytes are still to come.
    Body(u64),
    /// The rest of the connection is not inspected: after a chunked body, an HTTP/2 preface, an ambiguous
    /// head or one that is too long.
    Done,
}

/// Follows the framing of the requests on one connection and detects ambiguous heads.
#[derive(Debug)]
pub struct FramingCheck {
    state: State,
}

/// What a head says about the length of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyLength {
    Known(u64),
    Chunked,
    Ambiguous,
}

impl Default for FramingCheck {
    fn default() -> Self {
        Self { state: State::Head(Vec::new()) }
    }
}

impl FramingCheck {
    /// Inspects the next bytes of the connection; true: a head among them is ambiguous.
    pub fn feed(&mut self, bytes: &[u8]) -> bool {
        self.feed_heads(bytes, |_head, _length| {})
    }

    /// As [`feed`](Self::feed), and calls `on_head` with each complete head and the length of its body, which
    /// is `None` for a chunked one.
    fn feed_heads(&mut self, mut bytes: &[u8], mut on_head: impl FnMut(&[u8], Option<u64>)) -> bool {
        while !bytes.is_empty() {
            match &mut self.state {
                State::Done => return false,
                State::Body(left) => {
                    let part = (*left).min(bytes.len() as u64);
                    *left -= part;
                    bytes = &bytes[part as usize..];
                    if *left == 0 {
                        self.state = State::Head(Vec::new());
                    }
                }
                State::Head(head) => {
                    let before = head.len();
                    head.reserve_exact(bytes.len());
                    head.extend_from_slice(bytes);
                    let from = before.saturating_sub(HEAD_END.len() - 1);
                    let end = head[from..].windows(HEAD_END.len()).position(|w| w == HEAD_END);
                    let end = end.map(|at| from + at + HEAD_END.len());
                    if has_bare_line_feed(&head[..end.unwrap_or(head.len())]) {
                        return true;
                    }
                    let Some(end) = end else {
                        if head.len() > MAX_INSPECTED_HEAD_BYTES {
                            self.state = State::Done;
                        }
                        return false;
                    };
                    bytes = &bytes[end - before..];
                    let length = body_length(&head[..end]);
                    match length {
                        BodyLength::Ambiguous => return true,
                        BodyLength::Known(n) => on_head(&head[..end], Some(n)),
                        BodyLength::Chunked => on_head(&head[..end], None),
                    }
                    self.state = match length {
                        BodyLength::Known(0) => State::Head(Vec::new()),
                        BodyLength::Known(n) => State::Body(n),
                        BodyLength::Ambiguous | BodyLength::Chunked => State::Done,
                    };
                }
            }
        }
        false
    }
}

/// Whether a line ends without a carriage return, on which HTTP implementations differ.
fn has_bare_line_feed(head: &[u8]) -> bool {
    head.first() == Some(&b'\n') || head.windows(2).any(|w| w[1] == b'\n' && w[0] != b'\r')
}

fn body_length(head: &[u8]) -> BodyLength {
    // HTTP/2 frames state their own lengths; like a chunked body, the preface ends the inspection.
    if head.starts_with(b"PRI * HTTP/2.0") {
        return BodyLength::Chunked;
    }
    let mut known = None;
    let mut chunked = false;
    for line in head.split(|b| *b == b'\n').skip(1) {
        let mut parts = line.splitn(2, |b| *b == b':');
        let name = parts.next().unwrap_or_default().trim_ascii();
        let value = parts.next().unwrap_or_default().trim_ascii();
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            chunked = true;
        }
        if name.eq_ignore_ascii_case(b"content-length") {
            let number = std::str::from_utf8(value).ok().and_then(|v| v.parse().ok());
            match (known, number) {
                (None, Some(n)) => known = Some(n),
                _ => return BodyLength::Ambiguous,
            }
        }
    }
    match (known, chunked) {
        (Some(_), true) => BodyLength::Ambiguous,
        (None, true) => BodyLength::Chunked,
        (known, false) => BodyLength::Known(known.unwrap_or(0)),
    }
}

/// Called with each complete head that arrives and the length of its body (`None` if the body is chunked).
pub type OnHead = Box<dyn FnMut(&[u8], Option<u64>)>;

/// A caller's stream that detects ambiguous request heads.
#[derive(Debug)]
pub struct InspectedStream<S = TcpStream> {
    stream: S,
    framing: FramingCheck,
    ambiguous: Arc<AtomicBool>,
}

/// An [`InspectedStream`] that also hands each complete head to an observer as soon as it arrives.
#[derive(derive_more::Debug)]
pub struct ObservedStream<S = TcpStream> {
    inner: InspectedStream<S>,
    #[debug(skip)]
    on_head: OnHead,
}

impl<S> ObservedStream<S> {
    /// Wraps `stream`; sets `ambiguous` before the bytes of an ambiguous head are passed on.
    pub fn new(stream: S, ambiguous: Arc<AtomicBool>, on_head: OnHead) -> Self {
        Self { inner: InspectedStream::new(stream, ambiguous), on_head }
    }

    /// The bare stream, without inspection and observer.
    pub fn into_inner(self) -> S {
        self.inner.stream
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ObservedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Self { inner, on_head } = &mut *self;
        inner.poll_inspected(cx, buf, on_head)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ObservedStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.stream.is_write_vectored()
    }
}

impl<S> InspectedStream<S> {
    /// Wraps `stream`; sets `ambiguous` before the bytes of an ambiguous head are passed on.
    pub fn new(stream: S, ambiguous: Arc<AtomicBool>) -> Self {
        Self { stream, framing: FramingCheck::default(), ambiguous }
    }
}

impl<S: AsyncRead + Unpin> InspectedStream<S> {
    fn poll_inspected(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        on_head: impl FnMut(&[u8], Option<u64>),
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if polled.is_ready() && self.framing.feed_heads(&buf.filled()[before..], on_head) {
            self.ambiguous.store(true, Relaxed);
            self.framing.state = State::Done;
        }
        polled
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for InspectedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_inspected(cx, buf, |_head, _length| {})
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for InspectedStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

#[cfg(test)]
#[path = "framing_tests.rs"]
mod tests;
