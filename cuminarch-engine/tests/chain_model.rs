//! Histories of several engines on a faulty network, checked against what ran.

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

fn hostile(sabotage: Sabotage, key: KeyKind, once: bool, seed: u64) -> Scenario {
    let faults =
        Faults { cut_request: 200, cut_answer: 300, early_resend: 300, ..Faults::default() };
    Scenario {
        seed,
        grant: 12,
        requests: 3,
        sends: 5,
        upstream_tries: 2,
        non_idempotent: once,
        key,
        non_idempotent_downstream: once,
        faults,
        sabotage,
        ..Scenario::calm(3, 3)
    }
}

#[rstest]
#[case::resend_after_loss(Sabotage::ResendAfterLoss, KeyKind::None, true, "ran")]
#[case::grant_every_claim(Sabotage::GrantEveryClaim, KeyKind::Client, true, "key key-")]
#[case::fresh_grants(Sabotage::FreshGrants, KeyKind::None, false, "granted 12")]
#[case::claim_not_run(Sabotage::ClaimNotRun, KeyKind::Client, true, "told not-run")]
fn the_audit_finds_a_broken_variant(
    #[case] sabotage: Sabotage,
    #[case] key: KeyKind,
    #[case] once: bool,
    #[case] expected: &str,
) {
    let shows = |sabotage, seed| {
        let audit = World::run(hostile(sabotage, key, once, seed));
        audit.violations.iter().any(|fault| fault.contains(expected))
    };
    assert!((0..40).any(|seed| shows(sabotage, seed)), "no history shows {sabotage:?}");
    assert!(!(0..40).any(|seed| shows(Sabotage::None, seed)));
}

/// Ordinary work is never short of attempts: the tree of calls behind each
/// request needs two thirds of the first send's half of the grant, or less.
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
    let short =
        audit.tracked_calls.iter().filter(|ask| ask.reported_outcome != Some(Outcome::Completed));
    assert_eq!(short.count(), 0, "of {}", audit.tracked_calls.len());
}
