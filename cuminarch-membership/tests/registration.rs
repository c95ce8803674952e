//! Registrations of an upstream that arrive late, twice or out of order.

use std::time::Duration;

use cuminarch_membership::{Registration, UpstreamTracker};
use cuminarch_protocol::UpstreamLifetime;
use cuminarch_protocol::UpstreamState::{self, Absent, Draining, Ready};
use rstest::rstest;

fn registration(start: u64, sequence: Option<u64>, state: UpstreamState) -> Registration {
    Registration {
        instance: format!("i-{start}").parse().unwrap(),
        started_at_ms: Some(start),
        sequence,
        state,
        slots: Some(40),
        warm_up: Duration::ZERO,
    }
}

#[rstest]
#[case::in_order(&[(1, Some(1), Ready), (1, Some(2), Draining), (1, None, Absent)], 1, Absent)]
#[case::late_ready(&[(1, Some(3), Draining), (1, Some(2), Ready)], 1, Draining)]
#[case::ready_after_draining(&[(1, Some(3), Draining), (1, Some(4), Ready)], 1, Draining)]
#[case::ready_after_leaving(&[(1, Some(3), Ready), (1, None, Absent), (1, Some(4), Ready)], 1, Absent)]
#[case::next_incarnation(&[(1, Some(9), Ready), (2, Some(1), Ready)], 2, Ready)]
#[case::late_of_earlier_incarnation(&[(2, Some(1), Ready), (1, Some(9), Draining)], 2, Ready)]
#[case::earlier_incarnation_leaves_late(&[(2, Some(1), Ready), (1, None, Absent)], 2, Ready)]
fn late_or_repeated_registrations_are_ignored(
    #[case] registrations: &[(u64, Option<u64>, UpstreamState)],
    #[case] start: u64,
    #[case] state: UpstreamState,
) {
    let mut tracker = UpstreamTracker::new();
    for (start, sequence, state) in registrations {
        tracker.apply(&registration(*start, *sequence, *state));
    }
    assert_eq!((tracker.record().started_at_ms, tracker.record().state), (start, state));
}

#[test]
fn restarted_instance_resets_the_sequence() {
    let mut tracker = UpstreamTracker::new();
    tracker.apply(&registration(1, Some(50), Draining));
    let again = Registration { started_at_ms: Some(7), ..registration(1, Some(1), Ready) };
    assert_eq!(tracker.apply(&again).map(|record| record.state), Some(Ready));
}

/// An answer of the upstream announces its departure; registrations of that lifetime do not take it
/// back.
#[rstest]
#[case::current_lifetime(1, &[(1, Some(2), Ready)], Draining)]
#[case::then_deregistered(1, &[(1, None, Absent)], Absent)]
#[case::then_next_lifetime(1, &[(2, Some(1), Ready)], Ready)]
#[case::earlier_lifetime(0, &[], Ready)]
fn departure_in_an_answer_holds_for_its_lifetime(
    #[case] started_at_ms: u64,
    #[case] later: &[(u64, Option<u64>, UpstreamState)],
    #[case] state: UpstreamState,
) {
    let mut tracker = UpstreamTracker::new();
    tracker.apply(&registration(1, Some(1), Ready));
    let instance = format!("i-{started_at_ms}").parse().unwrap();
    tracker.begin_draining(&UpstreamLifetime { instance, started_at_ms });
    for (start, sequence, state) in later {
        tracker.apply(&registration(*start, *sequence, *state));
    }
    assert_eq!(tracker.record().state, state);
}
