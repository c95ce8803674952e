use std::collections::BTreeMap;

use cuminarch_config::Route;
use cuminarch_types::{RouteName, ServiceName};

/// Spreads the requests of each route over its services by their weights.
///
/// Smooth weighted round robin: every sequence of requests is as close to the weights as possible,
/// so that the shares also hold over short times.
///
/// ```
/// use cuminarch_config::{Policy, Sheet};
/// use cuminarch_routing::Splitter;
/// use cuminarch_types::Revision;
///
/// let sheet = Sheet::parse("
/// classes: [{name: browse, grant_attempts: 16, deadline_ms: 1000}]
/// default_class: browse
/// routes:
///   - {name: all, host: a, prefix: /, class: browse, idempotent: true, deadline_ms: 1000,
///      objective_ms: 500, max_endpoints: 2,
///      destinations: [{service: old, weight: 3}, {service: new, weight: 1}]}
/// ")?;
/// let policy = Policy::from_sheet(Revision::new(1), &sheet)?;
/// let route = policy.route("a", "/").expect("a route");
/// let mut splitter = Splitter::new();
/// let chosen: Vec<&str> = (0..4).map(|_| splitter.choose(route).as_str()).collect();
/// assert_eq!(chosen, ["old", "old", "new", "old"]);
/// # Ok::<(), cuminarch_config::SheetError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    credits: BTreeMap<RouteName, BTreeMap<ServiceName, i64>>,
}

impl Splitter {
    /// Creates a splitter without history.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the service for the next request of a route.
    ///
    /// # Panics
    ///
    /// Never: a route has at least one destination.
    pub fn choose<'a>(&mut self, route: &'a Route) -> &'a ServiceName {
        let [first, others @ ..] = route.destinations.as_slice() else {
            unreachable!("a valid route has at least one destination");
        };
        if others.is_empty() {
            return &first.service;
        }
        let credits = self.credits.entry(route.name.clone()).or_default();
        let total: i64 =
            route.destinations.iter().map(|destination| i64::from(destination.weight)).sum();
        let mut best = (i64::MIN, &first.service);
        for destination in &route.destinations {
            let credit = credits.entry(destination.service.clone()).or_default();
            *credit = (*credit + i64::from(destination.weight)).clamp(-2 * total, 2 * total);
            if *credit > best.0 {
                best = (*credit, &destination.service);
            }
        }
        if let Some(credit) = credits.get_mut(best.1) {
            *credit -= total;
        }
        best.1
    }
}
