//! Checks histories of several engines on a faulty network against what actually ran.

#![allow(clippy::unwrap_used)]

mod model;

use cuminarch_types::Outcome;
use model::{Faults, KeyKind, Sabotage, Scenario, World, scenarios};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn config(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

fn check(scenario: Scenario) -> Result<(), TestCaseError> {
    let audit = World::run(scenario);
    prop_assert!(audit.violations.is_empty(), "{:#?}", audit.violations);
    Ok(())
}

proptest! {
    #![proptest_config(config(2_000, 1))]

    #[test]
    fn every_history_keeps_the_promises(scenario in scenarios()) {
        check(scenario)?;
    }
}

fn hostile(sabotage: Sabotage, key: KeyKind, is_non_idempotent: bool, seed: u64) -> Scenario {
    let faults =
        Faults { cut_request: 200, cut_answer: 300, early_resend: 300, ..Faults::default() };
    Scenario {
        seed,
        grant: 12,
        requests: 3,
        sends: 5,
        upstream_retries: 2,
        non_idempotent: is_non_idempotent,
        key,
        non_idempotent_downstream: is_non_idempotent,
        faults,
        sabotage,
        ..Scenario::calm(3, 3)
    }
}

#[rstest]
#[case::resend_after_loss(Sabotage::ResendAfterLoss, KeyKind::None, true, "ran")]
#[case::grant_every_claim(Sabotage::GrantEveryClaim, KeyKind::Client, true, "key key-")]
#[case::fresh_grants(Sabotage::FreshGrants, KeyKind::None, false, "granted 12")]
#[case::claim_not_run(Sabotage::ClaimNotRun, KeyKind::Client, true, "reported as not-run")]
fn the_audit_finds_a_broken_variant(
    #[case] sabotage: Sabotage,
    #[case] key: KeyKind,
    #[case] is_non_idempotent: bool,
    #[case] expected: &str,
) {
    let is_detected = |sabotage, seed| {
        let audit = World::run(hostile(sabotage, key, is_non_idempotent, seed));
        audit.violations.iter().any(|violation| violation.contains(expected))
    };
    assert!((0..40).any(|seed| is_detected(sabotage, seed)), "no history shows {sabotage:?}");
    assert!(!(0..40).any(|seed| is_detected(Sabotage::None, seed)));
}

/// Without faults, the attempts always suffice: the call tree of each request needs at most two
/// thirds of the first send's share, which is half of the grant.
#[rstest]
#[case::chain_of_14(14, 1, 42)]
#[case::four_children_each_3_deep(3, 4, 64)]
#[case::four_children_each_4_deep(4, 4, 256)]
#[case::sixteen_children(2, 16, 52)]
#[case::two_children_each_6_deep(6, 2, 190)]
fn ordinary_work_completes(
    #[case] depth: usize,
    #[case] width: usize,
    #[case] grant: u32,
    #[values(1, 6)] requests: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let scenario = Scenario { seed, grant, requests, ..Scenario::calm(depth, width) };
    let audit = World::run(scenario);
    assert!(audit.violations.is_empty(), "{:#?}", audit.violations);
    let incomplete =
        audit.tracked_calls.iter().filter(|call| call.reported_outcome != Some(Outcome::Completed));
    assert_eq!(incomplete.count(), 0, "of {}", audit.tracked_calls.len());
}
