use std::net::SocketAddr;

use cuminarch_types::{EndpointId, Incarnation, RegionName, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// What is believed about a member; later variants win within an incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Takes work.
    Active,
    /// Has not been heard of; takes work only as a last choice.
    Suspect,
    /// Announced that it stops; takes no new work.
    Leaving,
    /// Left or was given up.
    Gone,
}

/// One endpoint of the fleet, as it announces itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// The process that announced this.
    pub incarnation: Incarnation,
    /// Where its node takes data links.
    pub data_address: SocketAddr,
    /// Where its node takes control links.
    pub control_address: SocketAddr,
    /// What is believed about it.
    pub state: MemberState,
}

impl Member {
    /// Whether this statement replaces `other` about the same endpoint.
    ///
    /// A higher incarnation always does; within an incarnation the later state does.
    #[must_use]
    pub fn replaces(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}
