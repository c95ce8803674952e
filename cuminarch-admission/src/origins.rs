use std::collections::BTreeMap;

use cuminarch_types::{RouteName, ServiceName, ZoneName};

use crate::Origin;

/// Tells routes that only upstreams call from those that callers use.
///
/// Callers come in through nodes of every service, whereas a call that an
/// upstream makes while it runs a request begins beside one of a few services.
/// Zones are looked at one by one, as calls seldom leave theirs.
/// The calls themselves do not say which they are. A route counts as internal if
/// calls from some service are missing that callers would have brought.
#[derive(Clone, Debug, Default)]
pub struct InternalRouteDetector {
    calls: BTreeMap<RouteName, BTreeMap<Origin, u32>>,
    /// Number of nodes of each service in each zone.
    node_counts: BTreeMap<Origin, u32>,
}

impl InternalRouteDetector {
    /// Calls that callers would have brought from one service before their absence
    /// says anything; by chance, so many are missing once in some hundred thousand.
    const MIN_EXPECTED_CALLS: f64 = 12.0;
    /// Part of the expected calls below which they count as missing; some requests
    /// are sent to every node as a test.
    const MISSING_FRACTION: f64 = 0.15;
    /// Calls after which counts are halved, so that changes are learned.
    const MAX_CALL_COUNT: u32 = 2_000;

    /// Nothing learned.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in how many nodes each service has in each zone.
    pub fn set_node_counts(&mut self, sizes: BTreeMap<Origin, u32>) {
        self.node_counts = sizes;
    }

    /// Notes a call and where it began.
    pub fn record_call(&mut self, route: &RouteName, origin: Origin) {
        let counts = self.calls.entry(route.clone()).or_default();
        *counts.entry(origin).or_default() += 1;
        if counts.values().sum::<u32>() > Self::MAX_CALL_COUNT {
            counts.values_mut().for_each(|count| *count /= 2);
        }
    }

    /// Whether only upstreams call the route, as far as is known.
    #[must_use]
    pub fn is_internal(&self, route: &RouteName) -> bool {
        let Some(counts) = self.calls.get(route) else { return false };
        let (calls, nodes) = (sum_by(counts, zone), sum_by(&self.node_counts, zone));
        let seen = sum_by(counts, service);
        let mut expected: BTreeMap<&ServiceName, f64> = BTreeMap::new();
        for (origin, size) in &self.node_counts {
            let of_zone = calls.get(&origin.zone).copied().unwrap_or_default();
            let share = f64::from(*size) / nodes[&origin.zone];
            *expected.entry(&origin.service).or_default() += of_zone * share;
        }
        expected.into_iter().any(|(service, expected)| {
            let seen = seen.get(service).copied().unwrap_or_default();
            expected >= Self::MIN_EXPECTED_CALLS && seen < expected * Self::MISSING_FRACTION
        })
    }
}

const fn zone(origin: &Origin) -> &ZoneName {
    &origin.zone
}

const fn service(origin: &Origin) -> &ServiceName {
    &origin.service
}

fn sum_by<'a, K: Ord>(
    counts: &'a BTreeMap<Origin, u32>,
    key: impl Fn(&'a Origin) -> &'a K,
) -> BTreeMap<&'a K, f64> {
    let mut sums = BTreeMap::new();
    for (origin, count) in counts {
        *sums.entry(key(origin)).or_default() += f64::from(*count);
    }
    sums
}
