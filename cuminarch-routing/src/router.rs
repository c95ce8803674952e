use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_protocol::{CapacityReport, Member, UpstreamSignals};
use cuminarch_types::{
    CapacityMode, DisabledMechanisms, EndpointId, MonoTime, RegionName, RouteName, RuleNumber,
    ServiceName, ZoneName,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::service::{RoutingContext, Service};
use crate::zone_reachability::ZoneReachability;
use crate::{CallAttributes, CallResult, CapacityBelief, LearnedLevel, SpeedChange, Target};

/// Endpoints by service, with the state that this node tracks for each.
#[derive(Clone, Debug)]
pub struct Router {
    context: RoutingContext,
    rng: ChaCha8Rng,
    services: BTreeMap<ServiceName, Service>,
}

impl Router {
    /// Creates a router for a node in the given zone.
    #[must_use]
    pub fn new(zone: ZoneName, region: RegionName, seed: u64) -> Self {
        let reachability = ZoneReachability::default();
        let routing_context = RoutingContext {
            zone,
            region,
            zone_reachability: reachability,
            disabled: DisabledMechanisms::default(),
            capacity_mode: CapacityMode::default(),
        };
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { context: routing_context, rng, services: BTreeMap::new() }
    }

    /// Switches mechanisms off.
    #[must_use]
    pub fn with_disabled(mut self, disabled: DisabledMechanisms) -> Self {
        self.context.disabled = disabled;
        self
    }

    /// Sets where the capacity of endpoints comes from.
    #[must_use]
    pub const fn with_capacity_mode(mut self, mode: CapacityMode) -> Self {
        self.context.capacity_mode = mode;
        self
    }

    /// Applies a statement about a member; older statements are ignored.
    pub fn update(&mut self, member: Member, now: MonoTime) {
        if self.is_known_elsewhere(&member) {
            return;
        }
        self.remove_from_others(&member);
        let service = self.services.entry(member.service.clone()).or_default();
        service.update(member, now);
    }

    /// Returns `true` if a later statement puts the endpoint in another service.
    fn is_known_elsewhere(&self, member: &Member) -> bool {
        let others = self.services.iter().filter(|(name, _)| **name != member.service);
        let mut entries = others.filter_map(|(_, service)| service.get(&member.endpoint));
        entries.any(|known| known.member.supersedes(member))
    }

    /// Removes the earlier entry of an endpoint whose name has been given to another service.
    fn remove_from_others(&mut self, member: &Member) {
        for (name, service) in &mut self.services {
            if *name != member.service {
                service.remove(&member.endpoint);
            }
        }
    }

    /// Records that the process or the upstream of a target is not what it was taken for. The
    /// endpoint gets no calls until it is known anew.
    pub fn record_misdirected(&mut self, service: &ServiceName, target: &Target) {
        let service = self.services.get_mut(service);
        if let Some(found) = service.and_then(|service| service.get_mut(&target.endpoint)) {
            found.record_misdirected(target);
        }
    }

    /// Returns the destination of a call to one endpoint of a service, unless it has gone.
    #[must_use]
    pub fn target_in(&self, service: &ServiceName, endpoint: &EndpointId) -> Option<Target> {
        let found = self.services.get(service)?.get(endpoint)?;
        (!found.is_gone()).then(|| found.target())
    }

    /// Returns `true` if any endpoint of the service is known.
    #[must_use]
    pub fn knows(&self, service: &ServiceName) -> bool {
        self.services.contains_key(service)
    }

    /// Returns the target of one endpoint, unless it is gone; a leaving endpoint still answers for
    /// the idempotency keys that it holds.
    #[must_use]
    pub fn target(&self, endpoint: &EndpointId) -> Option<Target> {
        let found = self.services.values().find_map(|service| service.get(endpoint))?;
        (!found.is_gone()).then(|| found.target())
    }

    /// Chooses an endpoint that is not in `exclude`.
    pub fn pick(
        &mut self,
        service: &ServiceName,
        attributes: CallAttributes,
        exclude: &[EndpointId],
        now: MonoTime,
    ) -> Option<Target> {
        let service = self.services.get_mut(service)?;
        service.pick(&self.context, attributes, exclude, now, &mut self.rng)
    }

    /// Returns the target outside `exclude` with the highest value of `order`, among the endpoints
    /// that get ordinary calls.
    pub fn pick_by_order(
        &self,
        service: &ServiceName,
        exclude: &[EndpointId],
        now: MonoTime,
        order: impl Fn(&EndpointId) -> u64,
    ) -> Option<Target> {
        let candidates = self.services.get(service)?.candidates(&self.context, exclude, now);
        let first = candidates.into_iter().max_by_key(|found| order(&found.member.endpoint))?;
        Some(first.target())
    }

    /// Records that a call was sent.
    pub fn record_sent(&mut self, service: &ServiceName, endpoint: &EndpointId, now: MonoTime) {
        let service = self.services.get_mut(service);
        if let Some(found) = service.and_then(|service| service.get_mut(endpoint)) {
            found.record_sent(now);
            self.context.zone_reachability.record_sent(&found.member.zone, now);
        }
    }

    /// Records how a call ended.
    pub fn record_result(
        &mut self,
        service: &ServiceName,
        endpoint: &EndpointId,
        result: CallResult,
        now: MonoTime,
    ) {
        let Some(service) = self.services.get_mut(service) else { return };
        if let Some(found) = service.get(endpoint) {
            self.context.zone_reachability.record_result(&found.member.zone, endpoint, result, now);
        }
        service.record_result(&self.context, endpoint, result, now);
    }

    /// Records the admission level that the answer to a call under `rule` reported.
    pub fn record_level(
        &mut self,
        service: &ServiceName,
        endpoint: &EndpointId,
        rule: RuleNumber,
        level: LearnedLevel,
    ) {
        let service = self.services.get_mut(service);
        if let Some(found) = service.and_then(|service| service.get_mut(endpoint)) {
            found.record_level(rule, level);
        }
    }

    /// Records the occupancy that the node of an endpoint reports, in thousandths.
    pub fn record_occupancy(
        &mut self,
        service: &ServiceName,
        endpoint: &EndpointId,
        milli: u32,
        now: MonoTime,
    ) {
        if let Some(service) = self.services.get_mut(service) {
            service.record_occupancy(&self.context, endpoint, milli, now);
        }
    }

    /// Records what the node of an endpoint reports that it takes well, in the answer to a call on
    /// `route`. Returns the change of its speed, if that is more than a fifth.
    pub fn record_capacity(
        &mut self,
        service: &ServiceName,
        endpoint: &EndpointId,
        route: &RouteName,
        report: &CapacityReport,
        now: MonoTime,
    ) -> Option<SpeedChange> {
        self.services.get_mut(service)?.record_capacity(endpoint, route, report, now)
    }

    /// Returns what is believed of the endpoints that have reported their capacity.
    pub fn capacity_beliefs(&self, now: MonoTime) -> impl Iterator<Item = CapacityBelief<'_>> {
        let endpoints = self.services.values().flat_map(Service::endpoints);
        endpoints.filter_map(move |endpoint| endpoint.capacity_belief(now))
    }

    /// Returns the mean run time of a route, if endpoints of the service report it.
    #[must_use]
    pub fn run_time(&self, service: &ServiceName, route: &RouteName) -> Option<Duration> {
        self.services.get(service)?.run_time(route)
    }

    /// Records what the answer of a target states about its upstream. Returns `true` if that
    /// changed.
    pub fn record_signals(
        &mut self,
        service: &ServiceName,
        target: &Target,
        signals: &UpstreamSignals,
    ) -> bool {
        let service = self.services.get_mut(service);
        let found = service.and_then(|service| service.get_mut(&target.endpoint));
        found.is_some_and(|found| found.signals.record(target.lifetime.as_ref(), signals))
    }

    /// Returns `true` if the upstream of the endpoint states a rate limit and another endpoint of
    /// the service has room for its excess calls.
    #[must_use]
    pub fn has_room_beside_limited(
        &self,
        service: &ServiceName,
        endpoint: &EndpointId,
        now: MonoTime,
    ) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| service.has_room_beside_limited(endpoint, now))
    }

    /// Returns the level below which most endpoints of the service are known to refuse calls under
    /// `rule`.
    #[must_use]
    pub fn level(&self, service: &ServiceName, rule: RuleNumber, now: MonoTime) -> LearnedLevel {
        let service = self.services.get(service);
        service.map(|service| service.level(rule, now)).unwrap_or_default()
    }

    /// Returns `true` if an endpoint outside `exclude` may admit a call with these attributes.
    #[must_use]
    pub fn has_alternative(
        &self,
        service: &ServiceName,
        attributes: CallAttributes,
        exclude: &[EndpointId],
        now: MonoTime,
    ) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| service.has_alternative(attributes, exclude, now))
    }

    /// Returns the number of ejected endpoints of the service.
    #[must_use]
    pub fn ejected(&self, service: &ServiceName) -> usize {
        self.services.get(service).map_or(0, Service::ejected)
    }

    /// Clears all levels, which belong to the rules of one policy.
    pub fn forget_levels(&mut self) {
        self.services.values_mut().for_each(Service::forget_levels);
    }

    /// Returns the endpoints of a service that take work, in the order of their names.
    pub fn members_taking_work(&self, service: &ServiceName) -> impl Iterator<Item = &Member> {
        let endpoints = self.services.get(service).into_iter().flat_map(Service::endpoints);
        endpoints.filter(|endpoint| endpoint.takes_work()).map(|endpoint| &endpoint.member)
    }

    /// Returns all known members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let endpoints = self.services.values().flat_map(Service::endpoints);
        endpoints.map(|endpoint| &endpoint.member)
    }
}
