//! Data link frames: round trips, and rejection of malformed frames.

use bytes::Bytes;
use cuminarch_protocol::{
    AnswerFrame, AnswerHead, CallFrame, CallHead, FrameLimit, HeaderField, ProtocolError, Receipt,
    RefusalHead, RoutedCall, SendKind, UpstreamLifetime,
};
use cuminarch_types::{Attempts, LifetimeDigest, Outcome, Rank, RequestId};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn config() -> Config {
    Config {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(17),
        ..Config::default()
    }
}

fn fields() -> impl Strategy<Value = Vec<HeaderField>> {
    let field = ("[a-z-]{1,12}", vec(any::<u8>(), 0..40));
    vec(field.prop_map(|(name, value)| HeaderField::new(name, value)), 0..6)
}

fn lifetime() -> LifetimeDigest {
    let instance = "i-7f3a91c2".parse().unwrap();
    UpstreamLifetime { instance, started_at_ms: 1_780_000_000_000 }.digest()
}

fn call_head() -> impl Strategy<Value = CallHead> {
    let numbers = (any::<u128>(), any::<u32>(), any::<u64>(), any::<bool>());
    let rest =
        (fields(), proptest::option::of(any::<u64>()), proptest::option::of("[a-z:0-9]{1,30}"));
    (numbers, rest).prop_map(|((root, share, remaining_ms, idempotent), (headers, len, key))| {
        CallHead {
            root: RequestId::new(root),
            service: "kasse".parse().unwrap(),
            method: "POST".into(),
            target: "/approvals/7?x=1".into(),
            headers,
            body_len_bytes: len,
            share: Attempts::new(share),
            rank: Rank::MAX,
            remaining_ms,
            idempotent,
            key: key.map(Into::into),
            routed: None,
            lifetime: idempotent.then(lifetime),
        }
    })
}

fn call_frame() -> impl Strategy<Value = CallFrame> {
    prop_oneof![
        call_head().prop_map(|head| CallFrame::Head(Box::new(head))),
        vec(any::<u8>(), 0..2_000).prop_map(|bytes| CallFrame::Body(Bytes::from(bytes))),
        Just(CallFrame::BodyEnd),
        Just(CallFrame::Cancel),
    ]
}

fn answer_frame() -> impl Strategy<Value = AnswerFrame> {
    let receipt = any::<u32>()
        .prop_map(|unspent| Receipt { unspent: Attempts::new(unspent), ..Receipt::default() });
    let head = (any::<u16>(), fields(), proptest::option::of(any::<u64>())).prop_map(
        |(status, headers, body_len_bytes)| AnswerHead { status, headers, body_len_bytes },
    );
    let refusal = (receipt.clone(), proptest::option::of(any::<u64>())).prop_map(
        |(receipt, retry_after_ms)| RefusalHead {
            outcome: Outcome::NotRun,
            reason: "overloaded".into(),
            retry_after_ms,
            bound_to: None,
            reached_upstream: false,
            receipt,
            member: None,
        },
    );
    prop_oneof![
        head.prop_map(|head| AnswerFrame::Head(Box::new(head))),
        vec(any::<u8>(), 0..2_000).prop_map(|bytes| AnswerFrame::Body(Bytes::from(bytes))),
        receipt.clone().prop_map(AnswerFrame::BodyEnd),
        receipt.prop_map(AnswerFrame::Truncated),
        refusal.prop_map(|head| AnswerFrame::Refusal(Box::new(head))),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_call_frame_is_decoded_as_it_was_encoded(frame in call_frame()) {
        let bytes = frame.encode().unwrap();
        prop_assert_eq!(CallFrame::decode(&bytes, FrameLimit::DATA).unwrap(), frame);
    }

    #[test]
    fn an_answer_frame_is_decoded_as_it_was_encoded(frame in answer_frame()) {
        let bytes = frame.encode().unwrap();
        prop_assert_eq!(AnswerFrame::decode(&bytes, FrameLimit::DATA).unwrap(), frame);
    }

    #[test]
    fn no_bytes_make_decoding_panic(tag in 0..8_u8, bytes in vec(any::<u8>(), 0..200)) {
        let bytes = Bytes::from([&[tag][..], &bytes].concat());
        let _ = CallFrame::decode(&bytes, FrameLimit::DATA);
        let _ = AnswerFrame::decode(&bytes, FrameLimit::DATA);
    }

    #[test]
    fn a_damaged_frame_does_not_make_decoding_panic(
        frame in call_frame(),
        answer in answer_frame(),
        position: prop::sample::Index,
        byte: u8,
        cut: prop::sample::Index,
    ) {
        for bytes in [frame.encode().unwrap(), answer.encode().unwrap()] {
            let mut bytes = bytes.to_vec();
            let damaged = position.index(bytes.len());
            bytes[damaged] = byte;
            bytes.truncate(cut.index(bytes.len()) + 1);
            let bytes = Bytes::from(bytes);
            let _ = CallFrame::decode(&bytes, FrameLimit::DATA);
            let _ = AnswerFrame::decode(&bytes, FrameLimit::DATA);
        }
    }
}

#[test]
fn a_frame_above_its_limit_is_refused() {
    let frame = CallFrame::Body(Bytes::from(vec![0; 100])).encode().unwrap();
    let result = CallFrame::decode(&frame, FrameLimit::new(100));
    assert!(matches!(result, Err(ProtocolError::TooLong { len_bytes: 101, .. })));
    assert!(CallFrame::decode(&frame, FrameLimit::new(101)).is_ok());
}

#[test]
fn nesting_that_is_too_deep_is_refused() {
    let bytes = Bytes::from([&[1_u8][..], &[0x81; 10_000]].concat());
    assert!(CallFrame::decode(&bytes, FrameLimit::DATA).is_err());
}

/// Bounds the encoded size of the heads of a small call and its answer.
#[test]
fn heads_are_short() {
    let routed = RoutedCall {
        route: "r-1".parse().unwrap(),
        caller_service: "katalog".parse().unwrap(),
        caller_zone: "zrh-a".parse().unwrap(),
        is_nested: true,
        objective_ms: 300,
        send: SendKind::First,
    };
    let head = CallHead {
        root: RequestId::new(u128::MAX),
        service: "auftrag".parse().unwrap(),
        method: "GET".into(),
        target: "/queue/7".into(),
        headers: vec![HeaderField::new("x-id", "1"); 8],
        body_len_bytes: None,
        share: Attempts::new(63),
        rank: Rank::MAX,
        remaining_ms: 700,
        idempotent: true,
        key: None,
        routed: Some(routed),
        lifetime: Some(lifetime()),
    };
    let call = CallFrame::Head(Box::new(head)).encode().unwrap();
    let headers = vec![HeaderField::new("x-id", "1"); 4];
    let head = AnswerHead { status: 200, headers, body_len_bytes: Some(400) };
    let answer = AnswerFrame::Head(Box::new(head)).encode().unwrap();
    assert!(call.len() <= 220 && answer.len() <= 64, "{} and {}", call.len(), answer.len());
}
