use std::net::SocketAddr;

use cuminarch_types::{EndpointId, Incarnation, InstanceId, RegionName, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::UpstreamLifetime;

/// State attributed to a member; within a statement, later variants take precedence.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Accepts calls.
    Active,
    /// Does not respond; gets calls only as a last resort.
    Suspect,
    /// Announced its shutdown; accepts no new calls.
    Leaving,
    /// Left, or was declared dead.
    Gone,
}

/// State of an upstream, as registered with its node.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// Accepts calls.
    Ready,
    /// Announced its shutdown; accepts no new calls.
    Draining,
    /// Not registered yet, or deregistered.
    Absent,
}

/// State of a node's own upstream, as known from its registrations.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamRecord {
    /// Its instance id; `None` before the first registration.
    pub instance: Option<InstanceId>,
    /// Start time in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Its state.
    pub state: UpstreamState,
    /// Number of calls that it runs concurrently.
    pub slots: u32,
    /// Remaining warm-up time when it registered, in milliseconds.
    pub warm_up_ms: u32,
}

impl UpstreamRecord {
    /// Returns the record of an upstream that has not registered.
    #[must_use]
    pub const fn absent() -> Self {
        let state = UpstreamState::Absent;
        Self { instance: None, started_at_ms: 0, state, slots: 0, warm_up_ms: 0 }
    }

    /// Returns the lifetime that the record describes; `None` before the first registration.
    #[must_use]
    pub fn lifetime(&self) -> Option<UpstreamLifetime> {
        let instance = self.instance.clone()?;
        Some(UpstreamLifetime { instance, started_at_ms: self.started_at_ms })
    }
}

/// An endpoint of the fleet, as it announces itself.
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
    /// Incarnation of the process that announced this.
    pub incarnation: Incarnation,
    /// Number of the statement within the incarnation; the member increments it to change its own
    /// state or to refute what others state about it.
    #[serde(default)]
    pub statement: u32,
    /// Address at which its node accepts data links.
    pub data_address: SocketAddr,
    /// Address at which its node accepts control links.
    pub control_address: SocketAddr,
    /// State attributed to it.
    pub state: MemberState,
    /// State of its upstream, if upstreams register with their nodes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamRecord>,
}

impl Member {
    /// Returns `true` if this statement supersedes `other` about the same endpoint.
    ///
    /// The higher incarnation wins, then the higher statement number, then the later state.
    ///
    /// The order follows "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
    /// Protocol" (Das, Gupta, Motivala, 2002). SWIM's single incarnation number is split in two
    /// here: calls are bound to a process, whose incarnation must not change when a suspicion is
    /// refuted.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    /// Returns the sort key of a statement among those about the same endpoint.
    #[must_use]
    pub const fn precedence(&self) -> (Incarnation, u32, MemberState) {
        (self.incarnation, self.statement, self.state)
    }

    /// Returns `true` if it may receive new calls.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        let upstream = self.upstream.as_ref();
        self.state <= MemberState::Suspect
            && upstream.is_none_or(|upstream| upstream.state == UpstreamState::Ready)
    }

    /// Replaces the state.
    #[must_use]
    pub fn with_state(mut self, state: MemberState) -> Self {
        self.state = state;
        self
    }
}
