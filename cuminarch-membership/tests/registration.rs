//! Registrations of an upstream that arrive late, twice or out of order.

use std::time::Duration;

use Input::{Complete, Knew, Says};
use cuminarch_membership::{Registration, UpstreamTracker};
use cuminarch_protocol::UpstreamState::{self, Absent, Draining, Ready};
use cuminarch_protocol::{UpstreamLifetime, UpstreamRecord};
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

fn record(start: u64, state: UpstreamState) -> UpstreamRecord {
    let instance = Some(format!("i-{start}").parse().unwrap());
    UpstreamRecord { instance, started_at_ms: start, state, slots: 40, warm_up_ms: 0 }
}

/// What a new process of a node is told, in order of arrival.
#[derive(Clone, Copy, Debug)]
enum Input {
    /// A registration: start, sequence, state.
    Says(u64, u64, UpstreamState),
    /// What an earlier process knew.
    Knew(u64, UpstreamState),
    /// Nothing more is known.
    Complete,
}

/// A node was killed after it had acknowledged a departure. The new process took a late registration
/// of that lifetime for a new one, in whatever order it arrived, or ignored a true new start.
#[rstest]
#[case::late_before_the_history(&[Says(5, 9, Ready), Knew(5, Absent), Complete], Some((5, Absent)))]
#[case::late_after_the_history(&[Knew(5, Absent), Complete, Says(5, 9, Ready)], Some((5, Absent)))]
#[case::late_after_draining(&[Knew(5, Draining), Complete, Says(5, 9, Ready)], Some((5, Draining)))]
#[case::history_after_the_timeout(&[Complete, Says(5, 9, Ready), Knew(5, Absent)], Some((5, Absent)))]
#[case::histories_in_any_order(&[Knew(5, Absent), Knew(5, Ready), Complete, Says(5, 9, Ready)], Some((5, Absent)))]
#[case::history_is_older(&[Knew(5, Ready), Knew(5, Absent), Complete, Says(5, 9, Ready)], Some((5, Absent)))]
#[case::true_start(&[Knew(5, Absent), Complete, Says(7, 1, Ready)], Some((7, Ready)))]
#[case::true_start_before_the_history(&[Says(7, 1, Ready), Knew(5, Absent), Complete], Some((7, Ready)))]
#[case::true_start_then_late(&[Knew(5, Absent), Complete, Says(7, 1, Ready), Says(5, 9, Ready)], Some((7, Ready)))]
#[case::late_then_true_start(&[Says(5, 9, Ready), Says(7, 1, Ready), Knew(5, Absent), Complete], Some((7, Ready)))]
#[case::true_start_then_late_history(&[Complete, Says(7, 1, Ready), Knew(5, Ready)], Some((7, Ready)))]
#[case::node_alone_started_again(&[Knew(5, Ready), Complete, Says(5, 9, Ready)], Some((5, Ready)))]
#[case::nothing_known(&[Says(5, 9, Ready), Complete], Some((5, Ready)))]
#[case::not_yet_known(&[Says(5, 9, Ready)], None)]
#[case::departure_needs_no_history(&[Says(5, 9, Draining)], Some((5, Draining)))]
#[case::late_of_a_lifetime_before(&[Knew(5, Ready), Complete, Says(3, 9, Ready)], None)]
#[case::late_of_a_lifetime_before_taken(&[Complete, Says(3, 9, Ready), Knew(5, Ready)], None)]
#[case::then_the_live_one(&[Complete, Says(3, 9, Ready), Knew(5, Ready), Says(5, 4, Ready)], Some((5, Ready)))]
#[case::clock_set_back(&[Knew(5, Absent), Complete, Says(3, 1, Ready), Says(3, 2, Ready)], Some((3, Ready)))]
#[case::clock_set_back_then_history(&[Knew(5, Absent), Complete, Says(3, 1, Ready), Says(3, 2, Ready), Knew(5, Absent)], Some((3, Ready)))]
#[case::clock_set_back_same_twice(&[Knew(5, Absent), Complete, Says(3, 1, Ready), Says(3, 1, Ready)], Some((5, Absent)))]
#[case::late_twice_beside_a_live_one(&[Complete, Says(5, 1, Ready), Says(3, 8, Ready), Says(5, 2, Ready), Says(3, 9, Ready)], Some((5, Ready)))]
#[case::followed_lifetimes_stay_ended(&[Complete, Says(3, 1, Ready), Says(5, 1, Ready), Says(3, 8, Ready), Says(3, 9, Ready)], Some((5, Ready)))]
fn a_new_process_is_bound_by_what_an_earlier_one_acknowledged(
    #[case] inputs: &[Input],
    #[case] expected: Option<(u64, UpstreamState)>,
) {
    let mut tracker = UpstreamTracker::new().awaiting_history();
    for input in inputs {
        match *input {
            Says(start, sequence, state) => {
                tracker.apply(&registration(start, Some(sequence), state));
            }
            Knew(start, state) => {
                tracker.adopt(&record(start, state));
            }
            Complete => {
                tracker.complete_history();
            }
        }
    }
    let record = tracker.record();
    let found = record.instance.is_some().then_some((record.started_at_ms, record.state));
    assert_eq!(found, expected);
}
