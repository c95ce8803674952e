use std::collections::BTreeMap;
use std::sync::Arc;

use compact_str::CompactString;
use cuminarch_types::{RouteName, ServiceName};

use crate::{DestinationEntry, Rule};

/// A compiled route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Rule that applies to the requests.
    pub rule: Rule,
    /// Services that receive the requests, with a weight above zero. Empty if the entry of the route
    /// was set aside: its requests are refused as not run.
    pub destinations: Vec<DestinationEntry>,
    /// Whether requests need no key of a client account.
    pub is_public: bool,
}

impl Route {
    /// Returns `true` if requests may be sent to `service`.
    #[must_use]
    pub fn has_destination(&self, service: &ServiceName) -> bool {
        self.destinations.iter().any(|destination| destination.service == *service)
    }
}

/// Routes by host and path prefix.
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

    /// Adds a route unless there is one with the same host and prefix.
    pub(crate) fn insert_if_absent(&mut self, host: &str, prefix: &str, route: Route) {
        let host = CompactString::from(host.to_ascii_lowercase());
        let prefixes = self.hosts.entry(host).or_default();
        prefixes.entry(prefix.into()).or_insert_with(|| Arc::new(route));
    }

    /// Returns `true` if there are no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.values().map(BTreeMap::len).sum()
    }

    /// Returns the route with the longest prefix of `path` at `host`. A port in `host` is ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        let slashes = path.rmatch_indices('/');
        slashes.map(|(index, _)| &path[..=index]).find_map(|prefix| prefixes.get(prefix))
    }
}
