//! The capacity in a load report: its size, and its absence where capacity is not learned.

use cuminarch_protocol::{AnswerFrame, CapacityReport, FrameLimit, LoadReport, Receipt};

fn encode(capacity: Option<CapacityReport>) -> bytes::Bytes {
    let load = LoadReport { occupancy_milli: 800, capacity, ..LoadReport::default() };
    let receipt = Receipt { load: Some(Box::new(load)), ..Receipt::default() };
    AnswerFrame::BodyEnd(receipt).encode().unwrap()
}

/// Each answer carries a report: 62 answers a second leave a node at the design size, which may
/// spend 8 KB a second on control.
#[test]
fn capacity_adds_few_bytes() {
    let capacity = CapacityReport { limit: 351, run_time_us: Some(1_400_000) };
    let (without, with) = (encode(None), encode(Some(capacity)));
    insta::assert_snapshot!(format!("{} and {}", without.len(), with.len()));
    assert!(with.len() - without.len() <= 16);
}

#[test]
fn capacity_arrives_as_sent() {
    for capacity in [None, Some(CapacityReport { limit: 58, run_time_us: None })] {
        let frame = AnswerFrame::decode(&encode(capacity), FrameLimit::DATA).unwrap();
        let AnswerFrame::BodyEnd(receipt) = frame else { panic!("{frame:?}") };
        assert_eq!(receipt.load.unwrap().capacity, capacity);
    }
}

/// A report without capacity has no trace of it, so that nodes of earlier builds read it.
#[test]
fn report_without_capacity_is_the_one_of_earlier_builds() {
    let bytes = encode(None);
    assert!(!bytes.windows(2).any(|pair| pair == b"\x61c"), "{bytes:?}");
}
