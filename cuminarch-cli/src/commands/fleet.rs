use std::collections::BTreeMap;
use std::fmt;

use clap::ArgMatches;
use cuminarch_config::ZoneStatus;
use cuminarch_protocol::MemberState;
use cuminarch_types::{ServiceName, ZoneName};
use serde::Serialize;

use crate::commands::status::read_zone_statuses;
use crate::commands::{Session, platform_store};
use crate::members::read_members;
use crate::{CliError, ExitStatus};

/// Announced endpoints and status reports of the zones.
#[derive(Debug, Serialize)]
struct FleetReport {
    services: Vec<ServiceCount>,
    zones: Vec<ZoneStatus>,
}

/// Number of endpoints of one service in one zone.
#[derive(Debug, Serialize)]
struct ServiceCount {
    service: ServiceName,
    zone: ZoneName,
    taking_work: u32,
    leaving: u32,
}

impl fmt::Display for FleetReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<24} {:<16} {:>12} {:>8}",
            "service", "zone", "taking work", "leaving"
        )?;
        for count in &self.services {
            let (service, zone) = (count.service.as_str(), count.zone.as_str());
            let (taking, leaving) = (count.taking_work, count.leaving);
            writeln!(formatter, "{service:<24} {zone:<16} {taking:>12} {leaving:>8}")?;
        }
        for zone in &self.zones {
            let members = zone.members;
            writeln!(
                formatter,
                "{}: {members} members take work, reported by relay {}",
                zone.zone, zone.relay
            )?;
        }
        Ok(())
    }
}

/// Counts the announced endpoints by service and zone.
pub(crate) fn status(
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<ExitStatus, CliError> {
    let store = platform_store(matches)?;
    let mut counts: BTreeMap<(ServiceName, ZoneName), (u32, u32)> = BTreeMap::new();
    for member in read_members(&store)? {
        let key = (member.service.clone(), member.zone.clone());
        let count = counts.entry(key).or_default();
        match member.state {
            MemberState::Gone => {}
            MemberState::Leaving => count.1 += 1,
            MemberState::Active | MemberState::Suspect => count.0 += 1,
        }
    }
    let services = counts
        .into_iter()
        .map(|((service, zone), (taking_work, leaving))| ServiceCount {
            service,
            zone,
            taking_work,
            leaving,
        })
        .collect();
    session.report(&FleetReport { services, zones: read_zone_statuses(&store)? })?;
    Ok(ExitStatus::Success)
}
