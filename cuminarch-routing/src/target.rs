use std::net::SocketAddr;
use std::time::Duration;

use cuminarch_types::{EndpointId, Incarnation, Rank, RuleNumber};

/// Where a call is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its process.
    pub incarnation: Incarnation,
    /// Where its node takes data links.
    pub data_address: SocketAddr,
}

/// What matters of a call when its endpoint is chosen.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallAttributes {
    /// The rule that covers it.
    pub rule: RuleNumber,
    /// Its place in the refusal order.
    pub rank: Rank,
    /// Whether it may be sent to an endpoint that is tried out, since it can
    /// be sent again.
    pub can_probe: bool,
}

/// What one finished call shows about its endpoint.
#[derive(Clone, Copy, Debug)]
pub enum CallResult {
    /// An answer came after this time.
    Answered(Duration),
    /// The endpoint's node refused without running it.
    Refused,
    /// The endpoint's node takes no work at present.
    NotAccepting,
    /// Its node could not be reached at all.
    Unreachable,
    /// The upstream turned the call away, or answered that it failed.
    UpstreamError,
    /// No answer came.
    Unanswered,
    /// The call was withdrawn; it shows nothing.
    Cancelled,
}
