//! Writes log lines from a bounded buffer on a thread of its own; traffic never waits for it.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use prometheus::IntCounter;

/// Lines that may wait to be written.
const MAX_LINES: usize = 4_096;

/// Takes lines of a logger; drops and counts them while the buffer is full.
#[derive(Debug)]
pub struct LogWriter {
    tx: SyncSender<Box<[u8]>>,
    dropped: IntCounter,
}

impl LogWriter {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    /// Fails if no thread can be started.
    pub fn start(out: impl Write + Send + 'static, dropped: IntCounter) -> io::Result<Self> {
        let (tx, rx) = sync_channel(MAX_LINES);
        let counter = dropped.clone();
        std::thread::Builder::new().name("log".to_owned()).spawn(move || write_all(&rx, out, &counter))?;
        Ok(Self { tx, dropped })
    }
}

impl Write for LogWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        match self.tx.try_send(buf.into()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped.inc(),
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(rx: &Receiver<Box<[u8]>>, mut out: impl Write, dropped: &IntCounter) {
    let mut told = 0;
    while let Ok(line) = rx.recv() {
        let mut batch = line.into_vec();
        while let Ok(more) = rx.try_recv() {
            batch.extend_from_slice(&more);
        }
        let lost = dropped.get();
        if lost > told {
            batch.extend_from_slice(format!("E0802 LogDropped lines={}\n", lost - told).as_bytes());
            told = lost;
        }
        // Without a reader of the log there is nowhere to report this.
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
