use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cuminarch_protocol::{Member, MemberState};
use cuminarch_types::{
    EndpointId, Incarnation, MonoTime, Rank, RegionName, RuleNumber, ServiceName, ZoneName,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::LearnedLevel;

/// Where a call is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its process.
    pub incarnation: Incarnation,
    /// Where its node takes data links.
    pub data_address: SocketAddr,
}

/// What matters of a call when its endpoint is chosen.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallKind {
    /// The rule that covers it.
    pub rule: RuleNumber,
    /// Its place in the refusal order.
    pub rank: Rank,
}

/// What one finished call shows about its endpoint.
#[derive(Clone, Copy, Debug)]
pub enum CallSample {
    /// An answer came after this time.
    Answered(Duration),
    /// The endpoint refused without running it.
    Refused,
    /// No answer came.
    Failed,
    /// The call was withdrawn; it shows nothing.
    Withdrawn,
}

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    in_flight: u32,
    failures: u32,
    avoid_until: MonoTime,
    levels: BTreeMap<RuleNumber, LearnedLevel>,
}

/// Endpoints by service, and what the node has seen of each.
#[derive(Clone, Debug)]
pub struct Router {
    zone: ZoneName,
    region: RegionName,
    rng: ChaCha8Rng,
    services: BTreeMap<ServiceName, BTreeMap<EndpointId, Entry>>,
}

impl Router {
    const FAILURES_TO_AVOID: u32 = 3;
    const AVOID_TIME: Duration = Duration::from_secs(2);

    /// A router of a node in the given zone.
    #[must_use]
    pub fn new(zone: ZoneName, region: RegionName, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { zone, region, rng, services: BTreeMap::new() }
    }

    /// Takes in what is known of a member; older statements are ignored.
    pub fn update(&mut self, member: Member) {
        let endpoints = self.services.entry(member.service.clone()).or_default();
        match endpoints.get_mut(&member.endpoint) {
            Some(entry) if !member.replaces(&entry.member) => {}
            Some(entry) if entry.member.incarnation == member.incarnation => entry.member = member,
            _ => {
                endpoints.insert(member.endpoint.clone(), Entry::new(member));
            }
        }
    }

    /// Whether any endpoint of the service is known.
    #[must_use]
    pub fn knows(&self, service: &ServiceName) -> bool {
        self.services.contains_key(service)
    }

    /// The target of one endpoint, if it takes work.
    #[must_use]
    pub fn target(&self, endpoint: &EndpointId) -> Option<Target> {
        let entry = self.services.values().find_map(|endpoints| endpoints.get(endpoint))?;
        (entry.member.state <= MemberState::Suspect).then(|| entry.target())
    }

    /// Chooses an endpoint that is not in `exclude`.
    pub fn pick(
        &mut self,
        service: &ServiceName,
        kind: CallKind,
        exclude: &[EndpointId],
        now: MonoTime,
    ) -> Option<Target> {
        let endpoints = self.services.get(service)?;
        let usable: Vec<&Entry> = endpoints
            .values()
            .filter(|entry| entry.member.state <= MemberState::Suspect)
            .filter(|entry| !exclude.contains(&entry.member.endpoint))
            .collect();
        let tier = |entry: &&Entry| {
            let avoided = entry.avoid_until > now || entry.member.state == MemberState::Suspect;
            let distance = if entry.member.zone == self.zone {
                0
            } else if entry.member.region == self.region {
                1
            } else {
                2
            };
            (avoided, !entry.admits(kind, now), distance)
        };
        let best = usable.iter().map(tier).min()?;
        let candidates: Vec<&Entry> =
            usable.into_iter().filter(|entry| tier(entry) == best).collect();
        let first = candidates[self.rng.random_range(0..candidates.len())];
        let second = candidates[self.rng.random_range(0..candidates.len())];
        let chosen = if second.in_flight < first.in_flight { second } else { first };
        Some(chosen.target())
    }

    /// Notes that a call was sent.
    pub fn started(&mut self, service: &ServiceName, endpoint: &EndpointId) {
        if let Some(entry) = self.entry(service, endpoint) {
            entry.in_flight += 1;
        }
    }

    /// Notes how a call ended.
    pub fn finished(
        &mut self,
        service: &ServiceName,
        endpoint: &EndpointId,
        sample: CallSample,
        now: MonoTime,
    ) {
        let Some(entry) = self.entry(service, endpoint) else { return };
        entry.in_flight = entry.in_flight.saturating_sub(1);
        match sample {
            CallSample::Answered(_) => entry.failures = 0,
            CallSample::Refused | CallSample::Withdrawn => {}
            CallSample::Failed => {
                entry.failures += 1;
                if entry.failures >= Self::FAILURES_TO_AVOID {
                    entry.avoid_until = now.after(Self::AVOID_TIME);
                }
            }
        }
    }

    /// Notes the admission level that the answer to a call under `rule` carried back.
    pub fn note_level(
        &mut self,
        service: &ServiceName,
        endpoint: &EndpointId,
        rule: RuleNumber,
        level: Rank,
        now: MonoTime,
    ) {
        if let Some(entry) = self.entry(service, endpoint) {
            entry.levels.insert(rule, LearnedLevel::new(level, now));
        }
    }

    /// Rank below which no endpoint of the service is known to admit calls under `rule`.
    #[must_use]
    pub fn level(&self, service: &ServiceName, rule: RuleNumber, now: MonoTime) -> Rank {
        let Some(endpoints) = self.services.get(service) else { return Rank::MIN };
        let usable = endpoints.values().filter(|entry| entry.is_usable(now));
        usable.map(|entry| entry.level(rule, now)).min().unwrap_or(Rank::MIN)
    }

    /// Whether an endpoint outside `exclude` may admit a call of this kind.
    #[must_use]
    pub fn has_alternative(
        &self,
        service: &ServiceName,
        kind: CallKind,
        exclude: &[EndpointId],
        now: MonoTime,
    ) -> bool {
        let Some(endpoints) = self.services.get(service) else { return false };
        let is_other = |entry: &&Entry| !exclude.contains(&entry.member.endpoint);
        endpoints
            .values()
            .filter(is_other)
            .any(|entry| entry.is_usable(now) && entry.admits(kind, now))
    }

    /// Forgets all levels, which belong to the rules of one policy.
    pub fn forget_levels(&mut self) {
        for endpoints in self.services.values_mut() {
            for entry in endpoints.values_mut() {
                entry.levels.clear();
            }
        }
    }

    /// All members known.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.services.values().flat_map(|endpoints| endpoints.values().map(|entry| &entry.member))
    }

    fn entry(&mut self, service: &ServiceName, endpoint: &EndpointId) -> Option<&mut Entry> {
        self.services.get_mut(service)?.get_mut(endpoint)
    }
}

impl Entry {
    const fn new(member: Member) -> Self {
        Self {
            in_flight: 0,
            failures: 0,
            avoid_until: MonoTime::ZERO,
            levels: BTreeMap::new(),
            member,
        }
    }

    fn is_usable(&self, now: MonoTime) -> bool {
        self.member.state == MemberState::Active && self.avoid_until <= now
    }

    fn level(&self, rule: RuleNumber, now: MonoTime) -> Rank {
        self.levels.get(&rule).map_or(Rank::MIN, |level| level.at(now))
    }

    fn admits(&self, kind: CallKind, now: MonoTime) -> bool {
        kind.rank >= self.level(kind.rule, now)
    }

    fn target(&self) -> Target {
        Target {
            endpoint: self.member.endpoint.clone(),
            incarnation: self.member.incarnation,
            data_address: self.member.data_address,
        }
    }
}
