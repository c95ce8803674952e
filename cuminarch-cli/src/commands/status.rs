use std::fmt;

use clap::ArgMatches;
use cuminarch_config::ZoneStatus;
use cuminarch_platform::ObjectStore;
use cuminarch_types::{ChangeId, Revision};
use serde::Serialize;

use crate::commands::{Session, platform_store};
use crate::configuration::read_current;
use crate::paths::{ZONE_STATUS, object_path};
use crate::{CliError, ExitStatus};

/// The accepted revision and the status reports of the zones.
#[derive(Debug, Serialize)]
struct StatusReport {
    accepted: Option<Accepted>,
    zones: Vec<ZoneStatus>,
    /// Whether a zone has a revision in force that the platform has lost.
    is_platform_behind: bool,
    is_in_force: bool,
}

#[derive(Debug, Serialize)]
struct Accepted {
    revision: Revision,
    change: ChangeId,
}

impl fmt::Display for StatusReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.accepted {
            Some(accepted) => writeln!(
                formatter,
                "accepted: revision {} by change {}",
                accepted.revision, accepted.change
            )?,
            None => writeln!(formatter, "accepted: none")?,
        }
        for zone in &self.zones {
            writeln!(
                formatter,
                "{}: revisions {} to {} in force, the highest at {} of {} members",
                zone.zone,
                zone.lowest_revision,
                zone.highest_revision,
                zone.members_in_force,
                zone.members
            )?;
        }
        if self.zones.is_empty() {
            writeln!(formatter, "no zone reports")?;
        }
        if self.is_platform_behind {
            writeln!(
                formatter,
                "alarm: a zone has a revision in force that the platform has lost"
            )?;
        }
        Ok(())
    }
}

/// Reads the status reports of the zones.
pub(crate) fn read_zone_statuses(store: &dyn ObjectStore) -> Result<Vec<ZoneStatus>, CliError> {
    let listing = store.list(&object_path(ZONE_STATUS))?;
    let reports = listing.objects.iter();
    Ok(reports.filter_map(|object| serde_json::from_str(&object.value).ok()).collect())
}

/// Shows which revisions are in force in each zone.
pub(crate) fn status(
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<ExitStatus, CliError> {
    let store = platform_store(matches)?;
    let zones = read_zone_statuses(&store)?;
    let accepted = read_current(&store)?
        .map(|document| Accepted { revision: document.revision, change: document.change });
    let revision = accepted.as_ref().map(|accepted| accepted.revision).unwrap_or_default();
    let is_platform_behind = zones.iter().any(|zone| zone.highest_revision > revision);
    let is_in_force = !is_platform_behind
        && zones
            .iter()
            .all(|zone| zone.lowest_revision == revision && zone.members_in_force == zone.members);
    session.report(&StatusReport { accepted, zones, is_platform_behind, is_in_force })?;
    Ok(if is_in_force { ExitStatus::Success } else { ExitStatus::NotInForce })
}
