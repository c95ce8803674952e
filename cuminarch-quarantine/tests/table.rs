//! Who is suspected, convicted and cleared.

use std::time::Duration;

use cuminarch_protocol::{Suspicion, SuspicionScope};
use cuminarch_quarantine::{SuspectTable, Verdict};
use cuminarch_types::{EndpointId, MonoTime, RequestDigest, RequestIdentity, RequestVariant};
use proptest::prelude::*;
use rstest::rstest;

fn id(request: u128, variant: u64) -> RequestIdentity {
    let (request, variant) = (RequestDigest::new(request), RequestVariant::new(variant));
    RequestIdentity { request, variant }
}

fn at(time_s: u64) -> MonoTime {
    MonoTime::from_millis(time_s * 1_000)
}

fn is_refused(table: &SuspectTable, identity: RequestIdentity, now: MonoTime) -> bool {
    matches!(table.verdict(identity, now), Verdict::Refused { .. })
}

/// Returns a table in which request 1 has crashed this many endpoints, each after its pause.
fn convicted_table(crashes: u32) -> (SuspectTable, MonoTime) {
    let (mut table, mut now) = (SuspectTable::new(), at(1));
    for crash in 0..crashes {
        if crash > 0
            && let Verdict::Refused { retry_after, .. } = table.verdict(id(1, 0), now)
        {
            now = now.after(retry_after);
        }
        table.record_crash(&[id(1, 0), id(100 + u128::from(crash), 0)], now);
    }
    (table, now)
}

#[test]
fn all_runs_are_suspected_after_the_first_crash_and_none_is_refused() {
    let mut table = SuspectTable::new();
    let runs: Vec<RequestIdentity> = (1..=40).map(|request| id(request, 0)).collect();
    let finding = table.record_crash(&runs, at(1));
    assert_eq!((finding.suspected, finding.convicted), (40, None));
    assert!(runs.iter().all(|run| table.verdict(*run, at(1)) == Verdict::Suspected));
    assert_eq!(table.verdict(id(41, 0), at(1)), Verdict::Unsuspected);
}

#[test]
fn the_only_suspected_run_of_the_second_crash_is_convicted() {
    let mut table = SuspectTable::new();
    table.record_crash(&[id(1, 0), id(2, 0), id(3, 0)], at(1));
    let finding = table.record_crash(&[id(4, 0), id(1, 0), id(5, 0)], at(2));
    assert_eq!((finding.convicted, finding.crashes), (Some(RequestDigest::new(1)), 2));
    assert!(is_refused(&table, id(1, 0), at(2)));
    for request in 2..=5 {
        assert_eq!(table.verdict(id(request, 0), at(2)), Verdict::Suspected);
    }
}

#[test]
fn two_runs_that_are_equally_suspected_are_not_refused() {
    let mut table = SuspectTable::new();
    table.record_crash(&[id(1, 0), id(2, 0)], at(1));
    assert_eq!(table.record_crash(&[id(1, 0), id(2, 0)], at(2)).convicted, None);
    assert_eq!(table.record_crash(&[id(1, 0)], at(3)).convicted, Some(RequestDigest::new(1)));
    assert_eq!(table.verdict(id(2, 0), at(3)), Verdict::Suspected);
}

#[test]
fn an_answer_clears_a_request_and_a_later_crash_starts_again() {
    let mut table = SuspectTable::new();
    table.record_crash(&[id(1, 0), id(2, 0)], at(1));
    assert!(table.record_answer(id(1, 0)));
    assert_eq!(table.verdict(id(1, 0), at(2)), Verdict::Unsuspected);
    assert!(!table.record_answer(id(1, 0)));
    assert_eq!(table.record_crash(&[id(1, 0)], at(3)).convicted, None);
}

#[rstest]
#[case::second(2, 30)]
#[case::third(3, 600)]
#[case::fourth(4, 3_600)]
#[case::fifth(5, 21_600)]
#[case::sixth(6, 21_600)]
fn a_request_is_refused_longer_after_each_crash(#[case] crashes: u32, #[case] time_s: u64) {
    let (table, now) = convicted_table(crashes);
    let Verdict::Refused { retry_after, .. } = table.verdict(id(1, 0), now) else { panic!() };
    assert_eq!(retry_after, Duration::from_secs(time_s));
    assert!(is_refused(&table, id(1, 0), now.after(Duration::from_secs(time_s - 1))));
    let after = now.after(Duration::from_secs(time_s));
    assert_eq!(table.verdict(id(1, 0), after), Verdict::Suspected);
}

#[rstest]
#[case::right_after_the_pause(0)]
#[case::five_minutes_later(300)]
fn a_request_that_crashes_again_after_its_pause_is_refused_at_once(#[case] later_s: u64) {
    for crashes in 2..6 {
        let (mut table, mut now) = convicted_table(crashes);
        let Verdict::Refused { retry_after, .. } = table.verdict(id(1, 0), now) else { panic!() };
        now = now.after(retry_after + Duration::from_secs(later_s));
        table.expire(now);
        assert!(table.record_crash(&[id(1, 0), id(9, 0)], now).convicted.is_some(), "{crashes}");
    }
}

#[test]
fn a_request_that_was_refused_wrongly_is_served_after_its_pause() {
    let (mut table, now) = convicted_table(2);
    let after = now.after(Duration::from_secs(30));
    assert_eq!(table.verdict(id(1, 0), after), Verdict::Suspected);
    assert!(table.record_answer(id(1, 0)));
    assert_eq!(table.verdict(id(1, 0), after), Verdict::Unsuspected);
}

/// A client account cannot have the requests of another account refused: their digests differ. Within
/// one digest, header fields tell the requests apart as long as others of it are answered.
#[test]
fn a_variant_that_crashes_endpoints_does_not_refuse_the_variants_that_are_answered() {
    let mut table = SuspectTable::new();
    for round in 0..20 {
        table.record_crash(&[id(1, 7), id(100 + round, 0)], at(1));
        table.record_crash(&[id(1, 7), id(200 + round, 0)], at(1));
        assert!(is_refused(&table, id(1, 7), at(1)));
        assert!(!is_refused(&table, id(1, 8), at(1)), "round {round}");
        table.record_answer(id(1, 8));
    }
}

#[test]
fn a_request_with_new_header_fields_each_time_is_refused_with_any() {
    let mut table = SuspectTable::new();
    for variant in 0..3 {
        assert!(!is_refused(&table, id(1, 9), at(1)), "after {variant} crashes");
        table.record_crash(&[id(1, variant)], at(1));
    }
    assert!(is_refused(&table, id(1, 9), at(1)));
}

#[test]
fn many_suspicions_take_bounded_memory_and_drop_no_conviction() {
    let (mut table, now) = convicted_table(2);
    for crash in 0..100_u128 {
        let runs: Vec<RequestIdentity> =
            (0..500).map(|run| id(1_000 + crash * 500 + run, 0)).collect();
        table.record_crash(&runs, now);
        assert!(table.statements(now).len() <= SuspectTable::MAX_ENTRIES);
    }
    assert!(is_refused(&table, id(1, 0), now));
}

#[test]
fn entries_end_some_time_after_they_stopped_mattering() {
    let (mut table, now) = convicted_table(2);
    table.expire(now.after(Duration::from_secs(11 * 60)));
    assert!(!table.is_empty());
    table.expire(now.after(Duration::from_secs(24 * 60 * 60)));
    assert!(table.is_empty());
}

fn statements() -> impl Strategy<Value = Vec<Suspicion>> {
    let scope = prop_oneof![
        Just(SuspicionScope::Suspected),
        Just(SuspicionScope::AnyVariant),
        (0..3_u64).prop_map(|variant| SuspicionScope::Variant(RequestVariant::new(variant))),
    ];
    let fields = (0..4_u128, scope, 0..6_u32, 0..6_u32, 0..1_000_u64);
    let entry = fields.prop_map(|(request, scope, crashes, cleared, age_ms)| {
        let request = RequestDigest::new(request);
        Suspicion { request, scope, crashes, cleared, age_ms }
    });
    proptest::collection::vec(entry, 0..12)
}

proptest! {
    #[test]
    fn the_order_and_number_of_statements_do_not_matter(
        one in statements(),
        other in statements(),
    ) {
        let from: EndpointId = "katalog-1".parse().unwrap();
        let (mut first, mut second) = (SuspectTable::new(), SuspectTable::new());
        first.merge(&from, &one, at(10));
        first.merge(&from, &other, at(10));
        for entries in [&other, &one, &other] {
            second.merge(&from, entries, at(10));
        }
        prop_assert_eq!(first.digest(), second.digest());
    }
}
