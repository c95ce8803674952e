use std::net::SocketAddr;

use compact_str::CompactString;
use cuminarch_types::{EndpointId, RegionName, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::NodeError;

/// Settings of one node, read from YAML.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the fleet.
    pub fleet: CompactString,
    /// The endpoint beside the node.
    pub endpoint: EndpointId,
    /// The service of the endpoint.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the own upstream connects to call other services; loopback.
    pub egress_address: SocketAddr,
    /// Where other nodes connect with calls.
    pub data_address: SocketAddr,
    /// Where other nodes connect for control.
    pub control_address: SocketAddr,
    /// Where operators connect for metrics and dumps.
    pub admin_address: SocketAddr,
    /// Where the own upstream listens.
    pub upstream_address: SocketAddr,
    /// Where the platform's object API listens.
    pub platform_address: SocketAddr,
    /// Longest time to wait for calls in flight at shutdown, in milliseconds.
    #[serde(default = "default_shutdown_timeout_ms")]
    pub shutdown_timeout_ms: u64,
}

const fn default_shutdown_timeout_ms() -> u64 {
    30_000
}

impl NodeSettings {
    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// Fails with place and cause when the text is not usable.
    pub fn parse(text: &str) -> Result<Self, NodeError> {
        let settings: Self = serde_saphyr::from_str(text)
            .map_err(|error| NodeError::Settings { reason: error.to_string() })?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), NodeError> {
        if !self.egress_address.ip().is_loopback() {
            let reason = format!("egress_address: {} is not loopback", self.egress_address);
            return Err(NodeError::Settings { reason });
        }
        Ok(())
    }
}
