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
        after: Duration,
        /// Zones that have come into force since the last step.
        news: Vec<ZoneProgress>,
    },
    /// The wait is over.
    Done {
        /// Zones that have come into force since the last step.
        news: Vec<ZoneProgress>,
        /// Zones in which the revision is not in force.
        missing: Vec<ZoneProgress>,
        /// Whether any zone was waited for at all.
        has_zones: bool,
    },
}

/// State of a wait.
#[derive(Clone, Debug)]
pub struct WaitProcess {
    revision: Revision,
    begun: MonoTime,
    limit: Duration,
    /// First report seen of each zone; none for zones that are only expected.
    first: BTreeMap<ZoneName, Option<ZoneStatus>>,
    latest: BTreeMap<ZoneName, ZoneStatus>,
    done: BTreeSet<ZoneName>,
    is_read: bool,
}

impl WaitProcess {
    /// Time between two readings of the reports.
    pub const INTERVAL: Duration = Duration::from_millis(500);

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
        Self { revision, begun, limit, first, latest, done, is_read: false }
    }

    /// Takes in the reports of the zones.
    pub fn handle(&mut self, result: &Result<Listing, PlatformError>, now: MonoTime) -> WaitStep {
        if let Ok(listing) = result {
            self.is_read = true;
            self.read(listing);
        }
        let mut news = Vec::new();
        let zones: Vec<ZoneName> = self.first.keys().cloned().collect();
        for zone in &zones {
            let progress = self.progress(zone, now);
            let is_done = matches!(progress.state, ZoneState::InForce | ZoneState::Superseded);
            if is_done && self.done.insert(zone.clone()) {
                news.push(progress);
            }
        }
        let is_complete = self.is_read && !zones.is_empty() && self.done.len() == zones.len();
        if !is_complete && now.since(self.begun) < self.limit {
            return WaitStep::Read { after: Self::INTERVAL, news };
        }
        let missing = zones.iter().filter(|zone| !self.done.contains(*zone));
        let missing = missing.map(|zone| self.progress(zone, now)).collect();
        WaitStep::Done { news, missing, has_zones: !zones.is_empty() }
    }

    fn read(&mut self, listing: &Listing) {
        let reports = listing
            .objects
            .iter()
            .filter_map(|object| serde_json::from_str::<ZoneStatus>(&object.value).ok());
        for report in reports {
            let first = self.first.entry(report.zone.clone()).or_default();
            first.get_or_insert_with(|| report.clone());
            self.latest.insert(report.zone.clone(), report);
        }
    }

    fn progress(&self, zone: &ZoneName, now: MonoTime) -> ZoneProgress {
        let waited_ms = u64::try_from(now.since(self.begun).as_millis()).unwrap_or(u64::MAX);
        ZoneProgress { zone: zone.clone(), state: self.state(zone), waited_ms }
    }

    fn state(&self, zone: &ZoneName) -> ZoneState {
        let Some(latest) = self.latest.get(zone) else { return ZoneState::Silent };
        let is_whole = latest.lowest_revision >= self.revision;
        if is_whole && latest.highest_revision > self.revision {
            return ZoneState::Superseded;
        }
        if is_whole && latest.members_in_force == latest.members {
            return ZoneState::InForce;
        }
        let first = self.first.get(zone).and_then(Option::as_ref);
        let is_silent = first.is_some_and(|first| {
            (&first.relay, first.sequence) == (&latest.relay, latest.sequence)
        });
        if is_silent { ZoneState::Silent } else { ZoneState::Behind }
    }
}
