//! No sequence of operations creates attempts.

use std::collections::BTreeMap;

use cuminarch_attempts::{AttemptBudget, DemandEstimator, RetryRatioLimiter, grant_for_send};
use cuminarch_types::{AttemptId, Attempts, ResendNumber};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

#[derive(Clone, Debug)]
enum Op {
    Lend(u64, u32),
    Settle(u64, u32),
    Forfeit(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let id = 0..6_u64;
    prop_oneof![
        (id.clone(), 0..20_u32).prop_map(|(id, want)| Op::Lend(id, want)),
        (id.clone(), 0..40_u32).prop_map(|(id, unspent)| Op::Settle(id, unspent)),
        id.prop_map(Op::Forfeit),
    ]
}

/// The same account kept as plain sums.
#[derive(Default)]
struct Ledger {
    spent: u32,
    forfeited: u32,
    lent: BTreeMap<u64, u32>,
}

impl Ledger {
    fn apply(&mut self, budget: &mut AttemptBudget, op: &Op) {
        match *op {
            Op::Lend(id, want) => {
                if let Ok(share) = budget.delegate(AttemptId::new(id), Attempts::new(want)) {
                    self.spent += 1;
                    self.lent.insert(id, share.get());
                }
            }
            Op::Settle(id, unspent) => {
                budget.settle(AttemptId::new(id), Attempts::new(unspent));
                self.spent += self.lent.remove(&id).map_or(0, |share| share - share.min(unspent));
            }
            Op::Forfeit(id) => {
                budget.forfeit(AttemptId::new(id));
                self.forfeited += self.lent.remove(&id).unwrap_or(0);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn held_lent_spent_and_forfeited_are_the_grant(
        grant in 0..64_u32,
        ops in prop::collection::vec(op(), 0..80),
    ) {
        let mut budget = AttemptBudget::new(Attempts::new(grant));
        let mut ledger = Ledger::default();
        for op in &ops {
            ledger.apply(&mut budget, op);
            let lent: u32 = ledger.lent.values().sum();
            prop_assert_eq!(budget.delegated().get(), lent);
            prop_assert_eq!(budget.available().get() + lent + ledger.spent + ledger.forfeited, grant);
        }
    }

    #[test]
    fn all_sends_together_stay_within_the_grant(grant: u32) {
        let sends = (1..100).map(|send| grant_for_send(Attempts::new(grant), ResendNumber::new(send)));
        let sum: u64 = sends.map(|granted| u64::from(granted.get())).sum();
        prop_assert!(sum <= u64::from(grant));
    }

    #[test]
    fn retries_stay_within_their_ratio(firsts in 0..500_u32, percent in 0..100_u32) {
        let mut ratio = RetryRatioLimiter::new();
        let mut retries = 0;
        for _ in 0..firsts {
            ratio.record_first_attempt(percent);
            while ratio.try_retry() {
                retries += 1;
            }
        }
        prop_assert!(retries <= 10 + firsts * percent / 100);
    }

    #[test]
    fn a_share_is_never_more_than_what_is_left(
        left in 0..1_000_u32,
        spent in prop::collection::vec(0..1_000_u32, 0..20),
    ) {
        let mut needs = DemandEstimator::new();
        spent.iter().for_each(|spent| needs.observe(Attempts::new(*spent)));
        let left = Attempts::new(left);
        prop_assert!(needs.share(left) <= left);
        if needs.is_covered_by(left) {
            prop_assert!(needs.share(left).get() >= spent.last().copied().unwrap_or(0));
        }
    }
}

#[rstest]
#[case::unknown_need(&[], 32, 30)]
#[case::unknown_need_and_little_left(&[], 15, 15)]
#[case::need_and_half(&[12], 100, 24)]
#[case::leaf_takes_only_a_margin(&[0], 32, 2)]
#[case::no_more_than_is_left(&[12], 10, 10)]
#[case::the_peak_decides(&[12, 0, 3], 100, 24)]
fn share_follows_the_need(#[case] spent: &[u32], #[case] left: u32, #[case] expected: u32) {
    let mut needs = DemandEstimator::new();
    spent.iter().for_each(|spent| needs.observe(Attempts::new(*spent)));
    assert_eq!(needs.share(Attempts::new(left)).get(), expected);
}
