//! Schedules and the evaluation of observations, without processes.

use std::collections::BTreeSet;
use std::time::Duration;

use cuminarch_soak::{CallerResult, Fault, Observations, Promise, Sabotage, Schedule, Termination};
use cuminarch_types::Outcome;
use rstest::rstest;

#[test]
fn seed_determines_the_schedule() {
    insta::assert_snapshot!(Schedule::from_seed(1, Duration::from_secs(4)));
}

#[test]
fn schedules_contain_all_fault_kinds_and_overlaps() {
    let mut kinds = BTreeSet::new();
    let mut overlaps = 0;
    for seed in 0..50 {
        let schedule = Schedule::from_seed(seed, Duration::from_secs(6));
        for scheduled in &schedule.faults {
            kinds.insert(match scheduled.fault {
                Fault::Kill(_) => "kill",
                Fault::Pause(_) => "pause",
                Fault::Terminate(_) => "terminate",
                Fault::Upstream(..) => "upstream",
                Fault::Platform(..) => "platform",
                Fault::PlatformDown => "platform down",
                Fault::PlatformLosesAnswers => "lost answers",
                Fault::PlatformSlow(_) => "slow",
                Fault::NewConfiguration => "configuration",
            });
        }
        let is_overlap = |pair: &[cuminarch_soak::ScheduledFault]| {
            pair[0].start_offset + pair[0].duration > pair[1].start_offset
        };
        overlaps += usize::from(schedule.faults.windows(2).any(is_overlap));
    }
    assert_eq!(kinds.len(), 9);
    assert_eq!(overlaps, 50);
}

/// Returns observations of one request that ran once and completed, and of a fleet that
/// recovered.
fn valid_observations() -> Observations {
    let result = CallerResult {
        target: "/approvals/1".to_owned(),
        is_idempotent: false,
        outcome: Some(Outcome::Completed),
        is_own_answer: true,
        has_valid_key: true,
    };
    let mut observations = Observations { caller_results: vec![result], ..Observations::default() };
    observations.runs.insert("/approvals/1".to_owned(), 1);
    observations.downstream_runs.insert("/approvals/1".to_owned(), 1);
    observations.revisions.insert(0, vec![1, 1, 2]);
    observations.recovery = Some(Duration::ZERO);
    observations.terminations.push(Termination {
        site: 0,
        is_graceful: true,
        details: "exit 0".to_owned(),
    });
    observations
}

#[test]
fn valid_observations_break_no_promise() {
    assert_eq!(valid_observations().violations(), []);
}

#[rstest]
#[case::ran_twice(Promise::AtMostOnce, |observed: &mut Observations| {
    observed.runs.insert("/approvals/1".to_owned(), 2);
})]
#[case::false_refusal(Promise::TrueRefusals, |observed: &mut Observations| {
    observed.caller_results[0].outcome = Some(Outcome::NotRun);
})]
#[case::another_answer(Promise::WholeAnswers, |observed: &mut Observations| {
    observed.caller_results[0].is_own_answer = false;
})]
#[case::too_many_attempts(Promise::BoundedAttempts, |observed: &mut Observations| {
    observed.downstream_runs.insert("/approvals/1".to_owned(), Observations::GRANTED_ATTEMPTS + 1);
})]
#[case::went_back(Promise::ConfigurationNeverBack, |observed: &mut Observations| {
    observed.revisions.insert(0, vec![2, 1]);
})]
#[case::ended_by_force(Promise::GracefulStops, |observed: &mut Observations| {
    observed.terminations[0].is_graceful = false;
})]
#[case::invalid_key(Promise::ValidKeys, |observed: &mut Observations| {
    observed.caller_results[0].has_valid_key = false;
})]
#[case::key_at_an_upstream(Promise::HiddenKeys, |observed: &mut Observations| {
    observed.keys_at_upstreams = 1;
})]
#[case::stays_down(Promise::Recovery, |observed: &mut Observations| observed.recovery = None)]
fn each_violation_is_detected(
    #[case] promise: Promise,
    #[case] break_promise: fn(&mut Observations),
) {
    let mut observations = valid_observations();
    break_promise(&mut observations);
    let violated: Vec<Promise> =
        observations.violations().iter().map(|violation| violation.promise).collect();
    assert_eq!(violated, [promise]);
}

#[test]
fn promise_names_are_parsed() {
    for promise in Promise::ALL {
        assert_eq!(promise.name().parse::<Sabotage>().unwrap(), Sabotage(promise));
    }
}
