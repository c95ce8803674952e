use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cuminarch_types::{EndpointId, MonoTime, ZoneName};

use crate::CallResult;
use crate::endpoint::Endpoint;

/// What calls have shown of one zone since it was last heard of.
#[derive(Clone, Debug, Default)]
struct ZoneState {
    last_response_at: MonoTime,
    /// Endpoints that could not be reached, or fell silent.
    silent_endpoints: BTreeSet<EndpointId>,
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
pub struct ZoneReachability {
    zones: BTreeMap<ZoneName, ZoneState>,
}

impl ZoneReachability {
    /// Endpoints that have to be silent, as a single host may have failed on its own.
    const MIN_SILENT_ENDPOINTS: usize = 2;
    /// Time without any answer from a zone before it can count as cut off; most calls
    /// are answered sooner.
    const MIN_SILENCE: Duration = Duration::from_millis(300);
    /// Time until the first call that probes a zone; doubled with each further one.
    const INITIAL_PROBE_DELAY: Duration = Duration::from_millis(500);
    /// Longest time between two probes; as of a single endpoint.
    const MAX_PROBE_DELAY: Duration = Endpoint::MAX_EJECTION;
    /// Doublings after which the pause is the longest in any case.
    const MAX_DOUBLINGS: u32 = 8;

    /// Takes in how a call to an endpoint of a zone ended.
    pub fn record_result(
        &mut self,
        zone: &ZoneName,
        endpoint: &EndpointId,
        sample: CallResult,
        now: MonoTime,
    ) {
        match sample {
            CallResult::Answered(_)
            | CallResult::Refused
            | CallResult::NotAccepting
            | CallResult::UpstreamError => {
                let sight = self.zones.entry(zone.clone()).or_default();
                sight.last_response_at = now;
                sight.silent_endpoints.clear();
                sight.probes = 0;
            }
            CallResult::Unreachable | CallResult::Unanswered => {
                let sight = self.zones.entry(zone.clone()).or_default();
                sight.silent_endpoints.insert(endpoint.clone());
                sight.probe_at = sight.probe_at.max(now.after(Self::INITIAL_PROBE_DELAY));
            }
            CallResult::Cancelled => {}
        }
    }

    /// Whether calls to a zone are probably lost.
    pub fn is_unreachable(&self, zone: &ZoneName, now: MonoTime) -> bool {
        self.zones.get(zone).is_some_and(|sight| {
            sight.silent_endpoints.len() >= Self::MIN_SILENT_ENDPOINTS
                && now.since(sight.last_response_at) >= Self::MIN_SILENCE
                && now < sight.probe_at
        })
    }

    /// Notes that a call was sent to a zone; while it is cut off that is a probe, and
    /// the only one for a while.
    pub fn record_sent(&mut self, zone: &ZoneName, now: MonoTime) {
        if let Some(sight) = self.zones.get_mut(zone)
            && sight.silent_endpoints.len() >= Self::MIN_SILENT_ENDPOINTS
        {
            sight.probes = sight.probes.saturating_add(1);
            let pause = Self::INITIAL_PROBE_DELAY * (1 << sight.probes.min(Self::MAX_DOUBLINGS));
            sight.probe_at = now.after(pause.min(Self::MAX_PROBE_DELAY));
        }
    }
}
