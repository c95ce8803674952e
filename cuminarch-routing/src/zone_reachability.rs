use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cuminarch_types::{EndpointId, MonoTime, ZoneName};

use crate::CallResult;
use crate::endpoint::Endpoint;

/// Results of calls to one zone since its last response.
#[derive(Clone, Debug, Default)]
struct ZoneState {
    last_response_at: MonoTime,
    /// Endpoints that could not be reached, or did not answer.
    silent_endpoints: BTreeSet<EndpointId>,
    /// When one call may probe whether the zone is reachable again.
    probe_at: MonoTime,
    /// Unanswered probes.
    probes: u32,
}

/// Reachability of other zones, from the results of this node's calls.
///
/// Limits the calls lost in a zone that is cut off: its hosts fail together, so that two
/// unreachable ones stand for all, instead of a lost call at each.
#[derive(Clone, Debug, Default)]
pub struct ZoneReachability {
    zones: BTreeMap<ZoneName, ZoneState>,
}

impl ZoneReachability {
    /// Endpoints that have to be silent, because a single host may fail on its own.
    const MIN_SILENT_ENDPOINTS: usize = 2;
    /// Time without any response before a zone can count as unreachable; most calls are answered
    /// sooner.
    const MIN_SILENCE: Duration = Duration::from_millis(300);
    /// Delay before the first probe of a zone; doubled with each further one.
    const INITIAL_PROBE_DELAY: Duration = Duration::from_millis(500);
    /// Longest delay between two probes, the same as for a single endpoint.
    const MAX_PROBE_DELAY: Duration = Endpoint::MAX_EJECTION;
    /// Doublings after which the delay exceeds the longest one anyway.
    const MAX_DOUBLINGS: u32 = 8;

    /// Records how a call to an endpoint of a zone ended.
    pub fn record_result(
        &mut self,
        zone: &ZoneName,
        endpoint: &EndpointId,
        result: CallResult,
        now: MonoTime,
    ) {
        match result {
            CallResult::Answered(_)
            | CallResult::Refused
            | CallResult::NotAccepting
            | CallResult::UpstreamError => {
                let state = self.zones.entry(zone.clone()).or_default();
                state.last_response_at = now;
                state.silent_endpoints.clear();
                state.probes = 0;
            }
            CallResult::Unreachable | CallResult::Unanswered => {
                let state = self.zones.entry(zone.clone()).or_default();
                state.silent_endpoints.insert(endpoint.clone());
                state.probe_at = state.probe_at.max(now.after(Self::INITIAL_PROBE_DELAY));
            }
            CallResult::Cancelled => {}
        }
    }

    /// Returns `true` if calls to a zone are probably lost.
    pub fn is_unreachable(&self, zone: &ZoneName, now: MonoTime) -> bool {
        self.zones.get(zone).is_some_and(|state| {
            state.silent_endpoints.len() >= Self::MIN_SILENT_ENDPOINTS
                && now.since(state.last_response_at) >= Self::MIN_SILENCE
                && now < state.probe_at
        })
    }

    /// Records that a call was sent to a zone; while the zone is unreachable, the call is a probe
    /// and delays the next one.
    pub fn record_sent(&mut self, zone: &ZoneName, now: MonoTime) {
        if let Some(state) = self.zones.get_mut(zone)
            && state.silent_endpoints.len() >= Self::MIN_SILENT_ENDPOINTS
        {
            state.probes = state.probes.saturating_add(1);
            let delay = Self::INITIAL_PROBE_DELAY * (1 << state.probes.min(Self::MAX_DOUBLINGS));
            state.probe_at = now.after(delay.min(Self::MAX_PROBE_DELAY));
        }
    }
}
