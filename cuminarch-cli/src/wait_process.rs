//! Waits until a revision is in force in every availability zone.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use cuminarch_config::ZoneStatus;
use cuminarch_platform::{Listing, PlatformError};
use cuminarch_types::{MonoTime, Revision, ZoneName};
use serde::Serialize;

/// What is known of a zone that is waited for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneState {
    /// The revision is in force at every member.
    InForce,
    /// A higher revision is in force at every member.
    Superseded,
    /// The zone reports, and not every member has the revision in force.
    Behind,
    /// The zone has not reported since the wait began.
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
    /// Time since the wait began, in milliseconds.
    pub waited_ms: u64,
}

impl fmt::Display for ZoneProgress {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{}: {} ({} ms)", self.zone, self.state, self.waited_ms)
    }
}

/// What a wait does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WaitStep {
    /// Read the reports of the zones again after a while.
    Read {
        /// The while.
        delay: Duration,
        /// Zones that have come into force since the last step.
        newly_in_force: Vec<ZoneProgress>,
    },
    /// The wait is over.
    Done {
        /// Zones that have come into force since the last step.
        newly_in_force: Vec<ZoneProgress>,
        /// Zones in which the revision is not in force.
        missing: Vec<ZoneProgress>,
        /// Whether any zone was waited for at all.
        has_zones: bool,
    },
}

/// State of a wait.
#[derive(Clone, Debug)]
pub struct WaitStateMachine {
    revision: Revision,
    started_at: MonoTime,
    timeout: Duration,
    /// First report seen of each zone; none for zones that are only expected.
    first_reports: BTreeMap<ZoneName, Option<ZoneStatus>>,
    latest_reports: BTreeMap<ZoneName, ZoneStatus>,
    completed_zones: BTreeSet<ZoneName>,
    has_read_reports: bool,
}

impl WaitStateMachine {
    /// Time between two readings of the reports.
    pub const POLL_INTERVAL: Duration = Duration::from_millis(500);

    /// Waits for a revision in the given zones and all that report.
    #[must_use]
    pub fn new(
        revision: Revision,
        zones: impl IntoIterator<Item = ZoneName>,
        begun: MonoTime,
        limit: Duration,
    ) -> Self {
        let first = zones.into_iter().map(|zone| (zone, None)).collect();
        let (latest, done) = (BTreeMap::new(), BTreeSet::new());
        Self {
            revision,
            started_at: begun,
            timeout: limit,
            first_reports: first,
            latest_reports: latest,
            completed_zones: done,
            has_read_reports: false,
        }
    }

    /// Takes in the reports of the zones.
    pub fn handle(&mut self, result: &Result<Listing, PlatformError>, now: MonoTime) -> WaitStep {
        if let Ok(listing) = result {
            self.has_read_reports = true;
            self.record_reports(listing);
        }
        let mut news = Vec::new();
        let zones: Vec<ZoneName> = self.first_reports.keys().cloned().collect();
        for zone in &zones {
            let progress = self.progress(zone, now);
            let is_done = matches!(progress.state, ZoneState::InForce | ZoneState::Superseded);
            if is_done && self.completed_zones.insert(zone.clone()) {
                news.push(progress);
            }
        }
        let is_complete =
            self.has_read_reports && !zones.is_empty() && self.completed_zones.len() == zones.len();
        if !is_complete && now.since(self.started_at) < self.timeout {
            return WaitStep::Read { delay: Self::POLL_INTERVAL, newly_in_force: news };
        }
        let missing = zones.iter().filter(|zone| !self.completed_zones.contains(*zone));
        let missing = missing.map(|zone| self.progress(zone, now)).collect();
        WaitStep::Done { newly_in_force: news, missing, has_zones: !zones.is_empty() }
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
        let is_whole = latest.lowest_revision >= self.revision;
        if is_whole && latest.highest_revision > self.revision {
            return ZoneState::Superseded;
        }
        if is_whole && latest.members_in_force == latest.members {
            return ZoneState::InForce;
        }
        let first = self.first_reports.get(zone).and_then(Option::as_ref);
        let is_silent = first.is_some_and(|first| {
            (&first.relay, first.sequence) == (&latest.relay, latest.sequence)
        });
        if is_silent { ZoneState::Silent } else { ZoneState::Behind }
    }
}
