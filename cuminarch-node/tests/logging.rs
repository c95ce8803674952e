//! What the log writes of records.

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

/// A cause may have several lines, as the faults of a sheet have; its record has one.
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

/// Output that takes nothing, as a pipe that nobody reads.
struct Stuck;

impl Write for Stuck {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        std::thread::sleep(Duration::from_secs(60));
        Ok(0)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stop_does_not_wait_for_an_output_that_takes_nothing() {
    let mut ring = LogRing::to_writer(Stuck).unwrap();
    ring.write_all(b"CU1002 draining\n").unwrap();
    let begun = Instant::now();
    assert!(!ring.flush_within(Duration::from_millis(50)));
    assert!(begun.elapsed() < Duration::from_secs(5));
}
