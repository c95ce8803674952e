use std::net::SocketAddr;

use cuminarch_types::{EndpointId, Incarnation, RegionName, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// What is believed about a member; later variants win within a statement.
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
    /// Number of the statement within the process; the member raises it to
    /// change its own state or to refute what others say of it.
    #[serde(default)]
    pub statement: u32,
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
    /// A higher incarnation always does; within an incarnation the higher
    /// statement does, and within a statement the later state.
    ///
    /// The order follows "SWIM: Scalable Weakly-consistent Infection-style
    /// Process Group Membership Protocol" (Das, Gupta, Motivala, 2002), whose
    /// single incarnation number is split here: calls are bound to a process,
    /// which must not change when a suspicion is refuted.
    #[must_use]
    pub fn replaces(&self, other: &Self) -> bool {
        self.order() > other.order()
    }

    /// Place of the statement among those about the same endpoint.
    #[must_use]
    pub const fn order(&self) -> (Incarnation, u32, MemberState) {
        (self.incarnation, self.statement, self.state)
    }

    /// The statement with another state.
    #[must_use]
    pub fn with_state(mut self, state: MemberState) -> Self {
        self.state = state;
        self
    }
}
