//! Writes log lines on a thread of its own, from a bounded buffer, so that serving requests never waits for
//! the log.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use prometheus::IntCounter;

/// Largest number of lines in the buffer.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Message to the thread that writes the log.
#[derive(Debug)]
enum Message {
    /// A line to write.
    Line(Box<[u8]>),
    /// Request for a message on this channel once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Lets a process wait until its last lines are written.
#[derive(Clone, Debug)]
pub struct LogFlush(SyncSender<Message>);

impl LogFlush {
    /// Waits until all lines so far are written; false if that takes longer than `timeout` or the buffer is
    /// full.
    pub fn wait(&self, timeout: Duration) -> bool {
        let (tx, rx) = sync_channel(1);
        self.0.try_send(Message::Flush(tx)).is_ok() && rx.recv_timeout(timeout).is_ok()
    }
}

/// Receives the logger's output. Drops and counts lines while the buffer is full.
#[derive(Debug)]
pub struct LogWriter {
    tx: SyncSender<Message>,
    dropped: IntCounter,
}

impl LogWriter {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    /// Fails if the thread can't be started.
    pub fn start(out: impl Write + Send + 'static, dropped: IntCounter) -> io::Result<Self> {
        let (tx, rx) = sync_channel(MAX_BUFFERED_LINES);
        let counter = dropped.clone();
        std::thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&rx, out, &counter))?;
        Ok(Self { tx, dropped })
    }

    /// Creates a handle to wait for lines written through this writer.
    pub fn flusher(&self) -> LogFlush {
        LogFlush(self.tx.clone())
    }
}

impl Write for LogWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        match self.tx.try_send(Message::Line(buf.into())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped.inc(),
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(rx: &Receiver<Message>, mut out: impl Write, dropped: &IntCounter) {
    let mut reported = 0;
    while let Ok(first) = rx.recv() {
        let mut batch = Vec::new();
        let mut flush_reply = None;
        for message in std::iter::once(first).chain(rx.try_iter()) {
            match message {
                Message::Line(line) => batch.extend_from_slice(&line),
                Message::Flush(tx) => flush_reply = Some(tx),
            }
        }
        let total = dropped.get();
        if total > reported {
            batch.extend_from_slice(format!("E0802 LogDropped lines={}\n", total - reported).as_bytes());
            reported = total;
        }
        // The log can't be written, so there is nowhere to report the error.
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            return;
        }
        if let Some(tx) = flush_reply {
            // The process may have stopped waiting.
            let _ = tx.send(());
        }
    }
}
