use std::net::SocketAddr;
use std::time::Duration;

use cuminarch_protocol::UpstreamLifetime;
use cuminarch_types::{EndpointId, Incarnation, Rank, RatePerSecond, RuleNumber};

/// Destination of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its process.
    pub incarnation: Incarnation,
    /// Address at which its node accepts data links.
    pub data_address: SocketAddr,
    /// Lifetime of its upstream, if upstreams register with their nodes.
    pub lifetime: Option<UpstreamLifetime>,
    /// Rate limit that its upstream stated last, if any.
    pub rate_limit: Option<RatePerSecond>,
}

/// Attributes of a call that affect the choice of its endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallAttributes {
    /// The rule that covers it.
    pub rule: RuleNumber,
    /// Its position in the refusal order.
    pub rank: Rank,
    /// Whether it may probe an ejected endpoint, because it can be sent again.
    pub can_probe: bool,
    /// Whether its objective is several times its run time and nothing else waits for it.
    pub has_time_to_spare: bool,
}

/// How a call to an endpoint ended.
#[derive(Clone, Copy, Debug)]
pub enum CallResult {
    /// An answer arrived after this time.
    Answered(Duration),
    /// The endpoint's node refused the call without running it.
    Refused,
    /// The endpoint's node currently accepts no work.
    NotAccepting,
    /// The endpoint's node could not be reached.
    Unreachable,
    /// The upstream turned the call away, or answered with an error.
    UpstreamError,
    /// No answer arrived.
    Unanswered,
    /// The call was cancelled; it says nothing about the endpoint.
    Cancelled,
}
