//! No sequence of operations creates attempts.

use std::collections::BTreeMap;

use cuminarch_attempts::{AttemptBudget, DemandEstimator, RetryRatioLimiter, grant_for_send};
use cuminarch_types::{AttemptId, Attempts, ResendNumber};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

#[derive(Clone, Debug)]
enum Op {
    Delegate(u64, u32),
    Settle(u64, u32),
    Forfeit(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let id = 0..6_u64;
    prop_oneof![
        (id.clone(), 0..20_u32).prop_map(|(id, want)| Op::Delegate(id, want)),
        (id.clone(), 0..40_u32).prop_map(|(id, unspent)| Op::Settle(id, unspent)),
        id.prop_map(Op::Forfeit),
    ]
}

/// The same accounting with plain sums.
#[derive(Default)]
struct Ledger {
    spent: u32,
    forfeited: u32,
    delegated: BTreeMap<u64, u32>,
}

impl Ledger {
    fn apply(&mut self, budget: &mut AttemptBudget, op: &Op) {
        match *op {
            Op::Delegate(id, want) => {
                if let Ok(share) = budget.delegate(AttemptId::new(id), Attempts::new(want)) {
                    self.spent += 1;
                    self.delegated.insert(id, share.get());
                }
            }
            Op::Settle(id, unspent) => {
                budget.settle(AttemptId::new(id), Attempts::new(unspent));
                self.spent +=
                    self.delegated.remove(&id).map_or(0, |share| share - share.min(unspent));
            }
            Op::Forfeit(id) => {
                budget.forfeit(AttemptId::new(id));
                self.forfeited += self.delegated.remove(&id).unwrap_or(0);
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
    fn available_delegated_spent_and_forfeited_sum_to_the_grant(
        grant in 0..64_u32,
        ops in prop::collection::vec(op(), 0..80),
    ) {
        let mut budget = AttemptBudget::new(Attempts::new(grant));
        let mut ledger = Ledger::default();
        for op in &ops {
            ledger.apply(&mut budget, op);
            let delegated: u32 = ledger.delegated.values().sum();
            prop_assert_eq!(budget.delegated().get(), delegated);
            prop_assert_eq!(
                budget.available().get() + delegated + ledger.spent + ledger.forfeited,
                grant
            );
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
        let mut limiter = RetryRatioLimiter::new();
        let mut retries = 0;
        for _ in 0..firsts {
            limiter.record_first_attempt(percent);
            while limiter.try_retry() {
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
        let mut estimator = DemandEstimator::new();
        spent.iter().for_each(|spent| estimator.observe(Attempts::new(*spent)));
        let left = Attempts::new(left);
        prop_assert!(estimator.share(left) <= left);
        if estimator.is_covered_by(left) {
            prop_assert!(estimator.share(left).get() >= spent.last().copied().unwrap_or(0));
        }
    }
}

#[rstest]
#[case::unknown_demand(&[], 32, 30)]
#[case::unknown_demand_and_little_left(&[], 15, 15)]
#[case::demand_and_half(&[12], 100, 24)]
#[case::leaf_takes_only_a_margin(&[0], 32, 2)]
#[case::no_more_than_is_left(&[12], 10, 10)]
#[case::the_peak_decides(&[12, 0, 3], 100, 24)]
fn share_follows_the_demand(#[case] spent: &[u32], #[case] left: u32, #[case] expected: u32) {
    let mut estimator = DemandEstimator::new();
    spent.iter().for_each(|spent| estimator.observe(Attempts::new(*spent)));
    assert_eq!(estimator.share(Attempts::new(left)).get(), expected);
}
