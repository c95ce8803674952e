//! Short soaks of real daemons: two without a violation, and one for each promise that is
//! broken on purpose.

use std::path::PathBuf;
use std::time::Duration;

use cuminarch_soak::{Promise, Sabotage, Schedule, Soak, SoakReport};
use rstest::rstest;

fn run_soak(seed: u64, sabotage: Option<Sabotage>) -> SoakReport {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_cuminarchd"));
    let schedule = Schedule::from_seed(seed, Duration::from_secs(3));
    Soak::new(program, schedule).with_sabotage(sabotage).run().unwrap()
}

#[rstest]
#[case(1)]
#[case(2)]
fn promises_hold_under_faults(#[case] seed: u64) {
    let report = run_soak(seed, None);
    assert!(report.violations.is_empty(), "{report}");
    assert!(report.completed > 0, "{report}");
}

#[rstest]
#[case(Promise::AtMostOnce)]
#[case(Promise::TrueRefusals)]
#[case(Promise::WholeAnswers)]
#[case(Promise::BoundedAttempts)]
#[case(Promise::ConfigurationNeverBack)]
#[case(Promise::GracefulStops)]
#[case(Promise::Recovery)]
#[case(Promise::ValidKeys)]
#[case(Promise::HiddenKeys)]
fn a_breach_of_each_promise_is_noticed(#[case] promise: Promise) {
    let report = run_soak(3, Some(Sabotage(promise)));
    let is_reported = report.violations.iter().any(|violation| violation.promise == promise);
    assert!(is_reported, "{report}");
}
