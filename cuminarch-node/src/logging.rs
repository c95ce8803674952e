//! Log output that never blocks a node.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use flume::{Receiver, Sender, TrySendError};

/// Writer that sends each record as one line through a bounded ring to a writing thread. If the
/// ring is full, lines are dropped; the number of dropped lines is logged once there is room.
#[derive(Clone, Debug)]
pub struct LogRing {
    entries: Sender<Entry>,
    dropped: Arc<AtomicU64>,
}

/// Message to the writing thread.
#[derive(Debug)]
enum Entry {
    Line(Vec<u8>),
    /// Flush all earlier lines, then notify the sender.
    Flush(Sender<()>),
}

impl LogRing {
    /// Maximum number of pending lines; a few hundred kilobytes.
    const MAX_PENDING_LINES: usize = 1_024;

    /// Creates a ring that writes to standard output.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn to_stdout() -> io::Result<Self> {
        Self::to_writer(io::stdout())
    }

    /// Creates a ring that writes to `output`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn to_writer(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (entries, ring) = flume::bounded(Self::MAX_PENDING_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_count = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&ring, output, &dropped_count))?;
        Ok(Self { entries, dropped })
    }

    /// Waits at most `limit` until everything logged so far is written; otherwise the last lines
    /// before the end of a process would be lost. Returns `true` if it is written.
    #[must_use]
    pub fn flush_within(&self, limit: Duration) -> bool {
        let (written, flushed) = flume::bounded(1);
        let deadline = Instant::now() + limit;
        let is_sent = self.entries.send_deadline(Entry::Flush(written), deadline).is_ok();
        is_sent && flushed.recv_deadline(deadline).is_ok()
    }
}

impl Write for LogRing {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.entries.try_send(Entry::Line(join_lines(bytes))) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Joins the lines of a record into one line.
fn join_lines(record: &[u8]) -> Vec<u8> {
    let text = record.strip_suffix(b"\n").unwrap_or(record);
    let mut line = Vec::with_capacity(record.len());
    for (index, part) in text.split(|byte| *byte == b'\n').enumerate() {
        if index > 0 {
            line.extend_from_slice(b"; ");
        }
        line.extend_from_slice(part.trim_ascii());
    }
    line.push(b'\n');
    line
}

fn write_lines(ring: &Receiver<Entry>, mut output: impl Write, dropped: &AtomicU64) {
    while let Ok(entry) = ring.recv() {
        let line = match entry {
            Entry::Line(line) => line,
            Entry::Flush(written) => {
                // The requester may have stopped waiting.
                let _ = output.flush().map(|()| written.try_send(()));
                continue;
            }
        };
        let count = dropped.swap(0, Ordering::Relaxed);
        let reported = match count {
            0 => Ok(()),
            _ => writeln!(output, "CU5003 log-lines-dropped count={count}"),
        };
        // The output is closed; there is nowhere left to report this error.
        if reported.and_then(|()| output.write_all(&line)).is_err() {
            return;
        }
        if ring.is_empty() && output.flush().is_err() {
            return;
        }
    }
}
