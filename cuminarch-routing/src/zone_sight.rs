use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cuminarch_types::{EndpointId, MonoTime, ZoneName};

use crate::CallSample;
use crate::endpoint::Endpoint;

/// What calls have shown of one zone since it was last heard of.
#[derive(Clone, Debug, Default)]
struct Sight {
    heard_at: MonoTime,
    /// Endpoints that could not be reached, or fell silent.
    silent: BTreeSet<EndpointId>,
    /// When one call may be sent there to see if it is back.
    probe_at: MonoTime,
    /// Probes without an answer.
    probes: u32,
}

/// Other zones as the calls of this node show them.
///
/// Answers the load of a zone that is cut off: its hosts share their fate, so that
/// two that cannot be reached speak for all, and no call is lost at each of them.
#[derive(Clone, Debug, Default)]
pub struct ZoneSights {
    sights: BTreeMap<ZoneName, Sight>,
}

impl ZoneSights {
    /// Endpoints that have to be silent, as a single host may have failed on its own.
    const SILENT_ENDPOINTS: usize = 2;
    /// Time without any answer from a zone before it can count as cut off; most calls
    /// are answered sooner.
    const QUIET_TIME: Duration = Duration::from_millis(300);
    /// Time until the first call that probes a zone; doubled with each further one.
    const FIRST_PROBE: Duration = Duration::from_millis(500);
    /// Longest time between two probes; as of a single endpoint.
    const LONGEST_PAUSE: Duration = Endpoint::LONGEST_EJECTION;
    /// Doublings after which the pause is the longest in any case.
    const MOST_DOUBLED: u32 = 8;

    /// Takes in how a call to an endpoint of a zone ended.
    pub fn note(
        &mut self,
        zone: &ZoneName,
        endpoint: &EndpointId,
        sample: CallSample,
        now: MonoTime,
    ) {
        match sample {
            CallSample::Answered(_)
            | CallSample::Refused
            | CallSample::Closed
            | CallSample::Faulty => {
                let sight = self.sights.entry(zone.clone()).or_default();
                sight.heard_at = now;
                sight.silent.clear();
                sight.probes = 0;
            }
            CallSample::Unreachable | CallSample::Failed => {
                let sight = self.sights.entry(zone.clone()).or_default();
                sight.silent.insert(endpoint.clone());
                sight.probe_at = sight.probe_at.max(now.after(Self::FIRST_PROBE));
            }
            CallSample::Withdrawn => {}
        }
    }

    /// Whether calls to a zone are probably lost.
    pub fn is_cut(&self, zone: &ZoneName, now: MonoTime) -> bool {
        self.sights.get(zone).is_some_and(|sight| {
            sight.silent.len() >= Self::SILENT_ENDPOINTS
                && now.since(sight.heard_at) >= Self::QUIET_TIME
                && now < sight.probe_at
        })
    }

    /// Notes that a call was sent to a zone; while it is cut off that is a probe, and
    /// the only one for a while.
    pub fn note_sent(&mut self, zone: &ZoneName, now: MonoTime) {
        if let Some(sight) = self.sights.get_mut(zone)
            && sight.silent.len() >= Self::SILENT_ENDPOINTS
        {
            sight.probes = sight.probes.saturating_add(1);
            let pause = Self::FIRST_PROBE * (1 << sight.probes.min(Self::MOST_DOUBLED));
            sight.probe_at = now.after(pause.min(Self::LONGEST_PAUSE));
        }
    }
}
