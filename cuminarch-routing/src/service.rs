use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_protocol::Member;
use cuminarch_types::{
    DisabledMechanisms, EndpointId, Mechanism, MonoTime, RegionName, RuleNumber, ZoneName,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::endpoint::Endpoint;
use crate::occupancy::ServiceOccupancy;
use crate::spill::Spill;
use crate::zone_sight::ZoneReachability;
use crate::{CallAttributes, CallResult, LearnedLevel, Target};

/// Where the node that chooses stands.
#[derive(Clone, Debug)]
pub struct RoutingContext {
    pub zone: ZoneName,
    pub region: RegionName,
    /// Other zones as calls have shown them.
    pub zone_reachability: ZoneReachability,
    /// Mechanisms that are switched off.
    pub disabled: DisabledMechanisms,
}

impl RoutingContext {
    /// Whether calls to a zone have a chance to arrive.
    pub fn is_reachable(&self, zone: &ZoneName, now: MonoTime) -> bool {
        let sees_cuts = !self.disabled.contains(Mechanism::ZoneSights);
        *zone == self.zone || !sees_cuts || !self.zone_reachability.is_unreachable(zone, now)
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
    checked_at: MonoTime,
}

impl Service {
    /// Time between two looks at the endpoints' health.
    const CHECK_INTERVAL: Duration = Duration::from_millis(50);
    /// Most of the time since the last look that one look answers for, where calls are
    /// rare.
    const MAX_ELAPSED: Duration = Duration::from_millis(500);

    pub fn update(&mut self, member: Member, now: MonoTime) {
        match self.endpoints.get_mut(&member.endpoint) {
            Some(held) if !member.supersedes(&held.member) => {}
            Some(held) if held.member.incarnation == member.incarnation => {
                held.update_member(member, now);
            }
            _ => {
                let endpoint = Endpoint::new(member).with_first_seen(now);
                self.endpoints.insert(endpoint.member.endpoint.clone(), endpoint);
            }
        }
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

    /// The median of the levels of the healthy endpoints.
    pub fn level(&self, rule: RuleNumber, now: MonoTime) -> LearnedLevel {
        let healthy = self.endpoints().filter(|endpoint| endpoint.is_healthy(now));
        let mut levels: Vec<LearnedLevel> = healthy.map(|endpoint| endpoint.level(rule)).collect();
        levels.sort_by_key(|level| level.effective(now));
        let middle = levels.len().saturating_sub(1) / 2;
        levels.get(middle).copied().unwrap_or_default()
    }

    pub fn has_alternative(
        &self,
        kind: CallAttributes,
        exclude: &[EndpointId],
        now: MonoTime,
    ) -> bool {
        self.endpoints()
            .filter(|endpoint| !exclude.contains(&endpoint.member.endpoint))
            .filter(|endpoint| endpoint.takes_work() && endpoint.is_healthy(now))
            .any(|endpoint| endpoint.admits(kind, now))
    }

    pub fn pick(
        &mut self,
        place: &RoutingContext,
        kind: CallAttributes,
        exclude: &[EndpointId],
        now: MonoTime,
        rng: &mut ChaCha8Rng,
    ) -> Option<Target> {
        self.check(place, now);
        let usable: Vec<&Endpoint> = self
            .endpoints()
            .filter(|endpoint| endpoint.takes_work())
            .filter(|endpoint| !exclude.contains(&endpoint.member.endpoint))
            .collect();
        let usable =
            filter_or_all(usable, |endpoint| place.is_reachable(&endpoint.member.zone, now));
        if kind.can_probe
            && let Some(endpoint) = usable.iter().find(|endpoint| endpoint.is_probe_due(now))
        {
            return Some(endpoint.target());
        }
        let healthy = filter_or_all(usable, |endpoint| endpoint.is_healthy(now));
        if healthy.iter().any(|endpoint| endpoint.reports_slots()) {
            return self.occupancy.choose(&healthy, place, now, rng).map(Endpoint::target);
        }
        let willing = filter_or_all(healthy, |endpoint| endpoint.admits(kind, now));
        let nearest = self.nearest(place, &willing, rng);
        let typical = self.median(now).unwrap_or_default();
        let chosen = pick_cheaper(&nearest, typical, now, rng)?;
        let is_held_back = rng.random_range(0..1_000) >= chosen.ramp_milli(now);
        if is_held_back {
            let grown: Vec<&Endpoint> =
                willing.into_iter().filter(|other| other.ramp_milli(now) == 1_000).collect();
            if let Some(other) = pick_cheaper(&grown, typical, now, rng) {
                return Some(other.target());
            }
        }
        Some(chosen.target())
    }

    pub fn record_result(&mut self, endpoint: &EndpointId, sample: CallResult, now: MonoTime) {
        let Some(found) = self.endpoints.get(endpoint) else { return };
        // Looks at all endpoints, which only the few calls to ejected ones have to.
        let median = if found.is_ejected() { self.median(now) } else { None };
        let Some(found) = self.endpoints.get_mut(endpoint) else { return };
        found.record_result(sample, now);
        if found.is_ejected() {
            match sample {
                CallResult::Answered(_) if !found.is_outlier(median, now) => found.restore(now),
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

    /// Takes in the occupancy that the node of an endpoint reports, in thousandths.
    pub fn record_occupancy(
        &mut self,
        place: &RoutingContext,
        endpoint: &EndpointId,
        milli: u32,
        now: MonoTime,
    ) {
        let Some(found) = self.endpoints.get_mut(endpoint) else { return };
        found.record_occupancy(milli, now);
        self.occupancy.record(place.distance(&found.member) == 0, milli, now);
    }

    /// The endpoints of the nearest zone, or those further away for calls that
    /// spill over.
    fn nearest<'a>(
        &self,
        place: &RoutingContext,
        endpoints: &[&'a Endpoint],
        rng: &mut ChaCha8Rng,
    ) -> Vec<&'a Endpoint> {
        let distance = |endpoint: &&Endpoint| place.distance(&endpoint.member);
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
    fn check(&mut self, place: &RoutingContext, now: MonoTime) {
        let elapsed = now.since(self.checked_at);
        if elapsed < Self::CHECK_INTERVAL {
            return;
        }
        self.checked_at = now;
        self.occupancy.adapt(elapsed.min(Self::MAX_ELAPSED), now);
        if !place.disabled.contains(Mechanism::Ejection) {
            self.eject_outliers(now);
        }
        let mean = |is_near: bool| {
            let side = self.endpoints().filter(|endpoint| endpoint.is_healthy(now));
            let side = side.filter(|endpoint| (place.distance(&endpoint.member) == 0) == is_near);
            mean(side.filter_map(|endpoint| endpoint.latency(now)))
        };
        let (near, far) = (mean(true), mean(false));
        self.spill.adapt(near, far);
    }

    /// Less than half of the endpoints are ever ejected.
    fn eject_outliers(&mut self, now: MonoTime) {
        let median = self.median(now);
        let typical_part = self.lowest_error_ratio(now);
        let known = self.endpoints().filter(|endpoint| endpoint.takes_work()).count();
        let mut ejected = self.ejected();
        for endpoint in self.endpoints.values_mut() {
            let is_allowed = (ejected + 1) * 2 < known;
            let is_bad =
                endpoint.is_outlier(median, now) || endpoint.has_excess_errors(typical_part, now);
            if is_allowed && !endpoint.is_ejected() && is_bad {
                endpoint.eject(now);
                ejected += 1;
            }
        }
    }

    /// Part of failures of the endpoint that fails least.
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

/// Those that fulfil the condition, or all if none does.
fn filter_or_all(
    endpoints: Vec<&Endpoint>,
    condition: impl Fn(&Endpoint) -> bool,
) -> Vec<&Endpoint> {
    let some: Vec<&Endpoint> =
        endpoints.iter().copied().filter(|endpoint| condition(endpoint)).collect();
    if some.is_empty() { endpoints } else { some }
}

/// The cheaper of two random endpoints (Mitzenmacher, 2001).
fn pick_cheaper<'a>(
    endpoints: &[&'a Endpoint],
    typical: Duration,
    now: MonoTime,
    rng: &mut ChaCha8Rng,
) -> Option<&'a Endpoint> {
    if endpoints.is_empty() {
        return None;
    }
    let first = endpoints[rng.random_range(0..endpoints.len())];
    let second = endpoints[rng.random_range(0..endpoints.len())];
    let is_cheaper = second.cost(typical, now) < first.cost(typical, now);
    Some(if is_cheaper { second } else { first })
}

fn mean(latencies: impl Iterator<Item = Duration>) -> Option<Duration> {
    let (sum, count) =
        latencies.fold((Duration::ZERO, 0), |(sum, count), latency| (sum + latency, count + 1));
    (count > 0).then(|| sum / count)
}
