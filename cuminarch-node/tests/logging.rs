//! What the log writes of records.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;

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
    let read = || String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
    for _ in 0..500 {
        if !read().is_empty() {
            break;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(read(), expected);
}
