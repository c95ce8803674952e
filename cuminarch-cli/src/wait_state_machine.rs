//! Waits until a revision is in force in every availability zone.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use cuminarch_config::ZoneStatus;
use cuminarch_platform::{Listing, PlatformError};
use cuminarch_types::{MonoTime, Revision, ZoneName};
use serde::Serialize;

/// State of a zone during a wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// The revision is in force at every member.
    InForce,
    /// A higher revision is in force at every member.
    Superseded,
    /// The zone reports, but the revision is not in force at every member.
    Behind,
    /// The zone has not reported since the wait started.
    Silent,
}

impl fmt::Display for ZoneState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::InForce => "in force",
            Self::Superseded => "in force, and already replaced by a higher revision",
            Self::Behind => "not in force at every member",
            Self::Silent => "no report since the change: the zone could not be reached",
        })
    }
}

/// A zone and its state.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ZoneProgress {
    /// The zone.
    pub zone: ZoneName,
    /// Its state.
    pub state: ZoneState,
    /// Time since the wait started.
    pub waited_ms: u64,
}

impl fmt::Display for ZoneProgress {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{}: {} ({} ms)", self.zone, self.state, self.waited_ms)
    }
}

/// Next step of a wait.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WaitStep {
    /// Read the status reports of the zones again after a delay.
    Read {
        /// The delay.
        delay: Duration,
        /// Zones in which the revision has come into force since the last step.
        newly_in_force: Vec<ZoneProgress>,
    },
    /// The wait is over.
    Done {
        /// Zones in which the revision has come into force since the last step.
        newly_in_force: Vec<ZoneProgress>,
        /// Zones in which the revision is not in force.
        missing: Vec<ZoneProgress>,
        /// Whether there was any zone to wait for.
        has_zones: bool,
    },
}

/// Waits for zones to report a revision in force; a state machine that does no I/O.
#[derive(Clone, Debug)]
pub struct WaitStateMachine {
    revision: Revision,
    started_at: MonoTime,
    timeout: Duration,
    /// First report of each zone; `None` for expected zones that have not reported.
    first_reports: BTreeMap<ZoneName, Option<ZoneStatus>>,
    latest_reports: BTreeMap<ZoneName, ZoneStatus>,
    completed_zones: BTreeSet<ZoneName>,
    has_read_reports: bool,
}

impl WaitStateMachine {
    /// Time between two reads of the reports.
    pub const POLL_INTERVAL: Duration = Duration::from_millis(500);

    /// Creates a wait for a revision in the given zones and in all that report.
    #[must_use]
    pub fn new(
        revision: Revision,
        zones: impl IntoIterator<Item = ZoneName>,
        started_at: MonoTime,
        timeout: Duration,
    ) -> Self {
        let first_reports = zones.into_iter().map(|zone| (zone, None)).collect();
        let (latest_reports, completed_zones) = (BTreeMap::new(), BTreeSet::new());
        Self {
            revision,
            started_at,
            timeout,
            first_reports,
            latest_reports,
            completed_zones,
            has_read_reports: false,
        }
    }

    /// Handles a read of the status reports and returns the next step.
    pub fn handle(&mut self, result: &Result<Listing, PlatformError>, now: MonoTime) -> WaitStep {
        if let Ok(listing) = result {
            self.has_read_reports = true;
            self.record_reports(listing);
        }
        let mut newly_in_force = Vec::new();
        let zones: Vec<ZoneName> = self.first_reports.keys().cloned().collect();
        for zone in &zones {
            let progress = self.progress(zone, now);
            let is_done = matches!(progress.state, ZoneState::InForce | ZoneState::Superseded);
            if is_done && self.completed_zones.insert(zone.clone()) {
                newly_in_force.push(progress);
            }
        }
        let is_complete =
            self.has_read_reports && !zones.is_empty() && self.completed_zones.len() == zones.len();
        if !is_complete && now.since(self.started_at) < self.timeout {
            return WaitStep::Read { delay: Self::POLL_INTERVAL, newly_in_force };
        }
        let missing = zones.iter().filter(|zone| !self.completed_zones.contains(*zone));
        let missing = missing.map(|zone| self.progress(zone, now)).collect();
        WaitStep::Done { newly_in_force, missing, has_zones: !zones.is_empty() }
    }

    fn record_reports(&mut self, listing: &Listing) {
        let reports = listing
            .objects
            .iter()
            .filter_map(|object| serde_json::from_str::<ZoneStatus>(&object.value).ok());
        for report in reports {
            let first = self.first_reports.entry(report.zone.clone()).or_default();
            first.get_or_insert_with(|| report.clone());
            self.latest_reports.insert(report.zone.clone(), report);
        }
    }

    fn progress(&self, zone: &ZoneName, now: MonoTime) -> ZoneProgress {
        let waited_ms = u64::try_from(now.since(self.started_at).as_millis()).unwrap_or(u64::MAX);
        ZoneProgress { zone: zone.clone(), state: self.state(zone), waited_ms }
    }

    fn state(&self, zone: &ZoneName) -> ZoneState {
        let Some(latest) = self.latest_reports.get(zone) else { return ZoneState::Silent };
        let has_reached = latest.lowest_revision >= self.revision;
        if has_reached && latest.highest_revision > self.revision {
            return ZoneState::Superseded;
        }
        if has_reached && latest.members_in_force == latest.members {
            return ZoneState::InForce;
        }
        let first = self.first_reports.get(zone).and_then(Option::as_ref);
        let is_silent = first.is_some_and(|first| {
            (&first.relay, first.sequence) == (&latest.relay, latest.sequence)
        });
        if is_silent { ZoneState::Silent } else { ZoneState::Behind }
    }
}
