//! Tests of the zone states during a wait.

use std::time::Duration;

use cuminarch_cli::{WaitStateMachine, WaitStep, ZoneState};
use cuminarch_config::ZoneStatus;
use cuminarch_platform::{Listing, Object, ObjectVersion, PlatformError};
use cuminarch_types::{EndpointId, MonoTime, Revision, ZoneName};
use rstest::rstest;

const LIMIT: Duration = Duration::from_secs(10);

fn report(sequence: u64, lowest: u64, highest: u64, in_force: u32) -> Listing {
    let status = ZoneStatus {
        zone: ZoneName::new("zrh-a").unwrap(),
        relay: EndpointId::new("katalog-1").unwrap(),
        sequence,
        lowest_revision: Revision::new(lowest),
        highest_revision: Revision::new(highest),
        members: 4,
        members_in_force: in_force,
    };
    let value = serde_json::to_string(&status).unwrap();
    let path = "status/zrh-a".parse().unwrap();
    let version = ObjectVersion::new(1);
    Listing { version, objects: vec![Object { path, version, value }] }
}

/// Waits for revision 7 with one read at the start and one at the timeout.
fn outcome(second: Listing) -> (Vec<ZoneState>, Vec<ZoneState>) {
    let mut state_machine = WaitStateMachine::new(Revision::new(7), [], MonoTime::ZERO, LIMIT);
    let first = state_machine.handle(&Ok(report(1, 6, 6, 4)), MonoTime::ZERO);
    assert_eq!(
        first,
        WaitStep::Read { delay: WaitStateMachine::POLL_INTERVAL, newly_in_force: Vec::new() }
    );
    let states = |zones: Vec<cuminarch_cli::ZoneProgress>| {
        zones.into_iter().map(|zone| zone.state).collect()
    };
    match state_machine.handle(&Ok(second), MonoTime::ZERO.after(LIMIT)) {
        WaitStep::Done { newly_in_force, missing, has_zones: true } => {
            (states(newly_in_force), states(missing))
        }
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case::in_force(report(2, 7, 7, 4), &[ZoneState::InForce], &[])]
#[case::replaced(report(2, 7, 8, 1), &[ZoneState::Superseded], &[])]
#[case::one_member_behind(report(2, 6, 7, 3), &[], &[ZoneState::Behind])]
#[case::same_report(report(1, 6, 6, 4), &[], &[ZoneState::Silent])]
fn final_zone_state_follows_its_reports(
    #[case] second: Listing,
    #[case] newly_in_force: &[ZoneState],
    #[case] missing: &[ZoneState],
) {
    assert_eq!(outcome(second), (newly_in_force.to_vec(), missing.to_vec()));
}

#[test]
fn platform_that_stays_down_leaves_named_zones_silent() {
    let zone = ZoneName::new("brn-a").unwrap();
    let mut state_machine = WaitStateMachine::new(Revision::new(7), [zone], MonoTime::ZERO, LIMIT);
    let down = Err(PlatformError::Unavailable { reason: "down".to_owned() });
    assert!(matches!(state_machine.handle(&down, MonoTime::ZERO), WaitStep::Read { .. }));
    match state_machine.handle(&down, MonoTime::ZERO.after(LIMIT)) {
        WaitStep::Done { missing, .. } => assert_eq!(missing[0].state, ZoneState::Silent),
        other => panic!("{other:?}"),
    }
}
