//! Repeats of a fleet within its bounds, whatever happens at its doors.

use std::time::Duration;

use cuminarch_attempts::{EndpointPosition, RetryBudget, RetryBudgetSettings};
use cuminarch_types::MonoTime;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// One thing that happens at a door, after a pause.
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

/// Times of the first arrivals and of the repeats that were let through.
#[derive(Debug, Default)]
struct Arrivals {
    firsts: Vec<MonoTime>,
    retries: Vec<MonoTime>,
}

impl Arrivals {
    /// Whether every window holds no more repeats than its first arrivals allow.
    fn keep(&self, settings: &RetryBudgetSettings) -> bool {
        self.retries.iter().all(|end| {
            let is_within = |at: &&MonoTime| **at <= *end && end.since(**at) < settings.window;
            let firsts = self.firsts.iter().filter(is_within).count() as f64;
            let repeats = self.retries.iter().filter(is_within).count() as f64;
            repeats <= settings.ratio * firsts + settings.slack
        })
    }
}

fn play(settings: &RetryBudgetSettings, doors: usize, steps: &[(usize, u64, Step)]) -> Arrivals {
    let mut budgets = vec![RetryBudget::new(); doors];
    let mut now = MonoTime::from_millis(1);
    let mut arrivals = Arrivals::default();
    for (door, pause_ms, step) in steps {
        now = now.after(Duration::from_millis(*pause_ms));
        let budget = &mut budgets[door % doors];
        budget.advance(
            settings,
            EndpointPosition { endpoint_count: doors, index: door % doors },
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

    /// Whatever the number of doors, with restarts, bursts and pauses.
    #[test]
    fn all_doors_together_stay_within_ratio_and_slack(
        doors in 1..60_usize,
        slack in 0.0..60.0_f64,
        ratio in 0.0..0.5_f64,
        window_ms in 500..10_000_u64,
        steps in prop::collection::vec((0..60_usize, 0..120_u64, step()), 0..1_200),
    ) {
        let settings = RetryBudgetSettings::new(ratio, slack, Duration::from_millis(window_ms));
        let arrivals = play(&settings, doors, &steps);
        prop_assert!(arrivals.keep(&settings));
    }
}

/// Repeats that are let through in a window of steady requests and more repeats than
/// are allowed, as part of the bound.
fn used_fraction(doors: usize, requests_per_s: u64, slack: f64) -> f64 {
    let settings = RetryBudgetSettings::new(0.2, slack, Duration::from_secs(10));
    let gap_ms = 1_000 / requests_per_s;
    let steps: Vec<(usize, u64, Step)> = (0..requests_per_s * 30)
        .flat_map(|number| {
            let door = number as usize;
            let repeat = (door, 0, Step::Retry { is_urgent: true });
            [(door, gap_ms, Step::First), repeat, repeat]
        })
        .collect();
    let arrivals = play(&settings, doors, &steps);
    let from = MonoTime::from_millis(20_000);
    let repeats = arrivals.retries.iter().filter(|at| **at >= from).count() as f64;
    let firsts = arrivals.firsts.iter().filter(|at| **at >= from).count() as f64;
    repeats / (settings.ratio * firsts + settings.slack)
}

/// A large fleet with a small slack has hardly a repeat for each node, and uses the
/// bound all the same.
#[rstest]
#[case::alone(1, 100, 50.0)]
#[case::some(3, 100, 50.0)]
#[case::many(98, 500, 213.0)]
#[case::few_requests(14, 20, 213.0)]
fn most_of_the_bound_is_used_when_it_is_needed(
    #[case] doors: usize,
    #[case] requests_per_s: u64,
    #[case] slack: f64,
) {
    let used = used_fraction(doors, requests_per_s, slack);
    assert!((0.4..=1.0).contains(&used), "{used}");
}

/// A door whose share of the slack is less than one repeat lives on what it earns.
#[test]
fn more_doors_than_slack_are_within_the_bound() {
    let used = used_fraction(195, 500, 20.0);
    assert!(used <= 1.0, "{used}");
}

#[test]
fn the_last_repeats_are_kept_for_what_is_urgent() {
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
