//! Schedules and what is judged, without processes.

use std::collections::BTreeSet;
use std::time::Duration;

use cuminarch_soak::{CallerResult, Fault, Observations, Promise, Sabotage, Schedule, Termination};
use cuminarch_types::Outcome;
use rstest::rstest;

#[test]
fn a_seed_gives_the_whole_schedule() {
    insta::assert_snapshot!(Schedule::from_seed(1, Duration::from_secs(4)));
}

#[test]
fn schedules_contain_all_fault_kinds_and_overlaps() {
    let mut kinds = BTreeSet::new();
    let mut overlaps = 0;
    for seed in 0..50 {
        let schedule = Schedule::from_seed(seed, Duration::from_secs(6));
        for step in &schedule.faults {
            kinds.insert(match step.fault {
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

/// One request that ran once and completed, and a fleet that recovered.
fn valid_observations() -> Observations {
    let told = CallerResult {
        target: "/approvals/1".to_owned(),
        is_idempotent: false,
        outcome: Some(Outcome::Completed),
        is_own_answer: true,
    };
    let mut observations = Observations { caller_results: vec![told], ..Observations::default() };
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
#[case::ran_twice(Promise::AtMostOnce, |seen: &mut Observations| {
    seen.runs.insert("/approvals/1".to_owned(), 2);
})]
#[case::false_refusal(Promise::TrueRefusals, |seen: &mut Observations| {
    seen.caller_results[0].outcome = Some(Outcome::NotRun);
})]
#[case::another_answer(Promise::WholeAnswers, |seen: &mut Observations| {
    seen.caller_results[0].is_own_answer = false;
})]
#[case::too_many_attempts(Promise::BoundedAttempts, |seen: &mut Observations| {
    seen.downstream_runs.insert("/approvals/1".to_owned(), Observations::GRANTED_ATTEMPTS + 1);
})]
#[case::went_back(Promise::ConfigurationNeverBack, |seen: &mut Observations| {
    seen.revisions.insert(0, vec![2, 1]);
})]
#[case::ended_by_force(Promise::GracefulStops, |seen: &mut Observations| {
    seen.terminations[0].is_graceful = false;
})]
#[case::stays_down(Promise::Recovery, |seen: &mut Observations| seen.recovery = None)]
fn each_violation_is_detected(#[case] promise: Promise, #[case] breach: fn(&mut Observations)) {
    let mut observations = valid_observations();
    breach(&mut observations);
    let broken: Vec<Promise> =
        observations.violations().iter().map(|violation| violation.promise).collect();
    assert_eq!(broken, [promise]);
}

#[test]
fn promise_names_are_parsed() {
    for promise in Promise::ALL {
        assert_eq!(promise.name().parse::<Sabotage>().unwrap(), Sabotage(promise));
    }
}
