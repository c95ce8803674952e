use std::sync::Arc;

use cuminarch_protocol::Member;
use cuminarch_types::{EndpointId, Revision, StoreEra, ZoneName};
use serde::Serialize;

use crate::peer::Peer;
use crate::{ConfigCurrency, Fleet, MemberTable};

/// State of a [`Fleet`] for operators.
#[derive(Clone, Debug, Serialize)]
pub struct FleetSummary {
    /// Whether this node is a relay of its zone.
    pub is_relay: bool,
    /// Whether it calls the platform on behalf of its zone.
    pub is_reporter: bool,
    /// Whether it cannot reach the platform.
    pub lacks_platform: bool,
    /// Latest era reported by the store; it rises when the store is restored from a backup.
    pub store_era: StoreEra,
    /// Revision of the configuration in force; 0 for the safe defaults.
    pub revision: Revision,
    /// What is known about whether that is the latest one.
    pub config_currency: ConfigCurrency,
    /// Other relays of its zone.
    pub zone_relays: Vec<EndpointId>,
    /// Relays that it reports to.
    pub homes: Vec<EndpointId>,
    /// Members that report to it.
    pub attached: Vec<EndpointId>,
    /// Zones that cannot be reached.
    pub cut_zones: Vec<ZoneName>,
    /// All members, including those that have gone.
    pub members: Vec<Arc<Member>>,
    /// Estimated memory in bytes.
    pub memory_bytes: usize,
}

impl Fleet {
    /// Returns the state for operators.
    #[must_use]
    pub fn summary(&self) -> FleetSummary {
        FleetSummary {
            is_relay: self.topology.is_relay,
            is_reporter: self.is_reporter(),
            lacks_platform: self.platform.is_unavailable,
            store_era: StoreEra::default(),
            revision: self.revision(),
            config_currency: ConfigCurrency::default(),
            zone_relays: self.topology.zone_relays.clone(),
            homes: self.topology.homes.clone(),
            attached: self.topology.attached.keys().cloned().collect(),
            cut_zones: self.cut_zones.keys().cloned().collect(),
            members: self.table.iter().cloned().collect(),
            memory_bytes: self.memory_bytes(),
        }
    }

    /// Returns the memory in bytes that members, peers and sheets occupy, without
    /// allocator overhead.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let member = MemberTable::bytes_per_member() + 2 * size_of::<EndpointId>();
        let peer = size_of::<Peer>() + size_of::<EndpointId>();
        size_of::<Self>()
            + self.table.len() * member
            + self.peers.len() * peer
            + self.config.len_bytes()
    }
}
