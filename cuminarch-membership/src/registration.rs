use std::time::Duration;

use cuminarch_protocol::UpstreamState;
use cuminarch_types::InstanceId;

/// A registration that an upstream sends to the node beside it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Registration {
    /// Incarnation of the upstream.
    pub instance: InstanceId,
    /// Start time in milliseconds since the epoch; `None` if not reported.
    pub started_at_ms: Option<u64>,
    /// Sequence number within the incarnation; `None` for the last registration.
    pub sequence: Option<u64>,
    /// State of the upstream.
    pub state: UpstreamState,
    /// Maximum number of concurrent calls; `None` if not reported.
    pub slots: Option<u32>,
    /// Remaining warm-up time, during which it is slow.
    pub warm_up: Duration,
}
