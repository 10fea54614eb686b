//! Bodies of answers: whole in memory, or passed on while they come.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::sleep_until;

use crate::slot::RunningRequest;

/// Bodies up to this size are held until they are whole, so that a spoiled one can be fetched elsewhere.
pub const MAX_REPEATABLE_BYTES: u64 = 64 * 1024;
/// Largest body that is held at all. One without a stated length is never passed on, since only its end shows whether
/// it is an answer.
pub const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// Why a body that is passed on ended early.
#[derive(Debug, Display, Error)]
pub enum BodyError {
    /// The sender broke off.
    #[display("the body broke off: {source}; ask again")]
    Broken {
        /// What the connection said.
        source: hyper::Error,
    },
    /// It had not ended when it had to.
    #[display("the body did not end by the deadline; ask for less or with a later deadline")]
    Overdue,
}

/// Body of an answer.
#[derive(Debug)]
pub enum Body {
    /// All bytes are here.
    Whole(Full<Bytes>),
    /// Bytes come from elsewhere.
    Streamed(Streamed),
}

impl Body {
    /// A body of these bytes.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }

    /// A body that is passed on until `until`; the run of the request ends with it.
    pub(crate) fn streamed(incoming: Incoming, run: Option<RunningRequest>, until: Instant) -> Self {
        Self::Streamed(Streamed::new(incoming, run, until))
    }
}

/// A body whose bytes come from elsewhere.
#[derive(Debug)]
pub struct Streamed {
    source: Rc<RefCell<BodySource>>,
    /// Cuts the source off, also while nobody asks for the body.
    abort: AbortHandle,
}

/// Where a body comes from.
#[derive(Debug)]
struct BodySource {
    /// None once it was cut off.
    incoming: Option<Incoming>,
    /// The run at the server, until the body has ended.
    run: Option<RunningRequest>,
    /// Set while the reader waits for the sender.
    reader: Option<Waker>,
}

impl Streamed {
    fn new(incoming: Incoming, run: Option<RunningRequest>, until: Instant) -> Self {
        let source = Rc::new(RefCell::new(BodySource { incoming: Some(incoming), run, reader: None }));
        let late = Rc::clone(&source);
        let abort = spawn_local(async move {
            sleep_until(until.into()).await;
            late.borrow_mut().abort();
        });
        Self { source, abort: abort.abort_handle() }
    }
}

impl Drop for Streamed {
    fn drop(&mut self) {
        self.abort.abort();
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
            // The last bytes are the end: whoever knows the length does not ask again.
            Some(Ok(_)) if incoming.is_end_stream() => self.end(true),
            None => self.end(true),
            Some(Err(_)) => self.end(false),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame.map(|frame| frame.map_err(|source| BodyError::Broken { source })))
    }

    /// Ends the run; it is the server's failure only if the reader waits for it.
    fn abort(&mut self) {
        self.incoming = None;
        match self.reader.take() {
            Some(reader) => {
                self.end(false);
                reader.wake();
            }
            None => self.run = None,
        }
    }

    fn end(&mut self, is_whole: bool) {
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
            Body::Whole(full) => Pin::new(full).poll_frame(cx).map_err(|never| match never {}),
            Body::Streamed(streamed) => streamed.source.borrow_mut().poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Whole(full) => full.is_end_stream(),
            Body::Streamed(streamed) => {
                streamed.source.borrow().incoming.as_ref().is_some_and(Incoming::is_end_stream)
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(full) => full.size_hint(),
            Body::Streamed(streamed) => {
                streamed.source.borrow().incoming.as_ref().map(Incoming::size_hint).unwrap_or_default()
            }
        }
    }
}

/// Why a body could not be held.
#[derive(Debug, Display, Error)]
pub enum BufferError {
    /// It ended early.
    #[display("the body broke off; the sender has to repeat it")]
    Broken,
    /// It is larger than allowed.
    #[display("the body is larger than {limit} bytes; send a smaller one")]
    TooLarge {
        /// Largest size in bytes.
        limit: usize,
    },
}

/// Reads a body into memory.
///
/// # Errors
/// Fails if it breaks off or passes `limit` bytes.
pub async fn buffer_body<B>(mut body: B, limit: usize) -> Result<Bytes, BufferError>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    let mut held = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_broken| BufferError::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        if held.len() + data.len() > limit {
            return Err(BufferError::TooLarge { limit });
        }
        held.extend_from_slice(&data);
    }
    Ok(held.freeze())
}
