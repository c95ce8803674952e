use std::collections::BTreeSet;

use cuminarch_types::{EndpointId, ZoneName};

/// Identity of a node, and the zones that share the allotments.
#[derive(Clone, Debug)]
pub struct AllotmentSettings {
    /// The endpoint beside the node.
    pub endpoint: EndpointId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// All zones of the deployment. Each gets an equal part of every allotment, whether or not any
    /// of its nodes can be reached; if empty, the allotments are not divided.
    pub zones: BTreeSet<ZoneName>,
    /// Seed of the ids of asks. It must differ between the processes of an endpoint: a process
    /// must not take a grant for its predecessor as the answer to an ask of its own.
    pub seed: u64,
}

impl AllotmentSettings {
    /// Creates settings without a division by zone.
    #[must_use]
    pub const fn new(endpoint: EndpointId, zone: ZoneName) -> Self {
        Self { endpoint, zone, zones: BTreeSet::new(), seed: 1 }
    }

    /// Sets the zones that share the allotments.
    #[must_use]
    pub fn with_zones(mut self, zones: BTreeSet<ZoneName>) -> Self {
        self.zones = zones;
        self
    }

    /// Sets the seed of the ids of asks.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
