//! Lines that are still buffered when the process ends must be written.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use prometheus::IntCounter;
use relay::log_writer::LogWriter;

const TIMEOUT: Duration = Duration::from_secs(20);

/// An output on which each write is slow.
#[derive(Clone, Debug, Default)]
struct SlowOutput(Arc<Mutex<Vec<u8>>>);

impl Write for SlowOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        std::thread::sleep(Duration::from_millis(30));
        self.0.lock().expect("no writer has failed").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn dropped_lines_counter() -> IntCounter {
    IntCounter::new("dropped", "Lines dropped.").expect("the name is valid")
}

#[test]
fn the_last_line_is_written_before_the_process_ends() {
    let out = SlowOutput::default();
    let mut writer = LogWriter::start(out.clone(), dropped_lines_counter()).expect("a thread");
    let flush = writer.flusher();
    writer.write_all(b"first\n").expect("the line is taken");
    writer.write_all(b"last\n").expect("the line is taken");
    assert!(flush.wait(TIMEOUT));
    let written = out.0.lock().expect("no writer has failed").clone();
    assert!(written.ends_with(b"last\n"), "{}", String::from_utf8_lossy(&written));
}
