use std::collections::BTreeMap;

use cuminarch_types::{RouteName, ServiceName, ZoneName};

use crate::Origin;

/// Distinguishes routes that only upstreams call from those that external callers use.
///
/// External callers enter through nodes of every service, whereas a call that an upstream makes
/// while running a request begins at a node of one of a few services. The calls themselves do not
/// say which kind they are. A route is classified as internal if calls are missing from a service
/// that external callers would have used. Each zone is evaluated separately because calls rarely
/// leave their zone.
#[derive(Clone, Debug, Default)]
pub struct InternalRouteDetector {
    calls: BTreeMap<RouteName, BTreeMap<Origin, u32>>,
    /// Number of nodes by zone and service.
    node_counts: BTreeMap<Origin, u32>,
}

impl InternalRouteDetector {
    /// Minimum number of expected calls from a service before their absence is significant; by
    /// chance, this many are missing once in some hundred thousand cases.
    const MIN_EXPECTED_CALLS: f64 = 12.0;
    /// Calls count as missing below this fraction of the expected number. It is not zero because
    /// some requests are sent to every node as a test.
    const MISSING_FRACTION: f64 = 0.15;
    /// Counts are halved above this number of calls, to follow changes.
    const MAX_CALL_COUNT: u32 = 2_000;

    /// Creates a detector without data.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the number of nodes of each service in each zone.
    pub fn set_node_counts(&mut self, node_counts: BTreeMap<Origin, u32>) {
        self.node_counts = node_counts;
    }

    /// Records a call and its origin.
    pub fn record_call(&mut self, route: &RouteName, origin: Origin) {
        let counts = self.calls.entry(route.clone()).or_default();
        *counts.entry(origin).or_default() += 1;
        if counts.values().sum::<u32>() > Self::MAX_CALL_COUNT {
            counts.values_mut().for_each(|count| *count /= 2);
        }
    }

    /// Returns `true` if, according to the data so far, only upstreams call the route.
    #[must_use]
    pub fn is_internal(&self, route: &RouteName) -> bool {
        let Some(counts) = self.calls.get(route) else { return false };
        let (calls, nodes) = (sum_by(counts, zone), sum_by(&self.node_counts, zone));
        let seen = sum_by(counts, service);
        let mut expected: BTreeMap<&ServiceName, f64> = BTreeMap::new();
        for (origin, size) in &self.node_counts {
            let zone_calls = calls.get(&origin.zone).copied().unwrap_or_default();
            let share = f64::from(*size) / nodes[&origin.zone];
            *expected.entry(&origin.service).or_default() += zone_calls * share;
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
