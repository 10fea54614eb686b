//! A stream that tells when its peer has closed it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Cancels a token when a read returns end of file or any operation fails. The HTTP/2 connection tells its requests
/// of this only later.
#[derive(Debug)]
pub(crate) struct EndedStream {
    stream: TcpStream,
    ended: CancellationToken,
}

impl EndedStream {
    pub(crate) fn new(stream: TcpStream, ended: CancellationToken) -> Self {
        Self { stream, ended }
    }

    fn check<T>(&self, result: io::Result<T>) -> Poll<io::Result<T>> {
        if result.is_err() {
            self.ended.cancel();
        }
        Poll::Ready(result)
    }
}

impl AsyncRead for EndedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        if buf.filled().len() == before && buf.remaining() > 0 {
            self.ended.cancel();
        }
        self.check(result)
    }
}

impl AsyncWrite for EndedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        self.check(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs));
        self.check(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = ready!(Pin::new(&mut self.stream).poll_flush(cx));
        self.check(result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = ready!(Pin::new(&mut self.stream).poll_shutdown(cx));
        self.check(result)
    }
}
