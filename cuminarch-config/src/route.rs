use std::collections::BTreeMap;
use std::sync::Arc;

use compact_str::CompactString;
use cuminarch_types::{RouteName, ServiceName};

use crate::{DestinationEntry, Rule};

/// A route in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// What applies to its requests.
    pub rule: Rule,
    /// Where they go; never empty.
    pub destinations: Vec<DestinationEntry>,
}

impl Route {
    /// Whether requests may go to this service.
    #[must_use]
    pub fn has_destination(&self, service: &ServiceName) -> bool {
        self.destinations.iter().any(|destination| destination.service == *service)
    }
}

/// Routes by host and beginning of the path.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: BTreeMap<CompactString, BTreeMap<CompactString, Arc<Route>>>,
}

impl RouteTable {
    /// Adds a route.
    pub(crate) fn insert(&mut self, host: &str, prefix: &str, route: Route) {
        let host = CompactString::from(host.to_ascii_lowercase());
        self.hosts.entry(host).or_default().insert(prefix.into(), Arc::new(route));
    }

    /// Whether there is no route at all.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.values().map(BTreeMap::len).sum()
    }

    /// The route with the longest prefix of `path` at `host`, which may carry a port.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        let slashes = path.rmatch_indices('/');
        slashes.map(|(at, _)| &path[..=at]).find_map(|prefix| prefixes.get(prefix))
    }
}
