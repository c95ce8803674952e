use std::collections::BTreeMap;

use cuminarch_protocol::Member;
use cuminarch_types::{
    DisabledMechanisms, EndpointId, MonoTime, RegionName, RuleNumber, ServiceName, ZoneName,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::service::{RoutingContext, Service};
use crate::zone_sight::ZoneReachability;
use crate::{CallAttributes, CallResult, LearnedLevel, Target};

/// Endpoints by service, and what the node has seen of each.
#[derive(Clone, Debug)]
pub struct Router {
    context: RoutingContext,
    rng: ChaCha8Rng,
    services: BTreeMap<ServiceName, Service>,
}

impl Router {
    /// A router of a node in the given zone.
    #[must_use]
    pub fn new(zone: ZoneName, region: RegionName, seed: u64) -> Self {
        let sights = ZoneReachability::default();
        let place = RoutingContext {
            zone,
            region,
            zone_reachability: sights,
            disabled: DisabledMechanisms::default(),
        };
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { context: place, rng, services: BTreeMap::new() }
    }

    /// Switches mechanisms off.
    #[must_use]
    pub fn with_disabled(mut self, disabled: DisabledMechanisms) -> Self {
        self.context.disabled = disabled;
        self
    }

    /// Takes in what is known of a member; older statements are ignored.
    pub fn update(&mut self, member: Member, now: MonoTime) {
        let service = self.services.entry(member.service.clone()).or_default();
        service.update(member, now);
    }

    /// Whether any endpoint of the service is known.
    #[must_use]
    pub fn knows(&self, service: &ServiceName) -> bool {
        self.services.contains_key(service)
    }

    /// The target of one endpoint, unless it is gone; one that is leaving still
    /// answers for the idempotency keys that it holds.
    #[must_use]
    pub fn target(&self, endpoint: &EndpointId) -> Option<Target> {
        let found = self.services.values().find_map(|service| service.get(endpoint))?;
        (!found.is_gone()).then(|| found.target())
    }

    /// Chooses an endpoint that is not in `exclude`.
    pub fn pick(
        &mut self,
        service: &ServiceName,
        kind: CallAttributes,
        exclude: &[EndpointId],
        now: MonoTime,
    ) -> Option<Target> {
        let service = self.services.get_mut(service)?;
        service.pick(&self.context, kind, exclude, now, &mut self.rng)
    }

    /// Notes that a call was sent.
    pub fn record_sent(&mut self, service: &ServiceName, endpoint: &EndpointId, now: MonoTime) {
        let service = self.services.get_mut(service);
        if let Some(found) = service.and_then(|service| service.get_mut(endpoint)) {
            found.record_sent(now);
            self.context.zone_reachability.record_sent(&found.member.zone, now);
        }
    }

    /// Notes how a call ended.
    pub fn record_result(
        &mut self,
        service: &ServiceName,
        endpoint: &EndpointId,
        sample: CallResult,
        now: MonoTime,
    ) {
        let Some(service) = self.services.get_mut(service) else { return };
        if let Some(found) = service.get(endpoint) {
            self.context.zone_reachability.record_result(&found.member.zone, endpoint, sample, now);
        }
        service.record_result(endpoint, sample, now);
    }

    /// Notes the admission level that the answer to a call under `rule` carried back.
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

    /// Takes in the occupancy that the node of an endpoint reports, in thousandths.
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

    /// Level below which most endpoints of the service are known to refuse calls
    /// under `rule`.
    #[must_use]
    pub fn level(&self, service: &ServiceName, rule: RuleNumber, now: MonoTime) -> LearnedLevel {
        let service = self.services.get(service);
        service.map(|service| service.level(rule, now)).unwrap_or_default()
    }

    /// Whether an endpoint outside `exclude` may admit a call of this kind.
    #[must_use]
    pub fn has_alternative(
        &self,
        service: &ServiceName,
        kind: CallAttributes,
        exclude: &[EndpointId],
        now: MonoTime,
    ) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| service.has_alternative(kind, exclude, now))
    }

    /// Number of endpoints of the service that get no ordinary calls.
    #[must_use]
    pub fn ejected(&self, service: &ServiceName) -> usize {
        self.services.get(service).map_or(0, Service::ejected)
    }

    /// Forgets all levels, which belong to the rules of one policy.
    pub fn forget_levels(&mut self) {
        self.services.values_mut().for_each(Service::forget_levels);
    }

    /// The endpoints of a service that take work, in the order of their names.
    pub fn members_taking_work(&self, service: &ServiceName) -> impl Iterator<Item = &Member> {
        let endpoints = self.services.get(service).into_iter().flat_map(Service::endpoints);
        endpoints.filter(|endpoint| endpoint.takes_work()).map(|endpoint| &endpoint.member)
    }

    /// All members known.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let endpoints = self.services.values().flat_map(Service::endpoints);
        endpoints.map(|endpoint| &endpoint.member)
    }
}
