//! Models of the users' fleets: services, endpoints and kinds of requests.

use cuminarch_config::{ClassEntry, Policy, RuleEntry, Sheet};
use cuminarch_types::{Attempts, ClassName, Revision};

/// One-way network delay within an availability zone, in microseconds.
pub const SAME_ZONE_DELAY_US: u64 = 100;
/// One-way network delay between a client and a node, in microseconds.
pub const CLIENT_DELAY_US: u64 = 8_000;
/// Time to open a connection, in microseconds.
pub const CONNECT_US: u64 = 1_000;
/// Attempts granted to a request, over all of its sends.
pub const GRANT_ATTEMPTS: u32 = 64;
/// Deadline of a request in every class, in milliseconds.
pub const DEADLINE_MS: u64 = 2_000;

/// One service.
#[derive(Clone, Debug)]
pub struct Service {
    pub name: String,
    pub endpoints: usize,
    pub slots: usize,
    pub work_us: u64,
}

/// One kind of request: a chain of services, each calling the next.
#[derive(Clone, Debug)]
pub struct RequestKind {
    pub name: &'static str,
    pub weight: f64,
    pub is_protected: bool,
    pub chain: Vec<usize>,
}

/// One fleet; its kinds are in order of refusal, the first to be refused first.
#[derive(Clone, Debug)]
pub struct System {
    pub name: &'static str,
    pub zones: usize,
    pub cross_zone_delay_us: u64,
    pub services: Vec<Service>,
    pub kinds: Vec<RequestKind>,
    /// The service that saturates first.
    pub bottleneck: usize,
    /// The service that the cause `SlowService` slows down.
    pub slowed_service: usize,
}

fn service(name: &str, endpoints: usize, slots: usize, work_us: u64) -> Service {
    Service { name: name.to_owned(), endpoints, slots, work_us }
}

const fn kind(
    name: &'static str,
    weight: f64,
    is_protected: bool,
    chain: Vec<usize>,
) -> RequestKind {
    RequestKind { name, weight, is_protected, chain }
}

impl System {
    /// Retries allowed for each hundred first attempts.
    pub const RETRY_PERCENT: u32 = 10;
    /// The users' slots are divided by this, to keep the simulation small.
    pub const SLOT_DIVISOR: usize = 4;

    /// Returns the fleet of the Verband: a status check passes through four services.
    pub fn verband() -> Self {
        let divisor = Self::SLOT_DIVISOR;
        Self {
            name: "verband",
            zones: 3,
            cross_zone_delay_us: 1_500,
            services: vec![
                service("katalog", 6, 140 / divisor, 5_000),
                service("auftrag", 3, 40 / divisor, 20_000),
                service("bildarchiv", 3, 270 / divisor, 30_000),
                service("kasse", 4, 200 / divisor, 10_000),
            ],
            kinds: vec![
                kind("browse", 0.40, false, vec![0]),
                kind("proof", 0.13, false, vec![0, 2]),
                kind("status", 0.35, false, vec![0, 1, 2, 3]),
                kind("deposit", 0.07, true, vec![0, 3]),
                kind("approval", 0.05, true, vec![0, 1, 3]),
            ],
            bottleneck: 1,
            slowed_service: 2,
        }
    }

    /// Returns the fleet of Dukkeøye: a booking passes through three services.
    pub fn dukkeoye() -> Self {
        let divisor = Self::SLOT_DIVISOR;
        Self {
            name: "dukkeoye",
            zones: 3,
            cross_zone_delay_us: 1_000,
            services: vec![
                service("katalog", 4, 120 / divisor, 5_000),
                service("benk", 3, 160 / divisor, 15_000),
                service("veiledning", 3, 160 / divisor, 25_000),
                service("deler", 3, 50 / divisor, 20_000),
            ],
            kinds: vec![
                kind("browse", 0.40, false, vec![0]),
                kind("guide", 0.15, false, vec![0, 2]),
                kind("lookup", 0.35, false, vec![0, 3]),
                kind("booking", 0.10, true, vec![0, 1, 3]),
            ],
            bottleneck: 3,
            slowed_service: 3,
        }
    }

    /// Returns a chain of 14 services of which the last is the bottleneck.
    pub fn deep_chain() -> Self {
        const DEPTH: usize = 14;
        let mut services: Vec<Service> =
            (1..DEPTH).map(|depth| service(&format!("layer{depth:02}"), 3, 60, 5_000)).collect();
        services.push(service("layer14", 3, 6, 20_000));
        let all: Vec<usize> = (0..DEPTH).collect();
        Self {
            name: "chain14",
            zones: 3,
            cross_zone_delay_us: 1_500,
            services,
            kinds: vec![
                kind("browse", 0.40, false, vec![0, 1]),
                kind("status", 0.45, false, all.clone()),
                kind("approval", 0.15, true, all),
            ],
            bottleneck: DEPTH - 1,
            slowed_service: DEPTH - 1,
        }
    }

    /// Returns how long a request of this kind occupies a slot of each service of its chain if
    /// nothing queues; `slow` is a slowed service and its factor.
    pub fn slot_times_us(
        &self,
        kind: &RequestKind,
        slow: Option<(usize, f64)>,
    ) -> Vec<(usize, f64)> {
        let mut times = Vec::new();
        let mut below_us = 0.0;
        for service in kind.chain.iter().rev() {
            let factor = slow.filter(|slow| slow.0 == *service).map_or(1.0, |slow| slow.1);
            let total_us = self.services[*service].work_us as f64 * factor + below_us;
            times.push((*service, total_us));
            below_us = total_us + 2.0 * SAME_ZONE_DELAY_US as f64;
        }
        times
    }

    /// Returns the requests per second, of all kinds together, that saturate the bottleneck.
    pub fn capacity_per_s(&self) -> f64 {
        let mut load = vec![0.0; self.services.len()];
        for kind in &self.kinds {
            for (service, time_us) in self.slot_times_us(kind, None) {
                load[service] += kind.weight * time_us / 1e6;
            }
        }
        let slots = self.services.iter().map(|service| (service.endpoints * service.slots) as f64);
        slots.zip(load).map(|(slots, load)| slots / load).fold(f64::INFINITY, f64::min)
    }

    /// Returns the policy of the fleet: one class for each kind, in order of refusal.
    pub fn policy(&self, retry_percent: u32) -> Policy {
        let class = |kind: &RequestKind| ClassName::new(kind.name).expect("valid class name");
        let classes = self.kinds.iter().map(|kind| ClassEntry {
            name: class(kind),
            grant_attempts: Attempts::new(GRANT_ATTEMPTS),
            deadline_ms: DEADLINE_MS,
            retry_percent,
            protected: kind.is_protected,
        });
        let rules = self.kinds.iter().map(|kind| RuleEntry {
            class: class(kind),
            services: None,
            methods: None,
            path: format!("/{}/**", kind.name).into(),
            idempotent: !kind.is_protected,
        });
        let sheet = Sheet {
            classes: classes.collect(),
            rules: rules.collect(),
            default_class: class(&self.kinds[0]),
            ..Sheet::default()
        };
        Policy::from_sheet(Revision::new(1), &sheet).expect("valid sheet")
    }
}
