//! The retries of a fleet stay within its bounds, whatever happens at the serving nodes.

use std::time::Duration;

use cuminarch_attempts::{EndpointPosition, RetryBudget, RetryBudgetSettings};
use cuminarch_types::MonoTime;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// An event at a serving node.
#[derive(Clone, Copy, Debug)]
enum Step {
    First,
    Retry { is_urgent: bool },
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::First),
        8 => any::<bool>().prop_map(|is_urgent| Step::Retry { is_urgent }),
        1 => Just(Step::Restart),
    ]
}

/// Times of the first arrivals and of the admitted retries.
#[derive(Debug, Default)]
struct Arrivals {
    firsts: Vec<MonoTime>,
    retries: Vec<MonoTime>,
}

impl Arrivals {
    /// Returns `true` if every window has no more retries than its first arrivals allow.
    fn stay_within(&self, settings: &RetryBudgetSettings) -> bool {
        self.retries.iter().all(|end| {
            let is_within = |at: &&MonoTime| **at <= *end && end.since(**at) < settings.window;
            let firsts = self.firsts.iter().filter(is_within).count() as f64;
            let retries = self.retries.iter().filter(is_within).count() as f64;
            retries <= settings.ratio * firsts + settings.slack
        })
    }
}

fn simulate(
    settings: &RetryBudgetSettings,
    nodes: usize,
    steps: &[(usize, u64, Step)],
) -> Arrivals {
    let mut budgets = vec![RetryBudget::new(); nodes];
    let mut now = MonoTime::from_millis(1);
    let mut arrivals = Arrivals::default();
    for (node, pause_ms, step) in steps {
        now = now.after(Duration::from_millis(*pause_ms));
        let budget = &mut budgets[node % nodes];
        budget.advance(
            settings,
            EndpointPosition { endpoint_count: nodes, index: node % nodes },
            now,
        );
        match step {
            Step::First => {
                budget.record_first_arrival(settings);
                arrivals.firsts.push(now);
            }
            Step::Retry { is_urgent } => {
                if budget.try_retry(settings, *is_urgent) {
                    arrivals.retries.push(now);
                }
            }
            Step::Restart => *budget = RetryBudget::new(),
        }
    }
    arrivals
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// For any number of nodes, with restarts, bursts and pauses.
    #[test]
    fn all_nodes_together_stay_within_ratio_and_slack(
        nodes in 1..60_usize,
        slack in 0.0..60.0_f64,
        ratio in 0.0..0.5_f64,
        window_ms in 500..10_000_u64,
        steps in prop::collection::vec((0..60_usize, 0..120_u64, step()), 0..1_200),
    ) {
        let settings = RetryBudgetSettings::new(ratio, slack, Duration::from_millis(window_ms));
        let arrivals = simulate(&settings, nodes, &steps);
        prop_assert!(arrivals.stay_within(&settings));
    }
}

/// Offers steady requests and more retries than allowed. Returns the fraction of the bound that the
/// admitted retries use.
fn used_fraction(nodes: usize, requests_per_s: u64, slack: f64) -> f64 {
    let settings = RetryBudgetSettings::new(0.2, slack, Duration::from_secs(10));
    let gap_ms = 1_000 / requests_per_s;
    let steps: Vec<(usize, u64, Step)> = (0..requests_per_s * 30)
        .flat_map(|number| {
            let node = number as usize;
            let retry = (node, 0, Step::Retry { is_urgent: true });
            [(node, gap_ms, Step::First), retry, retry]
        })
        .collect();
    let arrivals = simulate(&settings, nodes, &steps);
    let from = MonoTime::from_millis(20_000);
    let retries = arrivals.retries.iter().filter(|at| **at >= from).count() as f64;
    let firsts = arrivals.firsts.iter().filter(|at| **at >= from).count() as f64;
    retries / (settings.ratio * firsts + settings.slack)
}

/// A large fleet with a small slack has hardly one retry per node, and still uses the bound.
#[rstest]
#[case::alone(1, 100, 50.0)]
#[case::some(3, 100, 50.0)]
#[case::many(98, 500, 213.0)]
#[case::few_requests(14, 20, 213.0)]
fn most_of_the_bound_is_used_when_it_is_needed(
    #[case] nodes: usize,
    #[case] requests_per_s: u64,
    #[case] slack: f64,
) {
    let used = used_fraction(nodes, requests_per_s, slack);
    assert!((0.4..=1.0).contains(&used), "{used}");
}

/// A node whose share of the slack is less than one retry only has what it earns.
#[test]
fn more_nodes_than_slack_are_within_the_bound() {
    let used = used_fraction(195, 500, 20.0);
    assert!(used <= 1.0, "{used}");
}

#[test]
fn the_last_retries_are_reserved_for_urgent_calls() {
    let settings = RetryBudgetSettings::new(0.0, 80.0, Duration::from_secs(10));
    let mut budget = RetryBudget::new();
    let alone = EndpointPosition { endpoint_count: 1, index: 0 };
    budget.advance(&settings, alone, MonoTime::from_millis(1));
    budget.advance(&settings, alone, MonoTime::from_millis(60_000));
    let mut count = |is_urgent| {
        std::iter::repeat_with(|| budget.try_retry(&settings, is_urgent))
            .take_while(|took| *took)
            .count()
    };
    let (ordinary, urgent) = (count(false), count(true));
    assert!(ordinary >= 10 && urgent >= 10, "{ordinary} {urgent}");
}
