//! Formatting of log records, and behaviour with a blocked output.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cuminarch_node::logging::LogRing;
use rstest::rstest;

/// Output that a test can read.
#[derive(Clone, Debug, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A cause can have several lines, such as the errors of a sheet, but its record must be one line.
#[rstest]
#[case::one_line("CU4001 config-in-force revision=3\n", "CU4001 config-in-force revision=3\n")]
#[case::several(
    "CU4002 config-refused revision=4: 2 faults\n  line 3: unknown class\n  line 9: a loop\n",
    "CU4002 config-refused revision=4: 2 faults; line 3: unknown class; line 9: a loop\n"
)]
#[case::without_end("CU1001 started", "CU1001 started\n")]
fn a_record_is_one_line(#[case] record: &str, #[case] expected: &str) {
    let output = Output::default();
    let mut ring = LogRing::to_writer(output.clone()).unwrap();
    ring.write_all(record.as_bytes()).unwrap();
    assert!(ring.flush_within(Duration::from_secs(5)));
    assert_eq!(String::from_utf8(output.0.lock().unwrap().clone()).unwrap(), expected);
}

/// Output that blocks, like a pipe without a reader.
struct BlockedOutput;

impl Write for BlockedOutput {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        std::thread::sleep(Duration::from_secs(60));
        Ok(0)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn flush_gives_up_on_a_blocked_output() {
    let mut ring = LogRing::to_writer(BlockedOutput).unwrap();
    ring.write_all(b"CU1002 draining\n").unwrap();
    let started_at = Instant::now();
    assert!(!ring.flush_within(Duration::from_millis(50)));
    assert!(started_at.elapsed() < Duration::from_secs(5));
}
