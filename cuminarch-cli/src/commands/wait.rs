use std::time::Duration;

use cuminarch_platform::ObjectStore;
use cuminarch_types::{Revision, ZoneName};

use crate::commands::Session;
use crate::commands::change_report::WaitReport;
use crate::paths::{ZONE_STATUS, object_path};
use crate::wait_process::{WaitStateMachine, WaitStep, ZoneProgress};
use crate::{CliError, ExitStatus};

/// Shows each zone as the revision comes into force there.
pub(crate) fn wait(
    session: &mut Session<'_, '_>,
    store: &dyn ObjectStore,
    revision: Revision,
    zones: &[ZoneName],
    limit: Duration,
) -> Result<ExitStatus, CliError> {
    let begun = session.clock.now();
    let mut process = WaitStateMachine::new(revision, zones.iter().cloned(), begun, limit);
    let status = object_path(ZONE_STATUS);
    loop {
        match process.handle(&store.list(&status), session.clock.now()) {
            WaitStep::Read { delay: after, newly_in_force: news } => {
                report_zones(session, &news)?;
                session.clock.sleep(after);
            }
            WaitStep::Done { newly_in_force: news, missing, has_zones } => {
                report_zones(session, &news)?;
                let is_in_force = has_zones && missing.is_empty();
                session.report(&WaitReport { revision, is_in_force, missing })?;
                let status = if is_in_force { ExitStatus::Success } else { ExitStatus::NotInForce };
                return Ok(status);
            }
        }
    }
}

fn report_zones(session: &mut Session<'_, '_>, news: &[ZoneProgress]) -> Result<(), CliError> {
    for zone in news {
        session.report(zone)?;
    }
    Ok(())
}
