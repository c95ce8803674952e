use std::time::Duration;

use cuminarch_platform::ObjectStore;
use cuminarch_types::{Revision, ZoneName};

use crate::commands::Session;
use crate::commands::change_report::WaitReport;
use crate::paths::{ZONE_STATUS, object_path};
use crate::wait_state_machine::{WaitStateMachine, WaitStep, ZoneProgress};
use crate::{CliError, ExitStatus};

/// Waits for a revision to be in force and reports each zone when it is.
pub(crate) fn wait(
    session: &mut Session<'_, '_>,
    store: &dyn ObjectStore,
    revision: Revision,
    zones: &[ZoneName],
    timeout: Duration,
) -> Result<ExitStatus, CliError> {
    let started_at = session.clock.now();
    let mut state_machine =
        WaitStateMachine::new(revision, zones.iter().cloned(), started_at, timeout);
    let status = object_path(ZONE_STATUS);
    loop {
        match state_machine.handle(&store.list(&status), session.clock.now()) {
            WaitStep::Read { delay, newly_in_force } => {
                report_zones(session, &newly_in_force)?;
                session.clock.sleep(delay);
            }
            WaitStep::Done { newly_in_force, missing, has_zones } => {
                report_zones(session, &newly_in_force)?;
                let is_in_force = has_zones && missing.is_empty();
                session.report(&WaitReport { revision, is_in_force, missing })?;
                let status = if is_in_force { ExitStatus::Success } else { ExitStatus::NotInForce };
                return Ok(status);
            }
        }
    }
}

fn report_zones(session: &mut Session<'_, '_>, zones: &[ZoneProgress]) -> Result<(), CliError> {
    for zone in zones {
        session.report(zone)?;
    }
    Ok(())
}
