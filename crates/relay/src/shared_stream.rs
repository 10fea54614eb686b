//! A caller's stream of which hyper has one handle and the connection's task another.
//!
//! hyper doesn't read a connection while bytes of a pipelined request are in its buffer, so it doesn't notice
//! that the caller has left. The second handle tells.

use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// One of several handles of a stream. Only one of them may read and write.
#[derive(Clone, Debug)]
pub struct SharedStream(Rc<TcpStream>);

impl SharedStream {
    /// Creates the first handle.
    pub fn new(stream: TcpStream) -> Self {
        Self(Rc::new(stream))
    }

    /// Whether the peer has closed its side and all that it sent has been read. Errors of the socket count as
    /// a close.
    pub fn is_closed_by_peer(&self) -> bool {
        let mut buf = [MaybeUninit::uninit(); 1];
        match SockRef::from(&*self.0).peek(&mut buf) {
            Ok(len) => len == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read.map(|len| buf.advance(len))),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

impl SharedStream {
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}
