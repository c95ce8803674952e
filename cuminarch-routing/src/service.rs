use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_protocol::{CapacityReport, Member};
use cuminarch_types::{
    CapacityMode, DisabledMechanisms, EndpointId, Mechanism, MonoTime, RegionName, RouteName,
    RuleNumber, ZoneName,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::endpoint::Endpoint;
use crate::occupancy::ServiceOccupancy;
use crate::run_time_means::RunTimeMeans;
use crate::spill::Spill;
use crate::zone_reachability::ZoneReachability;
use crate::{CallAttributes, CallResult, LearnedLevel, SpeedChange, Target};

/// Location of the choosing node, and node-wide routing state.
#[derive(Clone, Debug)]
pub struct RoutingContext {
    pub zone: ZoneName,
    pub region: RegionName,
    /// Reachability of other zones, from the results of calls.
    pub zone_reachability: ZoneReachability,
    /// Mechanisms that are switched off.
    pub disabled: DisabledMechanisms,
    /// Where the capacity of endpoints comes from.
    pub capacity_mode: CapacityMode,
}

impl RoutingContext {
    /// Returns `true` if an endpoint should be ejected; `median` is the median latency of its
    /// service. A slow one keeps its place where the choice accounts for its speed.
    fn is_outlier(&self, endpoint: &Endpoint, median: Option<Duration>, now: MonoTime) -> bool {
        let is_slow = || !self.chooses_by_finish() && endpoint.is_slow(median);
        endpoint.has_stopped(median, now) || is_slow()
    }

    /// Returns `true` if endpoints are chosen by when a call would finish.
    fn chooses_by_finish(&self) -> bool {
        self.capacity_mode == CapacityMode::Learned
            && !self.disabled.contains(Mechanism::ExpectedFinish)
    }

    /// Returns `true` if calls to a zone are likely to arrive.
    pub fn is_reachable(&self, zone: &ZoneName, now: MonoTime) -> bool {
        let checks_zones = !self.disabled.contains(Mechanism::ZoneSights);
        *zone == self.zone || !checks_zones || !self.zone_reachability.is_unreachable(zone, now)
    }

    pub fn distance(&self, member: &Member) -> u8 {
        if member.zone == self.zone || self.disabled.contains(Mechanism::ZonePreference) {
            0
        } else if member.region == self.region {
            1
        } else {
            2
        }
    }
}

/// Endpoints of one service.
#[derive(Clone, Debug, Default)]
pub struct Service {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    spill: Spill,
    occupancy: ServiceOccupancy,
    run_times: RunTimeMeans,
    checked_at: MonoTime,
}

impl Service {
    /// Interval of the health checks of the endpoints.
    const CHECK_INTERVAL: Duration = Duration::from_millis(50);
    /// Longest interval that one check accounts for, if calls are rare.
    const MAX_ELAPSED: Duration = Duration::from_millis(500);

    pub fn update(&mut self, member: Member, now: MonoTime) {
        match self.endpoints.get_mut(&member.endpoint) {
            Some(known) if !member.supersedes(&known.member) => {}
            Some(known) if known.member.incarnation == member.incarnation => {
                known.update_member(member, now);
            }
            known => {
                let signals = known.map(|known| known.signals.clone()).unwrap_or_default();
                let endpoint = Endpoint::new(member).with_first_seen(now).with_signals(signals);
                self.endpoints.insert(endpoint.member.endpoint.clone(), endpoint);
            }
        }
    }

    pub fn remove(&mut self, endpoint: &EndpointId) {
        self.endpoints.remove(endpoint);
    }

    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    pub fn get_mut(&mut self, endpoint: &EndpointId) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(endpoint)
    }

    pub fn get(&self, endpoint: &EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(endpoint)
    }

    pub fn ejected(&self) -> usize {
        self.endpoints().filter(|endpoint| endpoint.is_ejected()).count()
    }

    pub fn forget_levels(&mut self) {
        self.endpoints.values_mut().for_each(Endpoint::forget_levels);
    }

    /// Returns the median of the levels of the healthy endpoints.
    pub fn level(&self, rule: RuleNumber, now: MonoTime) -> LearnedLevel {
        let healthy = self.endpoints().filter(|endpoint| endpoint.is_healthy(now));
        let mut levels: Vec<LearnedLevel> = healthy.map(|endpoint| endpoint.level(rule)).collect();
        levels.sort_by_key(|level| level.effective(now));
        let middle = levels.len().saturating_sub(1) / 2;
        levels.get(middle).copied().unwrap_or_default()
    }

    pub fn has_alternative(
        &self,
        attributes: CallAttributes,
        exclude: &[EndpointId],
        now: MonoTime,
    ) -> bool {
        self.endpoints()
            .filter(|endpoint| !exclude.contains(&endpoint.member.endpoint))
            .filter(|endpoint| endpoint.takes_work() && endpoint.is_healthy(now))
            .any(|endpoint| endpoint.admits(attributes, now))
    }

    /// Returns `true` if the upstream of the endpoint states a rate limit and another endpoint has
    /// room for its excess calls.
    pub fn has_room_beside_limited(&self, endpoint: &EndpointId, now: MonoTime) -> bool {
        let is_limited = self.get(endpoint).is_some_and(|found| found.rate_limit().is_some());
        let is_other = |other: &&Endpoint| other.member.endpoint != *endpoint;
        is_limited && self.endpoints().filter(is_other).any(|other| other.has_room(now))
    }

    /// Returns the endpoints outside `exclude` that get ordinary calls; if there is none, those that
    /// take work at all.
    pub fn candidates(
        &self,
        context: &RoutingContext,
        exclude: &[EndpointId],
        now: MonoTime,
    ) -> Vec<&Endpoint> {
        let reachable = self.reachable(context, exclude, now);
        filter_or_all(reachable, |endpoint| endpoint.is_healthy(now))
    }

    fn reachable(
        &self,
        context: &RoutingContext,
        exclude: &[EndpointId],
        now: MonoTime,
    ) -> Vec<&Endpoint> {
        let takes_call = |endpoint: &&Endpoint| {
            endpoint.takes_work() && !exclude.contains(&endpoint.member.endpoint)
        };
        let candidates: Vec<&Endpoint> = self.endpoints().filter(takes_call).collect();
        filter_or_all(candidates, |endpoint| context.is_reachable(&endpoint.member.zone, now))
    }

    pub fn pick(
        &mut self,
        context: &RoutingContext,
        attributes: CallAttributes,
        exclude: &[EndpointId],
        now: MonoTime,
        rng: &mut ChaCha8Rng,
    ) -> Option<Target> {
        self.check(context, now);
        let candidates = self.reachable(context, exclude, now);
        if attributes.can_probe
            && let Some(endpoint) = candidates.iter().find(|endpoint| endpoint.is_probe_due(now))
        {
            return Some(endpoint.target());
        }
        let healthy = filter_or_all(candidates, |endpoint| endpoint.is_healthy(now));
        if healthy.iter().any(|endpoint| endpoint.reports_slots()) {
            if context.chooses_by_finish() {
                let occupancy = &self.occupancy;
                let chosen = occupancy.choose_by_finish(&healthy, attributes, context, now, rng);
                return chosen.map(Endpoint::target);
            }
            return self.occupancy.choose(&healthy, context, now, rng).map(Endpoint::target);
        }
        let admitting = filter_or_all(healthy, |endpoint| endpoint.admits(attributes, now));
        let nearest_endpoints = self.nearest(context, &admitting, rng);
        let typical_latency = self.median(now).unwrap_or_default();
        let chosen = pick_cheaper(&nearest_endpoints, typical_latency, now, rng)?;
        let is_held_back = rng.random_range(0..1_000) >= chosen.ramp_milli(now);
        if is_held_back {
            let full_share: Vec<&Endpoint> =
                admitting.into_iter().filter(|other| other.ramp_milli(now) == 1_000).collect();
            if let Some(other) = pick_cheaper(&full_share, typical_latency, now, rng) {
                return Some(other.target());
            }
        }
        Some(chosen.target())
    }

    pub fn record_result(
        &mut self,
        context: &RoutingContext,
        endpoint: &EndpointId,
        result: CallResult,
        now: MonoTime,
    ) {
        let Some(found) = self.endpoints.get(endpoint) else { return };
        // Iterates over all endpoints, which only the few calls to ejected ones need.
        let median = if found.is_ejected() { self.median(now) } else { None };
        let Some(found) = self.endpoints.get_mut(endpoint) else { return };
        found.record_result(result, now);
        if found.is_ejected() {
            match result {
                CallResult::Answered(_) if !context.is_outlier(found, median, now) => {
                    found.restore(now);
                }
                CallResult::Answered(_) | CallResult::Unanswered | CallResult::UpstreamError => {
                    found.eject(now);
                }
                CallResult::Refused
                | CallResult::NotAccepting
                | CallResult::Unreachable
                | CallResult::Cancelled => {}
            }
        }
    }

    /// Records the occupancy that the node of an endpoint reports, in thousandths.
    pub fn record_occupancy(
        &mut self,
        context: &RoutingContext,
        endpoint: &EndpointId,
        milli: u32,
        now: MonoTime,
    ) {
        let Some(found) = self.endpoints.get_mut(endpoint) else { return };
        found.record_occupancy(milli, now);
        self.occupancy.record(context.distance(&found.member) == 0, milli, now);
    }

    /// Records what the node of an endpoint reports that it takes well. Returns the change of its
    /// speed, if that is more than a fifth.
    pub fn record_capacity(
        &mut self,
        endpoint: &EndpointId,
        route: &RouteName,
        report: &CapacityReport,
        now: MonoTime,
    ) -> Option<SpeedChange> {
        let found = self.endpoints.get_mut(endpoint)?;
        found.learned_limit = Some(report.limit);
        if found.is_failing(now) {
            return None;
        }
        let difference_ln = self.run_times.record(route, report.run_time_us?);
        found.speed.record(difference_ln, now);
        found.speed.take_change(now)
    }

    /// Returns the mean run time of a route over the endpoints.
    pub fn run_time(&self, route: &RouteName) -> Option<Duration> {
        self.run_times.of(route)
    }

    /// Returns the endpoints of the nearest zone, or the next nearest ones for calls that spill
    /// over.
    fn nearest<'a>(
        &self,
        context: &RoutingContext,
        endpoints: &[&'a Endpoint],
        rng: &mut ChaCha8Rng,
    ) -> Vec<&'a Endpoint> {
        let distance = |endpoint: &&Endpoint| context.distance(&endpoint.member);
        let Some(least) = endpoints.iter().map(distance).min() else { return Vec::new() };
        let (near, far): (Vec<&Endpoint>, Vec<&Endpoint>) =
            endpoints.iter().copied().partition(|endpoint| distance(endpoint) == least);
        if least > 0 || far.is_empty() || !self.spill.should_spill(rng) {
            return near;
        }
        let next = far.iter().map(distance).min();
        far.into_iter().filter(|endpoint| Some(distance(endpoint)) == next).collect()
    }

    /// Ejects endpoints that fail or are slow, and adapts the spill-over.
    fn check(&mut self, context: &RoutingContext, now: MonoTime) {
        let elapsed = now.since(self.checked_at);
        if elapsed < Self::CHECK_INTERVAL {
            return;
        }
        self.checked_at = now;
        self.occupancy.adapt(elapsed.min(Self::MAX_ELAPSED), now);
        if !context.disabled.contains(Mechanism::Ejection) {
            self.eject_outliers(context, now);
        }
        let mean_latency = |is_local: bool| {
            let endpoints = self.endpoints().filter(|endpoint| endpoint.is_healthy(now));
            let endpoints =
                endpoints.filter(|endpoint| (context.distance(&endpoint.member) == 0) == is_local);
            mean(endpoints.filter_map(|endpoint| endpoint.latency(now)))
        };
        let (local, remote) = (mean_latency(true), mean_latency(false));
        self.spill.adapt(local, remote);
    }

    /// Ejects outliers, but always less than half of the endpoints.
    fn eject_outliers(&mut self, context: &RoutingContext, now: MonoTime) {
        let median = self.median(now);
        let lowest_ratio = self.lowest_error_ratio(now);
        let known = self.endpoints().filter(|endpoint| endpoint.takes_work()).count();
        let mut ejected = self.ejected();
        for endpoint in self.endpoints.values_mut() {
            let is_allowed = (ejected + 1) * 2 < known;
            let should_eject = context.is_outlier(endpoint, median, now)
                || endpoint.has_excess_errors(lowest_ratio, now);
            if is_allowed && !endpoint.is_ejected() && should_eject {
                endpoint.eject(now);
                ejected += 1;
            }
        }
    }

    /// Returns the error ratio of the endpoint that fails least.
    fn lowest_error_ratio(&self, now: MonoTime) -> f64 {
        let healthy = self.endpoints().filter(|endpoint| endpoint.is_healthy(now));
        healthy.map(|endpoint| endpoint.error_ratio(now)).fold(1.0, f64::min)
    }

    fn median(&self, now: MonoTime) -> Option<Duration> {
        let known = self.endpoints().filter(|endpoint| endpoint.is_healthy(now));
        let mut all: Vec<Duration> = known.filter_map(|endpoint| endpoint.latency(now)).collect();
        all.sort_unstable();
        let middle = all.len().checked_sub(1)? / 2;
        all.get(middle).copied()
    }
}

/// Returns the endpoints that meet the condition, or all if none does.
fn filter_or_all(
    endpoints: Vec<&Endpoint>,
    condition: impl Fn(&Endpoint) -> bool,
) -> Vec<&Endpoint> {
    let matching: Vec<&Endpoint> =
        endpoints.iter().copied().filter(|endpoint| condition(endpoint)).collect();
    if matching.is_empty() { endpoints } else { matching }
}

/// Returns the cheaper of two random endpoints (Mitzenmacher, 2001).
fn pick_cheaper<'a>(
    endpoints: &[&'a Endpoint],
    typical_latency: Duration,
    now: MonoTime,
    rng: &mut ChaCha8Rng,
) -> Option<&'a Endpoint> {
    if endpoints.is_empty() {
        return None;
    }
    let first = endpoints[rng.random_range(0..endpoints.len())];
    let second = endpoints[rng.random_range(0..endpoints.len())];
    let is_cheaper = second.cost(typical_latency, now) < first.cost(typical_latency, now);
    Some(if is_cheaper { second } else { first })
}

fn mean(latencies: impl Iterator<Item = Duration>) -> Option<Duration> {
    let (sum, count) =
        latencies.fold((Duration::ZERO, 0), |(sum, count), latency| (sum + latency, count + 1));
    (count > 0).then(|| sum / count)
}
