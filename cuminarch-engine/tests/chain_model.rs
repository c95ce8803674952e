//! Histories of several engines on a faulty network, checked against what ran.

#![allow(clippy::unwrap_used)]

mod model;

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
    prop_assert!(audit.faults.is_empty(), "{:#?}", audit.faults);
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
    let faults = Faults { cut_request: 200, cut_answer: 300, impatience: 300, ..Faults::default() };
    Scenario {
        seed,
        grant: 12,
        requests: 3,
        sends: 5,
        upstream_tries: 2,
        once,
        key,
        once_below: once,
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
        audit.faults.iter().any(|fault| fault.contains(expected))
    };
    assert!((0..40).any(|seed| shows(sabotage, seed)), "no history shows {sabotage:?}");
    assert!(!(0..40).any(|seed| shows(Sabotage::None, seed)));
}
