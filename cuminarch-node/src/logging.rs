//! Log lines that never hold a node up.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use flume::{Receiver, Sender, TrySendError};

/// Writer that takes one record at a time and hands it, as one line, to a thread through a
/// bounded ring. Lines that find no room are dropped; their number is written once there
/// is room again.
#[derive(Clone, Debug)]
pub struct LogRing {
    entries: Sender<Entry>,
    dropped: Arc<AtomicU64>,
}

/// What the writing thread is handed.
#[derive(Debug)]
enum Entry {
    Line(Vec<u8>),
    /// All lines before this have to be written out.
    Flush(Sender<()>),
}

impl LogRing {
    /// Lines that wait at most; some hundred kilobytes.
    const MAX_PENDING_LINES: usize = 1_024;

    /// A ring whose lines go to standard output.
    ///
    /// # Errors
    ///
    /// Fails when no thread can be had.
    pub fn to_stdout() -> io::Result<Self> {
        Self::to_writer(io::stdout())
    }

    /// A ring whose lines go to `output`.
    ///
    /// # Errors
    ///
    /// Fails when no thread can be had.
    pub fn to_writer(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (entries, ring) = flume::bounded(Self::MAX_PENDING_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&ring, output, &counted))?;
        Ok(Self { entries, dropped })
    }

    /// Waits until what was logged so far is written, for at most `limit`: the last lines
    /// of a process would end with it otherwise. Returns whether it is.
    #[must_use]
    pub fn flush_within(&self, limit: Duration) -> bool {
        let (written, told) = flume::bounded(1);
        let until = Instant::now() + limit;
        let is_sent = self.entries.send_deadline(Entry::Flush(written), until).is_ok();
        is_sent && told.recv_deadline(until).is_ok()
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

/// A record as one line, also if its text has several.
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
                // Who waited for it may have given up.
                let _ = output.flush().map(|()| written.try_send(()));
                continue;
            }
        };
        let count = dropped.swap(0, Ordering::Relaxed);
        let told = match count {
            0 => Ok(()),
            _ => writeln!(output, "CU5003 log-lines-dropped count={count}"),
        };
        // Nobody is left who could be told of an output that is gone.
        if told.and_then(|()| output.write_all(&line)).is_err() {
            return;
        }
        if ring.is_empty() && output.flush().is_err() {
            return;
        }
    }
}
