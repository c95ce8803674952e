use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cuminarch_protocol::{Member, MemberState};
use cuminarch_types::{EndpointId, Incarnation, MonoTime, Rank, RegionName, ServiceName, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

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
}

/// Endpoints by service, and what the node has seen of each.
#[derive(Clone, Debug)]
pub struct Router {
    zone: ZoneName,
    region: RegionName,
    rng: ChaCha8Rng,
    services: BTreeMap<ServiceName, BTreeMap<EndpointId, Entry>>,
    levels: BTreeMap<ServiceName, (Rank, MonoTime)>,
}

impl Router {
    /// Time after which a learned admission level no longer counts.
    const LEVEL_LIFETIME: Duration = Duration::from_secs(1);
    const FAILURES_TO_AVOID: u32 = 3;
    const AVOID_TIME: Duration = Duration::from_secs(2);

    /// A router of a node in the given zone.
    #[must_use]
    pub fn new(zone: ZoneName, region: RegionName, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { zone, region, rng, services: BTreeMap::new(), levels: BTreeMap::new() }
    }

    /// Takes in what is known of a member; older statements are ignored.
    pub fn update(&mut self, member: Member) {
        let endpoints = self.services.entry(member.service.clone()).or_default();
        match endpoints.get_mut(&member.endpoint) {
            Some(entry) if !member.replaces(&entry.member) => {}
            Some(entry) if entry.member.incarnation == member.incarnation => entry.member = member,
            _ => {
                let entry =
                    Entry { in_flight: 0, failures: 0, avoid_until: MonoTime::ZERO, member };
                endpoints.insert(entry.member.endpoint.clone(), entry);
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
            (avoided, distance)
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

    /// Notes the admission level that an answer carried back.
    pub fn note_level(&mut self, service: &ServiceName, level: Rank, now: MonoTime) {
        self.levels.insert(service.clone(), (level, now));
    }

    /// Rank below which calls to the service are refused before they are sent.
    #[must_use]
    pub fn level(&self, service: &ServiceName, now: MonoTime) -> Rank {
        match self.levels.get(service) {
            Some((level, noted)) if now.since(*noted) < Self::LEVEL_LIFETIME => *level,
            _ => Rank::MIN,
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
    fn target(&self) -> Target {
        Target {
            endpoint: self.member.endpoint.clone(),
            incarnation: self.member.incarnation,
            data_address: self.member.data_address,
        }
    }
}
