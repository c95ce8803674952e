//! Which calls end within the time that a process has left.

use std::time::Duration;

use cuminarch_admission::LongestRuns;
use cuminarch_types::RouteName;
use rstest::rstest;

fn route() -> RouteName {
    "r".parse().unwrap()
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[rstest]
#[case::nothing_known_and_a_short_limit(&[], 400, 500, true)]
#[case::nothing_known_and_a_long_limit(&[], 600, 500, false)]
#[case::too_few_calls_known(&[(49, 100)], 600, 500, false)]
#[case::short_calls(&[(50, 100)], 600, 500, true)]
#[case::one_long_call(&[(200, 100), (1, 501), (200, 100)], 600, 500, false)]
#[case::a_long_call_some_time_ago(&[(1, 501), (1_000, 100)], 600, 500, true)]
#[case::a_long_call_in_the_last_generation(&[(499, 100), (1, 501), (499, 100)], 600, 500, false)]
#[case::answers_longer_than_the_limit(&[(50, 700)], 400, 500, false)]
fn calls_that_take_longer_than_the_time_left_are_found(
    #[case] calls: &[(u32, u64)],
    #[case] limit_ms: u64,
    #[case] left_ms: u64,
    #[case] ends: bool,
) {
    let mut runs = LongestRuns::new();
    for (count, duration_ms) in calls {
        (0..*count).for_each(|_| runs.record(&route(), ms(*duration_ms)));
    }
    assert_eq!(runs.will_end_within(ms(left_ms), &route(), ms(limit_ms)), ends);
}
