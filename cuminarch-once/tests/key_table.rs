//! Keys of one process.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use cuminarch_once::{
    BoundKey, KeyDecision, KeyResult, KeyTable, KeyTableSettings, RequestFingerprint, StoredAnswer,
};
use cuminarch_protocol::AnswerHead;
use cuminarch_types::{CallId, Incarnation, MonoTime};
use rstest::rstest;

const CALL: CallId = CallId::new(1);

fn table(settings: KeyTableSettings) -> KeyTable {
    KeyTable::new(settings, "kasse-1".parse().unwrap(), Incarnation::new(7))
}

fn order() -> RequestFingerprint {
    RequestFingerprint::new("POST", "/orders", Some(1))
}

fn answer(len_bytes: usize) -> KeyResult {
    let head = AnswerHead { status: 200, headers: Vec::new(), body_len_bytes: None };
    KeyResult::Completed(Some(Box::new(StoredAnswer { head, body: vec![0; len_bytes] })))
}

#[rstest]
#[case::other_time(|key: &mut BoundKey| key.minted_ms += 1_000)]
#[case::earlier(|key: &mut BoundKey| key.minted_ms -= 1_000)]
#[case::far_future(|key: &mut BoundKey| key.minted_ms = u64::MAX)]
#[case::serial_not_minted(|key: &mut BoundKey| key.serial += 1)]
#[case::serial_of_another_second(|key: &mut BoundKey| key.serial = 1)]
#[case::serial_zero(|key: &mut BoundKey| key.serial = 0)]
#[case::other_process(|key: &mut BoundKey| key.incarnation = Incarnation::new(6))]
#[case::other_endpoint(|key: &mut BoundKey| key.endpoint = "kasse-2".parse().unwrap())]
fn forged_key_does_not_run(#[case] forge: fn(&mut BoundKey)) {
    let mut table = table(KeyTableSettings::new());
    table.mint(MonoTime::from_millis(500));
    let now = MonoTime::from_millis(5_500);
    let mut key = table.mint(now);
    forge(&mut key);
    assert_eq!(table.begin(&key, order(), CALL, now), KeyDecision::Unknown);
    assert!(table.is_empty());
}

#[test]
fn key_expires_by_the_table_and_never_runs_again() {
    let mut table = table(KeyTableSettings::new());
    let key = table.mint(MonoTime::ZERO);
    assert_eq!(table.begin(&key, order(), CALL, MonoTime::ZERO), KeyDecision::Run);
    table.finish(&key, CALL, answer(10));
    let key_ttl = KeyTableSettings::new().key_ttl;
    for seconds in [0, 1, 1_000_000] {
        let late = MonoTime::ZERO.after(key_ttl + Duration::from_secs(seconds));
        assert_eq!(table.begin(&key, order(), CALL, late), KeyDecision::Unknown);
    }
    assert_eq!((table.len(), table.answer_bytes()), (0, 0));
}

#[rstest]
#[case::completed(answer(3), KeyDecision::InProgress, false)]
#[case::not_run(KeyResult::NotRun, KeyDecision::Run, true)]
#[case::unknown(KeyResult::Unknown, KeyDecision::Unknown, false)]
#[case::answer_too_large_to_keep(KeyResult::Completed(None), KeyDecision::AlreadyRun, false)]
fn only_a_request_that_did_not_run_may_run_again(
    #[case] result: KeyResult,
    #[case] expected: KeyDecision,
    #[case] runs_again: bool,
) {
    let mut table = table(KeyTableSettings::new());
    let key = table.mint(MonoTime::ZERO);
    assert_eq!(table.begin(&key, order(), CALL, MonoTime::ZERO), KeyDecision::Run);
    table.finish(&key, CallId::new(9), KeyResult::NotRun);
    let second = CallId::new(2);
    let running = table.begin(&key, order(), second, MonoTime::ZERO);
    assert_eq!(running, KeyDecision::InProgress, "only the runner may end a run");
    table.finish(&key, CALL, result);
    let decision = table.begin(&key, order(), second, MonoTime::ZERO);
    assert_eq!(decision == KeyDecision::Run, runs_again);
    if !matches!(decision, KeyDecision::Replay(_)) {
        assert_eq!(decision, expected);
    }
}

#[test]
fn key_of_another_request_conflicts_in_every_state() {
    let mut table = table(KeyTableSettings::new());
    let key = table.mint(MonoTime::ZERO);
    let other = RequestFingerprint::new("POST", "/orders", Some(2));
    table.begin(&key, order(), CALL, MonoTime::ZERO);
    assert_eq!(table.begin(&key, other, CALL, MonoTime::ZERO), KeyDecision::Conflict);
    table.finish(&key, CALL, KeyResult::NotRun);
    assert_eq!(table.begin(&key, other, CALL, MonoTime::ZERO), KeyDecision::Conflict);
}

#[test]
fn full_table_refuses_only_new_keys() {
    let mut table = table(KeyTableSettings { max_keys: 2, ..KeyTableSettings::new() });
    let keys: Vec<BoundKey> = (0..3).map(|_| table.mint(MonoTime::ZERO)).collect();
    let mut begin = |key: &BoundKey| table.begin(key, order(), CALL, MonoTime::ZERO);
    assert_eq!(begin(&keys[0]), KeyDecision::Run);
    assert_eq!(begin(&keys[1]), KeyDecision::Run);
    assert_eq!(begin(&keys[2]), KeyDecision::Full);
    assert_eq!(begin(&keys[0]), KeyDecision::InProgress);
}

#[test]
fn answers_are_dropped_before_keys() {
    let settings = KeyTableSettings { max_answer_bytes: 250, ..KeyTableSettings::new() };
    let mut table = table(settings);
    let keys: Vec<BoundKey> = (0..4).map(|_| table.mint(MonoTime::ZERO)).collect();
    for key in &keys {
        table.begin(key, order(), CALL, MonoTime::ZERO);
    }
    for key in [&keys[3], &keys[1], &keys[0], &keys[2]] {
        table.finish(key, CALL, answer(100));
    }
    let decisions: Vec<bool> = keys
        .iter()
        .map(|key| table.begin(key, order(), CALL, MonoTime::ZERO) == KeyDecision::AlreadyRun)
        .collect();
    assert_eq!(decisions, [false, true, false, true], "the earliest answers are dropped first");
    assert_eq!((table.len(), table.answer_bytes()), (4, 200));
}

#[test]
fn key_of_an_earlier_process_with_the_same_incarnation_does_not_run() {
    let mut earlier = table(KeyTableSettings::new().with_first_serial(500));
    let mut later = table(KeyTableSettings::new().with_first_serial(90_000));
    let key = earlier.mint(MonoTime::ZERO);
    later.mint(MonoTime::ZERO);
    assert_eq!(later.begin(&key, order(), CALL, MonoTime::ZERO), KeyDecision::Unknown);
}

#[rstest]
#[case::method("PUT", "/orders", b"{}")]
#[case::path("POST", "/orders?draft", b"{}")]
#[case::body("POST", "/orders", b"{ }")]
#[case::shifted("POST/", "orders", b"{}")]
fn fingerprints_of_different_requests_differ(
    #[case] method: &str,
    #[case] target: &str,
    #[case] body: &[u8],
) {
    let of = |method, target, body| {
        RequestFingerprint::new(method, target, RequestFingerprint::body_digest(body))
    };
    assert_ne!(of(method, target, body), of("POST", "/orders", b"{}"));
    let long = vec![0; RequestFingerprint::MAX_BODY_BYTES + 1];
    assert_eq!(of("POST", "/", &long), RequestFingerprint::new("POST", "/", None));
}
