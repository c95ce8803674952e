use std::net::SocketAddr;

use cuminarch_types::{EndpointId, Incarnation, InstanceId, RegionName, ServiceName, ZoneName};
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

/// State of an upstream, as it registers with its node.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// Takes work.
    Ready,
    /// Announced that it stops; takes no new work.
    Draining,
    /// Has not registered yet, or has left.
    Absent,
}

/// What a node knows of the upstream beside it from the upstream's registrations.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamRecord {
    /// Its lifetime; none before the first registration.
    pub instance: Option<InstanceId>,
    /// When it started, in milliseconds since the epoch.
    pub started_at_ms: u64,
    /// Its state.
    pub state: UpstreamState,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Time for which it remained slow after its start when this was stated, in milliseconds.
    pub warm_up_ms: u32,
}

impl UpstreamRecord {
    /// An upstream that has not registered.
    #[must_use]
    pub const fn absent() -> Self {
        let state = UpstreamState::Absent;
        Self { instance: None, started_at_ms: 0, state, slots: 0, warm_up_ms: 0 }
    }
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
    /// Its upstream, where upstreams register with their nodes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamRecord>,
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
    pub fn supersedes(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    /// Place of the statement among those about the same endpoint.
    #[must_use]
    pub const fn precedence(&self) -> (Incarnation, u32, MemberState) {
        (self.incarnation, self.statement, self.state)
    }

    /// Whether it may be sent new work at all.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        let upstream = self.upstream.as_ref();
        self.state <= MemberState::Suspect
            && upstream.is_none_or(|upstream| upstream.state == UpstreamState::Ready)
    }

    /// The statement with another state.
    #[must_use]
    pub fn with_state(mut self, state: MemberState) -> Self {
        self.state = state;
        self
    }
}
